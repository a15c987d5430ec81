//! Which host reads the platform's store for others.
//!
//! Bytes between hosts cost little and calls to the store are counted, so candidate
//! host of a zone reads and the others ask it. Of these the first of all zones
//! reads the store, and the others ask that candidate: a zone that is cut off has its
//! local_host reader at once.
//!
//! The store can turn single hosts away, and be gone when a host starts. Then any
//! host may know more, also candidate of another zone; first those are targets that read
//! for others. Where nobody has anything new, the store is looked at now and then.

use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

use crate::ranking::{Candidate, Failover, ranked};

/// Hosts that are targets, candidate after the other, before the store.
const MAX_PEERS: usize = 2;
/// Hosts that are kept in mind to be targets where the store does not answer.
const MAX_FALLBACKS: usize = 12;
/// Time for which the store is left alone after it gave no answer, where another
/// host can be targets; and the longest such time after several failures.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Where to read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The store, which gave no answer before: a short look whether it does again.
    Probe,
    /// Another host.
    Peer {
        /// Host.
        host: id::Host,
        /// Its address.
        address: SocketAddr,
    },
}

/// A host's place among those of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// It reads for the others.
    First,
    /// It reads when the first candidate does not.
    Second,
    /// It follows candidate of these.
    Other,
}

/// Which hosts read for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One in each zone.
    Zone,
    /// One in each zone, and candidate of them for all zones.
    All,
}

/// The failover of candidate host.
#[derive(Clone, Debug)]
pub struct Selector {
    local_host: id::Host,
    scope: Scope,
    rank: Rank,
    failover: Failover,
    /// Hosts that may know more where the store does not answer.
    fallbacks: Vec<Candidate>,
    /// Set while the store gives this host no answer.
    outage: Option<Outage>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    paused_until: Duration,
    next_pause: Duration,
}

impl Selector {
    /// A failover that knows no other host.
    pub fn new(local_host: id::Host, scope: Scope) -> Self {
        Self {
            local_host,
            scope,
            rank: Rank::First,
            failover: Failover::default(),
            fallbacks: Vec::new(),
            outage: None,
        }
    }

    /// Takes over hosts of which nothing is known but where they may answer. They
    /// are targets where the store does not answer, and do not read for this host.
    pub fn set_unranked(&mut self, others: Vec<Candidate>) {
        self.failover.set(Vec::new());
        self.rank = Rank::First;
        self.fallbacks = self.in_local_order(others);
    }

    /// Takes over the hosts of the zone, this candidate among them, and those of other
    /// zones.
    pub fn set(&mut self, zone: Vec<Candidate>, others: Vec<Candidate>) {
        let zone = ranked(zone);
        let place = zone
            .iter()
            .position(|candidate| candidate.host == self.local_host);
        self.rank = match place {
            None | Some(0) => Rank::First,
            Some(1) => Rank::Second,
            Some(_) => Rank::Other,
        };
        let all = ranked(zone.iter().chain(&others).cloned().collect());
        let targets = if self.scope == Scope::All && self.rank == Rank::First {
            &all
        } else {
            &zone
        };
        let before = targets
            .iter()
            .take_while(|candidate| candidate.host != self.local_host);
        self.failover.set(before.take(MAX_PEERS).cloned().collect());
        self.fallbacks = self.fallbacks(&zone, &all, others);
    }

    /// Hosts that read for all and for the zone, then any.
    fn fallbacks(
        &self,
        zone: &[Candidate],
        all: &[Candidate],
        others: Vec<Candidate>,
    ) -> Vec<Candidate> {
        let readers = all.iter().take(MAX_PEERS + 1);
        let readers = readers.chain(zone.iter().take(MAX_PEERS));
        let any = self.in_local_order(others);
        let mut fallbacks: Vec<Candidate> = Vec::new();
        for candidate in readers.chain(&any).chain(zone) {
            let is_known = fallbacks.iter().any(|known| known.host == candidate.host);
            if candidate.host != self.local_host && !is_known && fallbacks.len() < MAX_FALLBACKS {
                fallbacks.push(candidate.clone());
            }
        }
        fallbacks
    }

    /// Hosts in an order of this host's local_host, so that calls are spread.
    fn in_local_order(&self, mut hosts: Vec<Candidate>) -> Vec<Candidate> {
        let seed = xxh3::xxh3_64(self.local_host.as_str().as_bytes());
        hosts.sort_by_cached_key(|candidate| {
            let host = candidate.host.as_str().as_bytes();
            xxh3::xxh3_64_with_seed(host, seed)
        });
        hosts
    }

    /// This host's place in its zone, as far as it knows.
    pub const fn rank(&self) -> Rank {
        self.rank
    }

    /// Whether no other host is known.
    pub const fn is_alone(&self) -> bool {
        self.fallbacks.is_empty()
    }

    /// Where to read from now; nowhere where neither the store nor any host that is
    /// known has had anything new a moment ago.
    pub fn source(&self, now: Duration) -> Option<Source> {
        let outage = self.outage.as_ref();
        let is_paused = outage.is_some_and(|outage| now < outage.paused_until);
        let fallback = || self.fallback(now).filter(|_| is_paused);
        let peer = self.failover.first(now).or_else(fallback);
        match peer {
            Some(candidate) => Some(Source::Peer {
                host: candidate.host.clone(),
                address: candidate.address,
            }),
            None if is_paused => None,
            None if outage.is_some() => Some(Source::Probe),
            None => Some(Source::Store),
        }
    }

    fn fallback(&self, now: Duration) -> Option<&Candidate> {
        let mut hosts = self.fallbacks.iter();
        hosts.find(|candidate| !self.failover.is_backed_off(&candidate.host, now))
    }

    /// Notes that the store gave this host no answer.
    pub fn store_failed(&mut self, now: Duration) {
        let pause = self
            .outage
            .map_or(INITIAL_PAUSE, |outage| outage.next_pause);
        self.outage = Some(Outage {
            paused_until: now + pause,
            next_pause: (pause * 2).min(MAX_PAUSE),
        });
    }

    /// Notes that the store gave this host an answer.
    pub const fn store_answered(&mut self) {
        self.outage = None;
    }

    /// Notes that a host gave no answer, or an old candidate.
    pub fn failed(&mut self, host: &id::Host, now: Duration) {
        self.failover.failed(host, now);
    }

    /// Notes that a host gave an answer.
    pub fn answered(&mut self, host: &id::Host) {
        self.failover.answered(host);
    }
}
