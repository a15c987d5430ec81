//! The choice that true caches and queues allow: the mark to measure against.

use std::time::Duration;

use papayayard_wire::{block, id};

use crate::choice::{self, Pick, Policy, Query, Refusal};
use crate::fleet;

/// True state of the endpoints, as a bench knows it.
pub trait Truth {
    /// Looks at an endpoint; nothing if it is down.
    fn look(&self, endpoint: &id::Endpoint, keys: &[block::Key], now: Duration) -> Option<Sight>;
}

/// True state of one endpoint towards one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sight {
    /// Leading blocks of the prompt in its cache.
    pub cached_blocks: usize,
    /// Time until the request would begin to compute.
    pub wait: Duration,
}

/// Takes the least true time to first token.
#[derive(Clone, Debug, Default)]
pub struct Oracle<View> {
    truth: View,
}

impl<View> Oracle<View>
where
    View: Truth,
{
    /// An oracle that looks through `truth`.
    pub const fn new(truth: View) -> Self {
        Self { truth }
    }
}

impl<View> Policy for Oracle<View>
where
    View: Truth,
{
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        let picks = choice::candidates(fleet, query).filter_map(|(key, endpoint)| {
            let sight = self.truth.look(&endpoint.name, query.keys, query.now)?;
            Some(pick(key, endpoint, query, sight, fleet.block_bytes()))
        });
        let best = picks.min_by_key(|pick| pick.first_token);
        choice::admit(best.ok_or(Refusal::NoEndpoint)?, query)
    }
}

fn pick(
    key: fleet::Key,
    endpoint: &fleet::Endpoint,
    query: &Query<'_>,
    sight: Sight,
    block_bytes: usize,
) -> Pick {
    let cached_bytes = (sight.cached_blocks * block_bytes).min(query.prompt_bytes);
    let compute = choice::compute_seconds(query.prompt_bytes - cached_bytes, endpoint);
    Pick {
        endpoint: key,
        cached_bytes,
        first_token: sight.wait + Duration::from_secs_f64(compute),
    }
}
