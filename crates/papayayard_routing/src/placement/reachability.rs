//! Zones that hosts cannot reach.
//!
//! When zones are cut off from each other, each host would find out endpoint by
//! endpoint, and lose the time of a connection on each. Several endpoints of a
//! zone that cannot be reached, with none that answers between, speak for the
//! zone: the others there are left out too, and tried again a little later. What
//! hosts of one zone reach says nothing of those of another.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_wire::id;

/// Endpoints without a connection that speak for their zone; fewer may have
/// crashed together.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Time for which a zone is left out before it is tried again.
const ZONE_BACKOFF: Duration = Duration::from_secs(1);

/// What hosts reach, by their zone and the endpoints'.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    zones: HashMap<id::Zone, HashMap<id::Zone, Failures>>,
}

/// A zone in which nothing has answered since some endpoint failed.
#[derive(Clone, Debug, Default)]
struct Failures {
    endpoints: HashSet<id::Endpoint>,
    unreachable_until: Duration,
}

impl Reachability {
    /// Notes that no connection to an endpoint came about.
    pub fn record_failure(
        &mut self,
        from: &id::Zone,
        zone: &id::Zone,
        endpoint: &id::Endpoint,
        now: Duration,
    ) {
        let zones = self.zones.entry(from.clone()).or_default();
        let failures = zones.entry(zone.clone()).or_default();
        failures.endpoints.insert(endpoint.clone());
        if failures.endpoints.len() >= MIN_FAILED_ENDPOINTS {
            failures.unreachable_until = now + ZONE_BACKOFF;
        }
    }

    /// Notes an answer from a zone.
    pub fn record_answer(&mut self, from: &id::Zone, zone: &id::Zone) {
        if let Some(zones) = self.zones.get_mut(from) {
            zones.remove(zone);
        }
    }

    /// Whether some zone is left out now.
    pub fn has_unreachable_zone(&self, from: &id::Zone, now: Duration) -> bool {
        let zones = self.zones.get(from);
        zones.is_some_and(|zones| {
            zones
                .values()
                .any(|failures| now < failures.unreachable_until)
        })
    }

    /// Whether a zone is left out now.
    pub fn is_unreachable(&self, from: &id::Zone, zone: &id::Zone, now: Duration) -> bool {
        let failures = self.zones.get(from).and_then(|zones| zones.get(zone));
        failures.is_some_and(|failures| now < failures.unreachable_until)
    }
}
