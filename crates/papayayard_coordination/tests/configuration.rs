//! Configuration state machine: which proposals are accepted, and whether all hosts agree.

use papayayard_coordination::configuration::{
    self, Adoption, Content, Reducer, Rejection, Skip, Snapshot, Verdict,
};
use papayayard_wire::configuration::{Entry, FORMAT, Proposal};
use papayayard_wire::{id, log};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::value::RawValue;

const SEEDS: u64 = 2_000;

#[derive(Debug)]
struct Text;

impl Content for Text {
    fn parse(text: &str) -> Result<Self, String> {
        if text.starts_with("bad") {
            return Err("starts with bad".to_owned());
        }
        Ok(Self)
    }
}

fn proposal(base: u64, document: &str) -> Proposal {
    Proposal {
        format: FORMAT,
        base: id::Revision(base),
        revision: id::Revision(base + 1),
        digest: configuration::digest(document),
        document: document.to_owned(),
    }
}

fn entry(proposal: Proposal, read_to: Option<u64>) -> String {
    let read_to = read_to.map(log::Offset);
    serde_json::to_string(&Entry { proposal, read_to }).unwrap()
}

fn record(offset: u64, payload: &str) -> log::Record {
    log::Record {
        offset: log::Offset(offset),
        id: id::Record::from(format!("r{offset}")),
        time_ms: offset,
        payload: RawValue::from_string(payload.to_owned()).unwrap(),
    }
}

fn reducer_of(payloads: &[String]) -> Reducer<Text> {
    let mut reducer = Reducer::default();
    for (offset, payload) in (0..).zip(payloads) {
        reducer.apply(&record(offset, payload));
    }
    reducer
}

fn changed<Change>(base: u64, document: &str, change: Change) -> String
where
    Change: FnOnce(&mut Proposal),
{
    let mut proposal = proposal(base, document);
    change(&mut proposal);
    entry(proposal, None)
}

#[rstest]
#[case::accepted(entry(proposal(1, "b"), None), Verdict::Accepted)]
#[case::repeated_proposal(entry(proposal(0, "a"), None), Verdict::Refreshed)]
#[case::refreshed(entry(proposal(0, "a"), Some(1)), Verdict::Refreshed)]
#[case::lost_race(entry(proposal(0, "z"), None), Verdict::Rejected(Rejection::Base {
    base: id::Revision(0),
    accepted: id::Revision(1),
}))]
#[case::ahead(entry(proposal(7, "z"), None), Verdict::Rejected(Rejection::Base {
    base: id::Revision(7),
    accepted: id::Revision(1),
}))]
#[case::repetition_of_another(entry(proposal(0, "z"), Some(1)), Verdict::Rejected(Rejection::Base {
    base: id::Revision(0),
    accepted: id::Revision(1),
}))]
#[case::step(changed(1, "b", |p| p.revision = id::Revision(9)), Verdict::Rejected(Rejection::Step {
    base: id::Revision(1),
    revision: id::Revision(9),
}))]
#[case::digest(changed(1, "b", |p| p.document.push('x')), Verdict::Rejected(Rejection::Digest))]
#[case::invalid(entry(proposal(1, "bad"), None), Verdict::Rejected(Rejection::Invalid {
    reason: "starts with bad".to_owned(),
}))]
#[case::too_long(
    entry(proposal(1, &"x".repeat(configuration::MAX_DOCUMENT_BYTES + 1)), None),
    Verdict::Rejected(Rejection::TooLong { bytes: configuration::MAX_DOCUMENT_BYTES + 1 })
)]
#[case::longest(
    entry(proposal(1, &"x".repeat(configuration::MAX_DOCUMENT_BYTES)), None),
    Verdict::Accepted
)]
#[case::format(changed(1, "b", |p| p.format = 9), Verdict::Skipped(Skip::Format))]
#[case::foreign_object("{\"a\":1}".to_owned(), Verdict::Skipped(Skip::Foreign))]
#[case::foreign_number("17".to_owned(), Verdict::Skipped(Skip::Foreign))]
#[case::null("null".to_owned(), Verdict::Skipped(Skip::Foreign))]
#[case::deep(format!("{}{}", "[".repeat(5_000), "]".repeat(5_000)), Verdict::Skipped(Skip::Foreign))]
#[case::negative(
    entry(proposal(1, "b"), None).replace("\"base\":1", "\"base\":-1"),
    Verdict::Skipped(Skip::Foreign)
)]
#[case::truncated(
    serde_json::to_string(&entry(proposal(1, "b"), None)[..20]).unwrap(),
    Verdict::Skipped(Skip::Foreign)
)]
#[case::highest_base(
    entry(proposal(1, "b"), None).replace("\"base\":1", "\"base\":18446744073709551615"),
    Verdict::Rejected(Rejection::Base {
        base: id::Revision(u64::MAX),
        accepted: id::Revision(1),
    })
)]
#[case::oversized(format!("\"{}\"", "x".repeat(7 << 20)), Verdict::Skipped(Skip::Oversized))]
fn a_record_is_decided_by_the_accepted_revision(#[case] payload: String, #[case] verdict: Verdict) {
    let mut reducer = reducer_of(&[entry(proposal(0, "a"), None)]);
    assert_eq!(reducer.apply(&record(1, &payload)), verdict);
    assert_eq!(reducer.next(), log::Offset(2));
    let accepted = if verdict == Verdict::Accepted { 2 } else { 1 };
    assert_eq!(reducer.revision(), id::Revision(accepted));
}

