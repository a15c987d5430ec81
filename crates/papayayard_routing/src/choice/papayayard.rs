//! Lowest estimated time to first token.
//!
//! An endpoint's estimate is its wait, plus the time to compute the uncached part
//! of the prompt, plus a cost for another zone. Work sent by hosts of another zone
//! is visible last. A host therefore prefers endpoints of its own zone until the
//! gain elsewhere exceeds the work that may not be visible yet, which grows with
//! the backlog. A copy of a prefix on another endpoint costs further computation
//! later and evicts other prefixes, so outside the endpoints that the prefix
//! hashes to (its home endpoints), uncached bytes have a higher weight. A small
//! constant cost for other endpoints lets a prefix that was hot return to its home
//! endpoints. Estimates that differ by less than the noise of the load reports are
//! ties. Each host breaks ties in a different order, so that hosts with the same
//! state at the same time choose different endpoints.

use std::time::Duration;

use crate::choice::rendezvous;
use crate::choice::{self, Pick, Policy, Query, Refusal};
use crate::fleet;
use crate::mix;

const MIN_ZONE_SECONDS: f64 = 0.06;
const MAX_ZONE_SECONDS: f64 = 0.3;
const ZONE_SECONDS_PER_WAIT: f64 = 6.0;
const TIE_SECONDS: f64 = 0.02;
const HOME_ENDPOINTS: usize = 2;
const AWAY_SECONDS: f64 = 0.03;
const COPY_WEIGHT: f64 = 0.3;
const UNCERTAIN_DIVISOR: usize = 2;
const MAX_SCANNED_ENDPOINTS: usize = 48;
const SAMPLES: u64 = 12;

/// Chooses the endpoint with the lowest estimated time to first token.
#[derive(Debug)]
pub struct Papayayard {
    seed: u64,
    picks: u64,
    views: Vec<View>,
    listed: Vec<usize>,
    home: rendezvous::HomeFinder,
    scored: Vec<Scored>,
}

/// An endpoint's cached blocks with respect to one prompt.
#[derive(Clone, Copy, Debug, Default)]
struct View {
    /// Number of leading blocks that are probably cached.
    blocks: usize,
    /// Number of leading blocks before the first uncertain one.
    certain: usize,
    listed: bool,
    home: bool,
}

#[derive(Clone, Copy, Debug)]
struct Scored {
    pick: Pick,
    seed: u64,
    score: f64,
}

