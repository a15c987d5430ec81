//! Choice of the host through which a detached host serves its callers.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_coordination::detour::{Detour, MAX_TRIES, Peer};
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests of a replay.
const REQUESTS: u32 = 3000;
/// Time between two requests.
const PERIOD: Duration = Duration::from_millis(2);

/// Eight other hosts: two of the own zone, three of each other zone.
fn peers() -> Vec<Peer> {
    let hosts = [("a", 2), ("b", 3), ("c", 3)];
    let hosts = hosts
        .iter()
        .flat_map(|(zone, number)| (0..*number).map(move |index| (*zone, index)));
    hosts
        .map(|(zone, index)| Peer {
            host: id::Host::from(format!("{zone}-{index}")),
            address: format!("10.0.{index}.1:1").parse().expect("an address"),
            is_local: zone == "a",
        })
        .collect()
}

/// Load of each host that takes requests, and the number that nobody took.
struct Replay {
    taken: HashMap<String, u32>,
    refused: u32,
    asked_in_vain: u32,
}

/// Replays requests while only the `sound` hosts take them.
fn replay(sound: &[&str], seed: u64) -> Replay {
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    let peers = peers();
    let mut detour = Detour::default();
    let mut replay = Replay {
        taken: HashMap::new(),
        refused: 0,
        asked_in_vain: 0,
    };
    for number in 0..REQUESTS {
        let now = PERIOD * number;
        let mut tried = Vec::new();
        loop {
            let peer = detour.choose(&peers, &tried, draws.random(), now);
            let Some(peer) = peer.filter(|_| tried.len() < MAX_TRIES) else {
                replay.refused += 1;
                break;
            };
            if sound.contains(&peer.host.as_str()) {
                detour.restore(&peer.host);
                *replay
                    .taken
                    .entry(peer.host.as_str().to_owned())
                    .or_default() += 1;
                break;
            }
            replay.asked_in_vain += 1;
            detour.pass_over(&peer.host, now);
            tried.push(peer.host.clone());
        }
    }
    replay
}

/// Guards against a detached host that burdens other zones, or one host of its own.
#[test]
fn hosts_of_the_own_zone_share_the_requests() {
    let all = peers();
    let all: Vec<&str> = all.iter().map(|peer| peer.host.as_str()).collect();
    let replay = replay(&all, 1);
    assert_eq!(replay.taken.len(), 2, "{:?}", replay.taken);
    for taken in replay.taken.values() {
        assert!(
            taken.abs_diff(REQUESTS / 2) < REQUESTS / 20,
            "{:?}",
            replay.taken
        );
    }
}

/// Guards against requests that are refused or late because most of the others are detached
/// too.
#[test]
fn the_only_sound_hosts_are_found_soon() {
    for seed in 0..8 {
        let replay = replay(&["c-0", "c-2"], seed);
        let seconds = u32::try_from((PERIOD * REQUESTS).as_secs()).expect("a short replay");
        let detached = 6;
        assert!(replay.refused <= 1, "{} refused", replay.refused);
        assert!(
            replay.asked_in_vain <= detached * (seconds + 1),
            "{} asked in vain",
            replay.asked_in_vain
        );
        assert_eq!(replay.taken.len(), 2, "{:?}", replay.taken);
    }
}

/// Guards against requests that go round among hosts of which none can take them.
#[test]
fn nobody_is_asked_while_all_are_passed_over() {
    let replay = replay(&[], 1);
    assert_eq!(replay.refused, REQUESTS);
    let seconds = u32::try_from((PERIOD * REQUESTS).as_secs()).expect("a short replay");
    assert!(replay.asked_in_vain <= 8 * (seconds + 1));
}

#[test]
fn a_host_is_asked_again_after_a_moment() {
    let peers = &peers()[..1];
    let mut detour = Detour::default();
    let now = Duration::from_secs(5);
    assert!(detour.pass_over(&peers[0].host, now));
    assert!(!detour.pass_over(&peers[0].host, now), "known already");
    let later = now + Duration::from_millis(999);
    assert_eq!(detour.choose(peers, &[], 7, later), None);
    let later = now + Duration::from_secs(1);
    assert_eq!(detour.choose(peers, &[], 7, later), peers.first());
    assert!(detour.restore(&peers[0].host));
    assert!(!detour.restore(&peers[0].host), "known already");
}

#[test]
fn a_host_that_is_gone_is_forgotten() {
    let peers = peers();
    let mut detour = Detour::default();
    let now = Duration::from_secs(5);
    detour.pass_over(&peers[0].host, now);
    detour.retain(&peers[1..]);
    assert!(!detour.is_passed_over(&peers[0].host, now));
}
