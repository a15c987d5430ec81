//! A part of prompts that crashes each endpoint that begins to answer on it: hosts that
//! exchange crash reports soon refuse requests with it, and serve the others.

mod replay;
mod world;

use rstest::rstest;

use replay::{Cause, Plan};

/// Seeds of each case.
const SEEDS: u64 = 6;
/// Deadly requests that may reach endpoints later than 3 s after the fifth crash.
const MAX_LATER: usize = 3;
/// Least share of sound requests with the same first part that begin at the first attempt
/// from 6 s after the fifth crash, in percent of the share before the first.
const MIN_BEGUN_PERCENT: usize = 90;

#[rstest]
fn a_deadly_part_is_refused_and_its_companions_are_served(
    #[values(1, 9, 80)] hosts: usize,
    #[values(
        &[Cause::Part],
        &[Cause::Part, Cause::Part],
        &[Cause::Part, Cause::Request],
        &[Cause::Part, Cause::Chance],
        &[Cause::Part, Cause::Zone],
    )]
    causes: &[Cause],
) {
    for seed in 0..SEEDS {
        let plan = Plan {
            hosts,
            causes,
            seed,
        };
        let outcome = replay::run(&plan);
        for (cause, later) in outcome.later.iter().enumerate() {
            assert!(
                *later <= MAX_LATER,
                "seed {seed}: {later} arrivals of cause {cause} after {} crashes: {outcome:?}",
                outcome.crashes
            );
        }
        let (before, after) = (outcome.before.percent(), outcome.after.percent());
        assert!(
            after * 100 >= before * MIN_BEGUN_PERCENT,
            "seed {seed}: {after} of 100 begin at once, {before} before: {outcome:?}"
        );
    }
}

/// Endpoints that crash for other reasons, all of one zone at once among them, don't keep
/// sound requests from being served.
#[rstest]
fn parts_are_not_refused_for_crashes_without_a_deadly_part(
    #[values(1, 9, 80)] hosts: usize,
    #[values(&[Cause::Chance], &[Cause::Zone], &[Cause::Request])] causes: &[Cause],
) {
    for seed in 0..SEEDS {
        let plan = Plan {
            hosts,
            causes,
            seed,
        };
        let outcome = replay::run(&plan);
        let served = outcome.refused_sound * 100 <= outcome.sent_sound;
        assert!(served, "seed {seed}: {outcome:?}");
    }
}
