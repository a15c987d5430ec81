//! Messages between hosts: versions that differ, and proofs.

use papayayard_wire::{id, peer, proof};
use rstest::rstest;
use serde::{Deserialize, Serialize};

/// A reader as it was built for version 1.
#[derive(Debug, Serialize, Deserialize)]
struct Old {
    version: u32,
    speaks: u32,
    state: peer::State,
    #[serde(default)]
    configuration: Option<peer::Configuration>,
}

/// A reader as a later version may be built.
#[derive(Debug, Serialize, Deserialize)]
struct Later {
    #[serde(flatten)]
    message: peer::Message,
    #[serde(default)]
    rack: Option<String>,
}

fn message() -> peer::Message {
    let mut message = peer::Message::new(peer::State::Serving);
    message.configuration = Some(peer::Configuration {
        revision: id::Revision(7),
        digest: "0123456789abcdef".to_owned(),
    });
    message.wants.push(peer::Share {
        account: id::Account::from("studio"),
        rate: 1_500,
        open: 2,
    });
    message
}

#[rstest]
#[case::same(2, 2, true)]
#[case::older(1, 1, false)]
#[case::newer(3, 2, true)]
#[case::lies_below_all(0, 1, false)]
#[case::lies_above_all(u32::MAX, 2, true)]
fn writes_at_the_lowest_version(#[case] speaks: u32, #[case] version: u32, #[case] shares: bool) {
    let written = message().for_receiver(speaks);
    assert_eq!(written.version, version);
    assert_eq!(!written.wants.is_empty(), shares);
    assert!(written.is_readable());
}

#[test]
fn an_older_reader_takes_what_is_written_for_it() {
    let text = serde_json::to_string(&message().for_receiver(1)).unwrap();
    assert!(!text.contains("wants"), "{text}");
    let old: Old = serde_json::from_str(&text).unwrap();
    assert_eq!(old.version, 1);
    assert_eq!(old.configuration.unwrap().revision, id::Revision(7));
}

#[test]
fn an_older_writer_is_read() {
    let text = r#"{"version":1,"speaks":1,"state":"serving"}"#;
    let read: peer::Message = serde_json::from_str(text).unwrap();
    assert!(read.is_readable());
    assert!(read.wants.is_empty());
}

#[test]
fn a_later_writer_is_read_when_it_writes_for_us() {
    let later = Later {
        message: message().for_receiver(2),
        rack: Some("r4".to_owned()),
    };
    let text = serde_json::to_string(&later).unwrap();
    let read: peer::Message = serde_json::from_str(&text).unwrap();
    assert!(read.is_readable());
    assert_eq!(read.wants, message().wants);
}

#[rstest]
#[case::from_the_future(3, 3)]
#[case::of_no_version(0, 2)]
#[case::above_what_it_speaks(2, 1)]
fn a_version_that_lies_is_not_readable(#[case] version: u32, #[case] speaks: u32) {
    let mut lie = message();
    lie.version = version;
    lie.speaks = speaks;
    assert!(!lie.is_readable());
}

fn address() -> proof::Address {
    proof::Address {
        direction: proof::Direction::Call,
        from: id::Host::from("a"),
        to: Some(id::Host::from("b")),
        time_ms: 1_000,
        nonce: 5,
    }
}

fn change(envelope: &mut proof::Envelope, what: &str) {
    match what {
        "from" => envelope.from = id::Host::from("c"),
        "to" => envelope.to = None,
        "time" => envelope.time_ms += 1,
        "nonce" => envelope.nonce += 1,
        "proof" => envelope.proof[0] ^= 1,
        "body" => envelope.body = serde_json::value::to_raw_value(&1).unwrap(),
        _ => {}
    }
}

#[rstest]
#[case::untouched("nothing", true)]
#[case::other_sender("from", false)]
#[case::other_receiver("to", false)]
#[case::other_time("time", false)]
#[case::other_nonce("nonce", false)]
#[case::other_proof("proof", false)]
#[case::other_body("body", false)]
fn a_changed_message_is_not_believed(#[case] what: &str, #[case] is_believed: bool) {
    let secret = proof::Secret::new("shared");
    let mut envelope = secret.seal(address(), &message()).unwrap();
    change(&mut envelope, what);
    let text = serde_json::to_string(&envelope).unwrap();
    let envelope: proof::Envelope = serde_json::from_str(&text).unwrap();
    let opened = secret.open::<peer::Message>(proof::Direction::Call, &envelope);
    assert_eq!(opened.is_ok(), is_believed, "{opened:?}");
}

#[test]
fn a_stranger_and_a_reflected_call_are_not_believed() {
    let secret = proof::Secret::new("shared");
    let stranger = proof::Secret::new("guessed");
    let envelope = stranger.seal(address(), &message()).unwrap();
    let opened = secret.open::<peer::Message>(proof::Direction::Call, &envelope);
    assert_eq!(opened.unwrap_err().as_str(), "proof");
    let envelope = secret.seal(address(), &message()).unwrap();
    let opened = secret.open::<peer::Message>(proof::Direction::Reply, &envelope);
    assert_eq!(opened.unwrap_err().as_str(), "proof");
}

#[test]
fn a_proven_message_of_another_shape_is_malformed() {
    let secret = proof::Secret::new("shared");
    let envelope = secret.seal(address(), &"x".repeat(10_000)).unwrap();
    let opened = secret.open::<peer::Message>(proof::Direction::Call, &envelope);
    let error = opened.unwrap_err();
    assert_eq!(error.as_str(), "malformed");
    assert!(error.to_string().len() < 400);
}

#[test]
fn the_counted_length_is_that_of_the_envelope() {
    let mut address = address();
    address.time_ms = 1_790_000_000_000;
    address.nonce = 1_790_000_000_000_000;
    let envelope = proof::Secret::new("shared")
        .seal(address, &message())
        .unwrap();
    let text = serde_json::to_string(&envelope).unwrap();
    assert!(
        envelope.bytes().abs_diff(text.len()) <= 8,
        "{} {}",
        envelope.bytes(),
        text.len()
    );
}
