//! Changes of the list of endpoints, including during outages of the record store.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_routing::listing::{Listing, Put, Read, Registration};
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;
use papayayard_wire::log::Era;

const NOW: Duration = Duration::from_secs(100);
const ERA: Era = Era(1);
/// Era after the store was restored from an older copy.
const RESTORED: Era = Era(2);

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        id: id::Endpoint::from(name),
        started: id::Incarnation(1),
        service: id::Service::from("app"),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: id::Zone::from("a"),
        software: id::Software::from("v1"),
        slots: 6,
        weights: HashMap::new(),
        leaving: false,
    }
}

fn registration(name: &str, heartbeat: u64) -> Registration {
    Registration {
        endpoint: endpoint(name),
        heartbeat,
    }
}

fn leaving(name: &str, heartbeat: u64) -> Registration {
    let mut registration = registration(name, heartbeat);
    registration.endpoint.leaving = true;
    registration
}

fn read(era: Era, requested_at: Duration) -> Read {
    Read {
        era,
        requested_at,
        may_follow_outage: true,
    }
}

fn listing() -> Listing {
    let mut listing = Listing::default();
    listing.record_read(read(ERA, NOW), NOW);
    assert_eq!(listing.put(registration("one", 1)), Put::Changed);
    assert_eq!(listing.put(registration("two", 1)), Put::Changed);
    listing
}

fn names(listing: &mut Listing, now: Duration) -> Vec<String> {
    let endpoints = listing.endpoints(now);
    let mut names: Vec<String> = endpoints
        .iter()
        .map(|endpoint| endpoint.id.as_str().to_owned())
        .collect();
    names.sort_unstable();
    names
}

#[test]
fn a_removed_key_is_unlisted_at_once() {
    let mut listing = listing();
    let now = NOW + Duration::from_millis(500);
    listing.record_read(read(ERA, now), now);
    listing.remove_record(&id::Endpoint::from("one"), now);
    assert_eq!(names(&mut listing, now), ["two"]);
}

#[test]
fn an_unchanged_record_is_no_change() {
    let mut listing = listing();
    assert_eq!(listing.put(registration("one", 2)), Put::Unchanged);
    assert_eq!(listing.put(leaving("one", 3)), Put::Changed);
}

/// The store is unavailable for 5 s; records expire there although their endpoints
/// are alive. One is rewritten within two seconds, the other is not.
#[test]
fn records_that_expired_during_an_outage_have_two_seconds_to_return() {
    let mut listing = listing();
    let back = NOW + Duration::from_secs(5);
    listing.record_read(read(ERA, back), back);
    listing.remove_missing(|_| false, back);
    assert_eq!(names(&mut listing, back), ["one", "two"]);
    let soon = back + Duration::from_millis(900);
    listing.record_read(read(ERA, soon), soon);
    listing.put(registration("one", 2));
    let later = back + Duration::from_secs(2);
    listing.record_read(read(ERA, later), later);
    assert_eq!(names(&mut listing, later), ["one"]);
}

/// During an outage, this host applies a read of another host that is newer than its
/// own last read but older than the outage. Records that expired in the meantime
/// still get the grace period.
#[test]
fn an_old_read_of_another_host_does_not_end_an_outage() {
    let mut listing = listing();
    let during = NOW + Duration::from_secs(4);
    listing.record_read(read(ERA, NOW + Duration::from_secs(1)), during);
    let back = NOW + Duration::from_secs(5);
    listing.record_read(read(ERA, back), back);
    listing.remove_missing(|_| false, back);
    assert_eq!(names(&mut listing, back), ["one", "two"]);
}

/// Requests went to an endpoint that had announced its end, since a copy of the store showed
/// it as ready again.
#[test]
fn a_leaving_endpoint_does_not_return_from_an_older_copy() {
    let mut listing = listing();
    listing.put(leaving("one", 9));
    let back = NOW + Duration::from_secs(3);
    listing.record_read(read(RESTORED, back), back);
    assert_eq!(listing.put(registration("one", 4)), Put::Outdated);
    assert_eq!(listing.put(registration("one", 5)), Put::Outdated);
    assert!(listing.endpoints(back).iter().any(|one| one.leaving));
    assert_eq!(
        listing.put(registration("one", 10)),
        Put::Changed,
        "the endpoint has changed its mind"
    );
}

#[test]
fn a_removed_endpoint_does_not_return_from_an_older_copy() {
    let mut listing = listing();
    listing.put(registration("one", 7));
    listing.remove_record(&id::Endpoint::from("one"), NOW);
    let back = NOW + Duration::from_secs(1);
    listing.record_read(read(RESTORED, back), back);
    assert_eq!(listing.put(registration("one", 4)), Put::Outdated);
    assert_eq!(names(&mut listing, back), ["two"]);
    assert_eq!(
        listing.put(registration("one", 8)),
        Put::Changed,
        "the endpoint lives"
    );
    let mut restarted = registration("two", 1);
    restarted.endpoint.started = id::Incarnation(2);
    assert_eq!(listing.put(restarted), Put::Changed);
}

/// Endpoints that had registered in the lost time were dropped until they wrote again.
#[test]
fn endpoints_that_a_copy_lacks_are_kept_until_they_write_again() {
    let mut listing = listing();
    let back = NOW + Duration::from_millis(300);
    listing.record_read(read(RESTORED, back), back);
    listing.remove_missing(|id| id.as_str() == "two", back);
    assert_eq!(names(&mut listing, back), ["one", "two"]);
    let late = back + Duration::from_secs(2);
    assert_eq!(names(&mut listing, late), ["two"], "it wrote no more");
}

/// Within an era the order of the store decides, whatever an endpoint counts.
#[test]
fn records_of_one_era_are_applied_in_order() {
    let mut listing = listing();
    listing.put(leaving("one", 9));
    assert_eq!(listing.put(registration("one", 1)), Put::Changed);
}

/// Requests went to endpoints seconds after they were gone: this host had waited for hosts that did
/// not answer, and took the gap between its readings for an outage of the store.
#[test]
fn endpoints_that_are_gone_after_a_gap_without_an_outage_are_unlisted_at_once() {
    let mut listing = listing();
    let now = NOW + Duration::from_secs(5);
    let read = Read {
        may_follow_outage: false,
        ..read(ERA, now)
    };
    listing.record_read(read, now);
    listing.remove_record(&id::Endpoint::from("one"), now);
    assert_eq!(names(&mut listing, now), ["two"]);
}
