//! Hosts agree on the dispatcher of their requests, and can place requests without it.

use std::time::Duration;

use papayayard_coordination::dispatcher;
use papayayard_coordination::ranking::{Candidate, Failover};
use papayayard_wire::id;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);
const ZONES: usize = 4;

fn hosts(number: usize) -> Vec<Candidate> {
    let all = 0..number;
    all.map(|index| Candidate {
        host: id::Host::from(format!("host-{index}")),
        address: format!("10.0.{}.{}:7000", index / 200, index % 200 + 1)
            .parse()
            .unwrap(),
        capacity: if index < ZONES * 2 { 500 } else { 120 },
    })
    .collect()
}

/// The hosts that one host asks for placements.
fn failover(all: &[Candidate], local: usize) -> Failover {
    let in_zone = |index: usize| index % ZONES == local % ZONES;
    let subset = |in_scope: bool| {
        let subset = all.iter().enumerate();
        let subset = subset.filter(|(index, _)| in_zone(*index) == in_scope);
        subset
            .map(|(_, candidate)| candidate.clone())
            .collect::<Vec<_>>()
    };
    let mut failover = Failover::default();
    failover.set(dispatcher::preferred(
        &all[local].host,
        &subset(true),
        &subset(false),
    ));
    failover
}

#[rstest]
#[case::small(8, 1)]
#[case::grown(78, 1)]
#[case::large(295, ZONES)]
fn few_hosts_place_all_requests(#[case] number: usize, #[case] dispatchers: usize) {
    let all = hosts(number);
    let dispatching = (0..number).filter(|local| failover(&all, *local).first(NOW).is_none());
    assert_eq!(dispatching.count(), dispatchers);
    let mut asked: Vec<id::Host> = (0..number)
        .filter_map(|local| {
            failover(&all, local)
                .first(NOW)
                .map(|candidate| candidate.host.clone())
        })
        .collect();
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), dispatchers, "all hosts agree");
}

/// A partitioned zone finds its own dispatcher, and a host without any dispatcher
/// places requests itself.
#[test]
fn a_host_without_its_dispatcher_asks_the_next_and_finally_none() {
    let all = hosts(78);
    let mut failover = failover(&all, 70);
    let mut asked = Vec::new();
    while let Some(candidate) = failover.first(NOW).cloned() {
        assert!(!asked.contains(&candidate.host));
        failover.failed(&candidate.host, NOW);
        asked.push(candidate.host);
    }
    assert!((2..=4).contains(&asked.len()), "{asked:?}");
    let zone: Vec<&id::Host> = all
        .iter()
        .skip(70 % ZONES)
        .step_by(ZONES)
        .map(|candidate| &candidate.host)
        .collect();
    assert!(
        zone.contains(&asked.last().unwrap()),
        "the last candidates are in its zone"
    );
    let later = NOW + Duration::from_secs(1);
    assert_eq!(
        failover.first(later).map(|candidate| &candidate.host),
        asked.first()
    );
}
