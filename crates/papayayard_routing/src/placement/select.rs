//! Selection of the endpoint for a request from those that can accept it now.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;

use super::backend::Backend;
use super::cost;
use super::evaluation::{Evaluation, Scope};
use super::prefill::Prefill;
use super::query::{BackendKey, Query, RefusalReason};
use super::request::Request;
use super::roster::{Entry, Roster};
use super::trial;
use super::{Scheduler, float, ms};
use crate::prompt;
use crate::table;

/// Fraction of the time to the deadline within which the first event must arrive.
pub(super) const MAX_DEADLINE_FRACTION: f64 = 0.7;
/// Multiple of the target latency that a first event may take at an engine. Beyond that the
/// engine is overloaded, and one more request would make others late.
const MAX_TARGET_FACTOR: f64 = 1.3;
/// Fraction of the target latency of more urgent requests up to which a request may queue at an
/// engine, even if it keeps the engine busy for longer than that latency. Less urgent requests
/// thus do not fill engines so far that more urgent ones are late, while a prompt that is long
/// by itself is still served.
const SHORT_WAIT_FRACTION: f64 = 0.2;
/// Shared tokens from which stores of cached prompts are used: computing fewer tokens takes less
/// time than fetching them behind long transfers.
const MIN_STORED_TOKENS: u32 = 1000;

/// Fraction of an engine's memory that certainly fills up before unused parts are evicted.
const RETAINED_FRACTION: f64 = 0.6;

/// Silence of a sound endpoint after which a request on older weights must still begin in time.
pub(super) const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// Latest times for the first event of a request, in ms.
#[derive(Clone, Copy)]
pub(super) struct Bounds {
    /// Target latency of the request.
    pub(super) target: f64,
    /// Time that leaves enough until the deadline.
    pub(super) deadline: f64,
    /// Target latency of the most urgent requests of the service.
    pub(super) urgent: f64,
}

impl Bounds {
    /// Creates the bounds of a request whose service has more urgent ones with a target latency of
    /// `urgent`, in ms.
    pub(super) fn new(query: &Query, urgent: f64, now: Duration) -> Self {
        let left_ms = ms(query.deadline.saturating_sub(now));
        Self {
            target: ms(query.target_latency),
            deadline: left_ms * MAX_DEADLINE_FRACTION,
            urgent,
        }
    }

    /// Whether a placement serves the request in time and leaves capacity for urgent ones.
    pub(super) fn include(&self, estimate: &cost::Estimate) -> bool {
        estimate.first_event_ms <= self.limit(estimate)
    }

    /// Whether a first event comes too late for the request.
    pub(super) fn is_late(&self, first_event_ms: f64) -> bool {
        first_event_ms > self.latest()
    }

    /// Latest first event of a placement that serves the request in time and leaves capacity for
    /// urgent ones. It becomes no later while the request waits.
    pub(super) fn limit(&self, estimate: &cost::Estimate) -> f64 {
        if estimate.wait_ms <= self.urgent * SHORT_WAIT_FRACTION {
            self.latest()
        } else {
            self.latest().min(self.urgent)
        }
    }

    pub(super) const fn latest(&self) -> f64 {
        self.deadline.min(self.target * MAX_TARGET_FACTOR)
    }
}

/// A possible placement.
pub(super) struct Candidate {
    pub(super) key: BackendKey,
    pub(super) estimate: cost::Estimate,
    pub(super) version: u64,
    pub(super) fetch: Option<Fetch>,
    /// Whether the request tests an endpoint that does not seem to serve it in time.
    pub(super) is_trial: bool,
}

/// Where an endpoint fetches shared parts.
#[derive(Clone, Copy)]
pub(super) struct Fetch {
    pub(super) address: SocketAddr,
    pub(super) source: cost::Source,
}

impl Scheduler {
    pub(super) fn refusal(&self, query: &Query, roster: &Roster) -> RefusalReason {
        if roster.soonest_backoff.is_some() && query.takes_any() {
            return RefusalReason::Overloaded;
        }
        let mut endpoints = self
            .backends
            .values()
            .filter(|backend| query.fits(&backend.endpoint) && !backend.is_leaving())
            .peekable();
        if endpoints.peek().is_none() {
            return RefusalReason::NoEndpoint;
        }
        let is_excluded = |backend: &Backend| {
            query.tried.contains(&backend.endpoint.id)
                || query.avoided.contains(&backend.endpoint.id)
        };
        if endpoints.all(is_excluded) {
            return RefusalReason::AllTried;
        }
        RefusalReason::Overloaded
    }

    /// Returns when the first endpoint at which this request has not failed accepts requests
    /// again, as far as endpoints have requested a backoff or limit requests. Others of the
    /// service, `ahead`, are to be served first.
    pub(super) fn next_available(
        &self,
        query: &Query,
        roster: &Roster,
        ahead: u32,
        now: Duration,
    ) -> Duration {
        let soonest = roster.soonest_backoff;
        if let Some(soonest) = soonest.filter(|_| query.takes_any() && !roster.is_limited) {
            return soonest.max(now);
        }
        let endpoints = self.candidates_in_time(query);
        let soonest = endpoints.map(|backend| backend.signals.backoff_until).min();
        soonest
            .unwrap_or(now)
            .max(self.allowed_at(query, ahead, now))
    }

