//! Choice of endpoints: caches, queues, zones, bursts and hot prefixes.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_routing::choice::{self, Policy};
use papayayard_routing::{fleet, mix};
use papayayard_wire::{block, endpoint, id};
use rstest::rstest;

const BLOCK: usize = 2_048;
const RATE: u32 = 8_000;
const NOW: Duration = Duration::from_secs(10);

fn report(pending_tokens: u64) -> endpoint::Report {
    endpoint::Report {
        endpoint: "unused".into(),
        incarnation: id::Incarnation(1),
        state: endpoint::State::Ready,
        model: "m".into(),
        version: "v1".into(),
        running: 0,
        queued: 0,
        pending_tokens,
        slots: 64,
        prefill_rate: RATE,
        cache_blocks: 1_000,
        sequence: 0,
        age_ms: 0,
    }
}

fn fleet(count: usize) -> (fleet::Fleet, Vec<fleet::Key>) {
    let mut fleet = fleet::Fleet::new(fleet::Settings {
        version: "v1".into(),
        block_bytes: BLOCK,
        index_blocks: 100_000,
    });
    let join = |number| fleet.join(&format!("e{number}").into(), &"a".into());
    let keys: Vec<_> = (0..count).map(join).collect();
    for key in &keys {
        fleet.report(*key, &report(0), NOW);
    }
    (fleet, keys)
}

fn prompt(name: u64, blocks: u64) -> Vec<block::Key> {
    let key = |at| block::Key(mix::pair(name, at));
    (0..blocks).map(key).collect()
}

fn query<'a>(keys: &'a [block::Key], zone: &'a id::Zone) -> choice::Query<'a> {
    choice::Query {
        keys,
        prompt_bytes: keys.len() * BLOCK + 200,
        output_tokens: 100,
        zone,
        now: NOW,
        excluded: &[],
        first_token_limit: None,
    }
}

fn picked(
    policy: &mut choice::Papayayard,
    fleet: &fleet::Fleet,
    keys: &[block::Key],
) -> choice::Pick {
    let zone = "a".into();
    policy.pick(fleet, &query(keys, &zone)).expect("a pick")
}

#[test]
fn the_endpoint_that_holds_the_prefix_is_chosen() {
    let (mut fleet, endpoint_keys) = fleet(18);
    let keys = prompt(1, 20);
    for endpoint_key in &endpoint_keys {
        fleet.answered(*endpoint_key, &keys[..15], NOW);
        let pick = picked(&mut choice::Papayayard::new(1), &fleet, &keys);
        assert_eq!(pick.endpoint, *endpoint_key);
        assert_eq!(pick.cached_bytes, 15 * BLOCK);
        fleet.crashed(*endpoint_key, NOW);
        let later = NOW + Duration::from_secs(1);
        fleet.report(*endpoint_key, &report(0), later);
    }
}

#[test]
fn a_long_queue_outweighs_a_cached_prefix() {
    let (mut fleet, endpoint_keys) = fleet(18);
    let keys = prompt(1, 4);
    fleet.answered(endpoint_keys[3], &keys[..3], NOW);
    let mut policy = choice::Papayayard::new(1);
    assert_eq!(
        picked(&mut policy, &fleet, &keys).endpoint,
        endpoint_keys[3]
    );
    let mut busy = report(1_000_000);
    busy.running = 500;
    fleet.report(endpoint_keys[3], &busy, NOW);
    assert_ne!(
        picked(&mut policy, &fleet, &keys).endpoint,
        endpoint_keys[3]
    );
}

#[test]
fn an_uncertain_entry_counts_less_than_a_certain_one() {
    let (mut fleet, endpoint_keys) = fleet(4);
    let keys = prompt(1, 10);
    let stored = |sequence| endpoint::Page {
        incarnation: id::Incarnation(1),
        events: vec![endpoint::Event {
            sequence,
            change: endpoint::Change::Stored { keys: keys.clone() },
        }],
    };
    for endpoint_key in &endpoint_keys[..2] {
        fleet.events(*endpoint_key, &stored(1), NOW);
    }
    let mut gap = stored(9);
    gap.events[0].change = endpoint::Change::Removed { keys: Vec::new() };
    fleet.events(endpoint_keys[0], &gap, NOW);
    for seed in 0..50 {
        let pick = picked(&mut choice::Papayayard::new(seed), &fleet, &keys);
        assert_eq!(pick.endpoint, endpoint_keys[1]);
    }
}

