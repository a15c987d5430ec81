//! The endpoint that a request goes to, of all that could take it now.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_wire::id;

use super::ask::{Ask, BackendKey, Refused, Seen};
use super::backend::Backend;
use super::fetch::{Fetch, Holder, Shared};
use super::load::Amounts;
use super::pace::Pace;
use super::{Scheduler, cost, float, milliseconds, ms};
use crate::prompt;
use crate::table;
use crate::weights;

/// Part of the time to the deadline within which the first event must come.
const LATEST_PART: f64 = 0.7;
/// Times the target latency that a first event may take at an engine. Beyond
/// that the engine is crowded, and one more request would make others late.
const CROWDED_FACTOR: f64 = 1.3;
/// Part of the target latency of more urgent requests up to which a request may wait
/// at an engine though it keeps it busy for longer than that latency. What is less
/// urgent does not fill engines so far that what is more urgent is late, but a prompt
/// that takes long by itself is served all the same.
const SHORT_WAIT_PART: f64 = 0.2;
/// Shared tokens from which on the stores of cached prompts are used: fewer are
/// computed sooner than they are fetched past long transfers.
const FEWEST_STORED: u32 = 1000;

/// Part of an engine's memory that is surely filled before unused parts yield.
const SURE_PART: f64 = 0.6;
/// Wait for a link from which on it is weighed against reading.
const LONG_WAIT: Duration = Duration::from_millis(50);

/// A placement that could be made.
pub(super) struct Candidate {
    pub(super) key: BackendKey,
    pub(super) estimate: cost::Estimate,
    pub(super) version: u64,
    pub(super) fetch: Option<Fetch>,
}

impl Scheduler {
    pub(super) fn obstacle(&self, ask: &Ask) -> Refused {
        let mut own = self
            .backends
            .values()
            .filter(|one| one.endpoint.service == ask.service && !one.is_leaving())
            .peekable();
        if own.peek().is_none() {
            return Refused::NoEndpoint;
        }
        let is_excluded = |one: &Backend| {
            ask.tried.contains(&one.endpoint.id) || ask.avoided.contains(&one.endpoint.id)
        };
        if own.all(is_excluded) {
            return Refused::AllTried;
        }
        Refused::Overloaded
    }

    /// When the first endpoint that this request has not failed at takes requests
    /// again, as far as it has said.
    pub(super) fn open_from(&self, ask: &Ask, now: Duration) -> Duration {
        let own = self.backends.values().filter(|one| {
            one.endpoint.service == ask.service
                && !one.is_leaving()
                && !ask.tried.contains(&one.endpoint.id)
        });
        let soonest = own.map(|one| one.stated.quiet_until).min();
        soonest.unwrap_or(now).max(now)
    }

