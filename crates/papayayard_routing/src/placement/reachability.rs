//! Zones that hosts cannot reach.
//!
//! When zones are partitioned, each host would otherwise discover it endpoint by endpoint and
//! lose a connection timeout on each. If several endpoints of a zone are unreachable and none
//! answers in between, the whole zone is excluded and probed again a little later. Reachability
//! from one host implies something about the other hosts of its zone only while the host is
//! connected to other zones, and nothing about hosts of other zones.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_wire::id;

/// Unreachable endpoints from which their zone is excluded; fewer may have crashed together.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Time for which a zone is excluded before it is probed again.
const ZONE_BACKOFF: Duration = Duration::from_secs(1);

/// Recent connection failures of one host, or of the hosts of one zone, by zone of the endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    zones: HashMap<id::Zone, Failures>,
}

/// Endpoints of a zone that have failed since its last answer.
#[derive(Clone, Debug, Default)]
struct Failures {
    /// As many as it takes to exclude the zone.
    endpoints: HashSet<id::Endpoint>,
    excluded_until: Duration,
}

impl Reachability {
    /// Records that a connection to an endpoint of a zone failed.
    pub(super) fn record_failure(
        &mut self,
        zone: &id::Zone,
        endpoint: &id::Endpoint,
        now: Duration,
    ) {
        let failures = self.zones.entry(zone.clone()).or_default();
        if failures.endpoints.len() < MIN_FAILED_ENDPOINTS {
            failures.endpoints.insert(endpoint.clone());
        }
        if failures.endpoints.len() >= MIN_FAILED_ENDPOINTS {
            failures.excluded_until = now + ZONE_BACKOFF;
        }
    }

    /// Records an answer from an endpoint in a zone.
    pub(super) fn record_answer(&mut self, zone: &id::Zone) {
        self.zones.remove(zone);
    }

    /// Whether any connection has failed since the last answer of its zone.
    pub(super) fn has_failures(&self) -> bool {
        !self.zones.is_empty()
    }

    /// Whether any zone is currently excluded.
    pub(super) fn excludes_any(&self, now: Duration) -> bool {
        let mut zones = self.zones.values();
        zones.any(|failures| now < failures.excluded_until)
    }

    /// Whether a zone is currently excluded.
    pub(super) fn excludes(&self, zone: &id::Zone, now: Duration) -> bool {
        let failures = self.zones.get(zone);
        failures.is_some_and(|failures| now < failures.excluded_until)
    }
}
