//! Odd entries that another writer left in the platform's list or log: they name nothing to
//! use, and the others hold.

mod support;

use http::{Method, StatusCode};
use papayayard::host;
use papayayard_coordination::{claim, lease};
use papayayard_platform::http::Client as Platform;
use papayayard_platform::service::Log;
use papayayard_stand_in::engine;
use papayayard_wire::{configuration, id, log};
use rstest::rstest;
use serde_json::value::RawValue;
use support::Bed;

/// Nesting depth beyond that of any sound entry.
const DEPTH: usize = 100_000;
/// Name of an engine that starts later.
const LATER: &str = "engine-later";

fn nested() -> String {
    "[".repeat(DEPTH) + &"]".repeat(DEPTH)
}

/// An entry that is a host and an endpoint, with some fields replaced.
fn with(name: &str, value: &str) -> String {
    let mut fields = vec![
        ("id", r#""odd""#),
        ("service", r#""match-llm""#),
        ("zone", r#""bergen-a""#),
        ("peer", r#""127.0.0.1:9""#),
        ("address", r#""127.0.0.1:9""#),
        ("state", r#""live""#),
    ];
    fields.retain(|(known, _)| *known != name);
    fields.push((name, value));
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!(r#""{name}":{value}"#))
        .collect();
    format!("{{{}}}", fields.join(","))
}

fn raw(text: String) -> Box<RawValue> {
    RawValue::from_string(text).expect("JSON")
}

async fn wait_for_engines(host: &host::Running, number: usize) {
    support::wait_until(host, |status| {
        let eligible = status.endpoints.iter().filter(|one| one.eligible);
        eligible.count() == number && status.revision > id::Revision(0)
    })
    .await;
}

/// Expects a completion and a call of a service to be answered.
async fn expect_service(host: &host::Running) {
    let reply = support::complete(host, "a prompt", 4).await;
    let text = reply.expect("an answer").complete_stream();
    assert_eq!(text, support::expected("a prompt", 4));
    let reply = support::service(host, Method::GET, "/schedule", None, "").await;
    assert_eq!(reply.expect("an answer").status, StatusCode::OK);
}

/// Starts an engine that registers itself.
async fn start_later(bed: &Bed) -> engine::Running {
    let options = engine::Options {
        endpoint: LATER.into(),
        version: "v1".into(),
        platform: Some(bed.platform.address()),
        ..engine::Options::default()
    };
    engine::start(options).await.expect("the engine starts")
}

#[rstest]
#[case::nested(nested())]
#[case::nested_field(with("zone", &nested()))]
#[case::number_beyond_a_float(with("zone", "1e999"))]
#[case::null(with("id", "null"))]
#[case::ports_out_of_range(with("address", r#""10.0.0.1:70000""#).replace("127.0.0.1:9", "10.0.0.1:70000"))]
#[case::unknown_state(with("state", r#""asleep""#))]
#[case::not_an_object("7".to_owned())]
#[case::key_that_is_not_text(with("id", r#""\udcff""#))]
#[tokio::test]
async fn an_odd_entry_of_the_list_names_nothing_and_the_others_hold(#[case] entry: String) {
    let bed = Bed::start(1, 1).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let following = bed.ready_host("entry-1").await;
    bed.platform.add_odd_entry(raw(entry));
    let starting = bed.ready_host("entry-2").await;
    let _later = start_later(&bed).await;
    for host in [&following, &starting] {
        wait_for_engines(host, 2).await;
        expect_service(host).await;
    }
}

#[rstest]
#[case::nested(nested())]
#[case::number_beyond_a_float(r#"{"format":1,"base":1e999}"#.to_owned())]
#[case::null("null".to_owned())]
#[case::nested_document(proposal(&"[".repeat(DEPTH)))]
#[case::nested_block_document(proposal(&"- ".repeat(DEPTH)))]
#[tokio::test]
async fn an_odd_record_does_not_hide_the_rest_of_the_log(#[case] payload: String) {
    let bed = Bed::start(2, 1).await;
    append_to_all(&bed, &payload).await;
    let host = bed.host("entry-1", "bergen-a", &[]);
    bed.publish(0, &support::document("v1", 2)).await;
    wait_for_engines(&host, 2).await;
    append_to_all(&bed, &payload).await;
    expect_service(&host).await;
    let booking = support::service(&host, Method::POST, "/bookings", Some("k1"), "lesson").await;
    assert_eq!(booking.expect("an answer").status, StatusCode::OK);
    bed.publish(1, &support::document("v2", 2)).await;
    support::wait_until(&host, |status| {
        let mut endpoints = status.endpoints.iter();
        endpoints.all(|one| one.eligible && one.version == Some("v2".into()))
    })
    .await;
    expect_service(&host).await;
}

/// Appends a record to each stream that hosts follow.
async fn append_to_all(bed: &Bed, payload: &str) {
    let platform = Platform::new(bed.platform.address(), support::PATIENCE);
    let claims = (0..claim::SHARDS).map(claim::stream_name);
    let others = [configuration::STREAM, lease::STREAM].map(id::Stream::from);
    for stream in claims.chain(others) {
        let draft = log::Draft {
            id: "odd".into(),
            payload: raw(payload.to_owned()),
        };
        let records = vec![draft];
        let appended = platform.append(&stream, &log::Batch { records }).await;
        appended.expect("the platform takes the record");
    }
}

/// A proposal with a document of any text.
fn proposal(document: &str) -> String {
    let proposal = configuration::Proposal {
        format: configuration::FORMAT,
        base: id::Revision(0),
        revision: id::Revision(1),
        digest: blake3::hash(document.as_bytes()).to_hex().to_string(),
        document: document.to_owned(),
    };
    serde_json::to_string(&proposal).expect("JSON")
}
