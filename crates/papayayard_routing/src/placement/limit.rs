//! Limits on requests that endpoints name in their answers and mean for all hosts together.
//!
//! Hosts do not ask one another before a request. Each limit belongs to the hosts of the
//! endpoint's zone in equal parts, and a scheduler may use the parts of the hosts whose requests
//! it places. A dispatcher thus uses whole limits, and while hosts place their own requests the
//! parts still add up to no more than the limit. Hosts of other zones send to a limited endpoint
//! only through a dispatcher that also places requests of the endpoint's zone.

use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::backend::Endpoint;
use super::named::{Bounds, Limit};
use super::query::{Query, Ticket};
use super::requesting_hosts::RequestingHosts;
use crate::bucket::Bucket;
use crate::rate::Rate;

/// Rate at which an endpoint gets requests even if its limit is lower, in requests per second:
/// only an answer shows that the limit was raised or withdrawn.
const MIN_RATE: f64 = 0.2;
/// Time over which unused requests accumulate, in seconds.
const BURST_TIME: f64 = 0.25;

/// The limits of all endpoints, and the requests that this scheduler may still send.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    /// With the requests that may be sent.
    bounds: Bounds<Bucket>,
    /// Fraction of a request that a limit starts with.
    phase: f64,
}

impl Limits {
    /// Creates an empty set. Hosts with different phases, from 0 to 1, do not all send their
    /// first request at the same moment.
    pub(super) fn new(phase: f64) -> Self {
        Self {
            bounds: Bounds::default(),
            phase,
        }
    }

    /// Whether an endpoint may get a request.
    pub(super) fn permits(&self, endpoint: &Endpoint) -> bool {
        let entry = self.bounds.get(endpoint);
        entry.is_none_or(|entry| entry.state.wait_for(1).is_zero())
    }

    /// The same at a time after the last refill.
    pub(super) fn permits_at(&self, endpoint: &Endpoint, now: Duration) -> bool {
        let entry = self.bounds.get(endpoint);
        entry.is_none_or(|entry| entry.state.has_token_at(now))
    }

    /// Limit that an endpoint has named, and when it last did.
    pub(super) fn named(&self, endpoint: &Endpoint) -> Option<(Rate, Duration)> {
        let entry = self.bounds.get(endpoint)?;
        Some((entry.limit.rate, entry.named_at))
    }

    /// Whether an endpoint of a service has named a limit.
    fn has(&self, service: &id::Service) -> bool {
        self.bounds.has(service)
    }

    /// Counts a request to an endpoint.
    pub(super) fn take(&mut self, endpoint: &Endpoint, now: Duration) {
        let entry = self.bounds.get_mut(&endpoint.id, endpoint.started);
        if let Some(Err(wait)) = entry.map(|entry| entry.state.take(now)) {
            let endpoint = &endpoint.id;
            debug_assert!(false, "{endpoint} allows no request for {wait:?}");
        }
    }

    /// Counts a request to a run of an endpoint that was not placed. The endpoint gets one less
    /// instead.
    fn charge(&mut self, endpoint: &id::Endpoint, started: id::Incarnation, now: Duration) {
        if let Some(entry) = self.bounds.get_mut(endpoint, started) {
            entry.state.charge(now);
        }
    }

    /// Adds the tokens for the time since the last refill, and sets the rates from now on.
    pub(super) fn refill(&mut self, hosts: &RequestingHosts, now: Duration) {
        let share_of = |zone: &_| hosts.share(zone, now);
        self.bounds.refill(share_of, |entry, share| {
            let per_second = entry.limit.rate.per_second().max(MIN_RATE) * share;
            let burst = (per_second * BURST_TIME).max(1.0);
            entry.state.set_rate(per_second, burst, now);
        });
    }

    /// Removes old limits of endpoints for which `is_listed` is false.
    pub(super) fn forget_unlisted<IsListed>(&mut self, is_listed: IsListed, now: Duration)
    where
        IsListed: Fn(&id::Endpoint) -> bool,
    {
        self.bounds.forget_unlisted(is_listed, now);
    }
}

