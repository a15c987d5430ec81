//! At-most-once execution: hosts claim keys in a log that loses answers.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_coordination::claim::{
    Claimant, Decision, Limits, Options, Reason, Request, Settlement, Ticket,
};
use papayayard_coordination::journal::{self, Action, Failure};
use papayayard_wire::claim::{Answer, DIGEST_BYTES, Digest};
use papayayard_wire::{id, log};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::value::RawValue;

const SEEDS: u64 = 2_000;
const MS: Duration = Duration::from_millis(1);
const KEY_TTL_MS: u64 = 400;
const RETENTION_MS: u64 = 600;

fn options(run: u64) -> Options {
    Options {
        host: id::Host::from("host"),
        run,
        limits: Limits {
            key_ttl_ms: KEY_TTL_MS,
            max_keys: 100,
        },
        writer: journal::Limits {
            batch: 4,
            queue: 64,
            period: MS * 2,
            backoff: MS * 2,
            backoff_cap: MS * 10,
        },
        outcome_timeout: MS * 100,
        mark_interval: MS * 120,
        max_body_bytes: 16,
    }
}

fn digest(number: u8) -> Digest {
    Digest([number; DIGEST_BYTES])
}

/// In-memory log, which may store an append after its answer was lost.
#[derive(Default)]
struct Log {
    records: Vec<log::Record>,
    delayed: Vec<log::Batch>,
    first: usize,
    now_ms: u64,
}

impl Log {
    fn store(&mut self, batch: &log::Batch) -> log::Offsets {
        let first = log::Offset(self.records.len() as u64);
        for draft in &batch.records {
            self.records.push(log::Record {
                offset: log::Offset(self.records.len() as u64),
                id: draft.id.clone(),
                time_ms: self.now_ms,
                payload: draft.payload.clone(),
            });
        }
        log::Offsets { first }
    }

    fn forget(&mut self) {
        while let Some(record) = self.records.get(self.first) {
            if record.time_ms + RETENTION_MS > self.now_ms {
                return;
            }
            self.first += 1;
        }
    }

