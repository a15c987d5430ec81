//! The product's own log returns from an older copy: it has lost its newest records, and
//! operators propose again what they had proposed.

use papayayard_coordination::configuration::{self, Content, Reducer};
use papayayard_coordination::journal::Reader;
use papayayard_wire::configuration::{Entry, FORMAT, Proposal};
use papayayard_wire::{id, log};
use rstest::rstest;
use serde_json::value::RawValue;

#[derive(Debug)]
struct Text;

impl Content for Text {
    fn parse(_: &str) -> Result<Self, String> {
        Ok(Self)
    }
}

/// Payload of the proposal of a revision.
fn proposal(revision: u64) -> String {
    let document = format!("document {revision}");
    let proposal = Proposal {
        format: FORMAT,
        base: id::Revision(revision - 1),
        revision: id::Revision(revision),
        digest: configuration::digest(&document),
        document,
    };
    let read_to = None;
    serde_json::to_string(&Entry { proposal, read_to }).unwrap()
}

/// Record that changes nothing.
fn other() -> String {
    "17".to_owned()
}

/// Reads all pages of a log that a host finds from its position on.
fn follow(reader: &mut Reader, reducer: &mut Reducer<Text>, payloads: &[String]) {
    let records = (0..).zip(payloads).map(|(offset, payload)| log::Record {
        offset: log::Offset(offset),
        id: id::Record::from(format!("r{offset}")),
        time_ms: offset,
        payload: RawValue::from_string(payload.clone()).unwrap(),
    });
    let records: Vec<log::Record> = records.collect();
    let page = log::Page {
        first: log::Offset(0),
        end: log::Offset(records.len() as u64),
        records,
    };
    // A reader that moves its position reads once more.
    for _ in 0..2 {
        let (_, fresh) = reader.take(&page);
        for record in fresh {
            reducer.apply(record);
        }
    }
}

/// A configuration that was published after the log's return was in force nowhere, or not until
/// the log had outgrown its old end.
#[rstest]
#[case::shorter_than_before(0)]
#[case::longer_than_before(20)]
fn a_proposal_is_accepted_after_the_log_was_restored(#[case] more: usize) {
    let (mut reader, mut reducer) = (Reader::default(), Reducer::default());
    let before: Vec<String> = (1..=3)
        .map(proposal)
        .chain([(); 9].map(|()| other()))
        .collect();
    follow(&mut reader, &mut reducer, &before);
    assert_eq!(reducer.revision(), id::Revision(3));
    let restored = (1..=4).map(proposal).chain((0..more).map(|_| other()));
    follow(
        &mut reader,
        &mut reducer,
        &restored.collect::<Vec<String>>(),
    );
    assert_eq!(reducer.revision(), id::Revision(4));
}
