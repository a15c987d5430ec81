//! More requests than the engines can serve.

use std::time::Duration;

use papayayard_routing::placement::{Decision, Outcome, RefusalReason};

use crate::support::{self, NOW, ms};

/// Many callers arrive at one moment, as at the start of a class. Engines are filled until first
/// events would be late; the other requests wait or are refused.
#[test]
fn a_burst_is_placed_only_while_first_events_are_on_time() {
    let mut scheduler = support::scheduler(&support::engines(4, 1), 1);
    let mut placed = 0;
    for number in 0..200 {
        let query = support::query(support::history(&format!("s{number}")), NOW);
        scheduler.enqueue(query, NOW);
    }
    for (_, decision) in scheduler.decide(NOW) {
        let Decision::Placed(placement) = decision else {
            panic!("a request is refused before its maximum wait: {decision:?}");
        };
        assert!(placement.first_event <= ms(650), "{placement:?}");
        placed += 1;
    }
    assert!((8..=40).contains(&placed), "{placed} placed");

    let later = NOW + ms(250);
    let mut waits = Vec::new();
    for (_, decision) in scheduler.decide(later) {
        match decision {
            Decision::Refused {
                reason,
                retry_after,
                ..
            } => {
                assert_eq!(reason, RefusalReason::Overloaded);
                waits.push(retry_after);
            }
            Decision::Placed(_) => panic!("no engine became free"),
        }
    }
    assert_eq!(waits.len() + placed, 200);
    let left = ms(4750);
    assert!(
        waits.iter().all(|wait| *wait <= left / 3),
        "delays exceed the limit"
    );
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 50, "callers come back at different times");
}

#[test]
fn urgent_requests_are_decided_first() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let mut first = support::query(support::history("first"), NOW);
    first.priority = 1;
    let mut urgent = support::query(support::history("urgent"), NOW);
    urgent.priority = 0;
    let first = scheduler.enqueue(first, NOW);
    let urgent = scheduler.enqueue(urgent, NOW);
    let order: Vec<_> = scheduler
        .decide(NOW)
        .into_iter()
        .map(|decision| decision.0)
        .collect();
    assert_eq!(order, [urgent, first]);
}

#[test]
fn a_waiting_request_is_placed_when_others_finish() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let mut tickets = Vec::new();
    let waiting = loop {
        let number = tickets.len();
        let query = support::query(support::history(&format!("s{number}")), NOW);
        let waiting = scheduler.enqueue(query, NOW);
        match scheduler.decide(NOW).pop() {
            Some((_, Decision::Placed(placement))) => tickets.push(placement.ticket),
            _ => break waiting,
        }
    };
    let now = NOW + ms(20);
    for ticket in tickets {
        scheduler.record_first_event(ticket, now);
        scheduler.record_outcome(ticket, Outcome::Whole, now);
    }
    let decisions = scheduler.decide(now);
    assert!(matches!(&decisions[..], [(key, Decision::Placed(_))] if *key == waiting));
}

/// An engine that is later than expected gets no more requests of the same kind.
#[test]
fn an_observed_delay_counts_for_the_next_request() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    let query = support::query(support::history("a"), NOW);
    let slow = support::place(&mut scheduler, query, NOW);
    let later = NOW + ms(2000);
    scheduler.record_first_event(slow.ticket, later);
    scheduler.record_outcome(slow.ticket, Outcome::Whole, later);
    let query = support::query(support::history("a"), later);
    let next = support::place(&mut scheduler, query, later);
    assert_ne!(next.endpoint, slow.endpoint);
    assert!(next.fetch.is_some(), "the history is fetched");
}

/// One request at an engine does not imply that each of 80 other hosts has one there too.
#[test]
fn one_request_does_not_fill_an_engine_for_many_hosts() {
    let mut scheduler = support::scheduler(&support::engines(90, 1), 81);
    let mut now = NOW;
    for number in 0..40 {
        now += ms(115);
        let query = support::query(support::history(&format!("s{number}")), now);
        let placement = support::place(&mut scheduler, query, now);
        assert!(placement.first_event < ms(450), "{placement:?}");
        let begun = now + ms(100);
        scheduler.record_first_event(placement.ticket, begun);
        scheduler.record_outcome(placement.ticket, Outcome::Whole, begun + ms(10));
        now = begun;
    }
}

/// Several long prompts at one of 81 hosts at the same moment are chance and do not imply that
/// every host has as many.
#[test]
fn a_few_long_prompts_do_not_fill_all_engines() {
    let mut scheduler = support::scheduler(&support::engines(60, 1), 81);
    let mut now = NOW;
    for number in 0..40 {
        now += ms(150);
        let query = support::query(support::history(&format!("s{number}")), now);
        let placement = support::place(&mut scheduler, query, now);
        scheduler.record_first_event(placement.ticket, now + ms(80));
        scheduler.record_outcome(placement.ticket, Outcome::Whole, now + ms(120));
    }
    for number in 0..4 {
        let mut long = support::history(&format!("long-{number}"));
        long.tokens = 26_000;
        long.parts[2].tokens = 19_700;
        let mut query = support::query(long, now);
        query.target_latency = ms(2_000);
        let placement = support::place(&mut scheduler, query, now);
        scheduler.record_first_event(placement.ticket, now + ms(350));
    }
    now += ms(400);
    let query = support::query(support::history("next"), now);
    let decision = support::decide(&mut scheduler, query, now);
    assert!(
        matches!(decision, Some(Decision::Placed(_))),
        "{decision:?}"
    );
}

/// Two of three zones are partitioned from this host. The hosts there send nothing to the
/// remaining endpoints, so these are not full with a third of all requests.
#[test]
fn a_partitioned_zone_uses_its_full_capacity() {
    let zones = ["a", "b", "c"];
    let endpoints: Vec<_> = (0..90)
        .map(|index| support::engine(&format!("e{index:02}"), zones[index % 3], 1))
        .collect();
    let mut scheduler = support::scheduler(&endpoints, 81);
    let mut now = NOW;
    let (mut placed, mut requests) = (0, 0);
    for number in 0..120 {
        now += ms(70);
        let mut history = support::history(&format!("s{number}"));
        history.parts[0].name = format!("studio-{number}");
        requests += 1;
        let query = support::query(history, now);
        let Some(Decision::Placed(placement)) = support::decide(&mut scheduler, query, now) else {
            continue;
        };
        let index: usize = placement.endpoint.as_str()[1..].parse().unwrap();
        if index.is_multiple_of(3) {
            scheduler.record_first_event(placement.ticket, now + ms(150));
            scheduler.record_outcome(placement.ticket, Outcome::Whole, now + ms(200));
            placed += 1;
        } else {
            scheduler.record_outcome(placement.ticket, Outcome::Unreachable, now);
        }
    }
    assert!(placed * 10 > requests * 7, "{placed} of {requests} placed");
}

/// A request refused as overloaded reports that no endpoint had free capacity in time.
#[test]
fn a_refusal_reports_the_availability() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    for number in 0..30 {
        scheduler.enqueue(
            support::query(support::history(&format!("s{number}")), NOW),
            NOW,
        );
    }
    scheduler.decide(NOW);
    let later = NOW + Duration::from_millis(250);
    let decisions = scheduler.decide(later);
    assert!(!decisions.is_empty());
    for (_, decision) in decisions {
        let Decision::Refused { availability, .. } = decision else {
            panic!("no engine became free");
        };
        assert_eq!(availability.usable, 1);
        assert!(availability.with_capacity == 0 || availability.first_event > ms(650));
    }
}
