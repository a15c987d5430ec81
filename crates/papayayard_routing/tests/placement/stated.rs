//! What endpoints state in their answers goes before the list.

use papayayard_routing::placement::{Decision, Outcome, Refused, Scheduler};
use papayayard_wire::id;
use rstest::rstest;

use crate::support::{self, NOW, ms};

/// Whether a request finds a place.
fn is_placed(scheduler: &mut Scheduler, at: std::time::Duration) -> bool {
    let ask = support::ask(support::history("dancer"), at);
    match support::decide(scheduler, ask, at) {
        Some(Decision::Placed(placement)) => {
            scheduler.finished(placement.ticket, Outcome::Whole, at);
            true
        }
        _ => false,
    }
}

/// A service of one engine that has said that it leaves.
fn leaving() -> Scheduler {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let ask = support::ask(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, ask, NOW);
    scheduler.states_leaving(placement.ticket);
    scheduler.finished(placement.ticket, Outcome::Whole, NOW);
    scheduler
}

#[test]
fn an_endpoint_that_says_that_it_leaves_gets_no_more_requests() {
    let mut scheduler = leaving();
    assert!(!is_placed(&mut scheduler, NOW + ms(10)));
    let ask = support::ask(support::history("dancer"), NOW);
    let decision = support::decide(&mut scheduler, ask, NOW);
    assert!(
        matches!(
            decision,
            Some(Decision::Refused {
                why: Refused::NoEndpoint,
                ..
            })
        ),
        "it is refused at once: {decision:?}"
    );
}

/// The store can show an older record again, and a record can lapse and come
/// back; another life of the endpoint is another endpoint.
#[test]
fn only_another_life_ends_that() {
    let mut scheduler = leaving();
    let listed = support::engines(1, 1);
    scheduler.set_endpoints(&listed, NOW);
    assert!(!is_placed(&mut scheduler, NOW), "the record says ready");
    scheduler.set_endpoints(&[], NOW);
    scheduler.set_endpoints(&listed, NOW + ms(900));
    assert!(!is_placed(&mut scheduler, NOW + ms(900)), "it was missing");
    let mut again = listed;
    again[0].started = id::Incarnation(2);
    scheduler.set_endpoints(&again, NOW + ms(1000));
    assert!(is_placed(&mut scheduler, NOW + ms(2000)));
}

/// An answer of the life before, which comes late, says nothing of the next.
#[test]
fn a_late_answer_of_a_former_life_changes_nothing() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let ask = support::ask(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, ask, NOW);
    let mut again = support::engines(1, 1);
    again[0].started = id::Incarnation(2);
    scheduler.set_endpoints(&again, NOW);
    scheduler.states_leaving(placement.ticket);
    assert!(is_placed(&mut scheduler, NOW + ms(1000)));
}

#[rstest]
#[case::at_once(10, false)]
#[case::just_before(1_990, false)]
#[case::after(2_000, true)]
fn an_endpoint_is_left_alone_for_as_long_as_it_asks(#[case] after: u64, #[case] placed: bool) {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let ask = support::ask(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, ask, NOW);
    scheduler.states_quiet(placement.ticket, ms(2_000), NOW);
    scheduler.finished(placement.ticket, Outcome::Refused, NOW);
    scheduler.set_endpoints(&[], NOW);
    scheduler.set_endpoints(&support::engines(1, 1), NOW);
    assert_eq!(is_placed(&mut scheduler, NOW + ms(after)), placed);
}

/// All endpoints ask for two seconds, the request may wait for 200 ms: it is
/// refused at once, and told when they can be asked again.
#[test]
fn what_cannot_be_placed_in_time_is_refused_at_once() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    for _ in 0..2 {
        let ask = support::ask(support::history("dancer"), NOW);
        let placement = support::place(&mut scheduler, ask, NOW);
        scheduler.states_quiet(placement.ticket, ms(1_000), NOW);
        scheduler.finished(placement.ticket, Outcome::Refused, NOW);
    }
    let ask = support::ask(support::history("dancer"), NOW);
    let Some(Decision::Refused { retry_after, .. }) = support::decide(&mut scheduler, ask, NOW)
    else {
        panic!("the request waits");
    };
    assert!(retry_after >= ms(1_000), "{retry_after:?}");
}
