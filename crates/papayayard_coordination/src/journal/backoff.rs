//! Exponential backoff with a cap and jitter.

use std::time::Duration;

/// Limit of the exponent, so that the shift does not overflow.
const MAX_DOUBLINGS: u32 = 20;

/// Computes the wait before the next attempt.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff that starts at `base` and never exceeds `cap`.
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            failures: 0,
        }
    }

    /// Counts a failure and returns the wait, from half of the backoff at a `jitter`
    /// of 0 to all of it at 1.
    pub fn fail(&mut self, jitter: f64) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let full = self.base.saturating_mul(1 << doublings).min(self.cap);
        full.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
    }

    /// Resets the backoff after a success.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
