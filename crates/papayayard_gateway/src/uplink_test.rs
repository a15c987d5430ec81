use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use papayayard_coordination::detour::Peer;
use papayayard_coordination::uplink::Comparison;
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use super::Handle;
use crate::dial::Past;
use crate::hosts::Neighbours;
use crate::metrics::Metrics;

/// Maximum time for each wait of a test.
const TIMEOUT: Duration = Duration::from_secs(10);
const ENDPOINTS: usize = 4;

/// Returns addresses at which nothing listens, on a loopback address of the test's own.
async fn closed_addresses(last: u8) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for _ in 0..ENDPOINTS {
        let ip = Ipv4Addr::new(127, 81, 0, last);
        let listener = TcpListener::bind((ip, 0)).await.expect("a port");
        addresses.push(listener.local_addr().expect("an address"));
    }
    addresses
}

fn endpoint(index: usize, address: SocketAddr) -> Endpoint {
    Endpoint {
        id: id::Endpoint::from(format!("e-{index}")),
        started: id::Incarnation::default(),
        service: id::Service::from("app"),
        address,
        zone: id::Zone::from("a"),
        software: id::Software::from("v1"),
        slots: 1,
        weights: HashMap::new(),
        leaving: false,
    }
}

/// Past of a connection that is opened now.
fn new_connection() -> Past {
    Past {
        opened: Instant::now(),
        answers: 0,
    }
}

struct Observed {
    handle: Handle,
    endpoints: watch::Sender<Vec<Endpoint>>,
    _neighbours: watch::Sender<Neighbours>,
    task: AbortHandle,
}

impl Observed {
    /// Starts an observer that knows no other hosts.
    fn start(addresses: &[SocketAddr]) -> Self {
        let alone = Neighbours {
            are_counted: true,
            ..Neighbours::default()
        };
        let listed = addresses.iter().enumerate();
        let listed = listed.map(|(index, address)| endpoint(index, *address));
        let (endpoints, receiver) = watch::channel(listed.collect());
        let question = Request::new(Bytes::new());
        let (neighbours, hosts) = watch::channel(alone);
        let (handle, task) = super::start(question, receiver, hosts, Metrics::new());
        Self {
            handle,
            endpoints,
            _neighbours: neighbours,
            task: tokio::spawn(task).abort_handle(),
        }
    }

    fn fail_connections(&self) {
        for listed in self.endpoints.borrow().iter().take(3) {
            self.handle.record_unreachable(&listed.id);
        }
    }

    async fn wait_for(&mut self, is_detached: bool) {
        let state = &mut self.handle.is_detached;
        let reached = state.wait_for(|state| *state == is_detached);
        let reached = time::timeout(TIMEOUT, reached).await;
        reached.expect("a change in time").expect("a running task");
    }
}

/// What an endpoint does with a connection.
#[derive(Clone, Copy, Debug)]
enum Act {
    Answer,
    Close,
    Stay,
}

/// Accepts connections and reads from them until the test ends. Returns a count of those that
/// have ended.
fn serve(listener: TcpListener, act: Act) -> watch::Receiver<usize> {
    let (ended, count) = watch::channel(0);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 1024];
            if matches!(stream.read(&mut buffer).await, Ok(1..)) {
                perform(act, &mut stream).await;
            }
            ended.send_modify(|count| *count += 1);
        }
    });
    count
}

async fn perform(act: Act, stream: &mut TcpStream) {
    match act {
        Act::Answer => {
            let answer = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.expect("an open connection");
            let rest = stream.read(&mut [0; 1]).await;
            assert!(matches!(rest, Ok(0)), "{rest:?}");
        }
        Act::Close => {}
        Act::Stay => {
            // The other side gives up.
            let _ = stream.read(&mut [0; 1]).await;
        }
    }
}

impl Drop for Observed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Guards against a host that stays detached after its way to one endpoint is back.
#[tokio::test]
async fn a_probe_finds_the_way_back() {
    let addresses = closed_addresses(1).await;
    let mut observed = Observed::start(&addresses);
    observed.fail_connections();
    observed.wait_for(true).await;
    let back = TcpListener::bind(addresses[2]).await.expect("the port");
    serve(back, Act::Answer);
    observed.wait_for(false).await;
    assert!(!observed.handle.is_detached());
}

