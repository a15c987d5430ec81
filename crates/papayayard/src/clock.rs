//! Time for the pure decisions.
//!
//! Decisions take the time since a host's start, which never goes back.

use std::time::Duration;

use tokio::time::Instant;

/// A clock that starts with the host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    pub(crate) fn now(self) -> Duration {
        self.0.elapsed()
    }
}
