//! Every stream is complete and in order, and belongs to its own request.

mod support;

use std::time::{Duration, Instant};

use http::Method;
use papayayard_stand_in::caller;
use papayayard_stand_in::engine::Fault;
use papayayard_stand_in::ledger::Outcome;
use papayayard_wire::refusal::Ran;
use papayayard_wire::{completion, header};
use rstest::rstest;
use support::Bed;

const PROMPT: &str = "The history of two partners at the studio in Bergen.";
const TOKENS: u64 = 24;
/// Time that an engine takes for a token.
const TOKEN_TIME: Duration = Duration::from_millis(20);
/// Time in which work leaves an endpoint that answers no more.
const GAP_BOUND: Duration = Duration::from_secs(3);

/// An engine's fault in the middle of a stream is not seen by the caller.
#[rstest]
#[case::cut(Fault::CutStreams { count: 1, after_tokens: 7 })]
#[case::cut_before_the_first_token(Fault::CutStreams { count: 1, after_tokens: 0 })]
#[case::cut_after_the_last_token(Fault::CutStreams { count: 1, after_tokens: TOKENS })]
#[case::cut_twice(Fault::CutStreams { count: 2, after_tokens: 3 })]
#[case::answer_lost(Fault::LoseAnswers { count: 1 })]
#[case::answer_of_another_request(Fault::WrongIds { count: 1 })]
#[case::other_refusal(Fault::StaleRefusals { count: 1, status: 503 })]
#[case::other_rejection(Fault::StaleRefusals { count: 1, status: 400 })]
#[case::refused(Fault::Refuse)]
#[tokio::test]
async fn a_stream_is_whole_although_engines_fail(#[case] fault: Fault) {
    let bed = Bed::start(3, 0).await;
    bed.publish(0, &support::document("v1", 3)).await;
    let host = bed.ready_host("entry-1").await;
    for engine in &bed.engines[..2] {
        engine.fault(fault.clone());
    }
    for _ in 0..4 {
        let reply = support::complete(&host, PROMPT, TOKENS).await;
        let text = reply.expect("the exchange is whole").complete_stream();
        assert_eq!(text, support::expected(PROMPT, TOKENS));
    }
}

/// An answer that is not streamed is the request's own, and whole.
#[rstest]
#[case::answer_lost(Fault::LoseAnswers { count: 1 })]
#[case::answer_of_another_request(Fault::WrongIds { count: 1 })]
#[case::other_rejection(Fault::StaleRefusals { count: 1, status: 400 })]
#[case::refused(Fault::Refuse)]
#[case::crashed(Fault::Crash { down_ms: 600_000 })]
#[tokio::test]
async fn a_whole_answer_is_the_requests_own(#[case] fault: Fault) {
    let bed = Bed::start(3, 0).await;
    bed.publish(0, &support::document("v1", 3)).await;
    let host = bed.ready_host("entry-1").await;
    for engine in &bed.engines[..2] {
        engine.fault(fault.clone());
    }
    let bearer = support::bearer(support::KEY);
    let headers = [("authorization", bearer.as_str())];
    let body = support::body(PROMPT, TOKENS, false);
    for _ in 0..4 {
        let callers = host.addresses().callers;
        let reply = support::call(callers, Method::POST, "/v1/completions", &headers, &body).await;
        let reply = reply.expect("the exchange is whole");
        let answer: completion::Answer<'_> =
            serde_json::from_slice(&reply.body).unwrap_or_else(|error| {
                panic!("{error}: {}", reply.text());
            });
        let own = reply.headers.get(header::REQUEST_ID);
        assert_eq!(
            own.map(http::HeaderValue::as_bytes),
            Some(answer.id.as_bytes())
        );
        let text = answer.choices[0].text.as_deref();
        assert_eq!(text, Some(support::expected(PROMPT, TOKENS).as_str()));
    }
}

/// A stream that broke off goes on although another engine answers with an error.
#[rstest]
#[case::rejection(400)]
#[case::error(500)]
#[case::refusal(503)]
#[tokio::test]
async fn an_engines_error_does_not_enter_a_stream(#[case] status: u16) {
    let bed = Bed::start(3, 0).await;
    bed.publish(0, &support::document("v1", 3)).await;
    let host = bed.ready_host("entry-1").await;
    for _ in 0..4 {
        let (count, after_tokens) = (1, 7);
        bed.engines[0].fault(Fault::CutStreams {
            count,
            after_tokens,
        });
        bed.engines[1].fault(Fault::StaleRefusals { count, status });
        let reply = support::complete(&host, PROMPT, TOKENS).await;
        let text = reply.expect("the exchange is whole").complete_stream();
        assert_eq!(text, support::expected(PROMPT, TOKENS));
    }
}

/// A repeated refusal of another request does not say that a request has not run.
#[tokio::test]
async fn a_completion_that_ran_is_not_told_as_not_run() {
    let bed = Bed::start(2, 0).await;
    bed.publish(0, &support::document("v1", 2)).await;
    let host = bed.ready_host("entry-1").await;
    for engine in &bed.engines {
        let (count, status) = (100, 503);
        engine.fault(Fault::StaleRefusals { count, status });
    }
    let reply = support::complete(&host, PROMPT, TOKENS).await;
    let refusal = reply.expect("the exchange is whole").refusal();
    assert_eq!(refusal.error.ran, Ran::Unknown);
    assert!(!bed.engine_ledger().is_empty());
}

/// An engine that crashes or stands still in mid-stream is replaced.
#[rstest]
#[case::crash(Fault::Crash { down_ms: 600_000 })]
#[case::freeze(Fault::Freeze)]
#[tokio::test]
async fn a_stream_goes_on_elsewhere(#[case] fault: Fault) {
    let bed = Bed::start(2, 0).await;
    bed.publish(0, &support::document("v1", 2)).await;
    let host = bed.ready_host("entry-1").await;
    let many = 200;
    let stream = support::complete(&host, PROMPT, many);
    let disturb = async {
        let busy = loop {
            tokio::task::yield_now().await;
            let started = |engine: &&papayayard_stand_in::engine::Running| {
                let ledger = engine.ledger();
                ledger.iter().any(|entry| entry.tokens >= 5)
            };
            if let Some(engine) = bed.engines.iter().find(started) {
                break engine;
            }
        };
        busy.fault(fault);
    };
    let start = Instant::now();
    let (reply, ()) = tokio::join!(stream, disturb);
    let took = start.elapsed();
    let text = reply.expect("the exchange is whole").complete_stream();
    assert_eq!(text, support::expected(PROMPT, many));
    let generation = TOKEN_TIME * u32::try_from(many).unwrap_or(u32::MAX);
    assert!(took < generation + GAP_BOUND, "{took:?}");
    let resumed = bed.engine_ledger().iter().any(|entry| entry.from > 0);
    assert!(resumed, "no engine went on from the caller's tokens");
}

/// A caller that goes away cancels its stream at the engine.
#[rstest]
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_stream() {
    let bed = Bed::start(1, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    let bearer = support::bearer(support::KEY);
    let response = caller::begin(
        host.addresses().callers,
        Method::POST,
        "/v1/completions",
        &[("authorization", bearer.as_str())],
        &support::body(PROMPT, 100_000, true),
    )
    .await
    .expect("the stream begins");
    drop(response);
    let start = Instant::now();
    while !bed
        .engine_ledger()
        .iter()
        .any(|entry| entry.outcome == Outcome::Cancelled)
    {
        assert!(start.elapsed() < support::PATIENCE, "the stream goes on");
        tokio::task::yield_now().await;
    }
}
