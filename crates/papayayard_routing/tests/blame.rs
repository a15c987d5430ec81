//! The request that crashes its endpoints is quarantined on all hosts, and other requests
//! only rarely.

use std::time::Duration;

use papayayard_routing::blame::{Effect, Progress, Run, Status, Table};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rstest::rstest;

const CRASHING: Fingerprint = Fingerprint(666);
const NOW: Duration = Duration::from_hours(1);

fn run(number: u64) -> Run {
    Run {
        endpoint: id::Endpoint::from(format!("engine-{number}")),
        started: id::Incarnation(1),
    }
}

fn is_quarantined(table: &Table, fingerprint: Fingerprint, now: Duration) -> bool {
    matches!(table.status(fingerprint, now), Status::Quarantined { .. })
}

#[rstest]
#[case::once(&[Progress::Waiting], false)]
#[case::twice_before_any_event(&[Progress::Waiting, Progress::Waiting], true)]
#[case::twice_once_begun(&[Progress::Waiting, Progress::Begun], false)]
#[case::twice_begun(&[Progress::Begun, Progress::Begun], false)]
#[case::three_times_however_far(&[Progress::Begun, Progress::Begun, Progress::Begun], true)]
fn crashes_quarantine_a_request(#[case] crashes: &[Progress], #[case] quarantined: bool) {
    let mut table = Table::default();
    for (number, progress) in (0..).zip(crashes) {
        table.record_crash(CRASHING, &run(number), *progress, NOW);
    }
    assert_eq!(is_quarantined(&table, CRASHING, NOW), quarantined);
    assert_eq!(table.status(Fingerprint(1), NOW), Status::Clear);
}

/// Two hosts, or two identical requests, report the same crash.
#[test]
fn a_crash_counts_once() {
    let mut table = Table::default();
    for _ in 0..5 {
        table.record_crash(CRASHING, &run(1), Progress::Waiting, NOW);
    }
    assert_eq!(table.status(CRASHING, NOW), Status::Suspect);
    let restarted = Run {
        started: id::Incarnation(2),
        ..run(1)
    };
    let effect = table.record_crash(CRASHING, &restarted, Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Quarantined);
}

#[test]
fn the_worse_progress_of_a_crash_counts() {
    let mut table = Table::default();
    table.record_crash(CRASHING, &run(1), Progress::Begun, NOW);
    table.record_crash(CRASHING, &run(2), Progress::Begun, NOW);
    let again = table.record_crash(CRASHING, &run(1), Progress::Begun, NOW);
    assert_eq!(again, Effect::Unchanged);
    table.record_crash(CRASHING, &run(1), Progress::Waiting, NOW);
    let effect = table.record_crash(CRASHING, &run(2), Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Quarantined);
}

#[test]
fn a_completed_request_is_cleared_and_reported_if_quarantined() {
    let mut table = Table::default();
    table.record_crash(CRASHING, &run(1), Progress::Waiting, NOW);
    assert!(
        !table.record_success(CRASHING, NOW),
        "the request was not quarantined"
    );
    assert_eq!(table.status(CRASHING, NOW), Status::Clear);
    // Other hosts have not received the success.
    let effect = table.record_crash(CRASHING, &run(2), Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Disputed);
    assert_eq!(table.status(CRASHING, NOW), Status::Suspect);
    let effect = table.record_crash(CRASHING, &run(3), Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Quarantined);
    assert!(
        table.record_success(CRASHING, NOW),
        "the request was quarantined while still running"
    );
    assert_eq!(table.status(CRASHING, NOW), Status::Clear);
}

#[test]
fn hosts_with_the_same_crashes_reach_the_same_status() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let crashes: Vec<(Fingerprint, Run, Progress)> = (0..12)
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
        for (fingerprint, run, progress) in &crashes {
            in_order.record_crash(*fingerprint, run, *progress, NOW);
        }
        let mut shuffled = Table::default();
        for _ in 0..60 {
            let (fingerprint, run, progress) = &crashes[rng.next_u32() as usize % crashes.len()];
            shuffled.record_crash(*fingerprint, run, *progress, NOW);
        }
        for (fingerprint, run, progress) in crashes.iter().rev() {
            shuffled.record_crash(*fingerprint, run, *progress, NOW);
        }
        for fingerprint in (0..3).map(Fingerprint) {
            let status = in_order.status(fingerprint, NOW);
            assert_eq!(status, shuffled.status(fingerprint, NOW), "seed {seed}");
        }
    }
}

