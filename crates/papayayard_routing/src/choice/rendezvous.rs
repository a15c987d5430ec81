//! Rendezvous hashing on the prefix alone: a baseline, and what the policy
//! falls back to when it knows nothing.
//!
//! Requests that share a prefix should meet on few endpoints, but the length
//! of the shared part is unknown. The levels of the prefix therefore narrow
//! the set step by step: each level halves it, by the key at twice the depth
//! of the level before. All hosts come to the same set without talking.

use std::cmp::Reverse;

use papayayard_wire::block;

use crate::choice::{self, Pick, Policy, Query, Refusal};
use crate::fleet;
use crate::mix;

/// Takes the endpoint that the prefix hashes to.
#[derive(Clone, Debug, Default)]
pub struct Rendezvous {
    ranked: Vec<Ranked>,
}

/// An endpoint while candidates are narrowed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ranked {
    pub(crate) key: fleet::Key,
    pub(crate) seed: u64,
    weight: u64,
}

impl Policy for Rendezvous {
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        self.ranked.clear();
        let all = choice::candidates(fleet, query);
        self.ranked
            .extend(all.map(|(key, endpoint)| Ranked::new(key, endpoint)));
        narrow(&mut self.ranked, query.keys, 1);
        let key = self.ranked.first().ok_or(Refusal::NoEndpoint)?.key;
        let endpoint = fleet.get(key).ok_or(Refusal::NoEndpoint)?;
        choice::admit(choice::cold(key, endpoint, query), query)
    }
}

impl Ranked {
    pub(crate) const fn new(key: fleet::Key, endpoint: &fleet::Endpoint) -> Self {
        Self {
            key,
            seed: endpoint.seed,
            weight: 0,
        }
    }
}

/// Keeps the `keep` endpoints that the prefix hashes to, the first the best.
pub(crate) fn narrow(ranked: &mut Vec<Ranked>, keys: &[block::Key], keep: usize) {
    let mut depth = 1;
    while ranked.len() > keep && depth <= keys.len() {
        let half = ranked.len().div_ceil(2).max(keep);
        retain(ranked, keys[depth - 1], half);
        depth *= 2;
    }
    let deepest = keys.last().copied().unwrap_or_default();
    retain(ranked, deepest, keep);
}

fn retain(ranked: &mut Vec<Ranked>, key: block::Key, keep: usize) {
    for entry in ranked.iter_mut() {
        entry.weight = mix::pair(key.0, entry.seed);
    }
    if ranked.len() > keep && keep > 0 {
        ranked.select_nth_unstable_by_key(keep - 1, |entry| Reverse(entry.weight));
    }
    ranked.truncate(keep);
    ranked.sort_unstable_by_key(|entry| Reverse(entry.weight));
}
