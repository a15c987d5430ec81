//! What follows from a choice: the work that an endpoint now has, the parts that
//! it will keep, what it fetches and what a store is to get.

use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;

use super::ask::{Ask, BackendKey, Open, Placement, Ticket};
use super::backend::Endpoint;
use super::course::{Explained, Placed};
use super::fetch::{Fetch, distance};
use super::link::transfer_time;
use super::load::Amounts;
use super::select::{Candidate, shared_keys};
use super::{Scheduler, milliseconds, ms};
use crate::prompt;

/// Times the expected time to the first event after which a prompt has been
/// read for sure, if its first event was not seen before.
const READ_BY: u32 = 2;
/// Wait for a store's link from which on nothing more is saved there: a save takes
/// the link for long, and fetches wait behind it.
const BUSY: Duration = Duration::from_millis(50);
/// Time from then on until a store has it.
const SAVE: Duration = Duration::from_millis(300);

impl Scheduler {
    pub(super) fn place(&mut self, ask: &Ask, candidate: &Candidate, now: Duration) -> Placement {
        let estimate = &candidate.estimate;
        let first_event = milliseconds(estimate.first_event_ms);
        let mut placement = Placement {
            ticket: Ticket::default(),
            endpoint: self.backends[candidate.key].endpoint.id.clone(),
            address: self.backends[candidate.key].endpoint.address,
            version: None,
            salt: None,
            fetch: None,
            save: None,
            first_event,
            cached: estimate.cached,
            unread: estimate.unread,
            reread: estimate.reread,
        };
        if let Some(prompt) = &ask.prompt {
            let wall = ask.wall.as_ref();
            let keys = shared_keys(prompt, candidate.version, wall);
            let fetch = candidate.fetch;
            let engine = self.backends[candidate.key].endpoint.clone();
            let saved = read_by(first_event, now) + SAVE;
            placement.save = self.save(&engine, prompt, &keys, saved, now);
            let is_known = |fetch: &Fetch| fetch.source.tokens > estimate.cached;
            if let Some(fetch) = fetch.filter(|fetch| fetch.source.is_shared && is_known(fetch)) {
                self.fetched_from_store(prompt, fetch.source.transfer, now);
            }
            placement.fetch = fetch.map(|fetch| fetch.address);
            placement.salt = Some(prompt::salt(&prompt.model, candidate.version, wall));
            placement.version = (candidate.version > 0).then_some(candidate.version);
        }
        let explained = Explained {
            ms: estimate.explained_ms,
            tokens: estimate.ahead,
        };
        placement.ticket = self.begin(candidate.key, ask, &placement, explained, now);
        placement
    }

    /// Takes over a placement that another host has made, so that this one knows
    /// what it has sent when it has to place by itself; `None` where the endpoint
    /// isn't known here.
    pub fn adopt(&mut self, ask: &Ask, placement: &Placement, now: Duration) -> Option<Ticket> {
        let key = self.by_id.get(&placement.endpoint).copied()?;
        if let Some(prompt) = &ask.prompt {
            let pace = self.pace(&ask.service);
            self.demand.asked(prompt, pace, now);
        }
        let explained = Explained {
            ms: ms(placement.first_event),
            tokens: f64::from(placement.unread),
        };
        Some(self.begin(key, ask, placement, explained, now))
    }

    /// Takes over a request that another host has sent to an endpoint; `None` where
    /// the endpoint isn't known here.
    pub fn take_over(&mut self, open: &Open, now: Duration) -> Option<Ticket> {
        let key = self.by_id.get(&open.endpoint).copied()?;
        let backend = &mut self.backends[key];
        let amounts = Amounts {
            open: 1.0,
            unread: f64::from(open.unread),
            memory: f64::from(open.memory),
        };
        backend.load.add(amounts, now);
        Some(self.tickets.insert(Placed {
            asker: Some(open.asker.clone()),
            zone: open.zone.clone(),
            deadline: open.deadline,
            backend: key,
            endpoint: open.endpoint.clone(),
            started: backend.endpoint.started,
            amounts,
            sent: now,
            expected: Duration::ZERO,
            explained: Explained {
                ms: 0.0,
                tokens: 0.0,
            },
            keys: Vec::new(),
            // What comes of it says nothing of when it was sent.
            is_stream: false,
            begun: true,
            overdue: true,
        }))
    }

