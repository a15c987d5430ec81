//! Hosts that send placement requests to a scheduler.
//!
//! A scheduler that places the requests of all hosts sees the whole load; one that places only
//! those of its own host sees a part of it. The number of other schedulers that place requests
//! at the same endpoints is estimated from the hosts that have contacted this one recently.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use super::{Scheduler, float};

/// Time after the last contact until a host no longer counts as requesting.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// Hosts that request placements here, and the total number of hosts.
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
    pub(super) fn last_contact(&self, host: &id::Host) -> Option<Duration> {
        self.last_contacts.get(host).copied()
    }

    /// Estimates the number of schedulers, assuming that each places requests for as many hosts
    /// as this one.
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
    /// Sets the number of hosts that serve callers.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.requesting_hosts.total = hosts.max(1);
        self.schedulers = self.requesting_hosts.schedulers();
    }

    /// Records that a host requested a placement or reported on one.
    pub fn record_contact(&mut self, host: &id::Host, now: Duration) {
        self.requesting_hosts
            .last_contacts
            .insert(host.clone(), now);
        self.schedulers = self.requesting_hosts.schedulers();
    }

    /// Abandons the requests that an earlier process of a host has placed.
    pub fn abandon_requests_of(&mut self, host: &id::Host, now: Duration) {
        self.abandon_where(now, |placed| placed.requesting_host.as_ref() == Some(host));
    }

    /// Whether other hosts request placements from this one.
    pub fn has_requesting_hosts(&self) -> bool {
        !self.requesting_hosts.last_contacts.is_empty()
    }

    /// Removes hosts without recent contact, and abandons requests whose outcome is overdue.
    pub(super) fn forget_unresponsive(&mut self, now: Duration) {
        self.requesting_hosts
            .last_contacts
            .retain(|_, at| now < *at + CONTACT_TIMEOUT);
        self.schedulers = self.requesting_hosts.schedulers();
        self.abandon_where(now, |placed| placed.is_expired(now));
    }
}
