//! The callers' listener and its planned stop.
//!
//! A stop takes steps, so that no request is lost: first the host says that it
//! is not ready, while it goes on serving and asks each caller to close; then
//! it closes idle connections; then it takes no new ones and waits for those
//! that are at work.
//!
//! Callers reuse a connection within the idle time of the newest configuration, also
//! one that they opened under another, so that the time is looked up when a connection
//! would be closed and not when it was opened.

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
use crate::relay::Relay;

mod activity;

use activity::Activity;

/// Most open connections from callers.
const MAX_CONNECTIONS: usize = 2500;
/// Least size of a connection's buffer, which the HTTP library asks for.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Longest time that a connection may be idle under any configuration.
const MAX_IDLE: Duration = Duration::from_hours(1);
/// Pause after the system could not accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How far a stop has come, and its times once there is one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopState {
    pub(crate) stage: Stage,
    pub(crate) shutdown: Option<Shutdown>,
}

impl StopState {
    /// No stop was asked for.
    pub(crate) const SERVING: Self = Self {
        stage: Stage::Serving,
        shutdown: None,
    };
}

/// Accepts callers until the last stage of a stop.
pub(crate) async fn serve<Platform>(
    listener: TcpListener,
    relay: Relay<Platform>,
    mut stop: watch::Receiver<StopState>,
    open: TaskTracker,
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
                log::warn!(error:%; "a connection cannot be accepted");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.len() >= MAX_CONNECTIONS {
            log::warn!(open = open.len(); "too many connections; one is closed");
            continue;
        }
        open.spawn(connection(stream, relay.clone(), stop.clone()));
    }
}

async fn connection<Platform>(
    stream: TcpStream,
    relay: Relay<Platform>,
    mut stop: watch::Receiver<StopState>,
) where
    Platform: Codec,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "a caller has left at once");
        return;
    }
    let limits = relay.limits();
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
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let outcome = tokio::select! {
        // A request that has arrived is taken before the connection is closed.
        biased;
        outcome = connection.as_mut() => outcome,
        () = wait_for_stage(&mut stop, Stage::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
        () = wait_until_idle(&relay, &activity) => {
            connection.as_mut().graceful_shutdown();
            // A request that had begun to come has as long second_period.
            let second_period = async {
                time::sleep(relay.limits().idle).await;
                wait_until_idle(&relay, &activity).await;
            };
            tokio::select! {
                biased;
                outcome = connection.as_mut() => outcome,
                () = second_period => return,
            }
        }
    };
    if let Err(error) = outcome {
        log::debug!(error:%; "a caller's connection ended");
    }
}

/// Waits until a connection was idle for as long as it may be by now.
async fn wait_until_idle<Platform>(relay: &Relay<Platform>, activity: &Activity)
where
    Platform: Codec,
{
    loop {
        let limit = relay.limits().idle;
        let left = match activity.idle_for() {
            None => limit,
            Some(time) if time >= limit => return,
            Some(time) => limit.saturating_sub(time),
        };
        time::sleep(left).await;
    }
}

/// Waits for a stage of the stop; the end of the host is the last one.
async fn wait_for_stage(stop: &mut watch::Receiver<StopState>, stage: Stage) {
    if stop.wait_for(|stop| stop.stage >= stage).await.is_err() {
        log::debug!("the host has ended");
    }
}

/// Asks the caller to close where the host is about to stop.
fn request_close(mut response: Response<Body>, stage: Stage) -> Response<Body> {
    if stage > Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
