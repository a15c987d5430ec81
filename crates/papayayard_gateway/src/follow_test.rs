use std::time::Duration;

use super::Beat;
use crate::host::{ENDPOINTS, OPERATORS};

/// Time within which what operators publish is in force on every host.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time within which an endpoint that leaves gets no more requests.
const LEAVING: Duration = Duration::from_secs(2);
/// Time for the call to the store that follows.
const CALL: Duration = Duration::from_millis(300);

/// The host that reads for others is cut off right after a reading. Another
/// host has just asked it, waits for an answer that does not come, asks the next
/// one, which has nothing newer and says so at once, and reads the store.
fn longest_unnoticed(beat: Beat) -> Duration {
    let asked_last = beat.wait + beat.pause;
    asked_last + beat.wait + crate::peers::ANSWER_TIMEOUT
}

#[test]
fn what_operators_publish_is_in_force_in_time_past_a_host_that_is_cut_off() {
    assert!(longest_unnoticed(OPERATORS) + CALL <= IN_FORCE);
    assert!(OPERATORS.oldest() + CALL <= IN_FORCE);
}

#[test]
fn a_leaving_endpoint_is_noticed_in_time_past_a_host_that_is_cut_off() {
    assert!(longest_unnoticed(ENDPOINTS) + CALL <= LEAVING);
    assert!(ENDPOINTS.oldest() + CALL <= LEAVING);
}

#[test]
fn a_reading_is_old_once_the_next_is_overdue() {
    let asked = Duration::from_secs(100);
    let usual = OPERATORS.wait + Duration::from_millis(50);
    assert!(!OPERATORS.is_old(asked, asked + usual));
    assert!(OPERATORS.is_old(asked, asked + OPERATORS.wait * 2));
}
