//! Which requests are refused after which crashes and successes.

use std::time::Duration;

use papayayard_routing::blame::{Run, Subjects, Table};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use rstest::rstest;

const DEADLY: u64 = 7;
const FIRST: u64 = 1;
const NEXT: u64 = 2;
const NOW: Duration = Duration::from_hours(1);
const SECOND: Duration = Duration::from_secs(1);

fn run(number: u64) -> Run {
    Run {
        endpoint: id::Endpoint::from(format!("engine-{number}")),
        started: id::Incarnation(1),
    }
}

/// A request that no other one resembles, but for these parts.
fn subjects(parts: &[u64]) -> Subjects {
    Subjects {
        request: Fingerprint(1_000),
        parts: parts.iter().copied().map(Fingerprint).collect(),
    }
}

fn refuses(table: &Table, parts: &[u64], now: Duration) -> bool {
    table.quarantine(&subjects(parts), now).is_some()
}

fn crash(table: &mut Table, number: u64, parts: &[u64], now: Duration) {
    for part in parts {
        table.record_part_crash(Fingerprint(*part), &run(number), Some(now), now);
    }
}

fn succeed(table: &mut Table, parts: &[u64], now: Duration) -> Vec<Fingerprint> {
    table.record_part_successes(&subjects(parts).parts, now)
}

/// A table with crashes a second apart, at which these parts were open.
fn crashed(crashes: &[&[u64]]) -> Table {
    let mut table = Table::default();
    for (number, parts) in (0..).zip(crashes) {
        crash(&mut table, number, parts, at(number));
    }
    table
}

fn at(second: u64) -> Duration {
    NOW + SECOND * u32::try_from(second).expect("a small number")
}

#[rstest]
#[case::too_few(&[&[DEADLY, FIRST][..], &[DEADLY, FIRST]], &[DEADLY, FIRST], false)]
#[case::the_part_and_its_companion(&[&[DEADLY, FIRST][..]; 3], &[DEADLY, FIRST], true)]
#[case::the_companion_alone(&[&[DEADLY, FIRST][..]; 3], &[FIRST, NEXT], false)]
#[case::the_part_alone_may_show_which(&[&[DEADLY, FIRST][..]; 3], &[DEADLY, NEXT], false)]
#[case::separated_by_a_crash_without_the_companion(
    &[&[DEADLY, FIRST][..], &[DEADLY, FIRST], &[DEADLY, FIRST], &[DEADLY]],
    &[DEADLY, NEXT],
    true,
)]
#[case::the_companion_once_separated(
    &[&[DEADLY, FIRST][..], &[DEADLY, FIRST], &[DEADLY, FIRST], &[DEADLY]],
    &[FIRST],
    false,
)]
fn a_request_with_all_likely_parts_is_refused(
    #[case] crashes: &[&[u64]],
    #[case] parts: &[u64],
    #[case] is_refused: bool,
) {
    let table = crashed(crashes);
    assert_eq!(refuses(&table, parts, at(5)), is_refused);
}

/// A part that has completed lately is neither blamed nor hides the part that has not.
#[test]
fn a_part_that_completes_does_not_hide_the_cause() {
    let mut table = Table::default();
    succeed(&mut table, &[FIRST], NOW);
    for number in 0..4 {
        crash(&mut table, number, &[FIRST], NOW);
    }
    for number in 4..7 {
        crash(&mut table, number, &[FIRST, DEADLY], NOW);
    }
    assert!(refuses(&table, &[DEADLY, NEXT], NOW));
    assert!(!refuses(&table, &[FIRST, NEXT], NOW));
}

/// A zone is lost: all endpoints crash at once, before any further answer completes.
#[test]
fn crashes_at_one_moment_do_not_blame_a_part_that_completes() {
    let mut table = Table::default();
    succeed(&mut table, &[FIRST], NOW);
    for number in 0..12 {
        crash(&mut table, number, &[FIRST], NOW + SECOND);
    }
    assert!(!refuses(&table, &[FIRST], NOW + SECOND));
}

#[test]
fn a_success_lifts_the_quarantine_and_is_reported_once() {
    let mut table = crashed(&[&[DEADLY][..]; 3]);
    assert!(refuses(&table, &[DEADLY], at(3)));
    let parts = succeed(&mut table, &[DEADLY], at(4));
    assert_eq!(parts, [Fingerprint(DEADLY)]);
    assert!(!refuses(&table, &[DEADLY], at(4)));
    table.record_part_cleared(Fingerprint(DEADLY), at(5));
    assert!(succeed(&mut table, &[DEADLY], at(6)).is_empty());
    crash(&mut table, 9, &[DEADLY], at(7));
    let parts = succeed(&mut table, &[DEADLY], at(8));
    assert!(parts.is_empty(), "other hosts count a single crash");
}

/// A host that starts later reads old reports all at once.
#[rstest]
#[case::never_completed(&[], true)]
#[case::completed_lately_elsewhere(&[DEADLY], false)]
fn old_reports_blame_a_part_that_never_completed(#[case] sound: &[u64], #[case] is_refused: bool) {
    let mut table = Table::default();
    for part in sound {
        table.record_part_sound(Fingerprint(*part), NOW);
    }
    for number in 0..4 {
        table.record_part_crash(Fingerprint(DEADLY), &run(number), None, NOW);
    }
    assert_eq!(refuses(&table, &[DEADLY], NOW), is_refused);
}

/// Requests with the part come every second for a day, while others complete.
#[test]
fn few_endpoints_crash_over_a_day() {
    let mut table = Table::default();
    let mut crashes = 0;
    for second in 0..24 * 3_600 {
        let now = at(second);
        if !refuses(&table, &[DEADLY, FIRST], now) {
            crashes += 1;
            crash(&mut table, crashes, &[DEADLY, FIRST], now);
        }
        succeed(&mut table, &[FIRST], now);
    }
    assert!(crashes <= 9, "{crashes} endpoints crashed in a day");
}

/// All endpoints crash for a time, whatever they run. Nothing completes, so that nothing
/// shows whether requests without the part would fare better.
#[test]
fn a_part_of_all_requests_is_tried_again_soon() {
    let table = crashed(&[&[FIRST][..]; 4]);
    assert!(refuses(&table, &[FIRST], at(4)));
    assert!(!refuses(&table, &[FIRST], at(60)));
}

#[test]
fn many_parts_do_not_evict_the_deadly_one() {
    let mut table = crashed(&[&[DEADLY][..]; 3]);
    succeed(&mut table, &[FIRST], at(3));
    for number in 0..40_000 {
        crash(
            &mut table,
            100 + number / 64,
            &[1_000 + number, FIRST],
            at(3),
        );
        succeed(&mut table, &[FIRST], at(3));
    }
    assert!(refuses(&table, &[DEADLY], at(3)));
    assert!(!refuses(&table, &[FIRST, NEXT], at(3)));
}
