//! The order in which hosts are preferred for work that one does for many.
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
const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);
/// The longest such time, after several failures without an answer between.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(8);

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
    hosts.sort_by_cached_key(|one| {
        let hash = xxh3::xxh3_64(one.host.as_str().as_bytes());
        (Reverse(one.capacity), hash, one.host.clone())
    });
    hosts
}

/// The choice of the host to ask.
#[derive(Clone, Debug, Default)]
pub struct Choice {
    order: Vec<Candidate>,
    avoided: HashMap<id::Host, Avoided>,
}

#[derive(Clone, Copy, Debug)]
struct Avoided {
    until: Duration,
    next: Duration,
}

impl Choice {
    /// Takes over the hosts to ask, the preferred one first.
    pub fn set(&mut self, order: Vec<Candidate>) {
        self.order = order;
    }

    /// The host to ask now; none where this host does the work itself.
    pub fn first(&self, now: Duration) -> Option<&Candidate> {
        self.order
            .iter()
            .find(|one| !self.is_avoided(&one.host, now))
    }

    /// Notes that a host gave no answer, or one that is of no use.
    pub fn failed(&mut self, host: &id::Host, now: Duration) {
        let known = self.avoided.get(host);
        let time = known.map_or(FIRST_AVOIDANCE, |known| known.next);
        let avoided = Avoided {
            until: now + time,
            next: (time * 2).min(LONGEST_AVOIDANCE),
        };
        self.avoided.insert(host.clone(), avoided);
    }

    /// Notes that a host gave an answer.
    pub fn answered(&mut self, host: &id::Host) {
        self.avoided.remove(host);
    }

    /// Whether a host failed of late.
    pub fn is_avoided(&self, host: &id::Host, now: Duration) -> bool {
        let avoided = self.avoided.get(host);
        avoided.is_some_and(|avoided| now < avoided.until)
    }
}
