//! State machine over one claim stream, record by record.

use papayayard_coordination::claim::{Effect, Limits, Shard, Skip, State};
use papayayard_wire::claim::{
    Answer, Attempt, DIGEST_BYTES, Digest, Entry, Event, FORMAT, Outcome,
};
use papayayard_wire::{id, log};
use rstest::rstest;
use serde_json::value::RawValue;

const KEY_TTL_MS: u64 = 1_000;

fn shard(max_keys: usize) -> Shard {
    Shard::new(Limits {
        key_ttl_ms: KEY_TTL_MS,
        max_keys,
    })
}

fn record(offset: u64, time_ms: u64, payload: &str) -> log::Record {
    log::Record {
        offset: log::Offset(offset),
        id: id::Record::from("r"),
        time_ms,
        payload: RawValue::from_string(payload.to_owned()).unwrap(),
    }
}

fn entry(key: u8, attempt: u8, event: Event) -> String {
    let entry = Entry {
        format: FORMAT,
        key: Digest([key; DIGEST_BYTES]),
        attempt: Attempt([attempt; DIGEST_BYTES]),
        event,
    };
    serde_json::to_string(&entry).unwrap()
}

fn claim(attempt: u8) -> String {
    claim_of(1, attempt)
}

fn claim_of(key: u8, attempt: u8) -> String {
    let event = Event::Claim {
        host: id::Host::from("h"),
        request: Digest([9; DIGEST_BYTES]),
    };
    entry(key, attempt, event)
}

fn abandon(attempt: u8) -> String {
    entry(1, attempt, Event::Abandon)
}

fn unknown(attempt: u8) -> String {
    entry(1, attempt, Event::Outcome(Outcome::Unknown))
}

fn answered(attempt: u8) -> String {
    let answer = Answer {
        status: 200,
        headers: std::collections::BTreeMap::new(),
        body: Some(b"x".to_vec()),
    };
    entry(1, attempt, Event::Outcome(Outcome::Answered(answer)))
}

#[rstest]
#[case::first_wins(&[claim(1), claim(2)], &[Effect::Won, Effect::Lost], Some(1))]
#[case::stored_twice(&[claim(1), claim(1)], &[Effect::Won, Effect::None], Some(1))]
#[case::freed(&[claim(1), abandon(1), claim(2)], &[Effect::Won, Effect::Freed, Effect::Won], Some(2))]
#[case::given_up_before_it_arrived(
    &[abandon(1), claim(1), claim(2)],
    &[Effect::None, Effect::None, Effect::Won],
    Some(2)
)]
#[case::given_up_and_stored_again(
    &[claim(1), abandon(1), claim(1)],
    &[Effect::Won, Effect::Freed, Effect::None],
    None
)]
#[case::loser_stored_again(
    &[claim(1), claim(2), abandon(1), claim(2), claim(3)],
    &[Effect::Won, Effect::Lost, Effect::Freed, Effect::None, Effect::Won],
    Some(3)
)]
#[case::only_the_holder_frees(&[claim(1), abandon(2), claim(3)], &[Effect::Won, Effect::None, Effect::Lost], Some(1))]
#[case::only_the_holder_settles(&[claim(1), unknown(2)], &[Effect::Won, Effect::None], Some(1))]
#[case::settled(&[claim(1), answered(1), claim(2)], &[Effect::Won, Effect::Settled, Effect::Lost], Some(1))]
#[case::settled_is_final(
    &[claim(1), unknown(1), abandon(1), answered(1), claim(2)],
    &[Effect::Won, Effect::Settled, Effect::None, Effect::None, Effect::Lost],
    Some(1)
)]
#[case::outcome_without_claim(&[answered(1), claim(2)], &[Effect::None, Effect::Won], Some(2))]
fn the_order_of_records_decides(
    #[case] payloads: &[String],
    #[case] effects: &[Effect],
    #[case] holder: Option<u8>,
) {
    let mut shard = shard(100);
    for (offset, (payload, effect)) in (0..).zip(payloads.iter().zip(effects)) {
        let applied = shard.apply(&record(offset, 0, payload)).unwrap();
        assert_eq!(applied.effect, *effect, "offset {offset}");
    }
    let held = shard.holder(&Digest([1; DIGEST_BYTES]));
    assert_eq!(held.map(|held| held.attempt.0[0]), holder);
}

