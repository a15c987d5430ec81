//! Placement of a single request: caches, stores, isolation, zones and failures.

use papayayard_routing::placement::{Decision, Outcome, RefusalReason, Scheduler};
use papayayard_routing::sharing;
use papayayard_wire::id;

use crate::support::{self, NOW, ms};

#[test]
fn a_history_goes_to_the_endpoint_that_has_it_cached() {
    let mut scheduler = support::scheduler(&support::engines(6, 1), 1);
    for (key, tokens) in support::keys("dancer", 1) {
        scheduler.set_cached(&id::Endpoint::from("e3"), key, tokens);
    }
    let query = support::query(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, query, NOW);
    assert_eq!(placement.endpoint.as_str(), "e3");
    assert_eq!((placement.cached, placement.unread), (6_300, 2_890));
    assert_eq!(placement.fetch, None);
}

#[test]
fn a_history_is_fetched_from_a_busy_holder() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    for (key, tokens) in support::keys("dancer", 1) {
        scheduler.set_cached(&id::Endpoint::from("e0"), key, tokens);
    }
    for other in 0..8 {
        let mut query = support::query(support::history(&format!("other-{other}")), NOW);
        query.tried = vec![id::Endpoint::from("e1")];
        support::decide(&mut scheduler, query, NOW);
    }
    let query = support::query(support::history("dancer"), NOW);
    let placement = support::place(&mut scheduler, query, NOW);
    assert_eq!(placement.endpoint.as_str(), "e1");
    assert!(placement.fetch.is_some());
    assert_eq!(placement.unread, 2_890);
}

#[test]
fn the_store_is_fetched_from_and_saved_to_once() {
    let mut scheduler = support::scheduler(&support::engines(3, 1), 1);
    let first = support::place(
        &mut scheduler,
        support::query(support::history("a"), NOW),
        NOW,
    );
    assert_eq!(first.save, "10.9.0.1:80".parse().ok());
    let again = support::place(
        &mut scheduler,
        support::query(support::history("a"), NOW),
        NOW,
    );
    assert_eq!(again.save, None, "the first request saves it");

    for (key, tokens) in support::keys("b", 1) {
        scheduler.set_stored(&id::Service::from("kept"), key, tokens);
    }
    let fetched = support::place(
        &mut scheduler,
        support::query(support::history("b"), NOW),
        NOW,
    );
    assert_eq!(fetched.fetch, "10.9.0.1:80".parse().ok());
    assert_eq!(fetched.save, None);
}

/// A scheduler with a store that has reported some contents.
fn scheduler_with_store(endpoints: usize) -> Scheduler {
    let mut scheduler = support::scheduler(&support::engines(endpoints, 1), 1);
    for (key, tokens) in support::keys("another", 1) {
        scheduler.set_stored(&id::Service::from("kept"), key, tokens);
    }
    scheduler
}

/// A host that has just started or has missed updates does not know the store's contents. A
/// lookup that finds nothing costs less than computing the parts again.
#[test]
fn the_store_is_a_source_for_histories_not_known_to_be_there() {
    let mut scheduler = scheduler_with_store(3);
    let query = support::query(support::history("a"), NOW);
    let placement = support::place(&mut scheduler, query, NOW);
    assert_eq!(placement.fetch, "10.9.0.1:80".parse().ok());
    let unread = support::history("a").tokens - 2_520;
    assert_eq!(placement.unread, unread, "only the studio part is cached");

    scheduler.remove_store(&id::Service::from("kept"));
    let query = support::query(support::history("b"), NOW);
    let placement = support::place(&mut scheduler, query, NOW);
    assert_eq!(placement.fetch, None, "the store is unavailable");
}

/// Under load an engine's memory turns over within seconds and cache updates arrive late; an
/// idle engine keeps its contents.
#[test]
fn an_engine_is_a_source_while_it_surely_retains_a_history() {
    let engine = "10.0.0.1:80".parse().ok();
    let store = "10.9.0.1:80".parse().ok();
    let cases = [
        (0, 500, engine),
        (20, 500, store),
        (20, 2_500, store),
        (0, 25_000, engine),
    ];
    for (others, idle_ms, source) in cases {
        let mut scheduler = scheduler_with_store(2);
        for (key, tokens) in support::keys("dancer", 1) {
            scheduler.set_cached(&id::Endpoint::from("e0"), key, tokens);
        }
        support::fill(&mut scheduler, &support::engines(2, 1), "e0", others);
        let now = NOW + ms(idle_ms);
        let mut query = support::query(support::history("dancer"), now);
        query.tried = vec![id::Endpoint::from("e0")];
        let placement = support::place(&mut scheduler, query, now);
        assert_eq!(placement.fetch, source, "{others} others, {idle_ms} ms");
    }
}

