//! Round robin, as a baseline policy.

use crate::choice::{self, Pick, Policy, Query, Refusal};
use crate::fleet;

/// Chooses endpoints in rotation.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        let count = choice::candidates(fleet, query).count();
        if count == 0 {
            return Err(Refusal::NoEndpoint);
        }
        let turn = self.next % count;
        self.next = self.next.wrapping_add(1);
        let (key, endpoint) = choice::candidates(fleet, query)
            .nth(turn)
            .ok_or(Refusal::NoEndpoint)?;
        choice::check_limit(choice::cold_pick(key, endpoint, query), query)
    }
}
