use std::time::Duration;

use papayayard_routing::placement::{
    Availability, Excluded, Exclusion, Query, Reason, RefusalReason,
};
use papayayard_routing::sharing;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};

use super::{Decision, Refusal, Request};
use crate::dispatch::{Cause, Selection};

/// Refusal as the release before knows it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldRefusal {
    why: String,
    retry_ms: u64,
    usable: usize,
    with_room: usize,
    first_event_ms: u64,
}

/// Decision as the release before knows it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldDecision {
    Refused(OldRefusal),
}

/// Placement as the release before sends it.
const OLD_PLACED: &str = r#"{"Placed":{"endpoint":"e0","address":"10.0.0.1:80","version":1,
    "salt":null,"fetch":null,"save":null,"first_event_us":1000,"cached":0,"unread":1,"reread":0}}"#;

fn old_decision() -> OldDecision {
    OldDecision::Refused(OldRefusal {
        why: "Overloaded".to_owned(),
        retry_ms: 350,
        usable: 3,
        with_room: 2,
        first_event_ms: 212,
    })
}

fn availability() -> Availability {
    let late = Exclusion {
        reason: Reason::Late,
        number: 3,
        endpoints: vec![Excluded {
            endpoint: id::Endpoint::from("e0"),
            first_event: Some(Duration::from_millis(212)),
        }],
    };
    Availability {
        usable: 3,
        with_capacity: 2,
        first_event: Duration::from_millis(212),
        exclusions: vec![late],
    }
}

fn decision(availability: Availability) -> Decision {
    let retry_after = Duration::from_millis(350);
    let refusal = Refusal::new(RefusalReason::Overloaded, retry_after, availability);
    Decision::Refused(refusal)
}

fn received(text: &str) -> Availability {
    let decision: Decision = serde_json::from_str(text).expect("a decision");
    let Decision::Refused(refusal) = decision else {
        panic!("the request is refused");
    };
    match refusal.into_selection(&id::Host::from("dispatcher")) {
        Selection::Refused { availability, .. } => availability,
        Selection::Placed(..) => panic!("the request is refused"),
    }
}

/// Hosts of the release before cannot read a refusal with reasons, and place all requests
/// themselves.
#[test]
fn a_refusal_with_reasons_is_read_by_older_releases() {
    let text = serde_json::to_string(&decision(availability())).expect("a text");
    let read: OldDecision = serde_json::from_str(&text).expect("an older release reads it");
    assert_eq!(read, old_decision());
}

/// A refusal without reasons, of a dispatcher of the release before, counts as a failed call.
#[test]
fn a_refusal_of_an_older_release_is_read() {
    let text = serde_json::to_string(&old_decision()).expect("a text");
    let expected = Availability {
        exclusions: Vec::new(),
        ..availability()
    };
    assert_eq!(received(&text), expected);
}

/// A placement of a dispatcher of the release before counts as a failed call.
#[test]
fn a_placement_of_an_older_release_is_read() {
    let decision: Decision = serde_json::from_str(OLD_PLACED).expect("a decision");
    let Decision::Placed(placed) = decision else {
        panic!("the request is placed");
    };
    assert!(!placed.is_trial);
}

/// Reasons or their endpoints are lost on the way.
#[test]
fn reasons_arrive_as_they_were_sent() {
    let text = serde_json::to_string(&decision(availability())).expect("a text");
    assert_eq!(received(&text), availability());
}

/// A refusal of a newer release is not read because of a reason that this one does not know.
#[test]
fn a_reason_of_a_newer_release_is_unknown() {
    let text = serde_json::to_string(&decision(availability())).expect("a text");
    let text = text.replace("\"late\"", "\"asleep\"");
    assert_eq!(received(&text).exclusions[0].reason, Reason::Unknown);
}

fn query(account: Option<&str>) -> Query {
    Query {
        service: id::Service::from("bookings"),
        account: account.map(id::Account::from),
        requesting_host: None,
        zone: id::Zone::from("a"),
        prompt: None,
        group: sharing::Group::default(),
        is_repeatable: true,
        priority: 1,
        target: Duration::from_millis(500),
        target_latency: Duration::from_millis(500),
        deadline: Duration::from_secs(5),
        waited: Duration::ZERO,
        software: None,
        tried: Vec::new(),
        avoided: Vec::new(),
    }
}

/// Guards against a dispatcher that does not know whose request it places, and against a field
/// that is sent without a value.
#[test]
fn the_account_of_a_request_arrives() {
    for account in [Some("school"), None] {
        let request = Request::new(1, &query(account), Duration::ZERO);
        let text = serde_json::to_string(&request).expect("a text");
        assert_eq!(text.contains("\"account\""), account.is_some());
        let request: Request = serde_json::from_str(&text).expect("a request");
        let (host, zone) = (id::Host::from("asker"), id::Zone::from("a"));
        let received = request.into_query(host, zone, Duration::ZERO);
        assert_eq!(received.account, account.map(id::Account::from));
    }
}

/// A refusal of a dispatcher that could not decide in time counts as a failed call at a host of
/// the release before, which then places requests itself.
#[test]
fn a_refusal_without_a_decision_is_read_by_older_releases() {
    let refusal = Refusal::undecided(Duration::from_millis(350));
    let text = serde_json::to_string(&Decision::Refused(refusal)).expect("a text");
    let OldDecision::Refused(read) =
        serde_json::from_str(&text).expect("an older release reads it");
    assert_eq!((read.why.as_str(), read.retry_ms), ("Overloaded", 350));
}

/// A host takes a dispatcher that could not decide in time for one without capacity.
#[test]
fn a_refusal_without_a_decision_names_the_busy_dispatcher() {
    let refusal = Refusal::undecided(Duration::from_millis(350));
    let text = serde_json::to_string(&Decision::Refused(refusal)).expect("a text");
    let Decision::Refused(refusal) = serde_json::from_str(&text).expect("a decision") else {
        panic!("the request is refused");
    };
    let selection = refusal.into_selection(&id::Host::from("dispatcher"));
    let Selection::Refused { reason, .. } = selection else {
        panic!("the request is refused");
    };
    assert_eq!(reason, Cause::BusyDispatcher);
}

/// The size of a refusal grows with what another release sends.
#[test]
fn a_refusal_names_a_bounded_number_of_endpoints() {
    let excluded = Excluded {
        endpoint: id::Endpoint::from("e0"),
        first_event: None,
    };
    let late = Exclusion {
        reason: Reason::Late,
        number: 1000,
        endpoints: vec![excluded; 1000],
    };
    let availability = Availability {
        exclusions: vec![late; 1000],
        ..availability()
    };
    let text = serde_json::to_string(&decision(availability)).expect("a text");
    assert!(text.len() < 2000, "{} bytes", text.len());
}
