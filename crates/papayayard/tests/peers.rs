//! Hosts that talk: configuration without the log, departures, strangers.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use papayayard::host;
use papayayard_stand_in::platform::Fault;
use papayayard_wire::peer::State;
use papayayard_wire::{directory, endpoint, id, peer, proof};
use rstest::rstest;
use serde_json::{Value, json};
use support::Bed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn listed(name: &str, zone: &str, address: SocketAddr) -> directory::Host {
    directory::Host {
        id: name.into(),
        zone: zone.into(),
        peer: address,
        state: directory::State::Live,
    }
}

/// Starts hosts that know each other by the platform's list.
fn hosts(bed: &Bed, names: &[&str]) -> Vec<host::Running> {
    let mut hosts = Vec::new();
    for name in names {
        let host = bed.host(name, "bergen-a", &[]);
        bed.platform
            .put_host(listed(name, "bergen-a", host.addresses().peers));
        hosts.push(host);
    }
    hosts
}

async fn metrics(host: &host::Running) -> String {
    let callers = host.addresses().callers;
    let reply = support::call(callers, Method::GET, "/metrics", &[], "").await;
    reply.expect("the host answers").text()
}

async fn wait_for_metric(host: &host::Running, line: &str) {
    let start = Instant::now();
    while !metrics(host).await.contains(line) {
        assert!(
            start.elapsed() < support::PATIENCE,
            "{}",
            metrics(host).await
        );
        tokio::task::yield_now().await;
    }
}

/// Calls a host's peer listener with any JSON as the envelope.
async fn exchange(host: &host::Running, envelope: &str) -> Value {
    // Put together as text: the proof covers the message's very bytes.
    let call = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"exchange","params":[{envelope}]}}"#);
    let headers = [("content-type", "application/json")];
    let peers = host.addresses().peers;
    let reply = support::call(peers, Method::POST, "/", &headers, &call).await;
    let text = reply.expect("the host answers").text();
    serde_json::from_str(&text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let elapsed = now.duration_since(std::time::SystemTime::UNIX_EPOCH);
    u64::try_from(elapsed.unwrap().as_millis()).unwrap()
}

fn seal(secret: &str, to: &str, time_ms: u64, message: &peer::Message) -> String {
    let address = proof::Address {
        direction: proof::Direction::Call,
        from: id::Host::from("entry-9"),
        to: Some(id::Host::from(to)),
        time_ms,
        nonce: 7,
    };
    let envelope = proof::Secret::new(secret).seal(address, message);
    serde_json::to_string(&envelope.unwrap()).unwrap()
}

#[rstest]
#[case::no_envelope("malformed")]
#[case::stranger("proof")]
#[case::for_another("receiver")]
#[case::of_yesterday("time")]
#[case::said_again("replay")]
#[case::of_the_future("malformed")]
#[tokio::test]
async fn a_call_that_is_not_believed_is_refused_and_counted(#[case] reason: &str) {
    let bed = Bed::start(0, 0).await;
    let host = bed.host("entry-1", "bergen-a", &[]);
    let mut message = peer::Message::new(peer::State::Serving);
    let now = unix_ms();
    let envelope = match reason {
        "proof" => seal("another", "entry-1", now, &message),
        "receiver" => seal("secret", "entry-2", now, &message),
        "time" => seal("secret", "entry-1", now - 86_400_000, &message),
        "replay" => seal("secret", "entry-1", now, &message),
        _ => {
            message.version = 99;
            message.speaks = 99;
            seal("secret", "entry-1", now, &message)
        }
    };
    if reason == "replay" {
        let first = exchange(&host, &envelope).await;
        assert!(first.get("result").is_some(), "{first}");
    }
    let answer = exchange(&host, &envelope).await;
    assert!(answer.get("error").is_some(), "{answer}");
    let line = format!("papayayard_peer_refusals_total{{reason=\"{reason}\"");
    wait_for_metric(&host, &line).await;
}

