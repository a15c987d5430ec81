//! Which endpoints of a roster hold the parts of prompts.
//!
//! Requests share parts, so the holders of a part are collected once for a round.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;

use super::backend::Backend;
use super::cache::{Cache, CachedPart};
use super::query::BackendKey;
use super::roster::Entry;
use crate::prompt::{Key, KeyState, Part};

/// Holders of parts under one version of the weights.
#[derive(Default)]
pub(super) struct Held {
    /// Endpoints with the version.
    pub(super) members: Vec<usize>,
    /// Those that hold a part, in the order of the endpoints.
    by_key: HashMap<Key, Vec<(usize, CachedPart)>, KeyState>,
}

/// Leading shared tokens of one prompt at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Leading {
    /// Tokens that are cached or expected.
    pub(super) cached: u32,
    /// Tokens that can be fetched now.
    pub(super) fetchable: u32,
    /// Parts that are completely cached, and those that can be fetched.
    cached_parts: usize,
    fetchable_parts: usize,
}

/// Leading shared tokens of one prompt at all endpoints.
#[derive(Default)]
pub(super) struct Prefixes {
    at: Vec<Leading>,
    /// Endpoints with some, by version.
    pub(super) holders: Vec<usize>,
    /// Next time at which they change by themselves.
    pub(super) next_change: Duration,
}

impl Prefixes {
    /// Forgets a prompt.
    pub(super) fn reset(&mut self, endpoints: usize) {
        for index in self.holders.drain(..) {
            self.at[index] = Leading::default();
        }
        self.at.resize(endpoints, Leading::default());
        self.next_change = Duration::MAX;
    }

    pub(super) fn at(&self, index: usize) -> Leading {
        self.at[index]
    }
}

impl Held {
    /// Takes over parts of an endpoint that have changed.
    pub(super) fn refresh(&mut self, index: usize, keys: &[Key], cache: &Cache) {
        for key in keys {
            let Some(holders) = self.by_key.get_mut(key) else {
                continue;
            };
            let found = holders.binary_search_by_key(&index, |(index, _)| *index);
            match (cache.part(*key), found) {
                (Some(part), Ok(at)) => holders[at].1 = part,
                (Some(part), Err(at)) => holders.insert(at, (index, part)),
                (None, Ok(at)) => {
                    holders.remove(at);
                }
                (None, Err(_)) => {}
            }
        }
    }

    /// Adds the holders of a prompt's parts; returns the first of them in the list.
    pub(super) fn collect(
        &mut self,
        prefixes: &mut Prefixes,
        (parts, keys): (&[Part], &[Key]),
        entries: &[Entry],
        backends: &SlotMap<BackendKey, Backend>,
        now: Duration,
    ) -> usize {
        let start = prefixes.holders.len();
        for (number, (part, key)) in parts.iter().zip(keys).enumerate() {
            let members = &self.members;
            let holders = self.by_key.entry(*key).or_insert_with(|| {
                let parts = members.iter().filter_map(|index| {
                    let cache = &backends[entries[*index].key].cache;
                    Some((*index, cache.part(*key)?))
                });
                parts.collect()
            });
            let mut has_more = false;
            for (index, cached) in holders {
                if number == 0 {
                    prefixes.holders.push(*index);
                }
                let entry = &entries[*index];
                let leading = &mut prefixes.at[*index];
                let is_cached = leading.cached_parts == number;
                let is_fetchable = leading.fetchable_parts == number;
                if !is_cached && !is_fetchable {
                    continue;
                }
                let next_change = cached.next_change(now);
                prefixes.next_change = prefixes.next_change.min(next_change);
                let tokens = cached.tokens.min(part.tokens);
                let is_whole = cached.tokens >= part.tokens;
                if is_cached && cached.is_current(now) {
                    leading.cached = leading.cached.saturating_add(tokens);
                    leading.cached_parts += usize::from(is_whole);
                    has_more |= is_whole;
                }
                if is_fetchable
                    && entry.is_source
                    && cached.is_fetchable(entry.filled, entry.retained, now)
                {
                    leading.fetchable = leading.fetchable.saturating_add(tokens);
                    leading.fetchable_parts += usize::from(is_whole);
                }
            }
            if !has_more {
                break;
            }
        }
        start
    }
}
