//! Chooses which host reads the platform's store for other hosts.
//!
//! Bytes between hosts cost little and calls to the store are counted, so one host of a
//! zone reads the store and the others ask that host. Of these readers, the first over
//! all zones reads the store and the others ask it. A partitioned zone therefore has
//! its own reader immediately.
//!
//! The store can refuse individual hosts, or be unavailable when a host starts. Any
//! other host may then have newer data, including hosts of other zones; the readers are
//! asked first. The store is probed from time to time: less and less often while another
//! host keeps this one up to date, and at a fixed interval while none does, since an
//! outage can end at any moment.

use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

use crate::ranking::{Candidate, Failover, ranked};

/// Number of hosts asked, in order, before the store.
const MAX_PEERS: usize = 2;
/// Number of hosts remembered as fallbacks for when the store does not answer.
const MAX_FALLBACKS: usize = 12;
/// How long the store is not called after it gave no answer, while another host has
/// newer data; first the initial value, then the maximum after several failures.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Maximum backoff of a host whose reading was outdated, in maximum pauses.
const BACKOFF_PAUSES: u32 = 2;

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
    /// Whether the host asked last had an up-to-date reading.
    is_supplied: bool,
    /// Maximum pause while no other host has an up-to-date reading.
    max_pause: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    failed_at: Duration,
    pause: Duration,
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
            is_supplied: false,
            max_pause: MAX_PAUSE,
        }
    }

    /// Sets the maximum pause between calls to a store that does not answer while no
    /// other host has newer data either.
    #[must_use]
    pub const fn with_max_pause(mut self, max_pause: Duration) -> Self {
        self.max_pause = max_pause;
        self
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
        self.fallbacks = self.select_fallbacks(&zone, &all, others);
    }

    /// Hosts that may have newer data while the store does not answer, in order.
    pub fn fallbacks(&self) -> &[Candidate] {
        &self.fallbacks
    }

    /// Readers for all zones and for the local zone, then any other hosts.
    fn select_fallbacks(
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
        let is_paused = self.paused_until().is_some_and(|until| now < until);
        let is_due = self.outage.is_some() && !is_paused;
        if is_due && !self.is_supplied {
            return Some(Source::Probe);
        }
        let fallback = || self.fallback(now).filter(|_| is_paused);
        let peer = self.failover.first(now).or_else(fallback);
        match peer {
            Some(candidate) => Some(Source::Peer {
                host: candidate.host.clone(),
                address: candidate.address,
            }),
            None if is_paused => None,
            None if is_due => Some(Source::Probe),
            None => Some(Source::Store),
        }
    }

    /// When the store is to be called again whatever other hosts answer; `None` while it
    /// answers, or while another host keeps this one up to date.
    pub fn next_probe(&self) -> Option<Duration> {
        self.paused_until().filter(|_| !self.is_supplied)
    }

    fn paused_until(&self) -> Option<Duration> {
        let outage = self.outage?;
        Some(outage.failed_at + self.pause(outage))
    }

    fn pause(&self, outage: Outage) -> Duration {
        if self.is_supplied {
            outage.pause
        } else {
            outage.pause.min(self.max_pause)
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
        let outage = Outage {
            failed_at: now,
            pause,
            next_pause: (pause * 2).min(MAX_PAUSE),
        };
        self.outage = Some(outage);
        self.pause(outage)
    }

    /// Records that the store answered this host. Hosts whose readings were outdated have
    /// probably reached it too.
    pub fn store_answered(&mut self) {
        if self.outage.take().is_some() {
            self.failover.forget_outdated();
        }
        self.is_supplied = false;
    }

    /// Records that the store has answered another task of this host, which ends the pause.
    pub fn store_recovered(&mut self) {
        if let Some(outage) = &mut self.outage {
            outage.pause = Duration::ZERO;
        }
        self.is_supplied = false;
    }

    /// Whether the store does not answer this host.
    pub const fn is_store_away(&self) -> bool {
        self.outage.is_some()
    }

    /// Records that a host gave no answer.
    pub fn failed(&mut self, host: &id::Host, now: Duration) {
        self.is_supplied = false;
        self.failover.failed(host, now);
    }

    /// Records that a host gave an outdated answer.
    pub fn outdated(&mut self, host: &id::Host, now: Duration) {
        self.is_supplied = false;
        let max_backoff = self.max_pause * BACKOFF_PAUSES;
        self.failover.outdated(host, now, max_backoff);
    }

    /// Records that a host gave an up-to-date answer.
    pub fn answered(&mut self, host: &id::Host) {
        self.is_supplied = true;
        self.failover.answered(host);
    }
}
