//! Only the request that crashes its endpoints is quarantined.

use std::time::Duration;

use papayayard_routing::fleet;
use papayayard_routing::quarantine::{Fingerprint, Status, Table};
use papayayard_wire::block;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use slotmap::SlotMap;

const CRASHING: Fingerprint = Fingerprint(666);
const NOW: Duration = Duration::from_secs(1);

fn endpoints(count: usize) -> Vec<fleet::Key> {
    let mut map: SlotMap<fleet::Key, ()> = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

#[test]
fn second_crash_quarantines_and_completion_clears() {
    let endpoint_keys = endpoints(3);
    let bystander = Fingerprint(1);
    let mut table = Table::default();
    table.record_start(CRASHING, endpoint_keys[0]);
    table.record_start(bystander, endpoint_keys[0]);
    assert_eq!(table.record_crash(endpoint_keys[0], NOW), None);
    assert_eq!(table.status(bystander, NOW), Status::Suspect);
    table.record_start(bystander, endpoint_keys[1]);
    assert_eq!(table.excluded_endpoints(CRASHING, NOW), [endpoint_keys[1]]);
    table.record_success(bystander, endpoint_keys[1]);
    assert_eq!(table.status(bystander, NOW), Status::Clear);
    table.record_start(CRASHING, endpoint_keys[2]);
    table.record_start(bystander, endpoint_keys[2]);
    assert_eq!(table.record_crash(endpoint_keys[2], NOW), Some(CRASHING));
    assert_eq!(table.status(CRASHING, NOW), Status::Quarantined);
    assert_eq!(table.status(bystander, NOW), Status::Clear);
}

#[test]
fn an_answer_cut_off_by_a_live_endpoint_makes_no_suspects() {
    let endpoint_keys = endpoints(1);
    let mut table = Table::default();
    table.record_start(CRASHING, endpoint_keys[0]);
    table.record_abort(CRASHING, endpoint_keys[0]);
    assert_eq!(table.record_crash(endpoint_keys[0], NOW), None);
    assert_eq!(table.status(CRASHING, NOW), Status::Clear);
}

#[test]
fn two_suspects_at_one_crash_are_not_quarantined() {
    let endpoint_keys = endpoints(3);
    let bystander = Fingerprint(1);
    let mut table = Table::default();
    for endpoint_key in &endpoint_keys[..2] {
        table.record_start(CRASHING, *endpoint_key);
        table.record_start(bystander, *endpoint_key);
    }
    assert_eq!(table.record_crash(endpoint_keys[0], NOW), None);
    assert_eq!(table.record_crash(endpoint_keys[1], NOW), None);
    assert_eq!(table.status(bystander, NOW), Status::Suspect);
    table.record_start(CRASHING, endpoint_keys[2]);
    assert_eq!(table.record_crash(endpoint_keys[2], NOW), Some(CRASHING));
}

#[test]
fn peers_import_quarantined_fingerprints() {
    let endpoint_keys = endpoints(2);
    let mut table = Table::default();
    for endpoint_key in &endpoint_keys {
        table.record_start(CRASHING, *endpoint_key);
        table.record_crash(*endpoint_key, NOW);
    }
    let verdicts = table.export(NOW);
    let mut peer = Table::default();
    peer.import(&verdicts, NOW);
    assert_eq!(peer.status(CRASHING, NOW), Status::Quarantined);
    let later = NOW + Duration::from_hours(1);
    assert_eq!(peer.status(CRASHING, later), Status::Clear);
}

#[test]
fn fingerprints_differ_between_scopes() {
    let of = |salt| Fingerprint::of(block::Salt(salt), b"body");
    assert_ne!(of(1), of(2));
    assert_eq!(of(1), of(1));
}

#[test]
fn tables_are_bounded() {
    let endpoint_keys = endpoints(1);
    let mut table = Table::default();
    for number in 0..10_000 {
        table.record_start(Fingerprint(number), endpoint_keys[0]);
    }
    table.record_crash(endpoint_keys[0], NOW);
    let suspects = (0..10_000).map(Fingerprint);
    let known = suspects.filter(|fingerprint| table.status(*fingerprint, NOW) == Status::Suspect);
    assert_eq!(known.count(), 4_096);
}

/// Requests start and end at random. One of them crashes each endpoint that runs
/// it, and its caller retries it at once.
#[test]
fn only_the_crashing_request_is_quarantined() {
    for seed in 0..1_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoint_keys = endpoints(6);
        let mut table = Table::default();
        let mut running: Vec<(Fingerprint, fleet::Key)> = Vec::new();
        let mut pending: Vec<Fingerprint> = (0..30).map(Fingerprint).collect();
        pending.insert(rng.next_u32() as usize % 30, CRASHING);
        let mut crashes = 0;
        let mut steps = 0;
        while !pending.is_empty() || !running.is_empty() {
            steps += 1;
            assert!(steps < 5_000, "seed {seed}: some request never ends");
            if let Some(next) = pending.pop() {
                let status = table.status(next, NOW);
                assert!(
                    next == CRASHING || status != Status::Quarantined,
                    "seed {seed}"
                );
                if status == Status::Quarantined {
                    continue;
                }
                let excluded_endpoints = table.excluded_endpoints(next, NOW);
                let allowed: Vec<_> = endpoint_keys
                    .iter()
                    .filter(|endpoint_key| !excluded_endpoints.contains(endpoint_key))
                    .collect();
                if allowed.is_empty() {
                    pending.insert(0, next);
                } else {
                    let endpoint_key = *allowed[rng.next_u32() as usize % allowed.len()];
                    table.record_start(next, endpoint_key);
                    running.push((next, endpoint_key));
                }
            }
            if running.is_empty() || rng.next_u32().is_multiple_of(3) {
                continue;
            }
            let (ending, endpoint_key) = running[rng.next_u32() as usize % running.len()];
            if ending == CRASHING {
                crashes += 1;
                table.record_crash(endpoint_key, NOW);
                let victims = running.extract_if(.., |(_, at)| *at == endpoint_key);
                pending.extend(victims.map(|(fingerprint, _)| fingerprint));
            } else {
                table.record_success(ending, endpoint_key);
                running.retain(|pair| *pair != (ending, endpoint_key));
            }
        }
        assert_eq!(crashes, 2, "seed {seed}");
        assert_eq!(
            table.status(CRASHING, NOW),
            Status::Quarantined,
            "seed {seed}"
        );
    }
}
