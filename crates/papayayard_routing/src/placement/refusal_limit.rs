//! Limits on refusals that endpoints name in their answers: an endpoint that refuses more
//! requests in a second for want of room, from all hosts together, crashes.
//!
//! While an endpoint names such a limit, it gets no more requests at a time than it has slots;
//! others wait here or are refused here. Like limits on requests, slots and refusals belong to
//! the hosts of the endpoint's zone, and a scheduler uses the parts of the hosts whose requests
//! it places. A host that gives up its dispatcher uses its part only once the dispatcher no longer
//! counts it.
//!
//! An endpoint may still refuse a request: it has work of which this scheduler does not know.
//! It then counts as having room for the other requests that it has. After a second without a refusal
//! it gets, beyond them, one request after the other, each of which shows room for one more if it
//! is answered. Where one more refusal would exceed the limit, the endpoint gets nothing until
//! the refusals before are older than a second.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use slotmap::SlotMap;

use super::backend::{Backend, Endpoint};
use super::named::{Bounds, Entry, Limit};
use super::progress::Placed;
use super::query::{Outcome, Query, Ticket};
use super::requesting_hosts::RequestingHosts;
use super::{Scheduler, float, from_ms};
use crate::rate::Rate;

/// Time in which refusals are counted together.
const WINDOW: Duration = Duration::from_secs(1);
/// Time after the last request after which an endpoint without requests gets one whatever room it
/// is known to have: only an answer shows more room, or that the limit was withdrawn.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a request whose connection was closed still counts as open: the endpoint drops
/// it only once it notices.
const CLOSING_TIME: Duration = Duration::from_millis(150);
/// Time for which the limits of a service's endpoints also hold for those of its endpoints that
/// have named none yet.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);
/// Error of a fraction of slots that is no whole number because of its rounding.
const ROUNDING: f64 = 1e-6;

/// The limits of all endpoints, and what is known of the room there.
pub(super) type RefusalLimits = Bounds<Room>;

/// This scheduler's requests at an endpoint, and the room that it is known to have.
#[derive(Clone, Debug)]
pub(super) struct Room {
    open: HashSet<Ticket>,
    /// Times from which requests that were broken off no longer count as open.
    closing: VecDeque<Duration>,
    /// Open requests that the endpoint may refuse, since nothing has shown room for them.
    unproven: HashSet<Ticket>,
    /// Requests for which the endpoint has shown room since its last refusal; `None` for all its
    /// slots.
    shown: Option<usize>,
    /// Times of the refusals in the last [`WINDOW`].
    refusals: VecDeque<Duration>,
    sent_at: Duration,
    /// Fraction of the endpoint's slots and of its limit that this scheduler may use.
    share: f64,
}

impl Room {
    /// Creates the state of an endpoint that has these requests.
    fn new(open: HashSet<Ticket>, now: Duration) -> Self {
        Self {
            open,
            closing: VecDeque::new(),
            unproven: HashSet::new(),
            shown: None,
            refusals: VecDeque::new(),
            sent_at: now,
            share: 0.0,
        }
    }

    /// Number of requests for which the endpoint is known to have room.
    fn known(&self, slots: u32) -> f64 {
        let usable = (f64::from(slots) * self.share + ROUNDING).floor();
        self.shown.map_or(usable, |shown| usable.min(float(shown)))
    }

    /// Slots that requests of this scheduler take.
    fn occupied(&self, now: Duration) -> usize {
        let closing = self.closing.iter().filter(|until| now < **until);
        self.open.len() + closing.count()
    }

    fn admits(&self, slots: u32, limit: Rate, now: Duration) -> bool {
        let recent = self.refusals.iter().filter(|at| now < **at + WINDOW);
        let refused = float(recent.count());
        let allowed = limit.per_second() * self.share;
        if refused > 0.0 && refused + 1.0 > allowed {
            return false;
        }
        let open = float(self.occupied(now));
        if open < self.known(slots) {
            return true;
        }
        let has_slot = open < f64::from(slots) * self.share - ROUNDING;
        let may_risk = refused == 0.0 && self.unproven.is_empty() && allowed >= 1.0;
        let is_idle = open <= 0.0 && self.sent_at + IDLE_TIMEOUT <= now;
        has_slot && (may_risk || is_idle)
    }

