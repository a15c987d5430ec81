//! Rendezvous hashing of the prefix: a baseline, and the fallback of the default
//! policy if no endpoint holds the prefix.
//!
//! Requests that share a prefix should reach few endpoints, but the length of the
//! shared part is unknown. The levels of the prefix therefore narrow the set
//! step by step: each level halves it, by the key at twice the depth of the
//! previous level. All hosts compute the same set without communication.

use std::cmp::Reverse;

use papayayard_wire::block;

use crate::choice::{self, Pick, Policy, Query, Refusal};
use crate::fleet;
use crate::mix;

/// Chooses the endpoint that the prefix hashes to.
#[derive(Clone, Debug, Default)]
pub struct Rendezvous {
    home: HomeFinder,
}

impl Policy for Rendezvous {
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        let slots = self.home.find(fleet, query.keys);
        let mut homes = slots.iter().map(|slot| fleet.entries()[*slot]);
        let first = homes.find(|entry| choice::candidate(fleet, query, entry).is_some());
        let pick = match first {
            Some(entry) => fleet.get(entry.key).map(|found| (entry.key, found)),
            None => choice::candidates(fleet, query).next(),
        };
        let (key, endpoint) = pick.ok_or(Refusal::NoEndpoint)?;
        choice::check_limit(choice::cold_pick(key, endpoint, query), query)
    }
}

/// Finds the endpoints that a prefix hashes to.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeFinder {
    slots: Vec<usize>,
    half: Vec<usize>,
}

/// Maximum number of endpoints that [`HomeFinder::find`] returns; more than one
/// because some may be down.
pub(crate) const HOME_CANDIDATES: usize = 4;

impl HomeFinder {
    /// Slots of the endpoints that the prefix hashes to, in descending order of weight.
    pub(crate) fn find(&mut self, fleet: &fleet::Fleet, keys: &[block::Key]) -> &[usize] {
        let entries = fleet.entries();
        self.slots.clear();
        self.slots.extend(0..entries.len());
        self.keep_if_enough(|slot| entries[slot].eligible, 0);
        let mut depth = 1;
        while self.slots.len() > HOME_CANDIDATES && depth <= keys.len() {
            let root = mix::spread(keys[depth - 1].0);
            let half = |slot: usize| mix::spread(root ^ entries[slot].seed) & 1 == 1;
            self.keep_if_enough(half, HOME_CANDIDATES);
            depth *= 2;
        }
        let deepest = keys.last().copied().unwrap_or_default();
        let root = mix::spread(deepest.0);
        let weight = |slot: &usize| Reverse(mix::spread(root ^ entries[*slot].seed));
        if self.slots.len() > HOME_CANDIDATES {
            self.slots
                .select_nth_unstable_by_key(HOME_CANDIDATES, weight);
            self.slots.truncate(HOME_CANDIDATES);
        }
        self.slots.sort_unstable_by_key(weight);
        &self.slots
    }

    /// Keeps the slots that satisfy `pass`, if there are at least `min_count`. Every
    /// slot is written and the position only advances for those that satisfy it:
    /// a branch on a hash would be mispredicted half of the time.
    fn keep_if_enough<Pass>(&mut self, pass: Pass, min_count: usize)
    where
        Pass: Fn(usize) -> bool,
    {
        self.half.clear();
        self.half.resize(self.slots.len(), 0);
        let mut kept = 0;
        for &slot in &self.slots {
            self.half[kept] = slot;
            kept += usize::from(pass(slot));
        }
        if kept >= min_count {
            self.half.truncate(kept);
            std::mem::swap(&mut self.slots, &mut self.half);
        }
    }
}
