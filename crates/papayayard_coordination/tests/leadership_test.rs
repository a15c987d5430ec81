//! Orders of two hosts are at least the lease apart.

use std::time::Duration;

use papayayard_coordination::leadership::{Leadership, TERM_DURATION};
use papayayard_wire::id;

const LEASE: Duration = Duration::from_secs(3);
const NOW: Duration = Duration::from_secs(100);

fn leadership(host: &str) -> Leadership {
    Leadership::new(id::Host::from(host), LEASE)
}

#[test]
fn orders_are_given_for_a_short_time_after_an_append_was_sent() {
    let mut leadership = leadership("a");
    assert!(leadership.may_append(NOW));
    assert_eq!(leadership.permit(NOW), None);
    let answered = NOW + Duration::from_millis(400);
    leadership.appended(7, NOW, answered);
    let permit = leadership
        .permit(answered)
        .expect("this host is the leader");
    assert_eq!(permit.fence, id::Fence(8));
    assert_eq!(
        permit.end,
        NOW + TERM_DURATION,
        "counted from when the append was sent"
    );
    assert!(
        permit.send_before < permit.end,
        "an order takes time to arrive"
    );
    assert!(!permit.allows_sending(permit.send_before));
    assert_eq!(leadership.permit(permit.send_before), None);
}

/// A paused leader finds its permit expired when it resumes, and the next host starts
/// at least the lease after the last order could have arrived.
#[test]
fn orders_of_a_paused_leader_and_the_next_are_at_least_the_lease_apart() {
    let mut paused = leadership("a");
    let mut next = leadership("b");
    paused.appended(7, NOW, NOW);
    next.observe(&id::Host::from("a"), 7, NOW);
    let step = Duration::from_millis(10);
    let mut time = NOW;
    let mut last_arrival = NOW;
    let first_order = loop {
        if let Some(permit) = paused.permit(time) {
            last_arrival = permit.end;
        }
        if next.may_append(time) {
            break time;
        }
        time += step;
    };
    assert!(first_order >= last_arrival + LEASE);
    assert_eq!(paused.permit(first_order), None);
}

#[test]
fn the_last_leader_continues_at_once_with_a_higher_fence() {
    let mut leadership = leadership("a");
    leadership.appended(7, NOW, NOW);
    let later = NOW + Duration::from_secs(2);
    assert!(leadership.may_append(later) && leadership.was_last_leader());
    leadership.appended(9, later, later);
    assert_eq!(
        leadership.permit(later).map(|permit| permit.fence),
        Some(id::Fence(10))
    );
}

#[test]
fn a_record_of_another_host_ends_leadership() {
    let mut leadership = leadership("a");
    leadership.appended(7, NOW, NOW);
    leadership.observe(&id::Host::from("b"), 8, NOW);
    assert_eq!(leadership.permit(NOW), None);
    assert!(!leadership.may_append(NOW));
}

#[test]
fn a_refusal_by_a_higher_fence_ends_leadership() {
    let mut leadership = leadership("a");
    leadership.appended(7, NOW, NOW);
    leadership.step_down();
    assert_eq!(leadership.permit(NOW), None);
    assert!(leadership.needs_renewal(NOW));
}

#[test]
fn older_records_change_nothing() {
    let mut leadership = leadership("a");
    leadership.appended(7, NOW, NOW);
    leadership.observe(&id::Host::from("b"), 5, NOW);
    assert!(leadership.was_last_leader());
    assert_eq!(leadership.last_offset(), Some(7));
}