    fn add(&mut self, ticket: Ticket, now: Duration) {
        self.open.insert(ticket);
        self.sent_at = now;
    }

    fn send(&mut self, ticket: Ticket, slots: u32, now: Duration) {
        if float(self.occupied(now)) >= self.known(slots) {
            self.unproven.insert(ticket);
        }
        self.add(ticket, now);
    }

    /// Records that the endpoint runs a request.
    fn accept(&mut self, ticket: Ticket) {
        if self.unproven.remove(&ticket) {
            self.shown = self.shown.map(|shown| shown + 1);
        }
    }

    fn end(&mut self, ticket: Ticket, outcome: Outcome, now: Duration) {
        if outcome == Outcome::Whole {
            self.accept(ticket);
        }
        let was_unproven = self.unproven.remove(&ticket);
        if !self.open.remove(&ticket) {
            return;
        }
        match outcome {
            Outcome::Refused => {
                self.shown = Some(self.occupied(now));
                self.refusals.push_back(now);
            }
            Outcome::Abandoned | Outcome::Failed => {
                self.closing.push_back(now + CLOSING_TIME);
                // The endpoint may have refused the request although nobody has seen it.
                self.refusals.extend(was_unproven.then_some(now));
            }
            Outcome::Whole | Outcome::Mismatched | Outcome::Unreachable => {}
        }
    }

    fn refill(&mut self, share: f64, now: Duration) {
        self.share = share;
        self.refusals.retain(|at| now < *at + WINDOW);
        self.closing.retain(|until| now < *until);
    }
}

impl RefusalLimits {
    /// Sets the fractions that this scheduler may use, and forgets old refusals.
    pub(super) fn update(&mut self, hosts: &RequestingHosts, now: Duration) {
        let share_of = |zone: &_| hosts.exclusive_share(zone, now);
        self.refill(share_of, |entry, share| entry.state.refill(share, now));
    }

    /// Counts a request that is sent to an endpoint.
    pub(super) fn send(&mut self, ticket: Ticket, endpoint: &Endpoint, now: Duration) {
        if let Some(entry) = self.get_mut(&endpoint.id, endpoint.started) {
            entry.state.send(ticket, endpoint.slots, now);
        }
    }

    /// Counts a request that an endpoint has.
    pub(super) fn add(&mut self, ticket: Ticket, endpoint: &Endpoint, now: Duration) {
        if let Some(entry) = self.get_mut(&endpoint.id, endpoint.started) {
            entry.state.add(ticket, now);
        }
    }

    /// Records that an endpoint runs a request.
    pub(super) fn accept(&mut self, ticket: Ticket, placed: &Placed) {
        if let Some(entry) = self.get_mut(&placed.endpoint, placed.started) {
            entry.state.accept(ticket);
        }
    }

    /// Records the outcome of a request.
    pub(super) fn end(&mut self, ticket: Ticket, placed: &Placed, outcome: Outcome, now: Duration) {
        if let Some(entry) = self.get_mut(&placed.endpoint, placed.started) {
            entry.state.end(ticket, outcome, now);
        }
    }
}

impl Scheduler {
    /// Records the limit on refusals that the endpoint of a placed request names in its answer,
    /// or that it names none.
    pub fn record_refusal_limit(&mut self, ticket: Ticket, stated: Option<Rate>, now: Duration) {
        let Some(placed) = self.tickets.get(ticket) else {
            return;
        };
        let had_limits = self.has_limits();
        let listed = self.by_id.get(&placed.endpoint);
        let listed = listed.map(|key| &self.backends[*key].endpoint);
        if let Some(endpoint) = listed.filter(|listed| listed.started == placed.started) {
            let tickets = &self.tickets;
            let create = || Room::new(open_at(endpoint, tickets), now);
            let limits = &mut self.refusal_limits;
            limits.observe(endpoint, stated, (placed.sent, now), create);
            limits.update(&self.requesting_hosts, now);
        }
        self.change_limits(had_limits);
    }

