//! Processes that are killed, stopped and continued while requests run.

mod support;

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use papayayard::operators;
use papayayard_wire::endpoint;
use rstest::rstest;
use rustix::process::Signal;

/// Time in which a host that starts has to serve.
const READY_BOUND: Duration = Duration::from_secs(1);

/// Longest wait for a lease to end and for weights to load after it.
const LEASE_PATIENCE: Duration = Duration::from_secs(40);

struct Deployment {
    platform: support::StandIn,
    engines: Vec<support::StandIn>,
}

impl Deployment {
    /// Starts a platform and engines that take `decode_ms` for a token.
    fn start(engines: usize, decode_ms: u32) -> Self {
        let platform = support::stand_in("platform", &[]);
        let address = platform.address.to_string();
        let decode = decode_ms.to_string();
        let engine = |number: usize| {
            let id = format!("engine-{number}");
            let arguments = [
                "--id",
                &id,
                "--service",
                "match-llm",
                "--model",
                "match",
                "--version",
                "v1",
                "--decode-ms",
                &decode,
                "--platform",
                &address,
            ];
            support::stand_in("engine", &arguments)
        };
        let engines = (0..engines).map(engine).collect();
        Self { platform, engines }
    }

    fn host(&self, name: &str, peers: &[std::net::SocketAddr]) -> support::Host {
        let platform = self.platform.address.to_string();
        let settings = support::settings(name, "bergen-a", &platform, peers);
        support::Host::start(name, &settings)
    }

    /// Waits until a host has the first document and sees every engine.
    async fn ready(&self, host: &support::Host) {
        let engines = self.engines.len();
        host.wait_until(|status| eligible(status) == engines).await;
    }

    /// Waits until an engine has generated all that it was asked for.
    async fn idle(&self, engine: usize) {
        let address = self.engines[engine].address;
        let start = Instant::now();
        loop {
            let reply = support::send(address, Method::GET, "/report", &[], "").await;
            let report = reply.expect("the engine answers").body;
            let report: endpoint::Report = serde_json::from_slice(&report).expect("a report");
            if report.running + report.queued == 0 {
                return;
            }
            assert!(start.elapsed() < support::PATIENCE, "{report:?}");
        }
    }
}

fn eligible(status: &operators::Status) -> usize {
    let endpoints = status.endpoints.iter();
    endpoints.filter(|endpoint| endpoint.eligible).count()
}

fn body(tokens: u32) -> String {
    format!(r#"{{"model":"match","prompt":"a partner","stream":true,"max_tokens":{tokens}}}"#)
}

async fn stream(host: &support::Host, tokens: u32) -> Option<support::Reply> {
    support::call(host.callers, Method::POST, "/v1/completions", &body(tokens)).await
}

/// Checks that a stream is complete, in order and of the stated length.
fn assert_whole(reply: &support::Reply, tokens: u64) {
    let text = String::from_utf8_lossy(&reply.body);
    assert_eq!(reply.status, StatusCode::OK, "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let mut next = 0;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if let Ok(chunk) = serde_json::from_str::<serde_json::Value>(data) {
            assert_eq!(chunk["position"].as_u64(), Some(next), "{text}");
            next += chunk["tokens"].as_u64().unwrap_or_default();
        }
    }
    assert_eq!(next, tokens, "{text}");
}

/// Waits until a host has a request open at some engine; names the engine.
async fn busy_engine(host: &support::Host) -> usize {
    let status = host
        .wait_until(|status| status.endpoints.iter().any(|one| one.in_flight > 0))
        .await;
    let busy = status.endpoints.iter().find(|one| one.in_flight > 0);
    let name = busy.expect("one is busy").id.as_str().to_owned();
    let number = name.trim_start_matches("engine-");
    number.parse().expect("engines are numbered")
}

/// The engine's process is killed or stopped while it generates.
#[rstest]
#[case::killed(Signal::KILL)]
#[case::stopped(Signal::STOP)]
#[tokio::test]
async fn a_stream_outlives_its_engine_process(#[case] signal: Signal) {
    let deployment = Deployment::start(2, 20);
    let host = deployment.host("entry-1", &[]);
    support::publish(deployment.platform.address, &support::document(2));
    deployment.ready(&host).await;
    let disturb = async {
        let engine = busy_engine(&host).await;
        deployment.engines[engine].process.signal(signal);
    };
    let (reply, ()) = tokio::join!(stream(&host, 50), disturb);
    assert_whole(&reply.expect("the exchange is whole"), 50);
}