#[test]
fn hosts_without_cached_prefixes_agree() {
    let (fleet, _) = fleet(110);
    for name in 0..100 {
        let keys = prompt(name, 20);
        let picks = (0..20).map(|host| {
            let mut policy = choice::Papayayard::new(host);
            picked(&mut policy, &fleet, &keys).endpoint
        });
        let mut picks: Vec<_> = picks.collect();
        picks.sort_unstable();
        picks.dedup();
        assert!(picks.len() <= 2, "prefix {name}: {} endpoints", picks.len());
    }
}

#[test]
fn a_short_queue_does_not_spread_a_prefix() {
    let (mut fleet, _) = fleet(18);
    let keys = prompt(1, 20);
    let home = picked(&mut choice::Papayayard::new(1), &fleet, &keys).endpoint;
    fleet.report(home, &report(3_000), NOW);
    let other = picked(&mut choice::Papayayard::new(1), &fleet, &keys).endpoint;
    fleet.report(other, &report(3_000), NOW);
    for host in 0..20 {
        let pick = picked(&mut choice::Papayayard::new(host), &fleet, &keys);
        assert!([home, other].contains(&pick.endpoint));
    }
}

#[test]
fn prefixes_spread_over_all_endpoints() {
    let (fleet, endpoint_keys) = fleet(18);
    let mut counts: HashMap<fleet::Key, u32> = HashMap::new();
    let mut policy = choice::Papayayard::new(1);
    for name in 0..1_800 {
        let keys = prompt(name, 20);
        let pick = picked(&mut policy, &fleet, &keys);
        *counts.entry(pick.endpoint).or_default() += 1;
    }
    let most = counts.values().max();
    assert_eq!(counts.len(), endpoint_keys.len());
    assert!(most.is_some_and(|most| *most <= 200), "{most:?}");
}

#[rstest]
#[case::idle(0, "a")]
#[case::full(40_000, "b")]
fn another_zone_is_used_only_when_the_local_zone_is_full(#[case] pending: u64, #[case] zone: &str) {
    let (mut fleet, endpoint_keys) = fleet(6);
    for (number, endpoint_key) in endpoint_keys.iter().enumerate() {
        let name = format!("e{number}").into();
        let own = number < 3;
        fleet.join(&name, &if own { "a" } else { "b" }.into());
        fleet.report(*endpoint_key, &report(if own { pending } else { 0 }), NOW);
    }
    for name in 0..20 {
        let keys = prompt(name, 4);
        for endpoint_key in &endpoint_keys {
            fleet.answered(*endpoint_key, &keys, NOW);
        }
        let own = "a".into();
        let query = query(&keys, &own);
        let pick = choice::Papayayard::new(name).pick(&fleet, &query).unwrap();
        let chosen = &fleet.get(pick.endpoint).unwrap().zone;
        assert_eq!(chosen.as_str(), zone);
    }
}

#[test]
fn a_request_over_the_first_token_limit_is_refused() {
    let (mut fleet, endpoint_keys) = fleet(3);
    for endpoint_key in &endpoint_keys {
        fleet.report(*endpoint_key, &report(80_000), NOW);
    }
    let keys = prompt(1, 20);
    let zone = "a".into();
    let mut query = query(&keys, &zone);
    query.first_token_limit = Some(Duration::from_secs(1));
    let refused = choice::Papayayard::new(1).pick(&fleet, &query);
    let Err(choice::Refusal::Overloaded { retry_after }) = refused else {
        panic!("{refused:?}");
    };
    assert!(retry_after >= Duration::from_secs(5), "{retry_after:?}");
}

#[test]
fn an_excluded_endpoint_is_not_chosen() {
    let (mut fleet, endpoint_keys) = fleet(3);
    let keys = prompt(1, 4);
    fleet.answered(endpoint_keys[0], &keys, NOW);
    let zone = "a".into();
    let mut query = query(&keys, &zone);
    query.excluded = &endpoint_keys[..2];
    let pick = choice::Papayayard::new(1).pick(&fleet, &query).unwrap();
    assert_eq!(pick.endpoint, endpoint_keys[2]);
}

#[test]
fn work_sent_since_the_report_counts() {
    let (mut fleet, endpoint_keys) = fleet(2);
    let mut policy = choice::Papayayard::new(1);
    let mut counts: HashMap<fleet::Key, u32> = HashMap::new();
    for name in 0..40 {
        let keys = prompt(name, 10);
        let pick = picked(&mut policy, &fleet, &keys);
        let bytes = keys.len() * BLOCK;
        fleet.dispatched(pick.endpoint, &keys, bytes, pick.cached_bytes, NOW);
        *counts.entry(pick.endpoint).or_default() += 1;
    }
    assert!(
        endpoint_keys
            .iter()
            .all(|endpoint_key| counts[endpoint_key] >= 17),
        "{counts:?}"
    );
}

