//! The link of the store of cached prompts, which all endpoints share.
//!
//! Transfers wait for one another, and one that would wait too long is not
//! started: its tokens are computed again, which costs an engine far more. So
//! the expected wait counts when a source is chosen. A host knows only its own
//! transfers and takes the other hosts to have as many.

use std::time::Duration;

/// Backlog of a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    backlog: Duration,
    at: Duration,
}

impl Link {
    /// Time that a transfer would wait now.
    pub fn wait(&self, now: Duration) -> Duration {
        self.backlog.saturating_sub(now.saturating_sub(self.at))
    }

    /// Adds a transfer of this host, and as many of each other host.
    pub fn transfer(&mut self, time: Duration, hosts: usize, now: Duration) {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        self.backlog = self.wait(now) + time.saturating_mul(hosts);
        self.at = now;
    }
}

/// Time to transfer tokens over a link.
pub fn transfer_time(tokens: u32, token_bytes: u64, link_mbps: u64) -> Duration {
    let bits = u64::from(tokens) * token_bytes * 8;
    let bits_per_us = link_mbps.max(1);
    Duration::from_micros(bits / bits_per_us)
}
