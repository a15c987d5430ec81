//! Proposals against a log that races, loses answers, forgets and refuses.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use papayayard_platform::service::{Error, Log, Query};
use papayayard_wire::configuration::{Entry, FORMAT, Proposal};
use papayayard_wire::{id, log};
use rstest::rstest;
use tokio::time::{self, Instant};

use crate::failure::Failure;
use crate::stream::{Accepted, Stream};

const OURS: &str = include_str!("../../../examples/fjordtakt.yaml");
const THEIRS: &str = include_str!("../../../examples/halvorsen.yaml");
const TIMEOUT: Duration = Duration::from_secs(30);

/// What the log does with the next append.
#[derive(Clone, Copy, Debug)]
enum Script {
    /// Stores it.
    Store,
    /// Stores it and loses the answer.
    StoreAndLose,
    /// Loses it.
    Lose,
    /// Cannot be reached.
    Unreachable,
    /// Answers with a status code.
    Status(u16),
    /// Stores another operator's record before it.
    Race,
    /// Stores it, and another operator's next revision after it.
    Follow,
}

#[derive(Default)]
struct State {
    script: VecDeque<Script>,
    first: u64,
    records: Vec<log::Record>,
    appends: usize,
    failing_reads: usize,
}

#[derive(Clone, Default)]
struct Fake(Arc<Mutex<State>>);

impl Fake {
    fn new(script: &[Script]) -> Self {
        let fake = Self::default();
        fake.0.lock().unwrap().script = script.iter().copied().collect();
        fake
    }

    fn push<Payload>(&self, name: &str, payload: &Payload)
    where
        Payload: serde::Serialize,
    {
        let draft = log::Draft {
            id: id::Record::from(name),
            payload: serde_json::value::to_raw_value(payload).unwrap(),
        };
        self.0.lock().unwrap().store(draft);
    }

    fn forget(&self) {
        let mut state = self.0.lock().unwrap();
        state.first += state.records.len() as u64;
        state.records.clear();
    }

    fn appends(&self) -> usize {
        self.0.lock().unwrap().appends
    }

    fn stored(&self) -> Vec<String> {
        let state = self.0.lock().unwrap();
        state
            .records
            .iter()
            .map(|record| record.id.to_string())
            .collect()
    }
}

impl State {
    fn store(&mut self, draft: log::Draft) {
        let offset = self.first + self.records.len() as u64;
        self.records.push(log::Record {
            offset: log::Offset(offset),
            id: draft.id,
            time_ms: 0,
            payload: draft.payload,
        });
    }

    fn store_theirs(&mut self, base: u64) {
        let payload = serde_json::value::to_raw_value(&proposal(base, THEIRS)).unwrap();
        self.store(log::Draft {
            id: id::Record::from("theirs"),
            payload,
        });
    }
}

impl Log for Fake {
    async fn append(&self, _: &id::Stream, batch: &log::Batch) -> Result<log::Offsets, Error> {
        let mut state = self.0.lock().unwrap();
        state.appends += 1;
        let script = state.script.pop_front().unwrap_or(Script::Store);
        let lost = || Error::Lost {
            reason: "reset".to_owned(),
        };
        let unreachable = || Error::Unreachable {
            address: "10.0.0.1:1".to_owned(),
            reason: "refused".to_owned(),
        };
        match script {
            Script::Lose => return Err(lost()),
            Script::Unreachable => return Err(unreachable()),
            Script::Status(status) => {
                return Err(Error::Status {
                    status,
                    body: String::new(),
                });
            }
            Script::Race => state.store_theirs(0),
            Script::Store | Script::StoreAndLose | Script::Follow => {}
        }
        let first = log::Offset(state.first + state.records.len() as u64);
        for draft in batch.records.clone() {
            state.store(draft);
        }
        if matches!(script, Script::Follow) {
            state.store_theirs(1);
        }
        if matches!(script, Script::StoreAndLose) {
            return Err(lost());
        }
        Ok(log::Offsets { first })
    }

    async fn read(&self, _: &id::Stream, query: &Query) -> Result<log::Page, Error> {
        let page = {
            let mut state = self.0.lock().unwrap();
            if state.failing_reads > 0 {
                state.failing_reads -= 1;
                return Err(Error::Lost {
                    reason: "reset".to_owned(),
                });
            }
            let from = query.from.0.max(state.first) - state.first;
            let from = usize::try_from(from).unwrap().min(state.records.len());
            log::Page {
                first: log::Offset(state.first),
                end: log::Offset(state.first + state.records.len() as u64),
                records: state.records[from..].to_vec(),
            }
        };
        if page.records.is_empty() {
            time::sleep(query.wait).await;
        }
        Ok(page)
    }
}

fn proposal(base: u64, document: &str) -> Proposal {
    Proposal {
        format: FORMAT,
        base: id::Revision(base),
        revision: id::Revision(base + 1),
        digest: blake3::hash(document.as_bytes()).to_hex().to_string(),
        document: document.to_owned(),
    }
}

fn open(fake: &Fake) -> Stream<Fake> {
    Stream::new(fake.clone(), Instant::now() + TIMEOUT)
}

async fn propose(fake: &Fake) -> Result<Accepted, Failure> {
    let mut stream = open(fake);
    assert!(stream.accepted().await?.is_none());
    stream.propose(&"ours".into(), id::Revision(0), OURS).await
}