    pub(super) fn best(
        &self,
        ask: &Ask,
        draw: f64,
        seen: &mut Seen,
        now: Duration,
    ) -> Option<Candidate> {
        let service = self.table.services.get(&ask.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let connections = service.map_or(u32::MAX, |service| service.max_connections);
        let share = f64::from(connections) / float(self.hosts);
        let usable = self.backends.iter().filter(|(_, one)| {
            one.endpoint.service == ask.service
                && !ask.tried.contains(&one.endpoint.id)
                && !ask.avoided.contains(&one.endpoint.id)
                && one.is_usable(now)
                && one.load.own().open + 1.0 <= share.max(1.0)
        });
        let mut usable: Vec<(BackendKey, &Backend)> = usable.collect();
        let mut hosts = self.hosts;
        if self.reach.is_any_out(&ask.zone, now) {
            let is_reached =
                |backend: &Backend| !self.reach.is_out(&ask.zone, &backend.endpoint.zone, now);
            if usable.iter().any(|(_, one)| is_reached(one)) {
                usable.retain(|(_, one)| is_reached(one));
            }
            hosts = self.sending_hosts(ask, now);
        }
        seen.usable = usable.len();
        let candidates = match (engine, &ask.prompt) {
            (Some(engine), Some(_)) => self.engines(ask, draw, engine, usable, hosts, now),
            _ => Self::plain(usable, ask, hosts, now),
        };
        seen.with_room = candidates.len();
        let soonest_ms = candidates
            .iter()
            .map(|one| one.estimate.first_event_ms)
            .min_by(f64::total_cmp)?;
        seen.first_event = milliseconds(soonest_ms);
        let left_ms = ms(ask.deadline.saturating_sub(now));
        let crowded_ms = ms(ask.target_latency) * CROWDED_FACTOR;
        let urgent = self.table.min_urgent_latency(&ask.service, ask.priority);
        let urgent_ms = urgent.map_or(f64::INFINITY, ms);
        let latest_ms = (left_ms * LATEST_PART).min(crowded_ms);
        let in_time = candidates.into_iter();
        let in_time = in_time.filter(|one| {
            let leaves_room = one.estimate.first_event_ms <= urgent_ms
                || one.estimate.wait_ms <= urgent_ms * SHORT_WAIT_PART;
            one.estimate.first_event_ms <= latest_ms && leaves_room
        });
        in_time.min_by(|one, other| one.estimate.cost_ms.total_cmp(&other.estimate.cost_ms))
    }

    /// Hosts that send to the endpoints that this host reaches: those of a zone
    /// that is cut off send to their own.
    fn sending_hosts(&self, ask: &Ask, now: Duration) -> usize {
        let own = self.backends.values();
        let own = own.filter(|one| one.endpoint.service == ask.service);
        let zones: HashSet<&id::Zone> = own.map(|one| &one.endpoint.zone).collect();
        let is_reached = |zone: &&&id::Zone| !self.reach.is_out(&ask.zone, zone, now);
        let reached = zones.iter().filter(is_reached).count();
        if reached == 0 {
            return self.hosts;
        }
        (self.hosts * reached).div_ceil(zones.len())
    }

    fn plain(
        usable: Vec<(BackendKey, &Backend)>,
        ask: &Ask,
        hosts: usize,
        now: Duration,
    ) -> Vec<Candidate> {
        let zone = cost::Zone::new(&ask.zone, ask.is_repeatable);
        let mean = Amounts::mean(usable.iter().map(|(_, one)| one.load.average(hosts, now)));
        let candidates = usable.into_iter().map(|(key, backend)| Candidate {
            key,
            estimate: cost::of_plain(backend, zone, mean, hosts, now),
            version: 0,
            fetch: None,
        });
        candidates.collect()
    }

    fn engines(
        &self,
        ask: &Ask,
        draw: f64,
        engine: &table::Engine,
        usable: Vec<(BackendKey, &Backend)>,
        hosts: usize,
        now: Duration,
    ) -> Vec<Candidate> {
        let Some(prompt) = &ask.prompt else {
            return Vec::new();
        };
        let named = self.named.get(&prompt.model);
        let oldest = named.map_or(0, |one| one.oldest_allowed(self.settings.old_weights, now));
        let newest = named.and_then(weights::TargetVersions::newest);
        let mut ranked: Vec<(BackendKey, &Backend)> = usable
            .into_iter()
            .filter(|(_, one)| one.version(&prompt.model) >= oldest)
            .collect();
        ranked.sort_by_cached_key(|(_, one)| {
            Reverse(cost::preference(one.endpoint.id.as_str(), prompt))
        });

        let mut versions: HashMap<u64, Shared<'_>> = HashMap::new();
        let newest = newest.filter(|(_, at)| *at + self.settings.old_weights_grace <= now);
        let is_old =
            |one: &Backend| newest.is_some_and(|(newest, _)| one.version(&prompt.model) < newest);
        let mean = |old: bool| {
            let alike = ranked.iter().filter(|(_, one)| is_old(one) == old);
            Amounts::mean(alike.map(|(_, one)| one.load.average(hosts, now)))
        };
        let (mean_old, mean_new) = (mean(true), mean(false));
        let token_ms = self.pace(&ask.service).ms_per_token();
        let new = ranked.iter().filter(|(_, one)| !is_old(one)).count();
        let prefers_new = draw < self.demand.part(new, hosts, now);
        let mut candidates = Vec::with_capacity(ranked.len());
        for (rank, (key, backend)) in ranked.into_iter().enumerate() {
            let version = backend.version(&prompt.model);
            let shared = versions
                .entry(version)
                .or_insert_with(|| self.shared(ask, prompt, version, now));
            let is_old = is_old(backend);
            let need = cost::Need {
                prompt,
                target: ask.target_latency,
                hosts,
                mean: if is_old { mean_old } else { mean_new },
                is_avoided: newest.is_some() && is_old == prefers_new,
                zone: cost::Zone::new(&ask.zone, ask.is_repeatable),
                rank,
                known: shared.known,
                usual_ms: self.usual.ms(),
                token_ms,
            };
            let cached = backend.cache.prefix(prompt.shared(), &shared.keys, now);
            let fetch = shared.source(engine, key, backend, cached);
            // Where a link has a queue it can be better to read than to wait.
            let sources = [fetch, None];
            let ways = if fetch.is_some_and(|fetch| fetch.source.wait >= LONG_WAIT) {
                &sources[..]
            } else {
                &sources[..1]
            };
            for fetch in ways {
                let source = fetch.map(|fetch| fetch.source);
                let estimate = cost::of_engine(backend, engine, &need, cached, source, now);
                candidates.extend(estimate.map(|estimate| Candidate {
                    key,
                    estimate,
                    version,
                    fetch: *fetch,
                }));
            }
        }
        candidates
    }

    /// Tokens that go into an engine's memory, as this scheduler counts them, before
    /// parts that nobody uses may have gone.
    fn room(&self, backend: &Backend) -> f64 {
        let service = self.table.services.get(&backend.endpoint.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let memory = engine.map_or(0, |engine| engine.memory_tokens);
        let memory = f64::from(u32::try_from(memory).unwrap_or(u32::MAX));
        let schedulers = float(self.hosts);
        let room = memory - backend.load.own().memory * schedulers;
        (room / schedulers * SURE_PART).max(0.0)
    }

    /// How fast a service's engines read.
    pub(super) fn pace(&self, service: &id::Service) -> Pace {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// What is known of a prompt's shared parts under one version.
    fn shared<'a>(
        &'a self,
        ask: &Ask,
        prompt: &prompt::Prompt,
        version: u64,
        now: Duration,
    ) -> Shared<'a> {
        let keys = shared_keys(prompt, version, ask.wall.as_ref());
        let parts = prompt.shared();
        let engines = self.backends.iter().filter(|(_, one)| {
            one.endpoint.service == ask.service
                && !one.is_leaving()
                && !one.health.is_ejected(now)
                && one.version(&prompt.model) == version
        });
        let holders = engines
            .map(|(key, one)| Holder {
                key,
                endpoint: &one.endpoint,
                tokens: one.cache.fetchable(parts, &keys, self.room(one), now),
            })
            .filter(|holder| holder.tokens > 0)
            .collect();
        let store = self.store_of(prompt);
        let kept = store.and_then(|(name, _)| self.stores.get(name));
        let stored = kept.map_or(0, |kept| {
            kept.cache.fetchable(parts, &keys, f64::INFINITY, now)
        });
        let at_engines = self.backends.values().filter(|one| {
            one.endpoint.service == ask.service && one.version(&prompt.model) == version
        });
        let known = at_engines
            .map(|one| one.cache.prefix(parts, &keys, now))
            .max();
        let known = known.unwrap_or(0).max(stored);
        Shared {
            keys,
            holders,
            store: store
                .zip(kept)
                .filter(|(_, kept)| kept.is_reached)
                .map(|((_, store), kept)| (store, kept.link.wait(now))),
            stored,
            known,
        }
    }

    /// The store that keeps a prompt's shared parts: each store has its own
    /// prompts, so that together they hold more.
    pub(super) fn store_of(
        &self,
        prompt: &prompt::Prompt,
    ) -> Option<(&id::Service, &table::CacheStore)> {
        if prompt.shared_tokens() < FEWEST_STORED {
            return None;
        }
        let stores = self.table.cache_stores();
        stores.max_by_key(|(name, _)| cost::preference(name.as_str(), prompt))
    }
}

/// Keys of a prompt's shared parts under a version of the weights.
pub(super) fn shared_keys(
    prompt: &prompt::Prompt,
    version: u64,
    wall: Option<&id::Account>,
) -> Vec<prompt::Key> {
    let salt = prompt::salt(&prompt.model, version, wall);
    let parts = prompt.shared().iter();
    parts.map(|part| prompt::key(&salt, &part.name)).collect()
}
