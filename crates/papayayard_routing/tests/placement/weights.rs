//! Weights that change while requests arrive.

use std::time::Duration;

use papayayard_routing::placement::{Decision, Outcome, Scheduler};
use papayayard_wire::id;

use crate::support::{self, NOW, ms};

const TARGET_AT: Duration = NOW;
/// Time for which a sound engine may be silent.
const SILENCE: Duration = Duration::from_millis(1500);
/// Time for which all engines serve while they load the new weights in turn.
const USED: Duration = Duration::from_secs(8);

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

/// Guards against a request that is placed in time on old weights and begins too late, since its
/// engine is silent for a moment.
#[test]
fn a_request_begins_in_time_on_old_weights_although_its_engine_is_silent() {
    let mut placed_at = Vec::new();
    for tenths in 0..120 {
        let mut scheduler = mixed_scheduler(0, 6, 1);
        let now = TARGET_AT + ms(tenths * 100);
        let query = support::query(support::history("a"), now);
        if let Some(Decision::Placed(placement)) = support::decide(&mut scheduler, query, now) {
            let begins_at = now + placement.first_event + SILENCE;
            assert!(begins_at < TARGET_AT + support::OLD_WEIGHTS, "{now:?}");
            placed_at.push(now);
        }
    }
    let last = placed_at.last();
    assert!(last.is_some_and(|last| *last > TARGET_AT + USED));
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
