//! Measures the time of a choice over fleets of several sizes.
//!
//! `cargo run --release -p papayayard_routing --example decision_cost -- [SEED]`
//!
//! The index is full. Prompts have 48 blocks in nested levels: 4 of the tenant, 20
//! of the studio or terminal, 24 of the dancer or ramp. Each pick is recorded as
//! dispatched, so that caches and queues change as in production.

use std::hint::black_box;
use std::time::{Duration, Instant};

use papayayard_routing::choice::{self, Policy as _};
use papayayard_routing::{fleet, mix};
use papayayard_wire::{block, endpoint, id};

const PICKS: u64 = 40_000;
const WARM_UP: u64 = 8_000;
const BLOCK_BYTES: usize = 2_048;
const INDEX_BLOCKS: usize = 3_700_000;
const TENANTS: u64 = 210;
const STUDIOS: u64 = 8;
const DANCERS: u64 = 40;
const REQUESTS_PER_SECOND: u64 = 192;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}");
    for endpoints in [18, 110, 1_100] {
        measure(endpoints, seed);
    }
}

fn measure(endpoints: u32, seed: u64) {
    let mut fleet = fleet(endpoints);
    let mut policy = choice::Papayayard::new(seed);
    let zone = id::Zone::from("zone-0");
    let mut times = Vec::new();
    for number in 0..PICKS {
        let now = Duration::from_secs(1) + Duration::from_secs(number) / 192;
        if number.is_multiple_of(REQUESTS_PER_SECOND) {
            refresh(&mut fleet, now);
        }
        let keys = prompt(seed, number);
        let query = choice::Query {
            keys: &keys,
            prompt_bytes: keys.len() * BLOCK_BYTES + 300,
            output_tokens: 200,
            zone: &zone,
            now,
            excluded: &[],
            first_token_limit: None,
        };
        let begin = Instant::now();
        let pick = black_box(policy.pick(&fleet, &query));
        let took = begin.elapsed();
        if number >= WARM_UP {
            times.push(took);
        }
        if let Ok(pick) = pick {
            let sent = query.prompt_bytes;
            fleet.dispatched(pick.endpoint, &keys, sent, pick.cached_bytes, now);
            fleet.finished(pick.endpoint, Duration::from_secs(2), now);
        }
    }
    times.sort_unstable();
    let at = |part: usize| times[times.len() * part / 1_000].as_secs_f64() * 1e6;
    println!(
        "endpoints {endpoints} p50 {:.1} us p99 {:.1} us p99.9 {:.1} us",
        at(500),
        at(990),
        at(999)
    );
}

fn fleet(endpoints: u32) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(fleet::Settings {
        version: "v1".into(),
        block_bytes: BLOCK_BYTES,
        index_blocks: INDEX_BLOCKS,
    });
    for number in 0..endpoints {
        let zone = format!("zone-{}", number % 3);
        fleet.join(&format!("endpoint-{number}").into(), &zone.into());
    }
    refresh(&mut fleet, Duration::from_secs(1));
    let all: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
    for number in 0..INDEX_BLOCKS as u64 {
        let key = block::Key(mix::spread(number | 1 << 60));
        let at = usize::try_from(number).unwrap_or(0) % all.len();
        fleet.answered(all[at], &[key], Duration::from_secs(1));
    }
    fleet
}

fn refresh(fleet: &mut fleet::Fleet, now: Duration) {
    let all: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
    for key in all {
        let report = endpoint::Report {
            endpoint: "unused".into(),
            incarnation: id::Incarnation(1),
            state: endpoint::State::Ready,
            model: "m".into(),
            version: "v1".into(),
            running: 4,
            queued: 0,
            pending_tokens: 2_000,
            slots: 16,
            prefill_rate: 8_000,
            cache_blocks: 4_000,
            sequence: 0,
            age_ms: 100,
        };
        fleet.report(key, &report, now);
    }
}

fn prompt(seed: u64, number: u64) -> Vec<block::Key> {
    let random = mix::pair(seed, number);
    let tenant = random % TENANTS;
    let studio = tenant * STUDIOS + (random >> 16) % STUDIOS;
    let dancer = studio * DANCERS + (random >> 32) % DANCERS;
    let level = |name: u64, of: u64, count: u64| {
        (0..count).map(move |at| block::Key(mix::pair(mix::pair(name, of), at)))
    };
    level(1, tenant, 4)
        .chain(level(2, studio, 20))
        .chain(level(3, dancer, 24))
        .collect()
}
