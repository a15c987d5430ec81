//! Updates to the scheduler's state: the routing table, hosts, endpoints and their weights, and
//! cache contents.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::backend::{Backend, Endpoint, Loading};
use super::query::BackendKey;
use crate::prompt;
use crate::table::Table;
use crate::weights;

/// Service time assumed before the first observation, in ms.
const INITIAL_SERVICE_MS: f64 = 30.0;
/// Longest time for which an endpoint that loads weights is excluded.
const MAX_LOADING: Duration = Duration::from_secs(8);
/// Time for which a loading endpoint is excluded after the last confirmation by the order
/// leader, which confirms an ongoing load more often than that.
const LOADING_RENEWAL_TIMEOUT: Duration = Duration::from_millis(2500);

impl Scheduler {
    pub fn set_table(&mut self, table: Arc<Table>) {
        self.revisions.change_all();
        self.table = table;
    }

    /// Merges target versions of the weights, as set by operators.
    pub fn add_target_versions(
        &mut self,
        target_versions: &HashMap<id::Model, weights::TargetVersions>,
    ) {
        self.revisions.change_all();
        for (model, target_versions) in target_versions {
            self.target_versions
                .entry(model.clone())
                .or_default()
                .merge(target_versions);
        }
    }

    /// Target versions of the weights that are known here.
    pub fn target_versions(&self) -> &HashMap<id::Model, weights::TargetVersions> {
        &self.target_versions
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&mut self, list: &[Endpoint], now: Duration) {
        self.revisions.change_all();
        let present: HashSet<&id::Endpoint> = list.iter().map(|endpoint| &endpoint.id).collect();
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

    /// Excludes exactly these endpoints while they load weights.
    pub fn set_loading(&mut self, loading: &[id::Endpoint], now: Duration) {
        self.revisions.change_all();
        let loading: HashSet<&id::Endpoint> = loading.iter().collect();
        for backend in self.backends.values_mut() {
            if loading.contains(&backend.endpoint.id) {
                let since = backend.loading.map_or(now, |loading| loading.since);
                backend.loading = Some(Loading {
                    since,
                    until: (now + LOADING_RENEWAL_TIMEOUT).min(since + MAX_LOADING),
                });
            } else if backend.loading.take().is_some() {
                backend.slow_start_from = now;
            }
        }
    }

    /// Records that an endpoint has loaded a version.
    pub fn record_loaded(&mut self, endpoint: &id::Endpoint, model: &id::Model, version: u64) {
        if let Some(backend) = self.backend_mut(endpoint) {
            let current = backend.endpoint.weights.entry(model.clone()).or_default();
            *current = (*current).max(version);
        }
    }

    /// Sets the cached tokens of a part at an endpoint; 0 tokens remove it.
    pub fn set_cached(&mut self, endpoint: &id::Endpoint, key: prompt::Key, tokens: u32) {
        if let Some(backend) = self.backend_mut(endpoint) {
            backend.cache.set(key, tokens);
        }
    }

    /// Clears the cached parts of an endpoint.
    pub fn clear_cached(&mut self, endpoint: &id::Endpoint) {
        if let Some(backend) = self.backend_mut(endpoint) {
            backend.cache.clear();
        }
    }

    /// Sets the tokens of a part in a store of cached prompts; 0 tokens remove it.
    pub fn set_stored(&mut self, store: &id::Service, key: prompt::Key, tokens: u32) {
        self.revisions.change_all();
        let store = self.stores.entry(store.clone()).or_default();
        store.is_reachable = true;
        store.cache.set(key, tokens);
    }

    /// Removes all state of a store of cached prompts.
    pub fn remove_store(&mut self, store: &id::Service) {
        self.revisions.change_all();
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
        let signals = self.signals(&endpoint.id, endpoint.started);
        let backend = Backend::new(endpoint.clone(), signals, INITIAL_SERVICE_MS, now);
        let key = self.backends.insert(backend);
        self.by_id.insert(endpoint.id.clone(), key);
    }

    fn remove(&mut self, key: BackendKey) {
        if let Some(backend) = self.backends.remove(key) {
            self.by_id.remove(&backend.endpoint.id);
        }
    }

    /// State of an endpoint, which is to change.
    pub(super) fn backend_mut(&mut self, endpoint: &id::Endpoint) -> Option<&mut Backend> {
        let key = self.by_id.get(endpoint)?;
        let backend = self.backends.get_mut(*key)?;
        self.revisions.change(&backend.endpoint.service);
        Some(backend)
    }
}

fn update(current: &mut Endpoint, listed: &Endpoint) {
    let mut weights = listed.weights.clone();
    for (model, version) in &current.weights {
        let listed = weights.entry(model.clone()).or_default();
        *listed = (*listed).max(*version);
    }
    *current = Endpoint {
        weights,
        ..listed.clone()
    };
}
