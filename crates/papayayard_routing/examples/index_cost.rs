//! Measures the memory per block and the time per event of the index.
//!
//! `cargo run --release -p papayayard_routing --example index_cost -- [BLOCKS] [EVENTS]`

use std::hint::black_box;
use std::time::{Duration, Instant};

use papayayard_routing::{index, mix};
use papayayard_wire::{block, endpoint, id};

const BLOCKS: usize = 3_700_000;
const EVENTS: u64 = 8_000_000;
const ENDPOINTS: u64 = 24;
const KEYS_PER_EVENT: u64 = 4;
const EVENTS_PER_PAGE: u64 = 64;
const TARGET_EVENTS_PER_SECOND: f64 = 7_500.0;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let blocks = next(&mut arguments).unwrap_or(BLOCKS);
    let events = next(&mut arguments).unwrap_or(EVENTS);
    let before = resident();
    let mut index = index::Index::new(blocks);
    let slots: Vec<_> = (0..ENDPOINTS).map(|_| index.allocate()).collect();
    fill(&mut index, &slots, blocks);
    let after = resident();
    println!("blocks {blocks} endpoints {ENDPOINTS}");
    println!(
        "computed bytes per block {}",
        index.capacity_bytes() / blocks
    );
    println!("resident bytes per block {}", (after - before) / blocks);
    println!("resident MB {}", (after - before) / 1_000_000);
    let pages = pages(events);
    let begin = Instant::now();
    for (number, page) in pages.iter().enumerate() {
        let slot = slots[number % slots.len()];
        index.events(slot, page, Duration::from_secs(1));
    }
    let took = begin.elapsed();
    let applied = pages.iter().map(|page| page.events.len()).sum::<usize>();
    report("event of 4 keys", took, applied);
    let texts: Vec<_> = pages
        .iter()
        .filter_map(|page| serde_json::to_vec(page).ok())
        .collect();
    let begin = Instant::now();
    for text in &texts {
        let page: Result<endpoint::Page, _> = serde_json::from_slice(text);
        let _ = black_box(page);
    }
    report("decoding an event from JSON", begin.elapsed(), applied);
    let begin = Instant::now();
    let mut found = 0_u64;
    for number in 0..2_000_000 {
        let key = block::Key(mix::spread(number));
        index.holders(key, Duration::from_secs(1), |_| found += 1);
    }
    black_box(found);
    report("look-up", begin.elapsed(), 2_000_000);
    let begin = Instant::now();
    for slot in &slots {
        index.clear(*slot);
    }
    report("clear", begin.elapsed(), slots.len());
}

fn next<Number>(arguments: &mut impl Iterator<Item = String>) -> Option<Number>
where
    Number: std::str::FromStr,
{
    arguments.next().and_then(|text| text.parse().ok())
}

fn fill(index: &mut index::Index, slots: &[index::Slot], blocks: usize) {
    for number in 0..blocks {
        let key = block::Key(mix::spread(number as u64));
        index.confirm(slots[number % slots.len()], &[key], Duration::ZERO);
    }
}

/// Half of the events store new blocks; the others remove the stored blocks.
fn pages(events: u64) -> Vec<endpoint::Page> {
    let per_page = |page: u64| {
        let round = page / ENDPOINTS;
        let first = round * EVENTS_PER_PAGE;
        let events = (0..EVENTS_PER_PAGE).map(|at| event(page % ENDPOINTS, first + at + 1));
        endpoint::Page {
            incarnation: id::Incarnation(1),
            events: events.collect(),
        }
    };
    (0..events / EVENTS_PER_PAGE).map(per_page).collect()
}

fn event(endpoint: u64, sequence: u64) -> endpoint::Event {
    let pair = sequence / 2;
    let number = |at| (1 << 40) + (endpoint << 32) + pair * KEYS_PER_EVENT + at;
    let keys = (0..KEYS_PER_EVENT)
        .map(|at| block::Key(mix::spread(number(at))))
        .collect();
    let change = if sequence.is_multiple_of(2) {
        endpoint::Change::Stored { keys }
    } else {
        endpoint::Change::Removed { keys }
    };
    endpoint::Event { sequence, change }
}

fn report(name: &str, took: Duration, count: usize) {
    let each = took.as_secs_f64() / f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let share = each * TARGET_EVENTS_PER_SECOND * 100.0;
    println!(
        "{name} {:.0} ns; at 7,500/s {share:.3}% of a core",
        each * 1e9
    );
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
