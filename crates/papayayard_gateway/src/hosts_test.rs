use std::time::Duration;

use bytes::Bytes;
use papayayard_routing::placement::{Scheduler, Settings};
use papayayard_wire::id;
use tokio::sync::watch;

use super::{Links, LocalHost, Neighbours, Presences};
use crate::clock::Clock;
use crate::follow::Reducer;
use crate::metrics::Metrics;
use crate::schedule;
use crate::store::Record;

const NOW: Duration = Duration::from_secs(100);

struct Published {
    number: watch::Receiver<usize>,
    neighbours: watch::Receiver<Neighbours>,
}

fn presences() -> (Presences, Published) {
    let (number, number_seen) = watch::channel(0);
    let (neighbours, neighbours_seen) = watch::channel(Neighbours::default());
    let scheduler = Scheduler::new(Settings {
        old_weights: NOW,
        old_weights_grace: NOW,
        limit_phase: 0.0,
    });
    let links = Links {
        number,
        neighbours,
        schedule: schedule::start(
            scheduler,
            id::Zone::from("a"),
            Metrics::new(),
            Clock::start(),
        ),
        metrics: Metrics::new(),
    };
    let published = Published {
        number: number_seen,
        neighbours: neighbours_seen,
    };
    (Presences::new(own("host-0", "a"), links), published)
}

fn own(host: &str, zone: &str) -> LocalHost {
    LocalHost {
        host: id::Host::from(host),
        zone: id::Zone::from(zone),
        peers: "127.0.0.1:7000".parse().expect("an address"),
        capacity: 250,
        forwarded: Some("127.0.0.1:7001".parse().expect("an address")),
    }
}

fn record(own: &LocalHost, offset: u64) -> Record {
    Record {
        offset,
        key: own.host.as_str().to_owned(),
        value: Some(Bytes::from(own.presence())),
    }
}

/// Guards against clock skew: records carry no timestamp, so a host whose clock is ahead
/// cannot make other hosts appear gone. Only the order of records in the log counts.
#[tokio::test]
async fn hosts_are_counted_by_the_order_of_their_records() {
    let (mut presences, published) = presences();
    let zones = ["a", "a", "b"];
    for (offset, zone) in (0..).zip(zones) {
        let one = own(&format!("host-{offset}"), zone);
        presences.apply_record(&record(&one, offset), None, NOW);
    }
    presences.caught_up(NOW, 3, NOW);
    assert_eq!(*published.number.borrow(), 3);
    let neighbours = published.neighbours.borrow().clone();
    assert!(neighbours.are_counted);
    assert_eq!((neighbours.zone.len(), neighbours.others.len()), (2, 1));
}

/// Guards against requests that are passed on to this host itself, or to a host of an older
/// release, which takes none.
#[tokio::test]
async fn requests_are_passed_on_to_other_hosts_that_take_them() {
    let (mut presences, published) = presences();
    for (offset, zone) in (0..).zip(["a", "a", "b"]) {
        let one = own(&format!("host-{offset}"), zone);
        presences.apply_record(&record(&one, offset), None, NOW);
    }
    let older = Record {
        offset: 3,
        key: "older".to_owned(),
        value: Some(Bytes::from_static(
            br#"{"zone":"a","peers":"127.0.0.1:7000","capacity":250}"#,
        )),
    };
    presences.apply_record(&older, None, NOW);
    presences.caught_up(NOW, 4, NOW);
    assert_eq!(*published.number.borrow(), 4);
    let takers = published.neighbours.borrow().takers.clone();
    let mut takers: Vec<_> = takers
        .iter()
        .map(|taker| (taker.host.as_str(), taker.is_local))
        .collect();
    takers.sort_unstable();
    assert_eq!(takers, [("host-1", true), ("host-2", false)]);
}

#[tokio::test]
async fn a_host_that_removes_its_record_is_not_counted() {
    let (mut presences, published) = presences();
    for offset in 0..2 {
        let one = own(&format!("host-{offset}"), "a");
        presences.apply_record(&record(&one, offset), None, NOW);
    }
    let mut dropped = record(&own("host-1", "a"), 2);
    dropped.value = None;
    presences.apply_record(&dropped, None, NOW);
    presences.caught_up(NOW, 3, NOW);
    assert_eq!(*published.number.borrow(), 1);
    assert_eq!(published.neighbours.borrow().zone.len(), 1);
}

#[test]
fn seeds_are_polled_until_the_hosts_are_counted() {
    let seeds = ["127.0.0.1:1", "127.0.0.1:2"].map(|seed| seed.parse().expect("an address"));
    let neighbours = Neighbours::from_seeds(&seeds, seeds[0]);
    assert!(!neighbours.are_counted);
    let others: Vec<_> = neighbours.others.iter().map(|one| one.address).collect();
    assert_eq!(others, [seeds[1]], "a host does not ask itself");
}
