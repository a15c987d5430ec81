//! Retries stay within a ratio and a slack over all hosts.

use std::time::Duration;

use papayayard_routing::retry_budget::{Bounds, Budget};
use papayayard_wire::id;

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};
const HOSTS: usize = 9;

fn service() -> id::Service {
    id::Service::from("app")
}

/// Every request fails at once on all hosts.
#[test]
fn retries_of_all_hosts_stay_within_the_bound() {
    let mut retries = 0;
    let mut requests = 0;
    for _ in 0..HOSTS {
        let mut budget = Budget::new(BOUNDS);
        for step in 0..200 {
            let now = Duration::from_millis(50 * step);
            budget.record_request(&service(), now);
            requests += 1;
            retries += u32::from(budget.take_retry(&service(), HOSTS, now));
        }
    }
    let allowed = f64::from(requests) * BOUNDS.ratio + BOUNDS.slack;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    assert!(
        f64::from(retries) >= allowed / 2.0,
        "{retries} of {allowed}"
    );
}

#[test]
fn retries_become_available_again_after_the_window() {
    let mut budget = Budget::new(BOUNDS);
    let now = Duration::from_secs(100);
    while budget.take_retry(&service(), HOSTS, now) {}
    assert!(!budget.take_retry(&service(), HOSTS, now + Duration::from_secs(9)));
    assert!(budget.take_retry(&service(), HOSTS, now + Duration::from_secs(11)));
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = Budget::new(BOUNDS);
    let now = Duration::from_secs(100);
    while budget.take_retry(&service(), HOSTS, now) {}
    assert!(budget.take_retry(&id::Service::from("other"), HOSTS, now));
}
