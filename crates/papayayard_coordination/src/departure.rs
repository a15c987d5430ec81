//! Which endpoints get no new work, whoever said so first.
//!
//! Four channels tell of a leaving endpoint: the platform's list, its own
//! report, an order, and a peer. The first signal by any of them counts. The
//! list is believed until it says otherwise; a report is believed over signals
//! that are clearly older than it, so a signal about a run that ended, or about
//! an order that was taken back, does not keep an endpoint out for good.

use std::collections::BTreeSet;
use std::time::Duration;

use papayayard_wire::peer::Cause;
use papayayard_wire::{directory, endpoint, id, peer};
use rand::Rng;

use crate::gossip;

/// Time that a signal is kept without being repeated.
pub const TTL: Duration = Duration::from_mins(2);
/// Most signals that are kept.
pub const CAPACITY: usize = 16_384;
/// Time by which a report must be younger than a signal to end it.
pub const SETTLE: Duration = Duration::from_secs(10);

/// A signal that an endpoint leaves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Signal {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Run of its process; none where every run is meant.
    pub incarnation: Option<id::Incarnation>,
    /// Channel.
    pub cause: Cause,
}

impl gossip::Item for Signal {
    fn bytes(&self) -> Vec<u8> {
        let incarnation = self.incarnation.map(|incarnation| incarnation.0);
        format!("{} {incarnation:?} {:?}", self.endpoint, self.cause).into_bytes()
    }
}

/// All signals that hold.
#[derive(Debug)]
pub struct Table {
    signals: gossip::Set<Signal>,
    listed: BTreeSet<id::Endpoint>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            signals: gossip::Set::new(TTL, CAPACITY),
            listed: BTreeSet::new(),
        }
    }
}

impl Table {
    /// Takes the platform's list; whether there is a new signal.
    pub fn update_from_list(&mut self, list: &directory::List, now: Duration) -> bool {
        let mut is_new = false;
        let mut leaving = BTreeSet::new();
        for entry in &list.endpoints {
            let signal = leaving_signal(&entry.id);
            if entry.state == directory::State::Leaving {
                leaving.insert(entry.id.clone());
                is_new |= self.signals.insert(signal, Duration::ZERO, now);
            } else if self.listed.contains(&entry.id) {
                self.signals.withdraw(&signal, now);
            }
        }
        self.listed = leaving;
        is_new
    }

    /// Takes an endpoint's own report; whether there is a new signal.
    pub fn update_from_report(&mut self, report: &endpoint::Report, now: Duration) -> bool {
        let run = Some(report.incarnation);
        let age = Duration::from_millis(report.age_ms);
        if report.state == endpoint::State::Draining {
            let signal = Signal::new(&report.endpoint, run, Cause::Draining);
            return self.signals.insert(signal, Duration::ZERO, now);
        }
        let reported_at = now.saturating_sub(age);
        for cause in [Cause::Draining, Cause::Ordered, Cause::Dead] {
            let signal = Signal::new(&report.endpoint, run, cause);
            let signaled_at = self.signals.first_seen(&signal, now);
            if signaled_at.is_some_and(|at| reported_at >= at + SETTLE) {
                self.signals.withdraw(&signal, now);
            }
        }
        false
    }

    /// Takes an order to drain; whether it is a new signal.
    pub fn record_order(
        &mut self,
        endpoint: &id::Endpoint,
        run: id::Incarnation,
        now: Duration,
    ) -> bool {
        let signal = Signal::new(endpoint, Some(run), Cause::Ordered);
        self.signals.insert(signal, Duration::ZERO, now)
    }

    /// Takes the end of an endpoint's process; whether it is a new signal.
    pub fn record_crash(
        &mut self,
        endpoint: &id::Endpoint,
        run: id::Incarnation,
        now: Duration,
    ) -> bool {
        let signal = Signal::new(endpoint, Some(run), Cause::Dead);
        self.signals.insert(signal, Duration::ZERO, now)
    }

    /// Takes a peer's word; whether there is a new signal.
    pub fn merge(&mut self, departures: &[peer::Departure], now: Duration) -> bool {
        let mut is_new = false;
        for departure in departures {
            let signal = Signal {
                endpoint: departure.endpoint.clone(),
                incarnation: departure.incarnation,
                cause: departure.cause,
            };
            let age = Duration::from_millis(departure.age_ms);
            is_new |= self.signals.insert(signal, age, now);
        }
        is_new
    }

    /// Why a run of an endpoint gets no new work; none where it may get some.
    pub fn cause(
        &self,
        endpoint: &id::Endpoint,
        run: id::Incarnation,
        now: Duration,
    ) -> Option<Cause> {
        let is_listed = self.listed.contains(endpoint);
        if is_listed || self.signals.contains(&leaving_signal(endpoint), now) {
            return Some(Cause::Leaving);
        }
        [Cause::Draining, Cause::Ordered, Cause::Dead]
            .into_iter()
            .find(|cause| {
                let signal = Signal::new(endpoint, Some(run), *cause);
                self.signals.contains(&signal, now)
            })
    }

    /// All signals that hold.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Signal> {
        self.signals.iter(now)
    }

    /// Digest for peers.
    pub fn digest(&mut self, now: Duration) -> peer::Digest {
        self.signals.digest(now)
    }

    /// At most `limit` signals for a peer.
    pub fn sample<Random>(
        &mut self,
        limit: usize,
        now: Duration,
        random: &mut Random,
    ) -> Vec<peer::Departure>
    where
        Random: Rng,
    {
        let sample = self.signals.sample(limit, now, random).into_iter();
        sample
            .map(|(signal, age)| peer::Departure {
                endpoint: signal.endpoint,
                incarnation: signal.incarnation,
                cause: signal.cause,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }
}

impl Signal {
    fn new(endpoint: &id::Endpoint, incarnation: Option<id::Incarnation>, cause: Cause) -> Self {
        Self {
            endpoint: endpoint.clone(),
            incarnation,
            cause,
        }
    }
}

fn leaving_signal(endpoint: &id::Endpoint) -> Signal {
    Signal::new(endpoint, None, Cause::Leaving)
}
