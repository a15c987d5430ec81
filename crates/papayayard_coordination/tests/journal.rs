//! Log client: read positions, gaps, batches, lost answers and backoff.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_coordination::journal::{
    Action, Backoff, Failure, Gap, Limits, Reader, Stored, Writer,
};
use papayayard_wire::{id, log};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::value::RawValue;

const SEEDS: u64 = 2_000;
const MS: Duration = Duration::from_millis(1);

fn draft(name: &str) -> log::Draft {
    log::Draft {
        id: id::Record::from(name),
        payload: RawValue::from_string("0".to_owned()).unwrap(),
    }
}

fn limits() -> Limits {
    Limits {
        batch: 4,
        queue: 64,
        period: MS * 5,
        backoff: MS * 10,
        backoff_cap: MS * 100,
    }
}

/// In-memory stream, which may start after offset 0.
#[derive(Default)]
struct Stream {
    first: u64,
    ids: Vec<id::Record>,
}

impl Stream {
    fn append(&mut self, batch: &log::Batch) -> log::Offsets {
        let first = log::Offset(self.end());
        let ids = batch.records.iter().map(|draft| draft.id.clone());
        self.ids.extend(ids);
        log::Offsets { first }
    }

    fn end(&self) -> u64 {
        self.ids.len() as u64
    }

    fn page(&self, from: log::Offset, limit: u64) -> log::Page {
        let from = from.0.max(self.first);
        let to = self.end().min(from + limit);
        let records = (from..to).map(|offset| log::Record {
            offset: log::Offset(offset),
            id: self.ids[usize::try_from(offset).unwrap()].clone(),
            time_ms: offset,
            payload: RawValue::from_string("0".to_owned()).unwrap(),
        });
        log::Page {
            first: log::Offset(self.first),
            end: log::Offset(self.end()),
            records: records.collect(),
        }
    }
}

fn page(first: u64, end: u64, offsets: &[u64]) -> log::Page {
    let records = offsets.iter().map(|&offset| log::Record {
        offset: log::Offset(offset),
        id: id::Record::from(format!("r{offset}")),
        time_ms: 0,
        payload: RawValue::from_string("0".to_owned()).unwrap(),
    });
    log::Page {
        first: log::Offset(first),
        end: log::Offset(end),
        records: records.collect(),
    }
}

fn missed(from: u64, to: u64) -> Gap {
    let (from, to) = (log::Offset(from), log::Offset(to));
    Gap::Missed { from, to }
}

fn rewound(end: u64) -> Gap {
    let (end, next) = (log::Offset(end), log::Offset(3));
    Gap::Rewound { end, next }
}

#[rstest]
#[case::next_records(page(0, 5, &[3, 4]), None, &[3, 4], 5)]
#[case::nothing_new(page(0, 3, &[]), None, &[], 3)]
#[case::overlap(page(0, 5, &[1, 2, 3, 4]), None, &[3, 4], 5)]
#[case::all_known(page(0, 3, &[1, 2]), None, &[], 3)]
#[case::retention_passed(page(7, 9, &[7, 8]), Some(missed(3, 7)), &[7, 8], 9)]
#[case::retention_took_all(page(9, 9, &[]), Some(missed(3, 9)), &[], 9)]
#[case::hole_before(page(0, 9, &[6, 7]), Some(missed(3, 6)), &[6, 7], 8)]
#[case::hole_within(page(0, 9, &[3, 4, 7]), None, &[3, 4], 5)]
#[case::log_lost_records(page(0, 2, &[0, 1]), Some(rewound(2)), &[], 3)]
fn a_page_moves_the_position(
    #[case] page: log::Page,
    #[case] gap: Option<Gap>,
    #[case] fresh: &[u64],
    #[case] next: u64,
) {
    let mut reader = Reader::default();
    reader.seek(log::Offset(3));
    let (found, records) = reader.take(&page);
    let offsets: Vec<u64> = records.iter().map(|record| record.offset.0).collect();
    assert_eq!((found, offsets.as_slice()), (gap, fresh));
    assert_eq!(reader.next(), log::Offset(next));
}

#[test]
fn backoff_grows_to_its_cap_and_starts_again() {
    let mut backoff = Backoff::new(MS * 10, MS * 100);
    let waits: Vec<Duration> = (0..40).map(|_| backoff.fail(1.0)).collect();
    assert_eq!(&waits[..5], &[MS * 10, MS * 20, MS * 40, MS * 80, MS * 100]);
    assert!(waits[5..].iter().all(|wait| *wait == MS * 100));
    backoff.succeed();
    assert_eq!(backoff.fail(0.0), MS * 5);
}

#[test]
fn records_are_batched_by_the_period() {
    let mut writer = Writer::new(limits());
    for name in ["a", "b", "c", "d", "e"] {
        writer.push(draft(name)).unwrap();
    }
    let Action::Append(batch) = writer.next(MS) else {
        panic!("nothing to append");
    };
    assert_eq!(batch.records.len(), 4);
    assert!(matches!(writer.next(MS * 2), Action::Idle));
    let first = log::Offset(7);
    let stored = writer.appended(&log::Offsets { first });
    assert_eq!(stored[3].offset, log::Offset(10));
    assert!(matches!(writer.next(MS * 3), Action::Wait(until) if until == MS * 6));
    assert!(matches!(writer.next(MS * 6), Action::Append(_)));
}

