//! The engine's published interface: answers, versions, orders, ledger.

mod common;

use std::time::Duration;

use common::{complete, completion, engine, eventually};
use http::StatusCode;
use papayayard_stand_in::engine::{Fencing, Options, Running};
use papayayard_stand_in::generate::{self, Digest};
use papayayard_stand_in::ledger::Outcome;
use papayayard_stand_in::{client, engine as engines};
use papayayard_wire::endpoint::{Change, Goal, Order, Page, Report, State};
use papayayard_wire::{header, id};
use rstest::rstest;
use serde_json::{Value, json};

const PROMPT: &str = "a crew's long log history";

async fn order(engine: &Running, fence: u64, goal: Goal) -> Result<Value, client::Error> {
    let order = Order {
        fence: id::Fence(fence),
        goal,
    };
    let client = client::Client::new(engine.address());
    client.post("/orders", &order).await
}

fn load(version: &str) -> Goal {
    Goal::Load {
        model: "match".into(),
        version: version.into(),
    }
}

async fn report(engine: &Running) -> Report {
    let client = client::Client::new(engine.address());
    client.get("/report").await.expect("the engine reports")
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[tokio::test]
async fn an_answer_is_what_the_prompt_generates(#[case] stream: bool) {
    let engine = engine(Options::default()).await;
    let body = completion(PROMPT, 12, stream);
    let headers = [(header::REQUEST_ID, "r-1")];
    let answer = complete(engine.address(), &headers, &body).await.unwrap();
    let expected = generate::text(Digest::of_body(PROMPT.as_bytes()), 0, 12);
    let text = if stream {
        answer.stream_text()
    } else {
        answer.text()
    };
    assert_eq!(text, expected);
    assert_eq!(answer.is_done(), stream);
    assert_eq!(answer.header(header::REQUEST_ID), Some("r-1"));
    assert!(answer.header(header::INCARNATION).is_some());
}

#[tokio::test]
async fn positions_are_in_order_and_usage_comes_last() {
    let engine = engine(Options::default()).await;
    let body = completion(PROMPT, 5, true);
    let answer = complete(engine.address(), &[], &body).await.unwrap();
    let places: Vec<_> = answer
        .chunks()
        .iter()
        .map(|chunk| (chunk.0, chunk.1))
        .collect();
    assert_eq!(places, [(0, 1), (1, 1), (2, 1), (3, 1), (4, 1), (5, 0)]);
    let text = String::from_utf8(answer.body).unwrap();
    assert_eq!(text.matches("\"usage\"").count(), 1);
}

#[rstest]
#[case::start(0)]
#[case::middle(7)]
#[case::last(11)]
#[tokio::test]
async fn another_engine_goes_on_from_any_position(#[case] position: u64) {
    let digest = Digest::of_body(PROMPT.as_bytes());
    let had = generate::text(digest, 0, position);
    let other = engine(Options {
        endpoint: "engine-1".into(),
        ..Options::default()
    })
    .await;
    let mut body = completion(PROMPT, 12, true);
    body["continuation"] = json!({ "position": position, "text": had });
    let answer = complete(other.address(), &[], &body).await.unwrap();
    assert_eq!(answer.chunks()[0].0, position);
    let whole = had + &answer.stream_text();
    assert_eq!(whole, generate::text(digest, 0, 12));
    let entry = &other.ledger()[0];
    assert_eq!((entry.from, entry.tokens), (position, 12 - position));
}

#[tokio::test]
async fn a_continuation_of_another_text_is_not_run() {
    let engine = engine(Options::default()).await;
    let mut body = completion(PROMPT, 12, true);
    body["continuation"] = json!({ "position": 2, "text": "no such" });
    let answer = complete(engine.address(), &[], &body).await.unwrap();
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(answer.header(header::RAN), Some("no"));
    assert!(engine.ledger().is_empty());
}

#[rstest]
#[case::same("1", StatusCode::OK)]
#[case::other("2", StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn only_the_loaded_weights_serve(#[case] version: &str, #[case] status: StatusCode) {
    let engine = engine(Options::default()).await;
    let headers = [(header::WEIGHTS_VERSION, version)];
    let body = completion(PROMPT, 2, false);
    let answer = complete(engine.address(), &headers, &body).await.unwrap();
    assert_eq!(answer.status, status);
    let refused = status != StatusCode::OK;
    assert_eq!(answer.header(header::RAN), refused.then_some("no"));
    assert_eq!(engine.ledger().len(), usize::from(!refused));
}

#[rstest]
#[case::bad_json("{", StatusCode::BAD_REQUEST)]
#[case::other_model(r#"{"model":"other","prompt":"x"}"#, StatusCode::NOT_FOUND)]
#[tokio::test]
async fn a_request_that_cannot_run_is_said_not_to_have_run(
    #[case] body: &str,
    #[case] status: StatusCode,
) {
    let engine = engine(Options::default()).await;
    let answer = common::send("POST", engine.address(), "/v1/completions", &[], body);
    let answer = answer.await.unwrap();
    assert_eq!(answer.status, status);
    assert_eq!(answer.header(header::RAN), Some("no"));
    assert!(engine.ledger().is_empty());
}

