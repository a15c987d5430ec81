//! Limits the bytes that a host exchanges with its peers.

use std::time::Duration;

/// A token bucket, counted in bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_second: u64,
    burst_bytes: i64,
    balance: i64,
    refilled_at: Duration,
}

impl Budget {
    /// Starts with a full bucket.
    pub fn new(bytes_per_second: u64, burst_bytes: u32, now: Duration) -> Self {
        Self {
            bytes_per_second,
            burst_bytes: i64::from(burst_bytes),
            balance: i64::from(burst_bytes),
            refilled_at: now,
        }
    }

    pub fn available_bytes(&mut self, now: Duration) -> usize {
        self.refill(now);
        usize::try_from(self.balance).unwrap_or(0)
    }

    /// Charges bytes that were sent or received; the balance may become negative.
    pub fn charge(&mut self, bytes: usize, now: Duration) {
        self.refill(now);
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_sub(bytes);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let gained = u128::from(self.bytes_per_second) * elapsed.as_micros() / 1_000_000;
        if gained == 0 {
            return;
        }
        let gained = i64::try_from(gained).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_add(gained).min(self.burst_bytes);
        self.refilled_at = now;
    }
}
