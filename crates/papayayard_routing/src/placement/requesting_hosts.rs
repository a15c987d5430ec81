//! Hosts that send placement requests to a scheduler.
//!
//! A scheduler that places the requests of all hosts sees the whole load; one that places only
//! those of its own host sees a part of it. The number of other schedulers that place requests
//! at the same endpoints is estimated from the hosts that have contacted this one recently.
//!
//! Limits that endpoints name are divided by hosts. A host counts for the scheduler that it uses;
//! one that only reports on earlier placements does not.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use super::{Scheduler, float};

/// Time after the last contact until a host no longer counts as requesting.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a host counts for a scheduler; longer than the interval between two of its
/// calls. When hosts move to another scheduler, both count them for this long.
const USE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Number of hosts that serve callers, by zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostCounts {
    /// Zone of this host.
    pub local: id::Zone,
    pub by_zone: HashMap<id::Zone, usize>,
}

/// Last placement request, or statement that placements are requested here.
#[derive(Clone, Debug)]
struct Use {
    zone: id::Zone,
    at: Duration,
}

/// Hosts that request placements here, and the total number of hosts.
#[derive(Clone, Debug)]
pub(super) struct RequestingHosts {
    total: usize,
    /// Unknown until the hosts were counted.
    counts: Option<HostCounts>,
    last_contacts: HashMap<id::Host, Duration>,
    /// Other hosts that use this scheduler.
    users: HashMap<id::Host, Use>,
    /// Last placement request of this host.
    used_locally_at: Option<Duration>,
    /// End of the time for which another scheduler may count this host.
    used_elsewhere_until: Duration,
}

impl Default for RequestingHosts {
    fn default() -> Self {
        Self {
            total: 1,
            counts: None,
            last_contacts: HashMap::new(),
            users: HashMap::new(),
            used_locally_at: None,
            used_elsewhere_until: Duration::ZERO,
        }
    }
}

impl RequestingHosts {
    pub(super) fn last_contact(&self, host: &id::Host) -> Option<Duration> {
        self.last_contacts.get(host).copied()
    }

    /// Fraction of the limits of a zone's endpoints that this scheduler may use: it is that of
    /// the zone's hosts whose requests it places, or of all hosts if the zone has none.
    pub(super) fn share(&self, zone: &id::Zone, now: Duration) -> f64 {
        self.share_of(zone, true, now)
    }

    /// The same fraction without the part of this host while another scheduler may count it.
    pub(super) fn exclusive_share(&self, zone: &id::Zone, now: Duration) -> f64 {
        self.share_of(zone, self.used_elsewhere_until <= now, now)
    }

    fn share_of(&self, zone: &id::Zone, counts_local: bool, now: Duration) -> f64 {
        let counts = self.counts.as_ref();
        let in_zone = counts.and_then(|counts| counts.by_zone.get(zone)).copied();
        let in_zone = in_zone.filter(|hosts| *hosts > 0);
        let is_owner = |other: &id::Zone| in_zone.is_none() || other == zone;
        let is_local_owner = counts.is_none_or(|counts| is_owner(&counts.local));
        let recent = |at: Duration| now < at + USE_TIMEOUT;
        let users = self.users.values().filter(|user| recent(user.at));
        let is_used = users.clone().next().is_some();
        let is_local = self.total == 1 || is_used || self.used_locally_at.is_some_and(recent);
        let users = users.filter(|user| is_owner(&user.zone)).count();
        let represented = users + usize::from(counts_local && is_local && is_local_owner);
        let owners = in_zone.unwrap_or(self.total);
        (float(represented) / float(owners)).min(1.0)
    }

    /// Records that a host requests its placements here; `None` for this host.
    pub(super) fn record_use(&mut self, host: Option<&id::Host>, zone: &id::Zone, now: Duration) {
        let Some(host) = host else {
            self.used_locally_at = Some(now);
            return;
        };
        let zone = zone.clone();
        self.users.insert(host.clone(), Use { zone, at: now });
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
        self.count_schedulers();
    }

    /// Sets the number of hosts in each zone.
    pub fn set_host_counts(&mut self, counts: HostCounts) {
        self.requesting_hosts.counts = Some(counts);
    }

    /// Records that a host of a zone requests its placements here.
    pub fn record_use(&mut self, host: &id::Host, zone: &id::Zone, now: Duration) {
        self.requesting_hosts.record_use(Some(host), zone, now);
    }

    /// Records that this host gives up a scheduler that it used, which may count it for a while.
    pub fn record_use_elsewhere(&mut self, now: Duration) {
        self.requesting_hosts.used_elsewhere_until = now + USE_TIMEOUT;
    }

    /// Records that a host requested a placement or reported on one.
    pub fn record_contact(&mut self, host: &id::Host, now: Duration) {
        self.requesting_hosts
            .last_contacts
            .insert(host.clone(), now);
        self.count_schedulers();
    }

    /// Estimates the number of schedulers again.
    fn count_schedulers(&mut self) {
        let schedulers = self.requesting_hosts.schedulers();
        if schedulers != self.schedulers {
            self.schedulers = schedulers;
            self.revisions.change_all();
        }
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
        self.requesting_hosts
            .users
            .retain(|_, user| now < user.at + USE_TIMEOUT);
        self.limits.refill(&self.requesting_hosts, now);
        let requesting_hosts = &self.requesting_hosts;
        self.paths
            .forget_unknown(|host| requesting_hosts.last_contact(host).is_some());
        let by_id = &self.by_id;
        self.limits
            .forget_unlisted(|endpoint| by_id.contains_key(endpoint), now);
        self.refusal_limits.update(&self.requesting_hosts, now);
        self.refusal_limits
            .forget_unlisted(|endpoint| by_id.contains_key(endpoint), now);
        self.count_schedulers();
        self.abandon_where(now, |placed| placed.is_expired(now));
    }
}