/// Parts that are still in prefill cannot be fetched.
#[test]
fn a_history_is_fetched_only_after_prefill() {
    let mut scheduler = support::scheduler(&support::engines(3, 1), 1);
    let query = support::query(support::history("a"), NOW);
    let first = support::place(&mut scheduler, query, NOW);
    let late = NOW + first.first_event + ms(10);
    let mut query = support::query(support::history("a"), late);
    query.tried = vec![first.endpoint.clone()];
    let second = support::place(&mut scheduler, query.clone(), late);
    assert_eq!(second.fetch, None, "prefill may still be running");

    scheduler.record_first_event(first.ticket, late);
    query.tried.push(second.endpoint);
    let third = support::place(&mut scheduler, query, late);
    assert_eq!(third.fetch, "10.0.0.1:80".parse().ok());
}

/// The link of a store saturates before the engines do.
#[test]
fn a_history_is_not_moved_for_a_small_gain() {
    let endpoints = support::engines(18, 1);
    let preferred = {
        let mut scheduler = support::scheduler(&endpoints, 1);
        let query = support::query(support::history("a"), NOW);
        support::place(&mut scheduler, query, NOW).endpoint
    };
    let holder = endpoints
        .iter()
        .find(|other| other.id != preferred)
        .unwrap();
    let mut scheduler = support::scheduler(&endpoints, 1);
    for (key, tokens) in support::keys("a", 1) {
        scheduler.set_cached(&holder.id, key, tokens);
        scheduler.set_stored(&id::Service::from("kept"), key, tokens);
    }
    support::fill(&mut scheduler, &endpoints, holder.id.as_str(), 20);
    // The holder may have evicted the history, so no other engine fetches it from there.
    let now = NOW + ms(2_500);
    let query = support::query(support::history("a"), now);
    let placement = support::place(&mut scheduler, query, now);
    assert_eq!(placement.endpoint, holder.id);
}

/// Two requests for one history arrive at almost the same moment: the second follows the first
/// instead of having the history computed twice.
#[test]
fn concurrent_first_requests_share_an_engine() {
    let mut scheduler = support::scheduler(&support::engines(18, 1), 9);
    let earlier = support::place(
        &mut scheduler,
        support::query(support::history("a"), NOW),
        NOW,
    );
    let now = NOW + ms(5);
    let later = support::place(
        &mut scheduler,
        support::query(support::history("a"), now),
        now,
    );
    assert_eq!(earlier.endpoint, later.endpoint);
    assert_eq!(later.unread, 2_890);
}

/// Hosts without knowledge of one another choose the same engine.
#[test]
fn hosts_prefer_the_same_engine_for_a_history() {
    let endpoints = support::engines(18, 1);
    let preferred: Vec<String> = (0..9)
        .map(|_| {
            let mut scheduler = support::scheduler(&endpoints, 9);
            let query = support::query(support::history("a"), NOW);
            let placement = support::place(&mut scheduler, query, NOW);
            placement.endpoint.as_str().to_owned()
        })
        .collect();
    assert!(
        preferred.iter().all(|endpoint| *endpoint == preferred[0]),
        "{preferred:?}"
    );
}

#[test]
fn nothing_is_shared_across_isolation_or_versions() {
    let mut scheduler = support::scheduler(&support::engines(3, 2), 1);
    for (key, tokens) in support::keys("dancer", 1) {
        scheduler.set_cached(&id::Endpoint::from("e1"), key, tokens);
    }
    let query = support::query(support::history("dancer"), NOW);
    let public = support::place(&mut scheduler, query, NOW);
    assert_eq!(public.cached, 0, "the parts were made by version 1");
    assert_eq!(public.version, Some(2));

    let mut isolated = support::query(support::history("dancer"), NOW);
    isolated.group = sharing::Group::of_account(&id::Account::from("studio"));
    let isolated = support::place(&mut scheduler, isolated, NOW);
    assert_ne!(public.salt, isolated.salt);
    assert_eq!((isolated.cached, isolated.fetch), (0, None));
}