    /// Endpoints that can serve a request now or later.
    pub(super) fn candidates_in_time<'a>(
        &'a self,
        query: &'a Query,
    ) -> impl Iterator<Item = &'a Backend> {
        self.backends.values().filter(|backend| {
            query.fits(&backend.endpoint)
                && !backend.is_leaving()
                && !query.tried.contains(&backend.endpoint.id)
        })
    }

    /// Returns the best placement of a request, or `None` if it has to wait. `evaluation` then has
    /// what was found at the usable endpoints, and `tested` at those that it may test.
    pub(super) fn best_candidate(
        &self,
        request: &mut Request<'_>,
        roster: &mut Roster,
        (evaluation, tested): (&mut Evaluation, &mut Evaluation),
        scope: Scope,
    ) -> Option<Candidate> {
        let bounds = request.bounds;
        self.evaluate_usable(evaluation, request, roster, scope);
        if let Some(best) = self.best(evaluation, request, roster) {
            return Some(best);
        }
        let query = request.query;
        if !roster.has_testable_by(query) {
            tested.clear();
            return None;
        }
        self.admit(tested, request, roster, |entry| entry.is_testable_by(query));
        let includes =
            |entry: &Entry, estimate: &cost::Estimate| trial::includes(entry, estimate, &bounds);
        self.evaluate(tested, request, roster, Scope::All, includes);
        let best = self.best(tested, request, roster)?;
        Some(Candidate {
            is_trial: true,
            ..best
        })
    }

    /// Evaluates the endpoints that a request may be sent to without being a test.
    pub(super) fn evaluate_usable(
        &self,
        evaluation: &mut Evaluation,
        request: &mut Request<'_>,
        roster: &mut Roster,
        scope: Scope,
    ) {
        let bounds = request.bounds;
        let includes = |_: &Entry, estimate: &cost::Estimate| bounds.include(estimate);
        self.admit(evaluation, request, roster, |entry| entry.is_healthy);
        self.evaluate(evaluation, request, roster, scope, includes);
    }

    /// Requests that this scheduler may have open at an endpoint.
    pub(super) fn connections(&self, service: &id::Service) -> f64 {
        let service = self.table.services.get(service);
        let connections = service.map_or(u32::MAX, |service| service.max_connections);
        let share = f64::from(connections) / float(self.schedulers);
        share.max(1.0)
    }

    /// Time from which no request may start on a version of a model's weights.
    pub(super) fn usable_until(&self, model: &id::Model, version: u64) -> Option<Duration> {
        let targets = self.target_versions.get(model)?;
        targets.usable_until(version, self.settings.old_weights)
    }

    /// Number of hosts that send to the endpoints reachable from this host; hosts in a
    /// partitioned zone send to the endpoints there.
    pub(super) fn sending_hosts(&self, query: &Query, now: Duration) -> usize {
        let endpoints = self.backends.values();
        let endpoints = endpoints.filter(|backend| backend.endpoint.service == query.service);
        let zones: HashSet<&id::Zone> = endpoints.map(|backend| &backend.endpoint.zone).collect();
        let is_reachable = |zone: &&&id::Zone| !self.paths.excludes(query.sender(), zone, now);
        let reached = zones.iter().filter(is_reachable).count();
        if reached == 0 {
            return self.schedulers;
        }
        (self.schedulers * reached).div_ceil(zones.len())
    }

    /// Tokens that can be added to an engine's memory, as counted by this scheduler, before
    /// unused parts may be evicted.
    pub(super) fn retained_tokens(&self, backend: &Backend) -> f64 {
        let service = self.table.services.get(&backend.endpoint.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let memory = engine.map_or(0, |engine| engine.memory_tokens);
        let memory = f64::from(u32::try_from(memory).unwrap_or(u32::MAX));
        let schedulers = float(self.schedulers);
        let retained_tokens = memory - backend.load.local().memory * schedulers;
        (retained_tokens / schedulers * RETAINED_FRACTION).max(0.0)
    }

    /// Prefill speed of a service's engines.
    pub(super) fn prefill(&self, service: &id::Service) -> Prefill {
        self.prefills.get(service).copied().unwrap_or_default()
    }

    /// Returns the store responsible for a prompt's shared parts. Each store holds different
    /// prompts, so that together they hold more.
    pub(super) fn store_of(
        &self,
        prompt: &prompt::Prompt,
    ) -> Option<(&id::Service, &table::CacheStore)> {
        if !is_stored(prompt) {
            return None;
        }
        let seed = cost::seed(prompt);
        let stores = self.table.cache_stores();
        stores.max_by_key(|(name, _)| cost::preference(name.as_str(), seed))
    }
}

/// Whether stores of cached prompts are used for a prompt.
pub(super) fn is_stored(prompt: &prompt::Prompt) -> bool {
    prompt.shared_tokens() >= MIN_STORED_TOKENS
}
