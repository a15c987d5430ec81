//! Room at engines that is held for waiting requests.
//!
//! A long prompt needs more memory at once than short ones leave free. Two kinds of waiting
//! requests therefore hold room, and requests after them are placed only beside it: those that
//! are more urgent than others of their service, and those of a lane (see [`order`]) after which
//! later ones have been placed, or whose account has had less than another. Room is held anew in
//! each decision, at the engines with the least load, where enough becomes free first.
//!
//! Engines do not stand idle for it: an engine holds room for one request at a time, and only
//! for one that it could begin in time if it were empty. What it leaves unused is less than this
//! request needs, and the request waits for a fraction of the time to its target only. Urgent
//! requests may hold room at all engines, since less urgent ones are never to take what they
//! wait for, and others at a part of them.

use std::collections::{BTreeMap, HashMap};
use std::mem;
use std::time::Duration;

use papayayard_wire::id;
use slotmap::Key;
use xxhash_rust::xxh3;

use super::backend::Backend;
use super::cost::MEMORY_FRACTION;
use super::keys::Salts;
use super::load::Amounts;
use super::query::{BackendKey, PendingKey, Query};
use super::select::{Bounds, MAX_SILENCE};
use super::{Scheduler, order};

/// Time after which it is decided anew who holds room, if nothing else changes.
pub(super) const RESERVATION_PERIOD: Duration = Duration::from_millis(20);

/// One of so many engines of a service may hold room for requests against others of their
/// priority. The rest stays open to all requests, so that engines do not stand idle.
const ENGINES_PER_RESERVATION: usize = 2;

/// What an engine holds for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    /// A slot, memory and time to prefill.
    All,
    /// A slot and memory. Time is not held among requests of a single account: short prompts that
    /// fit into what is left are placed as before.
    Memory,
}

/// Digest of the room held in a decision, up to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Digest(u64);

impl Digest {
    fn add(&mut self, engine: BackendKey, amounts: Amounts) {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&engine.data().as_ffi().to_le_bytes());
        bytes[8..16].copy_from_slice(&amounts.memory.to_bits().to_le_bytes());
        bytes[16..].copy_from_slice(&amounts.unread.to_bits().to_le_bytes());
        self.0 = xxh3::xxh3_64_with_seed(&bytes, self.0);
    }
}

/// Room held in the present decision.
#[derive(Default)]
pub(super) struct Reservations {
    /// Engines that hold room.
    engines: Vec<BackendKey>,
    digest: Digest,
    /// What engines hold since it was last taken.
    changes: Vec<(BackendKey, Amounts)>,
    salts: Salts,
    /// Requests that were not placed and hold room against less urgent ones, by service. The order
    /// of the services must be the same in each decision, since the digest depends on it.
    waiting: BTreeMap<id::Service, Vec<PendingKey>>,
    /// Number of engines that may still hold room within a lane, by service.
    left: HashMap<id::Service, usize>,
    /// Priority of the request that is decided.
    priority: u8,
}

impl Reservations {
    pub(super) const fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    pub(super) const fn digest(&self) -> Digest {
        self.digest
    }

    /// Takes what engines hold since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<(BackendKey, Amounts)> {
        mem::take(&mut self.changes)
    }

    fn add(&mut self, engine: BackendKey, amounts: Amounts) {
        self.engines.push(engine);
        self.changes.push((engine, amounts));
        self.digest.add(engine, amounts);
    }
}

impl Scheduler {
    /// Gives up all room that was held in the last decision.
    pub(super) fn release_reservations(&mut self) {
        for key in mem::take(&mut self.reservations).engines {
            if let Some(backend) = self.backends.get_mut(key) {
                backend.reserved = Amounts::default();
            }
        }
    }

    /// Holds room for the waiting requests that are more urgent than `priority`.
    pub(super) fn reserve_for_urgent(&mut self, priority: u8, now: Duration) {
        if self.reservations.priority == priority {
            return;
        }
        self.reservations.priority = priority;
        for waiting in mem::take(&mut self.reservations.waiting).into_values() {
            self.reserve(&waiting, usize::MAX, Room::All, now);
        }
    }

    /// Records that a request stays in the queue, and holds room for it.
    pub(super) fn keep_waiting(&mut self, turn: &order::Turn, now: Duration) {
        let key = turn.entry.key;
        self.order.record_waiting(turn.entry.position);
        let query = &self.waiting[key].query;
        if query.prompt.is_none() {
            return;
        }
        let service = query.service.clone();
        if let Some(room) = turn.room {
            self.reserve_in_lane(&service, key, room, now);
        }
        let waiting = self.reservations.waiting.entry(service);
        waiting.or_default().push(key);
    }