    /// Applies the list of all limits on refusals that the dispatcher of this host knew at
    /// `listed_at`.
    pub fn set_refusal_limits(&mut self, list: &[Limit], listed_at: Duration, now: Duration) {
        let had_limits = self.has_limits();
        let (by_id, backends) = (&self.by_id, &self.backends);
        let find = |id: &_| by_id.get(id).map(|key| &backends[*key].endpoint);
        let tickets = &self.tickets;
        let create = |endpoint: &Endpoint| Room::new(open_at(endpoint, tickets), now);
        let limits = &mut self.refusal_limits;
        limits.replace(list, (listed_at, now), find, create);
        limits.update(&self.requesting_hosts, now);
        self.change_limits(had_limits);
    }

    /// Limits on refusals of all listed endpoints, in the order of their names.
    pub fn refusal_limits(&self) -> Vec<Limit> {
        let limits = &self.refusal_limits;
        limits.list(|id| self.by_id.get(id).map(|key| &self.backends[*key].endpoint))
    }

    /// Whether the limits on requests and on refusals that endpoints name let this one get a
    /// request.
    pub(super) fn permits(&self, backend: &Backend, now: Duration) -> bool {
        self.limits.permits(&backend.endpoint) && self.has_room(backend, now)
    }

    pub(super) fn has_room(&self, backend: &Backend, now: Duration) -> bool {
        let endpoint = &backend.endpoint;
        if let Some(entry) = self.refusal_limits.get(endpoint) {
            let limit = entry.limit.rate;
            return entry.state.admits(endpoint.slots, limit, now);
        }
        let room = self.inherited_room(endpoint, now);
        room.is_none_or(|room| backend.load.local().open + 1.0 <= room + ROUNDING)
    }

    /// Room at an endpoint that has named no limit although others of its service have; `None`
    /// if they have not either.
    fn inherited_room(&self, endpoint: &Endpoint, now: Duration) -> Option<f64> {
        if self.refusal_limits.is_empty() {
            return None;
        }
        let is_in_force = |entry: &Entry<Room>| {
            let listed = self.by_id.get(&entry.limit.endpoint);
            entry.limit.service == endpoint.service
                && now < entry.named_at + SERVICE_TIMEOUT
                && listed.is_some_and(|key| entry.is_of(&self.backends[*key].endpoint))
        };
        self.refusal_limits.values().any(is_in_force).then(|| {
            let share = self.requesting_hosts.exclusive_share(&endpoint.zone, now);
            f64::from(endpoint.slots) * share
        })
    }

    /// Number of schedulers, of `schedulers`, that place requests at an endpoint: a limit on
    /// refusals leaves its slots to those that have a part of them.
    pub(super) fn schedulers_at(
        &self,
        endpoint: &Endpoint,
        schedulers: usize,
        now: Duration,
    ) -> usize {
        let is_limited = self.refusal_limits.get(endpoint).is_some()
            || self.inherited_room(endpoint, now).is_some();
        if !is_limited {
            return schedulers;
        }
        let share = self.requesting_hosts.exclusive_share(&endpoint.zone, now);
        let is_all = |number: &usize| float(*number) * share >= 1.0 - ROUNDING;
        (1..schedulers).find(is_all).unwrap_or(schedulers)
    }

    /// Estimates when the endpoints of a service have room for one more request than those ahead
    /// of it; `now` unless the limits on refusals hold for all of them.
    pub(super) fn has_room_at(&self, query: &Query, ahead: u32, now: Duration) -> Duration {
        let mut ended_per_ms = 0.0;
        for backend in self.candidates_in_time(query) {
            let endpoint = &backend.endpoint;
            let entry = self.refusal_limits.get(endpoint);
            let known = entry.map(|entry| entry.state.known(endpoint.slots));
            let Some(room) = known.or_else(|| self.inherited_room(endpoint, now)) else {
                return now;
            };
            ended_per_ms += room / backend.service_ms.max(1.0);
        }
        if ended_per_ms <= 0.0 {
            return now + WINDOW;
        }
        now + from_ms(f64::from(ahead + 1) / ended_per_ms)
    }
}

/// Requests that an endpoint has from this scheduler.
fn open_at(endpoint: &Endpoint, tickets: &SlotMap<Ticket, Placed>) -> HashSet<Ticket> {
    let open = tickets
        .iter()
        .filter(|(_, placed)| placed.endpoint == endpoint.id && placed.started == endpoint.started);
    open.map(|(ticket, _)| ticket).collect()
}
