//! Endpoints of a service as seen by all requests of one round of decisions.
//!
//! Within a round time stands still, and only placements change anything, each at one endpoint.
//! What does not depend on a request is therefore computed once for each round and endpoint, and
//! again for the endpoint of a placement.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use super::backend::Backend;
use super::exclusion::{Exclusions, Reason};
use super::held::Held;
use super::keys::Salts;
use super::load::{Amounts, Sample};
use super::query::{BackendKey, Query};
use super::select::MAX_SILENCE;
use super::{Scheduler, cost, from_ms, ms, trial};
use crate::prompt;
use crate::table;
use crate::weights;

/// Rosters of the services that a round has met.
#[derive(Default)]
pub(super) struct Rosters {
    by_service: HashMap<id::Service, OfService>,
}

/// Rosters of a service.
#[derive(Default)]
struct OfService {
    rosters: Vec<Roster>,
    /// Requests that the round has evaluated and that stay in the queue.
    waiting: u32,
}

/// Endpoints of a service, for requests to one of its models.
pub(super) struct Roster {
    /// `None` for requests without a prompt, and for those to services without engines.
    model: Option<id::Model>,
    pub(super) engine: Option<table::Engine>,
    /// All endpoints of the service.
    pub(super) entries: Vec<Entry>,
    pub(super) zones: Vec<id::Zone>,
    pub(super) versions: Vec<Version>,
    /// Whether older versions add to the cost.
    pub(super) has_old: bool,
    /// Whether endpoints of the service have named limits.
    pub(super) is_limited: bool,
    /// End of the first backoff at an endpoint that is not leaving; `None` without endpoints.
    pub(super) soonest_backoff: Option<Duration>,
    /// Next time at which a rule may end by itself.
    pub(super) next_change: Duration,
    pub(super) salts: Salts,
    pub(super) stores: Vec<Store>,
    /// Prefill time per token, in ms.
    pub(super) token_ms: f64,
    /// Target latency of more urgent requests in ms, by priority.
    urgent_ms: Vec<(u8, f64)>,
    /// Reasons for which endpoints are left out whatever the request; empty before the first
    /// refusal.
    pub(super) reasons: Vec<Option<Reason>>,
    /// The same by reason; `None` after a change.
    pub(super) exclusions: Option<Exclusions>,
    /// Whether any endpoint may be tested, by a request that can be retried and by one that cannot.
    has_testable: [bool; 2],
}

/// A version of the weights that endpoints of a roster have.
pub(super) struct Version {
    pub(super) number: u64,
    /// Time from which no request may start on it.
    usable_until: Option<Duration>,
    pub(super) is_old: bool,
    /// Whether a request may start on it at once.
    pub(super) is_usable: bool,
    pub(super) held: Held,
}

/// A store of cached prompts.
pub(super) struct Store {
    pub(super) name: id::Service,
    pub(super) settings: table::CacheStore,
    pub(super) zone: usize,
}

/// An endpoint.
pub(super) struct Entry {
    pub(super) key: BackendKey,
    pub(super) id: id::Endpoint,
    /// Index of its zone.
    pub(super) zone: usize,
    /// Index of the version of its weights.
    pub(super) version: usize,
    pub(super) slots: u32,
    /// Whether it accepts requests, by its own words, its limits and the share of connections.
    pub(super) accepts: bool,
    pub(super) is_healthy: bool,
    /// Whether other endpoints may fetch parts from it.
    pub(super) is_source: bool,
    /// Whether a request may test it that can be retried, and one that cannot.
    is_testable: [bool; 2],
    pub(super) overdue: f64,
    pub(super) load: Sample,
    /// Load of the waiting request for which room is held there.
    pub(super) reserved: Amounts,
    /// Delay of first events, in ms.
    pub(super) delay_ms: f64,
    /// Cost of the slow start, in ms.
    pub(super) slow_start_ms: f64,
    /// Average time to a complete answer, in ms.
    pub(super) service_ms: f64,
    /// Tokens that can be added before unused parts may be evicted.
    pub(super) retained: f64,
    /// Tokens added to the cache so far.
    pub(super) filled: f64,
    /// Next time at which a rule may end by itself.
    next_change: Duration,
}

impl Entry {
    pub(super) const fn is_testable_by(&self, query: &Query) -> bool {
        self.is_testable[if query.is_repeatable { 0 } else { 1 }]
    }
}

impl Version {
    pub(super) const fn is_always_usable(&self) -> bool {
        self.usable_until.is_none()
    }

    /// Whether a request may start on the version if its first event comes after this time.
    pub(super) fn is_usable_for(&self, first_event_ms: f64, now: Duration) -> bool {
        self.usable_until.is_none() || self.begins_in_time(from_ms(first_event_ms), now)
    }

    /// Whether a request that takes `needed` until it starts may start on the version.
    pub(super) fn begins_in_time(&self, needed: Duration, now: Duration) -> bool {
        let until = self.usable_until;
        until.is_none_or(|until| now + needed + MAX_SILENCE < until)
    }
}