#[rstest]
#[case::checked(Fencing::Checked, false)]
#[case::ignored(Fencing::Ignored, true)]
#[tokio::test]
async fn an_old_fencing_number(#[case] fencing: Fencing, #[case] obeyed: bool) {
    let engine = engine(Options {
        fencing,
        ..Options::default()
    })
    .await;
    order(&engine, 7, load("1"))
        .await
        .expect("the newest number");
    assert_eq!(order(&engine, 6, Goal::Drain).await.is_ok(), obeyed);
    let state = engine.truth().report().state;
    assert_eq!(state == State::Draining, obeyed);
}

#[tokio::test]
async fn a_load_drains_refuses_clears_and_serves_the_new_version() {
    let engine = engine(Options {
        load_time: Duration::from_secs(10),
        cache_lifetime: Duration::from_hours(24),
        ..Options::default()
    })
    .await;
    let salted = [
        (header::CACHE_SALT, "0000000000000001"),
        (header::BLOCK_SIZE, "8"),
    ];
    complete(engine.address(), &salted, &completion(PROMPT, 2, false)).await;
    order(&engine, 1, load("2")).await.unwrap();
    let answer = complete(engine.address(), &[], &completion(PROMPT, 2, false)).await;
    assert_eq!(answer.unwrap().header(header::RAN), Some("no"));
    eventually(async || {
        let report = report(&engine).await;
        (report.version.as_str() == "2" && report.state == State::Ready).then_some(())
    })
    .await;
    let answer = complete(engine.address(), &salted, &completion(PROMPT, 2, false)).await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    let ledger = engine.ledger();
    assert_eq!(ledger.len(), 2);
    assert_eq!(ledger[1].version, Some("2".into()));
    assert_eq!(ledger[1].cached_tokens, 0);
}

#[tokio::test]
async fn a_repeated_load_of_the_loaded_version_changes_nothing() {
    let engine = engine(Options::default()).await;
    order(&engine, 1, load("1")).await.unwrap();
    assert_eq!(engine.truth().report().state, State::Ready);
}

#[tokio::test]
async fn a_second_request_finds_the_prefix_and_events_tell_of_it() {
    let engine = engine(Options::default()).await;
    let headers = [
        (header::CACHE_SALT, "00000000000000aa"),
        (header::BLOCK_SIZE, "8"),
    ];
    let body = completion(PROMPT, 2, false);
    for expected in [0, 6] {
        let answer = complete(engine.address(), &headers, &body).await.unwrap();
        let usage = &answer.json()["usage"]["prompt_tokens_details"]["cached_tokens"];
        assert_eq!(usage.as_u64(), Some(expected));
    }
    let client = client::Client::new(engine.address());
    let page = eventually(async || {
        let page: Page = client.get("/events?after=0").await.ok()?;
        (!page.events.is_empty()).then_some(page)
    })
    .await;
    let stored = page.events.iter().filter_map(|event| match &event.change {
        Change::Stored { keys } => Some(keys.len()),
        Change::Removed { .. } | Change::Cleared => None,
    });
    assert_eq!(stored.sum::<usize>(), 3);
}

#[tokio::test]
async fn a_caller_that_goes_away_cancels_its_request() {
    let engine = engine(Options::default()).await;
    let body = completion(PROMPT, 1_000_000, true);
    let call = tokio::spawn({
        let address = engine.address();
        async move { complete(address, &[], &body).await }
    });
    eventually(async || {
        engine
            .ledger()
            .first()
            .filter(|entry| entry.tokens > 0)
            .map(drop)
    })
    .await;
    call.abort();
    let ended = eventually(async || {
        let outcome = engine.ledger()[0].outcome;
        (outcome != Outcome::Running).then_some(outcome)
    });
    assert_eq!(ended.await, Outcome::Cancelled);
}

#[tokio::test]
async fn a_caller_that_goes_away_before_the_first_token_cancels_its_request() {
    let mut options = Options::default();
    options.rates.prefill_rate = 10;
    let engine = engine(options).await;
    let prompt = PROMPT.repeat(100_000);
    let call = tokio::spawn({
        let address = engine.address();
        async move { complete(address, &[], &completion(&prompt, 1, true)).await }
    });
    eventually(async || engine.ledger().first().map(drop)).await;
    call.abort();
    let ended = eventually(async || {
        let outcome = engine.ledger()[0].outcome;
        (outcome != Outcome::Running).then_some(outcome)
    });
    assert_eq!(ended.await, Outcome::Cancelled);
}

#[tokio::test]
async fn reports_lag_and_say_so() {
    let lag = Duration::from_hours(1);
    let engine = engine(Options {
        report_lag: lag,
        ..Options::default()
    })
    .await;
    report(&engine).await;
    order(&engine, 1, Goal::Drain).await.unwrap();
    assert_eq!(engine.truth().report().state, State::Draining);
    assert_eq!(report(&engine).await.state, State::Ready);
}

#[tokio::test]
async fn each_start_has_a_number_of_its_own() {
    let first = engines::start(Options::default()).await.unwrap();
    let second = engines::start(Options::default()).await.unwrap();
    assert!(first.truth().report().incarnation < second.truth().report().incarnation);
}
