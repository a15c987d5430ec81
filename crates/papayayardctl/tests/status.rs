//! `status` asks hosts and prints what they have in force.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::Ended;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use papayayard::operators::{Endpoint, State, Status};
use papayayard_stand_in::answer::{self, Body};
use papayayard_stand_in::platform;
use papayayard_stand_in::server::{Dropped, Gate, Handler, Server};
use papayayard_wire::{directory, id};
use rstest::rstest;

const DIGEST: &str = "aaaaaaaaaaaabbbbbbbbbbbbccccccccccccddddddddddddeeeeeeeeeeeeffff";

/// An operators' listener with one answer.
enum Listener {
    Answers(Status),
    Fails(Status),
    Drops,
    Babbles,
}

impl Handler for Listener {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        assert_eq!(request.uri().path(), "/status");
        match self {
            Self::Answers(status) => Ok(answer::ok(status)),
            Self::Fails(status) => Ok(answer::json(StatusCode::INTERNAL_SERVER_ERROR, status)),
            Self::Drops => Err(Dropped),
            Self::Babbles => Ok(answer::ok(&"status")),
        }
    }
}

async fn listen(listener: Listener) -> Server {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(any, Gate::default(), Arc::new(listener)).await;
    server.expect("a loopback port is free")
}

fn host(name: &str, revision: u64, endpoints: Vec<Endpoint>) -> Status {
    Status {
        host: name.into(),
        zone: "bergen-a".into(),
        state: State::Serving,
        revision: id::Revision(revision),
        digest: DIGEST.to_owned(),
        open_requests: 7,
        endpoints,
    }
}

fn endpoint(name: &str, plan: directory::State, version: Option<&str>) -> Endpoint {
    Endpoint {
        id: name.into(),
        service: "match-llm".into(),
        zone: "bergen-a".into(),
        plan,
        eligible: plan == directory::State::Live,
        in_flight: 2,
        incarnation: None,
        version: version.map(id::Version::from),
    }
}

async fn status(servers: &[&Server], more: &[&str]) -> Ended {
    let addresses: Vec<String> = servers
        .iter()
        .map(|server| server.address().to_string())
        .collect();
    let mut arguments = vec!["status"];
    for address in &addresses {
        arguments.extend(["--host", address]);
    }
    arguments.extend(more);
    common::ctl(&arguments).await
}

fn columns<'a>(text: &'a str, first: &str) -> Vec<&'a str> {
    let line = text
        .lines()
        .find(|line| line.split_whitespace().any(|word| word == first));
    line.unwrap_or_else(|| panic!("no line with {first:?} in {text}"))
        .split_whitespace()
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_table_shows_hosts_and_their_services() {
    use directory::State::{Leaving, Live};
    let endpoints = vec![
        endpoint("match-1", Live, Some("1")),
        endpoint("match-2", Live, Some("2")),
        endpoint("match-3", Leaving, None),
    ];
    let server = listen(Listener::Answers(host("entry-1", 4, endpoints))).await;
    let ended = status(&[&server], &[]).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
    let address = server.address().to_string();
    let row = columns(&ended.out, &address);
    let expected = ["entry-1", "bergen-a", "serving", "4", &DIGEST[..12], "7"];
    assert_eq!(row[1..], expected);
    let row = columns(&ended.out, "match-llm");
    assert_eq!(
        row,
        [
            "entry-1",
            "match-llm",
            "3",
            "2",
            "1",
            "6",
            "1:1",
            "2:1",
            "?:1"
        ]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn json_has_what_the_hosts_answered() {
    let server = listen(Listener::Answers(host("entry-1", 4, Vec::new()))).await;
    let silent = listen(Listener::Drops).await;
    let ended = status(&[&server, &silent], &["--format", "json"]).await;
    assert_eq!(ended.code, Some(4), "{ended:?}");
    let answers: serde_json::Value = serde_json::from_str(&ended.out).expect("JSON");
    assert_eq!(answers[0]["address"], server.address().to_string());
    assert_eq!(answers[0]["revision"], 4);
    assert_eq!(answers[0]["state"], "serving");
    assert_eq!(answers[0]["digest"], DIGEST);
    assert!(answers[1]["error"].is_string(), "{ended:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn differing_revisions_are_pointed_out() {
    let old = listen(Listener::Answers(host("entry-1", 4, Vec::new()))).await;
    let new = listen(Listener::Answers(host("entry-2", 5, Vec::new()))).await;
    let ended = status(&[&old, &new, &new], &[]).await;
    let told = "revisions differ: 4 on 1 host(s), 5 on 2 host(s)";
    assert!(ended.out.contains(told), "{ended:?}");
}

#[rstest]
#[case::dropped(Listener::Drops)]
#[case::failing(Listener::Fails(host("entry-1", 4, Vec::new())))]
#[case::no_status(Listener::Babbles)]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_does_not_answer_is_told(#[case] listener: Listener) {
    let silent = listen(listener).await;
    let server = listen(Listener::Answers(host("entry-2", 4, Vec::new()))).await;
    let ended = status(&[&silent, &server], &[]).await;
    assert_eq!(ended.code, Some(4), "{ended:?}");
    assert!(ended.out.contains("no answer"), "{ended:?}");
    assert!(ended.out.contains("entry-2"), "{ended:?}");
    assert!(ended.err.contains("1 host(s) did not answer"), "{ended:?}");
}

#[rstest]
#[case::same_bytes(true, 0)]
#[case::other_bytes(false, 3)]
#[tokio::test(flavor = "multi_thread")]
async fn promotion_asks_the_hosts_of_trial(#[case] in_force: bool, #[case] code: i32) {
    let start = || platform::start(platform::Options::default());
    let (trial, production) = tokio::join!(start(), start());
    let (trial, production) = (trial.expect("a port"), production.expect("a port"));
    let (from, to) = (
        trial.address().to_string(),
        production.address().to_string(),
    );
    let file = common::example("fjordtakt.yaml");
    let file = file.to_str().expect("the path is text");
    let ended = common::ctl(&["publish", "--platform", &from, file]).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
    let mut answer = host("entry-1", 1, Vec::new());
    if in_force {
        let bytes = std::fs::read(file).expect("the example can be read");
        answer.digest = blake3::hash(&bytes).to_hex().to_string();
    }
    let server = listen(Listener::Answers(answer)).await;
    let address = server.address().to_string();
    let arguments = [
        "promote",
        "--from",
        &from,
        "--to",
        &to,
        "--trial-host",
        &address,
    ];
    let ended = common::ctl(&arguments).await;
    assert_eq!(ended.code, Some(code), "{ended:?}");
    let promoted = production.records(papayayard_wire::configuration::STREAM);
    assert_eq!(promoted.len(), usize::from(in_force));
}
