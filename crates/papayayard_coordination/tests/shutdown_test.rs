//! A stop refuses requests that it would have to cut.

use std::time::Duration;

use papayayard_coordination::shutdown::{Shutdown, Stage};
use rstest::rstest;

const BOUND: Duration = Duration::from_secs(8);
const ASKED: Duration = Duration::from_secs(100);

fn after(ms: u64) -> Duration {
    ASKED + Duration::from_millis(ms)
}

#[rstest]
#[case::at_once_even_a_long_one(0, 15_000, true)]
#[case::while_callers_are_told(2_500, 15_000, true)]
#[case::late_and_long(3_544, 15_000, false)]
#[case::late_and_long_on_a_kept_connection(5_407, 12_000, false)]
#[case::late_and_short(3_544, 800, true)]
#[case::too_late_even_for_a_short_one(7_000, 800, false)]
fn takes_what_ends_in_time(#[case] at_ms: u64, #[case] lasts_ms: u64, #[case] takes: bool) {
    let shutdown = Shutdown::new(ASKED, BOUND);
    let now = after(at_ms);
    let deadline = now + Duration::from_millis(lasts_ms);
    assert_eq!(shutdown.accepts(deadline, now), takes);
}

#[test]
fn stages_follow_one_another_within_the_bound() {
    let shutdown = Shutdown::new(ASKED, BOUND);
    assert_eq!(shutdown.stage_start(Stage::Leaving), ASKED);
    assert!(shutdown.stage_start(Stage::Leaving) < shutdown.stage_start(Stage::Closing));
    assert!(shutdown.stage_start(Stage::Closing) < shutdown.stage_start(Stage::Closed));
    assert!(shutdown.stage_start(Stage::Closed) < shutdown.cutoff());
    assert!(shutdown.cutoff() < ASKED + BOUND);
}

/// Requests sent within three seconds of the signal may be cut only at the very end.
#[test]
fn refuses_before_a_cut_would_be_a_loss() {
    let shutdown = Shutdown::new(ASKED, BOUND);
    assert!(shutdown.stage_start(Stage::Closing) <= after(2_900));
    assert!(shutdown.cutoff() >= after(8_000 * 5 / 6));
}
