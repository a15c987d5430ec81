//! Limits on requests that endpoints name in their answers and mean for all hosts together.
//!
//! Hosts do not ask one another before a request. Each limit belongs to the hosts of the
//! endpoint's zone in equal parts, and a scheduler may use the parts of the hosts whose requests
//! it places. A dispatcher thus uses whole limits, and while hosts place their own requests the
//! parts still add up to no more than the limit. Hosts of other zones send to a limited endpoint
//! only through a dispatcher that also places requests of the endpoint's zone.
//!
//! A stricter limit applies at once. Answers can overtake one another, so that a limit is raised
//! or withdrawn only by an answer to a request that was placed after the limit was last named.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::backend::Endpoint;
use super::query::{Query, Ticket};
use super::requesting_hosts::RequestingHosts;
use crate::bucket::Bucket;
use crate::rate::Rate;

/// Rate at which an endpoint gets requests even if its limit is lower, in requests per second:
/// only an answer shows that the limit was raised or withdrawn.
const MIN_RATE: f64 = 0.2;
/// Time over which unused requests accumulate, in seconds.
const BURST_TIME: f64 = 0.25;
/// Time for which the limit of an endpoint that is not listed is kept: its record may lapse and
/// come back.
const UNLISTED_TIMEOUT: Duration = Duration::from_mins(2);
/// Age of a limit that another host's list may withdraw: that host may not have heard of a
/// newer one.
const LIST_LAG: Duration = Duration::from_millis(500);

/// A limit that an endpoint has named.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    pub endpoint: id::Endpoint,
    /// Start of the endpoint's process.
    pub started: id::Incarnation,
    pub service: id::Service,
    pub rate: Rate,
}

/// The limits of all endpoints, and the requests that this scheduler may still send.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    entries: HashMap<id::Endpoint, Entry>,
    /// Fraction of a request that a limit starts with.
    phase: f64,
}

/// State of one limit.
#[derive(Clone, Debug)]
struct Entry {
    limit: Limit,
    zone: id::Zone,
    /// When an answer last named the limit.
    named_at: Duration,
    /// Requests that may be sent.
    bucket: Bucket,
}

impl Entry {
    fn refill(&mut self, share: f64, now: Duration) {
        let per_second = self.limit.rate.per_second().max(MIN_RATE) * share;
        let burst = (per_second * BURST_TIME).max(1.0);
        self.bucket.set_rate(per_second, burst, now);
    }

    fn is_of(&self, endpoint: &Endpoint) -> bool {
        self.limit.started == endpoint.started
    }
}

impl Limits {
    /// Creates an empty set. Hosts with different phases, from 0 to 1, do not all send their
    /// first request at the same moment.
    pub(super) fn new(phase: f64) -> Self {
        Self {
            entries: HashMap::new(),
            phase,
        }
    }

    /// Whether an endpoint may get a request.
    pub(super) fn permits(&self, endpoint: &Endpoint) -> bool {
        let entry = self.entry(endpoint);
        entry.is_none_or(|entry| entry.bucket.wait_for(1).is_zero())
    }

    /// Counts a request to an endpoint.
    pub(super) fn take(&mut self, endpoint: &Endpoint, now: Duration) {
        let entry = self.entries.get_mut(&endpoint.id);
        let entry = entry.filter(|entry| entry.is_of(endpoint));
        if let Some(Err(wait)) = entry.map(|entry| entry.bucket.take(now)) {
            let endpoint = &endpoint.id;
            debug_assert!(false, "{endpoint} allows no request for {wait:?}");
        }
    }

    /// Adds the tokens for the time since the last refill, and sets the rates from now on.
    pub(super) fn refill(&mut self, hosts: &RequestingHosts, now: Duration) {
        let mut shares: HashMap<id::Zone, f64> = HashMap::new();
        for entry in self.entries.values_mut() {
            let share = shares.entry(entry.zone.clone());
            let share = share.or_insert_with_key(|zone| hosts.share(zone, now));
            entry.refill(*share, now);
        }
    }

    /// Removes old limits of endpoints for which `is_listed` is false.
    pub(super) fn forget_unlisted<IsListed>(&mut self, is_listed: IsListed, now: Duration)
    where
        IsListed: Fn(&id::Endpoint) -> bool,
    {
        self.entries
            .retain(|id, entry| now < entry.named_at + UNLISTED_TIMEOUT || is_listed(id));
    }

