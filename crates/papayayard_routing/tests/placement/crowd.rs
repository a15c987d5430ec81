//! More requests than engines can serve.

use std::time::Duration;

use papayayard_routing::placement::{Decision, Outcome, Refused};

use crate::support::{self, NOW, ms};

/// The start of a class: many callers at one moment. Engines are filled to the
/// point where first events would come late, and the rest waits or is refused.
#[test]
fn a_burst_is_placed_as_far_as_it_is_on_time() {
    let mut scheduler = support::scheduler(&support::engines(4, 1), 1);
    let mut placed = 0;
    for number in 0..200 {
        let ask = support::ask(support::history(&format!("s{number}")), NOW);
        scheduler.ask(ask, NOW);
    }
    for (_, decision) in scheduler.decide(NOW) {
        let Decision::Placed(placement) = decision else {
            panic!("nothing is refused before it has waited: {decision:?}");
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
                why, retry_after, ..
            } => {
                assert_eq!(why, Refused::Overloaded);
                waits.push(retry_after);
            }
            Decision::Placed(_) => panic!("no engine has become free"),
        }
    }
    assert_eq!(waits.len() + placed, 200);
    let left = ms(4750);
    assert!(
        waits.iter().all(|wait| *wait <= left / 3),
        "callers honour it"
    );
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 50, "callers come back at different times");
}

#[test]
fn the_urgent_go_first() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let mut first = support::ask(support::history("first"), NOW);
    first.priority = 1;
    let mut urgent = support::ask(support::history("urgent"), NOW);
    urgent.priority = 0;
    let first = scheduler.ask(first, NOW);
    let urgent = scheduler.ask(urgent, NOW);
    let order: Vec<_> = scheduler.decide(NOW).into_iter().map(|one| one.0).collect();
    assert_eq!(order, [urgent, first]);
}

#[test]
fn a_waiting_request_takes_the_place_of_one_that_ends() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let mut tickets = Vec::new();
    let waiting = loop {
        let number = tickets.len();
        let ask = support::ask(support::history(&format!("s{number}")), NOW);
        let waiting = scheduler.ask(ask, NOW);
        match scheduler.decide(NOW).pop() {
            Some((_, Decision::Placed(placement))) => tickets.push(placement.ticket),
            _ => break waiting,
        }
    };
    let now = NOW + ms(20);
    for ticket in tickets {
        scheduler.begun(ticket, now);
        scheduler.finished(ticket, Outcome::Whole, now);
    }
    let decisions = scheduler.decide(now);
    assert!(matches!(&decisions[..], [(one, Decision::Placed(_))] if *one == waiting));
}

/// An engine that is later than expected is not sent more of the same.
#[test]
fn delays_that_are_seen_are_expected() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    let ask = support::ask(support::history("a"), NOW);
    let slow = support::place(&mut scheduler, ask, NOW);
    let later = NOW + ms(2000);
    scheduler.begun(slow.ticket, later);
    scheduler.finished(slow.ticket, Outcome::Whole, later);
    let ask = support::ask(support::history("a"), later);
    let next = support::place(&mut scheduler, ask, later);
    assert_ne!(next.endpoint, slow.endpoint);
    assert!(next.fetch.is_some(), "its history is fetched instead");
}

/// One request at an engine does not mean that each of 80 other hosts has one
/// there too.
#[test]
fn one_request_does_not_fill_an_engine_for_many_hosts() {
    let mut scheduler = support::scheduler(&support::engines(90, 1), 81);
    let mut now = NOW;
    for number in 0..40 {
        now += ms(115);
        let ask = support::ask(support::history(&format!("s{number}")), now);
        let placement = support::place(&mut scheduler, ask, now);
        assert!(placement.first_event < ms(450), "{placement:?}");
        let begun = now + ms(100);
        scheduler.begun(placement.ticket, begun);
        scheduler.finished(placement.ticket, Outcome::Whole, begun + ms(10));
        now = begun;
    }
}

/// Some long prompts at one moment at one of 81 hosts are chance, and do not
/// mean that every host has as many.
#[test]
fn a_few_long_prompts_do_not_fill_all_engines() {
    let mut scheduler = support::scheduler(&support::engines(60, 1), 81);
    let mut now = NOW;
    for number in 0..40 {
        now += ms(150);
        let ask = support::ask(support::history(&format!("s{number}")), now);
        let placement = support::place(&mut scheduler, ask, now);
        scheduler.begun(placement.ticket, now + ms(80));
        scheduler.finished(placement.ticket, Outcome::Whole, now + ms(120));
    }
    for number in 0..4 {
        let mut long = support::history(&format!("long-{number}"));
        long.tokens = 26_000;
        long.parts[2].tokens = 19_700;
        let mut ask = support::ask(long, now);
        ask.target_latency = ms(2_000);
        let placement = support::place(&mut scheduler, ask, now);
        scheduler.begun(placement.ticket, now + ms(350));
    }
    now += ms(400);
    let ask = support::ask(support::history("next"), now);
    let decision = support::decide(&mut scheduler, ask, now);
    assert!(
        matches!(decision, Some(Decision::Placed(_))),
        "{decision:?}"
    );
}

/// Two of three zones are cut off: the endpoints that are left get no requests
/// of the hosts there, so that they are not full with a third of all.
#[test]
fn a_zone_by_itself_serves_what_it_can() {
    let zones = ["a", "b", "c"];
    let endpoints: Vec<_> = (0..90)
        .map(|index| support::engine(&format!("e{index:02}"), zones[index % 3], 1))
        .collect();
    let mut scheduler = support::scheduler(&endpoints, 81);
    let mut now = NOW;
    let (mut placed, mut asked) = (0, 0);
    for number in 0..120 {
        now += ms(70);
        let mut history = support::history(&format!("s{number}"));
        history.parts[0].name = format!("studio-{number}");
        asked += 1;
        let ask = support::ask(history, now);
        let Some(Decision::Placed(placement)) = support::decide(&mut scheduler, ask, now) else {
            continue;
        };
        let index: usize = placement.endpoint.as_str()[1..].parse().unwrap();
        if index.is_multiple_of(3) {
            scheduler.begun(placement.ticket, now + ms(150));
            scheduler.finished(placement.ticket, Outcome::Whole, now + ms(200));
            placed += 1;
        } else {
            scheduler.finished(placement.ticket, Outcome::Unreachable, now);
        }
    }
    assert!(placed * 10 > asked * 7, "{placed} of {asked} placed");
}

/// What is refused for want of room was seen to have none.
#[test]
fn a_refusal_says_what_was_seen() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    for number in 0..30 {
        scheduler.ask(
            support::ask(support::history(&format!("s{number}")), NOW),
            NOW,
        );
    }
    scheduler.decide(NOW);
    let later = NOW + Duration::from_millis(250);
    let decisions = scheduler.decide(later);
    assert!(!decisions.is_empty());
    for (_, decision) in decisions {
        let Decision::Refused { seen, .. } = decision else {
            panic!("no engine has become free");
        };
        assert_eq!(seen.usable, 1);
        assert!(seen.with_room == 0 || seen.first_event > ms(650));
    }
}
