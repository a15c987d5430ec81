//! The plain service: receipts, faults, and the ledger that tells the truth.

mod common;

use common::{eventually, send};
use http::StatusCode;
use papayayard_stand_in::client::Client;
use papayayard_stand_in::generate::Digest;
use papayayard_stand_in::ledger::{Ledger, Outcome};
use papayayard_stand_in::service::{Fault, Options, Running, start};
use papayayard_wire::header;

async fn service() -> Running {
    let options = Options {
        time_scale: common::TIME_SCALE,
        ..Options::default()
    };
    start(options).await.expect("the service starts")
}

async fn book(service: &Running) -> Option<common::Answer> {
    let headers = [
        (header::REQUEST_ID, "r-1"),
        (header::IDEMPOTENCY_KEY, "booking-1"),
    ];
    send("POST", service.address(), "/bookings", &headers, "{}").await
}

#[tokio::test]
async fn a_request_is_run_once_and_noted() {
    let service = service().await;
    let answer = book(&service).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header(header::REQUEST_ID), Some("r-1"));
    assert_eq!(answer.json()["run"], 1);
    let ledger = service.ledger();
    assert_eq!(ledger.len(), 1);
    assert_eq!(ledger[0].key, Some("booking-1".into()));
    assert_eq!(ledger[0].route, "POST /bookings");
    assert_eq!(ledger[0].digest, Digest::of_body(b"{}"));
}

#[tokio::test]
async fn a_lost_answer_was_run() {
    let service = service().await;
    service.fault(Fault::LoseAnswers { count: 1 });
    assert!(book(&service).await.is_none());
    assert_eq!(service.ledger()[0].outcome, Outcome::Complete);
}

#[tokio::test]
async fn a_refusal_runs_nothing() {
    let service = service().await;
    service.fault(Fault::Refuse);
    let answer = book(&service).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.header(header::RAN), Some("no"));
    assert!(service.ledger().is_empty());
}

#[tokio::test]
async fn a_crossed_answer_bears_another_id() {
    let service = service().await;
    service.fault(Fault::WrongIds { count: 1 });
    let answer = book(&service).await.unwrap();
    assert_ne!(answer.header(header::REQUEST_ID), Some("r-1"));
}

#[tokio::test]
async fn a_crash_in_the_middle_is_noted_and_the_service_comes_back() {
    let service = service().await;
    service.fault(Fault::Slow {
        delay_ms: 3_600_000_000,
    });
    let call = async { book(&service).await };
    let crash = async {
        eventually(async || service.ledger().first().map(drop)).await;
        service.fault(Fault::Clear);
        service.fault(Fault::Crash { down_ms: 100 });
    };
    let (answer, ()) = tokio::join!(call, crash);
    assert!(answer.is_none());
    assert_eq!(service.ledger()[0].outcome, Outcome::Crashed);
    let answer = eventually(async || book(&service).await).await;
    let before = service.ledger()[0].incarnation;
    let now = answer.header(header::INCARNATION).unwrap().parse();
    assert!(now.is_ok_and(|now: u64| now > before.0));
}

#[tokio::test]
async fn the_ledger_is_on_the_control_listener_only() {
    let service = service().await;
    let control = Client::new(service.control());
    let ledger: Ledger = control.get("/ledger").await.unwrap();
    assert!(ledger.entries.is_empty());
    let own = send("GET", service.address(), "/ledger", &[], "").await;
    assert_eq!(own.unwrap().json()["run"], 1);
}
