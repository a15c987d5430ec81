//! Which version of the software began a stream, and what is known without a record.

use std::time::Duration;

use papayayard_coordination::origin::{Backlog, Begun, Origins, Possible, Releases, Stream};
use papayayard_wire::id;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);
/// Longest life of a stream.
const LIFE: Duration = Duration::from_secs(10);
/// Age after which a list is out of date.
const MAX_AGE: Duration = Duration::from_secs(1);

fn stream(account: &str, request: &str) -> Stream {
    Stream::new(
        Some(&id::Account::from(account)),
        &id::Request::from(request),
    )
}

fn software(name: &str) -> id::Software {
    id::Software::from(name)
}

fn list(releases: &mut Releases, versions: &[&str], now: Duration) -> bool {
    let service = id::Service::from("engines");
    let versions: Vec<id::Software> = versions.iter().map(|name| software(name)).collect();
    releases.update(versions.iter().map(|version| (&service, version)), now)
}

/// Versions that are possible for a host whose list is confirmed now.
fn possible(releases: &mut Releases, now: Duration) -> Possible {
    releases.confirm(now);
    releases.possible(&id::Service::from("engines"), LIFE, MAX_AGE, now)
}

fn one(name: &str) -> Possible {
    Possible::One(software(name))
}

#[test]
fn the_first_record_of_a_stream_counts() {
    let mut origins = Origins::default();
    origins.record(stream("a", "1"), Some(software("old")), NOW);
    origins.record(stream("a", "1"), Some(software("new")), NOW);
    assert_eq!(origins.get(stream("a", "1")), Some(&software("old")));
}

#[test]
fn streams_of_other_accounts_are_not_known() {
    let mut origins = Origins::default();
    origins.record(stream("a", "1"), Some(software("old")), NOW);
    assert_eq!(origins.get(stream("b", "1")), None);
}

#[test]
fn the_oldest_streams_are_forgotten_first() {
    let mut origins = Origins::default();
    let number = 40_000;
    for index in 0..number {
        origins.record(stream("a", &index.to_string()), Some(software("old")), NOW);
    }
    assert_eq!(origins.get(stream("a", "0")), None);
    let last = stream("a", &(number - 1).to_string());
    assert!(origins.get(last).is_some());
    let later = NOW + Duration::from_mins(3);
    origins.record(stream("a", "later"), Some(software("old")), later);
    assert_eq!(origins.get(last), None);
}

/// After a restart of all hosts, streams of a version that had just left went on at the only
/// one listed.
#[test]
fn a_host_that_has_just_started_knows_no_sole_version() {
    let mut releases = Releases::default();
    list(&mut releases, &["new"], NOW);
    assert_eq!(possible(&mut releases, NOW), Possible::Unknown);
    assert_eq!(possible(&mut releases, NOW + LIFE / 2), Possible::Unknown);
    assert_eq!(possible(&mut releases, NOW + LIFE), one("new"));
}

#[test]
fn a_version_counts_for_as_long_as_its_streams_live() {
    let mut releases = Releases::default();
    list(&mut releases, &["old"], NOW);
    let both_since = NOW + LIFE * 2;
    assert_eq!(possible(&mut releases, both_since), one("old"));
    list(&mut releases, &["old", "new"], both_since);
    assert_eq!(
        possible(&mut releases, both_since + LIFE * 2),
        Possible::Several
    );
    let replaced = both_since + LIFE * 3;
    list(&mut releases, &["new"], replaced);
    assert_eq!(
        possible(&mut releases, replaced + LIFE / 2),
        Possible::Several
    );
    assert_eq!(possible(&mut releases, replaced + LIFE), one("new"));
}

