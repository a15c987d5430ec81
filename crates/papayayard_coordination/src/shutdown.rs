//! A planned stop that must end within a bound.
//!
//! Callers learn late that a host is leaving, and keep using the connections
//! that they have. So the host goes on serving while they are told, and later
//! takes only what is sure to end before the process does: what it would have
//! to cut is refused while that still is no loss.

use std::time::Duration;

/// Parts of the bound: until idle connections close, until no new ones are
/// accepted, and until requests at work are cut.
const CLOSING_PART: f64 = 0.33;
const CLOSED_PART: f64 = 0.7;
const END_PART: f64 = 0.96;

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
    asked: Duration,
    bound: Duration,
}

impl Shutdown {
    /// A stop that was asked for at a time and must end within a bound.
    pub const fn new(asked: Duration, bound: Duration) -> Self {
        Self { asked, bound }
    }

    /// When a stage begins.
    pub fn begins(&self, stage: Stage) -> Duration {
        let part = match stage {
            Stage::Serving | Stage::Leaving => 0.0,
            Stage::Closing => CLOSING_PART,
            Stage::Closed => CLOSED_PART,
        };
        self.asked + self.bound.mul_f64(part)
    }

    /// When requests at work are cut.
    pub fn end(&self) -> Duration {
        self.asked + self.bound.mul_f64(END_PART)
    }

    /// Whether a request is taken that may last until its deadline.
    pub fn takes(&self, deadline: Duration, now: Duration) -> bool {
        now < self.begins(Stage::Closing) || deadline <= self.end()
    }
}
