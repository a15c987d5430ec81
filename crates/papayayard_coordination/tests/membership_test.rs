//! Membership: the lagging list, direct contact, suspicion and cost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use papayayard_coordination::{membership, pace, replay};
use papayayard_wire::{directory, id, peer, proof};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

fn name(index: usize) -> id::Host {
    id::Host::from(format!("host-{index}"))
}

fn zone(index: usize) -> id::Zone {
    id::Zone::from(format!("zone-{}", index % 3))
}

fn list(count: usize) -> directory::List {
    let host = |index| directory::Host {
        id: name(index),
        zone: zone(index),
        peer: ([127, 0, 0, 1], 7_000).into(),
        state: directory::State::Live,
    };
    directory::List {
        hosts: (0..count).map(host).collect(),
        endpoints: Vec::new(),
    }
}

fn table(count: usize) -> membership::Table {
    let limits = pace::Limits::default();
    let mut table = membership::Table::new(name(0), zone(0), limits, Duration::ZERO);
    table.update(list(count), Duration::ZERO);
    table
}

fn random(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

fn contact<'a>(host: &'a id::Host, member: &'a peer::Member) -> membership::Contact<'a> {
    membership::Contact {
        host,
        member: Some(member),
        state: peer::State::Serving,
        speaks: peer::VERSION,
    }
}

fn location(index: usize) -> peer::Member {
    peer::Member {
        zone: zone(index),
        peer: ([127, 0, 0, 1], 7_001).into(),
    }
}

/// Runs the table for `span` seconds; each call to a host in `unreachable` fails.
fn run(
    table: &mut membership::Table,
    unreachable: &BTreeSet<id::Host>,
    span: std::ops::Range<u64>,
    seed: u64,
) -> Vec<(Duration, id::Host)> {
    let mut random = random(seed);
    let mut calls = Vec::new();
    let end = Duration::from_secs(span.end);
    let mut now = Duration::from_secs(span.start).max(table.next_at());
    while now < end {
        for target in table.tick(now, &mut random) {
            calls.push((now, target.host.clone()));
            table.charge(1_000, now);
            if unreachable.contains(&target.host) {
                table.record_failure(&target.host, now, &mut random);
            } else {
                let member = location(0);
                table.record_contact(&contact(&target.host, &member), now);
            }
        }
        now = table.next_at();
    }
    calls
}

#[test]
fn calls_go_mostly_to_the_local_zone_and_rotate_over_its_peers() {
    let mut table = table(30);
    let calls = run(&mut table, &BTreeSet::new(), 0..300, 1);
    let mut counts: BTreeMap<id::Host, u32> = BTreeMap::new();
    for (_, host) in &calls {
        *counts.entry(host.clone()).or_default() += 1;
    }
    let same_zone: Vec<u32> = (3..30)
        .step_by(3)
        .map(|index| counts.get(&name(index)).copied().unwrap_or(0))
        .collect();
    let same_zone_sum: u32 = same_zone.iter().sum();
    assert!(
        same_zone_sum as usize * 3 >= calls.len() * 2,
        "{same_zone_sum}"
    );
    let spread = same_zone.iter().max().unwrap() - same_zone.iter().min().unwrap();
    assert!(spread <= 1, "{same_zone:?}");
}

#[rstest]
#[case(3)]
#[case(30)]
#[case(510)]
fn the_call_rate_does_not_grow_with_the_number_of_hosts(#[case] count: usize) {
    let mut table = table(count);
    let calls = run(&mut table, &BTreeSet::new(), 0..600, 2);
    assert!((300..=500).contains(&calls.len()), "{}", calls.len());
}

#[test]
fn a_calling_host_is_known_before_it_is_listed() {
    let mut table = table(3);
    let newcomer = name(9);
    table.record_contact(&contact(&newcomer, &location(9)), Duration::from_secs(1));
    assert!(table.get(&newcomer).unwrap().listed.is_none());
    assert!(table.counted().contains(&newcomer));
    table.update(list(10), Duration::from_secs(2));
    assert!(table.get(&newcomer).unwrap().listed.is_some());
}

#[test]
fn an_unresponsive_host_is_suspected_but_only_the_list_removes_it() {
    let mut table = table(3);
    let unreachable = BTreeSet::from([name(1), name(2)]);
    run(&mut table, &unreachable, 0..1_200, 3);
    assert!(table.is_suspected(&name(1)));
    assert_eq!(table.counted().len(), 3);
}

#[rstest]
#[case::within_retention(599, true)]
#[case::forgotten(601, false)]
fn a_removed_host_is_counted_during_retention(#[case] second: u64, #[case] counted: bool) {
    let mut table = table(3);
    table.update(list(2), Duration::ZERO);
    table.update(list(2), Duration::from_secs(second));
    assert_eq!(table.counted().contains(&name(2)), counted);
}

#[test]
fn a_host_that_sends_a_leave_notice_is_no_longer_counted_or_called() {
    let mut table = table(3);
    let leaving = name(1);
    let member = location(1);
    let mut leave_notice = contact(&leaving, &member);
    leave_notice.state = peer::State::Left;
    table.record_contact(&leave_notice, Duration::from_secs(1));
    assert!(!table.counted().contains(&leaving));
    let calls = run(&mut table, &BTreeSet::new(), 2..60, 4);
    assert!(calls.iter().all(|(_, host)| *host != leaving));
}

#[test]
fn a_healed_partition_causes_no_burst() {
    let mut table = table(12);
    let unreachable: BTreeSet<id::Host> = (0..12).filter(|i| i % 3 != 0).map(name).collect();
    run(&mut table, &unreachable, 0..600, 5);
    assert!(unreachable.iter().all(|host| table.is_suspected(host)));
    let calls = run(&mut table, &BTreeSet::new(), 600..720, 6);
    let most = (600..720)
        .map(|second| {
            calls
                .iter()
                .filter(|(at, _)| at.as_secs() == second)
                .count()
        })
        .max();
    assert!(most.unwrap() <= 2, "{most:?}");
    assert!(unreachable.iter().all(|host| !table.is_suspected(host)));
}

#[test]
fn suspected_peers_are_called_less_and_recover() {
    let mut table = table(3);
    let unreachable = BTreeSet::from([name(1), name(2)]);
    let calls = run(&mut table, &unreachable, 0..600, 7);
    assert!(calls.len() < 60, "{}", calls.len());
    run(&mut table, &BTreeSet::new(), 600..660, 8);
    assert!(!table.is_suspected(&name(1)));
    assert!(!table.is_suspected(&name(2)));
}

#[test]
fn urgent_updates_are_sent_at_once_within_the_budget() {
    let mut table = table(30);
    let mut random = random(9);
    table.tick(Duration::from_secs(1), &mut random);
    table.expedite_calls(Duration::from_secs(1), &mut random);
    assert!(table.next_at() <= Duration::from_millis(1_200));
    let targets = table.tick(table.next_at(), &mut random);
    assert_eq!(targets.len(), 3);
    table.charge(1_000_000, Duration::from_secs(2));
    table.expedite_calls(Duration::from_secs(2), &mut random);
    assert!(table.tick(table.next_at(), &mut random).is_empty());
}

#[test]
fn any_order_of_events_keeps_listed_hosts_and_the_call_rate() {
    for seed in 0..1_000 {
        let mut random = random(seed);
        let mut table = table(12);
        let mut now = Duration::ZERO;
        let mut listed = 12;
        let mut calls = 0;
        for _ in 0..100 {
            now += Duration::from_millis(random.random_range(0..2_000));
            let host = name(random.random_range(0..16));
            match random.random_range(0..6) {
                0 => {
                    listed = random.random_range(1..14);
                    table.update(list(listed), now);
                }
                1 => table.record_contact(&contact(&host, &location(1)), now),
                2 => table.record_failure(&host, now, &mut random),
                3 => table.expedite_calls(now, &mut random),
                _ => calls += table.tick(now, &mut random).len(),
            }
            let counted = table.counted();
            let kept = (0..listed).all(|index| counted.contains(&name(index)));
            assert!(kept, "seed {seed}: {counted:?}");
        }
        assert!(calls <= 300, "seed {seed}: {calls}");
    }
}

fn envelope(time_ms: u64, nonce: u64) -> proof::Envelope {
    let address = proof::Address {
        direction: proof::Direction::Call,
        from: name(1),
        to: Some(name(0)),
        time_ms,
        nonce,
    };
    proof::Secret::new("s").seal(address, &1).unwrap()
}

#[rstest]
#[case::on_time(100_000, "name(0)", None)]
#[case::a_little_late(71_000, "name(0)", None)]
#[case::late(69_000, "name(0)", Some("time"))]
#[case::early(131_000, "name(0)", Some("time"))]
#[case::end_of_time(u64::MAX, "name(0)", Some("time"))]
#[case::for_another_host(100_000, "other", Some("receiver"))]
fn a_message_is_admitted_only_near_its_time(
    #[case] time_ms: u64,
    #[case] to: &str,
    #[case] refusal: Option<&str>,
) {
    let mut window = replay::Window::new(name(0), Duration::from_secs(30));
    let mut message = envelope(time_ms, 1);
    if to == "other" {
        message.to = Some(name(5));
    }
    let admitted = window.admit(&message, 100_000);
    assert_eq!(admitted.err().map(|error| error.as_str()), refusal);
}

#[test]
fn a_message_is_admitted_once_and_memory_is_bounded() {
    let mut window = replay::Window::new(name(0), Duration::from_secs(30));
    assert!(window.admit(&envelope(100_000, 1), 100_000).is_ok());
    let again = window.admit(&envelope(100_000, 1), 129_000);
    assert_eq!(again.unwrap_err().as_str(), "replay");
    for nonce in 2..=replay::NONCE_LIMIT as u64 {
        window.admit(&envelope(100_000, nonce), 100_000).unwrap();
    }
    assert!(window.admit(&envelope(100_000, 0), 100_000).is_err());
    assert!(window.admit(&envelope(140_000, 0), 140_000).is_ok());
}

#[test]
fn a_leave_notice_goes_to_silent_partners_and_needs_no_budget() {
    let mut random = random(9);
    let mut table = table(4);
    let now = Duration::from_secs(1);
    for _ in 0..8 {
        table.record_failure(&name(1), now, &mut random);
    }
    let (gone, place) = (name(2), location(2));
    let mut left = contact(&gone, &place);
    left.state = peer::State::Left;
    table.record_contact(&left, now);
    table.charge(1_000_000, now);
    assert!(table.tick(now, &mut random).is_empty());
    let targets: Vec<id::Host> = table
        .leave_targets()
        .into_iter()
        .map(|to| to.host)
        .collect();
    assert_eq!(targets, [name(1), name(3)]);
}
