//! Hosts of a zone agree on their reader, and bypass one that fails.

use std::time::Duration;

use papayayard_coordination::ranking::Candidate;
use papayayard_coordination::reader::{Scope, Selector, Source};
use papayayard_wire::id;

const NOW: Duration = Duration::from_secs(100);

fn zone(capacities: &[u32]) -> Vec<Candidate> {
    let hosts = capacities.iter().enumerate();
    hosts
        .map(|(index, capacity)| Candidate {
            host: id::Host::from(format!("host-{index}")),
            address: format!("10.0.0.{}:7000", index + 1).parse().unwrap(),
            capacity: *capacity,
        })
        .collect()
}

fn selector(local: usize, hosts: &[Candidate]) -> Selector {
    let mut selector = Selector::new(hosts[local].host.clone(), Scope::Zone);
    selector.set(hosts.to_vec(), Vec::new());
    selector
}

fn asked(source: Option<&Source>) -> Option<&id::Host> {
    match source {
        Some(Source::Peer { host, .. }) => Some(host),
        Some(Source::Store | Source::Probe) | None => None,
    }
}

#[test]
fn all_hosts_ask_the_same_reader_and_that_reader_asks_the_store() {
    let hosts = zone(&[5, 5, 5, 5]);
    let sources: Vec<Option<Source>> = (0..4)
        .map(|own| selector(own, &hosts).source(NOW))
        .collect();
    let stores = sources
        .iter()
        .filter(|candidate| **candidate == Some(Source::Store))
        .count();
    assert_eq!(stores, 1);
    let mut peers: Vec<&id::Host> = sources
        .iter()
        .filter_map(|candidate| asked(candidate.as_ref()))
        .collect();
    peers.dedup();
    assert_eq!(peers.len(), 1);
}

#[test]
fn the_host_with_the_most_capacity_reads() {
    let hosts = zone(&[1, 9, 1]);
    assert_eq!(selector(1, &hosts).source(NOW), Some(Source::Store));
    assert_eq!(
        asked(selector(0, &hosts).source(NOW).as_ref()),
        Some(&hosts[1].host)
    );
}

#[test]
fn a_host_that_fails_is_bypassed_for_a_while() {
    let hosts = zone(&[1, 9, 8, 1]);
    let mut selector = selector(0, &hosts);
    selector.failed(&hosts[1].host, NOW);
    assert_eq!(asked(selector.source(NOW).as_ref()), Some(&hosts[2].host));
    selector.failed(&hosts[2].host, NOW);
    assert_eq!(selector.source(NOW), Some(Source::Store));
    let later = NOW + Duration::from_secs(4);
    assert_eq!(asked(selector.source(later).as_ref()), Some(&hosts[1].host));
}

/// A slow store makes every read outdated for a moment, while a partitioned host stays
/// unreachable. The backoff therefore starts short and grows.
#[test]
fn the_backoff_of_a_host_that_keeps_failing_grows() {
    let hosts = zone(&[1, 9]);
    let mut selector = selector(0, &hosts);
    let host = &hosts[1].host;
    let mut now = NOW;
    for seconds in [1, 2, 4, 8, 8] {
        selector.failed(host, now);
        let end = now + Duration::from_secs(seconds);
        assert_eq!(
            selector.source(now + Duration::from_millis(seconds * 1000 - 1)),
            Some(Source::Store)
        );
        assert_eq!(asked(selector.source(end).as_ref()), Some(host));
        now = end;
    }
    selector.answered(host);
    selector.failed(host, now);
    let soon = now + Duration::from_secs(1);
    assert_eq!(asked(selector.source(soon).as_ref()), Some(host));
}

#[test]
fn a_single_host_reads_the_store() {
    let own = Selector::new(id::Host::from("host-0"), Scope::All);
    assert_eq!(own.source(NOW), Some(Source::Store));
}

/// The store refuses this host. Another host may have read it: a host of the zone that
/// ranks after this one, or one of another zone.
#[test]
fn any_other_host_is_asked_if_the_store_does_not_answer() {
    let hosts = zone(&[9, 5]);
    let mut selector = selector(0, &hosts);
    assert_eq!(
        selector.source(NOW),
        Some(Source::Store),
        "this host reads for its zone"
    );
    let remote = Candidate {
        host: id::Host::from("far"),
        address: "10.1.0.1:7000".parse().unwrap(),
        capacity: 1,
    };
    selector.set(hosts.clone(), vec![remote.clone()]);
    selector.store_failed(NOW);
    assert_eq!(asked(selector.source(NOW).as_ref()), Some(&hosts[1].host));
    selector.failed(&hosts[1].host, NOW);
    assert_eq!(asked(selector.source(NOW).as_ref()), Some(&remote.host));
    selector.failed(&remote.host, NOW);
    assert_eq!(selector.source(NOW), None);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(selector.source(later), Some(Source::Probe));
}

