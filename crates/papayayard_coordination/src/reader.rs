//! Chooses which host reads the platform's store for other hosts.
//!
//! Bytes between hosts cost little and calls to the store are counted, so one host of a
//! zone reads the store and the others ask that host. Of these readers, the first over
//! all zones reads the store and the others ask it. A partitioned zone therefore has
//! its own reader immediately.
//!
//! The store can refuse individual hosts, or be unavailable when a host starts. Any
//! other host may then have newer data, including hosts of other zones; the readers are
//! asked first. If no host has anything new, the store is probed from time to time.

use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

use crate::ranking::{Candidate, Failover, ranked};

/// Number of hosts asked, in order, before the store.
const MAX_PEERS: usize = 2;
/// Number of hosts remembered as fallbacks for when the store does not answer.
const MAX_FALLBACKS: usize = 12;
/// How long the store is not called after it gave no answer, if another host can be
/// asked; first the initial value, then the maximum after several failures.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Where to read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    Store,
    /// The store, which gave no answer before: a short call to check whether it has
    /// recovered.
    Probe,
    Peer {
        host: id::Host,
        address: SocketAddr,
    },
}

/// Rank of a host within its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// Reads for the others.
    First,
    /// Reads if the first one does not.
    Second,
    /// Asks the first or the second.
    Other,
}

/// Which hosts read for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One in each zone.
    Zone,
    /// One in each zone, and one of those for all zones.
    All,
}

/// Selects the source that this host reads from.
#[derive(Clone, Debug)]
pub struct Selector {
    local_host: id::Host,
    scope: Scope,
    rank: Rank,
    failover: Failover,
    /// Hosts that may have newer data while the store does not answer.
    fallbacks: Vec<Candidate>,
    /// Set while the store does not answer this host.
    outage: Option<Outage>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    paused_until: Duration,
    next_pause: Duration,
}

impl Selector {
    /// Creates a selector without other hosts.
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

    /// Sets hosts of which only the addresses are known. They are asked only if the
    /// store does not answer, and do not read for this host.
    pub fn set_unranked(&mut self, others: Vec<Candidate>) {
        self.failover.set(Vec::new());
        self.rank = Rank::First;
        self.fallbacks = self.in_local_order(others);
    }

    /// Sets the hosts of the local zone, including this one, and those of other zones.
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

    /// Readers for all zones and for the local zone, then any other hosts.
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
            let is_included = fallbacks
                .iter()
                .any(|included| included.host == candidate.host);
            if candidate.host != self.local_host && !is_included && fallbacks.len() < MAX_FALLBACKS
            {
                fallbacks.push(candidate.clone());
            }
        }
        fallbacks
    }

    /// Sorts hosts into an order that differs by local host, which spreads the calls.
    fn in_local_order(&self, mut hosts: Vec<Candidate>) -> Vec<Candidate> {
        let seed = xxh3::xxh3_64(self.local_host.as_str().as_bytes());
        hosts.sort_by_cached_key(|candidate| {
            let host = candidate.host.as_str().as_bytes();
            xxh3::xxh3_64_with_seed(host, seed)
        });
        hosts
    }

    /// This host's rank in its zone, by the hosts set last.
    pub const fn rank(&self) -> Rank {
        self.rank
    }

    /// Whether no other host is known.
    pub const fn is_alone(&self) -> bool {
        self.fallbacks.is_empty()
    }

    /// Where to read from now; `None` if neither the store nor any known host had
    /// anything new a moment ago.
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

    /// Records that the store did not answer this host. Returns the pause until it is
    /// called again.
    pub fn store_failed(&mut self, now: Duration) -> Duration {
        let pause = self
            .outage
            .map_or(INITIAL_PAUSE, |outage| outage.next_pause);
        self.outage = Some(Outage {
            paused_until: now + pause,
            next_pause: (pause * 2).min(MAX_PAUSE),
        });
        pause
    }

    /// Records that the store answered this host.
    pub const fn store_answered(&mut self) {
        self.outage = None;
    }

    /// Records that a host gave no answer, or an outdated one.
    pub fn failed(&mut self, host: &id::Host, now: Duration) {
        self.failover.failed(host, now);
    }

    /// Records that a host gave an answer.
    pub fn answered(&mut self, host: &id::Host) {
        self.failover.answered(host);
    }
}
