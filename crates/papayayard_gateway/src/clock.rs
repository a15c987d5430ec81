//! Time for the decisions.
//!
//! A host can be suspended, and the steady clock stands still meanwhile. What
//! a host believes grows old all the same, so decisions take the time since
//! the start of the process, with suspensions included.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time on the clock at the start of the process, so that moments before the
/// start can be told.
const ORIGIN: Duration = Duration::from_hours(1);

/// A clock that starts with the host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Time since the start, and [`ORIGIN`].
    pub(crate) fn now(self) -> Duration {
        ORIGIN + boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
