//! One request: caches, stores, walls, zones, failures.

use papayayard_routing::placement::{Decision, Outcome, Refused, Scheduler};
use papayayard_wire::id;

use crate::support::{self, NOW, ms};

#[test]
fn a_history_goes_where_it_lies() {
    let mut scheduler = support::scheduler(&support::engines(6, 1), 1);
    for (key, tokens) in support::keys("dancer", 1) {
        scheduler.told(&id::Endpoint::from("e3"), key, tokens);
    }
    let ask = support::ask(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, ask, NOW);
    assert_eq!(placement.endpoint.as_str(), "e3");
    assert_eq!((placement.cached, placement.unread), (6_300, 2_890));
    assert_eq!(placement.fetch, None);
}

#[test]
fn a_busy_holder_is_fetched_from() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    for (key, tokens) in support::keys("dancer", 1) {
        scheduler.told(&id::Endpoint::from("e0"), key, tokens);
    }
    for other in 0..8 {
        let mut ask = support::ask(support::history(&format!("other-{other}")), NOW);
        ask.tried = vec![id::Endpoint::from("e1")];
        support::decide(&mut scheduler, ask, NOW);
    }
    let ask = support::ask(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, ask, NOW);
    assert_eq!(placement.endpoint.as_str(), "e1");
    assert!(placement.fetch.is_some());
    assert_eq!(placement.unread, 2_890);
}

#[test]
fn the_store_is_fetched_from_and_saved_to_once() {
    let mut scheduler = support::scheduler(&support::engines(3, 1), 1);
    let first = support::place(
        &mut scheduler,
        support::ask(support::history("a"), NOW),
        NOW,
    );
    assert_eq!(first.save, "10.9.0.1:80".parse().ok());
    let again = support::place(
        &mut scheduler,
        support::ask(support::history("a"), NOW),
        NOW,
    );
    assert_eq!(again.save, None, "the first request saves it already");

    for (key, tokens) in support::keys("b", 1) {
        scheduler.store_told(&id::Service::from("kept"), key, tokens);
    }
    let fetched = support::place(
        &mut scheduler,
        support::ask(support::history("b"), NOW),
        NOW,
    );
    assert_eq!(fetched.fetch, "10.9.0.1:80".parse().ok());
    assert_eq!(fetched.save, None);
}

/// A store that has told of something, and a scheduler that knows it.
fn with_store(endpoints: usize) -> Scheduler {
    let mut scheduler = support::scheduler(&support::engines(endpoints, 1), 1);
    for (key, tokens) in support::keys("another", 1) {
        scheduler.store_told(&id::Service::from("kept"), key, tokens);
    }
    scheduler
}

/// A host that has just started, or has missed news, does not know what lies
/// in the store; asking in vain costs less than computing again.
#[test]
fn the_store_is_asked_for_what_is_not_known() {
    let mut scheduler = with_store(3);
    let ask = support::ask(support::history("a"), NOW);
    let placement = support::place(&mut scheduler, ask, NOW);
    assert_eq!(placement.fetch, "10.9.0.1:80".parse().ok());
    let own = support::history("a").tokens - 2_520;
    assert_eq!(
        placement.unread, own,
        "nothing is counted on but the studio's"
    );

    scheduler.forget_store(&id::Service::from("kept"));
    let ask = support::ask(support::history("b"), NOW);
    let placement = support::place(&mut scheduler, ask, NOW);
    assert_eq!(
        placement.fetch, None,
        "a store that is silent is not waited for"
    );
}

/// Under load an engine's memory turns over in seconds, and news of it comes late;
/// an idle engine keeps what it has.
#[test]
fn an_engine_is_fetched_from_while_it_surely_keeps_a_history() {
    let engine = "10.0.0.1:80".parse().ok();
    let store = "10.9.0.1:80".parse().ok();
    let cases = [
        (0, 500, engine),
        (20, 500, store),
        (20, 2_500, store),
        (0, 25_000, engine),
    ];
    for (other, unused, source) in cases {
        let mut scheduler = with_store(2);
        for (key, tokens) in support::keys("dancer", 1) {
            scheduler.told(&id::Endpoint::from("e0"), key, tokens);
        }
        support::fill(&mut scheduler, &support::engines(2, 1), "e0", other);
        let now = NOW + ms(unused);
        let mut ask = support::ask(support::history("dancer"), now);
        ask.tried = vec![id::Endpoint::from("e0")];
        let placement = support::place(&mut scheduler, ask, now);
        assert_eq!(placement.fetch, source, "{other} others, after {unused} ms");
    }
}

