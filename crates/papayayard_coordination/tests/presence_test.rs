//! Ended hosts are told apart from live ones without a clock.

use papayayard_coordination::presence::Tracker;
use papayayard_wire::id;
use rstest::rstest;

fn host(index: u64) -> id::Host {
    id::Host::from(format!("host-{index}"))
}

/// Simulates a log to which each writer appends once per round; returns the tracker and
/// the end of the log.
fn simulate(writers: &[u64], rounds: u64) -> (Tracker, u64) {
    let mut tracker = Tracker::default();
    let mut end = 0;
    for _ in 0..rounds {
        for index in writers {
            tracker.observe(&host(*index), end);
            end += 1;
        }
    }
    (tracker, end)
}

#[rstest]
#[case::one(1)]
#[case::nine(9)]
#[case::many(295)]
fn all_hosts_that_append_are_live(#[case] hosts: u64) {
    let all: Vec<u64> = (0..hosts).collect();
    let (tracker, end) = simulate(&all, 4);
    assert_eq!(tracker.live_hosts(end).len(), all.len());
}

#[rstest]
#[case::of_nine(9, 3)]
#[case::most_of_them(20, 15)]
#[case::of_many(295, 160)]
fn hosts_that_stop_appending_have_ended(#[case] hosts: u64, #[case] ended: u64) {
    let all: Vec<u64> = (0..hosts).collect();
    let (mut tracker, mut end) = simulate(&all, 2);
    for round in 0..8 {
        for index in ended..hosts {
            tracker.observe(&host(index), end);
            end += 1;
        }
        let live = tracker.live_hosts(end).len() as u64;
        assert!(
            live >= hosts - ended,
            "a live host is missed in round {round}"
        );
    }
    let live = tracker.live_hosts(end);
    assert_eq!(live.len() as u64, hosts - ended);
    assert!(!live.contains(&&host(0)));
}

/// Restarted hosts append a record immediately, in addition to their periodic ones.
#[test]
fn many_restarts_do_not_remove_other_hosts() {
    let all: Vec<u64> = (0..100).collect();
    let (mut tracker, mut end) = simulate(&all, 1);
    for index in 1..80 {
        tracker.observe(&host(index), end);
        end += 1;
    }
    assert_eq!(tracker.live_hosts(end).len(), all.len());
}

#[test]
fn a_host_that_announces_its_end_is_removed_at_once() {
    let (mut tracker, end) = simulate(&[0, 1, 2], 2);
    tracker.remove(&host(1));
    assert_eq!(tracker.live_hosts(end), [&host(0), &host(2)]);
    tracker.observe(&host(1), end);
    assert_eq!(
        tracker.live_hosts(end + 1).len(),
        3,
        "the host has restarted"
    );
}

#[test]
fn an_older_record_changes_nothing() {
    let (mut tracker, end) = simulate(&[0, 1], 9);
    tracker.observe(&host(0), 0);
    assert_eq!(tracker.live_hosts(end).len(), 2);
}

/// Hosts counted too few after the log was restored, and each sent more than its share.
#[rstest]
#[case::one(1)]
#[case::nine(9)]
#[case::many(80)]
fn hosts_are_counted_while_they_write_again_to_a_restored_log(#[case] hosts: u64) {
    let all: Vec<u64> = (0..hosts).collect();
    let (mut tracker, end) = simulate(&all, 4);
    let mut end = end / 2;
    tracker.restore(end);
    for index in &all {
        assert_eq!(tracker.live_hosts(end).len(), all.len());
        tracker.observe(&host(*index), end);
        end += 1;
    }
    assert_eq!(tracker.live_hosts(end).len(), all.len());
}

#[test]
fn a_host_that_ended_in_the_lost_time_is_not_counted_for_ever() {
    let (mut tracker, end) = simulate(&[0, 1, 2], 9);
    let mut end = end / 2;
    tracker.restore(end);
    for _ in 0..5 {
        for index in [1, 2] {
            tracker.observe(&host(index), end);
            end += 1;
        }
    }
    assert_eq!(tracker.live_hosts(end), [&host(1), &host(2)]);
}
