//! A limit on the bytes that a host spends on its peers.

use std::time::Duration;

/// Bytes that may be spent: a steady rate with a bounded reserve.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_second: u64,
    reserve: i64,
    level: i64,
    filled_at: Duration,
}

impl Budget {
    /// A full budget.
    pub fn new(bytes_per_second: u64, reserve: u32, now: Duration) -> Self {
        Self {
            bytes_per_second,
            reserve: i64::from(reserve),
            level: i64::from(reserve),
            filled_at: now,
        }
    }

    /// Bytes that may be spent now.
    pub fn room(&mut self, now: Duration) -> usize {
        self.fill(now);
        usize::try_from(self.level).unwrap_or(0)
    }

    /// Takes bytes that were sent or received; the level may fall below zero.
    pub fn charge(&mut self, bytes: usize, now: Duration) {
        self.fill(now);
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.level = self.level.saturating_sub(bytes);
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        let gained = u128::from(self.bytes_per_second) * elapsed.as_micros() / 1_000_000;
        if gained == 0 {
            return;
        }
        let gained = i64::try_from(gained).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(gained).min(self.reserve);
        self.filled_at = now;
    }
}
