//! Which host reads the platform's store for others.
//!
//! Bytes between hosts cost little and calls to the store are counted, so one
//! host of a zone reads and the others ask it. Of these the first of all zones
//! reads the store, and the others ask that one: a zone that is cut off has its
//! own reader at once.
//!
//! The store can turn single hosts away, and be gone when a host starts. Then any
//! host may know more, also one of another zone.

use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

use crate::ranking::{Candidate, Choice, ranked};

/// Hosts that are asked, one after the other, before the store.
const MOST_ASKED: usize = 2;
/// Time for which the store is left alone after it gave no answer, where another
/// host can be asked; and the longest such time after several failures.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

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

/// Which hosts read for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// One in each zone.
    Zone,
    /// One in each zone, and one of them for all zones.
    All,
}

/// The choice of one host.
#[derive(Clone, Debug)]
pub struct Readers {
    own: id::Host,
    reach: Reach,
    choice: Choice,
    /// Whether this host reads for its zone.
    is_first_of_zone: bool,
    /// Hosts that may know more where the store does not answer.
    others: Vec<Candidate>,
    /// Set while the store gives this host no answer.
    outage: Option<Outage>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    paused_until: Duration,
    next_pause: Duration,
}

impl Readers {
    /// A choice that knows no other host.
    pub fn new(own: id::Host, reach: Reach) -> Self {
        Self {
            own,
            reach,
            choice: Choice::default(),
            is_first_of_zone: true,
            others: Vec::new(),
            outage: None,
        }
    }

    /// Takes over hosts of which nothing is known but where they may answer. They
    /// are asked where the store does not answer, and do not read for this host.
    pub fn set_unknown(&mut self, others: Vec<Candidate>) {
        self.choice.set(Vec::new());
        self.is_first_of_zone = true;
        self.others = self.fallbacks(&[], others);
    }

    /// Takes over the hosts of the zone, this one among them, and those of other
    /// zones.
    pub fn set(&mut self, zone: Vec<Candidate>, others: Vec<Candidate>) {
        let zone = ranked(zone);
        let first = zone.first();
        self.is_first_of_zone = first.is_none_or(|first| first.host == self.own);
        let asked = match self.reach {
            Reach::All if self.is_first_of_zone => {
                let all = zone.iter().chain(&others).cloned().collect();
                ranked(all)
            }
            _ => zone.clone(),
        };
        let before = asked.into_iter().take_while(|one| one.host != self.own);
        self.choice.set(before.take(MOST_ASKED).collect());
        self.others = self.fallbacks(&zone, others);
    }

    /// Hosts of the zone, then those of others, in an order of this host's own: so
    /// calls are spread.
    fn fallbacks(&self, zone: &[Candidate], mut others: Vec<Candidate>) -> Vec<Candidate> {
        let seed = xxh3::xxh3_64(self.own.as_str().as_bytes());
        others
            .sort_by_cached_key(|one| xxh3::xxh3_64_with_seed(one.host.as_str().as_bytes(), seed));
        let zone = zone.iter().filter(|one| one.host != self.own);
        zone.cloned().chain(others).collect()
    }

    /// Whether this host reads for its zone, as far as it knows.
    pub const fn is_first_of_zone(&self) -> bool {
        self.is_first_of_zone
    }

    /// Whether no other host is known.
    pub const fn is_alone(&self) -> bool {
        self.others.is_empty()
    }

    /// The host to ask where the store has not answered: first one of the zone.
    pub fn fallback(&self, now: Duration) -> Option<&Candidate> {
        let mut hosts = self.others.iter();
        hosts.find(|one| !self.choice.is_avoided(&one.host, now))
    }

    /// Where to read from now.
    pub fn source(&self, now: Duration) -> Source {
        let is_paused = |outage: &Outage| now < outage.paused_until;
        let fallback = || match &self.outage {
            Some(outage) if is_paused(outage) => self.fallback(now),
            _ => None,
        };
        let peer = self.choice.first(now).or_else(fallback);
        match peer {
            Some(one) => Source::Peer {
                host: one.host.clone(),
                address: one.address,
            },
            None if self.outage.is_some() => Source::Probe,
            None => Source::Store,
        }
    }

    /// Notes that the store gave this host no answer.
    pub fn store_failed(&mut self, now: Duration) {
        let pause = self.outage.map_or(FIRST_PAUSE, |outage| outage.next_pause);
        self.outage = Some(Outage {
            paused_until: now + pause,
            next_pause: (pause * 2).min(LONGEST_PAUSE),
        });
    }

    /// Notes that the store gave this host an answer.
    pub const fn store_answered(&mut self) {
        self.outage = None;
    }

    /// Notes that a host gave no answer, or an old one.
    pub fn failed(&mut self, host: &id::Host, now: Duration) {
        self.choice.failed(host, now);
    }

    /// Notes that a host gave an answer.
    pub fn answered(&mut self, host: &id::Host) {
        self.choice.answered(host);
    }
}
