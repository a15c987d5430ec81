//! Exchange between peers: propagation, message versions, partitions and cost.

mod support;

use std::time::Duration;

use papayayard_coordination::exchange::Update;
use papayayard_coordination::membership;
use papayayard_wire::{configuration, id, peer};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;
use support::{Net, list, name, node};

const RUN: id::Incarnation = id::Incarnation(1);

fn endpoint() -> id::Endpoint {
    id::Endpoint::from("llm-1")
}

fn target(index: usize, speaks: u32) -> membership::Target {
    membership::Target {
        host: name(index),
        peer: ([10, 0, 0, 1], 7_000).into(),
        speaks,
    }
}

fn entry(revision: u64, document: &str) -> configuration::Entry {
    configuration::Entry {
        proposal: configuration::Proposal {
            format: configuration::FORMAT,
            base: id::Revision(revision - 1),
            revision: id::Revision(revision),
            digest: "0123456789abcdef".repeat(4),
            document: document.to_owned(),
        },
        read_to: None,
    }
}

fn second(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[rstest]
#[case::same(2, 2)]
#[case::older_is_called(2, 1)]
#[case::older_calls(1, 2)]
#[case::both_older(1, 1)]
fn hosts_of_two_message_versions_interoperate(#[case] caller: u32, #[case] called: u32) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let now = second(1);
    let mut first = node(0, 2, 1, 1, caller);
    let mut other = node(1, 2, 1, 1, called);
    first.departures.record_crash(&endpoint(), RUN, now);
    first.quarantine(99, Duration::ZERO, now);
    other.set_configuration(entry(3, "document"));
    let call = first.call(&target(1, called), now);
    assert_eq!(call.version, caller.min(called));
    let (reply, _) = other.handle_call(&name(0), &call, 1, now, &mut random);
    assert_eq!(reply.version, caller.min(called));
    let (follow_up, updates) = first.handle_reply(&name(1), &call, now, &reply, now, &mut random);
    assert_eq!(updates, vec![Update::Configuration(entry(3, "document"))]);
    let (_, updates) = other.handle_call(&name(0), &follow_up.unwrap(), 2, now, &mut random);
    assert_eq!(updates.len(), 2, "{updates:?}");
    assert!(other.departures.cause(&endpoint(), RUN, now).is_some());
}

#[rstest]
#[case::never_backwards(5, 4, false)]
#[case::the_same(5, 5, false)]
#[case::forwards(4, 5, true)]
fn only_a_newer_revision_is_new(#[case] local: u64, #[case] remote: u64, #[case] is_new: bool) {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut host = node(0, 2, 1, 1, peer::VERSION);
    host.set_configuration(entry(local, "ours"));
    let mut call = peer::Message::new(peer::State::Serving);
    call.contents.configuration = Some(entry(remote, "theirs"));
    let (_, updates) = host.handle_call(&name(1), &call, 1, second(1), &mut random);
    assert_eq!(!updates.is_empty(), is_new);
}

#[test]
fn a_host_without_a_list_receives_the_excerpt_for_its_zone() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut host = node(0, 6, 3, 1, peer::VERSION);
    let mut call = peer::Message::new(peer::State::Starting);
    call.member = Some(peer::Member {
        zone: support::zone(1, 3),
        peer: ([10, 0, 0, 9], 1).into(),
    });
    let (reply, _) = host.handle_call(&id::Host::from("new"), &call, 1, second(1), &mut random);
    assert_eq!(reply.contents.directory.unwrap().hosts, list(6, 3).hosts);
    call.directory = reply.directory;
    let (reply, _) = host.handle_call(&id::Host::from("new"), &call, 2, second(2), &mut random);
    assert!(reply.contents.directory.is_none());
}

#[rstest]
#[case(3, 3)]
#[case(9, 3)]
#[case(46, 1)]
fn departures_reach_all_hosts_within_three_seconds(#[case] count: usize, #[case] zones: usize) {
    for seed in 0..10 {
        let mut net = Net::new(count, zones, 2, seed);
        net.run(Duration::ZERO, second(60), |_, _| false);
        let start = second(60);
        net.nodes[0]
            .departures
            .record_crash(&endpoint(), RUN, start);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        net.nodes[0].members.expedite_calls(start, &mut random);
        let knows = |net: &Net, now: Duration| {
            let mut nodes = net.nodes.iter();
            nodes.all(|node| node.departures.cause(&endpoint(), RUN, now).is_some())
        };
        let end = net.run(start, second(90), knows);
        assert!(end < start + second(3), "seed {seed}: {end:?}");
    }
}

