//! How much later first events come than load and prompts explain.
//!
//! Engines differ in speed, other hosts' requests come unseen, and a stream's
//! first event holds several tokens. What was seen lately at an endpoint is
//! added to what is expected next. It fades, so that an endpoint that got no
//! requests for being slow is tried again.

use std::time::Duration;

/// Weight of the newest observation at one endpoint.
const NEWEST_WEIGHT: f64 = 0.25;
/// Time constant of its fading.
const DECAY: Duration = Duration::from_millis(1500);
/// Weight of the newest observation in the usual delay of a service.
const BASELINE_WEIGHT: f64 = 0.01;
/// Largest usual delay, in ms.
const MAX_BASELINE_MS: f64 = 250.0;
/// Largest delay of one endpoint, in ms.
const MAX_DELAY_MS: f64 = 3000.0;

/// Delay of one endpoint against the usual one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delay {
    ms: f64,
    at: Duration,
}

impl Delay {
    /// The delay that is expected now, in ms.
    pub fn at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.ms * (-elapsed / DECAY.as_secs_f64()).exp()
    }

    /// Takes over that a first event came later than was expected.
    pub fn observe(&mut self, late_ms: f64, now: Duration) {
        let current = self.at(now);
        self.ms =
            (current + (late_ms - current) * NEWEST_WEIGHT).clamp(-MAX_DELAY_MS, MAX_DELAY_MS);
        self.at = now;
    }
}

/// The usual delay of all endpoints, in ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    ms: f64,
}

impl Baseline {
    /// The usual delay, in ms.
    pub const fn ms(self) -> f64 {
        self.ms
    }

    /// Takes over a delay.
    pub fn observe(&mut self, late_ms: f64) {
        self.ms = (self.ms + (late_ms - self.ms) * BASELINE_WEIGHT).clamp(0.0, MAX_BASELINE_MS);
    }
}
