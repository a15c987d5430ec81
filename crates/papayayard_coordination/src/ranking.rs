//! Ranks hosts for work that one host does for many.
//!
//! All hosts compute the same order: higher capacity first, then a hash. Each host asks
//! the first one that has not failed recently; if several in a row have failed, or if
//! it ranks first itself, it does the work itself. A wrong view of the hosts costs time
//! and calls, nothing else.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

/// Backoff after the first failure. It is short because the cause may be a brief delay
/// in a service that the failed host depends on, and during the backoff all hosts do
/// its work themselves.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum backoff, after several failures without an answer in between.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// A host that can be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub host: id::Host,
    /// Address for requests from other hosts.
    pub address: SocketAddr,
    /// Capacity, in any unit that all hosts share.
    pub capacity: u32,
}

/// Sorts hosts into the order that all hosts compute.
pub fn ranked(mut hosts: Vec<Candidate>) -> Vec<Candidate> {
    hosts.sort_by_cached_key(|candidate| {
        let hash = xxh3::xxh3_64(candidate.host.as_str().as_bytes());
        (Reverse(candidate.capacity), hash, candidate.host.clone())
    });
    hosts
}

/// Selects the host to ask, and skips hosts that failed recently.
#[derive(Clone, Debug, Default)]
pub struct Failover {
    order: Vec<Candidate>,
    backoffs: HashMap<id::Host, Backoff>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    next: Duration,
    /// Whether the host answered, with outdated data.
    is_outdated: bool,
}

impl Failover {
    /// Sets the hosts to ask, in order of preference.
    pub fn set(&mut self, order: Vec<Candidate>) {
        self.order = order;
    }

    /// The host to ask now; `None` if this host does the work itself.
    pub fn first(&self, now: Duration) -> Option<&Candidate> {
        self.order
            .iter()
            .find(|candidate| !self.is_backed_off(&candidate.host, now))
    }

    /// Records that a host gave no answer, or an unusable one.
    pub fn failed(&mut self, host: &id::Host, now: Duration) {
        self.back_off(host, now, MAX_BACKOFF, false);
    }

    /// Records that a host gave an answer, but an outdated one. It is asked again after
    /// `max_backoff` at the latest, since it may have newer data at any moment.
    pub fn outdated(&mut self, host: &id::Host, now: Duration, max_backoff: Duration) {
        self.back_off(host, now, max_backoff.min(MAX_BACKOFF), true);
    }

    fn back_off(
        &mut self,
        host: &id::Host,
        now: Duration,
        max_backoff: Duration,
        is_outdated: bool,
    ) {
        let previous = self.backoffs.get(host);
        let next = previous.map_or(INITIAL_BACKOFF, |previous| previous.next);
        let time = next.min(max_backoff);
        let backoff = Backoff {
            until: now + time,
            next: (time * 2).min(max_backoff),
            is_outdated,
        };
        self.backoffs.insert(host.clone(), backoff);
    }

    /// Ends the backoffs of hosts whose answers were outdated, because the reason for
    /// that has ended.
    pub fn forget_outdated(&mut self) {
        self.backoffs.retain(|_, backoff| !backoff.is_outdated);
    }

    /// Records that a host gave an answer.
    pub fn answered(&mut self, host: &id::Host) {
        self.backoffs.remove(host);
    }

    /// Whether a host failed recently.
    pub fn is_backed_off(&self, host: &id::Host, now: Duration) -> bool {
        let backoffs = self.backoffs.get(host);
        backoffs.is_some_and(|backoffs| now < backoffs.until)
    }
}