#[rstest]
#[case::at_once(&[], 1)]
#[case::answer_lost_after_the_effect(&[Script::StoreAndLose], 1)]
#[case::platform_down_before_anything_was_sent(&[Script::Unreachable, Script::Unreachable], 3)]
#[case::followed_by_another_revision(&[Script::Follow], 1)]
#[tokio::test(start_paused = true)]
async fn accepted_and_appended_once(#[case] script: &[Script], #[case] appends: usize) {
    let fake = Fake::new(script);
    let accepted = propose(&fake).await.expect("the proposal is accepted");
    assert_eq!(accepted.record.as_str(), "ours");
    assert_eq!(accepted.proposal.revision, id::Revision(1));
    assert_eq!(fake.appends(), appends);
    let ours = fake.stored().into_iter().filter(|name| name == "ours");
    assert_eq!(ours.count(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_loser_of_a_race_learns_who_won() {
    let fake = Fake::new(&[Script::Race]);
    let failure = propose(&fake)
        .await
        .expect_err("the other record came first");
    let Failure::Raced {
        record,
        winner,
        revision,
    } = &failure
    else {
        panic!("{failure}");
    };
    assert_eq!(
        (record.as_str(), winner.as_str(), revision.0),
        ("ours", "theirs", 1)
    );
    assert!(failure.to_string().contains("take your change over"));
}

#[rstest]
#[case::lost_without_effect(Script::Lose)]
#[case::failed_inside(Script::Status(503))]
#[tokio::test(start_paused = true)]
async fn an_outcome_that_nobody_knows_is_said_to_be_unknown(#[case] script: Script) {
    let fake = Fake::new(&[script]);
    let failure = propose(&fake).await.expect_err("the record never shows up");
    assert!(matches!(failure, Failure::Unknown { .. }), "{failure}");
    assert_eq!(fake.appends(), 1, "nothing is sent again");
}

#[tokio::test(start_paused = true)]
async fn a_lost_record_that_can_no_longer_win_has_lost() {
    let fake = Fake::new(&[Script::Lose]);
    let mut stream = open(&fake);
    stream.accepted().await.expect("the stream is empty");
    fake.push("theirs", &proposal(0, THEIRS));
    let proposed = stream.propose(&"ours".into(), id::Revision(0), OURS).await;
    let failure = proposed.expect_err("the other record came first");
    assert!(matches!(failure, Failure::Raced { .. }), "{failure}");
}

#[tokio::test(start_paused = true)]
async fn an_append_that_the_platform_refuses_is_not_sent_again() {
    let fake = Fake::new(&[Script::Status(400)]);
    let failure = propose(&fake).await.expect_err("it is refused");
    assert!(matches!(failure, Failure::Platform { .. }), "{failure}");
    assert_eq!(fake.appends(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_platform_that_stays_down_is_told_with_nothing_changed() {
    let fake = Fake::new(&[Script::Unreachable; 1000]);
    let failure = propose(&fake).await.expect_err("nothing answers");
    assert!(
        failure.to_string().starts_with("nothing was changed"),
        "{failure}"
    );
}

#[tokio::test(start_paused = true)]
async fn reads_that_fail_are_repeated() {
    let fake = Fake::new(&[]);
    fake.0.lock().unwrap().failing_reads = 3;
    propose(&fake).await.expect("the proposal is accepted");
}

#[tokio::test(start_paused = true)]
async fn reads_that_fail_after_the_append_leave_the_outcome_unknown() {
    let fake = Fake::new(&[]);
    let mut stream = open(&fake);
    stream.accepted().await.expect("the stream is empty");
    fake.0.lock().unwrap().failing_reads = usize::MAX;
    let proposed = stream.propose(&"ours".into(), id::Revision(0), OURS).await;
    let failure = proposed.expect_err("no verdict can be read");
    assert!(matches!(failure, Failure::Unknown { .. }), "{failure}");
}

#[tokio::test(start_paused = true)]
async fn a_forgotten_stream_is_judged_once_a_host_repeats_the_document() {
    let fake = Fake::new(&[]);
    fake.push("first", &proposal(0, THEIRS));
    fake.forget();
    fake.push(
        "repetition",
        &Entry {
            proposal: proposal(0, THEIRS),
            read_to: Some(log::Offset(1)),
        },
    );
    let mut stream = open(&fake);
    let accepted = stream.accepted().await.expect("the repetition is read");
    assert_eq!(
        accepted.map(|accepted| accepted.proposal.revision),
        Some(id::Revision(1))
    );
    let next = stream.propose(&"ours".into(), id::Revision(1), OURS).await;
    assert_eq!(next.expect("it follows").proposal.revision, id::Revision(2));
}

#[tokio::test(start_paused = true)]
async fn a_forgotten_stream_without_a_repetition_takes_no_proposal() {
    let fake = Fake::new(&[]);
    fake.push("first", &proposal(0, THEIRS));
    fake.forget();
    let failure = open(&fake)
        .accepted()
        .await
        .expect_err("nothing can be judged");
    assert!(matches!(failure, Failure::Forgotten), "{failure}");
    assert_eq!(fake.appends(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_document_that_hosts_refuse_is_rejected_with_the_reason() {
    let fake = Fake::new(&[]);
    let mut stream = open(&fake);
    stream.accepted().await.expect("the stream is empty");
    let proposed = stream
        .propose(&"ours".into(), id::Revision(0), "format: 1")
        .await;
    let failure = proposed.expect_err("the document has faults");
    assert!(matches!(failure, Failure::Rejected { .. }), "{failure}");
    assert!(failure.to_string().contains("is missing"), "{failure}");
}
