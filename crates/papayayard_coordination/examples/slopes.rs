//! Measures the cost of configuration and claims: time per record, memory per key,
//! bytes per record, and appends and latency by batch period.
//!
//!     cargo run --release -p papayayard_coordination --example slopes

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::time::{Duration, Instant};

use papayayard_coordination::claim::{self, Limits, Shard};
use papayayard_coordination::configuration::{self, Reducer};
use papayayard_coordination::journal::{self, Action, Writer};
use papayayard_document::document::Document;
use papayayard_wire::claim::{Answer, Attempt, DIGEST_BYTES, Digest, Entry, Event, Outcome};
use papayayard_wire::configuration::Proposal;
use papayayard_wire::{id, log};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::value::RawValue;

const DOCUMENT: &str = include_str!("../../../examples/fjordtakt.yaml");
const PAGE_BYTES: u64 = 4096;
const RUNS: usize = 5;
const MS: Duration = Duration::from_millis(1);
/// Duration of an append, and of a read.
const ROUND_TRIP_MS: u32 = 5;
/// Duration of a request at a plain service.
const SERVICE_MS: u32 = 50;
const SIMULATED_MS: u32 = 60_000;
const SIMULATED_HOSTS: u32 = 40;

fn main() {
    measure_configuration();
    measure_claims();
    for (hosts, keyed) in [
        (9, 50),
        (9, 500),
        (60, 500),
        (510, 50),
        (510, 500),
        (510, 2_000),
    ] {
        measure_batching(hosts, keyed);
    }
}

