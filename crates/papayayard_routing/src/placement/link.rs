//! The link of the store of cached prompts, shared by all endpoints.
//!
//! Transfers queue, and a transfer that would wait too long is not started: its tokens are
//! computed again, which costs an engine far more. The expected wait therefore counts in the
//! choice of a source. A scheduler that places all requests knows the queue. One of several
//! knows only its own transfers and assumes that the others have as many. That gives the average
//! utilization but not the current queue, so the wait is derived from the utilization, plus the
//! backlog that builds up once the link is overloaded.

use std::time::Duration;

use super::float;

/// Time constant of the average over recent transfers.
const DECAY: Duration = Duration::from_secs(5);
/// Utilization above which the wait from random arrivals grows no further.
const MAX_UTILIZATION: f64 = 0.9;
/// Utilization from which a backlog is assumed: one host's share is too uneven to distinguish a
/// lower excess from chance.
const OVERLOAD_THRESHOLD: f64 = 1.25;

/// Estimated utilization of a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Remaining time of this host's transfers, as of `at`.
    queued: Duration,
    /// Time taken by this host's recent transfers.
    used: Duration,
    /// Average time of one transfer.
    mean_transfer: Duration,
    hosts: usize,
    at: Duration,
}

impl Link {
    /// Returns the expected wait of a transfer that starts now.
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

    /// Adds a transfer of this scheduler, one of `hosts` schedulers.
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

    /// Fraction of time for which the link is busy; above 1 it is overloaded.
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

/// Returns the time to transfer tokens over a link.
pub fn transfer_time(tokens: u32, token_bytes: u64, link_mbps: u64) -> Duration {
    let bits = u64::from(tokens) * token_bytes * 8;
    let bits_per_us = link_mbps.max(1);
    Duration::from_micros(bits / bits_per_us)
}