#[tokio::test]
async fn bytes_that_are_no_envelope_leave_the_host_running() {
    let bed = Bed::start(0, 0).await;
    let host = bed.host("entry-1", "bergen-a", &[]);
    for junk in [
        json!(null),
        json!({"from": 3}),
        json!([[[[]]]]),
        json!("\u{0}"),
    ] {
        let answer = exchange(&host, &junk.to_string()).await;
        assert!(answer.get("error").is_some(), "{answer}");
    }
    wait_for_metric(&host, "reason=\"malformed\"").await;
    let message = peer::Message::new(peer::State::Serving);
    let fine = seal("secret", "entry-1", unix_ms(), &message);
    assert!(exchange(&host, &fine).await.get("result").is_some());
}

#[rstest]
#[case::oldest(peer::MIN_VERSION)]
#[case::newest(peer::VERSION)]
#[tokio::test]
async fn a_peer_of_any_version_is_answered_in_its_own(#[case] speaks: u32) {
    let bed = Bed::start(0, 0).await;
    let host = bed.host("entry-1", "bergen-a", &[]);
    let mut message = peer::Message::new(peer::State::Serving);
    message.speaks = speaks;
    let message = message.for_receiver(speaks);
    let envelope = seal("secret", "entry-1", unix_ms(), &message);
    let answer = exchange(&host, &envelope).await;
    assert_eq!(answer["result"]["body"]["version"], speaks);
}

#[tokio::test]
async fn a_host_that_cannot_reach_the_platform_starts_from_its_peers() {
    let bed = Bed::start(1, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let first = bed.ready_host("entry-1").await;
    let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = bed.settings("entry-2", "local", &[first.addresses().peers]);
    settings.platform.log = dead.local_addr().unwrap();
    settings.platform.directory = dead.local_addr().unwrap();
    drop(dead);
    let start = Instant::now();
    let second = host::start(settings, host::Blind).unwrap();
    support::wait_until(&second, |status| status.revision == id::Revision(1)).await;
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test]
async fn a_departure_seen_by_one_host_keeps_new_work_off_at_the_other() {
    let bed = Bed::start(2, 0).await;
    bed.publish(0, &support::document("v1", 2)).await;
    let hosts = hosts(&bed, &["entry-1", "entry-2"]);
    for host in &hosts {
        support::wait_until(host, |status| {
            status.endpoints.iter().filter(|e| e.eligible).count() == 2
        })
        .await;
    }
    let report = bed.engines[0].truth().report();
    let mut message = peer::Message::new(peer::State::Serving);
    message.contents.departures.push(peer::Departure {
        endpoint: report.endpoint.clone(),
        incarnation: Some(report.incarnation),
        cause: peer::Cause::Ordered,
        age_ms: 0,
    });
    let start = Instant::now();
    let envelope = seal("secret", "entry-1", unix_ms(), &message);
    assert!(exchange(&hosts[0], &envelope).await.get("result").is_some());
    for host in &hosts {
        support::wait_until(host, |status| {
            let seen = status.endpoints.iter().find(|e| e.id == report.endpoint);
            seen.is_some_and(|endpoint| !endpoint.eligible)
        })
        .await;
    }
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    let before = bed.engines[0].ledger().len();
    for host in &hosts {
        for number in 0..4 {
            let prompt = format!("Partner history {number} of the studio.");
            let reply = support::complete(host, &prompt, 4).await;
            reply.expect("an answer").complete_stream();
        }
    }
    assert_eq!(bed.engines[0].ledger().len(), before);
    assert_eq!(
        report.state,
        endpoint::State::Ready,
        "its own report says nothing"
    );
}

#[tokio::test]
async fn a_revision_spreads_by_peers_while_the_log_is_out_of_reach() {
    let bed = Bed::start(0, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let hosts = hosts(&bed, &["entry-1", "entry-2", "entry-3"]);
    for host in &hosts {
        support::wait_until(host, |status| status.revision == id::Revision(1)).await;
    }
    bed.platform.fault(Fault::Cut {
        hosts: vec!["entry-2".into(), "entry-3".into()],
    });
    bed.publish(1, &support::document("v2", 1)).await;
    for host in &hosts {
        support::wait_until(host, |status| status.revision == id::Revision(2)).await;
    }
}

/// Reads one HTTP message with a stated length; gives it and the length of its body.
async fn read_http(stream: &mut tokio::net::TcpStream) -> (Vec<u8>, usize) {
    let mut read = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "the connection ended early");
        read.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&read).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.expect("a stated length").trim().parse().unwrap();
        if body.len() >= length {
            return (read, length);
        }
    }
}

