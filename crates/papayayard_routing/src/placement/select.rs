//! Selection of the endpoint for a request from those that can accept it now.

use std::cmp::{Ordering, Reverse};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_wire::id;

use super::backend::Backend;
use super::fetch::{Fetch, Holder, Shared};
use super::load::Amounts;
use super::prefill::Prefill;
use super::query::{Availability, BackendKey, Query, RefusalReason};
use super::{Scheduler, cost, float, from_ms, ms};
use crate::prompt;
use crate::sharing;
use crate::table;
use crate::weights;

/// Fraction of the time to the deadline within which the first event must arrive.
const MAX_DEADLINE_FRACTION: f64 = 0.7;
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
/// Wait for a link from which prefill without the fetch is considered as an alternative.
const LONG_LINK_WAIT: Duration = Duration::from_millis(50);

/// Silence of a sound endpoint after which a request on older weights must still begin in time.
const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// Latest times for the first event of a request, in ms.
pub(super) struct Bounds {
    /// Target latency of the request.
    pub(super) target: f64,
    /// Time that leaves enough until the deadline.
    deadline: f64,
    /// Target latency of the most urgent requests of the service.
    urgent: f64,
}

impl Bounds {
    /// Whether a placement serves the request in time and leaves capacity for urgent ones.
    pub(super) fn include(&self, estimate: &cost::Estimate) -> bool {
        let first_event_ms = estimate.first_event_ms;
        let leaves_capacity =
            first_event_ms <= self.urgent || estimate.wait_ms <= self.urgent * SHORT_WAIT_FRACTION;
        !self.is_late(first_event_ms) && leaves_capacity
    }

