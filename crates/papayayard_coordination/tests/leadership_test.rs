//! Orders of two hosts are at least the lease apart.

use std::time::Duration;

use papayayard_coordination::leadership::{Leadership, TERM_DURATION};
use papayayard_wire::id;
use papayayard_wire::log::{Era, Offset, Position};

const LEASE: Duration = Duration::from_secs(3);
const NOW: Duration = Duration::from_secs(100);

/// Era after the log was restored from an older copy.
const RESTORED: Era = Era(1);

/// Position in a log that was never restored.
fn at(offset: u64) -> Position {
    Position {
        era: Era::default(),
        offset: Offset(offset),
    }
}

fn restored_at(offset: u64) -> Position {
    Position {
        era: RESTORED,
        offset: Offset(offset),
    }
}

fn leadership(host: &str) -> Leadership {
    Leadership::new(id::Host::from(host), LEASE)
}

#[test]
fn orders_are_given_for_a_short_time_after_an_append_was_sent() {
    let mut leadership = leadership("a");
    assert!(leadership.may_append(NOW));
    assert_eq!(leadership.permit(NOW), None);
    let answered = NOW + Duration::from_millis(400);
    leadership.appended(at(7), NOW, answered);
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
    paused.appended(at(7), NOW, NOW);
    next.observe(&id::Host::from("a"), at(7), NOW);
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
    leadership.appended(at(7), NOW, NOW);
    let later = NOW + Duration::from_secs(2);
    assert!(leadership.may_append(later) && leadership.was_last_leader());
    leadership.appended(at(9), later, later);
    assert_eq!(
        leadership.permit(later).map(|permit| permit.fence),
        Some(id::Fence(10))
    );
}

#[test]
fn a_record_of_another_host_ends_leadership() {
    let mut leadership = leadership("a");
    leadership.appended(at(7), NOW, NOW);
    leadership.observe(&id::Host::from("b"), at(8), NOW);
    assert_eq!(leadership.permit(NOW), None);
    assert!(!leadership.may_append(NOW));
}

#[test]
fn a_refusal_by_a_higher_fence_ends_leadership() {
    let mut leadership = leadership("a");
    leadership.appended(at(7), NOW, NOW);
    leadership.step_down();
    assert_eq!(leadership.permit(NOW), None);
    assert!(leadership.needs_renewal(NOW));
}

#[test]
fn older_records_change_nothing() {
    let mut leadership = leadership("a");
    leadership.appended(at(7), NOW, NOW);
    leadership.observe(&id::Host::from("b"), at(5), NOW);
    assert!(leadership.was_last_leader());
    assert_eq!(leadership.append_offset(at(0)), 8);
}

/// Endpoints refused all orders after the log was restored, since the offsets that number
/// them were assigned again.
#[test]
fn fences_rise_although_a_restored_log_assigns_offsets_again() {
    let mut leadership = leadership("a");
    leadership.enter_era(Era::default(), NOW);
    leadership.appended(at(70), NOW, NOW);
    let before = leadership
        .permit(NOW)
        .expect("this host is the leader")
        .fence;
    let later = NOW + Duration::from_secs(30);
    leadership.enter_era(RESTORED, NOW + Duration::from_secs(5));
    assert!(leadership.may_append(later));
    assert_eq!(leadership.append_offset(restored_at(12)), 12, "not 71");
    leadership.appended(restored_at(12), later, later);
    let after = leadership.permit(later).expect("this host is the leader");
    assert!(after.fence > before, "{:?} after {before:?}", after.fence);
}

