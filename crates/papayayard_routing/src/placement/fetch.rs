//! Sources from which the shared parts of a prompt can be fetched.
//!
//! A long history is computed once and then fetched: the transfer takes a few milliseconds,
//! computing takes a hundred. Endpoints have many fast links of their own; all endpoints share
//! the link of a store.

use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;

use super::backend::{Backend, Endpoint};
use super::cost;
use super::link::transfer_time;
use super::query::BackendKey;
use crate::prompt;
use crate::table;

/// Wait on a shared link from which no further transfer is started.
const MAX_LINK_WAIT: Duration = Duration::from_millis(1500);
/// Factor by which a transfer between availability zones takes longer.
const OTHER_ZONE_FACTOR: u32 = 2;

#[derive(Clone, Copy)]
pub(super) struct Fetch {
    pub(super) address: SocketAddr,
    pub(super) source: cost::Source,
}

/// A prompt's shared parts under one version of the weights.
pub(super) struct Shared<'a> {
    pub(super) keys: Vec<prompt::Key>,
    pub(super) holders: Vec<Holder<'a>>,
    /// The store responsible for the prompt, and the expected wait for its link.
    pub(super) store: Option<(&'a table::CacheStore, Duration)>,
    /// Leading shared tokens in the store.
    pub(super) stored: u32,
    /// Leading shared tokens that some holder has cached or is expected to have cached.
    pub(super) cached_anywhere: u32,
}

/// An endpoint that has shared parts.
pub(super) struct Holder<'a> {
    pub(super) key: BackendKey,
    pub(super) endpoint: &'a Endpoint,
    pub(super) tokens: u32,
}

impl Shared<'_> {
    /// Returns the source with the most shared tokens beyond those at the endpoint; among
    /// equals, the one with the shortest time.
    pub(super) fn source(
        &self,
        engine: &table::Engine,
        key: BackendKey,
        backend: &Backend,
        cached: u32,
    ) -> Option<Fetch> {
        let others = self.holders.iter();
        let others = others.filter(|holder| holder.key != key && holder.tokens > cached);
        let engines = others.map(|holder| {
            let tokens = holder.tokens - cached;
            let transfer = transfer_time(tokens, engine.token_bytes, engine.link_mbps);
            let zone_factor = zone_factor(&holder.endpoint.zone, &backend.endpoint.zone);
            Fetch {
                address: holder.endpoint.address,
                source: cost::Source {
                    tokens: holder.tokens,
                    wait: Duration::ZERO,
                    transfer: transfer * zone_factor,
                    is_shared: false,
                },
            }
        });
        let sources = engines.chain(self.store_source(engine, backend, cached));
        sources.min_by_key(|fetch| (u32::MAX - fetch.source.tokens, fetch.source.time()))
    }

    /// Returns the store as a source even if none of the parts are known to be there: this host
    /// may have missed an update, and an engine may have evicted parts that it is expected to
    /// have. A lookup that finds nothing costs a millisecond.
    fn store_source(
        &self,
        engine: &table::Engine,
        backend: &Backend,
        cached: u32,
    ) -> Option<Fetch> {
        let (store, wait) = self.store?;
        if wait >= MAX_LINK_WAIT {
            return None;
        }
        let tokens = self.stored.saturating_sub(cached);
        let transfer = transfer_time(tokens, engine.token_bytes, store.link_mbps);
        Some(Fetch {
            address: store.address,
            source: cost::Source {
                tokens: self.stored,
                wait,
                transfer: transfer * zone_factor(&store.zone, &backend.endpoint.zone),
                is_shared: true,
            },
        })
    }
}

/// Factor by which a transfer between two zones takes longer than one within a zone.
pub(super) fn zone_factor(from: &id::Zone, to: &id::Zone) -> u32 {
    if from == to { 1 } else { OTHER_ZONE_FACTOR }
}
