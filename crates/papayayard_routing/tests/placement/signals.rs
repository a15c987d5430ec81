//! Signals from endpoints' answers take precedence over the list.

use std::time::Duration;

use papayayard_routing::placement::{Decision, Endpoint, Outcome, RefusalReason, Scheduler};
use papayayard_wire::id;
use rstest::rstest;

use crate::support::{self, NOW, ms};

fn is_placed(scheduler: &mut Scheduler, at: std::time::Duration) -> bool {
    let query = support::query(support::history("dancer"), at);
    match support::decide(scheduler, query, at) {
        Some(Decision::Placed(placement)) => {
            scheduler.record_outcome(placement.ticket, Outcome::Whole, at);
            true
        }
        _ => false,
    }
}

/// A scheduler whose only engine has announced that it is leaving.
fn leaving() -> Scheduler {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let query = support::query(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, query, NOW);
    scheduler.mark_leaving(placement.ticket);
    scheduler.record_outcome(placement.ticket, Outcome::Whole, NOW);
    scheduler
}

/// A scheduler whose only engine has announced to another host that it is leaving.
fn leaving_by_another_host() -> Scheduler {
    let engines = support::engines(1, 1);
    let mut scheduler = support::scheduler(&engines, 1);
    scheduler.mark_endpoint_leaving(&engines[0].id);
    scheduler.mark_endpoint_leaving(&id::Endpoint::from("unknown"));
    scheduler
}

#[rstest]
#[case::by_own_request(leaving())]
#[case::by_another_host(leaving_by_another_host())]
fn a_leaving_endpoint_gets_no_more_requests(#[case] mut scheduler: Scheduler) {
    assert!(!is_placed(&mut scheduler, NOW + ms(10)));
    let query = support::query(support::history("dancer"), NOW);
    let decision = support::decide(&mut scheduler, query, NOW);
    assert!(
        matches!(
            decision,
            Some(Decision::Refused {
                reason: RefusalReason::NoEndpoint,
                ..
            })
        ),
        "expected an immediate refusal: {decision:?}"
    );
}

/// The store can show an older record again, and a record can lapse and come back; only a new
/// incarnation counts as another endpoint.
#[rstest]
#[case::by_own_request(leaving())]
#[case::by_another_host(leaving_by_another_host())]
fn only_a_new_incarnation_clears_the_leaving_signal(#[case] mut scheduler: Scheduler) {
    let listed = support::engines(1, 1);
    scheduler.set_endpoints(&listed, NOW);
    assert!(
        !is_placed(&mut scheduler, NOW),
        "a stale record lists the endpoint as ready"
    );
    scheduler.set_endpoints(&[], NOW);
    scheduler.set_endpoints(&listed, NOW + ms(900));
    assert!(
        !is_placed(&mut scheduler, NOW + ms(900)),
        "the record lapsed and returned"
    );
    let mut restarted = listed;
    restarted[0].started = id::Incarnation(2);
    scheduler.set_endpoints(&restarted, NOW + ms(1000));
    assert!(is_placed(&mut scheduler, NOW + ms(2000)));
}

/// A late answer of the previous incarnation says nothing about the next.
#[test]
fn a_late_answer_of_an_old_incarnation_is_ignored() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let query = support::query(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, query, NOW);
    let mut restarted = support::engines(1, 1);
    restarted[0].started = id::Incarnation(2);
    scheduler.set_endpoints(&restarted, NOW);
    scheduler.mark_leaving(placement.ticket);
    assert!(is_placed(&mut scheduler, NOW + ms(1000)));
}

#[rstest]
#[case::at_once(10, false)]
#[case::just_before(1_990, false)]
#[case::after(2_000, true)]
fn an_endpoint_gets_no_requests_during_its_requested_backoff(
    #[case] after: u64,
    #[case] placed: bool,
) {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let query = support::query(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, query, NOW);
    scheduler.set_backoff(placement.ticket, ms(2_000), NOW);
    scheduler.record_outcome(placement.ticket, Outcome::Refused, NOW);
    scheduler.set_endpoints(&[], NOW);
    scheduler.set_endpoints(&support::engines(1, 1), NOW);
    assert_eq!(is_placed(&mut scheduler, NOW + ms(after)), placed);
}

/// All endpoints request a backoff, and the request may wait for 200 ms: it is refused at once,
/// with a retry delay that covers the backoff.
#[rstest]
#[case::one_second(ms(1_000))]
#[case::longest_of_all(Duration::MAX)]
fn a_request_is_refused_at_once_if_backoffs_outlast_its_wait(#[case] backoff: Duration) {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    for _ in 0..2 {
        let query = support::query(support::history("dancer"), NOW);
        let placement = support::place(&mut scheduler, query, NOW);
        scheduler.set_backoff(placement.ticket, backoff, NOW);
        scheduler.record_outcome(placement.ticket, Outcome::Refused, NOW);
    }
    let query = support::query(support::history("dancer"), NOW);
    let Some(Decision::Refused { retry_after, .. }) = support::decide(&mut scheduler, query, NOW)
    else {
        panic!("the request waits or is placed");
    };
    assert!(retry_after >= ms(1_000), "{retry_after:?}");
}

/// A host that had ejected all endpoints of a service told its dispatcher to avoid them all, and
/// was refused until its last ejection ended.
#[rstest]
#[case::one_failing(&["e0"], &["e0"])]
#[case::all_failing(&["e0", "e1", "e2"], &[])]
fn a_host_avoids_ejected_endpoints_only_for_others_of_the_service(
    #[case] failing: &[&str],
    #[case] avoided: &[&str],
) {
    let engines = support::engines(3, 1);
    let elsewhere = Endpoint {
        service: id::Service::from("other"),
        ..support::engine("x0", "a", 1)
    };
    let listed: Vec<Endpoint> = engines.iter().cloned().chain([elsewhere]).collect();
    let mut scheduler = support::scheduler(&listed, 9);
    for (step, name) in (0..).zip(failing.iter().cycle().take(4 * failing.len())) {
        let now = NOW + ms(step);
        let mut query = support::query(support::history("dancer"), now);
        let others = engines.iter().filter(|engine| engine.id.as_str() != *name);
        query.tried = others.map(|engine| engine.id.clone()).collect();
        if let Some(placement) = support::ask(&mut scheduler, query, now) {
            scheduler.record_outcome(placement.ticket, Outcome::Failed, now);
        }
        let mut query = support::query(support::history("dancer"), now);
        query.service = id::Service::from("other");
        let placement = support::place(&mut scheduler, query, now);
        scheduler.record_outcome(placement.ticket, Outcome::Whole, now);
    }
    let now = NOW + ms(50);
    let avoids = scheduler.avoided(&id::Zone::from("a"), now);
    let names: Vec<&str> = avoids.iter().map(id::Endpoint::as_str).collect();
    assert_eq!(names, avoided);
}
