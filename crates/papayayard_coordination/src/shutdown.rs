//! A planned stop that must end within a max_duration.
//!
//! Callers learn late that a host is leaving, and keep using the connections
//! that they have. So the host goes on serving while they are told, and later
//! takes only what is sure to end before the process does: what it would have
//! to cut is refused while that still is no loss.

use std::time::Duration;

/// Parts of the max_duration: until idle connections close, until no new ones are
/// accepted, and until requests at work are cut.
const CLOSING_FRACTION: f64 = 0.33;
const CLOSED_FRACTION: f64 = 0.7;
const CUTOFF_FRACTION: f64 = 0.96;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No stop was asked for.
    Serving,
    /// Serves, says that it is not ready, and asks callers to close.
    Leaving,
    /// Closes idle connections, and takes what ends in time.
    Closing,
    /// Accepts no connections.
    Closed,
}

/// Times of one stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    requested_at: Duration,
    max_duration: Duration,
}

impl Shutdown {
    /// A stop that was asked for at a time and must end within a max_duration.
    pub const fn new(requested_at: Duration, max_duration: Duration) -> Self {
        Self {
            requested_at,
            max_duration,
        }
    }

    /// When a stage begins.
    pub fn stage_start(&self, stage: Stage) -> Duration {
        let fraction = match stage {
            Stage::Serving | Stage::Leaving => 0.0,
            Stage::Closing => CLOSING_FRACTION,
            Stage::Closed => CLOSED_FRACTION,
        };
        self.requested_at + self.max_duration.mul_f64(fraction)
    }

    /// When requests at work are cut.
    pub fn cutoff(&self) -> Duration {
        self.requested_at + self.max_duration.mul_f64(CUTOFF_FRACTION)
    }

    /// Whether a request is taken that may last until its deadline.
    pub fn accepts(&self, deadline: Duration, now: Duration) -> bool {
        now < self.stage_start(Stage::Closing) || deadline <= self.cutoff()
    }
}
