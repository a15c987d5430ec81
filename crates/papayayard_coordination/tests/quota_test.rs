//! Quotas of client accounts over all hosts: what is admitted in a window stays within
//! the quota during all faults, and is not far below it without any.

mod quota;

use std::time::Duration;

use quota::{Plan, Simulation};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

/// Replays in one case of the property test.
const SEEDS_PER_CASE: u64 = 15;

fn assert_bound_holds(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::random(&mut rng);
    let mut simulation = Simulation::new(plan.clone(), seed);
    simulation.run();
    let (share, at) = simulation.largest_share;
    assert!(
        share <= 1.0 + 1e-6,
        "seed {seed}: all pools have {share:.4} of the quotas at {at:?}, {plan:#?}"
    );
    for account in 0..plan.quotas.len() {
        let (part, at) = simulation.worst_window(account);
        assert!(
            part <= 1.0,
            "seed {seed}: {part:.3} of what is allowed in the window from {at:?}, {plan:#?}"
        );
    }
}

/// Guards against pools that together admit more than the quota while messages are
/// slow, lost, late or repeated, and hosts are cut off, killed, frozen or new.
#[rstest]
fn quotas_hold_in_every_window(#[values(0, 1, 2, 3, 4, 5, 6, 7)] case: u64) {
    for seed in case * SEEDS_PER_CASE..(case + 1) * SEEDS_PER_CASE {
        assert_bound_holds(seed);
    }
}

/// The same with seeds of `QUOTA_SEEDS`, as in `QUOTA_SEEDS=1000..2000`.
#[test]
fn seeds_asked() {
    let Ok(seeds) = std::env::var("QUOTA_SEEDS") else {
        return;
    };
    let (first, end) = seeds.split_once("..").expect("a range of seeds");
    let first: u64 = first.parse().expect("first seed");
    let end: u64 = end.parse().expect("end of the seeds");
    for seed in first..end {
        assert_bound_holds(seed);
    }
}

/// Guards against a division of quotas that leaves most of them unused when all demand
/// arrives at a few hosts.
#[rstest]
fn most_of_a_quota_is_usable(
    #[values(0.0, 1.0)] plain: f64,
    #[values(0.0, 110_000.0)] slack: f64,
    #[values(2, 75)] hosts: usize,
) {
    let mut plan = Plan::calm(hosts);
    plan.plain = plain;
    plan.tolerance.slack = slack;
    plan.entries = plan.entries.min(hosts);
    let quota = plan.quotas[0];
    let mut simulation = Simulation::new(plan, 1);
    simulation.run();
    let from = Duration::from_secs(5);
    let usable = simulation.admitted(0, from) / (quota.per_second * 25.0);
    assert!(usable >= 0.95, "{usable:.3} of the quota used");
}
