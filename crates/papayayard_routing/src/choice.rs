//! Choice of the endpoint for a request.
//!
//! Each policy is a type. The daemon runs one policy; the load generator runs
//! several in one command to compare them. The oracle policy needs the true
//! state of caches and queues, which only a benchmark can provide, through
//! [`GroundTruth`].

use std::time::Duration;

use papayayard_wire::{block, id};
use snafu::Snafu;

use crate::fleet;

mod least_loaded;
mod oracle;
mod papayayard;
mod rendezvous;
mod round_robin;
mod switch;

pub use least_loaded::LeastLoaded;
pub use oracle::{GroundTruth, Observation, Oracle};
pub use papayayard::Papayayard;
pub use rendezvous::Rendezvous;
pub use round_robin::RoundRobin;
pub use switch::{Name, Switch};

/// Properties of a request that the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Keys of the prompt's complete blocks, in order.
    pub keys: &'a [block::Key],
    /// Length of the prompt, in bytes.
    pub prompt_bytes: usize,
    /// Expected number of tokens in the answer.
    pub output_tokens: u32,
    /// Availability zone of this host.
    pub zone: &'a id::Zone,
    pub now: Duration,
    /// Endpoints that must not be chosen.
    pub excluded: &'a [fleet::Key],
    /// Expected time to first token above which the request is refused.
    pub first_token_limit: Option<Duration>,
}

/// The chosen endpoint and its estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    pub endpoint: fleet::Key,
    /// Bytes of the prompt that are expected to be cached there.
    pub cached_bytes: usize,
    /// Expected time to first token.
    pub first_token: Duration,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The answer would come too late everywhere.
    #[snafu(display(
        "every endpoint would answer too late; come back after {} ms",
        retry_after.as_millis()
    ))]
    /// Every endpoint would exceed the limit on the time to first token.
    Overloaded {
        /// Delay before a retry, without jitter.
        retry_after: Duration,
    },
    /// No endpoint may be given the request.
    #[snafu(display(
        "no endpoint is ready with the weights version of the document; \
         check that its replicas run and have loaded it"
    ))]
    /// No endpoint is eligible and accepts requests.
    NoEndpoint,
}

/// A policy that chooses endpoints.
pub trait Policy {
    /// Chooses an endpoint for a request.
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal>;
}

/// Endpoints that may receive a request.
fn candidates<'a>(
    fleet: &'a fleet::Fleet,
    query: &'a Query<'_>,
) -> impl Iterator<Item = (fleet::Key, &'a fleet::Endpoint)> {
    let entries = fleet.entries().iter();
    entries.filter_map(|entry| Some((entry.key, candidate(fleet, query, entry)?)))
}

/// The endpoint of an entry, if it may receive the request.
fn candidate<'a>(
    fleet: &'a fleet::Fleet,
    query: &Query<'_>,
    entry: &fleet::Entry,
) -> Option<&'a fleet::Endpoint> {
    if !entry.eligible || query.excluded.contains(&entry.key) {
        return None;
    }
    let endpoint = fleet.get(entry.key)?;
    let permits = endpoint.health.permits(endpoint.load.open(), query.now);
    permits.then_some(endpoint)
}

/// Refuses a pick whose time to first token exceeds the request's limit.
fn check_limit(pick: Pick, query: &Query<'_>) -> Result<Pick, Refusal> {
    match query.first_token_limit {
        Some(limit) if pick.first_token > limit => Err(Refusal::Overloaded {
            retry_after: pick.first_token.saturating_sub(limit),
        }),
        _ => Ok(pick),
    }
}

/// Seconds to compute a part of a prompt, without queueing.
fn compute_seconds(bytes: usize, endpoint: &fleet::Endpoint) -> f64 {
    f64::from(fleet::tokens(bytes)) / endpoint.load.rate()
}

/// A pick that assumes an empty cache.
fn cold_pick(key: fleet::Key, endpoint: &fleet::Endpoint, query: &Query<'_>) -> Pick {
    let tokens = fleet::tokens(query.prompt_bytes);
    let first_token = endpoint.load.first_token(tokens, query.now);
    Pick {
        endpoint: key,
        cached_bytes: 0,
        first_token: Duration::from_secs_f64(first_token),
    }
}