impl Scheduler {
    /// Whether endpoints of a service have named limits on requests or refusals.
    pub(super) fn is_limited(&self, service: &id::Service) -> bool {
        self.limits.has(service) || self.refusal_limits.has(service)
    }

    /// Whether any endpoint has named a limit.
    pub(super) fn has_limits(&self) -> bool {
        !self.limits.bounds.is_empty() || !self.refusal_limits.is_empty()
    }

    /// Counts a change of limits, if there were or are any.
    pub(super) fn change_limits(&mut self, had_limits: bool) {
        if had_limits || self.has_limits() {
            self.revisions.change_all();
        }
    }

    /// Records the limit that the endpoint of a placed request names in its answer, or that it
    /// names none.
    pub fn record_limit(&mut self, ticket: Ticket, stated: Option<Rate>, now: Duration) {
        let Some(placed) = self.tickets.get(ticket) else {
            return;
        };
        let had_limits = self.has_limits();
        let listed = self.by_id.get(&placed.endpoint);
        let listed = listed.map(|key| &self.backends[*key].endpoint);
        if let Some(endpoint) = listed.filter(|listed| listed.started == placed.started) {
            let phase = self.limits.phase;
            let create = || Bucket::with_tokens(phase, now);
            let bounds = &mut self.limits.bounds;
            bounds.observe(endpoint, stated, (placed.sent, now), create);
            self.limits.refill(&self.requesting_hosts, now);
        }
        self.change_limits(had_limits);
    }

    /// Records that the endpoint of a placed request is asked for its run, which is a request too.
    pub fn record_question(&mut self, ticket: Ticket, now: Duration) {
        if let Some(placed) = self.tickets.get(ticket) {
            self.limits.charge(&placed.endpoint, placed.started, now);
        }
    }

    /// Applies the list of all limits that the dispatcher of this host knew at `listed_at`.
    pub fn set_limits(&mut self, list: &[Limit], listed_at: Duration, now: Duration) {
        let had_limits = self.has_limits();
        let (by_id, backends) = (&self.by_id, &self.backends);
        let find = |id: &_| by_id.get(id).map(|key| &backends[*key].endpoint);
        let phase = self.limits.phase;
        let create = |_: &Endpoint| Bucket::with_tokens(phase, now);
        let bounds = &mut self.limits.bounds;
        bounds.replace(list, (listed_at, now), find, create);
        self.limits.refill(&self.requesting_hosts, now);
        self.change_limits(had_limits);
    }

    /// Limits of all listed endpoints, in the order of their names.
    pub fn limits(&self) -> Vec<Limit> {
        let bounds = &self.limits.bounds;
        bounds.list(|id| self.by_id.get(id).map(|key| &self.backends[*key].endpoint))
    }

    /// Time at which the bounds that endpoints name allow one more request of this service than
    /// those ahead of it; `now` unless all its endpoints have some.
    pub(super) fn allowed_at(&self, query: &Query, ahead: u32, now: Duration) -> Duration {
        let limited = self.limits_allow_at(query, ahead, now);
        limited.max(self.has_room_at(query, ahead, now))
    }

    fn limits_allow_at(&self, query: &Query, ahead: u32, now: Duration) -> Duration {
        let mut counts: Vec<(&Bucket, u32)> = Vec::new();
        for backend in self.candidates_in_time(query) {
            let Some(entry) = self.limits.bounds.get(&backend.endpoint) else {
                return now;
            };
            counts.push((&entry.state, 1));
        }
        let mut allowed_at = now;
        for _ in 0..=ahead {
            let waits = counts.iter().enumerate();
            let waits = waits.map(|(index, (bucket, number))| (bucket.wait_for(*number), index));
            let Some((wait, index)) = waits.min() else {
                return now;
            };
            counts[index].1 += 1;
            allowed_at = now + wait;
        }
        allowed_at
    }
}
