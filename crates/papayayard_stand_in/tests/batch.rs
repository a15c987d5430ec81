//! The engine's batch: cost model, priorities, shared prefixes.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_stand_in::engine::batch::{Batch, Handle, Job, Offer, Rates, Sink};
use papayayard_stand_in::engine::cache::{Cache, Change};
use papayayard_wire::block::Key;
use rstest::rstest;

const RATES: Rates = Rates {
    slots: 2,
    prefill_rate: 1000,
    decode_time: Duration::from_millis(20),
};

/// Notes when each request got its first token and its end.
#[derive(Default)]
struct Notes {
    now: Duration,
    full: bool,
    gone: bool,
    first: HashMap<Handle, Duration>,
    tokens: HashMap<Handle, u64>,
    ended: Vec<Handle>,
    cancelled: Vec<Handle>,
    stored: Vec<Key>,
}

impl Sink for Notes {
    fn offer(&mut self, handle: Handle, position: u64) -> Offer {
        if self.gone {
            return Offer::Gone;
        }
        if self.full {
            return Offer::Full;
        }
        let tokens = self.tokens.entry(handle).or_default();
        assert_eq!(*tokens, position, "positions come in order");
        *tokens += 1;
        self.first.entry(handle).or_insert(self.now);
        Offer::Taken
    }

    fn finish(&mut self, handle: Handle) {
        self.ended.push(handle);
    }

    fn cancel(&mut self, handle: Handle) {
        self.cancelled.push(handle);
    }

    fn change(&mut self, change: Change) {
        self.stored.extend(change.stored);
    }
}

fn batch() -> Batch {
    Batch::new(RATES, Cache::new(100, Duration::from_mins(1)))
}

fn job(prompt_tokens: u64, until: u64) -> Job {
    Job {
        prompt_tokens,
        until,
        block_tokens: 10,
        ..Job::default()
    }
}

fn keyed(prompt_tokens: u64, keys: std::ops::Range<u64>) -> Job {
    Job {
        keys: keys.map(Key).collect(),
        ..job(prompt_tokens, 1)
    }
}

/// Runs steps until nothing is left; gives the prompt tokens found in caches.
fn drain(batch: &mut Batch, notes: &mut Notes) -> HashMap<Handle, u64> {
    let mut cached = HashMap::new();
    while let Some(step) = batch.begin(notes.now) {
        for start in step.started {
            cached.insert(start.handle, start.cached_tokens);
        }
        notes.now += step.duration;
        batch.end(notes.now, notes);
    }
    cached
}

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[rstest]
#[case::one_token(100, 1, 100)]
#[case::decode_after_prefill(100, 4, 160)]
#[case::budget_of_a_step(20, 2, 40)]
fn a_lone_request_costs_its_prefill_and_its_tokens(
    #[case] prompt: u64,
    #[case] until: u64,
    #[case] total: u64,
) {
    let mut batch = batch();
    let mut notes = Notes::default();
    batch.push(job(prompt, until));
    drain(&mut batch, &mut notes);
    assert_eq!(notes.now, ms(total));
    assert_eq!(notes.ended.len(), 1);
}

#[test]
fn decoding_goes_on_while_another_is_in_prefill() {
    let mut batch = batch();
    let mut notes = Notes::default();
    let first = batch.push(job(20, 5));
    let second = batch.push(job(60, 1));
    drain(&mut batch, &mut notes);
    assert_eq!(notes.first[&first], ms(20));
    assert_eq!(notes.first[&second], ms(80));
    assert_eq!(notes.now, ms(100));
}

#[test]
fn prefill_goes_in_order_of_priority_and_then_of_arrival() {
    let mut batch = batch();
    let mut notes = Notes::default();
    let early = batch.push(job(100, 1));
    let late = batch.push(job(100, 1));
    let urgent = batch.push(Job {
        priority: 1,
        ..job(100, 1)
    });
    drain(&mut batch, &mut notes);
    assert_eq!(notes.ended, [urgent, early, late]);
}

#[test]
fn no_more_than_the_slots_run_at_once() {
    let mut batch = batch();
    for _ in 0..5 {
        batch.push(job(10, 3));
    }
    batch.begin(Duration::ZERO);
    assert_eq!((batch.running(), batch.queued()), (2, 3));
}

#[test]
fn a_request_finds_what_the_one_before_it_computed() {
    let mut batch = batch();
    let mut notes = Notes::default();
    let first = batch.push(keyed(100, 0..10));
    let second = batch.push(keyed(55, 0..5));
    let cached = drain(&mut batch, &mut notes);
    assert_eq!(cached[&first], 0);
    assert_eq!(cached[&second], 50);
    assert_eq!(notes.now, ms(105));
}

#[test]
fn the_last_prompt_token_is_always_computed() {
    let mut batch = batch();
    let mut notes = Notes::default();
    batch.push(keyed(50, 0..5));
    drain(&mut batch, &mut notes);
    let again = batch.push(keyed(50, 0..5));
    let cached = drain(&mut batch, &mut notes);
    assert_eq!(cached[&again], 49);
}

#[test]
fn blocks_are_stored_as_they_are_computed() {
    let mut batch = batch();
    let mut notes = Notes::default();
    batch.push(keyed(100, 0..10));
    let step = batch.begin(notes.now).expect("there is work");
    assert_eq!(step.duration, ms(20));
    batch.end(step.duration, &mut notes);
    assert_eq!(notes.stored, [Key(0), Key(1)]);
    assert_eq!(batch.pending_tokens(step.duration), 80);
}

#[test]
fn a_slow_reader_stalls_its_own_request_only() {
    let mut batch = batch();
    let mut notes = Notes {
        full: true,
        ..Notes::default()
    };
    batch.push(job(10, 2));
    for _ in 0..3 {
        let step = batch.begin(notes.now).expect("there is work");
        notes.now += step.duration;
        batch.end(notes.now, &mut notes);
    }
    assert!(notes.tokens.is_empty());
    notes.full = false;
    drain(&mut batch, &mut notes);
    assert_eq!(notes.ended.len(), 1);
}

#[test]
fn a_request_whose_reader_is_gone_leaves_its_slot() {
    let mut batch = batch();
    let mut notes = Notes {
        gone: true,
        ..Notes::default()
    };
    let handle = batch.push(job(10, 5));
    drain(&mut batch, &mut notes);
    assert_eq!(notes.cancelled, [handle]);
    assert!(batch.is_empty());
}
