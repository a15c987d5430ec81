//! Changes of the list of endpoints, including during outages of the record store.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_routing::listing::Listing;
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;

const NOW: Duration = Duration::from_secs(100);

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        id: id::Endpoint::from(name),
        started: id::Incarnation(1),
        service: id::Service::from("app"),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: id::Zone::from("a"),
        slots: 6,
        weights: HashMap::new(),
        leaving: false,
    }
}

fn listing() -> Listing {
    let mut listing = Listing::default();
    listing.record_read(NOW, NOW);
    assert!(listing.put(endpoint("one")));
    assert!(listing.put(endpoint("two")));
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
    listing.record_read(now, now);
    listing.remove_record(&id::Endpoint::from("one"), now);
    assert_eq!(names(&mut listing, now), ["two"]);
}

#[test]
fn an_unchanged_record_is_no_change() {
    let mut listing = listing();
    assert!(!listing.put(endpoint("one")));
    let mut leaving = endpoint("one");
    leaving.leaving = true;
    assert!(listing.put(leaving));
}

/// The store is unavailable for 5 s; records expire there although their endpoints
/// are alive. One is rewritten within two seconds, the other is not.
#[test]
fn records_that_expired_during_an_outage_have_two_seconds_to_return() {
    let mut listing = listing();
    let back = NOW + Duration::from_secs(5);
    listing.record_read(back, back);
    listing.remove_missing(|_| false, back);
    assert_eq!(names(&mut listing, back), ["one", "two"]);
    let soon = back + Duration::from_millis(900);
    listing.record_read(soon, soon);
    listing.put(endpoint("one"));
    let later = back + Duration::from_secs(2);
    listing.record_read(later, later);
    assert_eq!(names(&mut listing, later), ["one"]);
}

/// During an outage, this host applies a read of another host that is newer than its
/// own last read but older than the outage. Records that expired in the meantime
/// still get the grace period.
#[test]
fn an_old_read_of_another_host_does_not_end_an_outage() {
    let mut listing = listing();
    let during = NOW + Duration::from_secs(4);
    listing.record_read(NOW + Duration::from_secs(1), during);
    let back = NOW + Duration::from_secs(5);
    listing.record_read(back, back);
    listing.remove_missing(|_| false, back);
    assert_eq!(names(&mut listing, back), ["one", "two"]);
}
