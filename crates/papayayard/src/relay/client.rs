//! HTTP client for endpoints.
//!
//! A connection goes back to the pool only after its answer has been read to
//! the end, so an abandoned exchange closes its connection. One that gave
//! another request's answer still owes its own, and is not used again. Nor is
//! one that gave a refusal: the endpoint may send a copy of it, which could not
//! be told from the answer to the same request. An answer with a status that no answer has is a
//! broken one, after which the request may have run.
//!
//! Each answer is marked as the first on its connection or as a later one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use papayayard_routing::retry;
use papayayard_wire::{header, id, status};
use tokio::time;

use crate::relay::connector::{self, Connector};

/// Time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of all endpoints.
#[derive(Clone)]
pub(crate) struct Client {
    host: Option<HeaderValue>,
    inner: legacy::Client<Connector, Full<Bytes>>,
}

/// What is sent.
pub(crate) struct Outgoing<'a> {
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
    /// Method.
    pub(crate) method: Method,
    /// Path with its query.
    pub(crate) path: &'a str,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing was sent.
    Unreachable,
    /// The endpoint refused the request and did not run it.
    Refused,
    /// The request was sent, at least in part.
    Broken,
    /// The answer belongs to another request or another run.
    Mismatched,
    /// The status means that the request did not run, but the endpoint does not state it.
    Unconfirmed,
    /// The endpoint was reported lost while the request ran there.
    Lost,
    /// The answer took too long.
    TimedOut,
}

impl Failure {
    /// Whether the request may have run.
    pub(crate) const fn may_have_run(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Refused)
    }

    /// Name of the retry that follows, in metrics.
    pub(crate) const fn reason(self) -> retry::Reason {
        match self {
            Self::Unreachable => retry::Reason::Unreachable,
            Self::Refused => retry::Reason::Refused,
            Self::Broken => retry::Reason::Broken,
            Self::Mismatched => retry::Reason::Mismatched,
            Self::Unconfirmed => retry::Reason::Unconfirmed,
            Self::Lost => retry::Reason::Crashed,
            Self::TimedOut => retry::Reason::TimedOut,
        }
    }
}

impl Client {
    /// Makes the client of a host, which names itself to endpoints.
    pub(crate) fn new(host: &id::Host) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(Connector(connector));
        Self {
            host: HeaderValue::from_str(host.as_str()).ok(),
            inner,
        }
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        outgoing: Outgoing<'_>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        let uri = format!("http://{}{}", outgoing.address, outgoing.path)
            .parse::<http::Uri>()
            .map_err(|_| Failure::Unreachable)?;
        let mut request = Request::new(Full::new(outgoing.body));
        *request.method_mut() = outgoing.method;
        *request.uri_mut() = uri;
        *request.headers_mut() = outgoing.headers;
        if let Some(host) = &self.host {
            request.headers_mut().insert(header::HOST_ID, host.clone());
        }
        let connection = capture_connection(&mut request);
        match time::timeout(timeout, self.inner.request(request)).await {
            Ok(Ok(mut response)) => {
                let history = response.extensions_mut().remove::<connector::History>();
                let is_first = history.is_some_and(|history| history.record());
                response.extensions_mut().insert(First(is_first));
                response.extensions_mut().insert(connection);
                check_status(&response)?;
                Ok(response)
            }
            Ok(Err(error)) if error.is_connect() => Err(Failure::Unreachable),
            Ok(Err(_)) => Err(Failure::Broken),
            Err(_) => Err(Failure::TimedOut),
        }
    }
}

/// Whether an answer is the first on its connection.
#[derive(Clone, Copy)]
struct First(bool);

/// Whether an answer is the first on its connection.
pub(crate) fn is_first(response: &Response<Incoming>) -> bool {
    let first = response.extensions().get::<First>();
    first.is_some_and(|first| first.0)
}

/// Takes the connection out of use and returns an error if no answer has the status.
fn check_status(response: &Response<Incoming>) -> Result<(), Failure> {
    let status = response.status().as_u16();
    if status::is_final(status) {
        return Ok(());
    }
    log::warn!(status; "response has a status that no answer has");
    retire(response);
    Err(Failure::Broken)
}

/// Takes the connection of another request's answer out of use.
pub(crate) fn reject(response: &Response<Incoming>) -> Failure {
    retire(response);
    Failure::Mismatched
}

/// Takes the connection of an answer out of use.
pub(crate) fn retire(response: &Response<Incoming>) {
    let connection = response.extensions().get::<CaptureConnection>();
    if let Some(connection) = connection
        && let Some(connected) = connection.connection_metadata().as_ref()
    {
        connected.poison();
    }
}
