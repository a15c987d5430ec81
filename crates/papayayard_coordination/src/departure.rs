//! Which endpoints get no new work, whoever said so first.
//!
//! Four channels tell of a leaving endpoint: the platform's list, its own
//! report, an order, and a peer. The first sign by any of them counts. The
//! list is believed until it says otherwise; a report is believed over signs
//! that are clearly older than it, so a sign about a run that ended, or about
//! an order that was taken back, does not keep an endpoint out for good.

use std::collections::BTreeSet;
use std::time::Duration;

use papayayard_wire::peer::Cause;
use papayayard_wire::{directory, endpoint, id, peer};
use rand::Rng;

use crate::gossip;

/// Time that a sign is kept without being repeated.
pub const TTL: Duration = Duration::from_mins(2);
/// Most signs that are kept.
pub const CAPACITY: usize = 16_384;
/// Time by which a report must be younger than a sign to end it.
pub const SETTLE: Duration = Duration::from_secs(10);

/// A sign that an endpoint leaves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sign {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Run of its process; none where every run is meant.
    pub incarnation: Option<id::Incarnation>,
    /// Channel.
    pub cause: Cause,
}

impl gossip::Item for Sign {
    fn bytes(&self) -> Vec<u8> {
        let incarnation = self.incarnation.map(|incarnation| incarnation.0);
        format!("{} {incarnation:?} {:?}", self.endpoint, self.cause).into_bytes()
    }
}

/// All signs that hold.
#[derive(Debug)]
pub struct Table {
    signs: gossip::Set<Sign>,
    listed: BTreeSet<id::Endpoint>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            signs: gossip::Set::new(TTL, CAPACITY),
            listed: BTreeSet::new(),
        }
    }
}

impl Table {
    /// Takes the platform's list; whether there is a new sign.
    pub fn listed(&mut self, list: &directory::List, now: Duration) -> bool {
        let mut is_new = false;
        let mut leaving = BTreeSet::new();
        for entry in &list.endpoints {
            let sign = leaving_sign(&entry.id);
            if entry.state == directory::State::Leaving {
                leaving.insert(entry.id.clone());
                is_new |= self.signs.insert(sign, Duration::ZERO, now);
            } else if self.listed.contains(&entry.id) {
                self.signs.withdraw(&sign, now);
            }
        }
        self.listed = leaving;
        is_new
    }

    /// Takes an endpoint's own report; whether there is a new sign.
    pub fn reported(&mut self, report: &endpoint::Report, now: Duration) -> bool {
        let run = Some(report.incarnation);
        let age = Duration::from_millis(report.age_ms);
        if report.state == endpoint::State::Draining {
            let sign = Sign::new(&report.endpoint, run, Cause::Draining);
            return self.signs.insert(sign, Duration::ZERO, now);
        }
        let told_at = now.saturating_sub(age);
        for cause in [Cause::Draining, Cause::Ordered, Cause::Dead] {
            let sign = Sign::new(&report.endpoint, run, cause);
            let signed_at = self.signs.sign(&sign, now);
            if signed_at.is_some_and(|at| told_at >= at + SETTLE) {
                self.signs.withdraw(&sign, now);
            }
        }
        false
    }

    /// Takes an order to drain; whether it is a new sign.
    pub fn ordered(
        &mut self,
        endpoint: &id::Endpoint,
        run: id::Incarnation,
        now: Duration,
    ) -> bool {
        let sign = Sign::new(endpoint, Some(run), Cause::Ordered);
        self.signs.insert(sign, Duration::ZERO, now)
    }

    /// Takes the end of an endpoint's process; whether it is a new sign.
    pub fn died(&mut self, endpoint: &id::Endpoint, run: id::Incarnation, now: Duration) -> bool {
        let sign = Sign::new(endpoint, Some(run), Cause::Dead);
        self.signs.insert(sign, Duration::ZERO, now)
    }

    /// Takes a peer's word; whether there is a new sign.
    pub fn heard(&mut self, departures: &[peer::Departure], now: Duration) -> bool {
        let mut is_new = false;
        for departure in departures {
            let sign = Sign {
                endpoint: departure.endpoint.clone(),
                incarnation: departure.incarnation,
                cause: departure.cause,
            };
            let age = Duration::from_millis(departure.age_ms);
            is_new |= self.signs.insert(sign, age, now);
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
        if is_listed || self.signs.contains(&leaving_sign(endpoint), now) {
            return Some(Cause::Leaving);
        }
        [Cause::Draining, Cause::Ordered, Cause::Dead]
            .into_iter()
            .find(|cause| {
                let sign = Sign::new(endpoint, Some(run), *cause);
                self.signs.contains(&sign, now)
            })
    }

    /// All signs that hold.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Sign> {
        self.signs.iter(now)
    }

    /// Digest for peers.
    pub fn digest(&mut self, now: Duration) -> peer::Digest {
        self.signs.digest(now)
    }

    /// At most `limit` signs for a peer.
    pub fn part<Random>(
        &mut self,
        limit: usize,
        now: Duration,
        random: &mut Random,
    ) -> Vec<peer::Departure>
    where
        Random: Rng,
    {
        let part = self.signs.part(limit, now, random).into_iter();
        part.map(|(sign, age)| peer::Departure {
            endpoint: sign.endpoint,
            incarnation: sign.incarnation,
            cause: sign.cause,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
        .collect()
    }
}

impl Sign {
    fn new(endpoint: &id::Endpoint, incarnation: Option<id::Incarnation>, cause: Cause) -> Self {
        Self {
            endpoint: endpoint.clone(),
            incarnation,
            cause,
        }
    }
}

fn leaving_sign(endpoint: &id::Endpoint) -> Sign {
    Sign::new(endpoint, None, Cause::Leaving)
}
