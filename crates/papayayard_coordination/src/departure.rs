//! Tracks which endpoints get no new work because they are leaving.
//!
//! A departure is reported by any of four channels: the platform's list, the endpoint's
//! own report, an order, or a peer. The first signal from any channel takes effect. A
//! signal from the list holds until the list changes. A report overrides signals that
//! are clearly older than it, so a signal about a run that has ended, or about an order
//! that was withdrawn, does not exclude an endpoint permanently.

use std::collections::BTreeSet;
use std::time::Duration;

use papayayard_wire::peer::Cause;
use papayayard_wire::{directory, endpoint, id, peer};
use rand::Rng;

use crate::gossip;

/// How long a signal is kept without being renewed.
pub const TTL: Duration = Duration::from_mins(2);
/// Maximum number of signals kept.
pub const CAPACITY: usize = 16_384;
/// How much newer than a signal a report must be to clear it.
pub const SETTLE: Duration = Duration::from_secs(10);

/// Evidence that an endpoint is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Signal {
    pub endpoint: id::Endpoint,
    /// Run of the endpoint's process; `None` applies to every run.
    pub incarnation: Option<id::Incarnation>,
    /// Channel that the signal came from.
    pub cause: Cause,
}

impl gossip::Item for Signal {
    fn bytes(&self) -> Vec<u8> {
        let incarnation = self.incarnation.map(|incarnation| incarnation.0);
        format!("{} {incarnation:?} {:?}", self.endpoint, self.cause).into_bytes()
    }
}

/// All signals in effect.
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
    /// Applies the platform's list; returns whether there is a new signal.
    pub fn apply_list(&mut self, list: &directory::List, now: Duration) -> bool {
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

    /// Applies an endpoint's own report; returns whether there is a new signal.
    pub fn apply_report(&mut self, report: &endpoint::Report, now: Duration) -> bool {
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

    /// Records an order to drain; returns whether the signal is new.
    pub fn record_order(
        &mut self,
        endpoint: &id::Endpoint,
        run: id::Incarnation,
        now: Duration,
    ) -> bool {
        let signal = Signal::new(endpoint, Some(run), Cause::Ordered);
        self.signals.insert(signal, Duration::ZERO, now)
    }

    /// Records a crash of an endpoint's process; returns whether the signal is new.
    pub fn record_crash(
        &mut self,
        endpoint: &id::Endpoint,
        run: id::Incarnation,
        now: Duration,
    ) -> bool {
        let signal = Signal::new(endpoint, Some(run), Cause::Dead);
        self.signals.insert(signal, Duration::ZERO, now)
    }

    /// Merges departures received from a peer; returns whether there is a new signal.
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

    /// Why a run of an endpoint gets no new work; `None` if it may get some.
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

    /// All signals in effect.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Signal> {
        self.signals.iter(now)
    }

    /// Digest that peers compare with theirs.
    pub fn digest(&mut self, now: Duration) -> peer::Digest {
        self.signals.digest(now)
    }

    /// At most `limit` signals to send to a peer.
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
