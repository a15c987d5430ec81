//! Effects of a placement: the load it adds to an endpoint, the parts that will be cached there,
//! and transfers from and to a store.

use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;

use super::backend::Endpoint;
use super::fetch::zone_factor;
use super::keys::Hashes;
use super::link::transfer_time;
use super::load::Amounts;
use super::progress::{Placed, Prediction};
use super::query::{BackendKey, InFlight, Placement, Query, Ticket};
use super::select::{Candidate, Fetch};
use super::{Scheduler, from_ms, ms};
use crate::prompt;

/// Multiple of the expected time to the first event after which prefill counts as complete, if
/// the first event was not observed earlier.
const PREFILL_FACTOR: u32 = 2;
/// Wait for a store's link from which nothing more is saved there: a save occupies the link for
/// long and delays fetches.
const MAX_SAVE_WAIT: Duration = Duration::from_millis(50);
/// Time from the end of prefill until the store has the saved parts.
const SAVE_TIME: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Places a request; returns the placement and the keys of the prompt's shared parts.
    pub(super) fn place(
        &mut self,
        query: &Query,
        mut hashes: Hashes,
        candidate: &Candidate,
        now: Duration,
    ) -> (Placement, Vec<prompt::Key>) {
        let mut keys = Vec::new();
        let estimate = &candidate.estimate;
        let first_event = from_ms(estimate.first_event_ms);
        let mut placement = Placement {
            ticket: Ticket::default(),
            endpoint: self.backends[candidate.key].endpoint.id.clone(),
            started: Some(self.backends[candidate.key].endpoint.started),
            address: self.backends[candidate.key].endpoint.address,
            software: Some(self.backends[candidate.key].endpoint.software.clone()),
            version: None,
            usable_for: None,
            salt: None,
            fetch: None,
            save: None,
            first_event,
            cached: estimate.cached,
            unread: estimate.unread,
            reread: estimate.reread,
            is_trial: candidate.is_trial,
        };
        if let Some(prompt) = &query.prompt {
            keys = hashes.take(prompt, candidate.version, query.group);
            let fetch = candidate.fetch;
            let engine = self.backends[candidate.key].endpoint.clone();
            let saved_by = prefilled_by(first_event, now) + SAVE_TIME;
            let has_more = |fetch: &Fetch| fetch.source.tokens > estimate.cached;
            if self.arrives(query.sender(), candidate.key, now) {
                placement.save = self.save(&engine, prompt, &keys, saved_by, now);
                let stored = fetch.filter(|fetch| fetch.source.is_shared && has_more(fetch));
                if let Some(fetch) = stored {
                    self.record_store_fetch(prompt, fetch.source.transfer, now);
                }
            }
            placement.fetch = fetch.map(|fetch| fetch.address);
            placement.salt = Some(prompt::salt(&prompt.model, candidate.version, query.group));
            placement.version = (candidate.version > 0).then_some(candidate.version);
            let until = self.usable_until(&prompt.model, candidate.version);
            placement.usable_for = until.map(|until| until.saturating_sub(now));
        }
        let predicted = Prediction {
            ms: estimate.predicted_ms,
            tokens: estimate.prefill_tokens,
        };
        let request = (query, keys.clone());
        placement.ticket = self.start(candidate.key, request, &placement, predicted, now);
        let backend = &mut self.backends[candidate.key];
        if candidate.is_trial || backend.health.is_on_trial() {
            backend.trial = Some((placement.ticket, now));
        }
        let endpoint = &self.backends[candidate.key].endpoint;
        self.limits.take(endpoint, now);
        (placement, keys)
    }

    /// Records a placement made by another host, so that this host knows its own load if it has
    /// to place requests by itself; `None` if the endpoint is unknown here, or does not fit.
    pub fn record_placement(
        &mut self,
        query: &Query,
        placement: &Placement,
        now: Duration,
    ) -> Option<Ticket> {
        let key = self.by_id.get(&placement.endpoint).copied()?;
        if !query.fits(&self.backends[key].endpoint) {
            return None;
        }
        if let Some(prompt) = &query.prompt {
            let prefill = self.prefill(&query.service);
            self.demand.record(prompt, prefill, now);
        }
        let predicted = Prediction {
            ms: ms(placement.first_event),
            tokens: f64::from(placement.unread),
        };
        let keys = query.prompt.as_ref().map_or_else(Vec::new, |prompt| {
            let version = placement.version.unwrap_or(0);
            Hashes::default().take(prompt, version, query.group)
        });
        Some(self.start(key, (query, keys), placement, predicted, now))
    }

    /// Address of an endpoint, if it is known here.
    pub fn address(&self, endpoint: &id::Endpoint) -> Option<SocketAddr> {
        let key = self.by_id.get(endpoint)?;
        Some(self.backends[*key].endpoint.address)
    }

    /// Records a request that another host has in flight; `None` if the endpoint is unknown
    /// here.
    pub fn record_in_flight(&mut self, in_flight: &InFlight, now: Duration) -> Option<Ticket> {
        let key = self.by_id.get(&in_flight.endpoint).copied()?;
        let backend = &mut self.backends[key];
        self.revisions.change(&backend.endpoint.service);
        let amounts = Amounts {
            open: 1.0,
            unread: f64::from(in_flight.unread),
            memory: f64::from(in_flight.memory),
        };
        backend.load.add(amounts, now);
        let ticket = self.tickets.insert(Placed {
            requesting_host: Some(in_flight.requesting_host.clone()),
            zone: in_flight.zone.clone(),
            deadline: in_flight.deadline,
            backend: key,
            endpoint: in_flight.endpoint.clone(),
            started: backend.endpoint.started,
            amounts,
            deferred: Amounts::default(),
            sent: now,
            expected: Duration::ZERO,
            predicted: Prediction {
                ms: 0.0,
                tokens: 0.0,
            },
            keys: Vec::new(),
            // The time at which the request was sent is unknown, so its events are not timed.
            is_stream: false,
            has_begun: true,
            is_overdue: true,
        });
        self.refusal_limits.add(ticket, &backend.endpoint, now);
        Some(ticket)
    }

    pub fn is_in_flight(&self, ticket: Ticket) -> bool {
        self.tickets.contains_key(ticket)
    }

    /// Adds the load and the expected parts of a placement to its endpoint, unless the request
    /// probably does not arrive there.
    fn start(
        &mut self,
        key: BackendKey,
        (query, keys): (&Query, Vec<prompt::Key>),
        placement: &Placement,
        predicted: Prediction,
        now: Duration,
    ) -> Ticket {
        let arrives = self.arrives(query.sender(), key, now);
        let backend = &mut self.backends[key];
        self.revisions.change(&backend.endpoint.service);
        let mut amounts = Amounts {
            open: 1.0,
            ..Amounts::default()
        };
        if let Some(prompt) = &query.prompt {
            amounts.unread = f64::from(placement.unread);
            let unread = prompt.tokens.saturating_sub(placement.cached);
            let memory = unread.saturating_add(prompt.output_tokens());
            amounts.memory = f64::from(memory);
            let prefilled = prefilled_by(placement.first_event, now);
            if arrives {
                backend.cache.fill(f64::from(memory));
                for (part, key) in prompt.shared().iter().zip(&keys) {
                    backend.cache.expect(*key, part.tokens, prefilled);
                }
            }
        }
        let deferred = if arrives {
            Amounts::default()
        } else {
            mem::take(&mut amounts)
        };
        backend.load.add(amounts, now);
        let ticket = self.tickets.insert(Placed {
            requesting_host: query.requesting_host.clone(),
            zone: query.zone.clone(),
            deadline: query.deadline,
            backend: key,
            endpoint: backend.endpoint.id.clone(),
            started: backend.endpoint.started,
            amounts,
            deferred,
            sent: now,
            expected: placement.first_event,
            predicted,
            keys,
            is_stream: query.prompt.is_some(),
            has_begun: false,
            is_overdue: false,
        });
        self.refusal_limits.send(ticket, &backend.endpoint, now);
        ticket
    }

    /// Returns the store's address if it lacks shared parts, and expects them there from
    /// `saved_by` on.
    fn save(
        &mut self,
        engine: &Endpoint,
        prompt: &prompt::Prompt,
        keys: &[prompt::Key],
        saved_by: Duration,
        now: Duration,
    ) -> Option<SocketAddr> {
        let (name, store) = self.store_of(prompt)?;
        let (name, store) = (name.clone(), store.clone());
        let token_bytes = self.token_bytes(&engine.service)?;
        let shared = prompt.shared();
        let target_store = self.stores.entry(name).or_default();
        let stored = target_store.cache.prefix(shared, keys, now);
        if stored >= prompt.shared_tokens() || target_store.link.wait(now) >= MAX_SAVE_WAIT {
            return None;
        }
        // The engine sends all tokens that the store lacks, including the request's own part.
        let sent = prompt.tokens.saturating_sub(stored);
        let time = transfer_time(sent, token_bytes, store.link_mbps);
        let time = time * zone_factor(&engine.zone, &store.zone);
        target_store.link.add_transfer(time, self.schedulers, now);
        for (part, key) in shared.iter().zip(keys) {
            target_store.cache.expect(*key, part.tokens, saved_by);
        }
        Some(store.address)
    }

    fn token_bytes(&self, service: &id::Service) -> Option<u64> {
        let service = self.table.services.get(service)?;
        Some(service.engine.as_ref()?.token_bytes)
    }

    fn record_store_fetch(&mut self, prompt: &prompt::Prompt, time: Duration, now: Duration) {
        let Some(name) = self.store_of(prompt).map(|(name, _)| name.clone()) else {
            return;
        };
        let store = self.stores.entry(name).or_default();
        store.link.add_transfer(time, self.schedulers, now);
    }
}

/// Time at which prefill counts as complete, if the first event is not observed earlier.
fn prefilled_by(first_event: Duration, now: Duration) -> Duration {
    now + first_event * PREFILL_FACTOR
}