#[rstest]
#[case::null("null", Skip::Foreign)]
#[case::proposal("{\"format\":1,\"base\":0}", Skip::Foreign)]
#[case::short_key(
    "{\"format\":1,\"key\":\"01\",\"attempt\":\"02\",\"event\":\"abandon\"}",
    Skip::Foreign
)]
#[case::unknown_event(&abandon(1).replace("abandon", "explode"), Skip::Foreign)]
#[case::format(&abandon(1).replace("\"format\":1", "\"format\":2"), Skip::Format)]
#[case::truncated("\"{\\\"format\\\":1,\\\"key\\\":\"", Skip::Foreign)]
#[case::oversized(&format!("\"{}\"", "x".repeat(70_000)), Skip::Oversized)]
fn bad_records_are_skipped_with_a_reason(#[case] payload: &str, #[case] skip: Skip) {
    let mut shard = shard(100);
    assert_eq!(shard.apply(&record(0, 0, payload)), Err(skip));
    assert_eq!(
        shard.apply(&record(1, 0, &claim(1))).unwrap().effect,
        Effect::Won
    );
}

#[test]
fn an_outcome_is_found_at_its_offset() {
    let mut shard = shard(100);
    shard.apply(&record(0, 0, &claim(1))).unwrap();
    shard.apply(&record(1, 0, "7")).unwrap_err();
    shard.apply(&record(2, 0, &answered(1))).unwrap();
    let holder = shard.holder(&Digest([1; DIGEST_BYTES])).unwrap();
    let offset = log::Offset(2);
    assert_eq!(holder.state, State::Answered { offset });
}

#[rstest]
#[case::within(KEY_TTL_MS, Effect::Lost)]
#[case::after(KEY_TTL_MS + 1, Effect::Won)]
fn a_key_is_remembered_after_its_last_claim(#[case] later_ms: u64, #[case] effect: Effect) {
    let mut shard = shard(100);
    shard.apply(&record(0, 0, &claim(1))).unwrap();
    shard.apply(&record(1, 500, &claim(2))).unwrap();
    let late = record(2, 500 + later_ms, &claim(3));
    assert_eq!(shard.apply(&late).unwrap().effect, effect);
    assert_eq!(shard.len(), 1);
}

/// A key must expire even if its queue entry was moved behind that of a key that is
/// still kept.
#[test]
fn a_key_expires_behind_a_younger_key_that_is_kept() {
    let mut shard = shard(100);
    let records = [
        (0, claim(1)),
        (900, claim(2)),
        (950, claim_of(2, 1)),
        (1_001, claim_of(3, 1)),
    ];
    for (offset, (time_ms, payload)) in (0..).zip(&records) {
        shard.apply(&record(offset, *time_ms, payload)).unwrap();
    }
    let late = record(4, 1_920, &claim(3));
    assert_eq!(shard.apply(&late).unwrap().effect, Effect::Won);
}

#[test]
fn a_reader_with_a_gap_is_not_covered_until_it_has_read_a_key_lifetime() {
    let mut shard = shard(100);
    shard.skip_to(log::Offset(10));
    assert!(!shard.is_covered());
    shard.apply(&record(10, 5_000, &claim_of(2, 1))).unwrap();
    assert!(!shard.is_covered());
    shard
        .apply(&record(11, 5_000 + KEY_TTL_MS, &claim_of(3, 1)))
        .unwrap();
    assert!(shard.is_covered());
}

#[test]
fn too_many_keys_end_coverage_and_bound_memory() {
    let mut shard = shard(10);
    for key in 0..11 {
        shard
            .apply(&record(key.into(), 7, &claim_of(key, 1)))
            .unwrap();
        assert_eq!(shard.is_covered(), key < 10, "key {key}");
    }
    assert_eq!(shard.len(), 1);
}

#[test]
fn a_record_read_twice_counts_once() {
    let mut shard = shard(10);
    shard.apply(&record(0, 0, &claim(1))).unwrap();
    assert_eq!(shard.apply(&record(0, 0, &abandon(1))), Err(Skip::Repeated));
}
