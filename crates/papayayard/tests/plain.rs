//! A non-idempotent request runs at most once, and a refusal that says that a
//! request was not run is true.

mod support;

use http::{Method, StatusCode};
use papayayard_stand_in::service::{self, Fault};
use papayayard_wire::refusal::{Kind, Ran};
use rstest::rstest;
use support::Bed;

/// What the caller is told of a non-idempotent request agrees with the ledger.
#[rstest]
#[case::answer_lost(Fault::LoseAnswers { count: 10 }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::other_answer(Fault::WrongIds { count: 10 }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::other_refusal(Fault::StaleRefusals { count: 10, id: Some("other".to_owned()) }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::unnamed_refusal(Fault::StaleRefusals { count: 10, id: None }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::unconfirmed_503(Fault::UnconfirmedRefusals { count: 10, status: 503 }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::unconfirmed_429(Fault::UnconfirmedRefusals { count: 10, status: 429 }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::unconfirmed_408(Fault::UnconfirmedRefusals { count: 10, status: 408 }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::frozen(Fault::Freeze, Kind::OutcomeUnknown, Ran::Unknown, 0)]
#[case::crashed(Fault::Crash { down_ms: 600_000 }, Kind::NoEndpoint, Ran::No, 0)]
#[tokio::test]
async fn a_booking_is_sent_at_most_once(
    #[case] fault: Fault,
    #[case] kind: Kind,
    #[case] ran: Ran,
    #[case] most_runs: usize,
) {
    let bed = Bed::start(0, 3).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    for service in &bed.services {
        service.fault(fault.clone());
    }
    let reply = support::service(&host, Method::POST, "/bookings", None, "lesson").await;
    let refusal = reply.expect("the exchange is whole").refusal();
    assert_eq!((refusal.error.kind, refusal.error.ran), (kind, ran));
    let runs = bed.service_ledger().len();
    assert!(runs <= most_runs, "{runs} runs");
}

/// An idempotent request is sent to another endpoint where one fails.
#[rstest]
#[case::answer_lost(Fault::LoseAnswers { count: 10 })]
#[case::other_answer(Fault::WrongIds { count: 10 })]
#[case::other_refusal(Fault::StaleRefusals { count: 10, id: Some("other".to_owned()) })]
#[case::refused(Fault::Refuse)]
#[case::unconfirmed(Fault::UnconfirmedRefusals { count: 10, status: 503 })]
#[case::crashed(Fault::Crash { down_ms: 600_000 })]
#[tokio::test]
async fn a_look_up_is_answered_although_an_endpoint_fails(#[case] fault: Fault) {
    let bed = Bed::start(0, 3).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    bed.services[0].fault(fault.clone());
    bed.services[1].fault(fault);
    for _ in 0..8 {
        let reply = support::service(&host, Method::GET, "/schedule", None, "").await;
        let reply = reply.expect("the exchange is whole");
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
}

/// A keyed booking that is repeated on any host runs once, and each caller
/// gets the first one's answer.
#[tokio::test]
async fn a_keyed_booking_runs_once_over_all_hosts() {
    let bed = Bed::start(0, 3).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let hosts = [
        bed.ready_host("entry-1").await,
        bed.ready_host("entry-2").await,
    ];
    let calls = (0..6).map(|index| {
        let host = &hosts[index % 2];
        support::service(host, Method::POST, "/bookings", Some("k1"), "lesson")
    });
    let replies = futures_util::future::join_all(calls).await;
    let texts: Vec<String> = replies
        .into_iter()
        .map(|reply| reply.expect("the exchange is whole"))
        .inspect(|reply| assert_eq!(reply.status, StatusCode::OK, "{}", reply.text()))
        .map(|reply| reply.text())
        .collect();
    assert!(texts.iter().all(|text| *text == texts[0]), "{texts:?}");
    assert_eq!(bed.service_ledger().len(), 1);
    let reply = support::service(&hosts[0], Method::POST, "/bookings", Some("k1"), "other").await;
    let refusal = reply.expect("the exchange is whole").refusal();
    assert_eq!(refusal.error.kind, Kind::KeyReused);
    assert_eq!(bed.service_ledger().len(), 1);
}

/// What is told of a keyed booking agrees with the ledger, also when it is
/// sent again to another host.
#[rstest]
#[case::answer_lost(Fault::LoseAnswers { count: 10 }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::unnamed_refusal(Fault::StaleRefusals { count: 10, id: None }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::unconfirmed(Fault::UnconfirmedRefusals { count: 10, status: 503 }, Kind::OutcomeUnknown, Ran::Unknown, 1)]
#[case::crashed(Fault::Crash { down_ms: 600_000 }, Kind::NoEndpoint, Ran::No, 0)]
#[tokio::test]
async fn a_failed_keyed_booking_is_not_sent_twice(
    #[case] fault: Fault,
    #[case] kind: Kind,
    #[case] ran: Ran,
    #[case] runs: usize,
) {
    let bed = Bed::start(0, 3).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let hosts = [
        bed.ready_host("entry-1").await,
        bed.ready_host("entry-2").await,
    ];
    for service in &bed.services {
        service.fault(fault.clone());
    }
    for host in hosts.iter().cycle().take(4) {
        let reply = support::service(host, Method::POST, "/bookings", Some("k1"), "lesson").await;
        let refusal = reply.expect("the exchange is whole").refusal();
        assert_eq!((refusal.error.kind, refusal.error.ran), (kind, ran));
    }
    assert_eq!(bed.service_ledger().len(), runs);
}

/// Endpoints of the own zone come first; another zone's serve where they fail.
#[rstest]
#[tokio::test]
async fn the_own_zone_is_asked_first() {
    let bed = Bed::start(0, 0).await;
    let mut services = Vec::new();
    for zone in ["bergen-a", "bergen-b"] {
        let options = service::Options {
            endpoint: format!("app-{zone}").into(),
            zone: zone.into(),
            platform: Some(bed.platform.address()),
            ..service::Options::default()
        };
        services.push(service::start(options).await.expect("the service starts"));
    }
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    let look_up = || support::service(&host, Method::GET, "/schedule", None, "");
    for _ in 0..8 {
        let reply = look_up().await.expect("the exchange is whole");
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
    assert_eq!(services[0].ledger().len(), 8);
    services[0].fault(Fault::Crash { down_ms: 600_000 });
    let reply = look_up().await.expect("the exchange is whole");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    assert_eq!(services[1].ledger().len(), 1);
}
