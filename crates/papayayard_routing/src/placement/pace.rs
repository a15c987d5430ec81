//! How fast the engines of a service read prompts.
//!
//! No deployment states it, and it differs by a factor of ten between engines. An
//! engine reads prompts one after the other, so a first event comes after the
//! tokens ahead of it and its own, at the engine's rate. The rate is learned from
//! first events: by how much later they come where more tokens are ahead.

/// Time to read a token that is assumed at first, in ms.
const FIRST_MS: f64 = 1.0 / 70.0;
/// Shortest and longest time to read a token, in ms.
const LEAST_MS: f64 = 1.0 / 2000.0;
const MOST_MS: f64 = 0.5;
/// First events that the assumption counts for.
const ASSUMED_COUNT: f64 = 8.0;
/// Spread of the tokens among these.
const ASSUMED_SPREAD: f64 = 2000.0;
/// Part of the assumption that stays for good, as a variance of the tokens: where
/// all prompts have one length, nothing else tells the pace.
const KEPT_VARIANCE: f64 = 800.0 * 800.0;
/// First events over which the averages run.
const MEMORY: f64 = 300.0;
/// Times the expected time, and time beyond that in ms, to which a late event is
/// cut: what is later than that has other causes.
const MOST_FACTOR: f64 = 2.0;
const MOST_BEYOND_MS: f64 = 50.0;

/// Time that engines take to read a token.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    count: f64,
    mean_tokens: f64,
    mean_ms: f64,
    variance: f64,
    covariance: f64,
}

impl Default for Pace {
    fn default() -> Self {
        let variance = ASSUMED_SPREAD * ASSUMED_SPREAD;
        Self {
            count: ASSUMED_COUNT,
            mean_tokens: ASSUMED_SPREAD,
            mean_ms: ASSUMED_SPREAD * FIRST_MS,
            variance,
            covariance: variance * FIRST_MS,
        }
    }
}

impl Pace {
    /// Time to read a token, in ms.
    pub fn ms_per_token(&self) -> f64 {
        let covariance = self.covariance + KEPT_VARIANCE * FIRST_MS;
        let pace = covariance / (self.variance + KEPT_VARIANCE);
        pace.clamp(LEAST_MS, MOST_MS)
    }

    /// Takes over a first event that came after so long, with so many tokens to be
    /// read before it.
    pub fn observe(&mut self, tokens: f64, ms: f64) {
        let expected = self.expected(tokens);
        let ms = ms.min(expected * MOST_FACTOR + MOST_BEYOND_MS);
        self.count = (self.count + 1.0).min(MEMORY);
        let part = 1.0 / self.count;
        let more_tokens = tokens - self.mean_tokens;
        let more_ms = ms - self.mean_ms;
        self.mean_tokens += more_tokens * part;
        self.mean_ms += more_ms * part;
        self.variance += (more_tokens * more_tokens * (1.0 - part) - self.variance) * part;
        self.covariance += (more_tokens * more_ms * (1.0 - part) - self.covariance) * part;
    }

    fn expected(&self, tokens: f64) -> f64 {
        let more = (tokens - self.mean_tokens) * self.ms_per_token();
        (self.mean_ms + more).max(0.0)
    }
}
