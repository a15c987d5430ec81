//! What it would cost to place a request at an endpoint, in milliseconds.
//!
//! The cost is the expected time to the first event and what counts beside it:
//! older weights, another availability zone, shared parts computed again. It
//! answers two patterns. At a class's start many callers bring the same long
//! history: one engine reads it, others fetch it. At a change of weights the
//! few engines that have the new ones fill up to the point where callers would
//! wait too long, and the others go on serving.

use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

use super::backend::Backend;
use super::load::Amounts;
use super::ms;
use crate::prompt;
use crate::table;

/// Delay of a first event by each request that runs already, in ms.
const PER_REQUEST_MS: f64 = 1.5;
/// Cost of a token that is computed again though another holder has it, in ms:
/// a long history costs more than an answer that comes late.
const REREAD_MS: f64 = 0.15;
/// Cost of time on a link that all endpoints share, as a multiple of it: when
/// callers are many, that link is what runs out first.
const SHARED_LINK_FACTOR: f64 = 3.0;
/// Cost of a token that is fetched, as a part of the time to read it: it takes the
/// place of another one in the engine's memory, which will be missed there.
const FETCHED_FRACTION: f64 = 0.5;
/// Part of an engine's memory that open requests may hold; the rest leaves
/// room for answers that grow longer than expected.
const MEMORY_FRACTION: f64 = 0.85;
/// Cost of an endpoint in another availability zone, in ms.
const OTHER_ZONE_MS: f64 = 5.0;
/// The same for a request that is lost when zones are cut off from each other.
const OTHER_ZONE_NOT_REPEATABLE_MS: f64 = 40.0;
/// Cost of an endpoint that isn't the prompt's home, in ms.
const SECOND_CHOICE_MS: f64 = 12.0;
/// Cost of an endpoint that isn't even the second choice for a prompt, in ms.
const LATER_CHOICE_MS: f64 = 18.0;
/// Cost of weights that a request is to avoid, as a part of the time that a
/// first event may take.
const OTHER_WEIGHTS_FRACTION: f64 = 0.6;
/// Time in which an endpoint that has just come into use is filled slowly: the
/// other hosts find it at the same moment.
const SLOW_START: Duration = Duration::from_millis(600);
/// Cost at the beginning of a slow start, in ms.
const SLOW_START_MS: f64 = 120.0;

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inputs<'a> {
    /// The prompt.
    pub(super) prompt: &'a prompt::Prompt,
    /// Time that a first event may take.
    pub(super) target: Duration,
    /// Hosts that send requests.
    pub(super) hosts: usize,
    /// Work of this host at an endpoint of the kind, on average.
    pub(super) mean: Amounts,
    /// Whether the request is to go to endpoints with other weights.
    pub(super) avoids_weights: bool,
    /// Where the request comes from.
    pub(super) zone: ZoneCost<'a>,
    /// Place of the endpoint in the prompt's order of preference.
    pub(super) rank: usize,
    /// Leading shared tokens that some holder has or is about to have.
    pub(super) cached_anywhere: u32,
    /// Time that first events take beyond what load explains, in ms.
    pub(super) baseline_ms: f64,
    /// Time to read a token, in ms.
    pub(super) token_ms: f64,
}

/// The zone of this host, and what leaving it costs a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneCost<'a> {
    zone: &'a id::Zone,
    other_zone_ms: f64,
}

impl<'a> ZoneCost<'a> {
    /// The cost for a request that can be repeated, or not.
    pub(super) fn new(zone: &'a id::Zone, is_repeatable: bool) -> Self {
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

    fn cost_ms(self, backend: &Backend) -> f64 {
        if backend.endpoint.zone == *self.zone {
            0.0
        } else {
            self.other_zone_ms
        }
    }
}

/// What a placement is expected to bring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Time to the first event, in ms.
    pub(super) first_event_ms: f64,
    /// The part of it that load and the prompt explain, in ms.
    pub(super) predicted_ms: f64,
    /// The part of it before the request's own prompt is read, in ms.
    pub(super) wait_ms: f64,
    /// Cost that placements are compared by, in ms.
    pub(super) cost_ms: f64,
    /// Shared tokens that lie at the endpoint.
    pub(super) cached: u32,
    /// Tokens of prompts that it will have to read.
    pub(super) unread: u32,
    /// Those of them that some holder has or is about to have.
    pub(super) reread: u32,
    /// Tokens that it reads before the first event, those of other prompts
    /// included.
    pub(super) prefill_tokens: f64,
}

