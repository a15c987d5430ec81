//! Spacing of attempts: exponential, capped, jittered.

use std::time::Duration;

/// Highest exponent, which keeps the shift within its type.
const MAX_DOUBLINGS: u32 = 20;

/// How long to wait before the next attempt.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    failures: u32,
}

impl Backoff {
    /// Makes a backoff that starts at `base` and never exceeds `cap`.
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            failures: 0,
        }
    }

    /// Counts a failure and gives the wait; `draw` lies in 0 to 1.
    pub fn fail(&mut self, jitter: f64) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let full = self.base.saturating_mul(1 << doublings).min(self.cap);
        full.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
    }

    /// Forgets all failures.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
