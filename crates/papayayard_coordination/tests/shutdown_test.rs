//! A stop refuses requests that it would have to cut.

use std::time::Duration;

use papayayard_coordination::shutdown::{Shutdown, Stage};
use rstest::rstest;

const BOUND: Duration = Duration::from_secs(8);
const REQUESTED_AT: Duration = Duration::from_secs(100);

fn after(ms: u64) -> Duration {
    REQUESTED_AT + Duration::from_millis(ms)
}

#[rstest]
#[case::at_once_even_a_long_one(0, 15_000, true)]
#[case::while_callers_are_notified(2_500, 15_000, true)]
#[case::late_and_long(3_544, 15_000, false)]
#[case::late_and_long_on_a_reused_connection(5_407, 12_000, false)]
#[case::late_and_short(3_544, 800, true)]
#[case::late_and_lasting_until_requests_are_cut(3_544, 4_136, false)]
#[case::too_late_even_for_a_short_one(7_000, 800, false)]
fn accepts_requests_in_time(#[case] at_ms: u64, #[case] lasts_ms: u64, #[case] accepts: bool) {
    let shutdown = Shutdown::new(REQUESTED_AT, BOUND);
    let now = after(at_ms);
    let deadline = now + Duration::from_millis(lasts_ms);
    assert_eq!(shutdown.accepts(deadline, now), accepts);
}

#[test]
fn stages_are_ordered_and_end_within_the_bound() {
    let shutdown = Shutdown::new(REQUESTED_AT, BOUND);
    assert_eq!(shutdown.stage_start(Stage::Leaving), REQUESTED_AT);
    assert!(shutdown.stage_start(Stage::Leaving) < shutdown.stage_start(Stage::Closing));
    assert!(shutdown.stage_start(Stage::Closing) < shutdown.stage_start(Stage::Closed));
    assert!(shutdown.stage_start(Stage::Closed) < shutdown.cutoff());
    assert!(shutdown.cutoff() < REQUESTED_AT + BOUND);
}

/// A request that was taken late in a stop ran until its deadline, and was cut at that very
/// moment instead of being answered.
#[test]
fn late_requests_are_answered_before_running_ones_are_cut() {
    let shutdown = Shutdown::new(REQUESTED_AT, BOUND);
    let late = shutdown.stage_start(Stage::Closing);
    let answer_time = Duration::from_millis(100);
    for ms in 0..8_000 {
        let deadline = after(ms);
        let is_answered = deadline + answer_time <= shutdown.cutoff();
        assert!(is_answered || !shutdown.accepts(deadline, late), "{ms} ms");
    }
}

/// Requests sent within three seconds of the signal may be cut only at the very end.
#[test]
fn refuses_requests_before_cutting_them_would_lose_work() {
    let shutdown = Shutdown::new(REQUESTED_AT, BOUND);
    assert!(shutdown.stage_start(Stage::Closing) <= after(2_900));
    assert!(shutdown.cutoff() >= after(8_000 * 5 / 6));
}
