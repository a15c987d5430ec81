//! The index compared with an engine's true cache, over random event orders.

use std::collections::HashSet;
use std::time::Duration;

use papayayard_routing::index;
use papayayard_wire::{block, endpoint, id};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

const ORDERS: u64 = 1_000;
const STEPS: usize = 120;
const KEYS: u64 = 24;

fn key(number: u64) -> block::Key {
    block::Key(papayayard_routing::mix::spread(number))
}

fn page(sequence: u64, change: endpoint::Change) -> endpoint::Page {
    endpoint::Page {
        incarnation: id::Incarnation(1),
        events: vec![endpoint::Event { sequence, change }],
    }
}

fn stored(number: u64) -> endpoint::Change {
    endpoint::Change::Stored {
        keys: vec![key(number)],
    }
}

fn removed(number: u64) -> endpoint::Change {
    endpoint::Change::Removed {
        keys: vec![key(number)],
    }
}

/// Holders of a key: the slot and whether the entry is uncertain.
fn holders(index: &index::Index, number: u64, now: Duration) -> Vec<(index::Slot, bool)> {
    let mut found = Vec::new();
    index.holders(key(number), now, |holder| {
        found.push((holder.slot, holder.uncertain));
    });
    found
}

struct Engine {
    slot: index::Slot,
    sequence: u64,
    cache: HashSet<u64>,
    seen: HashSet<u64>,
}

impl Engine {
    fn change(&mut self, rng: &mut ChaCha8Rng) -> endpoint::Change {
        self.sequence += 1;
        let number = u64::from(rng.next_u32()) % KEYS;
        match rng.next_u32() % 16 {
            0 => {
                self.cache.clear();
                endpoint::Change::Cleared
            }
            1..=6 => {
                self.cache.remove(&number);
                removed(number)
            }
            _ => {
                self.cache.insert(number);
                stored(number)
            }
        }
    }
}

fn check(index: &index::Index, engines: &[Engine], now: Duration, seed: u64) {
    for number in 0..KEYS {
        for (slot, uncertain) in holders(index, number, now) {
            let known = engines.iter().find(|engine| engine.slot == slot);
            let held = known.is_some_and(|engine| engine.seen.contains(&number));
            assert!(uncertain || held, "seed {seed}: key {number} is not held");
        }
    }
}

#[test]
fn certain_entries_match_the_cache_at_the_last_event() {
    for seed in 0..ORDERS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut index = index::Index::new(40);
        let mut engines: Vec<Engine> = (0..3)
            .map(|_| Engine {
                slot: index.allocate(),
                sequence: 0,
                cache: HashSet::new(),
                seen: HashSet::new(),
            })
            .collect();
        let mut delivered: Option<(index::Slot, endpoint::Page)> = None;
        for step in 0..STEPS {
            let now = Duration::from_secs(step as u64);
            let engine = &mut engines[rng.next_u32() as usize % 3];
            let lost = rng.next_u32().is_multiple_of(5);
            if rng.next_u32().is_multiple_of(40) {
                engine.sequence = 0;
                engine.cache.clear();
                engine.seen.clear();
                index.clear(engine.slot);
                delivered = None;
                for number in 0..KEYS {
                    let held = holders(&index, number, now);
                    let left = held.iter().any(|(slot, _)| *slot == engine.slot);
                    assert!(!left, "seed {seed}: an entry outlived its run");
                }
                continue;
            }
            let change = engine.change(&mut rng);
            if !lost {
                let sent = page(engine.sequence, change);
                index.events(engine.slot, &sent, now);
                engine.seen.clone_from(&engine.cache);
                delivered = Some((engine.slot, sent));
            }
            if let Some((slot, page)) = delivered.as_ref().filter(|_| step % 7 == 0) {
                index.events(*slot, page, now);
            }
            check(&index, &engines, now, seed);
        }
    }
}

#[test]
fn a_repeated_page_restores_no_removed_entry() {
    let mut index = index::Index::new(10);
    let slot = index.allocate();
    index.events(slot, &page(1, stored(1)), Duration::ZERO);
    index.events(slot, &page(2, removed(1)), Duration::ZERO);
    index.events(slot, &page(1, stored(1)), Duration::ZERO);
    assert_eq!(holders(&index, 1, Duration::ZERO), []);
}

#[test]
fn a_gap_makes_entries_uncertain_until_confirmed() {
    let mut index = index::Index::new(10);
    let slot = index.allocate();
    index.events(slot, &page(1, stored(1)), Duration::ZERO);
    assert_eq!(holders(&index, 1, Duration::ZERO), [(slot, false)]);
    index.events(slot, &page(3, stored(2)), Duration::ZERO);
    assert_eq!(holders(&index, 1, Duration::ZERO), [(slot, true)]);
    assert_eq!(holders(&index, 2, Duration::ZERO), [(slot, false)]);
    index.confirm(slot, &[key(1)], Duration::ZERO);
    assert_eq!(holders(&index, 1, Duration::ZERO), [(slot, false)]);
}

#[test]
fn entries_expire_after_their_lifetime() {
    let mut index = index::Index::new(10);
    let slot = index.allocate();
    index.confirm(slot, &[key(1)], Duration::ZERO);
    assert_eq!(holders(&index, 1, Duration::from_mins(2)).len(), 1);
    assert_eq!(holders(&index, 1, Duration::from_secs(121)), []);
}

#[test]
fn a_full_index_replaces_the_oldest_entries() {
    let mut index = index::Index::new(64);
    let slot = index.allocate();
    for number in 0..1_000 {
        let now = Duration::from_secs(number / 50);
        index.confirm(slot, &[key(number)], now);
    }
    let now = Duration::from_secs(20);
    let held = |number: &u64| !holders(&index, *number, now).is_empty();
    assert!((0..1_000).filter(held).count() <= 64);
    assert!((980..1_000).filter(held).count() >= 19);
}

#[test]
fn repeated_restarts_do_not_lengthen_a_bucket() {
    let mut index = index::Index::new(1_000);
    let slot = index.allocate();
    for _ in 0..500 {
        index.confirm(slot, &[key(1)], Duration::ZERO);
        index.clear(slot);
    }
    assert_eq!(index.used(), 1, "invalid cells are reused");
}

#[test]
fn a_key_keeps_a_bounded_number_of_holders() {
    let mut index = index::Index::new(10_000);
    let slots: Vec<_> = (0..1_100).map(|_| index.allocate()).collect();
    for slot in &slots {
        index.confirm(*slot, &[key(1)], Duration::ZERO);
    }
    let found = holders(&index, 1, Duration::ZERO);
    assert_eq!(found.len(), 32);
    assert_eq!(index.used(), 32);
}
