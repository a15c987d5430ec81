//! Measures the time of a decision of the placement scheduler under a burst.
//!
//! `cargo run --release -p papayayard_routing --example placement_cost -- [RUNS] [CASE] [REPEATS]`
//!
//! 1,000 requests wait for 100 engines, of which five each are leaving, loading and ejected. Seven
//! of ten requests have long prompts with shared parts. Each engine has some hundred cached parts,
//! and one store has parts of all prompts. The first decision is timed, then decisions at the same
//! time and at later ones between which nothing changes.
//!
//! The allocations of one decision are the difference between the totals that
//! `valgrind target/release/examples/placement_cost 1 full 1` and `... 1 full 0` print: with 0
//! repeats no decision is made, with 1 only the first one.

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayayard_routing::placement::{
    Decision, Endpoint, InFlight, Outcome, Query, Scheduler, Settings,
};
use papayayard_routing::prompt::{self, Part, Prompt};
use papayayard_routing::table::{self, Accounts, Limits, Table};
use papayayard_routing::weights::TargetVersions;
use papayayard_routing::{mix, sharing};
use papayayard_wire::id;

const ENGINES: u64 = 100;
const REQUESTS: u64 = 1_000;
const STUDIOS: u64 = 20;
const SUBJECTS: u64 = 300;
/// Cached parts at an engine that no request uses.
const OTHER_PARTS: u64 = 300;
const MEMORY_TOKENS: u32 = 120_000;
const LISTED_AT: Duration = Duration::from_secs(90);
const NOW: Duration = Duration::from_secs(100);

/// State of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    /// All are full, and all requests wait.
    Full,
    /// All are full, and all requests have waited for too long.
    Refused,
    /// Some have room.
    Room,
}

/// Times of one run.
struct Times {
    first: Duration,
    repeated: Duration,
    later: Duration,
    placed: usize,
    refused: usize,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let runs = arguments.next().and_then(|text| text.parse().ok());
    let case = arguments.next();
    let repeats = arguments.next().and_then(|text| text.parse().ok());
    for (name, tested) in [
        ("full", Case::Full),
        ("refused", Case::Refused),
        ("room", Case::Room),
    ] {
        if case.as_ref().is_none_or(|case| case == name) {
            report(name, tested, runs.unwrap_or(20), repeats.unwrap_or(11));
        }
    }
}

fn report(name: &str, case: Case, runs: usize, repeats: u32) {
    let all: Vec<Times> = (0..runs).map(|_| measure(case, repeats)).collect();
    let Some(last) = all.last() else { return };
    println!(
        "{name}: {runs} runs, placed {}, refused {}",
        last.placed, last.refused
    );
    print("first decision", all.iter().map(|times| times.first));
    print("repeated", all.iter().map(|times| times.repeated));
    print("repeated later", all.iter().map(|times| times.later));
}

fn print<Times>(name: &str, times: Times)
where
    Times: Iterator<Item = Duration>,
{
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    let us = |time: Duration| time.as_secs_f64() * 1e6;
    println!(
        "  {name}: min {:.2} us, median {:.2} us, max {:.2} us",
        us(times[0]),
        us(times[times.len() / 2]),
        us(times[times.len() - 1])
    );
}

fn measure(case: Case, repeats: u32) -> Times {
    let mut scheduler = scheduler(case);
    for number in 0..REQUESTS {
        scheduler.enqueue(query(case, number), NOW);
    }
    let mut times = Times {
        first: Duration::ZERO,
        repeated: Duration::ZERO,
        later: Duration::ZERO,
        placed: 0,
        refused: 0,
    };
    for repeat in 0..repeats {
        let is_later = repeat > repeats / 2;
        let now = NOW + Duration::from_micros(50) * u32::from(is_later) * repeat;
        let begin = Instant::now();
        let decisions = black_box(scheduler.decide(now));
        let took = begin.elapsed();
        let number = (repeats / 2).max(1);
        match repeat {
            0 => times.first = took,
            _ if is_later => times.later += took / number,
            _ => times.repeated += took / number,
        }
        for (_, decision) in decisions {
            match decision {
                Decision::Placed(_) => times.placed += 1,
                Decision::Refused { .. } => times.refused += 1,
            }
        }
    }
    times
}

