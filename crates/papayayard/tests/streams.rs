//! Every stream is complete and in order, and belongs to its own request.

mod support;

use papayayard_stand_in::engine::Fault;
use papayayard_stand_in::ledger::Outcome;
use rstest::rstest;
use support::Bed;

const PROMPT: &str = "The history of two partners at the studio in Bergen.";
const TOKENS: u64 = 24;

/// An engine's fault in the middle of a stream is not seen by the caller.
#[rstest]
#[case::cut(Fault::CutStreams { count: 1, after_tokens: 7 })]
#[case::cut_before_the_first_token(Fault::CutStreams { count: 1, after_tokens: 0 })]
#[case::cut_after_the_last_token(Fault::CutStreams { count: 1, after_tokens: TOKENS })]
#[case::cut_twice(Fault::CutStreams { count: 2, after_tokens: 3 })]
#[case::answer_lost(Fault::LoseAnswers { count: 1 })]
#[case::answer_of_another_request(Fault::WrongIds { count: 1 })]
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
    let (reply, ()) = tokio::join!(stream, disturb);
    let text = reply.expect("the exchange is whole").complete_stream();
    assert_eq!(text, support::expected(PROMPT, many));
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
    let response = support::begin(
        host.addresses().callers,
        http::Method::POST,
        "/v1/completions",
        &[("authorization", bearer.as_str())],
        &support::body(PROMPT, 100_000, true),
    )
    .await
    .expect("the stream begins");
    drop(response);
    let start = std::time::Instant::now();
    while !bed
        .engine_ledger()
        .iter()
        .any(|entry| entry.outcome == Outcome::Cancelled)
    {
        assert!(start.elapsed() < support::PATIENCE, "the stream goes on");
        tokio::task::yield_now().await;
    }
}