/// Several hosts start from the same state, and each sends its part of a burst
/// without information about the other hosts.
#[rstest]
#[case::cold(0)]
#[case::warm_on_two(2)]
#[case::warm_everywhere(18)]
fn a_burst_through_all_hosts_is_spread(#[case] warm: usize) {
    const HOSTS: u64 = 9;
    const REQUESTS: u64 = 20;
    let mut tokens: HashMap<fleet::Key, u64> = HashMap::new();
    let mut holders: Vec<fleet::Key> = Vec::new();
    for host in 0..HOSTS {
        let (mut fleet, endpoint_keys) = fleet(18);
        fleet.set_hosts(u32::try_from(HOSTS).unwrap());
        let shared = prompt(1, 16);
        for endpoint_key in &endpoint_keys[..warm] {
            fleet.answered(*endpoint_key, &shared, NOW);
            holders.push(*endpoint_key);
        }
        let mut policy = choice::Papayayard::new(mix::spread(host));
        for request in 0..REQUESTS {
            let mut keys = shared.clone();
            keys.extend(prompt(100 + host * REQUESTS + request, 4));
            let pick = picked(&mut policy, &fleet, &keys);
            let bytes = keys.len() * BLOCK;
            fleet.dispatched(pick.endpoint, &keys, bytes, pick.cached_bytes, NOW);
            let held = if holders.contains(&pick.endpoint) {
                16
            } else {
                0
            };
            holders.push(pick.endpoint);
            *tokens.entry(pick.endpoint).or_default() += (20 - held) * 512;
        }
    }
    let total: u64 = tokens.values().sum();
    let most = tokens.values().max().copied().unwrap_or(0);
    assert!(most <= 2 * total / 18, "{most} of {total}: {tokens:?}");
}

/// The number of endpoints that serve a prefix follows its load: some of the four
/// endpoints that the prefix hashes to, then more, then the four again.
#[rstest]
#[case::own_ends(2)]
#[case::same_prompt(0)]
fn a_hot_prefix_widens_and_narrows(#[case] own: u64) {
    let (mut fleet, endpoint_keys) = fleet(18);
    let mut policy = choice::Papayayard::new(1);
    let shared = prompt(1, 16);
    let rush = if own == 0 { 1_800 } else { 60 };
    let mut used = Vec::new();
    for (phase, per_second) in [2_u64, rush, 2].into_iter().enumerate() {
        let begin = NOW + Duration::from_secs(phase as u64 * 100);
        let mut late = Vec::new();
        for number in 0..per_second * 20 {
            let now = begin + Duration::from_secs(number) / u32::try_from(per_second).unwrap();
            let mut keys = shared.clone();
            keys.extend(prompt(1_000 + phase as u64 * 10_000 + number, own));
            let zone = "a".into();
            let query = choice::Query {
                now,
                ..query(&keys, &zone)
            };
            let pick = policy.pick(&fleet, &query).unwrap();
            let bytes = query.prompt_bytes;
            fleet.dispatched(pick.endpoint, &keys, bytes, pick.cached_bytes, now);
            fleet.finished(pick.endpoint, Duration::from_millis(300), now);
            if number > per_second * 10 {
                late.push(pick.endpoint);
            }
        }
        late.sort_unstable();
        late.dedup();
        used.push(late.len());
        for endpoint_key in &endpoint_keys {
            let at = begin + Duration::from_secs(90);
            fleet.report(*endpoint_key, &report(0), at);
        }
    }
    assert!(used[0] <= 4, "{used:?}");
    assert!(used[1] >= 8, "{used:?}");
    assert!(used[2] <= 4, "{used:?}");
}

/// A prefix that only another zone holds is served there while queues are short.
/// Under load the local zone computes it, because work sent by the other zone's
/// hosts may not be visible yet.
#[rstest]
#[case::idle(0, "b")]
#[case::loaded(800, "a")]
fn another_zones_cache_is_used_while_queues_are_short(#[case] pending: u64, #[case] zone: &str) {
    let (mut fleet, endpoint_keys) = fleet(6);
    for (number, endpoint_key) in endpoint_keys.iter().enumerate() {
        let own = number < 3;
        let name = format!("e{number}").into();
        fleet.join(&name, &if own { "a" } else { "b" }.into());
        fleet.report(*endpoint_key, &report(pending), NOW);
    }
    for name in 0..20 {
        let keys = prompt(name, 2);
        for endpoint_key in &endpoint_keys[3..] {
            fleet.answered(*endpoint_key, &keys, NOW);
        }
        let pick = picked(&mut choice::Papayayard::new(name), &fleet, &keys);
        let chosen = &fleet.get(pick.endpoint).expect("the endpoint exists").zone;
        assert_eq!(chosen.as_str(), zone);
    }
}
