//! Choice of the endpoint that a request goes to.
//!
//! A policy is a type; the daemon runs one, and the load tool runs several in
//! one command to compare them. The oracle sees true caches and queues, which
//! only a bench can give it, through [`GroundTruth`].

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

/// A request, as far as the choice needs it.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Keys of the prompt's whole blocks, from the first.
    pub keys: &'a [block::Key],
    /// Length of the prompt.
    pub prompt_bytes: usize,
    /// Tokens that the answer is expected to have.
    pub output_tokens: u32,
    /// Availability zone of this host.
    pub zone: &'a id::Zone,
    /// Now.
    pub now: Duration,
    /// Endpoints that must not be chosen.
    pub excluded: &'a [fleet::Key],
    /// Time to first token above which the request is refused.
    pub first_token_limit: Option<Duration>,
}

/// The chosen endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The endpoint.
    pub endpoint: fleet::Key,
    /// Bytes of the prompt that it is expected to find in its cache.
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
    Overloaded {
        /// When to come back, without jitter.
        retry_after: Duration,
    },
    /// No endpoint may be given the request.
    #[snafu(display(
        "no endpoint is ready with the weights version of the document; \
         check that its replicas run and have loaded it"
    ))]
    NoEndpoint,
}

/// A way to choose.
pub trait Policy {
    /// Chooses an endpoint for a request.
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal>;
}

/// Endpoints that a request may go to.
fn candidates<'a>(
    fleet: &'a fleet::Fleet,
    query: &'a Query<'_>,
) -> impl Iterator<Item = (fleet::Key, &'a fleet::Endpoint)> {
    let entries = fleet.entries().iter();
    entries.filter_map(|entry| Some((entry.key, candidate(fleet, query, entry)?)))
}

/// The endpoint of a entry, if a request may go to it.
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

/// Checks an estimate against the request's limit.
fn check_limit(pick: Pick, query: &Query<'_>) -> Result<Pick, Refusal> {
    match query.first_token_limit {
        Some(limit) if pick.first_token > limit => Err(Refusal::Overloaded {
            retry_after: pick.first_token.saturating_sub(limit),
        }),
        _ => Ok(pick),
    }
}

/// Seconds to compute a part of a prompt, without any wait.
fn compute_seconds(bytes: usize, endpoint: &fleet::Endpoint) -> f64 {
    f64::from(fleet::tokens(bytes)) / endpoint.load.rate()
}

/// A pick that expects nothing in the cache.
fn cold_pick(key: fleet::Key, endpoint: &fleet::Endpoint, query: &Query<'_>) -> Pick {
    let tokens = fleet::tokens(query.prompt_bytes);
    let first_token = endpoint.load.first_token(tokens, query.now);
    Pick {
        endpoint: key,
        cached_bytes: 0,
        first_token: Duration::from_secs_f64(first_token),
    }
}
