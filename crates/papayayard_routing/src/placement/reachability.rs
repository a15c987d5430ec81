//! Zones that hosts cannot reach.
//!
//! When zones are partitioned, each host would otherwise discover it endpoint by endpoint and
//! lose a connection timeout on each. If several endpoints of a zone are unreachable and none
//! answers in between, the whole zone is excluded and probed again a little later. Reachability
//! from one zone implies nothing about reachability from another.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_wire::id;

/// Unreachable endpoints from which their zone is excluded; fewer may have crashed together.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Time for which a zone is excluded before it is probed again.
const ZONE_BACKOFF: Duration = Duration::from_secs(1);

/// Recent connection failures, by the zone of the host and the zone of the endpoint.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    zones: HashMap<id::Zone, HashMap<id::Zone, Failures>>,
}

/// Endpoints of a zone that have failed since its last answer.
#[derive(Clone, Debug, Default)]
struct Failures {
    endpoints: HashSet<id::Endpoint>,
    excluded_until: Duration,
}

impl Reachability {
    /// Records that a connection to an endpoint failed.
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
            failures.excluded_until = now + ZONE_BACKOFF;
        }
    }

    /// Records an answer from an endpoint in a zone.
    pub fn record_answer(&mut self, from: &id::Zone, zone: &id::Zone) {
        if let Some(zones) = self.zones.get_mut(from) {
            zones.remove(zone);
        }
    }

    /// Whether any zone is currently excluded.
    pub fn excludes_any(&self, from: &id::Zone, now: Duration) -> bool {
        let zones = self.zones.get(from);
        zones.is_some_and(|zones| zones.values().any(|failures| now < failures.excluded_until))
    }

    /// Whether a zone is currently excluded.
    pub fn excludes(&self, from: &id::Zone, zone: &id::Zone, now: Duration) -> bool {
        let failures = self.zones.get(from).and_then(|zones| zones.get(zone));
        failures.is_some_and(|failures| now < failures.excluded_until)
    }
}
