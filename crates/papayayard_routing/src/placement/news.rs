//! What the scheduler is told: the operators' table, hosts, endpoints and their
//! weights, and what caches keep.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::ask::BackendKey;
use super::backend::{Backend, Endpoint, Loading};
use crate::prompt;
use crate::table::Table;
use crate::weights;

/// Time to which a service time is taken before one was seen, in ms.
const UNKNOWN_SERVICE_MS: f64 = 30.0;
/// Longest time for which an endpoint that loads weights is left out.
const LONGEST_LOADING: Duration = Duration::from_secs(8);
/// Time for which it is left out after the holder of the turn said so last; one that
/// goes on says so again sooner.
const UNRENEWED_LOADING: Duration = Duration::from_millis(2500);

impl Scheduler {
    /// Takes over a routing table.
    pub fn set_table(&mut self, table: Arc<Table>) {
        self.table = table;
    }

    /// Takes over versions of weights that operators have named.
    pub fn add_named(&mut self, named: &HashMap<id::Model, weights::TargetVersions>) {
        for (model, named) in named {
            self.named.entry(model.clone()).or_default().merge(named);
        }
    }

    /// Takes over the list of endpoints.
    pub fn set_endpoints(&mut self, list: &[Endpoint], now: Duration) {
        let present: HashSet<&id::Endpoint> = list.iter().map(|one| &one.id).collect();
        let gone: Vec<BackendKey> = self
            .by_id
            .iter()
            .filter(|(id, _)| !present.contains(id))
            .map(|(_, key)| *key)
            .collect();
        for key in gone {
            self.remove(key);
        }
        for endpoint in list {
            self.set_endpoint(endpoint, now);
        }
    }

    /// Leaves out endpoints that load weights, and no others.
    pub fn set_loading(&mut self, loading: &[id::Endpoint], now: Duration) {
        let loading: HashSet<&id::Endpoint> = loading.iter().collect();
        for backend in self.backends.values_mut() {
            if loading.contains(&backend.endpoint.id) {
                let since = backend.loading.map_or(now, |loading| loading.since);
                backend.loading = Some(Loading {
                    since,
                    until: (now + UNRENEWED_LOADING).min(since + LONGEST_LOADING),
                });
            } else if backend.loading.take().is_some() {
                backend.fresh_since = now;
            }
        }
    }

    /// Takes over that an endpoint has loaded a version.
    pub fn loaded(&mut self, endpoint: &id::Endpoint, model: &id::Model, version: u64) {
        if let Some(backend) = self.backend_mut(endpoint) {
            let known = backend.endpoint.weights.entry(model.clone()).or_default();
            *known = (*known).max(version);
        }
    }

    /// Takes over what an endpoint keeps of a part; 0 tokens drop it.
    pub fn told(&mut self, endpoint: &id::Endpoint, key: prompt::Key, tokens: u32) {
        if let Some(backend) = self.backend_mut(endpoint) {
            backend.cache.told(key, tokens);
        }
    }

    /// Forgets what an endpoint keeps.
    pub fn forget(&mut self, endpoint: &id::Endpoint) {
        if let Some(backend) = self.backend_mut(endpoint) {
            backend.cache.clear();
        }
    }

    /// Takes over what a store of cached prompts keeps of a part.
    pub fn store_told(&mut self, store: &id::Service, key: prompt::Key, tokens: u32) {
        let store = self.stores.entry(store.clone()).or_default();
        store.is_reached = true;
        store.cache.told(key, tokens);
    }

    /// Forgets what a store of cached prompts keeps.
    pub fn forget_store(&mut self, store: &id::Service) {
        self.stores.remove(store);
    }

    fn set_endpoint(&mut self, endpoint: &Endpoint, now: Duration) {
        if let Some(key) = self.by_id.get(&endpoint.id).copied() {
            let backend = &mut self.backends[key];
            if backend.endpoint.started == endpoint.started
                && backend.endpoint.address == endpoint.address
            {
                update(&mut backend.endpoint, endpoint);
                return;
            }
            self.remove(key);
        }
        let stated = self.stated(&endpoint.id, endpoint.started);
        let backend = Backend::new(endpoint.clone(), stated, UNKNOWN_SERVICE_MS, now);
        let key = self.backends.insert(backend);
        self.by_id.insert(endpoint.id.clone(), key);
    }

    fn remove(&mut self, key: BackendKey) {
        if let Some(backend) = self.backends.remove(key) {
            self.by_id.remove(&backend.endpoint.id);
        }
    }

    pub(super) fn backend_mut(&mut self, endpoint: &id::Endpoint) -> Option<&mut Backend> {
        let key = self.by_id.get(endpoint)?;
        self.backends.get_mut(*key)
    }
}

fn update(known: &mut Endpoint, listed: &Endpoint) {
    let mut weights = listed.weights.clone();
    for (model, version) in &known.weights {
        let listed = weights.entry(model.clone()).or_default();
        *listed = (*listed).max(*version);
    }
    *known = Endpoint {
        weights,
        ..listed.clone()
    };
}
