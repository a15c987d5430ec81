//! The request that ends its endpoints is stopped, and no other.

use std::time::Duration;

use papayayard_routing::fleet;
use papayayard_routing::quarantine::{Fingerprint, Standing, Table};
use papayayard_wire::block;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use slotmap::SlotMap;

const KILLER: Fingerprint = Fingerprint(666);
const NOW: Duration = Duration::from_secs(1);

fn endpoints(count: usize) -> Vec<fleet::Key> {
    let mut map: SlotMap<fleet::Key, ()> = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

#[test]
fn second_death_quarantines_and_finishing_clears() {
    let ends = endpoints(3);
    let near = Fingerprint(1);
    let mut table = Table::default();
    table.started(KILLER, ends[0]);
    table.started(near, ends[0]);
    assert_eq!(table.died(ends[0], NOW), None);
    assert_eq!(table.standing(near, NOW), Standing::Suspect);
    table.started(near, ends[1]);
    assert_eq!(table.ruled_out(KILLER, NOW), [ends[1]]);
    table.finished(near, ends[1]);
    assert_eq!(table.standing(near, NOW), Standing::Clear);
    table.started(KILLER, ends[2]);
    table.started(near, ends[2]);
    assert_eq!(table.died(ends[2], NOW), Some(KILLER));
    assert_eq!(table.standing(KILLER, NOW), Standing::Quarantined);
    assert_eq!(table.standing(near, NOW), Standing::Clear);
}

#[test]
fn an_answer_cut_while_the_endpoint_lives_blames_nobody() {
    let ends = endpoints(1);
    let mut table = Table::default();
    table.started(KILLER, ends[0]);
    table.ended(KILLER, ends[0]);
    assert_eq!(table.died(ends[0], NOW), None);
    assert_eq!(table.standing(KILLER, NOW), Standing::Clear);
}

#[test]
fn where_two_suspects_meet_neither_is_blamed() {
    let ends = endpoints(3);
    let near = Fingerprint(1);
    let mut table = Table::default();
    for end in &ends[..2] {
        table.started(KILLER, *end);
        table.started(near, *end);
    }
    assert_eq!(table.died(ends[0], NOW), None);
    assert_eq!(table.died(ends[1], NOW), None);
    assert_eq!(table.standing(near, NOW), Standing::Suspect);
    table.started(KILLER, ends[2]);
    assert_eq!(table.died(ends[2], NOW), Some(KILLER));
}

#[test]
fn peers_take_over_what_is_quarantined() {
    let ends = endpoints(2);
    let mut table = Table::default();
    for end in &ends {
        table.started(KILLER, *end);
        table.died(*end, NOW);
    }
    let verdicts = table.export(NOW);
    let mut peer = Table::default();
    peer.import(&verdicts, NOW);
    assert_eq!(peer.standing(KILLER, NOW), Standing::Quarantined);
    let later = NOW + Duration::from_hours(1);
    assert_eq!(peer.standing(KILLER, later), Standing::Clear);
}

#[test]
fn fingerprints_differ_between_scopes() {
    let of = |salt| Fingerprint::of(block::Salt(salt), b"body");
    assert_ne!(of(1), of(2));
    assert_eq!(of(1), of(1));
}

#[test]
fn tables_are_bounded() {
    let ends = endpoints(1);
    let mut table = Table::default();
    for number in 0..10_000 {
        table.started(Fingerprint(number), ends[0]);
    }
    table.died(ends[0], NOW);
    let suspects = (0..10_000).map(Fingerprint);
    let known = suspects.filter(|one| table.standing(*one, NOW) == Standing::Suspect);
    assert_eq!(known.count(), 4_096);
}

/// Requests come and go at random; one of them ends each endpoint that runs
/// it, and its caller sends it again at once.
#[test]
fn the_killer_is_stopped_and_never_a_bystander() {
    for seed in 0..1_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ends = endpoints(6);
        let mut table = Table::default();
        let mut running: Vec<(Fingerprint, fleet::Key)> = Vec::new();
        let mut pending: Vec<Fingerprint> = (0..30).map(Fingerprint).collect();
        pending.insert(rng.next_u32() as usize % 30, KILLER);
        let mut deaths = 0;
        let mut steps = 0;
        while !pending.is_empty() || !running.is_empty() {
            steps += 1;
            assert!(steps < 5_000, "seed {seed}: some request never ends");
            if let Some(next) = pending.pop() {
                let standing = table.standing(next, NOW);
                assert!(
                    next == KILLER || standing != Standing::Quarantined,
                    "seed {seed}"
                );
                if standing == Standing::Quarantined {
                    continue;
                }
                let ruled_out = table.ruled_out(next, NOW);
                let allowed: Vec<_> = ends.iter().filter(|end| !ruled_out.contains(end)).collect();
                if allowed.is_empty() {
                    pending.insert(0, next);
                } else {
                    let end = *allowed[rng.next_u32() as usize % allowed.len()];
                    table.started(next, end);
                    running.push((next, end));
                }
            }
            if running.is_empty() || rng.next_u32().is_multiple_of(3) {
                continue;
            }
            let (ending, end) = running[rng.next_u32() as usize % running.len()];
            if ending == KILLER {
                deaths += 1;
                table.died(end, NOW);
                let victims = running.extract_if(.., |(_, at)| *at == end);
                pending.extend(victims.map(|(fingerprint, _)| fingerprint));
            } else {
                table.finished(ending, end);
                running.retain(|one| *one != (ending, end));
            }
        }
        assert_eq!(deaths, 2, "seed {seed}");
        assert_eq!(
            table.standing(KILLER, NOW),
            Standing::Quarantined,
            "seed {seed}"
        );
    }
}