    /// Holds room for a request against later ones of its lane.
    fn reserve_in_lane(
        &mut self,
        service: &id::Service,
        key: PendingKey,
        room: Room,
        now: Duration,
    ) {
        let left = self.reservations_left(service);
        if left > 0 {
            self.reservations.left.insert(service.clone(), left - 1);
            self.reserve(&[key], 1, room, now);
        }
    }

    /// Holds room at up to a number of engines for waiting requests of a service, in turn.
    fn reserve(&mut self, waiting: &[PendingKey], number: usize, room: Room, now: Duration) {
        let Some(first) = waiting.first() else {
            return;
        };
        let service = &self.waiting[*first].query.service;
        let load = |backend: &Backend| {
            let load = backend.load.local();
            load.memory + load.unread
        };
        let free = self.backends.iter().filter(|(_, backend)| {
            backend.endpoint.service == *service
                && backend.reserved.open == 0.0
                && self.accepts(backend, now)
        });
        let mut engines: Vec<(f64, BackendKey)> =
            free.map(|(key, backend)| (load(backend), key)).collect();
        engines.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let engines = engines.into_iter().take(number);
        for ((_, engine), key) in engines.zip(waiting.iter().cycle()) {
            let Some(mut amounts) = self.needed(*key, engine, now) else {
                continue;
            };
            if room == Room::Memory {
                amounts.unread = 0.0;
            }
            self.backends[engine].reserved = amounts;
            self.reservations.add(engine, amounts);
            let has_reserved = mem::replace(&mut self.waiting[*key].has_reserved, true);
            self.order.counts.reserved += u64::from(!has_reserved);
        }
    }

    /// Whether a sound engine accepts requests.
    fn accepts(&self, backend: &Backend, now: Duration) -> bool {
        let connections = self.connections(&backend.endpoint.service);
        backend.is_healthy(now)
            && backend.accepts(now)
            && backend.load.local().open + 1.0 <= connections
            && self.permits(backend, now)
    }

    fn reservations_left(&mut self, service: &id::Service) -> usize {
        if let Some(left) = self.reservations.left.get(service) {
            return *left;
        }
        let backends = self.backends.values();
        let engines = backends.filter(|backend| backend.endpoint.service == *service);
        let left = engines.count().div_ceil(ENGINES_PER_RESERVATION);
        self.reservations.left.insert(service.clone(), left);
        left
    }

    /// Load of a waiting request at an engine; `None` if the engine could not begin it in time if it
    /// were empty.
    fn needed(&mut self, key: PendingKey, engine: BackendKey, now: Duration) -> Option<Amounts> {
        let pending = self.waiting.get_mut(key)?;
        let query = &pending.query;
        let prompt = query.prompt.as_deref()?;
        let backend = &self.backends[engine];
        let version = backend.version(&prompt.model);
        let hashes = &mut pending.hashes;
        let keys = hashes.keys(prompt, version, query.group, &mut self.reservations.salts);
        let cached = backend.cache.prefix(prompt.shared(), keys, now);
        let unread = f64::from(prompt.tokens.saturating_sub(cached));
        let amounts = Amounts {
            open: 1.0,
            unread,
            memory: unread + f64::from(prompt.output_tokens()),
        };
        let query = &self.waiting[key].query;
        let is_in_time = self.begins_in_time(query, (backend, version), amounts, now);
        is_in_time.then_some(amounts)
    }

    /// Whether an engine could begin a request in time if it were empty.
    fn begins_in_time(
        &self,
        query: &Query,
        (backend, version): (&Backend, u64),
        amounts: Amounts,
        now: Duration,
    ) -> bool {
        let service = self.table.services.get(&query.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let memory_tokens = engine.map_or(0, |engine| engine.memory_tokens);
        let limit = f64::from(u32::try_from(memory_tokens).unwrap_or(u32::MAX));
        let token_ms = self.prefill(&query.service).ms_per_token();
        let delay_ms = self.baseline_delay.ms() + backend.delay.at(now);
        let bounds = Bounds::new(query, f64::INFINITY, now);
        let endpoint = &backend.endpoint;
        let is_excluded = query.tried.contains(&endpoint.id)
            || query.avoided.contains(&endpoint.id)
            || !query.fits(endpoint)
            || self.paths.excludes(query.sender(), &endpoint.zone, now);
        let model = query.prompt.as_ref().map(|prompt| &prompt.model);
        let until = model.and_then(|model| self.usable_until(model, version));
        let is_usable = until.is_none_or(|until| now + MAX_SILENCE < until);
        let fits = amounts.memory <= limit * MEMORY_FRACTION
            && !bounds.is_late(amounts.unread * token_ms + delay_ms);
        fits && is_usable && !is_excluded
    }
}

#[cfg(test)]
#[path = "reservation_test.rs"]
mod test;
