//! Measures the processor time that a placement call costs a dispatcher. Not a check: run it in a
//! release build with `--ignored --nocapture`.

use std::fs;
use std::hint::black_box;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use papayayard_coordination::dispatcher::ANSWER_TIMEOUT;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

use super::message::{Answer, Call, Event, Notice, Request};
use super::test::Host;
use crate::peers;

/// Calls for each figure.
const CALLS: u64 = 4000;
/// Calls that are sent at once.
const CONCURRENT: u64 = 2;

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

#[test]
#[ignore = "a measurement, not a check"]
fn cost_of_a_call() {
    for _ in 0..3 {
        report("JSON of a call and its answer", json());
        report("heartbeat without sockets and JSON", in_process(false));
        report("placement without sockets and JSON", in_process(true));
        report("heartbeat over sockets", over_sockets(false));
        report("placement over sockets", over_sockets(true));
    }
}
