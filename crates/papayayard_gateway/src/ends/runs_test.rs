//! What the list tells about the end of a run.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use papayayard_routing::blame::Run;
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;
use rstest::rstest;

use super::super::attempt::Destination;
use super::super::task::LISTING_WINDOW;
use super::Runs;

const NOW: Duration = Duration::from_hours(1);
const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

fn listed(started: u64, leaving: bool) -> Endpoint {
    Endpoint {
        id: id::Endpoint::from("app-0"),
        started: id::Incarnation(started),
        service: id::Service::from("app"),
        address: ADDRESS,
        zone: id::Zone::from("a"),
        software: id::Software::from("v1"),
        slots: 8,
        weights: HashMap::new(),
        leaving,
    }
}

fn run(started: u64) -> Run {
    Run {
        endpoint: id::Endpoint::from("app-0"),
        started: id::Incarnation(started),
    }
}

fn sent_to(started: Option<u64>) -> Destination {
    Destination {
        endpoint: id::Endpoint::from("app-0"),
        started: started.map(id::Incarnation),
        address: ADDRESS,
    }
}

/// Guards against blaming requests for the end of a run that had said that it leaves, once
/// the endpoint has started again.
#[rstest]
#[case::was_ready(false)]
#[case::was_leaving(true)]
fn a_run_that_was_replaced_is_judged_by_itself(#[case] was_leaving: bool) {
    let mut runs = Runs::default();
    runs.update(vec![listed(1, was_leaving)], NOW);
    let before = (!was_leaving).then(|| run(1));
    assert_eq!(runs.may_crash(&sent_to(Some(1))), before);
    runs.update(vec![listed(2, false)], NOW);
    assert_eq!(runs.shows_crash(&run(1)), !was_leaving);
    assert_eq!(runs.may_crash(&sent_to(Some(2))), Some(run(2)));
    assert!(!runs.shows_crash(&run(2)));
}

/// Guards against blaming a request for the end of a run that has left the list without a word.
/// A request that failed before may be the cause.
#[test]
fn the_end_of_a_run_after_its_removal_is_no_crash() {
    let mut runs = Runs::default();
    runs.update(vec![listed(1, false)], NOW);
    runs.update(Vec::new(), NOW);
    assert_eq!(runs.may_crash(&sent_to(Some(1))), None);
    assert!(runs.shows_crash(&run(1)));
    runs.update(vec![listed(1, false)], NOW);
    assert_eq!(runs.may_crash(&sent_to(Some(1))), Some(run(1)));
}

/// Guards against blaming a request for a run that this host knows nothing of.
#[rstest]
#[case::not_yet_listed(3)]
#[case::forgotten(1)]
fn the_end_of_an_unknown_run_is_no_crash(#[case] started: u64) {
    let mut runs = Runs::default();
    runs.update(vec![listed(1, false)], NOW);
    runs.update(vec![listed(2, false)], NOW);
    runs.update(vec![listed(2, false)], NOW + LISTING_WINDOW);
    assert_eq!(runs.may_crash(&sent_to(Some(started))), None);
    assert!(!runs.shows_crash(&run(started)));
}

/// A dispatcher of an older release names no run.
#[test]
fn an_unnamed_run_is_the_newest_one() {
    let mut runs = Runs::default();
    runs.update(vec![listed(1, false)], NOW);
    runs.update(vec![listed(2, false)], NOW);
    assert_eq!(runs.may_crash(&sent_to(None)), Some(run(2)));
}
