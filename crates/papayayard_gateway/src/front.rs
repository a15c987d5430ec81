//! The listener for callers, the one for requests that other hosts pass on, and their planned
//! stop.
//!
//! A stop proceeds in stages, so that no request is lost: first the host reports that it
//! is not ready, while it continues to serve and asks each caller to close its connection;
//! then it closes idle connections; then it accepts no new ones and waits for those in use.
//!
//! Callers apply the idle time of the newest configuration that they know to all connections,
//! also to those opened under an older one. A change of the idle time is therefore applied to
//! open connections.

use std::convert::Infallible;
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use papayayard_coordination::shutdown::{Shutdown, Stage};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::body::Body;
use crate::exchange::Codec;
use crate::refusal::millis;
use crate::relay::{Relay, Source};

mod activity;
mod idle;

use activity::Activity;

/// Maximum open connections from callers.
const MAX_CONNECTIONS: usize = 2500;
/// Minimum buffer size that the HTTP library requires.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Bytes by which the head of a request may grow when a host passes it on.
const FORWARDED_HEAD_BYTES: usize = 1 << 10;
/// Maximum idle time of a connection under any configuration.
const MAX_IDLE: Duration = Duration::from_hours(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Stage of the planned stop, and its schedule once a stop was requested.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopState {
    pub(crate) stage: Stage,
    pub(crate) shutdown: Option<Shutdown>,
}

impl StopState {
    /// No stop was requested.
    pub(crate) const SERVING: Self = Self {
        stage: Stage::Serving,
        shutdown: None,
    };
}

/// Serves connections until the last stage of a stop. A configuration is known everywhere
/// within `bound`.
pub(crate) async fn serve<Platform>(
    listener: TcpListener,
    relay: Relay<Platform>,
    stop: watch::Receiver<StopState>,
    open: TaskTracker,
    bound: Duration,
) where
    Platform: Codec,
{
    let configuration = relay.configuration.clone();
    let (limit, current_limit) = watch::channel(relay.limits().idle);
    tokio::select! {
        () = accept(listener, relay, stop, open, current_limit) => {}
        () = idle::follow(configuration, bound, limit) => {}
    }
}

async fn accept<Platform>(
    listener: TcpListener,
    relay: Relay<Platform>,
    mut stop: watch::Receiver<StopState>,
    open: TaskTracker,
    idle_limit: watch::Receiver<Duration>,
) where
    Platform: Codec,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stage(&mut stop, Stage::Closed) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "cannot accept a connection");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.len() >= MAX_CONNECTIONS {
            log::warn!(open = open.len(); "too many open connections; closing a new one");
            continue;
        }
        let idle_limit = idle_limit.clone();
        open.spawn(connection(stream, relay.clone(), stop.clone(), idle_limit));
    }
}

async fn connection<Platform>(
    stream: TcpStream,
    relay: Relay<Platform>,
    mut stop: watch::Receiver<StopState>,
    mut idle_limit: watch::Receiver<Duration>,
) where
    Platform: Codec,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "caller disconnected before the connection was set up");
        return;
    }
    let max_head = match relay.source {
        Source::Callers => relay.limits().header_bytes,
        Source::Hosts => relay.limits().header_bytes + FORWARDED_HEAD_BYTES,
    };
    let current_stop = stop.clone();
    let activity = Activity::default();
    let request_activity = activity.clone();
    let service_relay = relay.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let relay = service_relay.clone();
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
        .timer(TokioTimer::new())
        .header_read_timeout(MAX_IDLE)
        .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let outcome = tokio::select! {
        // Serve a request that has arrived before closing the connection.
        biased;
        outcome = connection.as_mut() => outcome,
        () = wait_for_stage(&mut stop, Stage::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
        () = wait_until_idle(&mut idle_limit, &activity) => {
            log_close(&idle_limit, &activity, "closing an idle connection of a caller");
            connection.as_mut().graceful_shutdown();
            // A request that has begun to arrive gets a second idle period.
            let second_period = async {
                let limit = *idle_limit.borrow();
                time::sleep(limit).await;
                wait_until_idle(&mut idle_limit, &activity).await;
            };
            tokio::select! {
                biased;
                outcome = connection.as_mut() => outcome,
                () = second_period => {
                    log_close(&idle_limit, &activity, "closing a connection on which a request does not arrive");
                    return;
                }
            }
        }
    };
    if let Err(error) = outcome {
        log::debug!(error:%; "caller's connection failed");
    }
}

/// Waits until a connection was idle for the time that callers may count on.
async fn wait_until_idle(idle_limit: &mut watch::Receiver<Duration>, activity: &Activity) {
    loop {
        let limit = *idle_limit.borrow_and_update();
        let remaining = match activity.idle_for() {
            None => limit,
            Some(time) if time >= limit => return,
            Some(time) => limit.saturating_sub(time),
        };
        tokio::select! {
            () = time::sleep(remaining) => {}
            Ok(()) = idle_limit.changed() => {}
        }
    }
}

/// Logs that a connection is closed, how long it was idle and for how long it might have been.
fn log_close(idle_limit: &watch::Receiver<Duration>, activity: &Activity, message: &str) {
    let idle = activity.idle_for().unwrap_or_default();
    log::info!(idle_ms = millis(idle), limit_ms = millis(*idle_limit.borrow()); "{message}");
}

/// Waits for a stage of the stop. The end of the host counts as the last stage.
async fn wait_for_stage(stop: &mut watch::Receiver<StopState>, stage: Stage) {
    if stop.wait_for(|stop| stop.stage >= stage).await.is_err() {
        log::debug!("the host has stopped");
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