/// Guards against a verification that believes the reports of a few crashed endpoints.
#[tokio::test]
async fn an_endpoint_that_answers_a_probe_keeps_the_host_attached() {
    let addresses = closed_addresses(2).await;
    let sound = TcpListener::bind(addresses[3]).await.expect("the port");
    let mut probes = serve(sound, Act::Answer);
    let observed = Observed::start(&addresses);
    observed.fail_connections();
    let answered = time::timeout(TIMEOUT, probes.wait_for(|ended| *ended > 0)).await;
    answered.expect("a probe in time").expect("a running task");
    assert!(!observed.handle.is_detached());
}

/// Guards against a cut that is not seen since connections are still accepted, and against a
/// host that is attached again by such a connection.
#[rstest]
#[case::closed(Act::Close, 5)]
#[case::silent(Act::Stay, 6)]
#[tokio::test]
async fn connections_without_answers_detach_the_host(#[case] act: Act, #[case] last: u8) {
    let addresses = closed_addresses(last).await;
    let mut probes = Vec::new();
    for address in &addresses {
        let listener = TcpListener::bind(address).await.expect("the port");
        probes.push(serve(listener, act));
    }
    let mut observed = Observed::start(&addresses);
    for index in 0..ENDPOINTS {
        let endpoint = id::Endpoint::from(format!("e-{index}"));
        observed.handle.record_silent(&endpoint, new_connection());
    }
    observed.wait_for(true).await;
    let recovery = probes[0].wait_for(|ended| *ended > 2);
    let recovery = time::timeout(TIMEOUT, recovery).await;
    recovery.expect("probes go on").expect("a running task");
    assert!(observed.handle.is_detached());
}

/// Guards against failures of requests that an answer on a connection made since has disproved.
#[tokio::test]
async fn an_answer_on_a_new_connection_of_a_request_attaches_the_host() {
    let addresses = closed_addresses(3).await;
    let mut observed = Observed::start(&addresses);
    observed.fail_connections();
    observed.wait_for(true).await;
    let endpoint = id::Endpoint::from("unlisted");
    observed.handle.record_answer(&endpoint, new_connection());
    observed.wait_for(false).await;
}

/// Guards against a detached host that takes an answer for the end of the cut, although the
/// connection was opened before it: the first answer there, or a later one.
#[rstest]
#[case::first(0, 8)]
#[case::later(3, 9)]
#[tokio::test]
async fn an_answer_on_an_older_connection_attaches_no_host(#[case] answers: u32, #[case] last: u8) {
    let addresses = closed_addresses(last).await;
    let mut observed = Observed::start(&addresses);
    let older = Past {
        answers,
        ..new_connection()
    };
    observed.fail_connections();
    observed.wait_for(true).await;
    for listed in observed.endpoints.borrow().iter() {
        observed.handle.record_answer(&listed.id, older);
    }
    let listener = TcpListener::bind(addresses[0]).await.expect("the port");
    let mut probes = serve(listener, Act::Close);
    let recovery = probes.wait_for(|ended| *ended > 2);
    let recovery = time::timeout(TIMEOUT, recovery).await;
    recovery.expect("probes go on").expect("a running task");
    assert!(observed.handle.is_detached());
}

/// Guards against probes of endpoints that leave, whose addresses others may soon have.
#[tokio::test]
async fn a_host_whose_other_endpoints_leave_probes_only_those_that_stay() {
    let addresses = closed_addresses(4).await;
    let sound = TcpListener::bind(addresses[3]).await.expect("the port");
    let mut observed = Observed::start(&addresses);
    observed
        .endpoints
        .send_modify(|listed| listed[3].leaving = true);
    observed.fail_connections();
    observed.wait_for(true).await;
    drop(sound);
}

/// Guards against hosts that take a congested network of their own for a cut from endpoints.
#[rstest]
#[case::alone(true, None, Comparison::Alone)]
#[case::not_counted(false, None, Comparison::Unreachable)]
#[case::unreachable(true, Some(false), Comparison::Unreachable)]
#[case::reached(true, Some(true), Comparison::Reached)]
#[tokio::test]
async fn other_hosts_are_the_comparison(
    #[case] are_counted: bool,
    #[case] other_listens: Option<bool>,
    #[case] expected: Comparison,
) {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 81, 0, 7), 0)).await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = Peer {
        host: id::Host::from("other"),
        address,
        is_local: true,
    };
    let neighbours = Neighbours {
        are_counted,
        takers: other_listens.map(|_| peer).into_iter().collect(),
        ..Neighbours::default()
    };
    if other_listens != Some(true) {
        drop(listener);
    }
    assert_eq!(super::compare(&neighbours).await, expected);
}
