//! Measures the time of an admission at the target number of accounts, with a full queue.
//!
//! `cargo run --release -p papayayard_routing --example admission_cost -- [SEED]`

use std::time::{Duration, Instant};

use papayayard_routing::admission::{Admission, Demand, Settings, Share, Verdict};
use papayayard_routing::mix;
use papayayard_wire::id;

const ACCOUNTS: u64 = 210;
const REQUESTS: u64 = 400_000;
const CAPACITY: u32 = 400;
const QUEUE: usize = 1_000;
const REQUESTS_PER_SECOND: f64 = 192.0;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed: u64 = seed.unwrap_or(1);
    let accounts: Vec<_> = (0..ACCOUNTS)
        .map(|number| id::Account::from(format!("account-{number}")))
        .collect();
    let mut admission = Admission::new(Settings {
        capacity: CAPACITY,
        queue: QUEUE,
        burst: Duration::from_millis(500),
    });
    for account in &accounts {
        let share = Share {
            per_second: 1e9,
            open: 100_000,
            weight: 1,
        };
        admission.set_share(account, share, Duration::ZERO);
    }
    let mut running = Vec::new();
    let mut times = Vec::new();
    for number in 0..REQUESTS {
        let random = mix::pair(seed, number);
        let now = Duration::from_micros(number);
        let at = usize::try_from(random % ACCOUNTS).unwrap_or(0);
        let demand = Demand {
            account: &accounts[at],
            priority: u8::try_from(random >> 32 & 1).unwrap_or(0),
            cost: 1_000,
            deadline: now + Duration::from_hours(1),
            needs_slot: true,
        };
        let begin = Instant::now();
        if let Ok(Verdict::Start(ticket)) = admission.offer(&demand, now, random) {
            running.push(ticket);
        }
        if number % 2 == 1 && running.len() >= CAPACITY as usize {
            let at = usize::try_from(random >> 8).unwrap_or(0) % running.len();
            admission.end(running.swap_remove(at), now);
        }
        running.extend(admission.poll(now, random).started);
        times.push(begin.elapsed());
    }
    times.sort_unstable();
    let total: Duration = times.iter().sum();
    let mean = total.as_secs_f64() / f64::from(u32::try_from(times.len()).unwrap_or(1));
    println!(
        "seed {seed} accounts {ACCOUNTS} waiting {}",
        admission.waiting()
    );
    println!(
        "offer, end and poll: mean {:.2} us p50 {:.2} us p99 {:.2} us",
        mean * 1e6,
        times[times.len() / 2].as_secs_f64() * 1e6,
        times[times.len() * 99 / 100].as_secs_f64() * 1e6,
    );
    let share = mean * REQUESTS_PER_SECOND * 100.0;
    println!("at 192 requests/s {share:.3}% of a core");
}