fn scheduler(case: Case) -> Scheduler {
    let mut scheduler = Scheduler::new(Settings {
        old_weights: Duration::from_secs(12),
        old_weights_grace: Duration::from_millis(1_200),
        limit_phase: 0.0,
    });
    scheduler.set_table(Arc::new(table()));
    let engines: Vec<Endpoint> = (0..ENGINES).map(engine).collect();
    scheduler.set_endpoints(&engines, LISTED_AT);
    let mut versions = TargetVersions::default();
    versions.record(2, Some(NOW.saturating_sub(Duration::from_secs(5))));
    scheduler.add_target_versions(&HashMap::from([(model(), versions)]));
    for (number, engine) in (0..).zip(&engines) {
        fill(&mut scheduler, engine, number, case);
        cache(&mut scheduler, engine, number);
    }
    let loading: Vec<id::Endpoint> = engines[5..10]
        .iter()
        .map(|engine| engine.id.clone())
        .collect();
    scheduler.set_loading(&loading, NOW);
    for engine in &engines[10..15] {
        for _ in 0..3 {
            let ticket = scheduler.record_in_flight(&in_flight(engine, 0, 0), NOW);
            scheduler.record_outcome(ticket.expect("listed"), Outcome::Failed, NOW);
        }
    }
    for subject in 0..SUBJECTS {
        for (key, tokens) in keys(subject, 2) {
            scheduler.set_stored(&id::Service::from("kept"), key, tokens);
        }
    }
    scheduler
}

/// Adds requests in flight to an engine.
fn fill(scheduler: &mut Scheduler, engine: &Endpoint, number: u64, case: Case) {
    let has_room = case == Case::Room && number.is_multiple_of(3);
    let requests = match number % 4 {
        _ if has_room => 3,
        2 => engine.slots,
        _ => 10,
    };
    let unread = 4_700 + spread(number, 300);
    let memory = if number % 4 == 1 { 12_000 } else { 6_000 };
    for _ in 0..requests {
        scheduler.record_in_flight(&in_flight(engine, unread, memory), NOW);
    }
}

fn in_flight(engine: &Endpoint, unread: u32, memory: u32) -> InFlight {
    InFlight {
        requesting_host: id::Host::from("h0"),
        zone: engine.zone.clone(),
        endpoint: engine.id.clone(),
        unread,
        memory,
        deadline: NOW + Duration::from_secs(5),
    }
}

fn cache(scheduler: &mut Scheduler, engine: &Endpoint, number: u64) {
    let version = version(number);
    for part in 0..OTHER_PARTS {
        let key = prompt::Key::from_number(mix::pair(number, part));
        scheduler.set_cached(&engine.id, key, 900);
    }
    for subject in 0..SUBJECTS {
        let has_studio = subject % STUDIOS == number % STUDIOS || number.is_multiple_of(2);
        let parts = if mix::pair(subject, number).is_multiple_of(12) {
            4
        } else {
            usize::from(has_studio)
        };
        for (key, tokens) in keys(subject, version).into_iter().take(parts) {
            scheduler.set_cached(&engine.id, key, tokens);
        }
    }
}

fn keys(subject: u64, version: u64) -> Vec<(prompt::Key, u32)> {
    let salt = prompt::salt(&model(), version, sharing::Group::default());
    let prompt = long_prompt(subject, 0);
    let parts = prompt.shared().iter();
    parts
        .map(|part| (prompt::key(&salt, &part.name), part.tokens))
        .collect()
}

