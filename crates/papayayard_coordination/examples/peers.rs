//! Measures the cost of exchange with peers: bytes and processor time per host.
//!
//! Run: `cargo run --release -p papayayard_coordination --example peers`

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use papayayard_coordination::amount::Amount;
use papayayard_wire::id;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const WARM_UP: Duration = Duration::from_mins(1);
const SPAN: Duration = Duration::from_mins(5);
const STEP: Duration = Duration::from_secs(10);
const ACCOUNTS: usize = 210;

fn main() {
    println!("hosts zones bytes/s mean bytes/s most calls/s ns of a core per second");
    for (hosts, zones) in [(3, 3), (9, 3), (30, 3), (100, 11), (510, 11)] {
        measure(hosts, zones);
    }
}

fn measure(hosts: usize, zones: usize) {
    let mut net = support::Net::new(hosts, zones, ACCOUNTS, 1);
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut now = Duration::ZERO;
    let mut spent = Duration::ZERO;
    let mut calls = 0;
    let end = WARM_UP + SPAN;
    while now < end {
        if now == WARM_UP {
            net.bytes.fill(0);
            calls = net.calls;
            spent = Duration::ZERO;
        }
        change_state(&mut net, now, &mut random);
        let start = Instant::now();
        net.run(now, now + STEP, |_, _| false);
        spent += start.elapsed();
        now += STEP;
    }
    let seconds = usize::try_from(SPAN.as_secs()).expect("a short run");
    let mean = net.bytes.iter().sum::<usize>() / hosts / seconds;
    let most = net.bytes.iter().max().expect("hosts") / seconds;
    let host_seconds = u32::try_from(hosts * seconds).expect("few hosts");
    let calls = u32::try_from(net.calls - calls).expect("few calls");
    let rate = f64::from(calls) / f64::from(host_seconds);
    let share = (spent / host_seconds).as_nanos();
    println!("{hosts} {zones} {mean} {most} {rate:.2} {share}");
}

/// Applies uneven, changing demand on every host, and one departure per minute.
fn change_state(net: &mut support::Net, now: Duration, random: &mut ChaCha8Rng) {
    for node in &mut net.nodes {
        for number in 0..ACCOUNTS {
            let account = id::Account::from(format!("account-{number}"));
            let demand = Amount {
                rate: random.random_range(0..400),
                open: random.random_range(0..2),
            };
            node.shares.observe(&account, demand);
        }
    }
    if now.as_secs().is_multiple_of(60) {
        let host = random.random_range(0..net.nodes.len());
        let endpoint = id::Endpoint::from(format!("llm-{}", now.as_secs()));
        let node = &mut net.nodes[host];
        node.departures
            .record_crash(&endpoint, id::Incarnation(1), now);
        node.members.expedite_calls(now, random);
    }
}
