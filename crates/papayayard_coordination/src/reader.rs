//! Which host of a zone reads the platform's store for the others.
//!
//! Bytes within a zone are free and calls to the store are not, so one host
//! reads and the others ask it. All hosts of a zone order the hosts alike: those
//! with more capacity first, then by a hash. A host asks the first that it has
//! not found wanting of late; where several in a row were, or it comes first
//! itself, it reads the store. A wrong view of the hosts costs calls, nothing
//! else.
//!
//! The store can turn single hosts away, and be gone when a host starts. Then any
//! host may know more, also one of another zone.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

/// Time for which a host that had nothing new is not asked at first: the store
/// may have hesitated for a moment, and all hosts would read it meanwhile.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);
/// The longest such time, after several failures without an answer between.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(8);
/// Hosts that are asked, one after the other, before the store.
const MOST_ASKED: usize = 2;

/// A host of the zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Host.
    pub host: id::Host,
    /// Where it answers other hosts.
    pub address: SocketAddr,
    /// What it can do, in any unit that all hosts share.
    pub capacity: u32,
}

/// Where to read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another host of the zone.
    Peer {
        /// Host.
        host: id::Host,
        /// Its address.
        address: SocketAddr,
    },
}

/// The choice of one host.
#[derive(Clone, Debug)]
pub struct Readers {
    own: id::Host,
    order: Vec<Candidate>,
    /// Hosts that may know more where the store does not answer.
    others: Vec<Candidate>,
    avoided: HashMap<id::Host, Avoided>,
}

#[derive(Clone, Copy, Debug)]
struct Avoided {
    until: Duration,
    next: Duration,
}

impl Readers {
    /// A choice that knows no other host.
    pub fn new(own: id::Host) -> Self {
        Self {
            own,
            order: Vec::new(),
            others: Vec::new(),
            avoided: HashMap::new(),
        }
    }

    /// Takes over the hosts of the zone, this one among them.
    pub fn set(&mut self, mut hosts: Vec<Candidate>) {
        hosts.sort_by_cached_key(|one| {
            let hash = xxh3::xxh3_64(one.host.as_str().as_bytes());
            (Reverse(one.capacity), hash, one.host.clone())
        });
        self.order = hosts;
    }

    /// Takes over hosts beside those of the zone.
    pub fn set_others(&mut self, mut hosts: Vec<Candidate>) {
        // Each host has an order of its own, so that their calls are spread.
        let seed = xxh3::xxh3_64(self.own.as_str().as_bytes());
        hosts.sort_by_cached_key(|one| xxh3::xxh3_64_with_seed(one.host.as_str().as_bytes(), seed));
        self.others = hosts;
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty() && self.others.is_empty()
    }

    /// The host to ask where the store has not answered: first one of the zone.
    pub fn fallback(&self, now: Duration) -> Option<&Candidate> {
        let mut hosts = self.order.iter().chain(&self.others);
        hosts.find(|one| one.host != self.own && !self.is_avoided(&one.host, now))
    }

    /// Where to read from now.
    pub fn source(&self, now: Duration) -> Source {
        let before = self.order.iter().take_while(|one| one.host != self.own);
        let peer = before
            .take(MOST_ASKED)
            .find(|one| !self.is_avoided(&one.host, now));
        peer.map_or(Source::Store, |one| Source::Peer {
            host: one.host.clone(),
            address: one.address,
        })
    }

    /// Notes that a host gave no answer, or an old one.
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

    fn is_avoided(&self, host: &id::Host, now: Duration) -> bool {
        let avoided = self.avoided.get(host);
        avoided.is_some_and(|avoided| now < avoided.until)
    }
}
