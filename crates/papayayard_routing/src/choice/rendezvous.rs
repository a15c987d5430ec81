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
    home: Home,
}

impl Policy for Rendezvous {
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        let seats = self.home.find(fleet, query.keys);
        let mut homes = seats.iter().map(|slot| fleet.seats()[*slot]);
        let first = homes.find(|seat| choice::candidate(fleet, query, seat).is_some());
        let pick = match first {
            Some(seat) => fleet.get(seat.key).map(|found| (seat.key, found)),
            None => choice::candidates(fleet, query).next(),
        };
        let (key, endpoint) = pick.ok_or(Refusal::NoEndpoint)?;
        choice::admit(choice::cold(key, endpoint, query), query)
    }
}

/// Finds the endpoints that a prefix hashes to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Home {
    slots: Vec<usize>,
    half: Vec<usize>,
}

/// Endpoints that [`Home::find`] gives, so that some may be down.
pub(crate) const HOMES: usize = 4;

impl Home {
    /// Positions of the seats that the prefix hashes to, the best first.
    pub(crate) fn find(&mut self, fleet: &fleet::Fleet, keys: &[block::Key]) -> &[usize] {
        let seats = fleet.seats();
        self.slots.clear();
        self.slots.extend(0..seats.len());
        self.keep(|slot| seats[slot].eligible, 0);
        let mut depth = 1;
        while self.slots.len() > HOMES && depth <= keys.len() {
            let root = mix::spread(keys[depth - 1].0);
            let half = |slot: usize| mix::spread(root ^ seats[slot].seed) & 1 == 1;
            self.keep(half, HOMES);
            depth *= 2;
        }
        let deepest = keys.last().copied().unwrap_or_default();
        let root = mix::spread(deepest.0);
        let weight = |slot: &usize| Reverse(mix::spread(root ^ seats[*slot].seed));
        if self.slots.len() > HOMES {
            self.slots.select_nth_unstable_by_key(HOMES, weight);
            self.slots.truncate(HOMES);
        }
        self.slots.sort_unstable_by_key(weight);
        &self.slots
    }

    /// Keeps the slots that pass, if they are `least` or more. Every slot is
    /// written and the position moves only past those that pass: a branch on
    /// a hash would be mispredicted half of the time.
    fn keep<Pass>(&mut self, pass: Pass, least: usize)
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
        if kept >= least {
            self.half.truncate(kept);
            std::mem::swap(&mut self.slots, &mut self.half);
        }
    }
}