    fn page(&self, from: log::Offset) -> log::Page {
        let from = usize::try_from(from.0).unwrap().max(self.first);
        log::Page {
            first: log::Offset(self.first as u64),
            end: log::Offset(self.records.len() as u64),
            records: self.records[from.min(self.records.len())..].to_vec(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Open,
    Sent { at_ms: u64 },
    NotSent,
    Refused(Reason),
    Replayed,
}

struct Host {
    claimant: Claimant,
    reader: journal::Reader,
    requests: HashMap<Ticket, usize>,
    sent: Vec<Ticket>,
}

impl Host {
    fn new(run: u64) -> Self {
        Self {
            claimant: Claimant::new(options(run)),
            reader: journal::Reader::default(),
            requests: HashMap::new(),
            sent: Vec::new(),
        }
    }

    fn read(&mut self, log: &Log, max_records: usize, now: Duration) {
        let mut page = log.page(self.reader.next());
        page.records.truncate(max_records);
        let (gap, records) = self.reader.take(&page);
        if let Some(journal::Gap::Missed { to, .. }) = gap {
            self.claimant.skip_to(to);
        }
        for record in records {
            let _ = self.claimant.apply(record, now);
        }
    }
}

/// Several hosts that claim a few keys, and the status of every request.
struct Simulation {
    seed: u64,
    random: ChaCha8Rng,
    log: Log,
    hosts: Vec<Host>,
    runs: u64,
    now: Duration,
    requests: Vec<(u8, Status)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            random: ChaCha8Rng::seed_from_u64(seed),
            log: Log::default(),
            hosts: (0..3).map(Host::new).collect(),
            runs: 3,
            now: Duration::ZERO,
            requests: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += MS * self.random.random_range(0..4);
        self.log.now_ms = u64::try_from(self.now.as_millis()).unwrap();
        self.log.forget();
        let host = self.random.random_range(0..self.hosts.len());
        match self.random.random_range(0..40) {
            0 => self.restart(host),
            1..6 => self.request(host),
            6..8 => self.cancel(host),
            8..12 => self.settle(host),
            12 => self.store_delayed(),
            13..24 => self.append(host),
            24 => self.append_foreign(),
            _ => {
                let max_records = self.random.random_range(1..20);
                self.hosts[host].read(&self.log, max_records, self.now);
            }
        }
        self.hosts[host].claimant.expire(self.now);
        self.take_decisions(host);
    }

    fn restart(&mut self, host: usize) {
        self.runs += 1;
        self.hosts[host] = Host::new(self.runs);
    }

    fn request(&mut self, host: usize) {
        let key = self.random.random_range(0..4);
        let deadline = self.now + MS * self.random.random_range(1..60);
        let request = Request {
            key: digest(key),
            request: digest(key),
            deadline,
        };
        let ticket = self.hosts[host].claimant.claim(request, self.now);
        self.hosts[host]
            .requests
            .insert(ticket, self.requests.len());
        self.requests.push((key, Status::Open));
    }

    fn cancel(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        let open = host
            .requests
            .iter()
            .filter(|(_, index)| self.requests[**index].1 == Status::Open);
        let Some(ticket) = open.map(|(ticket, _)| *ticket).min() else {
            return;
        };
        host.claimant.cancel(ticket);
        host.requests.remove(&ticket);
    }

    fn settle(&mut self, host: usize) {
        let Some(ticket) = self.hosts[host].sent.pop() else {
            return;
        };
        let answer = Answer {
            status: 200,
            headers: std::collections::BTreeMap::new(),
            body: Some(b"done".to_vec()),
        };
        let settlement = if self.random.random_bool(0.7) {
            Settlement::Answered(answer)
        } else {
            Settlement::Unknown
        };
        self.hosts[host].claimant.settle(ticket, settlement);
    }

    fn store_delayed(&mut self) {
        if let Some(batch) = self.log.delayed.pop() {
            self.log.store(&batch);
        }
    }

    fn append_foreign(&mut self) {
        let texts = [
            "null",
            "{\"format\":1}",
            "{\"format\":2,\"key\":\"00\"}",
            "\"\\u0000\"",
        ];
        let text = texts[self.random.random_range(0..texts.len())];
        self.log.store(&log::Batch {
            records: vec![log::Draft {
                id: id::Record::from("foreign"),
                payload: RawValue::from_string(text.to_owned()).unwrap(),
            }],
        });
    }

    fn append(&mut self, host: usize) {
        let draw = self.random.random();
        let fault = self.random.random_range(0..6);
        let writer = self.hosts[host].claimant.writer();
        match writer.next(self.now) {
            Action::Append(batch) => {
                let failure = match fault {
                    0 => Failure::NotSent,
                    1 => {
                        self.log.store(&batch);
                        Failure::Lost
                    }
                    2 => {
                        self.log.delayed.push(batch);
                        Failure::Lost
                    }
                    _ => {
                        writer.appended(&self.log.store(&batch));
                        return;
                    }
                };
                writer.failed(failure, self.now, draw);
            }
            Action::LookUp(from) => {
                let page = self.log.page(from);
                writer.looked_up(&page);
            }
            Action::Wait(_) | Action::Idle => {}
        }
    }

    fn take_decisions(&mut self, host: usize) {
        while let Some((ticket, decision)) = self.hosts[host].claimant.next_decision() {
            let index = self.hosts[host].requests[&ticket];
            assert_eq!(self.requests[index].1, Status::Open, "seed {}", self.seed);
            self.requests[index].1 = match decision {
                Decision::Run => self.run(host, ticket, index),
                Decision::Replay(offset) => self.replay(offset, index),
                Decision::Refuse(reason) => Status::Refused(reason),
            };
        }
    }

    fn run(&mut self, host: usize, ticket: Ticket, index: usize) -> Status {
        if self.random.random_bool(0.3) {
            let claimant = &mut self.hosts[host].claimant;
            claimant.settle(ticket, Settlement::NotRun);
            return Status::NotSent;
        }
        let key = self.requests[index].0;
        for (other, status) in &self.requests {
            if let Status::Sent { at_ms } = status {
                let elapsed_ms = self.log.now_ms - at_ms;
                let is_allowed = *other != key || elapsed_ms >= KEY_TTL_MS - 60;
                assert!(is_allowed, "seed {}: key {key} ran twice", self.seed);
            }
        }
        self.hosts[host].sent.push(ticket);
        let at_ms = self.log.now_ms;
        Status::Sent { at_ms }
    }

    fn replay(&self, offset: log::Offset, index: usize) -> Status {
        let record = &self.log.records[usize::try_from(offset.0).unwrap()];
        let payload = record.payload.get();
        let key = format!("{:02x}", self.requests[index].0).repeat(DIGEST_BYTES);
        assert!(payload.contains(&key), "seed {}: {payload}", self.seed);
        assert!(
            payload.contains("answered"),
            "seed {}: {payload}",
            self.seed
        );
        Status::Replayed
    }
}

#[test]
fn a_key_runs_at_most_once_over_all_hosts() {
    let mut counts: HashMap<String, u32> = HashMap::new();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..400 {
            simulation.step();
        }
        for (_, status) in &simulation.requests {
            let name = match status {
                Status::Sent { .. } => "Sent".to_owned(),
                status => format!("{status:?}"),
            };
            *counts.entry(name).or_default() += 1;
        }
    }
    let count = |name: &str| counts.get(name).copied().unwrap_or(0);
    for name in [
        "Sent",
        "NotSent",
        "Replayed",
        "Refused(Unavailable)",
        "Refused(InProgress)",
        "Refused(Unknown)",
    ] {
        assert!(count(name) > 100, "too few {name}: {counts:?}");
    }
}

fn request(key: u8, content: u8, deadline: u32) -> Request {
    Request {
        key: digest(key),
        request: digest(content),
        deadline: MS * deadline,
    }
}

fn flush(host: &mut Host, log: &mut Log, now: Duration) {
    if let Action::Append(batch) = host.claimant.writer().next(now) {
        host.claimant.writer().appended(&log.store(&batch));
    }
}

fn decision(host: &mut Host) -> Option<Decision> {
    host.claimant.next_decision().map(|(_, decision)| decision)
}

#[test]
fn a_key_with_another_request_is_refused() {
    let mut log = Log::default();
    let mut host = Host::new(1);
    host.claimant.claim(request(1, 1, 50), MS);
    flush(&mut host, &mut log, MS);
    host.read(&log, 9, MS);
    assert_eq!(decision(&mut host), Some(Decision::Run));
    host.claimant.claim(request(1, 2, 50), MS);
    let refused = Decision::Refuse(Reason::Reused);
    assert_eq!(decision(&mut host), Some(refused));
}

#[test]
fn a_claim_that_was_not_sent_is_withdrawn() {
    let mut host = Host::new(1);
    host.claimant.claim(request(1, 1, 50), MS);
    host.claimant.expire(MS * 50);
    let refused = Decision::Refuse(Reason::Unavailable);
    assert_eq!(decision(&mut host), Some(refused));
    assert_eq!(host.claimant.writer().waiting(), 0);
}

/// The claim is stored only after its request was refused as not run; it must not
/// hold the key.
#[test]
fn a_claim_stored_after_its_refusal_never_runs_and_frees_the_key() {
    let mut log = Log::default();
    let mut first = Host::new(1);
    let mut second = Host::new(2);
    first.claimant.claim(request(1, 1, 50), MS);
    let Action::Append(delayed) = first.claimant.writer().next(MS) else {
        panic!("no claim was sent");
    };
    first.claimant.writer().failed(Failure::Lost, MS, 1.0);
    first.claimant.expire(MS * 50);
    let refused = Decision::Refuse(Reason::Unavailable);
    assert_eq!(decision(&mut first), Some(refused));
    log.store(&delayed);
    while first.claimant.writer().waiting() > 0 {
        let writer = first.claimant.writer();
        match writer.next(MS * 100) {
            Action::Append(batch) => drop(writer.appended(&log.store(&batch))),
            Action::LookUp(from) => drop(writer.looked_up(&log.page(from))),
            Action::Wait(_) | Action::Idle => panic!("the writer has nothing to do"),
        }
    }
    first.read(&log, 9, MS * 100);
    assert_eq!(decision(&mut first), None);
    second.read(&log, 9, MS * 100);
    second.claimant.claim(request(1, 1, 150), MS * 100);
    flush(&mut second, &mut log, MS * 100);
    second.read(&log, 9, MS * 100);
    assert_eq!(decision(&mut second), Some(Decision::Run));
}

#[test]
fn a_claim_won_after_its_deadline_does_not_run() {
    let mut log = Log::default();
    let mut host = Host::new(1);
    host.claimant.claim(request(1, 1, 50), MS);
    flush(&mut host, &mut log, MS);
    host.read(&log, 9, MS * 50);
    let refused = Decision::Refuse(Reason::Unavailable);
    assert_eq!(decision(&mut host), Some(refused));
}

/// The host of the holder has failed: the outcome of the key is unknown, and the key
/// is not claimed again.
#[test]
fn a_holder_without_outcome_becomes_unknown() {
    let mut log = Log::default();
    let mut first = Host::new(1);
    first.claimant.claim(request(1, 1, 50), MS);
    flush(&mut first, &mut log, MS);
    first.read(&log, 9, MS);
    assert_eq!(decision(&mut first), Some(Decision::Run));
    let mut second = Host::new(2);
    second.read(&log, 9, MS);
    second.claimant.claim(request(1, 1, 20), MS);
    second.claimant.expire(MS * 20);
    let running = Decision::Refuse(Reason::InProgress);
    assert_eq!(decision(&mut second), Some(running));
    second.claimant.claim(request(1, 1, 300), MS * 200);
    let unknown = Decision::Refuse(Reason::Unknown);
    assert_eq!(decision(&mut second), Some(unknown));
    assert_eq!(second.claimant.writer().waiting(), 0);
}

#[test]
fn a_waiting_request_claims_a_freed_key() {
    let mut log = Log::default();
    let mut hosts = [Host::new(1), Host::new(2)];
    for host in &mut hosts {
        host.claimant.claim(request(1, 1, 90), MS);
        flush(host, &mut log, MS);
    }
    let [first, second] = &mut hosts;
    first.read(&log, 9, MS);
    second.read(&log, 9, MS);
    let (ticket, decided) = first.claimant.next_decision().unwrap();
    assert_eq!(decided, Decision::Run);
    assert_eq!(decision(second), None);
    first.claimant.settle(ticket, Settlement::NotRun);
    flush(first, &mut log, MS * 10);
    second.read(&log, 9, MS * 10);
    flush(second, &mut log, MS * 10);
    second.read(&log, 9, MS * 10);
    assert_eq!(decision(second), Some(Decision::Run));
}

#[test]
fn a_reader_with_a_gap_refuses_until_it_has_read_a_key_lifetime() {
    let mut log = Log::default();
    let mut host = Host::new(1);
    host.reader.seek(log::Offset(0));
    host.claimant.skip_to(log::Offset(0).next());
    host.reader.seek(log::Offset(1));
    log.store(&log::Batch {
        records: vec![log::Draft {
            id: id::Record::from("old"),
            payload: RawValue::from_string("0".to_owned()).unwrap(),
        }],
    });
    host.claimant.claim(request(1, 1, 50), MS);
    flush(&mut host, &mut log, MS);
    host.read(&log, 9, MS);
    let refused = Decision::Refuse(Reason::Unavailable);
    assert_eq!(decision(&mut host), Some(refused));
}

#[test]
fn an_idle_stream_is_marked_by_one_host() {
    let mut log = Log::default();
    let mut hosts = [Host::new(1), Host::new(2)];
    for host in &mut hosts {
        host.claimant.expire(MS * 119);
        assert_eq!(host.claimant.writer().waiting(), 0);
    }
    let [first, second] = &mut hosts;
    first.claimant.expire(MS * 120);
    flush(first, &mut log, MS * 120);
    second.read(&log, 9, MS * 121);
    second.claimant.expire(MS * 240);
    assert_eq!(second.claimant.writer().waiting(), 0);
    assert_eq!(log.records.len(), 1);
}

/// The log has removed all old records; a starting host covers the stream by the
/// marks that it reads.
#[test]
fn a_host_that_starts_on_an_idle_stream_decides_claims() {
    let mut log = Log::default();
    let mut old = Host::new(1);
    for time_ms in (0..5_000_u32).step_by(10) {
        let now = MS * time_ms;
        log.now_ms = time_ms.into();
        log.forget();
        old.read(&log, 9, now);
        old.claimant.expire(now);
        flush(&mut old, &mut log, now);
    }
    assert!(log.first > 0, "the log has removed no record");
    let mut fresh = Host::new(2);
    let now = MS * 5_000;
    fresh.read(&log, 99, now);
    fresh.claimant.claim(request(1, 1, 5_050), now);
    flush(&mut fresh, &mut log, now);
    fresh.read(&log, 99, now);
    assert_eq!(decision(&mut fresh), Some(Decision::Run));
}