#[test]
fn hosts_of_other_zones_are_asked_in_different_orders() {
    let others = zone(&[1; 20]);
    let first = |own: &str| {
        let mut selector = Selector::new(id::Host::from(own), Scope::Zone);
        selector.set_unranked(others.clone());
        selector.store_failed(NOW);
        asked(selector.source(NOW).as_ref()).cloned()
    };
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut asked: Vec<_> = names.iter().map(|own| first(own)).collect();
    asked.sort_unstable();
    asked.dedup();
    assert!(asked.len() > 3, "{asked:?}");
}

/// Three zones of three hosts: one host reads the store for all zones, and the first
/// host of each other zone asks it.
#[test]
fn one_host_reads_for_all_zones() {
    let all = zone(&[3, 2, 2, 9, 2, 2, 5, 2, 2]);
    let source = |own: usize| {
        let (zone, others): (Vec<_>, Vec<_>) = all
            .iter()
            .cloned()
            .enumerate()
            .partition(|(index, _)| index / 3 == own / 3);
        let hosts =
            |part: Vec<(usize, Candidate)>| part.into_iter().map(|(_, host)| host).collect();
        let mut selector = Selector::new(all[own].host.clone(), Scope::All);
        selector.set(hosts(zone), hosts(others));
        (asked(selector.source(NOW).as_ref()).cloned(), selector)
    };
    let expected = [3, 0, 0, 99, 3, 3, 3, 6, 6];
    for (own, first) in expected.into_iter().enumerate() {
        let first = all.get(first).map(|candidate| candidate.host.clone());
        assert_eq!(source(own).0, first, "host {own}");
    }
    let (_, mut partitioned) = source(6);
    partitioned.failed(&all[3].host, NOW);
    assert_eq!(
        asked(partitioned.source(NOW).as_ref()),
        None,
        "zones are partitioned from each other"
    );
}

/// Before the hosts are counted, each one reads the store: the configured seeds may be
/// waiting for one another.
#[test]
fn unranked_hosts_are_asked_only_if_the_store_fails() {
    let seeds = zone(&[0, 0]);
    let mut selector = Selector::new(id::Host::from("own"), Scope::All);
    selector.set_unranked(seeds.clone());
    assert_eq!(selector.source(NOW), Some(Source::Store));
    selector.store_failed(NOW);
    let source = selector.source(NOW);
    let asked = asked(source.as_ref()).expect("a seed");
    assert!(seeds.iter().any(|seed| seed.host == *asked));
}

/// The store refuses this host for a long time. The host meanwhile reads from another
/// host, and probes the store from time to time.
#[test]
fn a_host_without_the_store_reads_from_another() {
    let hosts = zone(&[9, 5]);
    let mut selector = selector(0, &hosts);
    let mut now = NOW;
    for seconds in [1, 2, 4, 4] {
        selector.store_failed(now);
        assert_eq!(asked(selector.source(now).as_ref()), Some(&hosts[1].host));
        now += Duration::from_secs(seconds);
        assert_eq!(selector.source(now), Some(Source::Probe));
    }
    selector.store_answered();
    assert_eq!(selector.source(now), Some(Source::Store));
}

/// No host has anything new, as when the store is down for all.
#[test]
fn a_host_that_finds_nothing_new_probes_the_store() {
    let hosts = zone(&[9, 5]);
    let mut selector = selector(0, &hosts);
    selector.store_failed(NOW);
    selector.failed(&hosts[1].host, NOW);
    assert_eq!(selector.source(NOW), None, "the host waits for a moment");
    let later = NOW + Duration::from_secs(1);
    selector.failed(&hosts[1].host, later);
    assert_eq!(selector.source(later), Some(Source::Probe));
}

/// The store refuses the first reader of all zones. The hosts of its zone read from it
/// and have nothing newer, so it asks another reader.
#[test]
fn a_reader_without_the_store_asks_other_readers_first() {
    let hosts = zone(&[9, 1, 1, 1]);
    let remote = zone(&[5, 1, 1]).into_iter().map(|candidate| Candidate {
        host: id::Host::from(format!("far-{}", candidate.host)),
        ..candidate
    });
    let remote: Vec<Candidate> = remote.collect();
    let mut selector = Selector::new(hosts[0].host.clone(), Scope::All);
    selector.set(hosts, remote.clone());
    selector.store_failed(NOW);
    assert_eq!(asked(selector.source(NOW).as_ref()), Some(&remote[0].host));
}
