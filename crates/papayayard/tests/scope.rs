//! No answer draws on state that it should not see: a dead engine's cache,
//! another client account's, or older weights.

mod support;

use std::time::Duration;

use http::Method;
use papayayard::host;
use papayayard_stand_in::engine::Fault;
use papayayard_stand_in::ledger::Outcome;
use papayayard_wire::{endpoint, id};
use rstest::rstest;
use support::Bed;

/// A prompt of several cached pieces.
fn long_prompt() -> String {
    "The partner history of the studio. ".repeat(2_000)
}

async fn cached(host: &host::Running, key: &str, prompt: &str) -> u64 {
    let bearer = support::bearer(key);
    let headers = [("authorization", bearer.as_str())];
    let body = support::body(prompt, 2, false);
    let callers = host.addresses().callers;
    let reply = support::call(callers, Method::POST, "/v1/completions", &headers, &body).await;
    let reply = reply.expect("the exchange is whole");
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    let usage = support::field(&answer, "usage");
    let details = support::field(usage, "prompt_tokens_details");
    support::field(details, "cached_tokens")
        .as_u64()
        .expect("a count")
}

#[rstest]
#[tokio::test]
async fn accounts_share_no_cached_block() {
    let bed = Bed::start(1, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    let prompt = long_prompt();
    assert_eq!(cached(&host, support::KEY, &prompt).await, 0);
    assert!(cached(&host, support::KEY, &prompt).await > 0);
    assert_eq!(cached(&host, support::OTHER_KEY, &prompt).await, 0);
}

#[rstest]
#[tokio::test]
async fn a_crash_forgets_what_the_engine_had_cached() {
    let bed = Bed::start(1, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    let prompt = long_prompt();
    assert_eq!(cached(&host, support::KEY, &prompt).await, 0);
    let before = bed.engines[0].truth().report().incarnation;
    bed.engines[0].fault(Fault::Crash { down_ms: 1 });
    support::wait_until(&host, |status| {
        let engine = &status.endpoints[0];
        engine.eligible && engine.incarnation.is_some_and(|now| now != before)
    })
    .await;
    assert_eq!(cached(&host, support::KEY, &prompt).await, 0);
}

/// An answer of a run that began after the choice is not used: what the choice
/// relied on died with the run before.
#[rstest]
#[tokio::test]
async fn an_answer_of_another_run_is_not_used() {
    let bed = Bed::start(2, 0).await;
    bed.publish(0, &support::document("v1", 2)).await;
    let mut settings = bed.settings("entry-1", "bergen-a", &[]);
    settings.periods.report = Duration::from_hours(1);
    settings.periods.events = Duration::from_hours(1);
    let host = host::start(settings, host::Blind);
    let host = host.expect("the host starts");
    support::wait_until(&host, |status| {
        status.endpoints.iter().filter(|one| one.eligible).count() == 2
    })
    .await;
    let prompt = long_prompt();
    cached(&host, support::KEY, &prompt).await;
    let first = usize::from(bed.engines[0].ledger().is_empty());
    let before = bed.engines[first].truth().report().incarnation;
    bed.engines[first].fault(Fault::Crash { down_ms: 1 });
    let address = bed.engines[first].address();
    loop {
        let reply = support::call(address, Method::GET, "/report", &[], "").await;
        let report = reply.and_then(|reply| serde_json::from_slice(&reply.body).ok());
        if report.is_some_and(|report: endpoint::Report| report.incarnation != before) {
            break;
        }
    }
    cached(&host, support::KEY, &prompt).await;
    let answered = bed.engines[1 - first].ledger();
    let complete = answered
        .iter()
        .filter(|entry| entry.outcome == Outcome::Complete);
    assert_eq!(complete.count(), 1);
}

/// New weights: no request runs on the old ones once the host has the new
/// document, and the caller is told that a request was not run.
#[rstest]
#[tokio::test]
async fn older_weights_get_no_request() {
    let bed = Bed::with(2, 0, |options| {
        options.load_time = Duration::from_millis(50);
    })
    .await;
    bed.publish(0, &support::document("v1", 2)).await;
    let host = bed.ready_host("entry-1").await;
    let first = support::complete(&host, "a", 2).await;
    first.expect("the exchange is whole").complete_stream();

    bed.publish(1, &support::document("v2", 2)).await;
    support::wait_until(&host, |status| status.revision == id::Revision(2)).await;
    let runs = bed.engine_ledger().len();
    let order = endpoint::Order {
        fence: id::Fence(1),
        goal: endpoint::Goal::Load {
            model: "match".into(),
            version: "v2".into(),
        },
    };
    let body = serde_json::to_string(&order).expect("an order is JSON");
    let address = bed.engines[1].address();
    let reply = support::call(address, Method::POST, "/orders", &[], &body).await;
    assert!(reply.expect("the engine answers").status.is_success());
    support::wait_until(&host, |status| status.endpoints.iter().any(|e| e.eligible)).await;
    for _ in 0..6 {
        let reply = support::complete(&host, "b", 2).await;
        reply.expect("the exchange is whole").complete_stream();
    }
    let ledger = bed.engine_ledger();
    assert_eq!(ledger.len(), runs + 6);
    let new = ledger.iter().filter(|e| e.version == Some("v2".into()));
    assert_eq!(new.count(), 6);
}
