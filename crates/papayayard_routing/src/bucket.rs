//! Token bucket: a rate with a bounded burst.

use std::time::Duration;

/// Token bucket that refills at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    updated_at: Duration,
}

impl Bucket {
    /// Creates a full bucket.
    pub const fn new(per_second: f64, burst: f64, now: Duration) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            updated_at: now,
        }
    }

    /// Creates a bucket that does not refill until its rate is set.
    pub const fn with_tokens(tokens: f64, now: Duration) -> Self {
        Self {
            per_second: 0.0,
            burst: tokens,
            tokens,
            updated_at: now,
        }
    }

    /// Changes the rate from `now` on; tokens above the burst are discarded, and owed ones beyond
    /// as many.
    pub fn set_rate(&mut self, per_second: f64, burst: f64, now: Duration) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.tokens = self.tokens.clamp(-burst, burst);
    }

    /// Takes a token, or returns the time until one is available.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        let wait = self.wait_for(1);
        if wait.is_zero() {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(wait)
    }

    /// Takes a token that is owed if there is none; no more than a burst is owed.
    pub fn charge(&mut self, now: Duration) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(-self.burst);
    }

    /// Time from the last refill until there are `number` tokens.
    pub fn wait_for(&self, number: u32) -> Duration {
        let missing = f64::from(number) - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.per_second).unwrap_or(MAX_WAIT)
    }

    /// Whether there will be a token at `now`, at the present rate.
    pub fn has_token_at(&self, now: Duration) -> bool {
        self.wait_for(1) <= now.saturating_sub(self.updated_at)
    }

    /// Returns an unused token.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Wait that is returned if the rate is 0.
const MAX_WAIT: Duration = Duration::from_hours(1);
