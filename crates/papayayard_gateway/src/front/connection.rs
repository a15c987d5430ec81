//! Serves a caller's connection until one of both sides closes it.
//!
//! A connection is closed while no request is on it: neither one that is served, nor one whose
//! head is arriving, unless that takes longer than callers may take, nor one whose answer the
//! caller is still taking.

use std::convert::Infallible;
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use papayayard_coordination::shutdown::Stage;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use super::activity::{self, Activity, Phase};
use super::periods::Periods;
use super::stream::Stream;
use super::{StopState, wait_for_stage};
use crate::body::Body;
use crate::exchange::Codec;
use crate::refusal::millis;
use crate::relay::{Relay, Source};

/// Minimum buffer size that the HTTP library requires.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Bytes by which the head of a request may grow when a host passes it on.
const FORWARDED_HEAD_BYTES: usize = 1 << 10;
/// Maximum time for which a caller takes nothing of an answer.
const MAX_STALL: Duration = Duration::from_secs(30);
/// Minimum pause between two looks at a connection.
const MIN_PAUSE: Duration = Duration::from_millis(10);

pub(super) async fn serve<Platform>(
    stream: TcpStream,
    relay: Relay<Platform>,
    mut stop: watch::Receiver<StopState>,
    mut periods: watch::Receiver<Periods>,
) where
    Platform: Codec,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "caller disconnected before the connection was set up");
        return;
    }
    let max_head = max_head(&relay);
    let current_stop = stop.clone();
    let activity = Activity::default();
    let request_activity = activity.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let relay = relay.clone();
        let current_stop = current_stop.clone();
        let active_request = request_activity.begin_request();
        async move {
            let response = relay.serve(request).await;
            let stage = current_stop.borrow().stage;
            let response = request_close(response, stage)
                .map(|body| activity::Body::new(body, active_request));
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(Stream::new(stream, activity.clone())), service);
    tokio::pin!(connection);
    tokio::select! {
        // Serve a request that has arrived before closing the connection.
        biased;
        outcome = connection.as_mut() => if let Err(error) = outcome {
            log::debug!(error:%; "caller's connection failed");
        },
        () = wait_until_unused(&mut periods, &mut stop, &activity) => {}
    }
}

/// Maximum bytes of a request's head.
fn max_head<Platform>(relay: &Relay<Platform>) -> usize
where
    Platform: Codec,
{
    match relay.source {
        Source::Callers => relay.limits().header_bytes,
        Source::Hosts => relay.limits().header_bytes + FORWARDED_HEAD_BYTES,
    }
}

/// Waits until a connection has served no request for as long as callers may count on, or for
/// a shorter time if the host stops.
async fn wait_until_unused(
    periods: &mut watch::Receiver<Periods>,
    stop: &mut watch::Receiver<StopState>,
    activity: &Activity,
) {
    tokio::select! {
        () = wait_until_unused_in(Stage::Serving, periods, activity) => return,
        () = wait_for_stage(stop, Stage::Closing) => {}
    }
    wait_until_unused_in(Stage::Closing, periods, activity).await;
}

async fn wait_until_unused_in(
    stage: Stage,
    periods: &mut watch::Receiver<Periods>,
    activity: &Activity,
) {
    loop {
        let phase = activity.phase();
        let current = periods.borrow_and_update().in_stage(stage);
        let left = left(phase, current);
        if left.is_some_and(|left| left.is_zero()) {
            return log_close(phase, current, stage);
        }
        // A phase may end sooner, and an idle one begin.
        let pause = left.map_or(current.idle, |left| left.min(current.idle));
        tokio::select! {
            () = time::sleep(pause.max(MIN_PAUSE)) => {}
            Ok(()) = periods.changed() => {}
        }
    }
}

/// Time until a connection is to be closed; `None` while it serves a request.
fn left(phase: Phase, periods: Periods) -> Option<Duration> {
    let (time, limit) = match phase {
        Phase::Serving => return None,
        Phase::Sending(time) => (time, MAX_STALL),
        // What arrived may also be the rest of a body that was not read.
        Phase::Arriving(time) => (time, periods.head.max(periods.idle)),
        Phase::Idle(time) => (time, periods.idle),
    };
    Some(limit.saturating_sub(time))
}

/// Logs why a connection is closed, and for how long it might have been without a request.
fn log_close(phase: Phase, Periods { idle, head }: Periods, stage: Stage) {
    let (idle, head) = (millis(idle), millis(head));
    let is_stopping = stage >= Stage::Closing;
    match phase {
        Phase::Idle(time) => {
            log::info!(
                idle_ms = millis(time), limit_ms = idle, is_stopping;
                "closing an idle connection of a caller"
            );
        }
        Phase::Arriving(time) => {
            log::info!(
                head_ms = millis(time), limit_ms = head.max(idle), is_stopping;
                "closing a connection on which a request does not arrive"
            );
        }
        Phase::Sending(time) => {
            log::info!(
                stalled_ms = millis(time), limit_ms = millis(MAX_STALL), is_stopping;
                "closing a connection whose caller does not take an answer"
            );
        }
        Phase::Serving => {}
    }
}

/// Asks the caller to close the connection if a stop is in progress.
fn request_close(mut response: Response<Body>, stage: Stage) -> Response<Body> {
    if stage > Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