    /// Whether a first event comes too late for the request.
    pub(super) fn is_late(&self, first_event_ms: f64) -> bool {
        first_event_ms > self.deadline.min(self.target * MAX_TARGET_FACTOR)
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

pub(super) fn by_cost(a: &Candidate, b: &Candidate) -> Ordering {
    a.estimate.cost_ms.total_cmp(&b.estimate.cost_ms)
}

impl Scheduler {
    pub(super) fn refusal(&self, query: &Query) -> RefusalReason {
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
    pub(super) fn next_available(&self, query: &Query, ahead: u32, now: Duration) -> Duration {
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

    pub(super) fn best_candidate(
        &self,
        query: &Query,
        draw: f64,
        availability: &mut Availability,
        now: Duration,
    ) -> Option<Candidate> {
        let usable = self.available(query, now, |backend| backend.is_healthy(now));
        availability.usable = usable.len();
        let candidates = self.candidates(query, draw, usable, now);
        availability.with_capacity = candidates.len();
        let times = candidates
            .iter()
            .map(|candidate| candidate.estimate.first_event_ms);
        let soonest_ms = times.min_by(f64::total_cmp);
        availability.first_event = soonest_ms.map_or(Duration::ZERO, from_ms);
        let bounds = self.bounds(query, now);
        let in_time = candidates.into_iter();
        let in_time = in_time.filter(|candidate| bounds.include(&candidate.estimate));
        let best = in_time.min_by(by_cost);
        best.or_else(|| self.trial(query, draw, &bounds, now))
    }

    /// Endpoints of the service that accept a request now, by their own words, their limits and
    /// what the sending host knows, of those that are `included`. Leaves out zones that the sending
    /// host does not reach, unless it reaches none.
    pub(super) fn available<Included>(
        &self,
        query: &Query,
        now: Duration,
        included: Included,
    ) -> Vec<(BackendKey, &Backend)>
    where
        Included: Fn(&Backend) -> bool,
    {
        let share = self.connections(query);
        let available = self.backends.iter().filter(|(_, backend)| {
            query.fits(&backend.endpoint)
                && !query.tried.contains(&backend.endpoint.id)
                && !query.avoided.contains(&backend.endpoint.id)
                && backend.accepts(now)
                && included(backend)
                && self.permits(backend, now)
                && backend.load.local().open + 1.0 <= share
        });
        let mut available: Vec<(BackendKey, &Backend)> = available.collect();
        if !self.paths.excludes_any(query.sender(), now) {
            return available;
        }
        let is_reachable = |backend: &Backend| {
            let zone = &backend.endpoint.zone;
            !self.paths.excludes(query.sender(), zone, now)
        };
        if available.iter().any(|(_, backend)| is_reachable(backend)) {
            available.retain(|(_, backend)| is_reachable(backend));
        }
        available
    }

    /// Requests that this scheduler may have open at an endpoint.
    pub(super) fn connections(&self, query: &Query) -> f64 {
        let service = self.table.services.get(&query.service);
        let connections = service.map_or(u32::MAX, |service| service.max_connections);
        let share = f64::from(connections) / float(self.schedulers);
        share.max(1.0)
    }

    /// Whether a request that takes `needed` until it starts may start on an endpoint's weights.
    pub(super) fn begins_in_time(
        &self,
        backend: &Backend,
        prompt: &prompt::Prompt,
        needed: Duration,
        now: Duration,
    ) -> bool {
        let until = self.usable_until(&prompt.model, backend.version(&prompt.model));
        until.is_none_or(|until| now + needed + MAX_SILENCE < until)
    }

    /// Possible placements at endpoints.
    pub(super) fn candidates(
        &self,
        query: &Query,
        draw: f64,
        endpoints: Vec<(BackendKey, &Backend)>,
        now: Duration,
    ) -> Vec<Candidate> {
        let service = self.table.services.get(&query.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let hosts = if self.paths.excludes_any(query.sender(), now) {
            self.sending_hosts(query, now)
        } else {
            self.schedulers
        };
        match (engine, &query.prompt) {
            (Some(engine), Some(_)) => {
                self.engine_candidates(query, draw, engine, endpoints, hosts, now)
            }
            _ => self.plain_candidates(endpoints, query, hosts, now),
        }
    }

    pub(super) fn bounds(&self, query: &Query, now: Duration) -> Bounds {
        let left_ms = ms(query.deadline.saturating_sub(now));
        let urgent = self
            .table
            .min_urgent_latency(&query.service, query.priority);
        Bounds {
            target: ms(query.target_latency),
            deadline: left_ms * MAX_DEADLINE_FRACTION,
            urgent: urgent.map_or(f64::INFINITY, ms),
        }
    }

    /// Time from which no request may start on a version of a model's weights.
    pub(super) fn usable_until(&self, model: &id::Model, version: u64) -> Option<Duration> {
        let targets = self.target_versions.get(model)?;
        targets.usable_until(version, self.settings.old_weights)
    }

    /// Number of hosts that send to the endpoints reachable from this host; hosts in a
    /// partitioned zone send to the endpoints there.
    fn sending_hosts(&self, query: &Query, now: Duration) -> usize {
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

    fn plain_candidates(
        &self,
        usable: Vec<(BackendKey, &Backend)>,
        query: &Query,
        hosts: usize,
        now: Duration,
    ) -> Vec<Candidate> {
        let zone = cost::ZoneCost::new(&query.zone, query.is_repeatable);
        let mean = Amounts::mean(
            usable
                .iter()
                .map(|(_, backend)| backend.load.average(hosts, now)),
        );
        let candidates = usable.into_iter().map(|(key, backend)| {
            let hosts = self.schedulers_at(&backend.endpoint, hosts, now);
            Candidate {
                key,
                estimate: cost::estimate_plain(backend, zone, mean, hosts, now),
                version: 0,
                fetch: None,
                is_trial: false,
            }
        });
        candidates.collect()
    }

    fn engine_candidates(
        &self,
        query: &Query,
        draw: f64,
        engine: &table::Engine,
        usable: Vec<(BackendKey, &Backend)>,
        hosts: usize,
        now: Duration,
    ) -> Vec<Candidate> {
        let Some(prompt) = &query.prompt else {
            return Vec::new();
        };
        let targets = self.target_versions.get(&prompt.model);
        let has_time =
            |backend: &Backend, needed: Duration| self.begins_in_time(backend, prompt, needed, now);
        let newest = targets.and_then(weights::TargetVersions::newest);
        let mut ranked: Vec<(BackendKey, &Backend)> = usable
            .into_iter()
            .filter(|(_, backend)| has_time(backend, Duration::ZERO))
            .collect();
        ranked.sort_by_cached_key(|(_, backend)| {
            Reverse(cost::preference(backend.endpoint.id.as_str(), prompt))
        });

        let mut versions: HashMap<u64, Shared<'_>> = HashMap::new();
        let newest = newest
            .filter(|(_, at)| at.is_none_or(|at| at + self.settings.old_weights_grace <= now));
        let is_old = |backend: &Backend| {
            newest.is_some_and(|(newest, _)| backend.version(&prompt.model) < newest)
        };
        let mean = |old: bool| {
            let same_weights = ranked.iter().filter(|(_, backend)| is_old(backend) == old);
            Amounts::mean(same_weights.map(|(_, backend)| backend.load.average(hosts, now)))
        };
        let (mean_old, mean_new) = (mean(true), mean(false));
        let token_ms = self.prefill(&query.service).ms_per_token();
        let new = ranked
            .iter()
            .filter(|(_, backend)| !is_old(backend))
            .count();
        let prefers_new = draw < self.demand.fraction(new, hosts, now);
        let mut candidates = Vec::with_capacity(ranked.len());
        for (rank, (key, backend)) in ranked.into_iter().enumerate() {
            let version = backend.version(&prompt.model);
            let shared = versions
                .entry(version)
                .or_insert_with(|| self.shared(query, prompt, version, now));
            let is_old = is_old(backend);
            let inputs = cost::Inputs {
                prompt,
                target: query.target_latency,
                hosts,
                mean: if is_old { mean_old } else { mean_new },
                avoids_weights: newest.is_some() && is_old == prefers_new,
                zone: cost::ZoneCost::new(&query.zone, query.is_repeatable),
                rank,
                cached_anywhere: shared.cached_anywhere,
                baseline_ms: self.baseline_delay.ms(),
                token_ms,
            };
            let cached = backend.cache.prefix(prompt.shared(), &shared.keys, now);
            let fetch = shared.source(engine, key, backend, cached);
            // If the link has a queue, prefill can be faster than the fetch.
            let sources = [fetch, None];
            let options = if fetch.is_some_and(|fetch| fetch.source.wait >= LONG_LINK_WAIT) {
                &sources[..]
            } else {
                &sources[..1]
            };
            for fetch in options {
                let source = fetch.map(|fetch| fetch.source);
                let estimate = cost::estimate_engine(backend, engine, &inputs, cached, source, now);
                let estimate =
                    estimate.filter(|estimate| has_time(backend, from_ms(estimate.first_event_ms)));
                candidates.extend(estimate.map(|estimate| Candidate {
                    key,
                    estimate,
                    version,
                    fetch: *fetch,
                    is_trial: false,
                }));
            }
        }
        candidates
    }

    /// Tokens that can be added to an engine's memory, as counted by this scheduler, before
    /// unused parts may be evicted.
    fn retained_tokens(&self, backend: &Backend) -> f64 {
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

    /// Collects where a prompt's shared parts are available under one version.
    fn shared<'a>(
        &'a self,
        query: &Query,
        prompt: &prompt::Prompt,
        version: u64,
        now: Duration,
    ) -> Shared<'a> {
        let keys = shared_keys(prompt, version, query.group);
        let parts = prompt.shared();
        let engines = self.backends.iter().filter(|(_, backend)| {
            backend.endpoint.service == query.service
                && !backend.is_leaving()
                && !backend.health.is_ejected(now)
                && backend.version(&prompt.model) == version
        });
        let holders = engines
            .map(|(key, backend)| Holder {
                key,
                endpoint: &backend.endpoint,
                tokens: backend
                    .cache
                    .fetchable(parts, &keys, self.retained_tokens(backend), now),
            })
            .filter(|holder| holder.tokens > 0)
            .collect();
        let store = self.store_of(prompt);
        let state = store.and_then(|(name, _)| self.stores.get(name));
        let stored = state.map_or(0, |store| {
            store.cache.fetchable(parts, &keys, f64::INFINITY, now)
        });
        let versioned = self.backends.values().filter(|backend| {
            backend.endpoint.service == query.service && backend.version(&prompt.model) == version
        });
        let cached_anywhere = versioned
            .map(|backend| backend.cache.prefix(parts, &keys, now))
            .max();
        let cached_anywhere = cached_anywhere.unwrap_or(0).max(stored);
        Shared {
            keys,
            holders,
            store: store
                .zip(state)
                .filter(|(_, state)| state.is_reachable)
                .map(|((_, store), state)| (store, state.link.wait(now))),
            stored,
            cached_anywhere,
        }
    }

    /// Returns the store responsible for a prompt's shared parts. Each store holds different
    /// prompts, so that together they hold more.
    pub(super) fn store_of(
        &self,
        prompt: &prompt::Prompt,
    ) -> Option<(&id::Service, &table::CacheStore)> {
        if prompt.shared_tokens() < MIN_STORED_TOKENS {
            return None;
        }
        let stores = self.table.cache_stores();
        stores.max_by_key(|(name, _)| cost::preference(name.as_str(), prompt))
    }
}

/// Returns the keys of a prompt's shared parts under a version of the weights.
pub(super) fn shared_keys(
    prompt: &prompt::Prompt,
    version: u64,
    group: sharing::Group,
) -> Vec<prompt::Key> {
    let salt = prompt::salt(&prompt.model, version, group);
    let parts = prompt.shared().iter();
    parts.map(|part| prompt::key(&salt, &part.name)).collect()
}
