//! Tracking of a request at an endpoint until its outcome is known.

use std::net::SocketAddr;
use std::sync::Arc;

use papayayard_routing::blame::{Progress, Run, Subjects};
use papayayard_routing::placement::Placement;
use papayayard_routing::prompt::Prompt;
use papayayard_wire::id;

use super::{CrashTracker, Ending, MAX_LOGGED_PARTS, Message, ProbeOutcome};
use crate::attempt::Failure;
use crate::job::Job;

/// Where a request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Destination {
    pub(super) endpoint: id::Endpoint,
    /// Start of the endpoint's process; `None` if an older release placed the request.
    pub(super) started: Option<id::Incarnation>,
    pub(super) address: SocketAddr,
}

impl Destination {
    /// The run that was meant, if it is named.
    pub(super) fn run(&self) -> Option<Run> {
        let started = self.started?;
        Some(Run {
            endpoint: self.endpoint.clone(),
            started,
        })
    }
}

/// A request and the endpoint that may have crashed while processing it.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) request: id::Request,
    pub(super) subjects: Arc<Subjects>,
    prompt: Option<Arc<Prompt>>,
    pub(super) progress: Progress,
    pub(super) destination: Destination,
}

impl Attempt {
    pub(super) fn new(job: &Job, placement: &Placement, progress: Progress) -> Self {
        Self {
            request: job.id.clone(),
            subjects: Arc::clone(&job.subjects),
            prompt: job.prompt.clone(),
            progress,
            destination: Destination {
                endpoint: placement.endpoint.clone(),
                started: placement.started,
                address: placement.address,
            },
        }
    }

    /// Names of the parts of the prompt that other requests may share, for the log.
    pub(super) fn part_names(&self) -> String {
        let prompt = self.prompt.as_ref();
        prompt.map_or_else(String::new, |prompt| prompt.shared_names(MAX_LOGGED_PARTS))
    }
}

/// Guard for a request that is open at an endpoint. Dropping it before an outcome is
/// recorded means that the caller has left; the endpoint may still crash because of the
/// request.
pub(crate) struct Watch {
    tracker: CrashTracker,
    attempt: Option<Attempt>,
}

impl Watch {
    pub(super) const fn new(tracker: CrashTracker, attempt: Attempt) -> Self {
        Self {
            tracker,
            attempt: Some(attempt),
        }
    }

    /// Records that the first event of the answer has arrived.
    pub(crate) fn mark_begun(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.progress = Progress::Begun;
        }
    }

    /// Probes the endpoint after an answer without a length has ended with its connection.
    /// Returns whether its run lives; otherwise the answer may be incomplete.
    pub(crate) async fn confirm(&mut self) -> bool {
        let Some(attempt) = self.attempt.take() else {
            return true;
        };
        let probed = self.tracker.investigate(attempt.clone(), Ending::Closed);
        let outcome = probed.await;
        if outcome == ProbeOutcome::Accepted {
            self.attempt = Some(attempt);
        }
        outcome == ProbeOutcome::Accepted
    }

    /// Records that the endpoint has answered completely.
    pub(crate) fn finished(mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.tracker.finished(attempt.subjects.request);
        }
    }

    /// Records that the endpoint has answered completely and with success.
    pub(crate) fn succeeded(self) {
        if let Some(attempt) = &self.attempt {
            self.tracker.succeeded(&attempt.subjects);
        }
        self.finished();
    }

    /// Records that the endpoint gave no usable answer. If the connection broke, waits
    /// until the endpoint was probed.
    pub(crate) async fn failed(mut self, failure: Failure) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        match failure {
            Failure::Broken => {
                self.tracker.investigate(attempt, Ending::Broken).await;
            }
            Failure::Silent | Failure::Overdue => self.tracker.send(Message::Unanswered(attempt)),
            Failure::Unreachable
            | Failure::Unresponsive
            | Failure::Refused
            | Failure::Mismatched
            | Failure::Restarted
            | Failure::Outdated
            | Failure::Foreign
            | Failure::Unconfirmed
            | Failure::Oversized => {}
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.tracker.send(Message::Unanswered(attempt));
        }
    }
}
