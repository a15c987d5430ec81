//! Hosts that an endpoint has answered and failed lately.
//!
//! A scheduler that places the requests of many hosts must not hold it against an endpoint if the
//! connections of a single host break while the endpoint answers other hosts.

use std::time::Duration;

use papayayard_wire::id;

use super::path::RECENT_ANSWER;

/// A host whose requests the scheduler places; `None` for its own host.
type Host = Option<id::Host>;

/// What hosts report about an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Witnesses {
    /// The last answer.
    newest: Option<Answer>,
    /// The last answer to any other host.
    other: Option<Answer>,
    failed: Failed,
}

#[derive(Clone, Debug)]
struct Answer {
    host: Host,
    at: Duration,
}

/// Hosts with failures since the last complete answer.
#[derive(Clone, Debug, Default)]
enum Failed {
    #[default]
    None,
    One(Host),
    Several,
}

impl Witnesses {
    /// Records that the endpoint has answered a host.
    pub(super) fn record_answer(&mut self, host: Option<&id::Host>, now: Duration) {
        if let Some(newest) = &mut self.newest
            && newest.host.as_ref() == host
        {
            newest.at = now;
            return;
        }
        let answer = Answer {
            host: host.cloned(),
            at: now,
        };
        self.other = self.newest.replace(answer);
    }

    /// Records a complete answer, which ends a series of failures.
    pub(super) fn record_success(&mut self) {
        self.failed = Failed::None;
    }

    /// Records that a request of a host has failed.
    pub(super) fn record_failure(&mut self, host: Option<&id::Host>) {
        self.failed = match &self.failed {
            Failed::None => Failed::One(host.cloned()),
            Failed::One(failed) if failed.as_ref() == host => return,
            Failed::One(_) | Failed::Several => Failed::Several,
        };
    }

    /// Whether only this host has failed lately, while the endpoint answered another one.
    pub(super) fn dispute(&self, host: Option<&id::Host>, now: Duration) -> bool {
        let is_alone = matches!(&self.failed, Failed::One(failed) if failed.as_ref() == host);
        let mut answers = self.newest.iter().chain(&self.other);
        let is_other =
            |answer: &Answer| answer.host.as_ref() != host && now < answer.at + RECENT_ANSWER;
        is_alone && answers.any(is_other)
    }
}
