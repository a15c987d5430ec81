//! Measures how long a configuration takes to be in force on every host, and
//! how long a host takes to be ready.
//!
//! `cargo run --release -p papayayard --example spread -- 3 9 30`

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use papayayard::{host, operators, settings};
use papayayard_platform::http::Client as Platform;
use papayayard_platform::service::Log;
use papayayard_stand_in::platform;
use papayayard_wire::configuration::{FORMAT, Proposal, STREAM};
use papayayard_wire::{directory, id, log};
use serde_json::value::RawValue;

/// Documents that are published one after the other.
const ROUNDS: u64 = 21;
/// Bound on one call to the platform.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Document that is published, with comments that tell revisions apart.
const DOCUMENT: &str = include_str!("../../../examples/fjordtakt.yaml");

type Http = Client<HttpConnector, Empty<Bytes>>;

#[tokio::main]
async fn main() {
    println!("hosts  ready ms (median, most)  in force everywhere ms (median, most)");
    for argument in std::env::args().skip(1) {
        let hosts = argument.parse().expect("arguments are numbers of hosts");
        measure(hosts).await;
    }
}

async fn measure(count: usize) {
    let platform = platform::start(platform::Options::default());
    let platform = platform.await.expect("the platform starts");
    publish(platform.address(), 0).await;
    let http: Http = Client::builder(TokioExecutor::new()).build_http();
    let mut hosts: Vec<host::Running> = Vec::new();
    let mut ready = Vec::new();
    for number in 0..count {
        let seeds = hosts.iter().take(2).map(|known| known.addresses().peers);
        let start = Instant::now();
        let settings = settings(number, platform.address(), seeds.collect());
        let zone = settings.zone.clone();
        let host = host::start(settings, host::Blind);
        let host = host.expect("the host starts");
        wait(&http, host.addresses().operators, 1).await;
        ready.push(start.elapsed());
        platform.put_host(directory::Host {
            id: name(number),
            zone,
            peer: host.addresses().peers,
            state: directory::State::Live,
        });
        hosts.push(host);
    }
    let mut spread = Vec::new();
    for base in 1..=ROUNDS {
        let start = Instant::now();
        publish(platform.address(), base).await;
        let all = hosts.iter().map(|host| host.addresses().operators);
        let waits = all.map(|address| {
            let http = http.clone();
            tokio::spawn(async move { wait(&http, address, base + 1).await })
        });
        for wait in waits.collect::<Vec<_>>() {
            wait.await.expect("the wait ends");
        }
        spread.push(start.elapsed());
    }
    let (ready, spread) = (summary(ready), summary(spread));
    println!("{count:5}  {ready:>24}  {spread:>38}");
}

fn name(number: usize) -> id::Host {
    format!("entry-{number}").into()
}

fn settings(number: usize, platform: SocketAddr, peers: Vec<SocketAddr>) -> settings::Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    settings::Settings {
        host: name(number),
        zone: format!("zone-{}", number % 3).into(),
        listen: settings::Listen {
            callers: any,
            peers: any,
            operators: any,
        },
        platform: settings::Platform {
            log: platform,
            directory: platform,
        },
        peers,
        peer_secret: settings::Secret("a-secret-for-measuring".to_owned()),
        policy: papayayard_routing::choice::Name::Papayayard,
        limits: settings::Limits::default(),
        periods: settings::Periods::default(),
        stop_grace: Duration::ZERO,
    }
}

async fn publish(platform: SocketAddr, base: u64) {
    let document = format!("# revision {}\n{DOCUMENT}", base + 1);
    let proposal = Proposal {
        format: FORMAT,
        base: id::Revision(base),
        revision: id::Revision(base + 1),
        digest: blake3::hash(document.as_bytes()).to_hex().to_string(),
        document,
    };
    let text = serde_json::to_string(&proposal).expect("a proposal is JSON");
    let record = log::Draft {
        id: format!("spread-{base}").into(),
        payload: RawValue::from_string(text).expect("a proposal is JSON"),
    };
    let batch = log::Batch {
        records: vec![record],
    };
    Platform::new(platform, TIMEOUT)
        .append(&STREAM.into(), &batch)
        .await
        .expect("the platform takes the proposal");
}

/// Waits until a host has a revision in force.
async fn wait(http: &Http, operators: SocketAddr, revision: u64) {
    let uri = format!("http://{operators}/status");
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    loop {
        ticks.tick().await;
        let uri = uri.parse().expect("the address is well formed");
        let reply = http.get(uri).await.expect("the host answers");
        let body = reply.into_body().collect().await;
        let body = body.expect("the answer is whole").to_bytes();
        let status: operators::Status =
            serde_json::from_slice(&body).expect("the answer is a status");
        if status.revision >= id::Revision(revision) {
            return;
        }
    }
}

fn summary(mut all: Vec<Duration>) -> String {
    all.sort();
    let median = all[all.len() / 2].as_millis();
    let most = all[all.len() - 1].as_millis();
    format!("{median}, {most}")
}
