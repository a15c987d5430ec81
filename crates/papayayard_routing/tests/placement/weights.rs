//! Weights that change while requests come.

use std::time::Duration;

use papayayard_routing::placement::{Outcome, Scheduler};
use papayayard_wire::id;

use crate::support::{self, NOW, ms};

const NAMED: Duration = NOW;

/// Engines of which the first few have version 2.
fn mixed(new: usize, number: usize, hosts: usize) -> Scheduler {
    let mut endpoints = support::engines(number, 1);
    for endpoint in &mut endpoints[..new] {
        endpoint.weights.insert(support::model(), 2);
    }
    let mut scheduler = support::scheduler(&endpoints, hosts);
    support::name(&mut scheduler, 2, NAMED);
    scheduler
}

/// Requests every `gap` for six seconds, each of which takes 150 ms; the part on version 2.
fn part_on_new(scheduler: &mut Scheduler, from: Duration, gap: Duration) -> f64 {
    let mut new = 0;
    let mut open = Vec::new();
    let requests = 6_000 / u32::try_from(gap.as_millis()).unwrap();
    for number in 0..requests {
        let now = from + gap * number;
        open.retain(|(ticket, end)| {
            let is_open = now < *end;
            if !is_open {
                scheduler.begun(*ticket, *end);
                scheduler.finished(*ticket, Outcome::Whole, *end);
            }
            is_open
        });
        let ask = support::ask(support::history(&format!("s{number}")), now);
        let placement = support::place(scheduler, ask, now);
        open.push((placement.ticket, now + ms(150)));
        new += u32::from(placement.version == Some(2));
    }
    f64::from(new) / f64::from(requests)
}

/// All of 81 hosts find the first engine with new weights at one moment. If
/// each sent all there, it would get 81 times what a host sees.
#[test]
fn the_first_engines_with_new_weights_are_not_overrun() {
    let mut scheduler = mixed(3, 90, 81);
    let part = part_on_new(&mut scheduler, NAMED + Duration::from_secs(3), ms(100));
    assert!(part < 0.15, "{part}");
}

#[test]
fn engines_that_can_serve_all_get_all() {
    let mut scheduler = mixed(60, 90, 81);
    let part = part_on_new(&mut scheduler, NAMED + Duration::from_secs(3), ms(400));
    assert!(part > 0.95, "{part}");
}

#[test]
fn older_weights_are_not_used_past_their_time() {
    let mut scheduler = mixed(1, 6, 1);
    let now = NAMED + Duration::from_secs(11);
    for subject in ["a", "b", "c"] {
        let ask = support::ask(support::history(subject), now);
        let placement = support::place(&mut scheduler, ask, now);
        assert_eq!(placement.version, Some(2));
    }
}

#[test]
fn an_engine_that_loads_gets_nothing_until_it_has_loaded() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    let loading = [id::Endpoint::from("e0")];
    scheduler.set_loading(&loading, NOW);
    for subject in ["a", "b", "c", "d"] {
        let ask = support::ask(support::history(subject), NOW);
        let placement = support::place(&mut scheduler, ask, NOW);
        assert_eq!(placement.endpoint.as_str(), "e1");
    }
    scheduler.loaded(&loading[0], &support::model(), 2);
    scheduler.set_loading(&[], NOW + ms(1500));
    support::name(&mut scheduler, 2, NAMED);
    let now = NOW + Duration::from_secs(3);
    let placement = support::place(
        &mut scheduler,
        support::ask(support::history("z"), now),
        now,
    );
    assert_eq!(placement.version, Some(2));
}
