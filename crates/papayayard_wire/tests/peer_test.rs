//! Messages between hosts: compatibility between versions, and proofs.

use papayayard_wire::{id, peer, proof};
use rstest::rstest;
use serde::{Deserialize, Serialize};

/// Message type of a version 1 reader.
#[derive(Debug, Serialize, Deserialize)]
struct Old {
    version: u32,
    speaks: u32,
    state: peer::State,
    #[serde(default)]
    configuration: Option<peer::Configuration>,
}

/// Message type of a possible later version, with an additional field.
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
#[case::below_all_versions(0, 1, false)]
#[case::above_all_versions(u32::MAX, 2, true)]
fn writes_at_the_lowest_version(#[case] speaks: u32, #[case] version: u32, #[case] shares: bool) {
    let written = message().for_receiver(speaks);
    assert_eq!(written.version, version);
    assert_eq!(!written.wants.is_empty(), shares);
    assert!(written.is_readable());
}

#[test]
fn an_older_reader_accepts_a_message_in_its_version() {
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
fn a_later_writer_is_read_in_the_current_version() {
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
#[case::newer_version(3, 3)]
#[case::below_all_versions(0, 2)]
#[case::above_the_supported_version(2, 1)]
fn an_invalid_version_is_not_readable(#[case] version: u32, #[case] speaks: u32) {
    let mut invalid = message();
    invalid.version = version;
    invalid.speaks = speaks;
    assert!(!invalid.is_readable());
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

fn tamper(envelope: &mut proof::Envelope, part: &str) {
    match part {
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
fn a_tampered_message_is_rejected(#[case] part: &str, #[case] is_accepted: bool) {
    let secret = proof::Secret::new("shared");
    let mut envelope = secret.seal(address(), &message()).unwrap();
    tamper(&mut envelope, part);
    let text = serde_json::to_string(&envelope).unwrap();
    let envelope: proof::Envelope = serde_json::from_str(&text).unwrap();
    let opened = secret.open::<peer::Message>(proof::Direction::Call, &envelope);
    assert_eq!(opened.is_ok(), is_accepted, "{opened:?}");
}

#[test]
fn a_wrong_secret_and_a_reflected_call_are_rejected() {
    let secret = proof::Secret::new("shared");
    let other_secret = proof::Secret::new("guessed");
    let envelope = other_secret.seal(address(), &message()).unwrap();
    let opened = secret.open::<peer::Message>(proof::Direction::Call, &envelope);
    assert_eq!(opened.unwrap_err().as_str(), "proof");
    let envelope = secret.seal(address(), &message()).unwrap();
    let opened = secret.open::<peer::Message>(proof::Direction::Reply, &envelope);
    assert_eq!(opened.unwrap_err().as_str(), "proof");
}

#[test]
fn an_authentic_message_of_another_type_is_malformed() {
    let secret = proof::Secret::new("shared");
    let envelope = secret.seal(address(), &"x".repeat(10_000)).unwrap();
    let opened = secret.open::<peer::Message>(proof::Direction::Call, &envelope);
    let error = opened.unwrap_err();
    assert_eq!(error.as_str(), "malformed");
    assert!(error.to_string().len() < 400);
}

#[test]
fn the_estimated_length_matches_the_encoded_envelope() {
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
