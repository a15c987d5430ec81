//! Sources from which the shared parts of a prompt can be fetched.
//!
//! A long history is computed once and then fetched: the transfer takes a few milliseconds,
//! computing takes a hundred. Endpoints have many fast links of their own; all endpoints share
//! the link of a store.

use std::time::Duration;

use papayayard_wire::id;

use super::cost;
use super::link::transfer_time;
use super::roster::Entry;
use crate::table;

/// Wait on a shared link from which no further transfer is started.
const MAX_LINK_WAIT: Duration = Duration::from_millis(1500);
/// Factor by which a transfer between availability zones takes longer.
const OTHER_ZONE_FACTOR: u32 = 2;

/// Wait for a link from which prefill without the fetch is considered as an alternative.
pub(super) const LONG_LINK_WAIT: Duration = Duration::from_millis(50);

/// A transfer of shared parts to an endpoint.
#[derive(Clone, Copy)]
pub(super) struct Fetch {
    /// Index of the endpoint that has the parts; `None` for the store.
    pub(super) holder: Option<usize>,
    pub(super) source: cost::Source,
}

/// Where a prompt's shared parts are under one version of the weights.
#[derive(Default)]
pub(super) struct Shared {
    /// The store responsible for the prompt, if it is reachable.
    pub(super) store: Option<StoreSource>,
    /// Leading shared tokens in the store.
    pub(super) stored: u32,
    /// Leading shared tokens that some holder has cached or is expected to have cached.
    pub(super) cached_anywhere: u32,
    /// Most leading shared tokens that can be fetched from an endpoint.
    pub(super) most: u32,
    /// First endpoint from which as many can be fetched, and the first one in each zone.
    first: Option<usize>,
    first_in_zones: Vec<Option<usize>>,
    /// Sources that were found, by zone and tokens cached at the endpoint.
    found: Vec<((usize, u32), Option<Fetch>)>,
}

/// A store of cached prompts.
#[derive(Clone, Copy)]
pub(super) struct StoreSource {
    pub(super) zone: usize,
    pub(super) link_mbps: u64,
    /// Expected wait for its link.
    pub(super) wait: Duration,
}

impl Shared {
    /// Forgets a prompt; the roster has so many zones.
    pub(super) fn reset(&mut self, zones: usize) {
        self.store = None;
        self.stored = 0;
        self.cached_anywhere = 0;
        self.most = 0;
        self.first = None;
        self.first_in_zones.clear();
        self.first_in_zones.resize(zones, None);
        self.found.clear();
    }

    /// Adds an endpoint from which leading shared tokens can be fetched.
    pub(super) fn add_holder(&mut self, index: usize, zone: usize, tokens: u32) {
        if tokens > self.most {
            self.most = tokens;
            self.first = None;
            self.first_in_zones.fill(None);
        }
        if tokens == self.most && tokens > 0 {
            self.first.get_or_insert(index);
            self.first_in_zones[zone].get_or_insert(index);
        }
    }

    /// Whether the wait for the store's link may make prefill the faster alternative.
    pub(super) fn has_long_wait(&self) -> bool {
        self.store.is_some_and(|store| store.wait >= LONG_LINK_WAIT)
    }

    /// Returns the source with the most shared tokens beyond those at the endpoint; among
    /// equals, the one with the shortest time.
    pub(super) fn source(
        &mut self,
        engine: &table::Engine,
        entry: &Entry,
        cached: u32,
    ) -> Option<Fetch> {
        let like = (entry.zone, cached);
        if let Some((_, fetch)) = self.found.iter().find(|(known, _)| *known == like) {
            return *fetch;
        }
        let fetch = self.find_source(engine, entry, cached);
        self.found.push((like, fetch));
        fetch
    }

    fn find_source(&self, engine: &table::Engine, entry: &Entry, cached: u32) -> Option<Fetch> {
        let engines = self.engine_source(engine, entry, cached).into_iter();
        let sources = engines.chain(self.store_source(engine, entry, cached));
        sources.min_by_key(|fetch| (u32::MAX - fetch.source.tokens, fetch.source.time()))
    }

    fn engine_source(&self, engine: &table::Engine, entry: &Entry, cached: u32) -> Option<Fetch> {
        let first = self.first.filter(|_| self.most > cached)?;
        let transfer = transfer_time(self.most - cached, engine.token_bytes, engine.link_mbps);
        let in_zone = self.first_in_zones[entry.zone];
        let in_zone = in_zone.filter(|_| !transfer.is_zero());
        let zone_factor = if in_zone.is_some() {
            1
        } else {
            OTHER_ZONE_FACTOR
        };
        Some(Fetch {
            holder: Some(in_zone.unwrap_or(first)),
            source: cost::Source::new(self.most, Duration::ZERO, transfer * zone_factor, false),
        })
    }

    /// Returns the store as a source even if none of the parts are known to be there: this host
    /// may have missed an update, and an engine may have evicted parts that it is expected to
    /// have. A lookup that finds nothing costs a millisecond.
    fn store_source(&self, engine: &table::Engine, entry: &Entry, cached: u32) -> Option<Fetch> {
        let store = self.store.filter(|store| store.wait < MAX_LINK_WAIT)?;
        let tokens = self.stored.saturating_sub(cached);
        let transfer = transfer_time(tokens, engine.token_bytes, store.link_mbps);
        let zone_factor = if store.zone == entry.zone {
            1
        } else {
            OTHER_ZONE_FACTOR
        };
        Some(Fetch {
            holder: None,
            source: cost::Source::new(self.stored, store.wait, transfer * zone_factor, true),
        })
    }
}

/// Factor by which a transfer between two zones takes longer than one within a zone.
pub(super) fn zone_factor(from: &id::Zone, to: &id::Zone) -> u32 {
    if from == to { 1 } else { OTHER_ZONE_FACTOR }
}
