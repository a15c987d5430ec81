//! How long requests may start on older weights.

use std::time::Duration;

use papayayard_routing::weights::TargetVersions;

const BOUND: Duration = Duration::from_secs(12);

/// The oldest version on which a request may start.
fn oldest_allowed(targets: &TargetVersions, now: Duration) -> u64 {
    let is_allowed = |version: &u64| {
        let until = targets.usable_until(*version, BOUND);
        until.is_none_or(|until| now < until)
    };
    (0..=u64::MAX).find(is_allowed).expect("the newest version")
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn older_weights_are_allowed_within_the_bound_only() {
    let mut targets = TargetVersions::default();
    targets.record(1, Some(seconds(0.0)));
    targets.record(2, Some(seconds(100.0)));
    assert_eq!(oldest_allowed(&targets, seconds(101.0)), 1);
    assert_eq!(oldest_allowed(&targets, seconds(112.0)), 2);
}

#[test]
fn the_bound_of_each_version_counts_from_its_own_time() {
    let mut targets = TargetVersions::default();
    targets.record(1, Some(seconds(0.0)));
    targets.record(2, Some(seconds(100.0)));
    targets.record(3, Some(seconds(105.0)));
    assert_eq!(oldest_allowed(&targets, seconds(112.0)), 2);
    assert_eq!(oldest_allowed(&targets, seconds(117.0)), 3);
    assert_eq!(targets.newest(), Some((3, Some(seconds(105.0)))));
}

#[test]
fn weights_are_usable_until_the_bound_of_the_first_newer_version() {
    let mut targets = TargetVersions::default();
    targets.record(1, Some(seconds(0.0)));
    targets.record(2, Some(seconds(100.0)));
    targets.record(3, Some(seconds(105.0)));
    let first = targets.usable_until(1, BOUND);
    let second = targets.usable_until(2, BOUND);
    assert!(first < second);
    assert!(first.is_some_and(|until| until <= seconds(112.0)));
    assert!(second.is_some_and(|until| until <= seconds(117.0)));
    assert_eq!(targets.usable_until(3, BOUND), None);
}

/// A host that reads of a version late receives the earlier time from other hosts.
#[test]
fn a_host_that_has_just_started_uses_the_earlier_time() {
    let mut local = TargetVersions::default();
    local.record(2, Some(seconds(108.0)));
    let mut others = TargetVersions::default();
    others.record(2, Some(seconds(100.0)));
    assert_eq!(oldest_allowed(&local, seconds(112.0)), 0);
    local.merge(&others);
    assert_eq!(oldest_allowed(&local, seconds(112.0)), 2);
    local.record(2, Some(seconds(110.0)));
    assert_eq!(oldest_allowed(&local, seconds(112.0)), 2);
}

/// A version that a host finds when it starts may be older than the bound.
#[test]
fn a_version_of_unknown_age_allows_no_older_one() {
    let mut targets = TargetVersions::default();
    targets.record(1, None);
    assert_eq!(oldest_allowed(&targets, seconds(100.0)), 1);
    targets.record(2, None);
    assert_eq!(oldest_allowed(&targets, seconds(100.0)), 2);
}

#[test]
fn an_age_that_another_host_tells_replaces_an_unknown_one() {
    let mut targets = TargetVersions::default();
    targets.record(2, None);
    assert!(targets.record(2, Some(seconds(100.0))));
    assert_eq!(oldest_allowed(&targets, seconds(101.0)), 0);
    assert!(!targets.record(2, None));
    assert!(!targets.record(2, Some(seconds(103.0))));
    assert_eq!(targets.newest(), Some((2, Some(seconds(100.0)))));
}