fn query(case: Case, number: u64) -> Query {
    let random = mix::spread(number);
    let prompt = if random % 10 < 7 {
        long_prompt((random >> 8) % SUBJECTS, number)
    } else {
        short_prompt((random >> 8) % STUDIOS, number)
    };
    let waited = match case {
        Case::Refused => Duration::from_millis(300),
        Case::Full | Case::Room => Duration::ZERO,
    };
    let target_latency = Duration::from_millis(500);
    Query {
        account: None,
        service: id::Service::from("engines"),
        requesting_host: None,
        zone: zone(number),
        waited,
        avoided: Vec::new(),
        prompt: Some(Arc::new(prompt)),
        group: sharing::Group::default(),
        is_repeatable: true,
        priority: u8::from(number.is_multiple_of(3)),
        target: NOW + target_latency.saturating_sub(waited),
        target_latency,
        deadline: NOW + Duration::from_secs(5),
        software: None,
        tried: Vec::new(),
    }
}

/// 6,300 shared tokens in two to four parts, and 2,890 of its own.
fn long_prompt(subject: u64, number: u64) -> Prompt {
    let shared: &[u32] = match subject % 3 {
        0 => &[2_520, 3_780],
        1 => &[1_000, 1_520, 3_780],
        _ => &[1_000, 1_520, 2_000, 1_780],
    };
    let last = shared.len() - 1;
    let parts = shared.iter().enumerate().map(|(index, tokens)| Part {
        name: if index == last {
            format!("subject-{subject}")
        } else {
            format!("studio-{}-{index}-{tokens}", subject % STUDIOS)
        },
        tokens: *tokens,
    });
    let own = Part {
        name: format!("own-{number}"),
        tokens: 2_890,
    };
    Prompt {
        model: model(),
        tokens: 9_190,
        max_output: 10,
        expected_output: None,
        parts: parts.chain([own]).collect(),
    }
}

fn short_prompt(studio: u64, number: u64) -> Prompt {
    let part = |name: String, tokens| Part { name, tokens };
    Prompt {
        model: model(),
        tokens: 830,
        max_output: 30,
        expected_output: None,
        parts: vec![
            part(format!("short-{studio}"), 200),
            part(format!("own-{number}"), 630),
        ],
    }
}

fn engine(number: u64) -> Endpoint {
    Endpoint {
        id: id::Endpoint::from(format!("engine-{number}")),
        started: id::Incarnation(1),
        service: id::Service::from("engines"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone(number),
        software: id::Software::from("v1"),
        slots: 64,
        weights: HashMap::from([(model(), version(number))]),
        leaving: number < 5,
    }
}

fn version(number: u64) -> u64 {
    if number.is_multiple_of(5) { 1 } else { 2 }
}

fn zone(number: u64) -> id::Zone {
    id::Zone::from(["a", "b", "c"][usize::try_from(number % 3).unwrap_or(0)])
}

fn model() -> id::Model {
    id::Model::from("match")
}

fn spread(number: u64, range: u64) -> u32 {
    u32::try_from(mix::spread(number) % range).unwrap_or(0)
}

fn table() -> Table {
    let engine = table::Service {
        max_connections: 1_000,
        engine: Some(table::Engine {
            slots: 64,
            cache_readers: 12,
            memory_tokens: u64::from(MEMORY_TOKENS),
            token_bytes: 35_136,
            link_mbps: 1_100_000,
        }),
        cache_store: None,
    };
    let store = table::Service {
        max_connections: 100,
        engine: None,
        cache_store: Some(table::CacheStore {
            address: "10.9.0.1:80".parse().expect("an address"),
            zone: id::Zone::from("a"),
            link_mbps: 120_000,
        }),
    };
    Table::new(
        id::Revision(1),
        Limits::default(),
        HashMap::from([
            (id::Service::from("engines"), engine),
            (id::Service::from("kept"), store),
        ]),
        Accounts::default(),
        Vec::new(),
    )
}
