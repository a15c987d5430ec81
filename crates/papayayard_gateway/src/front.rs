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

mod uses;

use uses::Uses;

/// Most open connections from callers.
const MOST_CONNECTIONS: usize = 2500;
/// Least size of a connection's buffer, which the HTTP library asks for.
const LEAST_BUFFER: usize = 8 << 10;
/// Longest time that a connection may be idle under any configuration.
const LONGEST_IDLE: Duration = Duration::from_hours(1);
/// Pause after the system could not accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// How far a stop has come, and its times once there is one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) stage: Stage,
    pub(crate) shutdown: Option<Shutdown>,
}

impl Progress {
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
    mut progress: watch::Receiver<Progress>,
    open: TaskTracker,
) where
    Platform: Codec,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = reached(&mut progress, Stage::Closed) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "a connection cannot be accepted");
                time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        if open.len() >= MOST_CONNECTIONS {
            log::warn!(open = open.len(); "too many connections; one is closed");
            continue;
        }
        open.spawn(connection(stream, relay.clone(), progress.clone()));
    }
}

async fn connection<Platform>(
    stream: TcpStream,
    relay: Relay<Platform>,
    mut progress: watch::Receiver<Progress>,
) where
    Platform: Codec,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "a caller has left at once");
        return;
    }
    let limits = relay.limits();
    let seen = progress.clone();
    let uses = Uses::default();
    let watched = uses.clone();
    let served = relay.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let relay = served.clone();
        let seen = seen.clone();
        let current = uses.begin();
        async move {
            let response = relay.serve(request).await;
            let stage = seen.borrow().stage;
            let response = mark(response, stage).map(|body| uses::Body::new(body, current));
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(LONGEST_IDLE)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let outcome = tokio::select! {
        // A request that has arrived is taken before the connection is closed.
        biased;
        outcome = connection.as_mut() => outcome,
        () = reached(&mut progress, Stage::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
        () = idle(&relay, &watched) => {
            connection.as_mut().graceful_shutdown();
            // A request that had begun to come has as long again.
            let again = async {
                time::sleep(relay.limits().idle).await;
                idle(&relay, &watched).await;
            };
            tokio::select! {
                biased;
                outcome = connection.as_mut() => outcome,
                () = again => return,
            }
        }
    };
    if let Err(error) = outcome {
        log::debug!(error:%; "a caller's connection ended");
    }
}

/// Waits until a connection was idle for as long as it may be by now.
async fn idle<Platform>(relay: &Relay<Platform>, uses: &Uses)
where
    Platform: Codec,
{
    loop {
        let limit = relay.limits().idle;
        let left = match uses.idle_for() {
            None => limit,
            Some(time) if time >= limit => return,
            Some(time) => limit.saturating_sub(time),
        };
        time::sleep(left).await;
    }
}

/// Waits for a stage of the stop; the end of the host is the last one.
async fn reached(progress: &mut watch::Receiver<Progress>, wanted: Stage) {
    if progress
        .wait_for(|progress| progress.stage >= wanted)
        .await
        .is_err()
    {
        log::debug!("the host has ended");
    }
}

/// Asks the caller to close where the host is about to stop.
fn mark(mut response: Response<Body>, stage: Stage) -> Response<Body> {
    if stage > Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
