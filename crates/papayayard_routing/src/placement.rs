//! Schedules requests onto endpoints: places them, queues them or refuses them.
//!
//! The scheduler holds one host's view of all endpoints. A request that cannot be placed waits
//! for a fraction of the time until its target; then it is refused with a retry delay. A request
//! that no endpoint can serve is refused at once. Waiting requests are ordered by priority, then
//! by the fair shares of their client accounts, then by arrival (see [`order`]); urgent ones, and
//! those that were passed over for long, hold room at an engine (see [`reservation`]).

use std::collections::HashMap;
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;
use slotmap::SlotMap;

use crate::table::Table;
use crate::weights;

mod backend;
mod cache;
mod cost;
mod delay;
mod evaluation;
mod exclusion;
mod fetch;
mod held;
mod keys;
mod limit;
mod link;
mod load;
mod named;
mod order;
mod path;
mod place;
mod prefill;
mod progress;
mod query;
mod reachability;
mod refusal_limit;
mod request;
mod requesting_hosts;
mod reservation;
mod revision;
mod roster;
mod select;
mod signals;
mod split;
mod trial;
mod updates;
mod usability;
mod witness;

use backend::Backend;
use evaluation::{Evaluation, Scope};
use keys::Hashes;
use limit::Limits;
use order::Order;
use path::Paths;
use progress::Placed;
use refusal_limit::RefusalLimits;
use request::Request;
use requesting_hosts::RequestingHosts;
use reservation::{Digest, RESERVATION_PERIOD, Reservations};
use revision::{Attempt, Revisions};
use roster::Rosters;
use signals::Signals;

pub use backend::Endpoint;
pub use cache::Cache;
pub use delay::{Baseline, Delay};
pub use exclusion::{Excluded, Exclusion, Reason};
pub use link::{Link, transfer_time};
pub use load::{Amounts, Load};
pub use named::Limit;
pub use order::OrderCounts;
pub use prefill::Prefill;
pub use query::{
    Availability, BackendKey, Decision, InFlight, Outcome, PendingKey, Placement, Query,
    RefusalReason, Ticket,
};
pub use requesting_hosts::HostCounts;
pub use split::{Demand, draw};
pub use usability::{Change, Changes, Inputs, Reporter, Rule};

/// Fraction of the time until a request's target that it may wait for placement.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Upper bound of the retry delay.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2500);
/// Upper bound of the retry delay, as a fraction of the time left until the deadline.
const RETRY_AFTER_FRACTION: f64 = 0.3;
/// Fraction of the retry delay over which callers are spread.
const RETRY_AFTER_JITTER: f64 = 0.4;

/// Limits on the age of the weights that requests run on.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time for which older weights may be used after a newer version became the target.
    pub old_weights: Duration,
    /// Age of the target version from which older weights add to the placement cost.
    pub old_weights_grace: Duration,
    /// Position from 0 to 1, different on each host, in the interval between two requests to an
    /// endpoint that limits requests.
    pub limit_phase: f64,
}

/// Places requests from one host's view of the endpoints.
pub struct Scheduler {
    settings: Settings,
    table: Arc<Table>,
    /// Number of schedulers that place requests at the same endpoints, including this one.
    schedulers: usize,
    requesting_hosts: RequestingHosts,
    backends: SlotMap<BackendKey, Backend>,
    by_id: HashMap<id::Endpoint, BackendKey>,
    signals: HashMap<id::Endpoint, Signals>,
    limits: Limits,
    refusal_limits: RefusalLimits,
    stores: HashMap<id::Service, Store>,
    target_versions: HashMap<id::Model, weights::TargetVersions>,
    paths: Paths,
    baseline_delay: Baseline,
    prefills: HashMap<id::Service, Prefill>,
    demand: Demand,
    refusals: u64,
    tickets: SlotMap<Ticket, Placed>,
    waiting: SlotMap<PendingKey, Pending>,
    arrivals: u64,
    revisions: Revisions,
    /// Set if no waiting request has found a place in the last decision.
    last_attempt: Option<Attempt>,
    order: Order,
    reservations: Reservations,
}

/// The scheduler's view of a store of cached prompts.
#[derive(Default)]
struct Store {
    cache: Cache,
    link: Link,
    /// Whether the store has reported contents since it was last unavailable.
    is_reachable: bool,
}

struct Pending {
    query: Query,
    arrival: u64,
    arrived_at: Duration,
    hashes: Hashes,
    /// Last attempt, if its result may hold for longer.
    last_attempt: Option<Attempt>,
    position: order::Position,
    /// Whether room was held for the request.
    has_reserved: bool,
}

