//! Decides which requests a host passes on before it tries an endpoint.
//!
//! A host that reaches few of a service's endpoints, or none of them while it reaches those of
//! other services, is not detached. Its requests fail at several endpoints before it passes them
//! on. If most of the last ones did, it passes requests for the service on at once. Single
//! requests go on trying endpoints, and show when the service is in reach again.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

/// Number of requests by which a service is judged, and number of these that must have reached
/// no endpoint.
const JUDGED: u32 = 4;
const MIN_FAILED: u32 = 3;
/// Interval between requests that try endpoints nevertheless.
const TRY_INTERVAL: Duration = Duration::from_millis(300);

/// The last requests of each service that tried endpoints.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: HashMap<id::Service, Recent>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    /// Whether requests failed, one bit for each, the last one lowest.
    failed: u32,
    /// Time from which the next request tries endpoints.
    next_try: Duration,
}

impl Reach {
    /// Whether a request should be passed on at once; if not, its outcome should be recorded.
    pub fn is_passed_on(&mut self, service: &id::Service, now: Duration) -> bool {
        let Some(recent) = self.services.get_mut(service) else {
            return false;
        };
        if recent.failed.count_ones() < MIN_FAILED {
            return false;
        }
        if now < recent.next_try {
            return true;
        }
        recent.next_try = now + TRY_INTERVAL;
        false
    }

    /// Records whether a request has reached an endpoint of its service.
    pub fn record(&mut self, service: &id::Service, is_reached: bool) {
        if is_reached && !self.services.contains_key(service) {
            return;
        }
        let recent = self.services.entry(service.clone()).or_default();
        let judged = (1 << JUDGED) - 1;
        recent.failed = (recent.failed << 1 | u32::from(!is_reached)) & judged;
        if recent.failed == 0 {
            self.services.remove(service);
        }
    }
}