#[test]
fn a_full_queue_refuses_a_record() {
    let mut writer = Writer::new(limits());
    for number in 0..64 {
        writer.push(draft(&format!("{number}"))).unwrap();
    }
    assert_eq!(writer.push(draft("x")).unwrap_err().waiting, 64);
}

#[rstest]
#[case::not_sent(Failure::NotSent, "append", 0)]
#[case::lost(Failure::Lost, "look up", 0)]
#[case::refused(Failure::Refused, "idle", 1)]
fn a_failure_decides_the_next_action(
    #[case] failure: Failure,
    #[case] follows: &str,
    #[case] dropped: usize,
) {
    let mut writer = Writer::new(limits());
    writer.push(draft("a")).unwrap();
    writer.next(MS);
    assert!(!writer.withdraw(&id::Record::from("a")));
    assert_eq!(writer.failed(failure, MS, 1.0).len(), dropped);
    assert!(!matches!(writer.next(MS * 2), Action::Append(_)));
    let action = match writer.next(MS * 20) {
        Action::Append(_) => "append",
        Action::LookUp(_) => "look up",
        Action::Wait(_) => "wait",
        Action::Idle => "idle",
    };
    assert_eq!(action, follows);
}

#[test]
fn only_an_unsent_record_is_withdrawn() {
    let mut writer = Writer::new(limits());
    writer.push(draft("a")).unwrap();
    assert!(writer.withdraw(&id::Record::from("a")));
    assert!(!writer.withdraw(&id::Record::from("a")));
    assert!(matches!(writer.next(MS), Action::Idle));
}

/// A writer that shares a stream with others; the log loses requests and answers.
struct Simulation {
    random: ChaCha8Rng,
    stream: Stream,
    writer: Writer,
    reported: HashMap<id::Record, u64>,
    now: Duration,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            stream: Stream::default(),
            writer: Writer::new(limits()),
            reported: HashMap::new(),
            now: Duration::ZERO,
        }
    }

    fn report(&mut self, stored: Vec<Stored>) {
        for Stored { id, offset } in stored {
            let before = self.reported.insert(id.clone(), offset.0);
            assert_eq!(before, None, "{id} was reported twice");
            let index = usize::try_from(offset.0).unwrap();
            assert_eq!(self.stream.ids[index], id, "reported at the wrong offset");
        }
    }

    fn append_from_others(&mut self) {
        let name = format!("other{}", self.stream.end());
        let records = vec![draft(&name)];
        self.stream.append(&log::Batch { records });
    }

    fn step(&mut self) {
        self.now += MS * self.random.random_range(1..20);
        if self.random.random_bool(0.3) {
            self.append_from_others();
        }
        if self.random.random_bool(0.3) {
            self.writer.observe(log::Offset(self.stream.end()));
        }
        match self.writer.next(self.now) {
            Action::Append(batch) => self.append(&batch),
            Action::LookUp(_) => self.look_up(),
            Action::Wait(_) | Action::Idle => {}
        }
    }

    fn append(&mut self, batch: &log::Batch) {
        let jitter = self.random.random();
        match self.random.random_range(0..4) {
            0 => {
                self.writer.failed(Failure::NotSent, self.now, jitter);
            }
            1 => {
                self.writer.failed(Failure::Lost, self.now, jitter);
            }
            2 => {
                self.stream.append(batch);
                if self.random.random_bool(0.5) {
                    self.append_from_others();
                    self.writer.observe(log::Offset(self.stream.end()));
                }
                self.writer.failed(Failure::Lost, self.now, jitter);
            }
            _ => {
                let offsets = self.stream.append(batch);
                let stored = self.writer.appended(&offsets);
                self.report(stored);
            }
        }
    }

    fn look_up(&mut self) {
        while let Some(from) = self.writer.lookup_offset() {
            if self.random.random_bool(0.2) {
                let jitter = self.random.random();
                self.writer.look_up_failed(self.now, jitter);
                return;
            }
            let limit = self.random.random_range(1..4);
            let stored = self.writer.looked_up(&self.stream.page(from, limit));
            self.report(stored);
        }
    }
}

#[test]
fn each_record_is_stored_and_reported_once_though_answers_are_lost() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        let mut pushed = 0;
        for _ in 0..60 {
            if simulation.random.random_bool(0.5) {
                simulation
                    .writer
                    .push(draft(&format!("own{pushed}")))
                    .unwrap();
                pushed += 1;
            }
            simulation.step();
        }
        while simulation.writer.waiting() > 0 {
            simulation.step();
        }
        assert_eq!(simulation.reported.len(), pushed, "seed {seed}");
        let own: Vec<&id::Record> = simulation
            .stream
            .ids
            .iter()
            .filter(|id| id.as_str().starts_with("own"))
            .collect();
        let distinct: HashSet<&id::Record> = own.iter().copied().collect();
        assert_eq!(own.len(), distinct.len(), "seed {seed}: stored twice");
    }
}