/// A request that ran beside the cause at two crashes is not quarantined, and no longer a
/// suspect after another crash without it.
#[test]
fn requests_with_the_same_crashes_are_not_quarantined_until_another_crash() {
    let bystander = Fingerprint(1);
    let mut table = Table::default();
    for number in 0..2 {
        table.record_crash(CRASHING, &run(number), Progress::Waiting, NOW);
        table.record_crash(bystander, &run(number), Progress::Waiting, NOW);
    }
    assert_eq!(table.status(CRASHING, NOW), Status::Suspect);
    assert_eq!(table.status(bystander, NOW), Status::Suspect);
    let effect = table.record_crash(CRASHING, &run(2), Progress::Waiting, NOW);
    assert_eq!(effect, Effect::Quarantined);
    assert_eq!(table.status(bystander, NOW), Status::Clear);
}

/// The crashes of one cause do not keep the other from being quarantined for long.
#[test]
fn two_crashing_requests_at_the_same_endpoints_are_both_quarantined() {
    let second = Fingerprint(667);
    let mut table = Table::default();
    for number in 0..4 {
        table.record_crash(CRASHING, &run(number), Progress::Waiting, NOW);
        if number > 0 {
            table.record_crash(second, &run(number), Progress::Waiting, NOW);
        }
    }
    assert!(is_quarantined(&table, CRASHING, NOW));
    assert_eq!(table.status(second, NOW), Status::Clear);
    table.record_crash(second, &run(4), Progress::Waiting, NOW);
    assert!(is_quarantined(&table, second, NOW));
}

/// Requests run at random at six endpoints. One request crashes each endpoint that runs it.
/// After a crash, this request and all others at the endpoint move to other endpoints at once.
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
        let mut crashes = 0;
        while !is_quarantined(&table, CRASHING, NOW) {
            crashes += 1;
            assert!(
                crashes <= 4,
                "seed {seed}: {crashes} endpoints have crashed"
            );
            let at = rng.next_u64() % 6;
            starts[usize::try_from(at).expect("a small number")] += 1;
            let crashed_run = Run {
                started: id::Incarnation(starts[usize::try_from(at).expect("a small number")]),
                ..run(at)
            };
            table.record_crash(CRASHING, &crashed_run, Progress::Waiting, NOW);
            for (fingerprint, place) in &mut open {
                if *place == at {
                    let progress = if rng.next_u32().is_multiple_of(4) {
                        Progress::Waiting
                    } else {
                        Progress::Begun
                    };
                    table.record_crash(*fingerprint, &crashed_run, progress, NOW);
                    *place = rng.next_u64() % 6;
                }
            }
        }
        let bystanders = (0..60).map(Fingerprint);
        quarantined += bystanders
            .filter(|fingerprint| is_quarantined(&table, *fingerprint, NOW))
            .count();
    }
    assert!(
        quarantined <= 25,
        "{quarantined} of 30,000 bystanders are quarantined"
    );
}

/// The caller retries every second, at all hosts, for a day.
#[test]
fn few_endpoints_crash_over_a_day() {
    let mut table = Table::default();
    let mut crashes = 0;
    for second in 0..24 * 3_600 {
        let now = NOW + Duration::from_secs(second);
        if !is_quarantined(&table, CRASHING, now) {
            crashes += 1;
            table.record_crash(CRASHING, &run(crashes), Progress::Waiting, now);
        }
    }
    assert!(crashes <= 9, "{crashes} endpoints crashed in a day");
}

#[test]
fn a_crash_expires() {
    let mut table = Table::default();
    table.record_crash(CRASHING, &run(1), Progress::Waiting, NOW);
    let later = NOW + Duration::from_hours(1);
    assert_eq!(table.status(CRASHING, later), Status::Clear);
    let effect = table.record_crash(CRASHING, &run(2), Progress::Waiting, later);
    assert_eq!(effect, Effect::Suspected);
}

#[test]
fn the_table_is_bounded_and_keeps_quarantined_requests() {
    let mut table = Table::default();
    for number in 0..2 {
        table.record_crash(CRASHING, &run(number), Progress::Waiting, NOW);
    }
    for number in 0..40_000 {
        let crashed_run = run(100 + number / 64);
        table.record_crash(
            Fingerprint(1_000 + number),
            &crashed_run,
            Progress::Begun,
            NOW,
        );
    }
    let others = (0..40_000).map(|number| Fingerprint(1_000 + number));
    let known = others.filter(|fingerprint| table.status(*fingerprint, NOW) == Status::Suspect);
    assert!(known.count() < 10_000);
    assert!(is_quarantined(&table, CRASHING, NOW));
}