/// What an engine still reads cannot be fetched from it.
#[test]
fn a_history_is_fetched_once_it_was_read() {
    let mut scheduler = support::scheduler(&support::engines(3, 1), 1);
    let ask = support::ask(support::history("a"), NOW);
    let first = support::place(&mut scheduler, ask, NOW);
    let late = NOW + first.first_event + ms(10);
    let mut ask = support::ask(support::history("a"), late);
    ask.tried = vec![first.endpoint.clone()];
    let second = support::place(&mut scheduler, ask.clone(), late);
    assert_eq!(second.fetch, None, "the first event is late");

    scheduler.begun(first.ticket, late);
    ask.tried.push(second.endpoint);
    let third = support::place(&mut scheduler, ask, late);
    assert_eq!(third.fetch, "10.0.0.1:80".parse().ok());
}

/// The link of a store runs out before engines do.
#[test]
fn a_history_is_not_moved_for_little() {
    let endpoints = support::engines(18, 1);
    let home = {
        let mut scheduler = support::scheduler(&endpoints, 1);
        let ask = support::ask(support::history("a"), NOW);
        support::place(&mut scheduler, ask, NOW).endpoint
    };
    let holder = endpoints.iter().find(|one| one.id != home).unwrap();
    let mut scheduler = support::scheduler(&endpoints, 1);
    for (key, tokens) in support::keys("a", 1) {
        scheduler.told(&holder.id, key, tokens);
        scheduler.store_told(&id::Service::from("kept"), key, tokens);
    }
    support::fill(&mut scheduler, &endpoints, holder.id.as_str(), 20);
    // The holder may have dropped it, so that no other engine fetches there.
    let now = NOW + ms(2_500);
    let ask = support::ask(support::history("a"), now);
    let placement = support::place(&mut scheduler, ask, now);
    assert_eq!(placement.endpoint, holder.id);
}

/// Two requests for one history at the same moment: the second follows the
/// first rather than have it computed twice.
#[test]
fn first_readers_meet_at_one_engine() {
    let mut scheduler = support::scheduler(&support::engines(18, 1), 9);
    let one = support::place(
        &mut scheduler,
        support::ask(support::history("a"), NOW),
        NOW,
    );
    let now = NOW + ms(5);
    let two = support::place(
        &mut scheduler,
        support::ask(support::history("a"), now),
        now,
    );
    assert_eq!(one.endpoint, two.endpoint);
    assert_eq!(two.unread, 2_890);
}

/// Hosts that know nothing of one another choose the same engine.
#[test]
fn hosts_agree_on_the_home_of_a_history() {
    let endpoints = support::engines(18, 1);
    let homes: Vec<String> = (0..9)
        .map(|_| {
            let mut scheduler = support::scheduler(&endpoints, 9);
            let ask = support::ask(support::history("a"), NOW);
            let placement = support::place(&mut scheduler, ask, NOW);
            placement.endpoint.as_str().to_owned()
        })
        .collect();
    assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
}

#[test]
fn nothing_is_shared_across_a_wall_or_other_weights() {
    let mut scheduler = support::scheduler(&support::engines(3, 2), 1);
    for (key, tokens) in support::keys("dancer", 1) {
        scheduler.told(&id::Endpoint::from("e1"), key, tokens);
    }
    let ask = support::ask(support::history("dancer"), NOW);
    let open = support::place(&mut scheduler, ask, NOW);
    assert_eq!(open.cached, 0, "the parts were made by version 1");
    assert_eq!(open.version, Some(2));

    let mut walled = support::ask(support::history("dancer"), NOW);
    walled.wall = Some(id::Account::from("studio"));
    let walled = support::place(&mut scheduler, walled, NOW);
    assert_ne!(open.salt, walled.salt);
    assert_eq!((walled.cached, walled.fetch), (0, None));
}

