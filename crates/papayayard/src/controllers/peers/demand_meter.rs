//! Recent demand of client accounts, from what admission counts.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_coordination::amount::Amount;
use papayayard_wire::id;

use crate::controllers::admission;

/// Part of the last demand that is kept from one sample to the next, in
/// percent; a burst is remembered for some seconds.
const KEPT_PERCENT: u64 = 90;

/// Demand of each account.
#[derive(Default)]
pub(super) struct Meter {
    demands: HashMap<id::Account, Amount>,
}

impl Meter {
    /// Takes what an account asked for within `span`; gives its demand.
    pub(super) fn sample(
        &mut self,
        account: &id::Account,
        used: admission::Use,
        share: Amount,
        span: Duration,
    ) -> Amount {
        let millis = span.as_millis().max(1);
        let rate = u128::from(used.requests) * 1_000_000 / millis;
        let open = u64::from(used.open);
        // Requests beyond the share are not open, so a full share asks for more.
        let is_full = open > 0 && open >= share.open;
        let recent = Amount {
            rate: u64::try_from(rate).unwrap_or(u64::MAX),
            open: if is_full { open * 2 } else { open },
        };
        let demand = self.demands.entry(account.clone()).or_default();
        demand.rate = recent.rate.max(demand.rate * KEPT_PERCENT / 100);
        demand.open = recent.open.max(demand.open * KEPT_PERCENT / 100);
        *demand
    }
}
