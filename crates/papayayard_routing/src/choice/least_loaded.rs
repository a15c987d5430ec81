//! Shortest queue first, as a baseline policy.

use crate::choice::{self, Pick, Policy, Query, Refusal};
use crate::fleet;

/// Chooses the endpoint with the shortest wait.
#[derive(Clone, Debug, Default)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        let (key, endpoint) = choice::candidates(fleet, query)
            .min_by(|(_, left), (_, right)| rank(left, query).total_cmp(&rank(right, query)))
            .ok_or(Refusal::NoEndpoint)?;
        choice::check_limit(choice::cold_pick(key, endpoint, query), query)
    }
}

/// Sort key: the wait; occupancy breaks ties.
fn rank(endpoint: &fleet::Endpoint, query: &Query<'_>) -> f64 {
    endpoint.load.backlog_seconds(query.now) + OCCUPANCY_SECONDS * endpoint.load.occupancy()
}

const OCCUPANCY_SECONDS: f64 = 0.001;
