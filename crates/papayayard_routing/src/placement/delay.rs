//! Delay of first events beyond what load and prompts predict.
//!
//! Engines differ in speed, other hosts' requests are not visible, and a stream's first event
//! holds several tokens. The delay observed recently at an endpoint is added to the next
//! expectation. It decays, so that an endpoint that got no requests because it was slow is tried
//! again.

use std::time::Duration;

/// Weight of the newest observation at one endpoint.
const NEWEST_WEIGHT: f64 = 0.25;
/// Time constant of the delay's decay.
const DECAY: Duration = Duration::from_millis(1500);
/// Weight of the newest observation in the baseline delay.
const BASELINE_WEIGHT: f64 = 0.01;
/// Upper bound of the baseline delay, in ms.
const MAX_BASELINE_MS: f64 = 250.0;
/// Upper bound of one endpoint's delay, in ms.
const MAX_DELAY_MS: f64 = 3000.0;

/// Delay of one endpoint relative to the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delay {
    ms: f64,
    at: Duration,
}

impl Delay {
    /// Returns the expected delay, in ms.
    pub fn at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.ms * (-elapsed / DECAY.as_secs_f64()).exp()
    }

    /// Adds the observed delay of a first event.
    pub fn observe(&mut self, late_ms: f64, now: Duration) {
        let current = self.at(now);
        self.ms =
            (current + (late_ms - current) * NEWEST_WEIGHT).clamp(-MAX_DELAY_MS, MAX_DELAY_MS);
        self.at = now;
    }
}

/// Returns the time in which a delay decays to a shorter one; both in ms.
pub(super) fn decay_time(from_ms: f64, to_ms: f64) -> Duration {
    let constants = (from_ms / to_ms).ln();
    Duration::try_from_secs_f64(DECAY.as_secs_f64() * constants).unwrap_or(Duration::MAX)
}

/// Average delay over all endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    ms: f64,
}

impl Baseline {
    /// Returns the baseline delay, in ms.
    pub const fn ms(self) -> f64 {
        self.ms
    }

    /// Adds the observed delay of a first event.
    pub fn observe(&mut self, late_ms: f64) {
        self.ms = (self.ms + (late_ms - self.ms) * BASELINE_WEIGHT).clamp(0.0, MAX_BASELINE_MS);
    }
}
