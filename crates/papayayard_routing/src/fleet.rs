//! The endpoints of one model service, from this host's view.
//!
//! The fleet owns the index of cached blocks, so that the end of a process run
//! and the removal of its index entries are one step. An endpoint is eligible
//! only while its last report is ready with the weights version that the document
//! requires, and while it is neither leaving nor ejected.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::{block, endpoint as wire, id};
use slotmap::SlotMap;

use crate::index;
use crate::run;

mod endpoint;

pub use endpoint::Endpoint;

slotmap::new_key_type! {
    /// Handle of an endpoint in a [`Fleet`].
    pub struct Key;
}

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Weights version that the document requires.
    pub version: id::Version,
    /// Length of a cached block, in bytes of a prompt.
    pub block_bytes: usize,
    /// Maximum number of blocks in the index.
    pub index_blocks: usize,
}

/// The fields that the choice scans, in a dense table indexed by slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Entry {
    pub(crate) key: Key,
    pub(crate) seed: u64,
    pub(crate) eligible: bool,
}

/// The endpoints of one model service.
#[derive(Debug)]
pub struct Fleet {
    endpoints: SlotMap<Key, Endpoint>,
    entries: Vec<Entry>,
    names: HashMap<id::Endpoint, Key>,
    index: index::Index,
    version: id::Version,
    block_bytes: usize,
    hosts: f64,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new(settings: Settings) -> Self {
        Self {
            endpoints: SlotMap::with_key(),
            entries: Vec::new(),
            names: HashMap::new(),
            index: index::Index::new(settings.index_blocks),
            version: settings.version,
            block_bytes: settings.block_bytes.max(1),
            hosts: 1.0,
        }
    }

