//! Fault orders to an engine.

use papayayard_wire::id;
use serde::{Deserialize, Serialize};

/// Body of `POST /control`; times are in milliseconds of model time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Drops all connections and comes back empty, as a new incarnation.
    Crash {
        /// Time until it comes back.
        down_ms: u64,
    },
    /// Exchanges and generation stand still.
    Freeze,
    /// Refuses every request without running it.
    Refuse,
    /// Cuts the next streams in the middle.
    CutStreams {
        /// Number of streams.
        count: u32,
        /// Tokens that still pass.
        after_tokens: u64,
    },
    /// Runs the next requests and drops their answers.
    LoseAnswers {
        /// Number of requests.
        count: u32,
    },
    /// Gives the next answers under another request's id.
    WrongIds {
        /// Number of answers.
        count: u32,
    },
    /// Runs the next requests and answers with another request's refusal.
    StaleRefusals {
        /// Number of requests.
        count: u32,
        /// HTTP status of the refusal.
        status: u16,
    },
    /// Loses and delays cache events.
    Events {
        /// Part of the events that is lost, from 0 to 1.
        lost: f64,
        /// Added delay.
        delay_ms: u64,
    },
    /// Crashes as a prompt that contains the marker starts to run.
    CrashOn {
        /// Text of the marker; none ends the fault.
        marker: Option<String>,
        /// Time until it comes back.
        down_ms: u64,
    },
    /// Drops requests that bear one of these entry hosts' ids.
    Cut {
        /// Entry hosts.
        hosts: Vec<id::Host>,
    },
    /// Ends every fault.
    Clear,
}

/// Faults in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Faults {
    pub(crate) refuse: bool,
    pub(crate) cut_streams: u32,
    pub(crate) cut_after: u64,
    pub(crate) lose_answers: u32,
    pub(crate) wrong_ids: u32,
    pub(crate) stale_refusals: u32,
    pub(crate) stale_status: u16,
    pub(crate) marker: Option<String>,
    pub(crate) marker_down_ms: u64,
    pub(crate) cut: Vec<id::Host>,
}

/// Takes one from a count; false where none is left.
pub(crate) const fn take(count: &mut u32) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}