impl Pending {
    /// Time at which the request is refused unless it was placed.
    fn wait_until(&self) -> Duration {
        let query = &self.query;
        let until_target = query.target.saturating_sub(self.arrived_at);
        let max_wait = until_target.mul_f64(MAX_WAIT_FRACTION);
        (self.arrived_at + max_wait).min(query.deadline)
    }

    fn entry(&self, key: PendingKey) -> order::Entry {
        order::Entry {
            priority: self.query.priority,
            arrived_at: self.arrived_at,
            arrival: self.arrival,
            key,
            position: self.position,
            target: self.query.target,
        }
    }
}

/// State of one round of decisions.
#[derive(Default)]
struct Round {
    rosters: Rosters,
    usable: Evaluation,
    testable: Evaluation,
}

impl Scheduler {
    /// Creates a scheduler without endpoints.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            table: Arc::default(),
            schedulers: 1,
            requesting_hosts: RequestingHosts::default(),
            backends: SlotMap::with_key(),
            by_id: HashMap::new(),
            signals: HashMap::new(),
            limits: Limits::new(settings.limit_phase),
            refusal_limits: RefusalLimits::default(),
            stores: HashMap::new(),
            target_versions: HashMap::new(),
            paths: Paths::default(),
            baseline_delay: Baseline::default(),
            prefills: HashMap::new(),
            demand: Demand::default(),
            refusals: 0,
            tickets: SlotMap::with_key(),
            waiting: SlotMap::with_key(),
            arrivals: 0,
            revisions: Revisions::default(),
            last_attempt: None,
            order: Order::default(),
            reservations: Reservations::default(),
        }
    }

    /// Limits on the age of the weights.
    pub const fn settings(&self) -> Settings {
        self.settings
    }

    /// Queues a request for placement by [`Self::decide`].
    pub fn enqueue(&mut self, query: Query, now: Duration) -> PendingKey {
        self.arrivals += 1;
        if let Some(prompt) = &query.prompt {
            let prefill = self.prefill(&query.service);
            self.demand.record(prompt, prefill, now);
        }
        if let Some(requesting_host) = &query.requesting_host {
            self.record_contact(requesting_host, now);
        }
        let requesting_host = query.requesting_host.as_ref();
        self.requesting_hosts
            .record_use(requesting_host, &query.zone, now);
        let arrived_at = now.saturating_sub(query.waited);
        self.last_attempt = None;
        let position = self.order.join(&query);
        self.waiting.insert(Pending {
            query,
            arrival: self.arrivals,
            arrived_at,
            hashes: Hashes::default(),
            last_attempt: None,
            position,
            has_reserved: false,
        })
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, waiting: PendingKey) {
        if let Some(pending) = self.take(waiting) {
            self.order.leave(pending.position);
        }
    }

    /// Removes a request from the queue. What it held may give a place to others.
    fn take(&mut self, waiting: PendingKey) -> Option<Pending> {
        let pending = self.waiting.remove(waiting)?;
        if pending.has_reserved {
            self.revisions.change(&pending.query.service);
        }
        Some(pending)
    }

    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Number of events in the order of placement since the start.
    pub const fn order_counts(&self) -> OrderCounts {
        self.order.counts
    }

    /// Places or refuses waiting requests, the most urgent first; the others stay queued.
    pub fn decide(&mut self, now: Duration) -> Vec<(PendingKey, Decision)> {
        self.limits.refill(&self.requesting_hosts, now);
        self.refusal_limits.update(&self.requesting_hosts, now);
        let revision = self.revisions.total();
        let is_settled = |attempt: Attempt| attempt.holds(revision, Digest::default(), now);
        if self.last_attempt.is_some_and(is_settled) {
            return Vec::new();
        }
        let waiting = self.waiting.iter();
        let entries = waiting.map(|(key, pending)| pending.entry(key)).collect();
        let turns = self.order.turns(entries, now);
        self.release_reservations();
        let mut round = Round::default();
        let mut decisions = Vec::new();
        for turn in turns {
            let key = turn.entry.key;
            self.reserve_for_urgent(turn.entry.priority, now);
            round
                .rosters
                .set_reserved(&self.reservations.take_changes());
            if self.is_settled(key, now) {
                self.keep_waiting(&turn, now);
                continue;
            }
            let Some(decision) = self.decide_pending(key, &mut round, now) else {
                self.keep_waiting(&turn, now);
                continue;
            };
            if let Decision::Placed(_) = decision {
                self.order.record_placed(&turn, now);
            }
            self.order.leave(turn.entry.position);
            decisions.push((key, decision));
        }
        self.last_attempt = self.common_attempt(revision, now);
        decisions
    }

    /// Has the next decision evaluate each waiting request; for tests of decisions.
    #[doc(hidden)]
    pub const fn evaluate_all(&mut self) {
        self.revisions.change_all();
    }

    /// Whether a request cannot have a place, as its last attempt found none.
    fn is_settled(&self, key: PendingKey, now: Duration) -> bool {
        let pending = &self.waiting[key];
        pending.last_attempt.is_some_and(|attempt| {
            let revision = self.revisions.of(&pending.query.service);
            attempt.holds(revision, self.reservations.digest(), now)
        })
    }

    /// The attempt that holds for as long as those of all waiting requests, unless something has
    /// changed since `revision`.
    fn common_attempt(&self, revision: u64, now: Duration) -> Option<Attempt> {
        if self.revisions.total() != revision {
            return None;
        }
        // Who holds room changes with time.
        let mut until = if self.reservations.is_empty() {
            Duration::MAX
        } else {
            now + RESERVATION_PERIOD
        };
        for pending in self.waiting.values() {
            until = until.min(pending.last_attempt?.until);
        }
        Some(Attempt {
            revision,
            reserved: Digest::default(),
            at: now,
            until,
        })
    }

    /// Decides on a request, or leaves it in the queue.
    fn decide_pending(
        &mut self,
        key: PendingKey,
        round: &mut Round,
        now: Duration,
    ) -> Option<Decision> {
        let mut hashes = mem::take(&mut self.waiting[key].hashes);
        let Round {
            rosters,
            usable,
            testable,
        } = round;
        let pending = &self.waiting[key];
        let query = &pending.query;
        let (roster, ahead) = rosters.of(self, query, now);
        let draw = split::draw(pending.arrival);
        let mut request = Request::new(self, roster, (query, &mut hashes), draw, now);
        let wait_until = pending.wait_until();
        let scope = if now < wait_until {
            Scope::InTime
        } else {
            Scope::Reported
        };
        let best = self.best_candidate(&mut request, roster, (usable, testable), scope);
        if let Some(candidate) = best {
            let pending = self.take(key)?;
            let (placement, keys) = self.place(&pending.query, hashes, &candidate, now);
            let service = &pending.query.service;
            rosters.refresh(self, service, (candidate.key, &keys), now);
            return Some(Decision::Placed(placement));
        }
        let reason = self.refusal(query, roster);
        let available_at = self.next_available(query, roster, *ahead, now);
        if reason == RefusalReason::Overloaded && now < wait_until && available_at < wait_until {
            *ahead += 1;
            let is_unsteady = request.is_unsteady() || testable.has_members();
            let possible_from = usable.possible_from.min(roster.next_change);
            let attempt = Attempt {
                revision: self.revisions.of(&query.service),
                reserved: self.reservations.digest(),
                at: now,
                until: if is_unsteady {
                    now
                } else {
                    possible_from.min(wait_until)
                },
            };
            let is_limited = roster.is_limited;
            let pending = &mut self.waiting[key];
            pending.hashes = hashes;
            pending.last_attempt = (!is_limited).then_some(attempt);
            return None;
        }
        if usable.is_partial {
            self.evaluate_usable(usable, &mut request, roster, Scope::Reported);
        }
        let availability = Availability {
            usable: usable.usable,
            with_capacity: usable.with_capacity,
            first_event: usable.first_event(),
            exclusions: self.exclusions(&request, roster, usable),
        };
        self.refusals += 1;
        let retry_after = retry_after(query, self.refusals, now);
        self.take(key);
        Some(Decision::Refused {
            reason,
            retry_after: retry_after.max(available_at.saturating_sub(now)),
            availability,
        })
    }
}

/// Returns the delay after which a refused caller should retry. Callers wait at most this long,
/// and the delays are spread so that they do not all return during the same overload.
fn retry_after(query: &Query, refusals: u64, now: Duration) -> Duration {
    let left = query.deadline.saturating_sub(now);
    let latest = MAX_RETRY_AFTER.min(left.mul_f64(RETRY_AFTER_FRACTION));
    // Multiples of the golden ratio spread any number of callers evenly.
    let steps = f64::from(u32::try_from(refusals % 1000).unwrap_or(0));
    let spread = (steps * 0.618_034).fract() * RETRY_AFTER_JITTER;
    latest.mul_f64(1.0 - spread)
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

fn float(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