    fn entry(&self, endpoint: &Endpoint) -> Option<&Entry> {
        let entry = self.entries.get(&endpoint.id)?;
        Some(entry).filter(|entry| entry.is_of(endpoint))
    }

    fn set(&mut self, endpoint: &Endpoint, rate: Rate, now: Duration) {
        let known = self.entries.get_mut(&endpoint.id);
        if let Some(entry) = known.filter(|entry| entry.is_of(endpoint)) {
            entry.limit.rate = rate;
            entry.named_at = now;
            return;
        }
        let entry = Entry {
            limit: Limit {
                endpoint: endpoint.id.clone(),
                started: endpoint.started,
                service: endpoint.service.clone(),
                rate,
            },
            zone: endpoint.zone.clone(),
            named_at: now,
            bucket: Bucket::with_tokens(self.phase, now),
        };
        self.entries.insert(endpoint.id.clone(), entry);
    }

    /// Applies what the answer to a request placed at `placed_at` states.
    fn observe(
        &mut self,
        endpoint: &Endpoint,
        stated: Option<Rate>,
        placed_at: Duration,
        now: Duration,
    ) {
        let known = self.entry(endpoint);
        let is_newer = known.is_none_or(|known| known.named_at <= placed_at);
        match stated {
            Some(rate) if is_newer || known.is_some_and(|known| rate <= known.limit.rate) => {
                self.set(endpoint, rate, now);
            }
            None if is_newer => {
                self.entries.remove(&endpoint.id);
            }
            Some(_) | None => {}
        }
    }
}

impl Scheduler {
    /// Records the limit that the endpoint of a placed request names in its answer, or that it
    /// names none.
    pub fn record_limit(&mut self, ticket: Ticket, stated: Option<Rate>, now: Duration) {
        let Some(placed) = self.tickets.get(ticket) else {
            return;
        };
        let listed = self.by_id.get(&placed.endpoint);
        let listed = listed.map(|key| &self.backends[*key].endpoint);
        if let Some(endpoint) = listed.filter(|listed| listed.started == placed.started) {
            self.limits.observe(endpoint, stated, placed.sent, now);
            self.limits.refill(&self.requesting_hosts, now);
        }
    }

    /// Applies the list of all limits that the dispatcher of this host knew at `listed_at`.
    pub fn set_limits(&mut self, list: &[Limit], listed_at: Duration, now: Duration) {
        for limit in list {
            let listed = self.by_id.get(&limit.endpoint);
            let endpoint = listed.map(|key| &self.backends[*key].endpoint);
            let Some(endpoint) = endpoint.filter(|endpoint| endpoint.started == limit.started)
            else {
                continue;
            };
            let known = self.limits.entry(endpoint);
            if known.is_none_or(|known| known.named_at <= listed_at) {
                self.limits.set(endpoint, limit.rate, now);
            }
        }
        self.limits.entries.retain(|id, entry| {
            let is_listed = list.iter().any(|limit| limit.endpoint == *id);
            is_listed || entry.named_at + LIST_LAG > listed_at
        });
        self.limits.refill(&self.requesting_hosts, now);
    }

    /// Limits of all listed endpoints, in the order of their names.
    pub fn limits(&self) -> Vec<Limit> {
        let entries = self.limits.entries.values().filter(|entry| {
            let listed = self.by_id.get(&entry.limit.endpoint);
            listed.is_some_and(|key| entry.is_of(&self.backends[*key].endpoint))
        });
        let mut limits: Vec<Limit> = entries.map(|entry| entry.limit.clone()).collect();
        limits.sort_unstable_by(|a, b| a.endpoint.as_str().cmp(b.endpoint.as_str()));
        limits
    }

    /// Time at which limits allow one more request of this service than those ahead of it;
    /// `now` unless all its endpoints have limits.
    pub(super) fn allowed_at(&self, query: &Query, ahead: u32, now: Duration) -> Duration {
        let mut counts: Vec<(&Bucket, u32)> = Vec::new();
        for backend in self.candidates_in_time(query) {
            let Some(entry) = self.limits.entry(&backend.endpoint) else {
                return now;
            };
            counts.push((&entry.bucket, 1));
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