#[test]
fn a_record_read_twice_counts_once() {
    let mut reducer = reducer_of(&[entry(proposal(0, "a"), None)]);
    let again = record(0, &entry(proposal(1, "b"), None));
    assert_eq!(reducer.apply(&again), Verdict::Skipped(Skip::Repeated));
    assert_eq!(reducer.revision(), id::Revision(1));
}

#[test]
fn a_loser_that_outlived_the_winner_is_not_accepted() {
    let mut reducer = Reducer::<Text>::default();
    reducer.skip_to(log::Offset(5));
    let loser = record(5, &entry(proposal(3, "loser"), None));
    assert_eq!(reducer.apply(&loser), Verdict::Held);
    assert!(reducer.active().is_none());
    let anchor = record(6, &entry(proposal(3, "winner"), Some(5)));
    let resume = log::Offset(5);
    assert_eq!(reducer.apply(&anchor), Verdict::Anchored { resume });
    let verdict = reducer.apply(&loser);
    assert!(
        matches!(verdict, Verdict::Rejected(Rejection::Base { .. })),
        "{verdict:?}"
    );
    assert_eq!(reducer.active().unwrap().proposal.document, "winner");
}

#[rstest]
#[case::higher(3, "c", Some(9), Adoption::Adopted { resume: Some(log::Offset(9)) }, 3)]
#[case::higher_without_anchor(3, "c", None, Adoption::Adopted { resume: None }, 3)]
#[case::same(2, "b", Some(9), Adoption::NotNewer, 2)]
#[case::same_other_document(2, "x", Some(9), Adoption::Conflict, 2)]
#[case::lower(1, "a", Some(9), Adoption::NotNewer, 2)]
#[case::invalid(3, "bad", Some(9), Adoption::Rejected(Rejection::Invalid {
    reason: "starts with bad".to_owned(),
}), 2)]
fn a_snapshot_never_lowers_the_revision(
    #[case] revision: u64,
    #[case] document: &str,
    #[case] read_to: Option<u64>,
    #[case] adoption: Adoption,
    #[case] kept: u64,
) {
    let mut reducer = reducer_of(&[entry(proposal(0, "a"), None), entry(proposal(1, "b"), None)]);
    let snapshot = Snapshot {
        proposal: proposal(revision - 1, document),
        read_to: read_to.map(log::Offset),
    };
    assert_eq!(reducer.adopt(snapshot), adoption);
    assert_eq!(reducer.revision(), id::Revision(kept));
}

/// A random stream of racing proposals, refresh entries and unreadable records.
struct Stream {
    payloads: Vec<String>,
    /// Proposal that a reader of the whole stream has accepted before each offset.
    accepted: Vec<Option<Proposal>>,
}

impl Stream {
    fn random(random: &mut ChaCha8Rng, length: usize) -> Self {
        let mut reducer = Reducer::<Text>::default();
        let mut stream = Self {
            payloads: Vec::new(),
            accepted: vec![None],
        };
        for offset in 0..length {
            let payload = stream.random_payload(random, offset);
            reducer.apply(&record(offset as u64, &payload));
            stream.payloads.push(payload);
            let active = reducer.active().map(|active| active.proposal.clone());
            stream.accepted.push(active);
        }
        stream
    }

    fn random_payload(&self, random: &mut ChaCha8Rng, offset: usize) -> String {
        let operator: u8 = random.random_range(0..3);
        let position = offset - random.random_range(0..4.min(offset + 1));
        let last_accepted = self.accepted[position].as_ref();
        let base = last_accepted.map_or(0, |accepted| accepted.revision.0);
        match random.random_range(0..10) {
            0 => "{\"nobody\":1}".to_owned(),
            1 => entry(proposal(base, "bad"), None),
            2 => changed(base, "b", |proposal| proposal.format = 2),
            3 | 4 => match last_accepted {
                Some(accepted) => entry(accepted.clone(), Some(position as u64)),
                None => "0".to_owned(),
            },
            _ => entry(proposal(base, &format!("{operator}-{offset}")), None),
        }
    }

