//! The link of the store of cached prompts, which all endpoints share.
//!
//! Transfers wait for one another, and one that would wait too long is not
//! started: its tokens are computed again, which costs an engine far more. So
//! the expected wait counts when a source is chosen. A scheduler that places all
//! requests knows the queue. One of several knows only its own transfers and takes
//! the others to have as many: that says how busy the link is on average and
//! nothing about the moment, so the wait follows from the part of the time that
//! the link is busy, and from what piles up once that is all of it.

use std::time::Duration;

use super::float;

/// Time constant of the transfers that count.
const DECAY: Duration = Duration::from_secs(5);
/// Busy part of the time above which the wait by chance grows no further.
const MAX_UTILIZATION: f64 = 0.9;
/// Busy part from which on transfers are taken to pile up: one host's share is
/// too uneven to tell less from chance.
const OVERLOAD_THRESHOLD: f64 = 1.25;

/// How busy a link is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Time that this host's transfers still take, as of `at`.
    queued: Duration,
    /// Time that this host's recent transfers took.
    used: Duration,
    /// Time of one of them, on average.
    mean_transfer: Duration,
    hosts: usize,
    at: Duration,
}

impl Link {
    /// Time that a transfer is expected to wait now.
    pub fn wait(&self, now: Duration) -> Duration {
        let queued = self.queued_at(now);
        if self.hosts <= 1 {
            return queued;
        }
        let utilization = self.utilization(now);
        let queueing = utilization / (1.0 - utilization.min(MAX_UTILIZATION)) / 2.0;
        let excess = (utilization - OVERLOAD_THRESHOLD).max(0.0);
        queued.max(self.mean_transfer.mul_f64(queueing) + DECAY.mul_f64(excess))
    }

    /// Adds a transfer of this scheduler, which is one of some.
    pub fn add_transfer(&mut self, time: Duration, hosts: usize, now: Duration) {
        self.used = self.used_at(now) + time;
        self.queued = self.queued_at(now) + time;
        self.mean_transfer = if self.mean_transfer.is_zero() {
            time
        } else {
            (self.mean_transfer * 7 + time) / 8
        };
        self.hosts = hosts;
        self.at = now;
    }

    /// Part of the time that the link is busy; above 1 it cannot keep up.
    fn utilization(&self, now: Duration) -> f64 {
        self.used_at(now).as_secs_f64() / DECAY.as_secs_f64() * float(self.hosts)
    }

    fn queued_at(&self, now: Duration) -> Duration {
        self.queued.saturating_sub(now.saturating_sub(self.at))
    }

    fn used_at(&self, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.used.mul_f64((-elapsed / DECAY.as_secs_f64()).exp())
    }
}

/// Time to transfer tokens over a link.
pub fn transfer_time(tokens: u32, token_bytes: u64, link_mbps: u64) -> Duration {
    let bits = u64::from(tokens) * token_bytes * 8;
    let bits_per_us = link_mbps.max(1);
    Duration::from_micros(bits / bits_per_us)
}
