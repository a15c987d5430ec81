//! Ejection of a failing endpoint, and its gradual return.

use std::time::Duration;

use papayayard_routing::ejection::Health;
use rstest::rstest;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn failed(times: u32) -> Health {
    let mut health = Health::default();
    for _ in 0..times {
        health.record_failure(ms(0));
    }
    health
}

#[rstest]
#[case::one(1, true)]
#[case::two(2, true)]
#[case::three(3, false)]
fn three_failures_in_a_row_eject(#[case] failures: u32, #[case] permits: bool) {
    assert_eq!(failed(failures).permits(0, ms(1)), permits);
}

#[test]
fn a_complete_answer_resets_the_failure_count() {
    let mut health = failed(2);
    health.record_success(ms(0));
    health.record_failure(ms(0));
    assert!(health.permits(0, ms(1)));
}

#[test]
fn probes_start_at_one_and_double() {
    let mut health = failed(3);
    let now = ms(500);
    assert!(health.permits(0, now));
    assert!(!health.permits(1, now), "one probe at a time");
    for permits in [2, 4, 8] {
        health.record_success(now);
        assert!(health.permits(permits - 1, now));
        assert!(!health.permits(permits, now));
    }
    health.record_success(now);
    assert!(health.permits(1_000, now));
}

#[test]
fn ejection_time_doubles_and_is_capped() {
    let mut health = failed(3);
    let mut now = ms(0);
    for ejection_time in [500, 1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        assert!(!health.permits(0, now + ms(ejection_time - 1)));
        now += ms(ejection_time);
        assert!(health.permits(0, now));
        health.record_failure(now);
    }
}

#[test]
fn an_answer_to_an_earlier_request_does_not_end_the_ejection() {
    let mut health = failed(3);
    health.record_success(ms(100));
    assert!(!health.permits(0, ms(200)));
}

#[test]
fn an_answer_to_a_trial_ends_the_ejection() {
    let mut health = failed(3);
    assert!(!health.is_testable_after(ms(500), ms(499)));
    assert!(health.is_testable_after(ms(500), ms(500)));
    health.record_failure(ms(500));
    health.record_failure(ms(700));
    health.record_answer(ms(499), ms(1_000));
    assert!(!health.permits(0, ms(1_499)), "the second ejection lasts");
    assert!(health.is_testable_after(ms(500), ms(1_000)));
    health.record_answer(ms(1_000), ms(1_050));
    assert!(health.permits(1, ms(1_050)));
    assert!(!health.permits(2, ms(1_050)));
}
