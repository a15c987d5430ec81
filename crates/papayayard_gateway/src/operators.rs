//! HTTP listener for operators: readiness, metrics and a short status.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use papayayard_coordination::shutdown::Stage;
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::beliefs::{Configuration, LastRead};
use crate::body::Body;
use crate::clock::Clock;
use crate::front::StopState;
use crate::metrics::Metrics;
use crate::{quota, uplink};

/// Timeout for an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// State exposed to operators.
#[derive(Clone)]
pub(crate) struct View {
    pub(crate) host: id::Host,
    pub(crate) zone: id::Zone,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) stop_state: watch::Receiver<StopState>,
    pub(crate) configuration: watch::Receiver<Configuration>,
    pub(crate) endpoints: watch::Receiver<Vec<Endpoint>>,
    pub(crate) hosts: watch::Receiver<usize>,
    pub(crate) last_read: watch::Receiver<LastRead>,
    /// Maximum age of the last reading at which requests with a key are still accepted.
    pub(crate) revocation: Option<Duration>,
    pub(crate) uplink: uplink::Handle,
    /// Quotas of client accounts.
    pub(crate) quota: quota::Handle,
}

#[derive(Serialize)]
struct Status {
    host: String,
    zone: String,
    ready: bool,
    revision: Option<u64>,
    endpoints: usize,
    hosts: usize,
    word_age_ms: Option<u64>,
    /// Whether the host reaches no endpoint.
    detached: bool,
}

impl View {
    /// Whether callers should send requests to this host.
    fn is_ready(&self) -> bool {
        let is_serving = self.stop_state.borrow().stage == Stage::Serving;
        let knows_routes = self.configuration.borrow().table.is_some();
        let knows_endpoints = !self.endpoints.borrow().is_empty();
        let is_current = self
            .revocation
            .is_none_or(|bound| self.last_read_age().is_some_and(|age| age < bound));
        let can_charge = self.quota.is_ready();
        is_serving && knows_routes && knows_endpoints && is_current && can_charge
    }

    fn last_read_age(&self) -> Option<Duration> {
        let requested_at = (*self.last_read.borrow())?;
        Some(self.clock.now().saturating_sub(requested_at))
    }

    fn answer(&self, method: &Method, path: &str) -> Response<Body> {
        if method != Method::GET {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here");
        }
        match path {
            "/readyz" if self.is_ready() => text(StatusCode::OK, "ready"),
            "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            "/metrics" => text(StatusCode::OK, self.metrics.text()),
            "/status" => self.status(),
            _ => text(
                StatusCode::NOT_FOUND,
                "ask for /readyz, /metrics or /status",
            ),
        }
    }

    fn status(&self) -> Response<Body> {
        let configuration = self.configuration.borrow();
        let status = Status {
            host: self.host.to_string(),
            zone: self.zone.to_string(),
            ready: self.is_ready(),
            revision: configuration.table.as_ref().map(|table| table.revision.0),
            endpoints: self.endpoints.borrow().len(),
            hosts: *self.hosts.borrow(),
            word_age_ms: self
                .last_read_age()
                .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            detached: self.uplink.is_detached(),
        };
        match serde_json::to_vec(&status) {
            Ok(body) => text(StatusCode::OK, body),
            Err(error) => {
                log::error!(error:%; "the status cannot be encoded");
                text(StatusCode::INTERNAL_SERVER_ERROR, "see the log")
            }
        }
    }
}

/// Serves operators for as long as the process runs.
pub(crate) async fn serve(listener: TcpListener, view: View) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "cannot accept an operator's connection");
                continue;
            }
        };
        let view = view.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = view.answer(request.method(), request.uri().path());
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "an operator's connection failed");
            }
        });
    }
}

fn text<Text>(status: StatusCode, body: Text) -> Response<Body>
where
    Text: Into<Bytes>,
{
    let mut response = Response::new(Body::Whole(body.into()));
    *response.status_mut() = status;
    response
}
