//! How often one host may send requests to a service more than once.
//!
//! All hosts together may repeat a ratio of the service's requests and a fixed
//! slack in any window. Each host spends by the requests that reached it, plus
//! its part of the slack, so that no host needs to ask another. The pattern
//! this answers is a fault that fails many requests at once: retries grow with
//! it and would double the load that remains.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use papayayard_wire::id;

/// Part of the allowance that is spent; the rest covers requests that are
/// counted in another window here than at the endpoints.
const MARGIN: f64 = 0.8;

/// Bounds over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond the ratio, for all hosts together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and retries of the recent past, by service.
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
    /// An unspent budget.
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

    /// Takes leave for one repeat; `false` where the budget is spent.
    pub fn take_retry(&mut self, service: &id::Service, hosts: usize, now: Duration) -> bool {
        let has_retry = self.has_retry(service, hosts, now);
        if has_retry {
            self.recent(service, now).retries.push_back(now);
        }
        has_retry
    }

    /// Whether there is leave for one repeat.
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
