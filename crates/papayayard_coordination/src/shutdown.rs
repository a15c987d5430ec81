//! A planned stop that must end within a time limit.
//!
//! Callers learn late that a host is leaving, and keep using their open connections.
//! The host therefore continues to serve while callers are notified, and later accepts
//! only requests that are certain to end before the process does. A request that would
//! have to be cut is refused while refusing it still causes no loss.

use std::time::Duration;

/// Fractions of the time limit: until idle connections close, until no new connections
/// are accepted, until the last deadline of requests that are accepted late, and until running
/// requests are cut. A request that fails at its deadline is answered between the last two.
const CLOSING_FRACTION: f64 = 0.33;
const CLOSED_FRACTION: f64 = 0.7;
const DEADLINE_FRACTION: f64 = 0.94;
const CUTOFF_FRACTION: f64 = 0.96;

/// Progress of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No stop was requested.
    Serving,
    /// Serves, reports that it is not ready, and asks callers to close connections.
    Leaving,
    /// Closes idle connections, and accepts only requests that end in time.
    Closing,
    /// Accepts no connections.
    Closed,
}

/// Schedule of one stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    requested_at: Duration,
    max_duration: Duration,
}

impl Shutdown {
    /// Creates the schedule of a stop that was requested at `requested_at` and must end
    /// within `max_duration`.
    pub const fn new(requested_at: Duration, max_duration: Duration) -> Self {
        Self {
            requested_at,
            max_duration,
        }
    }

    /// When a stage starts.
    pub fn stage_start(&self, stage: Stage) -> Duration {
        let fraction = match stage {
            Stage::Serving | Stage::Leaving => 0.0,
            Stage::Closing => CLOSING_FRACTION,
            Stage::Closed => CLOSED_FRACTION,
        };
        self.requested_at + self.max_duration.mul_f64(fraction)
    }

    /// When running requests are cut.
    pub fn cutoff(&self) -> Duration {
        self.requested_at + self.max_duration.mul_f64(CUTOFF_FRACTION)
    }

    /// Whether to accept a request that may last until its deadline.
    pub fn accepts(&self, deadline: Duration, now: Duration) -> bool {
        let last_deadline = self.requested_at + self.max_duration.mul_f64(DEADLINE_FRACTION);
        now < self.stage_start(Stage::Closing) || deadline <= last_deadline
    }
}
