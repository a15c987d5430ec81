//! Weights that change while requests arrive.

use std::time::Duration;

use papayayard_routing::placement::{Outcome, Scheduler};
use papayayard_wire::id;

use crate::support::{self, NOW, ms};

const TARGET_AT: Duration = NOW;

/// Engines of which the first `new` have version 2.
fn mixed_scheduler(new: usize, number: usize, hosts: usize) -> Scheduler {
    let mut endpoints = support::engines(number, 1);
    for endpoint in &mut endpoints[..new] {
        endpoint.weights.insert(support::model(), 2);
    }
    let mut scheduler = support::scheduler(&endpoints, hosts);
    support::set_target_version(&mut scheduler, 2, TARGET_AT);
    scheduler
}

/// Sends a request every `gap` for six seconds, each of which takes 150 ms, and returns the
/// fraction on version 2.
fn fraction_on_new(scheduler: &mut Scheduler, from: Duration, gap: Duration) -> f64 {
    let mut new = 0;
    let mut open = Vec::new();
    let requests = 6_000 / u32::try_from(gap.as_millis()).unwrap();
    for number in 0..requests {
        let now = from + gap * number;
        open.retain(|(ticket, end)| {
            let is_in_flight = now < *end;
            if !is_in_flight {
                scheduler.record_first_event(*ticket, *end);
                scheduler.record_outcome(*ticket, Outcome::Whole, *end);
            }
            is_in_flight
        });
        let query = support::query(support::history(&format!("s{number}")), now);
        let placement = support::place(scheduler, query, now);
        open.push((placement.ticket, now + ms(150)));
        new += u32::from(placement.version == Some(2));
    }
    f64::from(new) / f64::from(requests)
}

/// All 81 hosts find the first engine with new weights at the same moment. If each sent all its
/// requests there, the engine would get 81 times the load that one host sees.
#[test]
fn the_first_engines_with_new_weights_are_not_overloaded() {
    let mut scheduler = mixed_scheduler(3, 90, 81);
    let fraction = fraction_on_new(&mut scheduler, TARGET_AT + Duration::from_secs(3), ms(100));
    assert!(fraction < 0.15, "{fraction}");
}

#[test]
fn new_engines_with_enough_capacity_get_all_requests() {
    let mut scheduler = mixed_scheduler(60, 90, 81);
    let fraction = fraction_on_new(&mut scheduler, TARGET_AT + Duration::from_secs(3), ms(400));
    assert!(fraction > 0.95, "{fraction}");
}

#[test]
fn old_weights_are_not_used_past_their_limit() {
    let mut scheduler = mixed_scheduler(1, 6, 1);
    let now = TARGET_AT + Duration::from_secs(11);
    for subject in ["a", "b", "c"] {
        let query = support::query(support::history(subject), now);
        let placement = support::place(&mut scheduler, query, now);
        assert_eq!(placement.version, Some(2));
    }
}

#[test]
fn a_loading_engine_gets_no_requests() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    let loading = [id::Endpoint::from("e0")];
    scheduler.set_loading(&loading, NOW);
    for subject in ["a", "b", "c", "d"] {
        let query = support::query(support::history(subject), NOW);
        let placement = support::place(&mut scheduler, query, NOW);
        assert_eq!(placement.endpoint.as_str(), "e1");
    }
    scheduler.record_loaded(&loading[0], &support::model(), 2);
    scheduler.set_loading(&[], NOW + ms(1500));
    support::set_target_version(&mut scheduler, 2, TARGET_AT);
    let now = NOW + Duration::from_secs(3);
    let placement = support::place(
        &mut scheduler,
        support::query(support::history("z"), now),
        now,
    );
    assert_eq!(placement.version, Some(2));
}
