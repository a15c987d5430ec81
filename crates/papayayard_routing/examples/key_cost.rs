//! Measures the time to compute the keys of a prompt: its salt and the chain of its blocks.
//!
//! `cargo run --release -p papayayard_routing --example key_cost`

use std::hint::black_box;
use std::time::Instant;

use papayayard_routing::salt;
use papayayard_wire::block;

const ROUNDS: u32 = 20_000;
const PROMPT_BYTES: usize = 100_000;
const BLOCK_BYTES: usize = 2_048;
const REQUESTS_PER_SECOND: f64 = 192.0;

fn main() {
    let scope = salt::Scope {
        account: &"account".into(),
        service: &"match-llm".into(),
        model: &"model".into(),
        adapter: None,
        version: &"2026-01".into(),
    };
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        black_box(salt::compute(black_box(&scope)));
    }
    report("salt", begin);
    let prompt = vec![7_u8; PROMPT_BYTES];
    let begin = Instant::now();
    for round in 0..ROUNDS {
        let mut chain = block::Chain::new(block::Salt(round.into()), BLOCK_BYTES);
        chain.push(black_box(&prompt));
        black_box(chain.finish());
    }
    report("keys of 100 kB", begin);
}

fn report(name: &str, begin: Instant) {
    let each = begin.elapsed().as_secs_f64() / f64::from(ROUNDS);
    let share = each * REQUESTS_PER_SECOND * 100.0;
    println!(
        "{name} {:.2} us; at 192 requests/s {share:.3}% of a core",
        each * 1e6
    );
}