/// A host that had just started and listed two versions believed one that still listed one.
#[rstest]
#[case::neither_knows(Possible::Unknown, Possible::Unknown, Possible::Unknown)]
#[case::one_has_just_started(Possible::Unknown, one("a"), one("a"))]
#[case::one_knows_more(one("a"), Possible::Several, Possible::Several)]
#[case::they_differ(one("a"), one("b"), Possible::Several)]
#[case::they_agree(one("a"), one("a"), one("a"))]
fn the_host_that_knows_more_versions_is_right(
    #[case] left: Possible,
    #[case] right: Possible,
    #[case] both: Possible,
) {
    assert_eq!(left.clone().and(right.clone()), both);
    assert_eq!(right.and(left), both);
}

/// Hosts did not tell of streams that were open when a second version was listed.
#[test]
fn a_version_beside_others_is_noticed_when_it_is_listed() {
    let service = id::Service::from("engines");
    let mut releases = Releases::default();
    assert!(!list(&mut releases, &["old"], NOW));
    assert!(!releases.has_several(&service));
    let joined_at = NOW + LIFE;
    assert!(list(&mut releases, &["old", "new"], joined_at));
    assert!(releases.has_several(&service));
    assert_eq!(releases.joined_at(&service), Some(joined_at));
    assert!(!list(&mut releases, &["new"], joined_at + LIFE));
    assert!(list(
        &mut releases,
        &["new", "newest"],
        joined_at + LIFE * 2
    ));
    assert_eq!(releases.joined_at(&service), Some(joined_at + LIFE * 2));
}

#[test]
fn open_streams_of_a_service_are_to_be_told() {
    let engines = id::Service::from("engines");
    let begun = |request: &str, service: &str, until| Begun {
        stream: stream("a", request),
        service: id::Service::from(service),
        software: Some(software("old")),
        until,
    };
    let streams = [
        begun("ended", "engines", NOW + LIFE / 2),
        begun("open", "engines", NOW + LIFE * 2),
        begun("other", "others", NOW + LIFE * 2),
    ];
    let mut backlog = Backlog::default();
    for stream in &streams {
        backlog.add(stream.clone(), NOW);
    }
    let open: Vec<_> = backlog
        .open(|service| *service == engines, NOW + LIFE)
        .collect();
    assert_eq!(open, [&streams[1]]);
    assert_eq!(backlog.open(|_| true, NOW + LIFE).count(), 2);
}

/// A host that was suspended during a release, or cut off, took its old list for the truth.
#[test]
fn a_list_that_is_out_of_date_tells_no_sole_version() {
    let service = id::Service::from("engines");
    let mut releases = Releases::default();
    list(&mut releases, &["old"], NOW);
    let confirmed_at = NOW + LIFE * 2;
    releases.confirm(confirmed_at);
    releases.confirm(NOW);
    let possible = |now| releases.possible(&service, LIFE, MAX_AGE, now);
    assert_eq!(possible(confirmed_at + MAX_AGE), one("old"));
    assert_eq!(possible(confirmed_at + MAX_AGE * 2), Possible::Unknown);
    releases.confirm(confirmed_at + MAX_AGE * 2);
    let possible = releases.possible(&service, LIFE, MAX_AGE, confirmed_at + MAX_AGE * 2);
    assert_eq!(possible, one("old"));
}

/// Guards against streams of an endpoint that restarted unseen, which counted for the version of
/// its old record.
#[test]
fn a_stream_of_an_unknown_version_is_remembered_until_its_version_is_known() {
    let mut origins = Origins::default();
    assert!(origins.record(stream("a", "1"), None, NOW));
    assert!(origins.is_unknown(stream("a", "1")));
    assert_eq!(origins.get(stream("a", "1")), None);
    assert!(!origins.record(stream("a", "1"), None, NOW));
    assert!(origins.record(stream("a", "1"), Some(software("old")), NOW));
    assert!(!origins.is_unknown(stream("a", "1")));
    assert!(!origins.record(stream("a", "1"), None, NOW));
    assert_eq!(origins.get(stream("a", "1")), Some(&software("old")));
    assert!(
        !origins.is_unknown(stream("a", "2")),
        "it is not remembered"
    );
}
