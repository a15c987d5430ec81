//! Leaving endpoints: signals from every channel, and signals that no longer hold.

use std::time::Duration;

use papayayard_coordination::departure;
use papayayard_wire::peer::Cause;
use papayayard_wire::{directory, endpoint, id, peer};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

const RUN: id::Incarnation = id::Incarnation(4);

fn name() -> id::Endpoint {
    id::Endpoint::from("llm-1")
}

fn list(state: directory::State) -> directory::List {
    let entry = directory::Endpoint {
        id: name(),
        service: id::Service::from("match-llm"),
        zone: id::Zone::from("bergen-a"),
        address: ([127, 0, 0, 1], 9_000).into(),
        state,
    };
    directory::List {
        hosts: Vec::new(),
        endpoints: vec![entry],
    }
}

fn report(state: endpoint::State, run: id::Incarnation, age_ms: u64) -> endpoint::Report {
    endpoint::Report {
        endpoint: name(),
        incarnation: run,
        state,
        model: id::Model::from("m"),
        version: id::Version::from("1"),
        running: 0,
        queued: 0,
        pending_tokens: 0,
        slots: 8,
        prefill_rate: 1,
        cache_blocks: 1,
        sequence: 0,
        age_ms,
    }
}

fn departure(cause: Cause, incarnation: Option<id::Incarnation>, age_ms: u64) -> peer::Departure {
    peer::Departure {
        endpoint: name(),
        incarnation,
        cause,
        age_ms,
    }
}

/// Signals a departure through one channel; returns whether it was new.
fn signal(table: &mut departure::Table, channel: &str, now: Duration) -> bool {
    match channel {
        "list" => table.apply_list(&list(directory::State::Leaving), now),
        "report" => table.apply_report(&report(endpoint::State::Draining, RUN, 0), now),
        "order" => table.record_order(&name(), RUN, now),
        "death" => table.record_crash(&name(), RUN, now),
        "peer" => table.merge(&[departure(Cause::Draining, Some(RUN), 500)], now),
        _ => panic!("no such channel"),
    }
}

#[rstest]
#[case::list("list", Cause::Leaving)]
#[case::report("report", Cause::Draining)]
#[case::order("order", Cause::Ordered)]
#[case::death("death", Cause::Dead)]
#[case::peer("peer", Cause::Draining)]
fn one_signal_from_any_channel_is_enough(#[case] channel: &str, #[case] cause: Cause) {
    let mut table = departure::Table::default();
    let now = Duration::from_hours(1);
    assert_eq!(table.cause(&name(), RUN, now), None);
    assert!(signal(&mut table, channel, now));
    assert!(!signal(&mut table, channel, now), "the signal is not new");
    assert_eq!(table.cause(&name(), RUN, now), Some(cause));
}

#[rstest]
#[case::list("list", true)]
#[case::report("report", false)]
#[case::order("order", false)]
#[case::death("death", false)]
fn a_new_run_starts_without_signals(#[case] channel: &str, #[case] is_excluded: bool) {
    let mut table = departure::Table::default();
    let now = Duration::from_hours(1);
    signal(&mut table, channel, now);
    let next = id::Incarnation(5);
    assert_eq!(table.cause(&name(), next, now).is_some(), is_excluded);
}

#[rstest]
#[case::report_is_older(1, 0, true)]
#[case::report_lags(20, 15_000, true)]
#[case::report_is_newer(20, 0, false)]
fn a_clearly_newer_report_clears_a_signal(
    #[case] after_s: u64,
    #[case] age_ms: u64,
    #[case] is_excluded: bool,
) {
    let mut table = departure::Table::default();
    let start = Duration::from_hours(1);
    table.record_order(&name(), RUN, start);
    let now = start + Duration::from_secs(after_s);
    table.apply_report(&report(endpoint::State::Ready, RUN, age_ms), now);
    assert_eq!(table.cause(&name(), RUN, now).is_some(), is_excluded);
    table.merge(
        &[departure(Cause::Ordered, Some(RUN), after_s * 1_000)],
        now,
    );
    let stale = table.cause(&name(), RUN, now).is_some();
    assert_eq!(stale, is_excluded, "an old departure does not restore it");
}

#[test]
fn a_signal_from_the_list_holds_until_the_list_changes() {
    let mut table = departure::Table::default();
    let start = Duration::from_hours(1);
    table.apply_list(&list(directory::State::Leaving), start);
    let later = start + departure::TTL * 3;
    assert_eq!(table.cause(&name(), RUN, later), Some(Cause::Leaving));
    table.apply_list(&list(directory::State::Live), later);
    assert_eq!(table.cause(&name(), RUN, later), None);
}

#[rstest]
#[case::ancient(u64::MAX)]
#[case::just_over(120_000)]
fn a_departure_with_an_excessive_age_is_ignored(#[case] age_ms: u64) {
    let mut table = departure::Table::default();
    let now = Duration::from_hours(1);
    assert!(!table.merge(&[departure(Cause::Dead, Some(RUN), age_ms)], now));
}

#[test]
fn repeated_messages_do_not_extend_a_signal() {
    let mut table = departure::Table::default();
    let start = Duration::from_hours(1);
    table.merge(&[departure(Cause::Dead, Some(RUN), 0)], start);
    let late = start + departure::TTL * 9 / 10;
    table.merge(&[departure(Cause::Dead, Some(RUN), 0)], late);
    let over = start + departure::TTL;
    assert_eq!(table.cause(&name(), RUN, over), None);
}

/// Tables that exchange partial contents converge, in any order of exchanges.
#[test]
fn tables_that_exchange_samples_converge() {
    for seed in 0..1_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut tables = [const { None }; 3].map(|_: Option<()>| departure::Table::default());
        let mut now = Duration::from_hours(1);
        for _ in 0..random.random_range(1..100) {
            now += Duration::from_millis(random.random_range(0..200));
            let endpoint = id::Endpoint::from(format!("e{}", random.random_range(0..60)));
            let table = &mut tables[random.random_range(0..3)];
            table.record_crash(&endpoint, RUN, now);
        }
        let has_converged = (0..120).any(|round| {
            sync(&mut tables, round, now, &mut random);
            let digests = tables.each_mut().map(|table| table.digest(now));
            digests.iter().all(|digest| *digest == digests[0])
        });
        assert!(has_converged, "seed {seed}");
    }
}

fn sync(tables: &mut [departure::Table; 3], round: usize, now: Duration, random: &mut ChaCha8Rng) {
    let (first, second) = (round % 3, (round + 1) % 3);
    let sample = tables[first].sample(16, now, random);
    tables[second].merge(&sample, now);
    let sample = tables[second].sample(16, now, random);
    tables[first].merge(&sample, now);
}
