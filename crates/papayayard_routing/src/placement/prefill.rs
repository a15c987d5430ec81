//! Prefill speed of a service's engines.
//!
//! No deployment states it, and it differs between engines by a factor of ten. An engine
//! prefills prompts one after the other, so a first event arrives after the queued tokens and
//! its own at the engine's rate. The rate is learned from first events, by a regression of their
//! time on the tokens ahead of them.

/// Initial assumption of the prefill time per token, in ms.
const INITIAL_TOKEN_MS: f64 = 1.0 / 70.0;
/// Lower and upper bound of the prefill time per token, in ms.
const MIN_TOKEN_MS: f64 = 1.0 / 2000.0;
const MAX_TOKEN_MS: f64 = 0.5;
/// Number of first events that the initial assumption counts for.
const PRIOR_COUNT: f64 = 8.0;
/// Standard deviation of the token counts in the initial assumption.
const PRIOR_SPREAD: f64 = 2000.0;
/// Permanent share of the initial assumption, as a variance of the token counts: if all prompts
/// have the same length, no other data determine the rate.
const PRIOR_VARIANCE: f64 = 800.0 * 800.0;
/// Number of first events over which the averages run.
const WINDOW: f64 = 300.0;
/// Factor on the expected time, and time beyond that in ms, to which late events are clipped:
/// any further delay has other causes.
const MAX_LATE_FACTOR: f64 = 2.0;
const MAX_LATE_MS: f64 = 50.0;

/// Regression estimate of the prefill time per token.
#[derive(Clone, Copy, Debug)]
pub struct Prefill {
    count: f64,
    mean_tokens: f64,
    mean_ms: f64,
    variance: f64,
    covariance: f64,
}

impl Default for Prefill {
    fn default() -> Self {
        let variance = PRIOR_SPREAD * PRIOR_SPREAD;
        Self {
            count: PRIOR_COUNT,
            mean_tokens: PRIOR_SPREAD,
            mean_ms: PRIOR_SPREAD * INITIAL_TOKEN_MS,
            variance,
            covariance: variance * INITIAL_TOKEN_MS,
        }
    }
}

impl Prefill {
    /// Returns the prefill time per token, in ms.
    pub fn ms_per_token(&self) -> f64 {
        let covariance = self.covariance + PRIOR_VARIANCE * INITIAL_TOKEN_MS;
        let token_ms = covariance / (self.variance + PRIOR_VARIANCE);
        token_ms.clamp(MIN_TOKEN_MS, MAX_TOKEN_MS)
    }

    /// Adds a first event that arrived after `ms`, with `tokens` to prefill before it.
    pub fn observe(&mut self, tokens: f64, ms: f64) {
        let expected = self.expected(tokens);
        let ms = ms.min(expected * MAX_LATE_FACTOR + MAX_LATE_MS);
        self.count = (self.count + 1.0).min(WINDOW);
        let weight = 1.0 / self.count;
        let delta_tokens = tokens - self.mean_tokens;
        let delta_ms = ms - self.mean_ms;
        self.mean_tokens += delta_tokens * weight;
        self.mean_ms += delta_ms * weight;
        self.variance += (delta_tokens * delta_tokens * (1.0 - weight) - self.variance) * weight;
        self.covariance += (delta_tokens * delta_ms * (1.0 - weight) - self.covariance) * weight;
    }

    fn expected(&self, tokens: f64) -> f64 {
        let extra_ms = (tokens - self.mean_tokens) * self.ms_per_token();
        (self.mean_ms + extra_ms).max(0.0)
    }
}
