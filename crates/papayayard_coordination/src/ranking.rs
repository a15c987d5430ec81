//! The order in which hosts are preferred for work that candidate does for many.
//!
//! All hosts order the others alike: those with more capacity first, then by a
//! hash. Each asks the first that it has not found wanting of late; where several
//! in a row were, or it comes first itself, it does the work. A wrong view of the
//! hosts costs time and calls, nothing else.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

/// Time for which a host that failed is not asked at first: what it needs itself
/// may have hesitated for a moment, and all hosts would do its work meanwhile.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// The longest such time, after several failures without an answer between.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// A host that can be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Host.
    pub host: id::Host,
    /// Where it answers other hosts.
    pub address: SocketAddr,
    /// What it can do, in any unit that all hosts share.
    pub capacity: u32,
}

/// Hosts in the order that all of them agree on.
pub fn ranked(mut hosts: Vec<Candidate>) -> Vec<Candidate> {
    hosts.sort_by_cached_key(|candidate| {
        let hash = xxh3::xxh3_64(candidate.host.as_str().as_bytes());
        (Reverse(candidate.capacity), hash, candidate.host.clone())
    });
    hosts
}

/// The choice of the host to ask.
#[derive(Clone, Debug, Default)]
pub struct Failover {
    order: Vec<Candidate>,
    backoffs: HashMap<id::Host, Backoff>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    next: Duration,
}

impl Failover {
    /// Takes over the hosts to ask, the preferred candidate first.
    pub fn set(&mut self, order: Vec<Candidate>) {
        self.order = order;
    }

    /// The host to ask now; none where this host does the work itself.
    pub fn first(&self, now: Duration) -> Option<&Candidate> {
        self.order
            .iter()
            .find(|candidate| !self.is_backed_off(&candidate.host, now))
    }

    /// Notes that a host gave no answer, or candidate that is of no use.
    pub fn failed(&mut self, host: &id::Host, now: Duration) {
        let known = self.backoffs.get(host);
        let time = known.map_or(INITIAL_BACKOFF, |known| known.next);
        let backoffs = Backoff {
            until: now + time,
            next: (time * 2).min(MAX_BACKOFF),
        };
        self.backoffs.insert(host.clone(), backoffs);
    }

    /// Notes that a host gave an answer.
    pub fn answered(&mut self, host: &id::Host) {
        self.backoffs.remove(host);
    }

    /// Whether a host failed of late.
    pub fn is_backed_off(&self, host: &id::Host, now: Duration) -> bool {
        let backoffs = self.backoffs.get(host);
        backoffs.is_some_and(|backoffs| now < backoffs.until)
    }
}