/// The budget counts a fixed number of bytes around a call and its reply.
#[tokio::test]
async fn framing_costs_no_more_than_is_counted() {
    let bed = Bed::start(0, 0).await;
    let fake = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peers = [fake.local_addr().unwrap()];
    let mut settings = bed.settings("entry-1", "local", &peers);
    settings.platform.directory = settings.platform.log;
    bed.platform.fault(Fault::Down);
    let host = host::start(settings, host::Blind).unwrap();
    let (mut stream, _) = fake.accept().await.unwrap();
    let (call, call_body) = read_http(&mut stream).await;

    let message = peer::Message::new(peer::State::Serving);
    let envelope = seal("secret", "entry-1", unix_ms(), &message);
    let body = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"exchange","params":[{envelope}]}}"#);
    let request = format!(
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let address = host.addresses().peers;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let (reply, reply_body) = read_http(&mut stream).await;
    let json_rpc = body.len() - envelope.len() + r#"{"jsonrpc":"2.0","id":1,"result":}"#.len();
    let framing = (call.len() - call_body) + (reply.len() - reply_body) + json_rpc;
    assert!(framing <= 450, "{framing}");
    println!("framing of a call and its reply: {framing} bytes");
}

#[tokio::test]
async fn a_planned_stop_tells_the_peers_before_it_ends() {
    let bed = Bed::start(0, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let mut hosts = hosts(&bed, &["entry-1", "entry-2", "entry-3"]);
    let started = |host: &host::Running| host.addresses().peers;
    let first = started(&hosts[0]);
    for host in &hosts {
        support::wait_until(host, |status| status.revision == id::Revision(1)).await;
    }
    for host in &hosts {
        wait_for_metric(host, "papayayard_peer_bytes_total").await;
    }
    hosts.remove(0).stop().await;
    for host in &hosts {
        wait_for_metric(host, "papayayard_peer_farewells_total").await;
    }
    assert!(tokio::net::TcpStream::connect(first).await.is_err());
}

/// A call as a host sends it; the proof covers its very bytes.
#[derive(serde::Deserialize)]
struct Call {
    params: Vec<proof::Envelope>,
}

/// What a host says in the next call to a peer that never answers.
async fn heard(peer: &tokio::net::TcpListener, held: &mut Vec<tokio::net::TcpStream>) -> State {
    let (mut stream, _) = peer.accept().await.unwrap();
    let (call, body_bytes) = read_http(&mut stream).await;
    held.push(stream);
    let call: Call = serde_json::from_slice(&call[call.len() - body_bytes..]).unwrap();
    let secret = proof::Secret::new("secret");
    let message: peer::Message = secret
        .open(proof::Direction::Call, &call.params[0])
        .unwrap();
    message.state
}

#[tokio::test]
async fn a_peer_that_owes_an_answer_is_told_of_a_planned_stop() {
    let bed = Bed::start(0, 0).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent.local_addr().unwrap();
    bed.platform
        .put_host(listed("entry-2", "bergen-a", address));
    let host = bed.host("entry-1", "bergen-a", &[]);
    let mut held = Vec::new();
    heard(&silent, &mut held).await;
    let stop = tokio::spawn(host.stop());
    let farewell = async { while heard(&silent, &mut held).await != State::Left {} };
    let farewell = tokio::time::timeout(support::PATIENCE, farewell).await;
    farewell.expect("the peer hears the farewell");
    stop.await.unwrap();
}
