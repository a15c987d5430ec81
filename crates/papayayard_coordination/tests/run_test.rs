//! Which endpoints run the software that is listed.

use std::time::Duration;

use papayayard_coordination::run::{Doubt, Record, Runs};
use papayayard_wire::id;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);
/// Interval at which an endpoint writes its record.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Run and software of the record.
const OLD: (u64, &str) = (10, "old");
/// Run and software that started under the same identifier.
const NEW: (u64, &str) = (20, "new");

fn endpoint() -> id::Endpoint {
    id::Endpoint::from("engine")
}

fn list(runs: &mut Runs, (run, software): (u64, &str), heartbeat: u64, requested_at: Duration) {
    let record = Record {
        run: id::Incarnation(run),
        software: id::Software::from(software),
        heartbeat,
    };
    runs.list(&endpoint(), record, requested_at);
}

fn name(runs: &mut Runs, run: u64, called_at: Duration) {
    runs.name(&endpoint(), id::Incarnation(run), called_at);
}

fn follow(runs: &mut Runs, run: u64, called_at: Duration) {
    runs.follow(&endpoint(), id::Incarnation(run), called_at);
}

fn software(runs: &Runs) -> Option<&str> {
    runs.software(&endpoint()).map(id::Software::as_str)
}

/// An endpoint that is listed, and that names the listed run if it is followed.
fn listed(is_followed: bool) -> Runs {
    let mut runs = Runs::default();
    list(&mut runs, OLD, 1, NOW);
    if is_followed {
        follow(&mut runs, OLD.0, NOW);
    }
    runs
}

/// Guards against streams that go on at an endpoint between its crash and the first answer of
/// the run that follows: it still has the record of the run before.
#[rstest]
fn the_record_of_an_endpoint_that_crashed_tells_no_software(
    #[values(false, true)] is_followed: bool,
) {
    let mut runs = listed(is_followed);
    assert_eq!(software(&runs), Some(OLD.1));
    runs.doubt(&endpoint(), Doubt::Lost, NOW);
    assert_eq!(software(&runs), None);
    assert_eq!(runs.restarted().count(), 0, "it can be asked");
    name(&mut runs, NEW.0, NOW + HEARTBEAT);
    assert_eq!(software(&runs), None);
    assert!(runs.restarted().eq([&endpoint()]));
}

/// Guards against a restart of which no connection told.
#[test]
fn the_record_of_a_run_before_tells_no_software() {
    let mut runs = listed(true);
    name(&mut runs, NEW.0, NOW + HEARTBEAT);
    assert_eq!(software(&runs), None);
    list(&mut runs, OLD, 2, NOW + HEARTBEAT * 2);
    assert_eq!(software(&runs), None);
}

/// Guards against endpoints that stay excluded although the list has their run.
#[rstest]
fn an_endpoint_is_known_again_once_its_new_run_is_listed(
    #[values(false, true)] has_named: bool,
    #[values(false, true)] is_lost: bool,
) {
    let mut runs = listed(true);
    if is_lost {
        runs.doubt(&endpoint(), Doubt::Lost, NOW);
    }
    if has_named {
        name(&mut runs, NEW.0, NOW + HEARTBEAT);
    }
    list(&mut runs, NEW, 1, NOW + HEARTBEAT * 2);
    assert_eq!(software(&runs), Some(NEW.1));
    assert_eq!(runs.restarted().count(), 0);
    name(&mut runs, NEW.0, NOW + HEARTBEAT * 3);
    assert_eq!(software(&runs), Some(NEW.1));
}

/// Guards against sound endpoints that stay excluded after a lost connection.
#[test]
fn an_endpoint_is_known_again_once_it_names_the_listed_run() {
    let mut runs = listed(true);
    runs.doubt(&endpoint(), Doubt::Lost, NOW + HEARTBEAT);
    name(&mut runs, OLD.0, NOW);
    assert_eq!(
        software(&runs),
        None,
        "asked before the connection was lost"
    );
    name(&mut runs, OLD.0, NOW + HEARTBEAT);
    assert_eq!(software(&runs), Some(OLD.1));
}

/// Guards against endpoints without caches that stay excluded, and against heartbeats that were
/// written before a crash and read after it.
#[test]
fn only_a_heartbeat_that_follows_a_crash_confirms_a_record() {
    let mut runs = listed(false);
    runs.doubt(&endpoint(), Doubt::Suspected, NOW + HEARTBEAT);
    list(&mut runs, OLD, 2, NOW);
    list(&mut runs, OLD, 3, NOW + HEARTBEAT);
    assert_eq!(software(&runs), None, "may have been written before");
    list(&mut runs, OLD, 3, NOW + HEARTBEAT * 2);
    assert_eq!(software(&runs), None);
    list(&mut runs, OLD, 4, NOW + HEARTBEAT * 2);
    assert_eq!(software(&runs), Some(OLD.1));
}

/// Guards against the exclusion of faulty endpoints, which break off requests without a crash: a
/// followed one would tell of that.
#[test]
fn a_followed_endpoint_that_breaks_off_a_request_is_not_taken_for_crashed() {
    let mut runs = listed(true);
    runs.doubt(&endpoint(), Doubt::Suspected, NOW + HEARTBEAT);
    assert_eq!(software(&runs), Some(OLD.1));
    runs.doubt(&endpoint(), Doubt::Suspected, NOW + HEARTBEAT * 10);
    assert_eq!(software(&runs), None, "it is no longer followed");
}

/// Guards against a crash soon after an endpoint was asked once: nothing follows it.
#[test]
fn an_endpoint_that_was_asked_once_is_not_followed() {
    let mut runs = listed(false);
    name(&mut runs, OLD.0, NOW);
    runs.doubt(&endpoint(), Doubt::Suspected, NOW);
    assert_eq!(software(&runs), None);
    let listed = runs.listed_software(&endpoint());
    assert_eq!(listed.map(id::Software::as_str), Some(OLD.1));
}

#[test]
fn an_endpoint_that_is_not_listed_is_unknown() {
    let mut runs = listed(true);
    runs.retain(|_| false);
    assert_eq!(software(&runs), None);
    assert_eq!(runs.restarted().count(), 0);
    runs.doubt(&endpoint(), Doubt::Lost, NOW);
    name(&mut runs, OLD.0, NOW);
    assert_eq!(software(&runs), None);
}
