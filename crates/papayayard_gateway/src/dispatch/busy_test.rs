//! A dispatcher that answers slowly is kept; one that is gone is left.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use jsonrpsee::RpcModule;
use jsonrpsee::server::Server;
use jsonrpsee::types::ErrorObjectOwned;
use papayayard_routing::rate::Rate;
use papayayard_wire::id;
use tokio::sync::watch;
use tokio::time;

use super::message::{Call, Event};
use super::test::Host;
use super::{Cause, Handler, Selection, retry};

/// Delay of slow answers, longer than any host waits.
const SLOW: Duration = Duration::from_secs(5);
/// Maximum time for each wait of a test.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between the calls that a busy dispatcher answers.
const PERIOD: Duration = Duration::from_millis(10);

/// What a slow dispatcher was asked.
#[derive(Clone, Default)]
struct Received {
    /// Numbers of requests, in the order of their calls.
    requests: Vec<u64>,
    /// Numbers of requests that were abandoned.
    abandoned: Vec<u64>,
}

/// Dispatcher that decides in time, and answers some placement calls late.
struct Slow {
    handler: Handler,
    received: watch::Sender<Received>,
    /// Answers to placement calls that are late, from `from` on.
    late: std::ops::Range<usize>,
}

impl Slow {
    async fn answer(&self, call: Call) -> Result<super::DispatchAnswer, ErrorObjectOwned> {
        let mut index = None;
        self.received.send_modify(|received| {
            let abandoned = call.notices.iter();
            let abandoned = abandoned.filter(|notice| notice.what == Event::Abandoned);
            received
                .abandoned
                .extend(abandoned.map(|notice| notice.number));
            if let Some(request) = &call.question {
                index = Some(received.requests.len());
                received.requests.push(request.number);
            }
        });
        let answer = self.handler.answer(call).await;
        if index.is_some_and(|index| self.late.contains(&index)) {
            time::sleep(SLOW).await;
        }
        answer.map_err(|error| ErrorObjectOwned::owned(1, error.to_string(), None::<()>))
    }
}

/// Serves other hosts like a dispatcher whose answers in a range are late.
fn serve_slowly(host: &mut Host, late: std::ops::Range<usize>) -> watch::Receiver<Received> {
    let (received, calls) = watch::channel(Received::default());
    let mut module = RpcModule::new(Slow {
        handler: host.dispatch.handler(),
        received,
        late,
    });
    module
        .register_async_method("dispatch", |params, slow, _| async move {
            let slow: Arc<Slow> = slow;
            slow.answer(params.one::<Call>()?).await
        })
        .expect("a new module has no method of this name");
    let listener = host.listener.take().expect("a host is served once");
    let server = Server::builder().build_from_tcp(listener);
    let handle = server.expect("a server").start(module);
    tokio::spawn(handle.stopped());
    calls
}

/// Creates hosts that know one another; the first ones are asked first.
fn hosts<const NUMBER: usize>(names: [&str; NUMBER]) -> [Host; NUMBER] {
    let mut capacity = 1000;
    let hosts = names.map(|name| {
        capacity -= 100;
        Host::new(name, capacity)
    });
    let candidates: Vec<_> = hosts.iter().map(Host::candidate).collect();
    for host in &hosts {
        host.set_neighbours(&candidates);
        host.set_engine();
    }
    hosts
}

/// Places a request of a host that calls its dispatcher without requests meanwhile.
async fn place_beside_heartbeats(host: &Host) -> Selection {
    // A silent dispatcher does not delay the calls to others.
    let links = host.dispatch.state().links();
    let heartbeats = links.into_iter().map(|link| async move {
        loop {
            let answer = link.send_heartbeat(true, host.clock.now()).await;
            if let Err(failure) = answer {
                host.dispatch.record_failure(&link, &failure);
            }
            time::sleep(PERIOD).await;
        }
    });
    let heartbeats = future::join_all(heartbeats);
    let placed = time::timeout(TIMEOUT, Box::pin(host.dispatch.place(host.query())));
    tokio::select! {
        selection = placed => selection.expect("a decision in time"),
        _ = Box::pin(heartbeats) => unreachable!("heartbeats do not end"),
    }
}

fn placed_by(selection: &Selection) -> &str {
    match selection {
        Selection::Placed(_, permit) => permit.placed_by(),
        Selection::Refused { refused_by, .. } => panic!("refused by {refused_by}"),
    }
}

fn metrics(host: &Host) -> String {
    let text = host.dispatch.0.metrics.text();
    String::from_utf8(text).expect("a text")
}

/// Guards against hosts that place requests alone since a call to their dispatcher timed out
/// while it answers others, and against a place that stays taken by the call without an answer.
#[tokio::test]
async fn a_request_is_asked_again_at_a_busy_dispatcher() {
    let [mut dispatcher, asker] = hosts(["dispatcher", "asker"]);
    // The engine has eight slots.
    let received = serve_slowly(&mut dispatcher, 7..8);
    let mut held = Vec::new();
    for _ in 0..7 {
        held.push(asker.dispatch.place(asker.query()).await);
    }
    let selection = place_beside_heartbeats(&asker).await;
    assert_eq!(placed_by(&selection), "dispatcher");
    let received = received.borrow().clone();
    let [unanswered, repeated] = received.requests[7..9] else {
        panic!("two calls for the last request");
    };
    assert_ne!(unanswered, repeated);
    assert_eq!(received.abandoned, [unanswered]);
    let metrics = metrics(&asker);
    assert!(metrics.contains("papayayard_dispatch_timeouts_total{dispatcher=\"busy\""));
    assert!(metrics.contains("papayayard_dispatch_repeats_total"));
}

