//! Orders of two hosts are never closer than the lease.

use std::time::Duration;

use papayayard_coordination::turn::{ACTIVE, Turn};
use papayayard_wire::id;

const LEASE: Duration = Duration::from_secs(3);
const NOW: Duration = Duration::from_secs(100);

fn turn(host: &str) -> Turn {
    Turn::new(id::Host::from(host), LEASE)
}

#[test]
fn orders_are_given_for_a_short_time_after_an_append_was_sent() {
    let mut turn = turn("a");
    assert!(turn.may_append(NOW));
    assert_eq!(turn.leave(NOW), None);
    let answered = NOW + Duration::from_millis(400);
    turn.appended(7, NOW, answered);
    let leave = turn.leave(answered).expect("the turn is held");
    assert_eq!(leave.fence, id::Fence(8));
    assert_eq!(leave.end, NOW + ACTIVE, "counted from the sending");
    assert!(
        leave.send_before < leave.end,
        "an order takes time to arrive"
    );
    assert!(!leave.permits(leave.send_before));
    assert_eq!(turn.leave(leave.send_before), None);
}

/// A holder that is paused finds its turn over when it wakes, and another host
/// starts later than the last order could have arrived by the lease.
#[test]
fn no_order_of_a_paused_holder_arrives_near_those_of_the_next() {
    let mut paused = turn("a");
    let mut next = turn("b");
    paused.appended(7, NOW, NOW);
    next.seen(&id::Host::from("a"), 7, NOW);
    let step = Duration::from_millis(10);
    let mut time = NOW;
    let mut last_arrival = NOW;
    let first_order = loop {
        if let Some(leave) = paused.leave(time) {
            last_arrival = leave.end;
        }
        if next.may_append(time) {
            break time;
        }
        time += step;
    };
    assert!(first_order >= last_arrival + LEASE);
    assert_eq!(paused.leave(first_order), None);
}

#[test]
fn the_last_holder_goes_on_at_once_and_its_fence_rises() {
    let mut turn = turn("a");
    turn.appended(7, NOW, NOW);
    let later = NOW + Duration::from_secs(2);
    assert!(turn.may_append(later) && turn.was_last());
    turn.appended(9, later, later);
    assert_eq!(
        turn.leave(later).map(|leave| leave.fence),
        Some(id::Fence(10))
    );
}

#[test]
fn another_hosts_record_ends_the_turn() {
    let mut turn = turn("a");
    turn.appended(7, NOW, NOW);
    turn.seen(&id::Host::from("b"), 8, NOW);
    assert_eq!(turn.leave(NOW), None);
    assert!(!turn.may_append(NOW));
}

#[test]
fn a_refusal_by_a_higher_fence_ends_the_turn() {
    let mut turn = turn("a");
    turn.appended(7, NOW, NOW);
    turn.lost();
    assert_eq!(turn.leave(NOW), None);
    assert!(turn.needs_renewal(NOW));
}

#[test]
fn older_records_change_nothing() {
    let mut turn = turn("a");
    turn.appended(7, NOW, NOW);
    turn.seen(&id::Host::from("b"), 5, NOW);
    assert!(turn.was_last());
    assert_eq!(turn.last_offset(), Some(7));
}