impl Papayayard {
    /// Creates the policy of one host; `seed` differs between hosts.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            picks: 0,
            views: Vec::new(),
            listed: Vec::new(),
            home: rendezvous::HomeFinder::default(),
            scored: Vec::new(),
        }
    }

    /// Adds the endpoints that hold leading blocks of the prompt, key by key, until
    /// no endpoint holds the next key.
    fn list_holders(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) {
        self.listed.clear();
        self.views.clear();
        self.views.resize(fleet.entries().len(), View::default());
        for (level, &key) in query.keys.iter().enumerate() {
            let mut any = false;
            fleet.index().holders(key, query.now, |holder| {
                let slot = holder.slot.index();
                let view = &mut self.views[slot];
                if view.blocks != level {
                    return;
                }
                any = true;
                view.blocks = level + 1;
                if !holder.uncertain && view.certain == level {
                    view.certain = level + 1;
                }
                if !view.listed {
                    view.listed = true;
                    self.listed.push(slot);
                }
            });
            if !any {
                return;
            }
        }
    }

    /// Adds the home endpoints of the prefix.
    fn list_home(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) {
        let slots = self.home.find(fleet, query.keys);
        let usable = slots.iter().copied().filter(|slot| {
            let entry = &fleet.entries()[*slot];
            choice::candidate(fleet, query, entry).is_some()
        });
        for slot in usable.take(HOME_ENDPOINTS) {
            self.views[slot].home = true;
            list(&mut self.views, &mut self.listed, slot);
        }
    }

    /// Adds all endpoints of a small fleet, or a few random ones of a large fleet.
    fn list_others(&mut self, fleet: &fleet::Fleet) {
        let count = fleet.entries().len();
        if count <= MAX_SCANNED_ENDPOINTS {
            self.list_all(fleet);
            return;
        }
        for sample in 0..SAMPLES {
            let random = mix::pair(self.seed ^ self.picks, sample);
            let slot = usize::try_from(random).unwrap_or(0) % count;
            list(&mut self.views, &mut self.listed, slot);
        }
    }

    fn list_all(&mut self, fleet: &fleet::Fleet) {
        for slot in 0..fleet.entries().len() {
            list(&mut self.views, &mut self.listed, slot);
        }
    }

    /// Cost of another zone. The longer the wait, the more likely that hosts of
    /// that zone have sent work that no report contains yet.
    fn zone_seconds(&self, fleet: &fleet::Fleet, query: &Query<'_>) -> f64 {
        let entries = self.listed.iter().map(|slot| &fleet.entries()[*slot]);
        let endpoints = entries.filter_map(|entry| choice::candidate(fleet, query, entry));
        let (mut sum, mut count) = (0.0, 0.0_f64);
        for endpoint in endpoints {
            sum += endpoint.load.backlog_seconds(query.now);
            count += 1.0;
        }
        let wait = sum / count.max(1.0);
        (wait * ZONE_SECONDS_PER_WAIT).clamp(MIN_ZONE_SECONDS, MAX_ZONE_SECONDS)
    }

    fn score(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) {
        let zone_seconds = self.zone_seconds(fleet, query);
        self.scored.clear();
        for &slot in &self.listed {
            let entry = &fleet.entries()[slot];
            if let Some(endpoint) = choice::candidate(fleet, query, entry) {
                let view = self.views[slot];
                let time = estimate(endpoint, view, query, fleet.block_bytes());
                let other_zone = endpoint.zone != *query.zone;
                let zone = if other_zone { zone_seconds } else { 0.0 };
                self.scored.push(time.score(entry, zone));
            }
        }
    }

    /// The lowest score; ties are broken by a hash that differs per host and pick.
    fn best(&self) -> Option<Pick> {
        let scores = self.scored.iter().map(|scored| scored.score);
        let lowest = scores.min_by(f64::total_cmp)?;
        let tie_seed = mix::pair(self.seed, self.picks);
        let scored_endpoints = self.scored.iter();
        let ties = scored_endpoints.filter(|scored| scored.score <= lowest + TIE_SECONDS);
        let best = ties.max_by_key(|scored| mix::pair(tie_seed, scored.seed))?;
        Some(best.pick)
    }
}

impl Policy for Papayayard {
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        self.picks = self.picks.wrapping_add(1);
        self.list_holders(fleet, query);
        self.list_home(fleet, query);
        self.list_others(fleet);
        self.score(fleet, query);
        if self.scored.is_empty() {
            self.list_all(fleet);
            self.score(fleet, query);
        }
        let pick = self.best().ok_or(Refusal::NoEndpoint)?;
        choice::check_limit(pick, query)
    }
}

fn list(views: &mut [View], listed: &mut Vec<usize>, slot: usize) {
    if !views[slot].listed {
        views[slot].listed = true;
        listed.push(slot);
    }
}

/// Estimated times of an endpoint, in seconds.
struct Estimate {
    first_token: f64,
    copy_cost: f64,
    cached_bytes: usize,
}

impl Estimate {
    fn score(&self, entry: &fleet::Entry, zone_seconds: f64) -> Scored {
        let time = self.first_token + zone_seconds;
        Scored {
            pick: Pick {
                endpoint: entry.key,
                cached_bytes: self.cached_bytes,
                first_token: Duration::from_secs_f64(self.first_token),
            },
            seed: entry.seed,
            score: time + self.copy_cost,
        }
    }
}

fn estimate(
    endpoint: &fleet::Endpoint,
    view: View,
    query: &Query<'_>,
    block_bytes: usize,
) -> Estimate {
    let held_bytes = (view.blocks * block_bytes).min(query.prompt_bytes);
    let certain_bytes = (view.certain * block_bytes).min(held_bytes);
    let cached_bytes = certain_bytes + (held_bytes - certain_bytes) / UNCERTAIN_DIVISOR;
    let uncached_bytes = query.prompt_bytes - cached_bytes;
    let tokens = fleet::tokens(uncached_bytes);
    let copy_cost = if view.home {
        0.0
    } else {
        AWAY_SECONDS + COPY_WEIGHT * choice::compute_seconds(uncached_bytes, endpoint)
    };
    Estimate {
        first_token: endpoint.load.first_token(tokens, query.now),
        copy_cost,
        cached_bytes,
    }
}
