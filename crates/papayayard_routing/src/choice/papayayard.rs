//! The least estimated time to first token.
//!
//! An endpoint's estimate is its wait, plus the time to compute what its cache
//! does not hold, plus a cost for another zone. A copy of a prefix on one more
//! endpoint is paid for again later and takes room from other prefixes, so
//! outside the endpoints that the prefix hashes to, what is not cached counts
//! more. Estimates that differ by less than the noise of the load reports are
//! ties, which each host breaks in an order of its own: hosts that see the
//! same state at one instant then take different endpoints.

use std::time::Duration;

use papayayard_wire::id;

use crate::choice::rendezvous;
use crate::choice::{self, Pick, Policy, Query, Refusal};
use crate::fleet;
use crate::mix;

const ZONE_SECONDS: f64 = 0.002;
const TIE_SECONDS: f64 = 0.005;
const HOME_ENDPOINTS: usize = 2;
const COPY_WEIGHT: f64 = 0.5;
const DOUBT_WEIGHT: f64 = 0.5;

/// Takes the least estimated time to first token.
#[derive(Debug)]
pub struct Papayayard {
    seed: u64,
    picks: u64,
    depths: Vec<Depth>,
    ranked: Vec<rendezvous::Ranked>,
    scored: Vec<Scored>,
}

/// Leading blocks of a prompt that an endpoint is thought to hold.
#[derive(Clone, Copy, Debug, Default)]
struct Depth {
    blocks: usize,
    sure: usize,
}

#[derive(Clone, Copy, Debug)]
struct Scored {
    pick: Pick,
    seed: u64,
    score: f64,
}

impl Papayayard {
    /// A policy for one host; `seed` differs between hosts.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            picks: 0,
            depths: Vec::new(),
            ranked: Vec::new(),
            scored: Vec::new(),
        }
    }

    /// Walks the prompt's keys while any endpoint holds them.
    fn measure(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) {
        let index = fleet.index();
        self.depths.clear();
        self.depths.resize(index.slots(), Depth::default());
        for (level, &key) in query.keys.iter().enumerate() {
            let mut any = false;
            index.holders(key, query.now, |holder| {
                let depth = &mut self.depths[holder.slot.index()];
                if depth.blocks != level {
                    return;
                }
                any = true;
                depth.blocks = level + 1;
                if !holder.doubtful && depth.sure == level {
                    depth.sure = level + 1;
                }
            });
            if !any {
                return;
            }
        }
    }

    fn home(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) {
        self.ranked.clear();
        let all = choice::candidates(fleet, query);
        self.ranked
            .extend(all.map(|(key, endpoint)| rendezvous::Ranked::new(key, endpoint)));
        rendezvous::narrow(&mut self.ranked, query.keys, HOME_ENDPOINTS);
    }

    fn score(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) {
        self.scored.clear();
        for (key, endpoint) in choice::candidates(fleet, query) {
            let depth = self.depths[endpoint.slot.index()];
            let home = self.ranked.iter().any(|ranked| ranked.key == key);
            let scored = estimate(key, endpoint, depth, home, query, fleet.block_bytes());
            self.scored.push(scored);
        }
    }
}

impl Policy for Papayayard {
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        self.measure(fleet, query);
        self.home(fleet, query);
        self.score(fleet, query);
        let scores = self.scored.iter().map(|scored| scored.score);
        let least = scores.min_by(f64::total_cmp).ok_or(Refusal::NoEndpoint)?;
        self.picks = self.picks.wrapping_add(1);
        let turn = mix::pair(self.seed, self.picks);
        let ties = self.scored.iter();
        let best = ties
            .filter(|scored| scored.score <= least + TIE_SECONDS)
            .max_by_key(|scored| mix::pair(turn, scored.seed))
            .ok_or(Refusal::NoEndpoint)?;
        choice::admit(best.pick, query)
    }
}

fn estimate(
    key: fleet::Key,
    endpoint: &fleet::Endpoint,
    depth: Depth,
    home: bool,
    query: &Query<'_>,
    block_bytes: usize,
) -> Scored {
    let cached_bytes = (depth.blocks * block_bytes).min(query.prompt_bytes);
    let sure_bytes = (depth.sure * block_bytes).min(cached_bytes);
    let doubt = DOUBT_WEIGHT * choice::compute_seconds(cached_bytes - sure_bytes, endpoint);
    let compute = choice::compute_seconds(query.prompt_bytes - cached_bytes, endpoint) + doubt;
    let time = endpoint.load.wait(query.now) + compute + zone_seconds(&endpoint.zone, query.zone);
    let copy = if home { 0.0 } else { COPY_WEIGHT * compute };
    Scored {
        pick: Pick {
            endpoint: key,
            cached_bytes,
            first_token: Duration::from_secs_f64(time),
        },
        seed: endpoint.seed,
        score: time + copy,
    }
}

fn zone_seconds(left: &id::Zone, right: &id::Zone) -> f64 {
    if left == right { 0.0 } else { ZONE_SECONDS }
}
