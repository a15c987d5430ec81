//! Model time: real time since the start, run faster by a constant factor.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use papayayard_wire::id;
use tokio::time::{self, Instant};

/// A clock whose time passes `scale` times as fast as real time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    scale: f64,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start(scale: f64) -> Self {
        Self {
            start: Instant::now(),
            scale: if scale > 0.0 { scale } else { 1.0 },
        }
    }

    /// Model time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed().mul_f64(self.scale)
    }

    /// Waits until the model time `at`.
    pub async fn sleep_until(&self, at: Duration) {
        time::sleep_until(self.start + at.div_f64(self.scale)).await;
    }

    /// Waits for a model duration.
    pub async fn sleep(&self, span: Duration) {
        time::sleep(span.div_f64(self.scale)).await;
    }
}

/// A number above that of any earlier run.
pub(crate) fn incarnation() -> id::Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since.map_or(0, |since| since.as_micros());
    id::Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}
