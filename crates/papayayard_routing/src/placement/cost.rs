//! Cost of placing a request at an endpoint, in milliseconds.
//!
//! The cost is the expected time to the first event plus penalties for older weights, another
//! availability zone and shared parts that are computed again. Two patterns shape it. When a
//! class starts, many callers send the same long history: one engine should prefill it and the
//! others fetch it. When weights change, the few engines with the new version should fill up
//! only until callers would wait too long, while the others keep serving.

use std::time::Duration;

use xxhash_rust::xxh3;

use super::backend::Backend;
use super::load::Amounts;
use super::ms;
use super::roster::Entry;
use crate::prompt;
use crate::table;

/// Delay of the first event for each request that is already running, in ms.
const PER_REQUEST_MS: f64 = 1.5;
/// Cost of recomputing a token that another holder has cached, in ms. It is high because
/// prefilling a long history again costs more than a late answer.
const REREAD_MS: f64 = 0.15;
/// Cost of time on a link that all endpoints share, as a multiple of that time: with many
/// callers, this link saturates first.
const SHARED_LINK_FACTOR: f64 = 3.0;
/// Cost of a fetched token, as a fraction of its prefill time: it evicts another token from the
/// engine's memory that will have to be computed again.
const FETCHED_FRACTION: f64 = 0.5;
/// Fraction of an engine's memory that open requests may hold; the rest is reserved for answers
/// that grow longer than expected.
pub(super) const MEMORY_FRACTION: f64 = 0.85;
/// Cost of an endpoint in another availability zone, in ms.
const OTHER_ZONE_MS: f64 = 5.0;
/// The same for a request that cannot be retried, which is lost if the zones are partitioned.
const OTHER_ZONE_NOT_REPEATABLE_MS: f64 = 40.0;
/// Cost of an endpoint that is the second choice for a prompt, in ms.
const SECOND_CHOICE_MS: f64 = 12.0;
/// Cost of an endpoint beyond the second choice for a prompt, in ms.
const LATER_CHOICE_MS: f64 = 18.0;
/// Cost of weights that a request should avoid, as a fraction of the target latency.
const OTHER_WEIGHTS_FRACTION: f64 = 0.6;
/// Time over which an endpoint that came into service is filled gradually, as all hosts discover
/// it at the same moment.
const SLOW_START: Duration = Duration::from_millis(600);
/// Initial cost of a slow start, in ms.
const SLOW_START_MS: f64 = 120.0;

/// Inputs to the estimate for a request at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inputs<'a> {
    pub(super) prompt: &'a prompt::Prompt,
    /// Target latency of the first event.
    pub(super) target: Duration,
    /// Whether the request should go to endpoints with other weights.
    pub(super) avoids_weights: bool,
    /// Zone that the request comes from.
    pub(super) zone: ZoneCost,
    /// Rank of the endpoint in the prompt's order of preference, from 0.
    pub(super) rank: usize,
    /// Leading shared tokens that some holder has cached or is expected to have cached.
    pub(super) cached_anywhere: u32,
    /// Typical time to the first event beyond the predicted time, in ms.
    pub(super) baseline_ms: f64,
    /// Prefill time per token, in ms.
    pub(super) token_ms: f64,
}

/// Zone of the sending host and the cost of leaving it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneCost {
    /// Index of the zone in the roster; `None` if no endpoint is there.
    zone: Option<usize>,
    other_zone_ms: f64,
}

impl ZoneCost {
    pub(super) const fn new(zone: Option<usize>, is_repeatable: bool) -> Self {
        let other_zone_ms = if is_repeatable {
            OTHER_ZONE_MS
        } else {
            OTHER_ZONE_NOT_REPEATABLE_MS
        };
        Self {
            zone,
            other_zone_ms,
        }
    }

    fn cost_ms(self, entry: &Entry) -> f64 {
        if self.zone == Some(entry.zone) {
            0.0
        } else {
            self.other_zone_ms
        }
    }
}

/// Expected result of a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Time to the first event, in ms.
    pub(super) first_event_ms: f64,
    /// Part of `first_event_ms` predicted from load and prompt, in ms.
    pub(super) predicted_ms: f64,
    /// Part of `first_event_ms` before the request's own prefill starts, in ms.
    pub(super) wait_ms: f64,
    /// Cost by which placements are compared, in ms.
    pub(super) cost_ms: f64,
    /// Open requests of all hosts at the endpoint.
    pub(super) open: f64,
    /// Shared tokens cached at the endpoint.
    pub(super) cached: u32,
    /// Prompt tokens that the endpoint has to prefill.
    pub(super) unread: u32,
    /// Tokens of `unread` that some holder has cached or is expected to have cached.
    pub(super) reread: u32,
    /// Tokens that the endpoint prefills before the first event, including other prompts.
    pub(super) prefill_tokens: f64,
}

/// A source from which shared parts can be fetched.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source {
    /// Leading shared tokens available at the source.
    pub(super) tokens: u32,
    /// Time until the source's link is free.
    pub(super) wait: Duration,
    /// Time for which the transfer occupies that link.
    pub(super) transfer: Duration,
    /// Time until the parts have arrived, in ms.
    pub(super) time_ms: f64,
    /// Whether the transfer uses a link that all endpoints share.
    pub(super) is_shared: bool,
}

impl Source {
    pub(super) fn new(tokens: u32, wait: Duration, transfer: Duration, is_shared: bool) -> Self {
        Self {
            tokens,
            wait,
            transfer,
            time_ms: ms(wait + transfer),
            is_shared,
        }
    }

    /// Time until the parts have arrived.
    pub(super) fn time(self) -> Duration {
        self.wait + self.transfer
    }
}

