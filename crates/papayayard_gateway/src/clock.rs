//! Clock for decisions.
//!
//! The monotonic clock stops while a host is suspended, but the host's view of other
//! hosts and endpoints still ages. Decisions therefore use a clock that includes the time
//! of suspensions.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Reading of the clock at the start of the process, so that times before the start can
/// be represented.
const ORIGIN: Duration = Duration::from_hours(1);

/// Clock that is started with the host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Time since the start, plus [`ORIGIN`].
    pub(crate) fn now(self) -> Duration {
        ORIGIN + boot_time().saturating_sub(self.start)
    }

    /// Time of day, since the start of 1970. It differs between hosts and may jump.
    pub(crate) fn unix_time() -> Duration {
        read(ClockId::Realtime)
    }
}

fn boot_time() -> Duration {
    read(ClockId::Boottime)
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