    /// Whether a placed request has not ended.
    pub fn is_open(&self, ticket: Ticket) -> bool {
        self.tickets.contains_key(ticket)
    }

    /// Notes what a placement brings to its endpoint.
    fn begin(
        &mut self,
        key: BackendKey,
        ask: &Ask,
        placement: &Placement,
        explained: Explained,
        now: Duration,
    ) -> Ticket {
        let backend = &mut self.backends[key];
        let mut amounts = Amounts {
            open: 1.0,
            ..Amounts::default()
        };
        let mut keys = Vec::new();
        if let Some(prompt) = &ask.prompt {
            amounts.unread = f64::from(placement.unread);
            let memory = prompt.tokens.saturating_sub(placement.cached) + prompt.output_tokens();
            amounts.memory = f64::from(memory);
            backend.cache.fill(f64::from(memory));
            let version = placement.version.unwrap_or(0);
            keys = shared_keys(prompt, version, ask.wall.as_ref());
            let read = read_by(placement.first_event, now);
            for (part, key) in prompt.shared().iter().zip(&keys) {
                backend.cache.expect(*key, part.tokens, read);
            }
        }
        backend.load.add(amounts, now);
        self.tickets.insert(Placed {
            asker: ask.asker.clone(),
            zone: ask.zone.clone(),
            deadline: ask.deadline,
            backend: key,
            endpoint: backend.endpoint.id.clone(),
            started: backend.endpoint.started,
            amounts,
            sent: now,
            expected: placement.first_event,
            explained,
            keys,
            is_stream: ask.prompt.is_some(),
            begun: false,
            overdue: false,
        })
    }

    /// The store's address if it lacks shared parts, which are then expected.
    fn save(
        &mut self,
        engine: &Endpoint,
        prompt: &prompt::Prompt,
        keys: &[prompt::Key],
        from: Duration,
        now: Duration,
    ) -> Option<SocketAddr> {
        let (name, store) = self.store_of(prompt)?;
        let (name, store) = (name.clone(), store.clone());
        let token_bytes = self.token_bytes(&engine.service)?;
        let shared = prompt.shared();
        let kept = self.stores.entry(name).or_default();
        let known = kept.cache.prefix(shared, keys, now);
        if known >= prompt.shared_tokens() || kept.link.wait(now) >= BUSY {
            return None;
        }
        // The engine sends all that the store lacks, the request's own part too.
        let sent = prompt.tokens.saturating_sub(known);
        let time = transfer_time(sent, token_bytes, store.link_mbps);
        let time = time * distance(&engine.zone, &store.zone);
        kept.link.transfer(time, self.hosts, now);
        for (part, key) in shared.iter().zip(keys) {
            kept.cache.expect(*key, part.tokens, from);
        }
        Some(store.address)
    }

    fn token_bytes(&self, service: &id::Service) -> Option<u64> {
        let service = self.table.services.get(service)?;
        Some(service.engine.as_ref()?.token_bytes)
    }

    fn fetched_from_store(&mut self, prompt: &prompt::Prompt, time: Duration, now: Duration) {
        let Some(name) = self.store_of(prompt).map(|(name, _)| name.clone()) else {
            return;
        };
        let store = self.stores.entry(name).or_default();
        store.link.transfer(time, self.hosts, now);
    }
}

/// When a prompt has been read for sure, if its first event is not seen before.
fn read_by(first_event: Duration, now: Duration) -> Duration {
    now + first_event * READ_BY
}