impl Rosters {
    /// The roster for a request, and the number of requests of the service that stay in the queue
    /// before it.
    pub(super) fn of(
        &mut self,
        scheduler: &Scheduler,
        query: &Query,
        now: Duration,
    ) -> (&mut Roster, &mut u32) {
        if !self.by_service.contains_key(&query.service) {
            let service = query.service.clone();
            self.by_service.insert(service, OfService::default());
        }
        let of_service = self.by_service.get_mut(&query.service);
        let of_service = of_service.expect("the service was added");
        let rosters = &mut of_service.rosters;
        let model = scheduler.engine_model(query);
        let mut known = rosters.iter();
        let index = known.position(|roster| roster.model.as_ref() == model);
        let index = index.unwrap_or_else(|| {
            rosters.push(Roster::new(scheduler, &query.service, model, now));
            rosters.len() - 1
        });
        (&mut rosters[index], &mut of_service.waiting)
    }

    /// Adopts the room that endpoints of a service hold by now.
    pub(super) fn set_reserved(&mut self, engines: &[(BackendKey, Amounts)]) {
        if engines.is_empty() {
            return;
        }
        let of_services = self.by_service.values_mut();
        for roster in of_services.flat_map(|of_service| &mut of_service.rosters) {
            for entry in &mut roster.entries {
                let held = engines.iter().find(|(key, _)| *key == entry.key);
                if let Some((_, amounts)) = held {
                    entry.reserved = *amounts;
                }
            }
        }
    }

    /// Computes an endpoint again to which a request with these parts was sent.
    pub(super) fn refresh(
        &mut self,
        scheduler: &Scheduler,
        service: &id::Service,
        (key, parts): (BackendKey, &[prompt::Key]),
        now: Duration,
    ) {
        let of_service = self.by_service.get_mut(service).into_iter();
        for roster in of_service.flat_map(|of_service| &mut of_service.rosters) {
            roster.refresh(scheduler, (key, parts), now);
        }
    }
}

impl Roster {
    fn new(
        scheduler: &Scheduler,
        service: &id::Service,
        model: Option<&id::Model>,
        now: Duration,
    ) -> Self {
        let settings = scheduler.table.services.get(service);
        let engine = settings.and_then(|settings| settings.engine.clone());
        let mut roster = Self {
            model: model.cloned(),
            engine: engine.filter(|_| model.is_some()),
            entries: Vec::new(),
            zones: Vec::new(),
            versions: Vec::new(),
            has_old: false,
            is_limited: scheduler.is_limited(service),
            soonest_backoff: None,
            next_change: Duration::MAX,
            salts: Salts::default(),
            stores: Vec::new(),
            token_ms: scheduler.prefill(service).ms_per_token(),
            urgent_ms: Vec::new(),
            reasons: Vec::new(),
            exclusions: None,
            has_testable: [false; 2],
        };
        for (name, store) in scheduler.table.cache_stores() {
            let zone = roster.zone_index(&store.zone);
            roster.stores.push(Store {
                name: name.clone(),
                settings: store.clone(),
                zone,
            });
        }
        let backends = scheduler.backends.iter();
        for (key, backend) in backends.filter(|(_, backend)| backend.endpoint.service == *service) {
            roster.add(scheduler, key, backend, now);
        }
        roster
    }

    fn add(&mut self, scheduler: &Scheduler, key: BackendKey, backend: &Backend, now: Duration) {
        let zone = self.zone_index(&backend.endpoint.zone);
        let version = self.version_index(scheduler, backend, now);
        self.versions[version].held.members.push(self.entries.len());
        let entry = scheduler.entry(key, backend, (zone, version), now);
        if !backend.is_leaving() {
            let until = backend.signals.backoff_until;
            let soonest = self.soonest_backoff.unwrap_or(until);
            self.soonest_backoff = Some(until.min(soonest));
        }
        self.note(&entry);
        self.entries.push(entry);
    }

    fn refresh(
        &mut self,
        scheduler: &Scheduler,
        (key, parts): (BackendKey, &[prompt::Key]),
        now: Duration,
    ) {
        let Some(index) = self.entries.iter().position(|entry| entry.key == key) else {
            return;
        };
        let (zone, version) = (self.entries[index].zone, self.entries[index].version);
        let backend = &scheduler.backends[key];
        self.versions[version]
            .held
            .refresh(index, parts, &backend.cache);
        let entry = scheduler.entry(key, backend, (zone, version), now);
        self.note(&entry);
        self.entries[index] = entry;
        if let Some(reason) = self.reasons.get_mut(index) {
            let current = scheduler.general_reason(backend, now);
            if *reason != current {
                *reason = current;
                self.exclusions = None;
            }
        }
    }

    fn note(&mut self, entry: &Entry) {
        self.next_change = self.next_change.min(entry.next_change);
        for (has_testable, is_testable) in self.has_testable.iter_mut().zip(entry.is_testable) {
            *has_testable |= entry.accepts && is_testable;
        }
    }

