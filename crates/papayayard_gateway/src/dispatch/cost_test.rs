//! Measures the processor time that a placement call costs a dispatcher, and what becomes of
//! calls in a burst. Not a check: it runs only if `MEASURE_DISPATCH` is set, in a release build with
//! `--nocapture`.

use std::collections::HashMap;
use std::env;
use std::fs;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use papayayard_coordination::dispatcher::ANSWER_TIMEOUT;
use papayayard_routing::placement::{Endpoint, Query};
use papayayard_wire::id;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time;

use super::message::{Answer, Call, Decision, Event, Notice, Request};
use super::test::Host;
use crate::peers;
use crate::schedule::Message;

/// Calls for each figure.
const CALLS: u64 = 4000;
/// Calls that are sent at once.
const CONCURRENT: u64 = 2;
/// Length of a burst, in seconds.
const BURST_SECONDS: u64 = 4;

fn runtime() -> Runtime {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime")
}

/// Processor time of this thread.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("the scheduler's times");
    let nanoseconds = text.split(' ').next().and_then(|text| text.parse().ok());
    Duration::from_nanos(nanoseconds.expect("a number"))
}

/// Call with a request, and with the outcome of an earlier one.
fn call(host: &Host, number: u64, has_request: bool) -> Call {
    let outcome = Notice {
        number: number.wrapping_sub(CONCURRENT),
        what: Event::Whole,
    };
    Call {
        host: "asker".to_owned(),
        run: 1,
        zone: "a".to_owned(),
        notices: vec![outcome],
        named: Vec::new(),
        named_refusals: Vec::new(),
        asked: Vec::new(),
        is_used: true,
        limits_revision: Some(0),
        quota: None,
        question: has_request.then(|| Request::new(number, &host.query(), host.clock.now())),
    }
}

fn report(what: &str, time: Duration) {
    let calls = u32::try_from(CALLS).expect("few calls");
    println!("{what}: {:.1} us", (time / calls).as_secs_f64() * 1e6);
}

/// Time of a dispatcher's thread while another thread calls it over a socket.
fn over_sockets(has_request: bool) -> Duration {
    let (addresses, address) = mpsc::channel();
    let (done, is_done) = oneshot::channel::<()>();
    let (begun, has_begun) = oneshot::channel::<()>();
    let dispatcher = thread::spawn(move || {
        runtime().block_on(async move {
            let mut host = Host::new("dispatcher", 300);
            host.set_neighbours(&[host.candidate()]);
            host.set_engine();
            host.serve();
            addresses.send(host.address()).expect("a caller");
            has_begun.await.expect("a caller");
            let start = processor_time();
            is_done.await.expect("a caller");
            processor_time().saturating_sub(start)
        })
    });
    let address = address.recv().expect("an address");
    runtime().block_on(async move {
        let host = Host::new("asker", 100);
        let client = peers::Client::with_timeout(address, ANSWER_TIMEOUT).expect("a client");
        let send = async |first: u64, number: u64| {
            for number in (first..first + number).step_by(2) {
                let [one, two] =
                    [number, number + 1].map(|number| call(&host, number, has_request));
                let timeout = ANSWER_TIMEOUT * 10;
                let (one, two) =
                    tokio::join!(client.dispatch(one, timeout), client.dispatch(two, timeout));
                one.and(two).expect("an answer");
            }
        };
        send(1, 200).await;
        begun.send(()).expect("a dispatcher");
        send(1001, CALLS).await;
        done.send(()).expect("a dispatcher");
    });
    dispatcher.join().expect("a dispatcher")
}

/// Time of the same calls without sockets and JSON.
fn in_process(has_request: bool) -> Duration {
    runtime().block_on(async {
        let host = Host::new("dispatcher", 300);
        host.set_neighbours(&[host.candidate()]);
        host.set_engine();
        let handler = host.dispatch.handler();
        let start = processor_time();
        for number in 1..=CALLS {
            let answer = handler.answer(call(&host, number, has_request)).await;
            black_box(answer.expect("an answer"));
        }
        processor_time().saturating_sub(start)
    })
}

/// Time to decode calls and encode answers.
fn json() -> Duration {
    let (text, answer) = runtime().block_on(async {
        let host = Host::new("dispatcher", 300);
        host.set_neighbours(&[host.candidate()]);
        host.set_engine();
        let call = call(&host, 1, true);
        let text = serde_json::to_string(&call).expect("a text");
        let answer = host.dispatch.handler().answer(call).await;
        (text, answer.expect("an answer"))
    });
    println!("bytes of a call: {}", text.len());
    let start = processor_time();
    for _ in 0..CALLS {
        let call: Call = serde_json::from_str(black_box(&text)).expect("a call");
        black_box(call);
        let answer: &Answer = black_box(&answer);
        black_box(serde_json::to_string(answer).expect("a text"));
    }
    processor_time().saturating_sub(start)
}

