//! An endpoint that is leaving gets no new work, and a planned stop of a host
//! cuts no request.

mod support;

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use papayayard_stand_in::caller;
use papayayard_stand_in::{engine, ledger};
use papayayard_wire::refusal::{Kind, Ran};
use papayayard_wire::{directory, endpoint, id};
use rstest::rstest;
use support::Bed;

const PROMPT: &str = "The greasing log of the ramp at the terminal.";
/// Time after which a leaving endpoint may get no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// First sign that an endpoint is leaving.
#[derive(Clone, Copy, Debug)]
enum Sign {
    /// The platform's list says so.
    Listed,
    /// It is gone from the platform's list.
    Unlisted,
    /// Its own report says so.
    Reported,
}

async fn leave(bed: &Bed, engine: &engine::Running, sign: Sign) {
    let report = engine.truth().report();
    match sign {
        Sign::Listed => bed.platform.put_endpoint(directory::Endpoint {
            id: report.endpoint,
            service: "match-llm".into(),
            zone: "bergen-a".into(),
            address: engine.address(),
            state: directory::State::Leaving,
        }),
        Sign::Unlisted => bed.platform.remove(report.endpoint.as_str()),
        Sign::Reported => {
            let order = endpoint::Order {
                fence: id::Fence(1),
                goal: endpoint::Goal::Drain,
            };
            let body = serde_json::to_string(&order).expect("an order is JSON");
            let reply = support::call(engine.address(), Method::POST, "/orders", &[], &body).await;
            let reply = reply.expect("the engine answers");
            assert!(reply.status.is_success(), "{}", reply.text());
        }
    }
}

#[rstest]
#[case::listed(Sign::Listed)]
#[case::unlisted(Sign::Unlisted)]
#[case::reported(Sign::Reported)]
#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_work_and_finishes_what_it_has(#[case] sign: Sign) {
    let bed = Bed::start(2, 0).await;
    bed.publish(0, &support::document("v1", 2)).await;
    let host = bed.ready_host("entry-1").await;

    let long = support::complete(&host, PROMPT, 100);
    let rest = async {
        let busy = loop {
            tokio::task::yield_now().await;
            let busy = bed.engines.iter().find(|e| !e.ledger().is_empty());
            if let Some(engine) = busy {
                break engine;
            }
        };
        let name = busy.truth().endpoint();
        let start = Instant::now();
        leave(&bed, busy, sign).await;
        support::wait_until(&host, |status| {
            let seen = status.endpoints.iter().find(|e| e.id == name);
            seen.is_none_or(|endpoint| !endpoint.eligible)
        })
        .await;
        assert!(start.elapsed() < LEAVING_BOUND, "{:?}", start.elapsed());
        for _ in 0..6 {
            let reply = support::complete(&host, PROMPT, 2).await;
            reply.expect("the exchange is whole").complete_stream();
        }
        busy.ledger()
    };
    let (reply, ledger) = tokio::join!(long, rest);
    let text = reply.expect("the exchange is whole").complete_stream();
    assert_eq!(text, support::expected(PROMPT, 100));
    assert_eq!(ledger.len(), 1, "{ledger:?}");
    let cut = |entry: &ledger::Entry| entry.outcome == ledger::Outcome::Cancelled;
    assert!(!bed.engine_ledger().iter().any(cut), "a stream was cut");
}

#[rstest]
#[tokio::test]
async fn a_planned_stop_cuts_no_request() {
    let bed = Bed::start(1, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    let callers = host.addresses().callers;
    let bearer = support::bearer(support::KEY);
    let headers = [("authorization", bearer.as_str())];
    let many = support::body(PROMPT, 100, true);
    let long = caller::begin(callers, Method::POST, "/v1/completions", &headers, &many);
    let long = long.await.expect("the stream begins");

    let stopped = tokio::spawn(host.stop());
    let unready = loop {
        let reply = support::call(callers, Method::GET, "/readyz", &[], "").await;
        let Some(reply) = reply.filter(|reply| reply.status == StatusCode::OK) else {
            break true;
        };
        drop(reply);
        tokio::task::yield_now().await;
    };
    assert!(unready);
    let late = support::call(callers, Method::POST, "/v1/completions", &headers, &many).await;
    if let Some(late) = late {
        let refusal = late.refusal();
        assert_eq!(refusal.error.kind, Kind::Stopping);
        assert_eq!(refusal.error.ran, Ran::No);
    }
    let (head, body) = long.into_parts();
    let body = http_body_util::BodyExt::collect(body).await;
    let reply = support::Reply {
        status: head.status,
        headers: head.headers,
        body: body.expect("the stream is whole").to_bytes(),
    };
    assert_eq!(reply.complete_stream(), support::expected(PROMPT, 100));
    stopped.await.expect("the host stops");
    assert_eq!(bed.engine_ledger().len(), 1);
}