/// Where shared parts can be fetched from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source {
    /// Leading shared tokens that are there.
    pub(super) tokens: u32,
    /// Time until the source's link is free.
    pub(super) wait: Duration,
    /// Time that the transfer takes that link.
    pub(super) transfer: Duration,
    /// Whether the transfer takes a link that all endpoints share.
    pub(super) is_shared: bool,
}

impl Source {
    /// Time until the parts are there.
    pub(super) fn time(self) -> Duration {
        self.wait + self.transfer
    }
}

/// Estimates a placement at an engine that has so many of the shared tokens;
/// `None` where memory has no room.
pub(super) fn estimate_engine(
    backend: &Backend,
    engine: &table::Engine,
    inputs: &Inputs<'_>,
    cached: u32,
    source: Option<Source>,
    now: Duration,
) -> Option<Estimate> {
    let load = backend.load.estimate_total(inputs.mean, inputs.hosts, now);
    if load.open >= f64::from(engine.slots) {
        return None;
    }
    let fetched = source.map_or(0, |source| source.tokens.saturating_sub(cached));
    let unread = inputs.prompt.tokens.saturating_sub(cached + fetched);
    let memory = inputs.prompt.tokens - cached + inputs.prompt.output_tokens();
    if load.memory + f64::from(memory) > float(engine.memory_tokens) * MEMORY_FRACTION {
        return None;
    }

    let fetch_ms = source
        .filter(|_| fetched > 0)
        .map_or(0.0, |source| ms(source.time()));
    let reread = inputs.cached_anywhere.saturating_sub(cached + fetched);
    let prefill_tokens = load.unread + f64::from(unread);
    let predicted_ms = prefill_tokens * inputs.token_ms + load.open * PER_REQUEST_MS + fetch_ms;
    let first_event_ms = predicted_ms + inputs.baseline_ms + backend.delay.at(now);
    let cost_ms = first_event_ms
        + f64::from(reread) * REREAD_MS
        + f64::from(fetched) * inputs.token_ms * FETCHED_FRACTION
        + shared_link_ms(source, fetched)
        + inputs.zone.cost_ms(backend)
        + rank_ms(inputs.rank)
        + slow_start_ms(backend, now)
        + if inputs.avoids_weights {
            ms(inputs.target) * OTHER_WEIGHTS_FRACTION
        } else {
            0.0
        };
    Some(Estimate {
        first_event_ms,
        predicted_ms,
        wait_ms: load.unread * inputs.token_ms,
        cost_ms,
        cached,
        unread,
        reread,
        prefill_tokens,
    })
}

/// Estimates a placement at an endpoint of a plain service.
pub(super) fn estimate_plain(
    backend: &Backend,
    zone: ZoneCost<'_>,
    mean: Amounts,
    hosts: usize,
    now: Duration,
) -> Estimate {
    let open = backend.load.estimate_total(mean, hosts, now).open;
    let slots = f64::from(backend.endpoint.slots.max(1));
    let queued = (open + 1.0 - slots).max(0.0) / slots;
    let utilization = open / slots;
    let first_event_ms = backend.service_ms * (1.0 + queued);
    let cost_ms = backend.service_ms * (1.0 + queued + utilization)
        + zone.cost_ms(backend)
        + slow_start_ms(backend, now) * 0.1;
    Estimate {
        first_event_ms,
        predicted_ms: first_event_ms,
        wait_ms: backend.service_ms * queued,
        cost_ms,
        cached: 0,
        unread: 0,
        reread: 0,
        prefill_tokens: 0.0,
    }
}

/// Weight of a holder in a prompt's order of preference; highest first.
pub(super) fn preference(holder: &str, prompt: &prompt::Prompt) -> u64 {
    let part = prompt.longest_shared().unwrap_or_default();
    let seed = xxh3::xxh3_64(part.as_bytes());
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

fn slow_start_ms(backend: &Backend, now: Duration) -> f64 {
    let age = now.saturating_sub(backend.slow_start_from);
    let left = SLOW_START.saturating_sub(age);
    SLOW_START_MS * left.as_secs_f64() / SLOW_START.as_secs_f64()
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
