//! The engine's faults, each seen by a caller and held against the ledger.

mod common;

use common::{complete, completion, engine, eventually};
use http::StatusCode;
use papayayard_stand_in::client::Client;
use papayayard_stand_in::engine::{Fault, Options};
use papayayard_stand_in::ledger::{Ledger, Outcome};
use papayayard_wire::endpoint::{Page, Report};
use papayayard_wire::header;
use rstest::rstest;

const PROMPT: &str = "a member's partner history";

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[tokio::test]
async fn a_crash_drops_streams_and_comes_back_empty(#[case] stream: bool) {
    let engine = engine(Options::default()).await;
    let before = engine.truth().report().incarnation;
    let call = tokio::spawn({
        let address = engine.address();
        async move { complete(address, &[], &completion(PROMPT, 1_000_000, stream)).await }
    });
    eventually(async || {
        engine
            .ledger()
            .first()
            .filter(|entry| entry.tokens > 0)
            .map(drop)
    })
    .await;
    engine.fault(Fault::Crash { down_ms: 2000 });
    let answer = call.await.unwrap();
    assert!(answer.is_none_or(|answer| answer.broken && !answer.is_done()));
    assert_eq!(engine.ledger()[0].outcome, Outcome::Crashed);
    let report = eventually(async || {
        let client = Client::new(engine.address());
        client.get::<Report>("/report").await.ok()
    })
    .await;
    assert!(report.incarnation > before);
    assert_eq!((report.running, report.sequence), (0, 0));
}

#[tokio::test]
async fn the_control_listener_answers_while_the_engine_is_down() {
    let engine = engine(Options::default()).await;
    let control = Client::new(engine.control());
    let crash = Fault::Crash {
        down_ms: 3_600_000_000,
    };
    control.post::<_, ()>("/control", &crash).await.unwrap();
    let ledger: Ledger = control.get("/ledger").await.unwrap();
    assert!(ledger.entries.is_empty());
    let answer = complete(engine.address(), &[], &completion(PROMPT, 1, false)).await;
    assert!(answer.is_none());
}

#[tokio::test]
async fn a_frozen_engine_answers_nothing_until_it_moves_again() {
    let engine = engine(Options::default()).await;
    engine.fault(Fault::Freeze);
    let call = tokio::spawn({
        let address = engine.address();
        async move { complete(address, &[], &completion(PROMPT, 3, true)).await }
    });
    eventually(async || (engine.held() > 0).then_some(())).await;
    assert!(!call.is_finished());
    assert!(engine.ledger().is_empty());
    engine.fault(Fault::Clear);
    assert!(call.await.unwrap().unwrap().is_done());
}

#[tokio::test]
async fn a_refusal_runs_nothing() {
    let engine = engine(Options::default()).await;
    engine.fault(Fault::Refuse);
    let answer = complete(engine.address(), &[], &completion(PROMPT, 3, true)).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.header(header::RAN), Some("no"));
    assert!(engine.ledger().is_empty());
}

#[rstest]
#[case::before_the_first(0)]
#[case::after_some(4)]
#[tokio::test]
async fn a_cut_stream_breaks_off_after_its_tokens(#[case] after_tokens: u64) {
    let engine = engine(Options::default()).await;
    engine.fault(Fault::CutStreams {
        count: 1,
        after_tokens,
    });
    let body = completion(PROMPT, 9, true);
    let answer = complete(engine.address(), &[], &body).await.unwrap();
    assert!(answer.broken && !answer.is_done());
    assert!(answer.chunks().len() as u64 <= after_tokens);
    let next = complete(engine.address(), &[], &body).await.unwrap();
    assert!(next.is_done());
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[tokio::test]
async fn a_lost_answer_was_run(#[case] stream: bool) {
    let engine = engine(Options::default()).await;
    engine.fault(Fault::LoseAnswers { count: 1 });
    let body = completion(PROMPT, 3, stream);
    let answer = complete(engine.address(), &[(header::REQUEST_ID, "r-7")], &body).await;
    assert!(answer.is_none());
    let entry = &engine.ledger()[0];
    assert_eq!(entry.request, Some("r-7".into()));
    assert_eq!((entry.outcome, entry.tokens), (Outcome::Complete, 3));
}

#[tokio::test]
async fn a_crossed_answer_bears_another_id() {
    let engine = engine(Options::default()).await;
    engine.fault(Fault::WrongIds { count: 1 });
    let headers = [(header::REQUEST_ID, "r-1")];
    let body = completion(PROMPT, 3, false);
    let crossed = complete(engine.address(), &headers, &body).await.unwrap();
    assert_ne!(crossed.header(header::REQUEST_ID), Some("r-1"));
    assert_ne!(crossed.json()["id"], "r-1");
    let next = complete(engine.address(), &headers, &body).await.unwrap();
    assert_eq!(next.header(header::REQUEST_ID), Some("r-1"));
}

#[tokio::test]
async fn a_prompt_with_the_marker_crashes_the_engine_each_time() {
    let engine = engine(Options::default()).await;
    engine.fault(Fault::CrashOn {
        marker: Some("killer".to_owned()),
        down_ms: 100,
    });
    for time in 1..=2 {
        let body = completion("the killer prompt", 3, true);
        eventually(async || {
            complete(engine.address(), &[], &body)
                .await
                .is_none()
                .then_some(())
        })
        .await;
        eventually(async || {
            let body = completion(PROMPT, 1, true);
            complete(engine.address(), &[], &body)
                .await
                .filter(common::Answer::is_done)
        })
        .await;
        let ledger = engine.ledger();
        let crashed = ledger
            .iter()
            .filter(|entry| entry.outcome == Outcome::Crashed);
        assert!(crashed.count() >= time);
    }
}

#[rstest]
#[case::inside("entry-1", true)]
#[case::outside("entry-2", false)]
#[tokio::test]
async fn a_cut_host_reaches_nothing(#[case] host: &str, #[case] cut: bool) {
    let engine = engine(Options::default()).await;
    engine.fault(Fault::Cut {
        hosts: vec!["entry-1".into()],
    });
    let headers = [(header::HOST_ID, host)];
    let answer = complete(engine.address(), &headers, &completion(PROMPT, 1, false)).await;
    assert_eq!(answer.is_none(), cut);
}

#[tokio::test]
async fn lost_events_leave_gaps_in_the_sequence() {
    let engine = engine(Options::default()).await;
    engine.fault(Fault::Events {
        lost: 1.0,
        delay_ms: 0,
    });
    let headers = [(header::BLOCK_SIZE, "8")];
    complete(engine.address(), &headers, &completion(PROMPT, 1, false)).await;
    engine.fault(Fault::Clear);
    let other = completion("another prompt of a member", 1, false);
    complete(engine.address(), &headers, &other).await;
    let client = Client::new(engine.address());
    let page = eventually(async || {
        let page: Page = client.get("/events?after=0").await.ok()?;
        (!page.events.is_empty()).then_some(page)
    })
    .await;
    assert!(page.events[0].sequence > 1);
}

#[tokio::test]
async fn an_unknown_fault_is_rejected() {
    let engine = engine(Options::default()).await;
    let control = Client::new(engine.control());
    let unknown = serde_json::json!({ "fault": "melt" });
    assert!(control.post::<_, ()>("/control", &unknown).await.is_err());
}
