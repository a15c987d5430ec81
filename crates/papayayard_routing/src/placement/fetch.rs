//! Where the shared parts of a prompt can be fetched from.
//!
//! A long history is computed once and then fetched: the transfer takes a few
//! milliseconds where computing it takes a hundred. Endpoints' own links are
//! many and fast; the link of a store is shared by all of them.

use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;

use super::backend::{Backend, Endpoint};
use super::cost;
use super::link::transfer_time;
use super::query::BackendKey;
use crate::prompt;
use crate::table;

/// Wait on a shared link from which on a transfer is not started any more.
const MAX_LINK_WAIT: Duration = Duration::from_millis(1500);
/// Times that a transfer between availability zones takes longer.
const OTHER_ZONE_FACTOR: u32 = 2;

/// A source of shared parts.
#[derive(Clone, Copy)]
pub(super) struct Fetch {
    pub(super) address: SocketAddr,
    pub(super) source: cost::Source,
}

/// A prompt's shared parts under one version of the weights.
pub(super) struct Shared<'a> {
    pub(super) keys: Vec<prompt::Key>,
    pub(super) holders: Vec<Holder<'a>>,
    /// The store that keeps such prompts, and the wait for its link.
    pub(super) store: Option<(&'a table::CacheStore, Duration)>,
    /// Leading shared tokens that the store has.
    pub(super) stored: u32,
    /// Leading shared tokens that some holder has or is about to have.
    pub(super) cached_anywhere: u32,
}

/// An endpoint that has shared parts.
pub(super) struct Holder<'a> {
    pub(super) key: BackendKey,
    pub(super) endpoint: &'a Endpoint,
    pub(super) tokens: u32,
}

impl Shared<'_> {
    /// The holder of the most shared parts beyond what an endpoint has, and of
    /// several the one that is fetched from soonest.
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

    /// The store is named as the source also where nothing is known to lie
    /// there: this host may have missed it, and an engine may have dropped what
    /// it is taken to keep. Asking in vain costs a millisecond.
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

/// Times that a transfer from one zone to another takes longer than one within.
pub(super) fn zone_factor(from: &id::Zone, to: &id::Zone) -> u32 {
    if from == to { 1 } else { OTHER_ZONE_FACTOR }
}
