//! Keyed requests while the platform's log fails.

mod support;

use std::time::Duration;

use http::{Method, StatusCode};
use papayayard::host;
use papayayard_stand_in::platform::Fault;
use papayayard_wire::id;
use papayayard_wire::refusal::{Kind, Ran};
use rstest::rstest;
use support::Bed;
use tokio::time;

/// Added time of each call, which leaves a claim enough of its wait.
const SLOW_MS: u64 = 300;
/// Longest time from the end of an outage to an answer.
const RECOVERY: Duration = Duration::from_secs(10);

/// Repeats the booking with its key as a refusal tells the caller to.
async fn come_back(host: &host::Running) {
    loop {
        let reply = support::service(host, Method::POST, "/bookings", Some("k"), "lesson").await;
        let reply = reply.expect("the exchange is whole");
        if reply.status == StatusCode::OK {
            return;
        }
        let error = reply.refusal().error;
        assert_eq!((error.kind, error.ran), (Kind::ClaimUnavailable, Ran::No));
        let after = error.retry_after_ms.expect("it says when to come back");
        time::sleep(Duration::from_millis(after)).await;
    }
}

/// Keyed requests that the services ran.
fn bookings(bed: &Bed) -> usize {
    let ledger = bed.service_ledger();
    ledger.iter().filter(|entry| entry.key.is_some()).count()
}

#[rstest]
#[case::answers_lost(Fault::LoseAppends { count: 2 })]
#[case::slow(Fault::Slow { delay_ms: SLOW_MS })]
#[tokio::test]
async fn a_keyed_booking_runs_once_at_a_failing_log(#[case] fault: Fault) {
    let bed = Bed::start(0, 2).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let hosts = [
        bed.ready_host("entry-1").await,
        bed.ready_host("entry-2").await,
    ];
    bed.platform.fault(fault);
    for host in &hosts {
        let reply = support::service(host, Method::POST, "/bookings", Some("k"), "lesson").await;
        let reply = reply.expect("the exchange is whole");
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
    assert_eq!(bookings(&bed), 1);
}

#[rstest]
#[case::down(Fault::Down)]
#[case::frozen(Fault::Freeze)]
#[case::cut_off(Fault::Cut { hosts: vec![id::Host::from("entry-1")] })]
#[tokio::test]
async fn a_keyed_booking_without_the_log_is_refused_as_not_run(#[case] fault: Fault) {
    let bed = Bed::start(0, 2).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    bed.platform.fault(fault);
    let reply = support::service(&host, Method::POST, "/bookings", Some("k"), "lesson").await;
    let refusal = reply.expect("the exchange is whole").refusal();
    let told = (refusal.error.kind, refusal.error.ran);
    assert_eq!(told, (Kind::ClaimUnavailable, Ran::No));
    assert_eq!(bookings(&bed), 0);
    let reply = support::service(&host, Method::GET, "/schedule", None, "").await;
    let reply = reply.expect("the exchange is whole");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    bed.platform.fault(Fault::Clear);
    let answered = time::timeout(RECOVERY, come_back(&host));
    answered.await.expect("the log answers again");
    assert_eq!(bookings(&bed), 1);
}
