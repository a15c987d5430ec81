//! The engine's cache: bounded, least recently used, short-lived.

use std::time::Duration;

use papayayard_stand_in::engine::cache::Cache;
use papayayard_wire::block::{Chain, Key, Salt};
use rstest::rstest;

const LIFETIME: Duration = Duration::from_secs(8);

fn keys(numbers: &[u64]) -> Vec<Key> {
    numbers.iter().copied().map(Key).collect()
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_full_cache_evicts_what_was_used_least_recently() {
    let mut cache = Cache::new(4, LIFETIME);
    cache.store(&keys(&[1, 2]), at(0));
    cache.store(&keys(&[3, 4]), at(1));
    assert_eq!(cache.lookup(&keys(&[1, 2]), at(2)), 2);
    let change = cache.store(&keys(&[5, 6]), at(3));
    assert_eq!(change.stored, keys(&[5, 6]));
    assert_eq!(change.removed, keys(&[4, 3]));
    assert_eq!(cache.peek(&keys(&[1, 2]), at(3)), 2);
    assert_eq!(cache.len(), 4);
}

#[test]
fn the_deepest_block_of_a_prefix_is_evicted_first() {
    let mut cache = Cache::new(3, LIFETIME);
    cache.store(&keys(&[1, 2, 3]), at(0));
    let change = cache.store(&keys(&[9]), at(1));
    assert_eq!(change.removed, keys(&[3]));
    assert_eq!(cache.peek(&keys(&[1, 2, 3]), at(1)), 2);
}

#[rstest]
#[case::within(8, 1)]
#[case::past(9, 0)]
fn a_block_goes_a_lifetime_after_its_last_use(#[case] now: u64, #[case] found: usize) {
    let mut cache = Cache::new(4, LIFETIME);
    cache.store(&keys(&[1]), at(0));
    assert_eq!(cache.peek(&keys(&[1]), at(now)), found);
    assert_eq!(cache.expire(at(now)).len(), 1 - found);
}

#[test]
fn a_use_prolongs_the_lifetime() {
    let mut cache = Cache::new(4, LIFETIME);
    cache.store(&keys(&[1]), at(0));
    cache.lookup(&keys(&[1]), at(6));
    assert_eq!(cache.peek(&keys(&[1]), at(14)), 1);
    assert_eq!(cache.peek(&keys(&[1]), at(15)), 0);
}

#[test]
fn a_prefix_ends_at_its_first_missing_block() {
    let mut cache = Cache::new(4, LIFETIME);
    cache.store(&keys(&[1, 3]), at(0));
    assert_eq!(cache.peek(&keys(&[1, 2, 3]), at(0)), 1);
}

#[test]
fn two_salts_share_no_block() {
    let chain = |salt| {
        let mut chain = Chain::new(Salt(salt), 4);
        chain.push(b"the same prompt!");
        chain.finish()
    };
    let mut cache = Cache::new(16, LIFETIME);
    cache.store(&chain(1), at(0));
    assert_eq!(cache.peek(&chain(1), at(0)), 4);
    assert_eq!(cache.peek(&chain(2), at(0)), 0);
}
