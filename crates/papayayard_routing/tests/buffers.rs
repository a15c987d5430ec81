//! Memory for responses that have not arrived completely.

use papayayard_routing::buffers::{Buffers, Growth};
use proptest::prelude::*;

const LIMIT: usize = 1000;

fn granted(evicted: &[papayayard_routing::buffers::Holder]) -> Growth {
    Growth::Granted {
        evicted: evicted.to_vec(),
    }
}

fn refused() -> Growth {
    Growth::Refused {
        evicted: Vec::new(),
    }
}

/// Guards against a sum of responses that fills a host's memory.
#[test]
fn the_largest_response_without_a_length_goes_first() {
    let mut buffers = Buffers::new(LIMIT);
    let sound = buffers.open(true);
    let [smaller, larger] = [(); 2].map(|()| buffers.open(false));
    assert_eq!(buffers.hold(sound, 500), granted(&[]));
    assert_eq!(buffers.hold(smaller, 200), granted(&[]));
    assert_eq!(buffers.hold(larger, 300), granted(&[]));
    assert_eq!(buffers.hold(sound, 600), granted(&[larger]));
    assert_eq!(buffers.hold(larger, 301), refused(), "it was given up");
    assert_eq!(buffers.hold(smaller, 401), refused(), "it is the largest");
    assert_eq!(buffers.used(), 600);
    buffers.close(sound);
    buffers.close(sound);
    assert_eq!(buffers.used(), 0);
}

#[test]
fn a_small_response_is_read_while_others_fill_the_memory() {
    let mut buffers = Buffers::new(LIMIT);
    let endless: Vec<_> = (0..10).map(|_| buffers.open(false)).collect();
    for bytes in [50, 100] {
        for holder in &endless {
            assert_eq!(buffers.hold(*holder, bytes), granted(&[]));
        }
    }
    let small = buffers.open(false);
    let growth = buffers.hold(small, 60);
    assert!(matches!(growth, Growth::Granted { evicted } if evicted.len() == 1));
}

#[test]
fn a_response_that_releases_memory_keeps_its_place() {
    let mut buffers = Buffers::new(LIMIT);
    let stream = buffers.open(false);
    assert_eq!(buffers.hold(stream, 900), granted(&[]));
    assert_eq!(buffers.hold(stream, 0), granted(&[]));
    assert_eq!(buffers.used(), 0);
    assert_eq!(buffers.hold(stream, LIMIT + 1), refused());
}

proptest! {
    #[test]
    fn the_sum_stays_within_the_limit(
        steps in prop::collection::vec((0_usize..8, any::<bool>(), 0_usize..700), 1..200)
    ) {
        let mut buffers = Buffers::new(LIMIT);
        let mut holders = Vec::new();
        for (index, has_length, bytes) in steps {
            if index >= holders.len() {
                holders.push(buffers.open(has_length));
            } else {
                let _ = buffers.hold(holders[index], bytes);
            }
            prop_assert!(buffers.used() <= LIMIT);
        }
        for holder in holders {
            buffers.close(holder);
        }
        prop_assert_eq!(buffers.used(), 0);
    }
}
