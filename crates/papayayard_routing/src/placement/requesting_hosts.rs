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
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// Hosts that ask, and all there are.
#[derive(Clone, Debug)]
pub(super) struct RequestingHosts {
    total: usize,
    last_contacts: HashMap<id::Host, Duration>,
}

impl Default for RequestingHosts {
    fn default() -> Self {
        Self {
            total: 1,
            last_contacts: HashMap::new(),
        }
    }
}

impl RequestingHosts {
    /// When a host was heard last.
    pub(super) fn last_contact(&self, host: &id::Host) -> Option<Duration> {
        self.last_contacts.get(host).copied()
    }

    /// Schedulers that place requests, if all place for as many hosts as this one.
    fn schedulers(&self) -> usize {
        let represented = self.last_contacts.len() + 1;
        let schedulers = (float(self.total) / float(represented)).round().max(1.0);
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
        self.requesting_hosts.total = hosts.max(1);
        self.schedulers = self.requesting_hosts.schedulers();
    }

    /// Notes that a host has asked for a placement or told of one.
    pub fn record_contact(&mut self, host: &id::Host, now: Duration) {
        self.requesting_hosts
            .last_contacts
            .insert(host.clone(), now);
        self.schedulers = self.requesting_hosts.schedulers();
    }

    /// Forgets what a former process of a host has placed.
    pub fn forget_host(&mut self, host: &id::Host, now: Duration) {
        self.abandon_where(now, |placed| placed.requesting_host.as_ref() == Some(host));
    }

    /// Whether other hosts ask this one.
    pub fn has_requesting_hosts(&self) -> bool {
        !self.requesting_hosts.last_contacts.is_empty()
    }

    /// Forgets hosts that are silent, and what they have not told the end of.
    pub(super) fn forget_unresponsive(&mut self, now: Duration) {
        self.requesting_hosts
            .last_contacts
            .retain(|_, at| now < *at + CONTACT_TIMEOUT);
        self.schedulers = self.requesting_hosts.schedulers();
        self.abandon_where(now, |placed| placed.is_expired(now));
    }
}
