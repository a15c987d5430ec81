use std::time::Duration;

use papayayard_coordination::reader::Rank;

use super::Polling;
use crate::host::{CRASHES_POLLING, ENDPOINTS_POLLING, OPERATORS_POLLING};

/// Time within which published configuration must be in force on every host.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time within which a leaving endpoint must stop receiving requests.
const LEAVING: Duration = Duration::from_secs(2);
/// Time within which all hosts must know which requests were open at a crashed endpoint.
const KNOWN: Duration = Duration::from_secs(3);
/// Time for the subsequent call to the store.
const CALL: Duration = Duration::from_millis(300);

/// Worst case: the host that reads for others is partitioned right after its last request
/// to the store. Another host polls it and either learns that the reading is stale, and
/// then reads the store or polls the host that has, or gets no answer.
fn max_detection_time(polling: Polling) -> Duration {
    let polling = polling.for_rank(Rank::Other);
    let stale = polling.max_age();
    let unanswered =
        polling.wait + polling.pause + polling.max_wait() + crate::peers::ANSWER_TIMEOUT;
    stale.max(unanswered)
}

#[test]
fn configuration_is_in_force_in_time_despite_a_partitioned_reader() {
    assert!(max_detection_time(OPERATORS_POLLING) + CALL <= IN_FORCE);
}

#[test]
fn a_leaving_endpoint_is_noticed_in_time_despite_a_partitioned_reader() {
    assert!(max_detection_time(ENDPOINTS_POLLING) + CALL <= LEAVING);
}

#[test]
fn a_crash_is_known_in_time_despite_a_partitioned_reader() {
    assert!(max_detection_time(CRASHES_POLLING) + CALL <= KNOWN);
}

/// A host that reads normally must not be mistaken for a partitioned one: just before a
/// reading ends, the previous one is two periods old.
#[test]
fn a_reading_is_not_stale_before_the_next_is_overdue() {
    let requested_at = Duration::from_secs(100);
    for polling in [OPERATORS_POLLING, ENDPOINTS_POLLING, CRASHES_POLLING] {
        let polling = polling.for_rank(Rank::First);
        let call = Duration::from_millis(50);
        let replaced = requested_at + (polling.wait + polling.pause + call) * 2;
        assert!(!polling.is_stale(requested_at, replaced));
        assert!(polling.is_stale(requested_at, replaced + Duration::from_millis(150)));
        assert!(polling.max_wait() >= polling.wait + polling.pause + call);
    }
}