/// Two hosts gave orders at once: one held leadership by a record that the log had lost.
#[test]
fn leadership_is_not_acquired_before_orders_of_a_lost_record_are_a_lease_old() {
    let mut lost = leadership("a");
    lost.appended(at(70), NOW, NOW);
    // The log is restored at once; neither a host that has followed it nor one that has
    // just started finds a trace of the leader.
    let mut follower = leadership("b");
    follower.enter_era(Era::default(), NOW);
    let mut started = leadership("c");
    let last_order = NOW + TERM_DURATION;
    for other in [&mut follower, &mut started] {
        other.enter_era(RESTORED, NOW);
        assert!(!other.may_append(last_order + LEASE));
        assert!(other.may_append(last_order + LEASE + Duration::from_millis(50)));
    }
    lost.enter_era(RESTORED, NOW);
    assert_eq!(lost.permit(NOW), None, "its term ends with the era");
}

/// Weights came four seconds late after each return of the log, though the leader had been the
/// only one that could have led.
#[test]
fn the_leader_goes_on_in_a_restored_log_within_its_lease() {
    let within = NOW + Duration::from_millis(2_900);
    let late = NOW + LEASE;
    for (returned, goes_on) in [(within, true), (late, false)] {
        let mut leader = leadership("a");
        leader.enter_era(Era::default(), NOW);
        leader.appended(at(70), NOW, NOW);
        leader.enter_era(RESTORED, returned);
        assert_eq!(leader.permit(returned), None, "it has no record here yet");
        assert_eq!(leader.may_append(returned), goes_on);
        let mut other = leadership("b");
        other.enter_era(Era::default(), NOW);
        other.observe(&id::Host::from("a"), at(70), NOW);
        other.enter_era(RESTORED, returned);
        assert!(!other.may_append(returned + LEASE));
    }
}

/// A host that has lost leadership to another one knows nothing of the lost records.
#[test]
fn a_former_leader_waits_in_a_restored_log() {
    let mut former = leadership("a");
    former.enter_era(Era::default(), NOW);
    former.appended(at(70), NOW, NOW);
    former.observe(&id::Host::from("b"), at(71), NOW);
    former.enter_era(RESTORED, NOW);
    assert!(!former.may_append(NOW + LEASE));
}

/// The offset that an append requires can come true again in an era that the host has not
/// read.
#[test]
fn an_append_in_an_unread_era_gives_no_leadership() {
    let mut leadership = leadership("a");
    leadership.enter_era(Era::default(), NOW);
    leadership.appended(restored_at(7), NOW, NOW);
    assert_eq!(leadership.permit(NOW), None);
    assert!(!leadership.may_append(NOW + LEASE));
}

/// A leader that reached no endpoint renewed its leadership for as long as weights were
/// outdated, and no host could give orders.
#[test]
fn a_detached_leader_is_followed_by_another_as_if_it_had_crashed() {
    let step = Duration::from_millis(10);
    let mut detached = leadership("a");
    let mut next = leadership("b");
    detached.appended(at(7), NOW, NOW);
    next.observe(&id::Host::from("a"), at(7), NOW);
    let end = detached.permit(NOW).expect("the leader").end;
    assert!(detached.set_detached(true));
    let mut time = NOW;
    while !next.may_append(time) {
        assert_eq!(detached.permit(time), None);
        assert!(!detached.may_append(time));
        time += step;
    }
    assert!(time >= end + LEASE);
    next.appended(at(8), time, time);
    detached.observe(&id::Host::from("b"), at(8), time);
    assert!(!detached.set_detached(false));
    assert!(!detached.may_append(time + LEASE));
}

/// The append was on its way when the host lost its way to the endpoints.
#[test]
fn an_append_that_succeeds_late_gives_a_detached_host_no_leadership() {
    let mut leadership = leadership("a");
    leadership.set_detached(true);
    leadership.appended(at(7), NOW, NOW);
    assert_eq!(leadership.permit(NOW), None);
    leadership.set_detached(false);
    assert_eq!(leadership.permit(NOW), None);
    assert!(leadership.may_append(NOW));
    leadership.appended(at(8), NOW, NOW);
    assert_eq!(
        leadership.permit(NOW).map(|permit| permit.fence),
        Some(id::Fence(9))
    );
}
