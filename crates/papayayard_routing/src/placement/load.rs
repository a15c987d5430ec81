//! What one endpoint has to do, as one host can tell.
//!
//! A host sees its own requests at once and those of other hosts not at all.
//! Callers are spread over the hosts, so what this host had at the endpoint on
//! average stands for each of the others. That follows a change of load within
//! the time constant and needs no message.

use std::time::Duration;

/// Time constant of the averages.
const MEMORY: Duration = Duration::from_millis(400);

/// Work of this host at an endpoint, and the average of it.
#[derive(Clone, Debug, Default)]
pub struct Load {
    now: Amounts,
    average: Amounts,
    at: Duration,
}

/// Amounts of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    /// Open requests.
    pub open: f64,
    /// Tokens of prompts that are not read yet.
    pub unread: f64,
    /// Tokens of memory that open requests hold.
    pub memory: f64,
}

impl Load {
    /// Adds work of a request.
    pub fn add(&mut self, amounts: Amounts, now: Duration) {
        self.settle(now);
        self.now = self.now.plus(amounts, 1.0);
    }

    /// Takes work of a request away.
    pub fn remove(&mut self, amounts: Amounts, now: Duration) {
        self.settle(now);
        self.now = self.now.plus(amounts, -1.0).at_least_zero();
    }

    /// Work of this host.
    pub const fn own(&self) -> Amounts {
        self.now
    }

    /// Work that all hosts are expected to have there.
    pub fn of_all(&self, hosts: usize, now: Duration) -> Amounts {
        let others = f64::from(u32::try_from(hosts.max(1) - 1).unwrap_or(u32::MAX));
        self.now.plus(self.average_at(now), others)
    }

    fn settle(&mut self, now: Duration) {
        self.average = self.average_at(now);
        self.at = now;
    }

    fn average_at(&self, now: Duration) -> Amounts {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.average.scaled(kept).plus(self.now, 1.0 - kept)
    }
}

impl Amounts {
    fn scaled(self, factor: f64) -> Self {
        Self::default().plus(self, factor)
    }

    fn plus(self, other: Self, factor: f64) -> Self {
        Self {
            open: self.open + other.open * factor,
            unread: self.unread + other.unread * factor,
            memory: self.memory + other.memory * factor,
        }
    }

    fn at_least_zero(self) -> Self {
        Self {
            open: self.open.max(0.0),
            unread: self.unread.max(0.0),
            memory: self.memory.max(0.0),
        }
    }
}
