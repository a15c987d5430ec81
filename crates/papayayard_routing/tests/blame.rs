//! The request that ends its endpoints is quarantined everywhere, and others are not for long.

use std::time::Duration;

use papayayard_routing::blame::{Effect, Progress, Run, Standing, Table};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rstest::rstest;

const DEADLY: Fingerprint = Fingerprint(666);
const NOW: Duration = Duration::from_hours(1);

fn run(number: u64) -> Run {
    Run {
        endpoint: id::Endpoint::from(format!("engine-{number}")),
        started: id::Incarnation(1),
    }
}

fn is_quarantined(table: &Table, fingerprint: Fingerprint, now: Duration) -> bool {
    matches!(
        table.standing(fingerprint, now),
        Standing::Quarantined { .. }
    )
}

#[rstest]
#[case::once(&[Progress::Waiting], false)]
#[case::twice_before_any_event(&[Progress::Waiting, Progress::Waiting], true)]
#[case::twice_once_begun(&[Progress::Waiting, Progress::Begun], false)]
#[case::twice_begun(&[Progress::Begun, Progress::Begun], false)]
#[case::three_times_however_far(&[Progress::Begun, Progress::Begun, Progress::Begun], true)]
fn ends_quarantine_a_request(#[case] ends: &[Progress], #[case] quarantined: bool) {
    let mut table = Table::default();
    for (number, progress) in (0..).zip(ends) {
        table.ended(DEADLY, &run(number), *progress, NOW);
    }
    assert_eq!(is_quarantined(&table, DEADLY, NOW), quarantined);
    assert_eq!(table.standing(Fingerprint(1), NOW), Standing::Clear);
}

/// Two hosts, or two requests of one kind, tell of the same end.
#[test]
fn an_end_counts_once() {
    let mut table = Table::default();
    for _ in 0..5 {
        table.ended(DEADLY, &run(1), Progress::Waiting, NOW);
    }
    assert_eq!(table.standing(DEADLY, NOW), Standing::Suspect);
    let restarted = Run {
        started: id::Incarnation(2),
        ..run(1)
    };
    let effect = table.ended(DEADLY, &restarted, Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Quarantined);
}

#[test]
fn the_worse_progress_of_an_end_counts() {
    let mut table = Table::default();
    table.ended(DEADLY, &run(1), Progress::Begun, NOW);
    table.ended(DEADLY, &run(2), Progress::Begun, NOW);
    let again = table.ended(DEADLY, &run(1), Progress::Begun, NOW);
    assert_eq!(again, Effect::Nothing);
    table.ended(DEADLY, &run(1), Progress::Waiting, NOW);
    let effect = table.ended(DEADLY, &run(2), Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Quarantined);
}

#[test]
fn a_request_that_finishes_is_clear_and_others_learn_of_it_if_they_quarantine_it() {
    let mut table = Table::default();
    table.ended(DEADLY, &run(1), Progress::Waiting, NOW);
    assert!(!table.finished(DEADLY, NOW), "nobody quarantines it");
    assert_eq!(table.standing(DEADLY, NOW), Standing::Clear);
    // Others do not know that it has finished.
    let effect = table.ended(DEADLY, &run(2), Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Disputed);
    assert_eq!(table.standing(DEADLY, NOW), Standing::Suspect);
    let effect = table.ended(DEADLY, &run(3), Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Quarantined);
    assert!(table.finished(DEADLY, NOW), "one that was still running");
    assert_eq!(table.standing(DEADLY, NOW), Standing::Clear);
}

#[test]
fn hosts_that_know_the_same_ends_judge_alike() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ends: Vec<(Fingerprint, Run, Progress)> = (0..12)
            .map(|_| {
                let progress = if rng.next_u32().is_multiple_of(2) {
                    Progress::Begun
                } else {
                    Progress::Waiting
                };
                let fingerprint = Fingerprint(rng.next_u64() % 3);
                (fingerprint, run(rng.next_u64() % 4), progress)
            })
            .collect();
        let mut in_order = Table::default();
        for (fingerprint, run, progress) in &ends {
            in_order.ended(*fingerprint, run, *progress, NOW);
        }
        let mut shuffled = Table::default();
        for _ in 0..60 {
            let (fingerprint, run, progress) = &ends[rng.next_u32() as usize % ends.len()];
            shuffled.ended(*fingerprint, run, *progress, NOW);
        }
        for (fingerprint, run, progress) in ends.iter().rev() {
            shuffled.ended(*fingerprint, run, *progress, NOW);
        }
        for fingerprint in (0..3).map(Fingerprint) {
            let standing = in_order.standing(fingerprint, NOW);
            assert_eq!(standing, shuffled.standing(fingerprint, NOW), "seed {seed}");
        }
    }
}