#[rstest]
#[case(3)]
#[case(9)]
#[case(30)]
fn bytes_stay_within_two_kilobytes_a_second(#[case] count: usize) {
    let mut net = Net::new(count, 3, 8, 4);
    for node in &mut net.nodes {
        for number in 0..8 {
            let account = id::Account::from(format!("account-{number}"));
            node.shares.observe(
                &account,
                papayayard_coordination::amount::Amount::new(90, 40),
            );
        }
    }
    net.run(Duration::ZERO, second(60), |_, _| false);
    net.bytes.fill(0);
    net.run(second(60), second(360), |_, _| false);
    let most = net.bytes.iter().max().unwrap() / 300;
    assert!(most <= 2_048, "{most}");
}

#[test]
fn contents_wait_while_the_budget_is_exhausted() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut host = node(0, 2, 1, 1, peer::VERSION);
    host.set_configuration(entry(1, &"x".repeat(50_000)));
    let call = peer::Message::new(peer::State::Serving);
    host.members.charge(100_000, second(1));
    let (reply, _) = host.handle_call(&name(1), &call, 1, second(1), &mut random);
    assert!(reply.contents.configuration.is_none());
    assert_eq!(reply.configuration.unwrap().revision, id::Revision(1));
    let (reply, _) = host.handle_call(&name(1), &call, 2, second(60), &mut random);
    assert!(reply.contents.configuration.is_some());
}

#[test]
fn a_partitioned_zone_receives_all_updates_when_it_heals() {
    let mut net = Net::new(9, 3, 2, 6);
    for (index, reached) in net.partition_side.iter_mut().enumerate() {
        *reached = index % 3 != 0;
    }
    net.run(Duration::ZERO, second(120), |_, _| false);
    net.nodes[1]
        .departures
        .record_crash(&endpoint(), RUN, second(120));
    net.run(second(120), second(130), |_, _| false);
    assert!(
        net.nodes[0]
            .departures
            .cause(&endpoint(), RUN, second(130))
            .is_none()
    );
    net.partition_side.fill(true);
    net.bytes.fill(0);
    let end = net.run(second(130), second(190), |net, now| {
        let mut nodes = net.nodes.iter();
        nodes.all(|node| node.departures.cause(&endpoint(), RUN, now).is_some())
    });
    assert!(end < second(170), "{end:?}");
    net.run(end, second(190), |_, _| false);
    let most = net.bytes.iter().max().unwrap() / 60;
    assert!(most <= 2_048, "{most}");
}

/// Sets converge regardless of lost messages and of the order of calls.
#[test]
fn any_order_of_calls_converges() {
    for seed in 0..1_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut net = Net::new(4, 2, 1, seed);
        let mut now = second(1);
        let mut quarantined = 0;
        for _ in 0..40 {
            now += Duration::from_millis(random.random_range(0..500));
            let (from, to) = (random.random_range(0..4), random.random_range(0..4));
            match random.random_range(0..4) {
                0 => {
                    quarantined += 1;
                    net.nodes[from].quarantine(quarantined, Duration::ZERO, now);
                }
                _ if from != to => {
                    let call = net.nodes[from].call(&target(to, peer::VERSION), now);
                    let follow_up = net.round(from, to, &call, now);
                    if let Some(follow_up) = follow_up.filter(|_| random.random_bool(0.5)) {
                        net.round(from, to, &follow_up, now);
                    }
                }
                _ => {}
            }
        }
        for (from, to) in [(0, 1), (2, 3), (0, 2), (1, 3), (0, 3), (1, 2)] {
            let call = net.nodes[from].call(&target(to, peer::VERSION), now);
            if let Some(follow_up) = net.round(from, to, &call, now) {
                net.round(from, to, &follow_up, now);
            }
        }
        let digests: Vec<peer::Digest> = (0..4)
            .map(|index| net.nodes[index].call(&target(0, 1), now).quarantine)
            .collect();
        assert!(
            digests.iter().all(|digest| *digest == digests[0]),
            "seed {seed}"
        );
    }
}
