//! Places requests at endpoints, lets them wait, and turns them away.
//!
//! The scheduler holds what a host believes of all endpoints. A request that
//! has no place waits by urgency and then by arrival, for a part of the time
//! in which its answer is due; then it is refused and told when to come back.
//! What cannot be served at all is refused at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;
use slotmap::SlotMap;

use crate::table::Table;
use crate::weights;

mod ask;
mod askers;
mod backend;
mod cache;
mod cost;
mod course;
mod delay;
mod fetch;
mod link;
mod load;
mod news;
mod pace;
mod place;
mod reach;
mod select;
mod split;
mod stated;

use askers::Askers;
use backend::Backend;
use course::Placed;
use stated::Stated;

pub use ask::{
    Ask, BackendKey, Decision, Open, Outcome, Placement, Refused, Seen, Ticket, Waiting,
};
pub use backend::Endpoint;
pub use cache::Cache;
pub use delay::{Delay, Usual};
pub use link::{Link, transfer_time};
pub use load::{Amounts, Load};
pub use pace::Pace;
pub use reach::Reach;
pub use split::{Demand, draw};

/// Part of the time to the target that a request may wait for a place.
const WAIT_PART: f64 = 0.4;
/// Longest time to come back in.
const LONGEST_RETRY: Duration = Duration::from_millis(2500);
/// Part of the time left that callers wait at most before they come back.
const RETRY_PART: f64 = 0.3;
/// Part of the time to come back in by which callers are spread.
const RETRY_SPREAD: f64 = 0.4;

/// What bounds a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time for which older weights may be used.
    pub old_weights: Duration,
    /// Time from which on older weights count as a loss.
    pub old_weights_grace: Duration,
}

/// Endpoints, what is believed of them, and the requests that wait.
pub struct Scheduler {
    settings: Settings,
    table: Arc<Table>,
    /// Schedulers that place requests at the same endpoints, this one included.
    hosts: usize,
    askers: Askers,
    backends: SlotMap<BackendKey, Backend>,
    by_id: HashMap<id::Endpoint, BackendKey>,
    stated: HashMap<id::Endpoint, Stated>,
    stores: HashMap<id::Service, Store>,
    named: HashMap<id::Model, weights::TargetVersions>,
    reach: Reach,
    usual: Usual,
    paces: HashMap<id::Service, Pace>,
    demand: Demand,
    refusals: u64,
    tickets: SlotMap<Ticket, Placed>,
    waiting: SlotMap<Waiting, Pending>,
    arrivals: u64,
}

/// A store of cached prompts.
#[derive(Default)]
struct Store {
    cache: Cache,
    link: Link,
    /// Whether it has told what it keeps since it was last silent.
    is_reached: bool,
}

struct Pending {
    ask: Ask,
    arrival: u64,
    since: Duration,
}

impl Scheduler {
    /// A scheduler without endpoints.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            table: Arc::default(),
            hosts: 1,
            askers: Askers::default(),
            backends: SlotMap::with_key(),
            by_id: HashMap::new(),
            stated: HashMap::new(),
            stores: HashMap::new(),
            named: HashMap::new(),
            reach: Reach::default(),
            usual: Usual::default(),
            paces: HashMap::new(),
            demand: Demand::default(),
            refusals: 0,
            tickets: SlotMap::with_key(),
            waiting: SlotMap::with_key(),
            arrivals: 0,
        }
    }

    /// Lets a request wait for an endpoint; see [`Self::decide`].
    pub fn ask(&mut self, ask: Ask, now: Duration) -> Waiting {
        self.arrivals += 1;
        if let Some(prompt) = &ask.prompt {
            let pace = self.pace(&ask.service);
            self.demand.asked(prompt, pace, now);
        }
        if let Some(asker) = &ask.asker {
            self.heard(asker, now);
        }
        let since = now.saturating_sub(ask.waited);
        self.waiting.insert(Pending {
            ask,
            arrival: self.arrivals,
            since,
        })
    }

    /// Forgets a waiting request whose caller has left.
    pub fn withdraw(&mut self, waiting: Waiting) {
        self.waiting.remove(waiting);
    }

    /// Whether requests wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Decides on the waiting requests, the most urgent first.
    pub fn decide(&mut self, now: Duration) -> Vec<(Waiting, Decision)> {
        let mut order: Vec<(u8, Duration, u64, Waiting)> = self
            .waiting
            .iter()
            .map(|(key, one)| (one.ask.priority, one.since, one.arrival, key))
            .collect();
        order.sort_unstable();
        let mut decisions = Vec::new();
        for (.., key) in order {
            let Some(decision) = self.decide_one(key, now) else {
                continue;
            };
            self.waiting.remove(key);
            decisions.push((key, decision));
        }
        decisions
    }

    fn decide_one(&mut self, key: Waiting, now: Duration) -> Option<Decision> {
        let pending = &self.waiting[key];
        let ask = pending.ask.clone();
        let since = pending.since;
        let draw = split::draw(pending.arrival);
        let mut seen = Seen::default();
        if let Some(candidate) = self.best(&ask, draw, &mut seen, now) {
            return Some(Decision::Placed(self.place(&ask, &candidate, now)));
        }
        let patience = ask.target.saturating_sub(since).mul_f64(WAIT_PART);
        let until = (since + patience).min(ask.deadline);
        let why = self.obstacle(&ask);
        let open = self.open_from(&ask, now);
        if why == Refused::Overloaded && now < until && open < until {
            return None;
        }
        self.refusals += 1;
        let retry_after = retry_after(&ask, self.refusals, now);
        Some(Decision::Refused {
            why,
            retry_after: retry_after.max(open.saturating_sub(now)),
            seen,
        })
    }
}

/// When to come back: as late as callers wait, and spread, so that they do not
/// come together into the same crowd.
fn retry_after(ask: &Ask, refusals: u64, now: Duration) -> Duration {
    let left = ask.deadline.saturating_sub(now);
    let latest = LONGEST_RETRY.min(left.mul_f64(RETRY_PART));
    // Steps of the golden ratio spread any number of callers evenly.
    let steps = f64::from(u32::try_from(refusals % 1000).unwrap_or(0));
    let spread = (steps * 0.618_034).fract() * RETRY_SPREAD;
    latest.mul_f64(1.0 - spread)
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

fn float(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