/// Guards against requests that wait without a bound for a busy dispatcher, or are placed by a
/// host that does not know the load.
#[tokio::test]
async fn a_request_is_refused_as_not_run_at_a_dispatcher_that_stays_busy() {
    let [mut dispatcher, asker] = hosts(["dispatcher", "asker"]);
    let received = serve_slowly(&mut dispatcher, 1..3);
    let first = asker.dispatch.place(asker.query()).await;
    assert_eq!(placed_by(&first), "dispatcher");
    let selection = place_beside_heartbeats(&asker).await;
    let Selection::Refused {
        reason,
        retry_after,
        refused_by,
        ..
    } = selection
    else {
        panic!("placed by {}", placed_by(&selection));
    };
    assert_eq!(reason, Cause::BusyDispatcher);
    assert_eq!(refused_by, "dispatcher");
    assert!(!retry_after.is_zero() && retry_after < Duration::from_secs(1));
    assert_eq!(received.borrow().requests.len(), 3);
    assert!(metrics(&asker).contains("papayayard_busy_dispatcher_refusals_total"));
    // The dispatcher is kept.
    let selection = asker.dispatch.place(asker.query()).await;
    assert_eq!(placed_by(&selection), "dispatcher");
}

/// Guards against a frozen dispatcher that is kept like a busy one, and against a slow one beside
/// it that is left like a frozen one.
#[tokio::test]
async fn a_frozen_dispatcher_is_left_for_a_slow_one() {
    // The first host's connections are accepted by the system, and nothing is read from them.
    let [frozen, mut slow, asker] = hosts(["frozen", "slow", "asker"]);
    let now = slow.clock.now();
    slow.dispatch.failed(&frozen.local.host, "it is frozen");
    assert!(slow.dispatch.state().current(now).is_none());
    serve_slowly(&mut slow, 1..2);
    let selection = asker.dispatch.place(asker.query()).await;
    assert_eq!(placed_by(&selection), "slow");
    let metrics_text = metrics(&asker);
    assert!(metrics_text.contains("papayayard_dispatch_timeouts_total{dispatcher=\"gone\""));
    let selection = place_beside_heartbeats(&asker).await;
    assert_eq!(placed_by(&selection), "slow");
}

/// Guards against requests that wait for a dispatcher whose process has ended, and are refused
/// although this host could place them.
#[tokio::test]
async fn a_host_whose_dispatcher_was_killed_places_its_requests() {
    let [mut dispatcher, asker] = hosts(["dispatcher", "asker"]);
    drop(dispatcher.listener.take());
    let selection = asker.dispatch.place(asker.query()).await;
    assert_eq!(placed_by(&selection), "own");
    let address = (Ipv4Addr::LOCALHOST, dispatcher.address().port());
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}

/// Guards against outcomes that are lost with a call whose caller disconnects, so that their
/// places stay taken at the dispatcher.
#[tokio::test]
async fn outcomes_of_a_call_that_is_given_up_are_sent_again() {
    // The dispatcher's connections are accepted by the system, and nothing is read from them.
    let [_frozen, asker] = hosts(["frozen", "asker"]);
    let link = asker.dispatch.dispatcher().expect("a dispatcher");
    link.notify(1, Event::Whole);
    let call = link.send_heartbeat(true, asker.clock.now());
    assert!(time::timeout(PERIOD, call).await.is_err());
    assert!(link.has_notices());
}

/// Guards against streams that call a busy dispatcher ever more often as their deadlines near.
#[tokio::test]
async fn a_stream_that_goes_on_is_asked_again_after_a_minimum_delay() {
    let host = Host::new("host", 100);
    let mut query = host.query();
    query.software = Some(id::Software::from("v1"));
    let refused = retry::refused(Duration::ZERO, "dispatcher");
    let started_at = host.clock.now();
    assert!(retry::wait(&query, &refused, host.clock).await);
    assert!(host.clock.now() >= started_at + retry::MIN_DELAY);
    query.deadline = host.clock.now();
    assert!(!retry::wait(&query, &refused, host.clock).await);
}

/// Guards against a host that gets no room at endpoints with limits on refusals, since it has
/// outcomes for a dispatcher that was killed.
#[tokio::test]
async fn outcomes_for_a_killed_dispatcher_do_not_take_the_limits_of_its_host() {
    let [mut killed, asker] = hosts(["killed", "asker"]);
    drop(killed.listener.take());
    let link = asker.dispatch.dispatcher().expect("a dispatcher");
    link.notify(1, Event::Whole);
    let Selection::Placed(_, permit) = asker.dispatch.place(asker.query()).await else {
        panic!("the engine has room");
    };
    permit.set_refusal_limit(Rate::new(1.0).expect("a rate"));
    drop(permit);
    tokio::spawn(asker.dispatch.clone().report());
    let placed = async {
        while let Selection::Refused { .. } = asker.dispatch.place(asker.query()).await {
            time::sleep(PERIOD).await;
        }
    };
    let placed = time::timeout(TIMEOUT, placed).await;
    placed.expect("the host has all of the limit");
}