    fn first_kept(&self, next: usize, random: &mut ChaCha8Rng) -> usize {
        random.random_range(0..=next.min(self.payloads.len()))
    }
}

struct Host {
    reducer: Reducer<Text>,
    highest: id::Revision,
}

impl Host {
    fn check(&mut self, stream: &Stream, seed: u64) {
        let revision = self.reducer.revision();
        assert!(
            revision >= self.highest,
            "seed {seed}: the revision decreased"
        );
        self.highest = revision;
        if !self.reducer.is_anchored() {
            return;
        }
        let next = usize::try_from(self.reducer.next().0).unwrap();
        let accepted = self.reducer.active().map(|active| &active.proposal);
        assert_eq!(
            accepted,
            stream.accepted[next].as_ref(),
            "seed {seed}: at {next}"
        );
    }

    fn read(&mut self, stream: &Stream, end: usize) {
        let next = usize::try_from(self.reducer.next().0).unwrap();
        if next < end {
            self.reducer
                .apply(&record(next as u64, &stream.payloads[next]));
        }
    }
}

/// Hosts read, restart, miss removed records and adopt snapshots of each other. At
/// every anchored position they must equal a reader of the whole stream.
#[test]
fn anchored_hosts_agree_on_every_prefix() {
    let mut anchored_after_gap = 0;
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let stream = Stream::random(&mut random, 40);
        let mut hosts: Vec<Host> = (0..3)
            .map(|_| Host {
                reducer: Reducer::default(),
                highest: id::Revision(0),
            })
            .collect();
        for step in 0..200 {
            let end = (step / 4).min(stream.payloads.len());
            let chosen = random.random_range(0..hosts.len());
            match random.random_range(0..20) {
                0 => {
                    let first = stream.first_kept(end, &mut random);
                    hosts[chosen].reducer = Reducer::default();
                    hosts[chosen].reducer.skip_to(log::Offset(first as u64));
                    hosts[chosen].highest = id::Revision(0);
                }
                1 => {
                    let first = stream.first_kept(end, &mut random);
                    hosts[chosen].reducer.skip_to(log::Offset(first as u64));
                }
                2 => {
                    let other = random.random_range(0..hosts.len());
                    let was_anchored = hosts[chosen].reducer.is_anchored();
                    if let Some(snapshot) = hosts[other].reducer.snapshot() {
                        let adoption = hosts[chosen].reducer.adopt(snapshot);
                        assert_ne!(adoption, Adoption::Conflict, "seed {seed}");
                    }
                    let is_anchored = hosts[chosen].reducer.is_anchored();
                    anchored_after_gap += u32::from(!was_anchored && is_anchored);
                }
                _ => hosts[chosen].read(&stream, end),
            }
            hosts[chosen].check(&stream, seed);
        }
    }
    assert!(
        anchored_after_gap > 1_000,
        "the seeds exercise too few gaps"
    );
}

/// After a gap, a host without peers is anchored by the first refresh entry.
#[test]
fn a_refresh_entry_ends_a_gap() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut stream = Stream::random(&mut random, 30);
        let Some(accepted) = stream.accepted[30].clone() else {
            continue;
        };
        stream.payloads.push(entry(accepted.clone(), Some(30)));
        stream.accepted.push(Some(accepted));
        let first = random.random_range(0..30);
        let mut host = Host {
            reducer: Reducer::default(),
            highest: id::Revision(0),
        };
        host.reducer.skip_to(log::Offset(first));
        for _ in 0..200 {
            host.read(&stream, 31);
            host.check(&stream, seed);
        }
        assert!(
            host.reducer.is_anchored(),
            "seed {seed}: still not anchored"
        );
    }
}

/// If no host is anchored, the first refresh entry in the stream anchors all.
#[test]
fn hosts_without_any_anchor_agree_on_the_first_refresh_entry() {
    let mut payloads: Vec<String> = vec![
        entry(proposal(4, "a"), None),
        entry(proposal(4, "b"), None),
        entry(proposal(5, "c"), None),
    ];
    let fresh = |first: u64, payloads: &[String]| {
        let mut reducer = Reducer::<Text>::default();
        reducer.skip_to(log::Offset(first));
        while let Some(payload) = payloads.get(usize::try_from(reducer.next().0 - 10).unwrap()) {
            reducer.apply(&record(reducer.next().0, payload));
        }
        reducer
    };
    let early = fresh(10, &payloads);
    let late = fresh(11, &payloads);
    assert!(early.active().is_none() && late.active().is_none());
    for offered in [&late, &early] {
        payloads.push(serde_json::to_string(&offered.refresh_entry().unwrap()).unwrap());
    }
    for first in [10, 11, 12] {
        let reducer = fresh(first, &payloads);
        assert!(reducer.is_anchored());
        assert_eq!(reducer.active().unwrap().proposal.document, "c");
    }
}