#[test]
fn a_request_that_cannot_be_retried_stays_in_its_zone() {
    let endpoints = [
        support::engine("far-1", "b", 1),
        support::engine("near", "a", 1),
        support::engine("far-2", "c", 1),
    ];
    for subject in ["a", "b", "c", "d", "e"] {
        let mut scheduler = support::scheduler(&endpoints, 1);
        let mut query = support::query(support::history(subject), NOW);
        query.is_repeatable = false;
        let placement = support::place(&mut scheduler, query, NOW);
        assert_eq!(placement.endpoint.as_str(), "near");
    }
}

#[test]
fn an_unreachable_endpoint_is_excluded() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    let mut failed = Vec::new();
    for _ in 0..2 {
        let query = support::query(support::history("a"), NOW);
        let placement = support::place(&mut scheduler, query, NOW);
        scheduler.record_outcome(placement.ticket, Outcome::Unreachable, NOW);
        failed.push(placement.endpoint);
    }
    assert_eq!(failed[0], failed[1], "a single failure is tolerated");
    let query = support::query(support::history("a"), NOW);
    let placement = support::place(&mut scheduler, query, NOW);
    assert_ne!(placement.endpoint, failed[0]);
}

/// Three unreachable endpoints exclude the rest of their zone for a second. After that a single
/// failure is enough to exclude the zone again, and a single answer readmits it.
#[test]
fn a_partitioned_zone_is_excluded() {
    let mut endpoints: Vec<_> = (0..6)
        .map(|index| support::engine(&format!("cut-{index}"), "b", 1))
        .collect();
    let near = support::engines(6, 1);
    endpoints.extend(near.clone());
    let mut scheduler = support::scheduler(&endpoints, 1);
    let place_in_partition = |scheduler: &mut Scheduler, now| {
        let mut query = support::query(support::history("a"), now);
        query.tried = near.iter().map(|endpoint| endpoint.id.clone()).collect();
        support::place(scheduler, query, now).ticket
    };
    let uses_partition = |scheduler: &mut Scheduler, now| {
        (0..20).any(|number| {
            let mut history = support::history(&format!("s{number}"));
            history.parts[0].name = format!("studio-{number}");
            let placement = support::place(scheduler, support::query(history, now), now);
            scheduler.record_outcome(placement.ticket, Outcome::Abandoned, now);
            placement.endpoint.as_str().starts_with("cut")
        })
    };

    // Each endpoint is tried twice before it is excluded by itself.
    for _ in 0..5 {
        assert!(uses_partition(&mut scheduler, NOW));
        let ticket = place_in_partition(&mut scheduler, NOW);
        scheduler.record_outcome(ticket, Outcome::Unreachable, NOW);
    }
    assert!(!uses_partition(&mut scheduler, NOW + ms(950)));

    let later = NOW + ms(1_050);
    assert!(
        uses_partition(&mut scheduler, later),
        "the zone is probed again"
    );
    let ticket = place_in_partition(&mut scheduler, later);
    scheduler.record_outcome(ticket, Outcome::Unreachable, later);
    assert!(!uses_partition(&mut scheduler, later + ms(950)));

    let restored = later + ms(1_050);
    let ticket = place_in_partition(&mut scheduler, restored);
    scheduler.record_outcome(ticket, Outcome::Whole, restored);
    let ticket = place_in_partition(&mut scheduler, restored);
    scheduler.record_outcome(ticket, Outcome::Unreachable, restored);
    assert!(uses_partition(&mut scheduler, restored), "a single crash");
}

#[test]
fn a_service_without_endpoints_refuses_at_once() {
    let mut scheduler = support::scheduler(&[], 1);
    let query = support::query(support::history("a"), NOW);
    let decision = support::decide(&mut scheduler, query, NOW);
    assert!(matches!(
        decision,
        Some(Decision::Refused {
            reason: RefusalReason::NoEndpoint,
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
        let query = support::query(support::history(subject), NOW);
        let placement = support::place(&mut scheduler, query, NOW);
        assert_eq!(placement.endpoint.as_str(), "e1");
    }
}
