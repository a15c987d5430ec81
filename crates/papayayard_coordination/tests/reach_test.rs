//! Requests of a service that a host hardly reaches are passed on at once.

use std::time::Duration;

use papayayard_coordination::reach::Reach;
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const REQUESTS: u32 = 1000;
const PERIOD: Duration = Duration::from_millis(20);
const SEEDS: u64 = 40;
/// Endpoints that a request tries before it is passed on.
const ATTEMPTS: u32 = 2;

/// Returns the number of requests that tried endpoints in vain.
fn failed(reached: u32, endpoints: u32, seed: u64) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut reach = Reach::default();
    let service = id::Service::from("app");
    let mut failed = 0;
    for number in 0..REQUESTS {
        if reach.is_passed_on(&service, PERIOD * number) {
            continue;
        }
        let tried = 0..ATTEMPTS;
        let is_reached = tried
            .map(|index| rng.random_range(0..endpoints - index))
            .any(|drawn| drawn < reached);
        reach.record(&service, is_reached);
        failed += u32::from(!is_reached);
    }
    failed
}

/// Guards against a host that tries endpoints out of reach with each request, while its callers
/// wait. All 1000 requests would fail if none is reached, and two in three at one of six.
#[rstest]
#[case::none_of_six(0, 6, 100)]
#[case::one_of_six(1, 6, 200)]
#[case::one_of_twenty(1, 20, 150)]
fn most_requests_are_passed_on_at_once(
    #[case] reached: u32,
    #[case] endpoints: u32,
    #[case] bound: u32,
) {
    for seed in 0..SEEDS {
        let failed = failed(reached, endpoints, seed);
        assert!(failed <= bound, "seed {seed}: {failed}");
    }
}

/// Guards against hosts that pass requests on though they reach all endpoints again, or although
/// other services alone are out of reach.
#[test]
fn a_service_in_reach_is_tried() {
    let mut reach = Reach::default();
    let [lost, other] = ["lost", "other"].map(id::Service::from);
    for _ in 0..4 {
        assert!(!reach.is_passed_on(&lost, Duration::ZERO));
        reach.record(&lost, false);
    }
    assert!(!reach.is_passed_on(&other, Duration::ZERO));
    let mut last_passed_on = Duration::ZERO;
    for number in 0..REQUESTS {
        let now = PERIOD * number;
        if reach.is_passed_on(&lost, now) {
            last_passed_on = now;
        } else {
            reach.record(&lost, true);
        }
    }
    assert!(
        last_passed_on < Duration::from_secs(1),
        "{last_passed_on:?}"
    );
}
