//! Limit on how often one host may retry requests to a service.
//!
//! In any window, all hosts together may retry a ratio of the service's requests
//! plus a fixed slack. Each host uses the requests that reached it, plus its part
//! of the slack, so that hosts need no coordination. This guards against a fault
//! that fails many requests at once: retries grow with it and would double the load
//! on the remaining endpoints.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use papayayard_wire::id;

/// Fraction of the allowance that is used; the rest covers requests that fall into
/// different windows here and at the endpoints.
const MARGIN: f64 = 0.8;

/// Bounds over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio, for all hosts together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and retries within the window, by service.
#[derive(Debug)]
pub struct Budget {
    bounds: Bounds,
    services: HashMap<id::Service, Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            services: HashMap::new(),
        }
    }

    /// Counts a request on a route to the service.
    pub fn record_request(&mut self, service: &id::Service, now: Duration) {
        self.recent(service, now).requests.push_back(now);
    }

    /// Takes one retry from the budget; `false` if the budget is exhausted.
    pub fn take_retry(&mut self, service: &id::Service, hosts: usize, now: Duration) -> bool {
        let has_retry = self.has_retry(service, hosts, now);
        if has_retry {
            self.recent(service, now).retries.push_back(now);
        }
        has_retry
    }

    /// Whether the budget allows another retry.
    pub fn has_retry(&mut self, service: &id::Service, hosts: usize, now: Duration) -> bool {
        let bounds = self.bounds;
        let recent = self.recent(service, now);
        let requests = count(recent.requests.len());
        let slack = bounds.slack / count(hosts.max(1));
        let allowed = (requests * bounds.ratio + slack) * MARGIN;
        count(recent.retries.len()) + 1.0 <= allowed
    }

    fn recent(&mut self, service: &id::Service, now: Duration) -> &mut Recent {
        let window = self.bounds.window;
        let recent = self.services.entry(service.clone()).or_default();
        remove_expired(&mut recent.requests, window, now);
        remove_expired(&mut recent.retries, window, now);
        recent
    }
}

fn remove_expired(times: &mut VecDeque<Duration>, window: Duration, now: Duration) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