/// SIGTERM lets every stream finish; the process then ends by itself.
#[rstest]
#[tokio::test]
async fn a_terminated_host_finishes_its_streams() {
    let deployment = Deployment::start(1, 20);
    let mut host = deployment.host("entry-1", &[]);
    support::publish(deployment.platform.address, &support::document(1));
    deployment.ready(&host).await;
    let terminate = async {
        busy_engine(&host).await;
        host.process.signal(Signal::TERM);
    };
    let (reply, ()) = tokio::join!(stream(&host, 50), terminate);
    assert_whole(&reply.expect("the exchange is whole"), 50);
    assert!(host.process.wait(), "the exit code is not 0");
}

/// Every host is killed at once and started again.
#[rstest]
#[tokio::test]
async fn a_herd_restart_is_over_within_a_second() {
    let deployment = Deployment::start(2, 1);
    let names = ["entry-1", "entry-2", "entry-3"];
    let hosts = names.map(|name| deployment.host(name, &[]));
    support::publish(deployment.platform.address, &support::document(2));
    for host in &hosts {
        deployment.ready(host).await;
    }
    for host in &hosts {
        host.process.signal(Signal::KILL);
    }
    drop(hosts);
    let start = Instant::now();
    let hosts = names.map(|name| deployment.host(name, &[]));
    for host in &hosts {
        deployment.ready(host).await;
    }
    let took = start.elapsed();
    for host in &hosts {
        let reply = stream(host, 8).await;
        assert_whole(&reply.expect("the exchange is whole"), 8);
    }
    assert!(took < READY_BOUND, "{took:?}");
}

/// The platform is killed: hosts that have the configuration serve on.
#[rstest]
#[case::killed(Signal::KILL)]
#[case::stopped(Signal::STOP)]
#[tokio::test]
async fn hosts_serve_on_without_the_platform(#[case] signal: Signal) {
    let deployment = Deployment::start(2, 1);
    let host = deployment.host("entry-1", &[]);
    support::publish(deployment.platform.address, &support::document(2));
    deployment.ready(&host).await;
    deployment.platform.process.signal(signal);
    for _ in 0..4 {
        let reply = stream(&host, 8).await;
        assert_whole(&reply.expect("the exchange is whole"), 8);
    }
}

/// A host whose process was stopped for a while goes on where it was.
#[rstest]
#[tokio::test]
async fn a_host_that_was_paused_finishes_its_streams() {
    let deployment = Deployment::start(2, 20);
    let host = deployment.host("entry-1", &[]);
    support::publish(deployment.platform.address, &support::document(2));
    deployment.ready(&host).await;
    let pause = async {
        let engine = busy_engine(&host).await;
        host.process.signal(Signal::STOP);
        deployment.idle(engine).await;
        host.process.signal(Signal::CONT);
    };
    let (reply, ()) = tokio::join!(stream(&host, 50), pause);
    assert_whole(&reply.expect("the exchange is whole"), 50);
}

/// Each of two hosts in turn is stopped for longer than a lease lasts while
/// new weights are published. One of them holds the lease: the other takes it
/// over, and the paused one changes nothing when it goes on.
#[rstest]
#[tokio::test]
async fn a_paused_lease_holder_changes_nothing() {
    let deployment = Deployment::start(2, 1);
    let first = deployment.host("entry-1", &[]);
    let second = deployment.host("entry-2", &[first.peers]);
    let document = support::document(2);
    support::publish(deployment.platform.address, &document);
    deployment.ready(&first).await;
    deployment.ready(&second).await;

    first.process.signal(Signal::STOP);
    let newer = document.replace("version: v1", "version: v2");
    support::publish(deployment.platform.address, &newer);
    wait_for_version(&second, "v2").await;
    first.process.signal(Signal::CONT);
    wait_for_version(&first, "v2").await;

    second.process.signal(Signal::STOP);
    let newest = document.replace("version: v1", "version: v3");
    support::publish(deployment.platform.address, &newest);
    wait_for_version(&first, "v3").await;
    second.process.signal(Signal::CONT);
    wait_for_version(&second, "v3").await;
    let reply = stream(&second, 8).await;
    assert_whole(&reply.expect("the exchange is whole"), 8);
    wait_for_version(&first, "v3").await;
}

async fn wait_for_version(host: &support::Host, version: &str) {
    host.wait_within(LEASE_PATIENCE, |status| {
        let loaded = |one: &&operators::Endpoint| {
            one.eligible && one.version.as_ref().is_some_and(|v| v.as_str() == version)
        };
        status.endpoints.iter().filter(loaded).count() == 2
    })
    .await;
}