fn record(offset: u64, payload: Box<RawValue>) -> log::Record {
    log::Record {
        offset: log::Offset(offset),
        id: id::Record::from("r"),
        time_ms: offset,
        payload,
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn measure_configuration() {
    let records: Vec<log::Record> = (0..500)
        .map(|base| {
            let document = format!("{DOCUMENT}# {base}\n");
            let proposal = Proposal {
                format: papayayard_wire::configuration::FORMAT,
                base: id::Revision(base),
                revision: id::Revision(base + 1),
                digest: configuration::digest(&document),
                document,
            };
            let payload = serde_json::value::to_raw_value(&proposal).expect("it is JSON");
            record(base, payload)
        })
        .collect();
    let times = (0..RUNS).map(|_| {
        let mut fold = Reducer::<Document>::default();
        let start = Instant::now();
        for record in &records {
            fold.apply(record);
        }
        assert_eq!(fold.revision(), id::Revision(500));
        start.elapsed().as_secs_f64() * 1e6 / 500.0
    });
    println!(
        "configuration: document of {} bytes, {:.1} us an accepted record",
        DOCUMENT.len(),
        median(times.collect())
    );
}

fn entry(key: u32, event: Event) -> Box<RawValue> {
    let mut bytes = [0; DIGEST_BYTES];
    bytes[..4].copy_from_slice(&key.to_le_bytes());
    let entry = Entry {
        format: claim_format(),
        key: Digest(bytes),
        attempt: Attempt(bytes),
        event,
    };
    serde_json::value::to_raw_value(&entry).expect("it is JSON")
}

const fn claim_format() -> u32 {
    papayayard_wire::claim::FORMAT
}

fn claim_of(key: u32) -> Box<RawValue> {
    let host = id::Host::from("entry-bergen-a-07");
    let request = Digest([7; DIGEST_BYTES]);
    entry(key, Event::Claim { host, request })
}

fn outcome_of(key: u32) -> Box<RawValue> {
    let answer = Answer {
        status: 201,
        headers: BTreeMap::from([("content-type".to_owned(), "application/json".to_owned())]),
        body: Some(vec![b'x'; 200]),
    };
    entry(key, Event::Outcome(Outcome::Answered(answer)))
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn measure_claims() {
    println!(
        "claims: {} bytes a claim, {} bytes an outcome with a body of 200 bytes",
        claim_of(1).get().len(),
        outcome_of(1).get().len()
    );
    for keys in [50_000_u32, 100_000, 200_000, 400_000] {
        let limits = Limits {
            key_ttl_ms: u64::MAX / 2,
            max_keys: 1_000_000,
        };
        let before = resident_bytes();
        let mut shard = Shard::new(limits);
        let mut busy = Duration::ZERO;
        let mut offset = 0;
        for key in 0..keys {
            for payload in [claim_of(key), outcome_of(key)] {
                let record = record(offset, payload);
                offset += 1;
                let start = Instant::now();
                let applied = shard.apply(&record);
                busy += start.elapsed();
                assert!(applied.is_ok());
            }
        }
        let bytes = resident_bytes().saturating_sub(before);
        println!(
            "claims: {keys} keys, {:.2} us a record, {} bytes resident a key",
            busy.as_secs_f64() * 1e6 / f64::from(keys * 2),
            bytes / u64::from(keys)
        );
        std::mem::drop(shard);
    }
}

/// A simulated host: its writer, records that wait for an append, and outcomes due.
struct Host {
    writer: Writer,
    arrived: VecDeque<(u64, u32)>,
    answer_at: Option<u32>,
    outcomes: VecDeque<u32>,
    batch: usize,
}

fn measure_batching(hosts: u32, keyed: u32) {
    let streams = hosts * u32::from(claim::SHARDS);
    let period = (Duration::from_secs(1) * streams / 250).max(MS * 5);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let simulated = hosts.min(SIMULATED_HOSTS);
    let chance = f64::from(keyed) / f64::from(hosts) / 1_000.0;
    let mut waits = Vec::new();
    let mut appends = 0_u32;
    for _ in 0..simulated {
        let mut host = Host {
            writer: Writer::new(limits(period)),
            arrived: VecDeque::new(),
            answer_at: None,
            outcomes: VecDeque::new(),
            batch: 0,
        };
        for now in 0..SIMULATED_MS {
            appends += step(&mut host, now, chance, &mut random, &mut waits);
        }
    }
    waits.sort_unstable();
    let at = |share: usize| waits.get(waits.len() * share / 100).copied().unwrap_or(0);
    let seconds = f64::from(SIMULATED_MS) / 1e3;
    let all = f64::from(appends) / seconds * f64::from(hosts) / f64::from(simulated);
    println!(
        "batching (simulated time): {hosts} hosts, {keyed} keyed/s, period {} ms: {all:.0} appends/s, \
         claim wait p50 {} p95 {} p99 {} ms",
        period.as_millis(),
        at(50),
        at(95),
        at(99)
    );
}

fn limits(period: Duration) -> journal::Limits {
    journal::Limits {
        batch: 512,
        queue: 1 << 20,
        period,
        backoff: MS * 50,
        backoff_cap: MS * 1_000,
    }
}

fn step(
    host: &mut Host,
    now: u32,
    chance: f64,
    random: &mut ChaCha8Rng,
    waits: &mut Vec<u32>,
) -> u32 {
    if random.random_bool(chance.min(1.0)) {
        push(host, now, true);
    }
    while host.outcomes.front().is_some_and(|due| *due <= now) {
        host.outcomes.pop_front();
        push(host, now, false);
    }
    if host.answer_at == Some(now) {
        host.answer_at = None;
        host.writer.appended(&log::Offsets {
            first: log::Offset(0),
        });
        for (arrived, is_claim) in host.arrived.drain(..host.batch) {
            if is_claim == 1 {
                waits.push(now + ROUND_TRIP_MS - u32::try_from(arrived).unwrap_or(0));
                host.outcomes.push_back(now + ROUND_TRIP_MS + SERVICE_MS);
            }
        }
    }
    match host.writer.next(MS * now) {
        Action::Append(batch) => {
            host.batch = batch.records.len();
            host.answer_at = Some(now + ROUND_TRIP_MS);
            1
        }
        _ => 0,
    }
}

fn push(host: &mut Host, now: u32, is_claim: bool) {
    let payload = RawValue::from_string("0".to_owned()).expect("it is JSON");
    let draft = log::Draft {
        id: id::Record::from("r"),
        payload,
    };
    if host.writer.push(draft).is_ok() {
        host.arrived.push_back((now.into(), u32::from(is_claim)));
    }
}
