//! Workloads: seeded, in order, with nested prefixes.

use std::time::Duration;

use rstest::rstest;

use crate::workload::{self, Name, Options, Planned};

const SEEDS: std::ops::Range<u64> = 0..20;

#[rstest]
#[case::plain(Name::Plain)]
#[case::class_start(Name::ClassStart)]
#[case::handover(Name::Handover)]
#[case::mixed_day(Name::MixedDay)]
fn a_seed_gives_one_plan_in_order(#[case] name: Name) {
    for seed in SEEDS {
        let plan = workload::plan(&Options::new(name, seed));
        assert_eq!(
            plan,
            workload::plan(&Options::new(name, seed)),
            "seed {seed}"
        );
        assert_ne!(
            plan,
            workload::plan(&Options::new(name, seed + 1)),
            "seed {seed}"
        );
        assert!(plan.is_sorted_by_key(|planned| planned.at), "seed {seed}");
        let last = plan.last().expect("there are requests").at;
        assert!(
            last < name.duration() + Duration::from_secs(1),
            "seed {seed}"
        );
    }
}

#[rstest]
#[case::half(0.5)]
#[case::node_share(192.0)]
fn the_rate_is_met_on_average(#[case] rate: f64) {
    let mut options = Options::new(Name::Plain, 3);
    options.rate = rate;
    options.duration = Duration::from_secs(1000);
    let plan = workload::plan(&options);
    let expected = rate * 1000.0;
    let count = f64::from(u32::try_from(plan.len()).unwrap());
    // Five standard deviations of a Poisson process.
    assert!(
        (count - expected).abs() < 5.0 * expected.sqrt(),
        "{count} requests"
    );
}

#[test]
fn the_burst_is_within_one_second() {
    for seed in SEEDS {
        let plan = workload::plan(&Options::new(Name::ClassStart, seed));
        let start = Name::ClassStart.duration() / 3;
        let end = start + Duration::from_secs(1);
        let within = plan
            .iter()
            .filter(|planned| planned.at >= start && planned.at < end);
        assert!(within.count() >= 200, "seed {seed}");
    }
}

#[test]
fn prompts_of_one_account_share_a_prefix_and_others_do_not() {
    let plan = workload::plan(&Options::new(Name::ClassStart, 1));
    let level = 4_500 * 4;
    let prompt = |planned: &Planned| planned.prompt()[..level].to_owned();
    let first = &plan[0];
    for other in &plan[1..40] {
        let shared = prompt(first) == prompt(other);
        assert_eq!(shared, first.account == other.account);
        assert_ne!(first.prompt(), other.prompt());
    }
}

#[test]
fn distinct_tokens_count_each_prefix_once() {
    let plan = workload::plan(&Options::new(Name::ClassStart, 1));
    let alone = workload::distinct_tokens(&plan[..1]);
    assert_eq!(alone, plan[0].prompt().len() as u64 / 4);
    let twice = vec![plan[0].clone(), plan[0].clone()];
    assert_eq!(workload::distinct_tokens(&twice), alone + 120);
}