/// Lets a host list a number of engines with eight slots each.
fn set_engines(host: &Host, number: u16) {
    host.set_engine();
    let endpoints = (0..number).map(|index| Endpoint {
        id: id::Endpoint::from(format!("engines-{index}")),
        started: id::Incarnation(1),
        service: id::Service::from("engines"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, index + 1)),
        zone: host.local.zone.clone(),
        software: id::Software::from("v1"),
        slots: 8,
        weights: HashMap::from([(id::Model::from("m"), 1)]),
        leaving: false,
    });
    let message = Message::Endpoints(endpoints.collect());
    host.dispatch.0.schedule.send(message);
}

/// Calls of a burst, by what became of them.
#[derive(Debug, Default)]
struct Counts {
    placed: [u32; 3],
    refused: [u32; 3],
    undecided: [u32; 3],
    held: u32,
    timed_out: [u32; 3],
}

/// Sends calls of three priorities at a rate, and reports each outcome half a second later.
async fn send_burst(address: SocketAddr, per_second: u64) -> Counts {
    let client = Arc::new(peers::Client::with_timeout(address, ANSWER_TIMEOUT).expect("a client"));
    let mut tasks = JoinSet::new();
    let mut interval = time::interval(Duration::from_micros(1_000_000 / per_second));
    let host = Arc::new(Host::new("asker", 100));
    for number in 1..=per_second * BURST_SECONDS {
        interval.tick().await;
        let (client, host) = (Arc::clone(&client), Arc::clone(&host));
        tasks.spawn(async move {
            let priority = u8::try_from(number % 3).expect("a priority");
            let mut placement = call(&host, number, false);
            placement.notices.clear();
            let query = Query {
                priority,
                ..host.query()
            };
            placement.question = Some(Request::new(number, &query, host.clock.now()));
            let answer = client.dispatch(placement, ANSWER_TIMEOUT).await;
            let answer = answer.map(|answer| answer.decision);
            if matches!(answer, Ok(Some(Decision::Placed(_)))) {
                time::sleep(Duration::from_millis(500)).await;
            }
            let outcome = call(&host, number + CONCURRENT, false);
            if client.dispatch(outcome, ANSWER_TIMEOUT).await.is_err() {
                println!("an outcome was not taken in time");
            }
            (priority, answer)
        });
    }
    let mut counts = Counts::default();
    while let Some(done) = tasks.join_next().await {
        let (priority, answer) = done.expect("a call");
        let priority = usize::from(priority);
        match answer {
            Ok(Some(Decision::Placed(_))) => counts.placed[priority] += 1,
            Ok(Some(Decision::Refused(refusal))) if refusal.is_undecided() => {
                counts.undecided[priority] += 1;
            }
            Ok(Some(Decision::Refused(_))) => counts.refused[priority] += 1,
            Ok(None) => counts.held += 1,
            Err(_) => counts.timed_out[priority] += 1,
        }
    }
    counts
}

fn is_asked() -> bool {
    env::var_os("MEASURE_DISPATCH").is_some()
}

#[test]
fn calls_of_a_burst() {
    if !is_asked() {
        return;
    }
    for per_second in [1000, 2000, 4000] {
        let (addresses, address) = mpsc::channel();
        let (done, is_done) = oneshot::channel::<()>();
        let dispatcher = thread::spawn(move || {
            runtime().block_on(async move {
                let mut host = Host::new("dispatcher", 300);
                host.set_neighbours(&[host.candidate()]);
                set_engines(&host, 64);
                host.serve();
                addresses.send(host.address()).expect("a caller");
                let start = processor_time();
                is_done.await.expect("a caller");
                processor_time().saturating_sub(start)
            })
        });
        let address = address.recv().expect("an address");
        let counts = runtime().block_on(send_burst(address, per_second));
        done.send(()).expect("a dispatcher");
        let time = dispatcher.join().expect("a dispatcher");
        println!("{per_second} a second: {counts:?}, {time:?} of processor time");
    }
}

#[test]
fn cost_of_a_call() {
    if !is_asked() {
        return;
    }
    for _ in 0..3 {
        report("JSON of a call and its answer", json());
        report("heartbeat without sockets and JSON", in_process(false));
        report("placement without sockets and JSON", in_process(true));
        report("heartbeat over sockets", over_sockets(false));
        report("placement over sockets", over_sockets(true));
    }
}