#[test]
fn what_cannot_be_repeated_stays_in_its_zone() {
    let endpoints = [
        support::engine("far-1", "b", 1),
        support::engine("near", "a", 1),
        support::engine("far-2", "c", 1),
    ];
    for subject in ["a", "b", "c", "d", "e"] {
        let mut scheduler = support::scheduler(&endpoints, 1);
        let mut ask = support::ask(support::history(subject), NOW);
        ask.is_repeatable = false;
        let placement = support::place(&mut scheduler, ask, NOW);
        assert_eq!(placement.endpoint.as_str(), "near");
    }
}

#[test]
fn an_endpoint_without_connections_is_left_out() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    let mut failed = Vec::new();
    for _ in 0..2 {
        let ask = support::ask(support::history("a"), NOW);
        let placement = support::place(&mut scheduler, ask, NOW);
        scheduler.finished(placement.ticket, Outcome::Unreachable, NOW);
        failed.push(placement.endpoint);
    }
    assert_eq!(failed[0], failed[1], "one refused connection may be chance");
    let ask = support::ask(support::history("a"), NOW);
    let placement = support::place(&mut scheduler, ask, NOW);
    assert_ne!(placement.endpoint, failed[0]);
}

/// A zone is cut off: three endpoints without a connection speak for the rest,
/// for a second; then one is enough again, and one that answers speaks for all.
#[test]
fn a_zone_that_is_cut_off_is_left_out() {
    let mut endpoints: Vec<_> = (0..6)
        .map(|index| support::engine(&format!("cut-{index}"), "b", 1))
        .collect();
    let near = support::engines(6, 1);
    endpoints.extend(near.clone());
    let mut scheduler = support::scheduler(&endpoints, 1);
    let to_cut = |scheduler: &mut Scheduler, now| {
        let mut ask = support::ask(support::history("a"), now);
        ask.tried = near.iter().map(|one| one.id.clone()).collect();
        support::place(scheduler, ask, now).ticket
    };
    let uses_cut = |scheduler: &mut Scheduler, now| {
        (0..20).any(|number| {
            let mut history = support::history(&format!("s{number}"));
            history.parts[0].name = format!("studio-{number}");
            let placement = support::place(scheduler, support::ask(history, now), now);
            scheduler.finished(placement.ticket, Outcome::Abandoned, now);
            placement.endpoint.as_str().starts_with("cut")
        })
    };

    // Each endpoint is tried twice before it is left out by itself.
    for _ in 0..5 {
        assert!(uses_cut(&mut scheduler, NOW));
        let ticket = to_cut(&mut scheduler, NOW);
        scheduler.finished(ticket, Outcome::Unreachable, NOW);
    }
    assert!(!uses_cut(&mut scheduler, NOW + ms(950)));

    let later = NOW + ms(1_050);
    assert!(uses_cut(&mut scheduler, later), "the zone is tried again");
    let ticket = to_cut(&mut scheduler, later);
    scheduler.finished(ticket, Outcome::Unreachable, later);
    assert!(!uses_cut(&mut scheduler, later + ms(950)));

    let healed = later + ms(1_050);
    let ticket = to_cut(&mut scheduler, healed);
    scheduler.finished(ticket, Outcome::Whole, healed);
    let ticket = to_cut(&mut scheduler, healed);
    scheduler.finished(ticket, Outcome::Unreachable, healed);
    assert!(uses_cut(&mut scheduler, healed), "one may have crashed");
}

#[test]
fn a_service_without_endpoints_refuses_at_once() {
    let mut scheduler = support::scheduler(&[], 1);
    let ask = support::ask(support::history("a"), NOW);
    let decision = support::decide(&mut scheduler, ask, NOW);
    assert!(matches!(
        decision,
        Some(Decision::Refused {
            why: Refused::NoEndpoint,
            ..
        })
    ));
}

#[test]
fn a_leaving_endpoint_gets_nothing() {
    let mut endpoints = support::engines(2, 1);
    endpoints[0].leaving = true;
    let mut scheduler = support::scheduler(&endpoints, 1);
    for subject in ["a", "b", "c", "d"] {
        let ask = support::ask(support::history(subject), NOW);
        let placement = support::place(&mut scheduler, ask, NOW);
        assert_eq!(placement.endpoint.as_str(), "e1");
    }
}
