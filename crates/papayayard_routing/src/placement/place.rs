//! What follows from a choice: the work that an endpoint now has, the parts that
//! it will keep, what it fetches and what a store is to get.

use std::net::SocketAddr;
use std::time::Duration;

use super::ask::{Ask, Placement};
use super::course::Placed;
use super::fetch::Fetch;
use super::load::Amounts;
use super::select::{Candidate, shared_keys};
use super::{Scheduler, milliseconds};
use crate::prompt;

/// Times the expected time to the first event after which a prompt has been
/// read for sure, if its first event was not seen before.
const READ_BY: u32 = 2;
/// Time from then on until a store has it.
const SAVE: Duration = Duration::from_millis(300);

impl Scheduler {
    pub(super) fn place(&mut self, ask: &Ask, candidate: &Candidate, now: Duration) -> Placement {
        let first_event = milliseconds(candidate.estimate.first_event_ms);
        let mut amounts = Amounts {
            open: 1.0,
            ..Amounts::default()
        };
        let mut shared = Vec::new();
        let mut salt = None;
        let mut save = None;
        let mut fetch = None;
        let mut version = None;
        if let Some(prompt) = &ask.prompt {
            amounts.unread = f64::from(candidate.estimate.unread);
            let memory = prompt.tokens - candidate.estimate.cached + prompt.output_tokens();
            amounts.memory = f64::from(memory);
            let keys = shared_keys(prompt, candidate.version, ask.wall.as_ref());
            fetch = candidate.fetch;
            let read = now + first_event * READ_BY;
            save = self.save(prompt, &keys, read + SAVE, now);
            let is_known = |fetch: &Fetch| fetch.source.tokens > candidate.estimate.cached;
            if let Some(fetch) = fetch.filter(|fetch| fetch.source.is_shared && is_known(fetch)) {
                self.fetched_from_store(prompt, fetch.source.transfer, now);
            }
            let cache = &mut self.backends[candidate.key].cache;
            for (part, key) in prompt.shared().iter().zip(&keys) {
                cache.expect(*key, part.tokens, read);
            }
            shared = keys;
            salt = Some(prompt::salt(
                &prompt.model,
                candidate.version,
                ask.wall.as_ref(),
            ));
            version = (candidate.version > 0).then_some(candidate.version);
        }
        let backend = &mut self.backends[candidate.key];
        backend.load.add(amounts, now);
        let endpoint = backend.endpoint.id.clone();
        let started = backend.endpoint.started;
        let address = backend.endpoint.address;
        let ticket = self.tickets.insert(Placed {
            backend: candidate.key,
            endpoint: endpoint.clone(),
            started,
            amounts,
            sent: now,
            expected: first_event,
            explained_ms: candidate.estimate.explained_ms,
            keys: shared,
            is_stream: ask.prompt.is_some(),
            begun: false,
            overdue: false,
        });
        Placement {
            ticket,
            endpoint,
            address,
            version,
            salt,
            fetch: fetch.map(|fetch| fetch.address),
            save,
            first_event,
            cached: candidate.estimate.cached,
            unread: candidate.estimate.unread,
        }
    }

    /// The store's address if it lacks shared parts, which are then expected.
    fn save(
        &mut self,
        prompt: &prompt::Prompt,
        keys: &[prompt::Key],
        from: Duration,
        now: Duration,
    ) -> Option<SocketAddr> {
        let (name, store) = self.store_of(prompt)?;
        let (name, address) = (name.clone(), store.address);
        let shared = prompt.shared();
        let kept = self.stores.entry(name).or_default();
        if kept.cache.prefix(shared, keys, now) >= prompt.shared_tokens() {
            return None;
        }
        for (part, key) in shared.iter().zip(keys) {
            kept.cache.expect(*key, part.tokens, from);
        }
        Some(address)
    }

    fn fetched_from_store(&mut self, prompt: &prompt::Prompt, time: Duration, now: Duration) {
        let Some(name) = self.store_of(prompt).map(|(name, _)| name.clone()) else {
            return;
        };
        let store = self.stores.entry(name).or_default();
        store.link.transfer(time, self.hosts, now);
    }
}