/// What ran beside it twice is not quarantined, and after one more end not even suspect.
#[test]
fn what_met_the_same_ends_waits_for_one_more_to_tell() {
    let beside = Fingerprint(1);
    let mut table = Table::default();
    for number in 0..2 {
        table.ended(DEADLY, &run(number), Progress::Waiting, NOW);
        table.ended(beside, &run(number), Progress::Waiting, NOW);
    }
    assert_eq!(table.standing(DEADLY, NOW), Standing::Suspect);
    assert_eq!(table.standing(beside, NOW), Standing::Suspect);
    let effect = table.ended(DEADLY, &run(2), Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Quarantined);
    assert_eq!(table.standing(beside, NOW), Standing::Clear);
}

/// What one has met does not excuse the other for long.
#[test]
fn two_such_requests_that_meet_are_both_quarantined() {
    let second = Fingerprint(667);
    let mut table = Table::default();
    for number in 0..4 {
        table.ended(DEADLY, &run(number), Progress::Waiting, NOW);
        if number > 0 {
            table.ended(second, &run(number), Progress::Waiting, NOW);
        }
    }
    assert!(is_quarantined(&table, DEADLY, NOW));
    assert_eq!(table.standing(second, NOW), Standing::Clear);
    table.ended(second, &run(4), Progress::Waiting, NOW);
    assert!(is_quarantined(&table, second, NOW));
}

/// Requests run at random at six endpoints. One of them ends each endpoint that runs
/// it, and what ran beside it is sent elsewhere at once, as it is itself.
#[test]
fn the_cause_is_quarantined_soon_and_bystanders_are_not() {
    let mut quarantined = 0;
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = Table::default();
        let mut open: Vec<(Fingerprint, u64)> = (0..60)
            .map(|number| (Fingerprint(number), rng.next_u64() % 6))
            .collect();
        let mut starts = [0; 6];
        let mut ends = 0;
        while !is_quarantined(&table, DEADLY, NOW) {
            ends += 1;
            assert!(ends <= 4, "seed {seed}: {ends} endpoints have ended");
            let at = rng.next_u64() % 6;
            starts[usize::try_from(at).expect("a small number")] += 1;
            let ended = Run {
                started: id::Incarnation(starts[usize::try_from(at).expect("a small number")]),
                ..run(at)
            };
            table.ended(DEADLY, &ended, Progress::Waiting, NOW);
            for (fingerprint, place) in &mut open {
                if *place == at {
                    let progress = if rng.next_u32().is_multiple_of(4) {
                        Progress::Waiting
                    } else {
                        Progress::Begun
                    };
                    table.ended(*fingerprint, &ended, progress, NOW);
                    *place = rng.next_u64() % 6;
                }
            }
        }
        let bystanders = (0..60).map(Fingerprint);
        quarantined += bystanders
            .filter(|one| is_quarantined(&table, *one, NOW))
            .count();
    }
    assert!(
        quarantined <= 25,
        "{quarantined} of 30,000 bystanders are quarantined"
    );
}

/// Over a day the caller comes back every second, at all hosts.
#[test]
fn over_a_day_few_endpoints_end_after_the_third() {
    let mut table = Table::default();
    let mut ends = 0;
    for second in 0..24 * 3_600 {
        let now = NOW + Duration::from_secs(second);
        if !is_quarantined(&table, DEADLY, now) {
            ends += 1;
            table.ended(DEADLY, &run(ends), Progress::Waiting, now);
        }
    }
    assert!(ends <= 9, "{ends} endpoints ended in a day");
}

#[test]
fn an_end_is_forgotten_after_a_while() {
    let mut table = Table::default();
    table.ended(DEADLY, &run(1), Progress::Waiting, NOW);
    let later = NOW + Duration::from_hours(1);
    assert_eq!(table.standing(DEADLY, later), Standing::Clear);
    let effect = table.ended(DEADLY, &run(2), Progress::Waiting, later);
    assert_eq!(effect, Effect::Suspected);
}

#[test]
fn the_table_is_bounded_and_keeps_what_is_quarantined() {
    let mut table = Table::default();
    for number in 0..2 {
        table.ended(DEADLY, &run(number), Progress::Waiting, NOW);
    }
    for number in 0..40_000 {
        let end = run(100 + number / 64);
        table.ended(Fingerprint(1_000 + number), &end, Progress::Begun, NOW);
    }
    let others = (0..40_000).map(|number| Fingerprint(1_000 + number));
    let known = others.filter(|one| table.standing(*one, NOW) == Standing::Suspect);
    assert!(known.count() < 10_000);
    assert!(is_quarantined(&table, DEADLY, NOW));
}