    /// Whether any endpoint may be tested by a request.
    pub(super) const fn has_testable_by(&self, query: &Query) -> bool {
        self.has_testable[if query.is_repeatable { 0 } else { 1 }]
    }

    pub(super) fn zone(&self, zone: &id::Zone) -> Option<usize> {
        self.zones.iter().position(|known| known == zone)
    }

    fn zone_index(&mut self, zone: &id::Zone) -> usize {
        self.zone(zone).unwrap_or_else(|| {
            self.zones.push(zone.clone());
            self.zones.len() - 1
        })
    }

    fn version_index(&mut self, scheduler: &Scheduler, backend: &Backend, now: Duration) -> usize {
        let model = self.model.as_ref();
        let number = model.map_or(0, |model| backend.version(model));
        let mut known = self.versions.iter();
        if let Some(index) = known.position(|version| version.number == number) {
            return index;
        }
        let targets = model.and_then(|model| scheduler.target_versions.get(model));
        let newest = targets.and_then(weights::TargetVersions::newest);
        let grace = scheduler.settings.old_weights_grace;
        let newest = newest.filter(|(_, at)| at.is_none_or(|at| at + grace <= now));
        self.has_old = newest.is_some();
        let mut version = Version {
            number,
            usable_until: model.and_then(|model| scheduler.usable_until(model, number)),
            is_old: newest.is_some_and(|(newest, _)| number < newest),
            is_usable: true,
            held: Held::default(),
        };
        version.is_usable = version.begins_in_time(Duration::ZERO, now);
        self.versions.push(version);
        self.versions.len() - 1
    }

    /// Target latency of requests that are more urgent than a priority, in ms.
    pub(super) fn urgent_ms(&mut self, scheduler: &Scheduler, query: &Query) -> f64 {
        let priority = query.priority;
        let mut known = self.urgent_ms.iter();
        if let Some((_, urgent_ms)) = known.find(|(known, _)| *known == priority) {
            return *urgent_ms;
        }
        let table = &scheduler.table;
        let urgent = table.min_urgent_latency(&query.service, priority);
        let urgent_ms = urgent.map_or(f64::INFINITY, ms);
        self.urgent_ms.push((priority, urgent_ms));
        urgent_ms
    }

    /// Finds the reasons for which endpoints are left out whatever the request.
    pub(super) fn find_reasons(&mut self, scheduler: &Scheduler, now: Duration) {
        if self.reasons.is_empty() {
            let entries = self.entries.iter();
            let backends = entries.map(|entry| &scheduler.backends[entry.key]);
            let reasons = backends.map(|backend| scheduler.general_reason(backend, now));
            self.reasons = reasons.collect();
        }
        if self.exclusions.is_none() {
            let mut exclusions = Exclusions::default();
            for (entry, reason) in self.entries.iter().zip(&self.reasons) {
                if let Some(reason) = reason {
                    exclusions.add(*reason, entry, f64::INFINITY);
                }
            }
            self.exclusions = Some(exclusions);
        }
    }
}

impl Scheduler {
    /// Model whose engines serve a request; `None` if the request has no prompt or the service no
    /// engines.
    fn engine_model<'a>(&self, query: &'a Query) -> Option<&'a id::Model> {
        let prompt = query.prompt.as_ref()?;
        let service = self.table.services.get(&query.service)?;
        service.engine.as_ref().map(|_| &prompt.model)
    }

    fn entry(
        &self,
        key: BackendKey,
        backend: &Backend,
        (zone, version): (usize, usize),
        now: Duration,
    ) -> Entry {
        let endpoint = &backend.endpoint;
        let has_connection = backend.load.local().open + 1.0 <= self.connections(&endpoint.service);
        Entry {
            key,
            id: endpoint.id.clone(),
            zone,
            version,
            slots: endpoint.slots,
            accepts: backend.accepts(now) && has_connection && self.permits(backend, now),
            is_healthy: backend.is_healthy(now),
            is_source: !backend.is_leaving() && !backend.health.is_ejected(now),
            is_testable: [true, false]
                .map(|is_repeatable| self.may_be_tested(backend, is_repeatable, now)),
            overdue: backend.overdue,
            load: backend.load.sample(self.schedulers, now),
            reserved: backend.reserved,
            delay_ms: backend.delay.at(now),
            slow_start_ms: cost::slow_start_ms(backend, now),
            service_ms: backend.service_ms,
            retained: self.retained_tokens(backend),
            filled: backend.cache.filled_tokens(),
            next_change: next_change(backend, now),
        }
    }
}

/// Next time at which a rule at an endpoint may end by itself.
fn next_change(backend: &Backend, now: Duration) -> Duration {
    let loading = backend.loading.map(|loading| loading.until);
    let backoffs = [backend.signals.backoff_until, backend.refusal_backoff_until];
    let health = &backend.health;
    let times = backoffs.into_iter().chain(loading);
    let times = times.chain(health.ejected_until());
    let times = times.chain(trial::times(backend));
    let future = times.filter(|time| now < *time);
    future.min().unwrap_or(Duration::MAX)
}