/// Whether an engine with this load may have a slot and the memory for a prompt of which it has no
/// more than `covered` tokens, beside what it holds for another request.
pub(super) fn may_fit(
    (entry, load): (&Entry, Amounts),
    engine: &table::Engine,
    prompt: &prompt::Prompt,
    covered: u32,
) -> bool {
    has_slot((entry, load), engine) && has_memory((entry, load), engine, prompt, covered)
}

fn has_slot((entry, load): (&Entry, Amounts), engine: &table::Engine) -> bool {
    load.open + entry.reserved.open < f64::from(engine.slots)
}

/// Whether an engine that has `cached` of the shared tokens has the memory for a prompt.
pub(super) fn has_memory(
    (entry, load): (&Entry, Amounts),
    engine: &table::Engine,
    prompt: &prompt::Prompt,
    cached: u32,
) -> bool {
    let unread = prompt.tokens.saturating_sub(cached);
    let memory = unread.saturating_add(prompt.output_tokens());
    let occupied = load.memory + entry.reserved.memory;
    occupied + f64::from(memory) <= float(engine.memory_tokens) * MEMORY_FRACTION
}

/// Estimates a placement at an engine that has this load and `cached` of the shared tokens; `None`
/// if the engine lacks a slot or memory.
pub(super) fn estimate_engine(
    (entry, load): (&Entry, Amounts),
    engine: &table::Engine,
    inputs: &Inputs<'_>,
    cached: u32,
    source: Option<Source>,
) -> Option<Estimate> {
    let at = (entry, load);
    if !has_slot(at, engine) || !has_memory(at, engine, inputs.prompt, cached) {
        return None;
    }
    let fetched = source.map_or(0, |source| source.tokens.saturating_sub(cached));
    let unread = inputs.prompt.tokens.saturating_sub(cached + fetched);
    let fetch_ms = source
        .filter(|_| fetched > 0)
        .map_or(0.0, |source| source.time_ms);
    let reread = inputs.cached_anywhere.saturating_sub(cached + fetched);
    let prefill_tokens = load.unread + f64::from(unread);
    let predicted_ms = prefill_tokens * inputs.token_ms + load.open * PER_REQUEST_MS + fetch_ms;
    let reserved_ms = entry.reserved.unread * inputs.token_ms;
    let first_event_ms = predicted_ms + reserved_ms + inputs.baseline_ms + entry.delay_ms;
    let cost_ms = first_event_ms
        + f64::from(reread) * REREAD_MS
        + f64::from(fetched) * inputs.token_ms * FETCHED_FRACTION
        + shared_link_ms(source, fetched)
        + inputs.zone.cost_ms(entry)
        + rank_ms(inputs.rank)
        + entry.slow_start_ms
        + if inputs.avoids_weights {
            ms(inputs.target) * OTHER_WEIGHTS_FRACTION
        } else {
            0.0
        };
    Some(Estimate {
        first_event_ms,
        predicted_ms,
        wait_ms: load.unread * inputs.token_ms + reserved_ms,
        cost_ms,
        open: load.open,
        cached,
        unread,
        reread,
        prefill_tokens,
    })
}

/// Estimates the first event at an engine at which no more than `covered` tokens are cached or
/// fetched, in ms, without the engine's delay.
pub(super) fn soonest_ms(
    (entry, load): (&Entry, Amounts),
    inputs: &Inputs<'_>,
    covered: u32,
) -> f64 {
    let unread = inputs.prompt.tokens.saturating_sub(covered);
    let prefill_tokens = load.unread + entry.reserved.unread + f64::from(unread);
    prefill_tokens * inputs.token_ms + load.open * PER_REQUEST_MS + inputs.baseline_ms
}

/// Estimates a placement at an endpoint of a plain service.
pub(super) fn estimate_plain(entry: &Entry, zone: ZoneCost, open: f64) -> Estimate {
    let slots = f64::from(entry.slots.max(1));
    let queued = (open + 1.0 - slots).max(0.0) / slots;
    let utilization = open / slots;
    let first_event_ms = entry.service_ms * (1.0 + queued);
    let cost_ms = entry.service_ms * (1.0 + queued + utilization)
        + zone.cost_ms(entry)
        + entry.slow_start_ms * 0.1;
    Estimate {
        first_event_ms,
        predicted_ms: first_event_ms,
        wait_ms: entry.service_ms * queued,
        cost_ms,
        open,
        cached: 0,
        unread: 0,
        reread: 0,
        prefill_tokens: 0.0,
    }
}

/// Returns the seed of a prompt's order of preference.
pub(super) fn seed(prompt: &prompt::Prompt) -> u64 {
    let part = prompt.longest_shared().unwrap_or_default();
    xxh3::xxh3_64(part.as_bytes())
}

/// Returns the weight of a holder in an order of preference; the highest comes first.
pub(super) fn preference(holder: &str, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(holder.as_bytes(), seed)
}

fn shared_link_ms(source: Option<Source>, fetched: u32) -> f64 {
    let shared = source.filter(|source| source.is_shared && fetched > 0);
    shared.map_or(0.0, |source| ms(source.transfer) * SHARED_LINK_FACTOR)
}

fn rank_ms(rank: usize) -> f64 {
    match rank {
        0 => 0.0,
        1 => SECOND_CHOICE_MS,
        _ => LATER_CHOICE_MS,
    }
}

pub(super) fn slow_start_ms(backend: &Backend, now: Duration) -> f64 {
    let age = now.saturating_sub(backend.slow_start_from);
    let left = SLOW_START.saturating_sub(age);
    SLOW_START_MS * left.as_secs_f64() / SLOW_START.as_secs_f64()
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
