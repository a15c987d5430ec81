//! Callers are served again after any bad moment: what it taught does not keep requests away.

use std::env;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::faults::{self, CALM, STABLE};
use crate::site::{Senders, Site, Size};
use crate::support::ms;

/// Settings of seeds to play beside the cases, as in `0..50`.
const SEEDS: &str = "RECOVERY_SEEDS";

/// Endpoints of a plain service, and engines.
const SERVICES: [(usize, usize); 5] = [(1, 0), (3, 0), (0, 4), (0, 18), (3, 4)];

/// Plays a history of faults that depends on the seed; returns what was broken.
fn play(senders: Senders, (plain, engines): (usize, usize), seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = Size {
        senders,
        plain,
        engines,
        zones: if rng.random::<bool>() { 1 } else { 3 },
    };
    let spells = faults::draw(&mut rng, size.hosts(), plain + engines);
    let story = format!("{size:?}\n{spells:#?}");
    let mut broken = Site::new(size, spells, CALM, seed).play(STABLE + ms(6_000));
    if !broken.is_empty() {
        broken.truncate(4);
        broken.insert(0, story);
    }
    broken
}

/// Guards against requests that are refused or wait although all endpoints are sound again, since
/// what was learned in a bad moment keeps away the requests that would correct it.
#[rstest]
fn callers_are_served_after_any_bad_moment(
    #[values(
        Senders::Own { of: 1 },
        Senders::Own { of: 3 },
        Senders::Dispatched(3),
        Senders::Dispatched(9)
    )]
    senders: Senders,
    #[values(0, 1, 2, 3, 4)] services: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let broken = play(senders, SERVICES[services], seed);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Histories that were found by [`SEEDS`].
#[rstest]
#[case::host_that_avoids_its_only_endpoint(Senders::Dispatched(9), 0, 100)]
#[case::failures_that_count_after_an_answer(Senders::Dispatched(3), 0, 120)]
#[case::failures_that_count_after_an_answer(Senders::Dispatched(9), 0, 123)]
#[case::delays_of_requests_whose_reports_were_lost(Senders::Dispatched(3), 2, 110)]
#[case::load_of_requests_whose_reports_were_lost(Senders::Dispatched(9), 4, 128)]
fn callers_are_served_after_histories_that_were_found(
    #[case] senders: Senders,
    #[case] services: usize,
    #[case] seed: u64,
) {
    let broken = play(senders, SERVICES[services], seed);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against load in the test that sound endpoints do not serve at the best of times.
#[rstest]
fn callers_are_served_without_a_bad_moment(
    #[values(
        Senders::Own { of: 1 },
        Senders::Own { of: 3 },
        Senders::Dispatched(3),
        Senders::Dispatched(9)
    )]
    senders: Senders,
    #[values(0, 1, 2, 3, 4)] services: usize,
    #[values(1, 2)] seed: u64,
) {
    let (plain, engines) = SERVICES[services];
    let size = Size {
        senders,
        plain,
        engines,
        zones: 3,
    };
    let broken = Site::new(size, Vec::new(), CALM, seed).play(STABLE + ms(6_000));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Plays the seeds that are asked for by [`SEEDS`], in all sizes.
#[test]
fn seeds_asked() {
    let Ok(seeds) = env::var(SEEDS) else { return };
    let (first, end) = seeds.split_once("..").expect("a range of seeds");
    let seeds = first.parse().expect("a seed")..end.parse::<u64>().expect("a seed");
    let mut number = 0;
    for seed in seeds {
        for senders in [
            Senders::Own { of: 1 },
            Senders::Own { of: 3 },
            Senders::Dispatched(3),
            Senders::Dispatched(9),
        ] {
            for (index, services) in SERVICES.into_iter().enumerate() {
                let broken = play(senders, services, seed);
                number += usize::from(!broken.is_empty());
                if !broken.is_empty() {
                    println!("seed {seed}, services {index}: {}", broken.join("\n"));
                }
            }
        }
    }
    assert_eq!(number, 0, "histories after which callers are not served");
}