    /// Sets the number of hosts in this zone that send requests, including this one.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = f64::from(hosts.max(1));
    }

    /// Sets the weights version that the document requires.
    pub fn set_version(&mut self, version: id::Version) {
        self.version = version;
        for endpoint in self.endpoints.values() {
            let entry = &mut self.entries[endpoint.slot.index()];
            entry.eligible = endpoint.is_eligible(&self.version);
        }
    }

    /// Adds an endpoint, or returns the existing one of that name, which is then no
    /// longer leaving.
    pub fn join(&mut self, name: &id::Endpoint, zone: &id::Zone) -> Key {
        if let Some(&key) = self.names.get(name) {
            self.update(key, |endpoint| {
                endpoint.leaving = false;
                endpoint.zone = zone.clone();
            });
            return key;
        }
        let slot = self.index.allocate();
        let endpoint = Endpoint::new(name, zone, slot);
        let seed = endpoint.seed;
        let key = self.endpoints.insert(endpoint);
        self.names.insert(name.clone(), key);
        self.entries.resize(self.index.slots(), Entry::default());
        self.entries[slot.index()] = Entry {
            key,
            seed,
            eligible: false,
        };
        key
    }

    /// Stops sending new requests to an endpoint that is leaving.
    pub fn leave(&mut self, key: Key) {
        self.update(key, |endpoint| endpoint.leaving = true);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: Key) {
        if let Some(endpoint) = self.endpoints.remove(key) {
            self.names.remove(&endpoint.name);
            self.entries[endpoint.slot.index()] = Entry::default();
            self.index.deallocate(endpoint.slot);
        }
    }

    /// Sets whether an endpoint is excluded from the choice as ejected.
    pub fn set_ejected(&mut self, key: Key, ejected: bool) {
        self.update(key, |endpoint| endpoint.ejected = ejected);
    }

    /// Applies a load report.
    pub fn report(&mut self, key: Key, report: &wire::Report, now: Duration) -> run::Match {
        let measured_at = now.saturating_sub(Duration::from_millis(report.age_ms));
        let run = self.match_run(key, report.incarnation, Some(measured_at), now);
        let hosts = self.hosts;
        if run != run::Match::Ended {
            self.update(key, |endpoint| {
                endpoint.state = Some(report.state);
                endpoint.version = Some(report.version.clone());
                endpoint.load.report(report, now, hosts);
            });
        }
        run
    }

    /// Processes the run named in an answer. A new run clears the index entries of
    /// the previous one at once.
    pub fn observe_run(
        &mut self,
        key: Key,
        incarnation: id::Incarnation,
        now: Duration,
    ) -> run::Match {
        self.match_run(key, incarnation, None, now)
    }

    /// Records a crash: the index entries are cleared, and no request is sent until
    /// a report measured after the crash arrives.
    pub fn crashed(&mut self, key: Key, now: Duration) {
        self.update(key, |endpoint| endpoint.runs.end(now));
        self.reset_run(key, now);
    }

    /// Applies a page of cache events.
    pub fn events(&mut self, key: Key, page: &wire::Page, now: Duration) -> run::Match {
        let run = self.match_run(key, page.incarnation, None, now);
        if run != run::Match::Ended {
            self.index.events(self.endpoints[key].slot, page, now);
        }
        run
    }

    /// Records a request that was sent; `cached_bytes` comes from its pick.
    pub fn dispatched(
        &mut self,
        key: Key,
        keys: &[block::Key],
        prompt_bytes: usize,
        cached_bytes: usize,
        now: Duration,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let uncached = tokens(prompt_bytes.saturating_sub(cached_bytes));
        endpoint.load.dispatched(uncached, now, self.hosts);
        self.index.confirm(endpoint.slot, keys, now);
    }

    /// Records the first token of an answer: the whole prompt is cached now.
    pub fn answered(&mut self, key: Key, keys: &[block::Key], now: Duration) {
        if let Some(endpoint) = self.endpoints.get(key) {
            self.index.confirm(endpoint.slot, keys, now);
        }
    }

    /// Records a request that completed, `took` after it was sent.
    pub fn finished(&mut self, key: Key, took: Duration, now: Duration) {
        let hosts = self.hosts;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.load.finished(took, now, hosts);
            endpoint.health.record_success(now);
        }
    }

    /// Records a request that the endpoint failed to answer completely. The blocks
    /// that the request should have cached become uncertain. At most half of the
    /// endpoints are ejected at once: beyond that, the endpoints aren't the cause.
    pub fn failed(&mut self, key: Key, keys: &[block::Key], now: Duration) {
        let hosts = self.hosts;
        let endpoints = self.endpoints.values();
        let ejected = endpoints
            .filter(|endpoint| endpoint.health.is_ejected(now))
            .count();
        let may_eject = (ejected + 1) * 2 <= self.endpoints.len();
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.load.record_end(now, hosts);
            if may_eject || !endpoint.health.is_failing() {
                endpoint.health.record_failure(now);
            }
            self.index.mark_uncertain(endpoint.slot, keys);
        }
    }

    /// Records a request that its caller cancelled.
    pub fn cancelled(&mut self, key: Key, keys: &[block::Key], now: Duration) {
        let hosts = self.hosts;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.load.record_end(now, hosts);
            self.index.mark_uncertain(endpoint.slot, keys);
        }
    }

    /// Handle of the endpoint with a name.
    pub fn find(&self, name: &id::Endpoint) -> Option<Key> {
        self.names.get(name).copied()
    }

    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Whether an endpoint is ready with the document's weights version, and
    /// neither leaving nor ejected.
    pub fn eligible(&self, key: Key) -> bool {
        let endpoint = self.endpoints.get(key);
        endpoint.is_some_and(|endpoint| self.entries[endpoint.slot.index()].eligible)
    }

    /// Whether an endpoint is eligible and its health permits another request.
    pub fn accepts(&self, key: Key, now: Duration) -> bool {
        let endpoint = self.endpoints.get(key);
        let permits = |endpoint: &Endpoint| endpoint.health.permits(endpoint.load.open(), now);
        self.eligible(key) && endpoint.is_some_and(permits)
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Length of a cached block, in bytes of a prompt.
    pub const fn block_bytes(&self) -> usize {
        self.block_bytes
    }

    /// The index of cached blocks.
    pub const fn index(&self) -> &index::Index {
        &self.index
    }

    fn match_run(
        &mut self,
        key: Key,
        incarnation: id::Incarnation,
        measured_at: Option<Duration>,
        now: Duration,
    ) -> run::Match {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return run::Match::Ended;
        };
        let run = endpoint.runs.observe(incarnation, measured_at, now);
        if run == run::Match::New {
            self.reset_run(key, now);
        }
        run
    }

    fn reset_run(&mut self, key: Key, now: Duration) {
        self.update(key, |endpoint| endpoint.reset(now));
        if let Some(endpoint) = self.endpoints.get(key) {
            self.index.clear(endpoint.slot);
        }
    }

    fn update<Edit>(&mut self, key: Key, edit: Edit)
    where
        Edit: FnOnce(&mut Endpoint),
    {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            edit(endpoint);
            let entry = &mut self.entries[endpoint.slot.index()];
            entry.eligible = endpoint.is_eligible(&self.version);
        }
    }
}

/// Mean length of a token, in bytes of a prompt.
pub const BYTES_PER_TOKEN: usize = papayayard_document::document::BYTES_PER_TOKEN;

/// Estimated number of tokens of a part of a prompt.
pub(crate) fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}
