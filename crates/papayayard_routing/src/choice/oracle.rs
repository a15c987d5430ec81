//! Choice from the true state of caches and queues, as a reference for other policies.

use std::time::Duration;

use papayayard_wire::{block, id};

use crate::choice::{self, Pick, Policy, Query, Refusal};
use crate::fleet;

/// True state of the endpoints, as a benchmark can provide it.
pub trait GroundTruth {
    /// Returns the state of an endpoint, or `None` if the endpoint is down.
    fn observe(
        &self,
        endpoint: &id::Endpoint,
        keys: &[block::Key],
        now: Duration,
    ) -> Option<Observation>;
}

/// True state of one endpoint with respect to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Number of the prompt's leading blocks in the endpoint's cache.
    pub cached_blocks: usize,
    /// Time until computation of the request would begin.
    pub wait: Duration,
}

/// Chooses the endpoint with the lowest true time to first token.
#[derive(Clone, Debug, Default)]
pub struct Oracle<View> {
    truth: View,
}

impl<View> Oracle<View>
where
    View: GroundTruth,
{
    /// Creates an oracle that reads the state from `truth`.
    pub const fn new(truth: View) -> Self {
        Self { truth }
    }
}

impl<View> Policy for Oracle<View>
where
    View: GroundTruth,
{
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        let picks = choice::candidates(fleet, query).filter_map(|(key, endpoint)| {
            let observation = self.truth.observe(&endpoint.name, query.keys, query.now)?;
            Some(pick(key, endpoint, query, observation, fleet.block_bytes()))
        });
        let best = picks.min_by_key(|pick| pick.first_token);
        choice::check_limit(best.ok_or(Refusal::NoEndpoint)?, query)
    }
}

fn pick(
    key: fleet::Key,
    endpoint: &fleet::Endpoint,
    query: &Query<'_>,
    observation: Observation,
    block_bytes: usize,
) -> Pick {
    let cached_bytes = (observation.cached_blocks * block_bytes).min(query.prompt_bytes);
    let compute = choice::compute_seconds(query.prompt_bytes - cached_bytes, endpoint);
    Pick {
        endpoint: key,
        cached_bytes,
        first_token: observation.wait + Duration::from_secs_f64(compute),
    }
}
