//! Hosts whose requests a scheduler places.
//!
//! A scheduler that places the requests of all hosts knows all of the load, and one
//! that places those of its own host alone knows a part of it. How many others
//! place requests at the same endpoints follows from the hosts that have asked it
//! of late.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use super::{Scheduler, float};

/// Time for which a host that was heard counts.
const RECENT: Duration = Duration::from_secs(3);

/// Hosts that ask, and all there are.
#[derive(Clone, Debug)]
pub(super) struct Askers {
    hosts: usize,
    heard: HashMap<id::Host, Duration>,
}

impl Default for Askers {
    fn default() -> Self {
        Self {
            hosts: 1,
            heard: HashMap::new(),
        }
    }
}

impl Askers {
    /// When a host was heard last.
    pub(super) fn last_heard(&self, host: &id::Host) -> Option<Duration> {
        self.heard.get(host).copied()
    }

    /// Schedulers that place requests, if all place for as many hosts as this one.
    fn schedulers(&self) -> usize {
        let own = self.heard.len() + 1;
        let schedulers = (float(self.hosts) / float(own)).round().max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at least one and no more than the hosts"
        )]
        let schedulers = schedulers as usize;
        schedulers
    }
}

impl Scheduler {
    /// Takes over the number of hosts that serve callers.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.askers.hosts = hosts.max(1);
        self.hosts = self.askers.schedulers();
    }

    /// Notes that a host has asked for a placement or told of one.
    pub fn heard(&mut self, host: &id::Host, now: Duration) {
        self.askers.heard.insert(host.clone(), now);
        self.hosts = self.askers.schedulers();
    }

    /// Forgets what a former process of a host has placed.
    pub fn forget_asker(&mut self, host: &id::Host, now: Duration) {
        self.end_where(now, |placed| placed.asker.as_ref() == Some(host));
    }

    /// Whether other hosts ask this one.
    pub fn is_asked(&self) -> bool {
        !self.askers.heard.is_empty()
    }

    /// Forgets hosts that are silent, and what they have not told the end of.
    pub(super) fn forget_silent(&mut self, now: Duration) {
        self.askers.heard.retain(|_, at| now < *at + RECENT);
        self.hosts = self.askers.schedulers();
        self.end_where(now, |placed| placed.is_lapsed(now));
    }
}
