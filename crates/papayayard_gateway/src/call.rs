//! HTTP calls to one address whose answers are small and read completely.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use papayayard_wire::status;
use snafu::{ResultExt, Snafu};
use tokio::time;

use crate::dial;

/// Maximum size of an endpoint's report.
pub(crate) const MAX_REPORT_BYTES: usize = 256 << 10;

/// Bounds of an answer, since the called side may send without end.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time until the answer is complete.
    pub time: Duration,
    /// Size of the body, in bytes.
    pub bytes: usize,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Reason why a call has no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("{address} cannot be reached: {source}; check the address and the network"))]
    Unreachable {
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection failed before the answer was complete, or the answer was too long or none.
    #[snafu(display("{address} gave no answer: {problem}; try again later"))]
    Disconnected {
        address: SocketAddr,
        /// Error of the connection.
        problem: String,
    },
    /// The deadline of the request passed before it was sent.
    #[snafu(display(
        "nothing was sent to {address}: the deadline of the request had passed; try again"
    ))]
    Withheld { address: SocketAddr },
    /// The answer was not complete in time.
    #[snafu(display("{address} did not answer in time; try again later"))]
    TimedOut { address: SocketAddr },
}

/// Calls one address and reuses the connection.
pub struct Caller {
    address: SocketAddr,
    idle: Option<dial::Connection>,
    /// Past of the connection of the newest call, before that call.
    past: Option<dial::Past>,
}

impl Caller {
    /// Creates a caller without a connection; [`Self::call`] connects.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: None,
            past: None,
        }
    }

    /// Sends a request and reads the complete answer.
    pub async fn call(
        &mut self,
        request: http::Request<Bytes>,
        bounds: Bounds,
    ) -> Result<Reply, Error> {
        let address = self.address;
        self.past = None;
        let mut connection = match self.idle.take().filter(dial::Connection::is_ready) {
            Some(connection) => connection,
            None => dial::connect(address)
                .await
                .context(UnreachableSnafu { address })?,
        };
        self.past = Some(connection.past());
        let reply = over(&mut connection, address, request, bounds).await?;
        self.idle = Some(connection);
        Ok(reply)
    }

    /// Closes the connection; the next call opens another one.
    pub(crate) fn disconnect(&mut self) {
        self.idle = None;
    }

    /// Whether the newest answer is not the first one on its connection, so that it may belong
    /// to an earlier call.
    pub(crate) fn is_reused(&self) -> bool {
        self.past.is_some_and(|past| past.answers > 0)
    }

    /// Past of the connection of the newest call, before that call, if there was one.
    pub(crate) const fn past(&self) -> Option<dial::Past> {
        self.past
    }
}

/// Sends a request over a new connection.
pub async fn once(
    address: SocketAddr,
    request: http::Request<Bytes>,
    bounds: Bounds,
) -> Result<Reply, Error> {
    Caller::new(address).call(request, bounds).await
}

/// Sends a request over an open connection to an address.
pub(crate) async fn over(
    connection: &mut dial::Connection,
    address: SocketAddr,
    request: http::Request<Bytes>,
    bounds: Bounds,
) -> Result<Reply, Error> {
    let request = prepare(request, address);
    let exchange = exchange(connection, request, bounds.bytes);
    match time::timeout(bounds.time, exchange).await {
        Err(_) => TimedOutSnafu { address }.fail(),
        Ok(Err(problem)) => DisconnectedSnafu { address, problem }.fail(),
        Ok(Ok(reply)) => Ok(reply),
    }
}

/// Sends a request that must not arrive late, over a new connection. `bounds` is called
/// just before the request is sent, and returns `None` if it must not be sent any more.
/// When the time for the answer is over, the connection is reset, so that unsent and
/// undelivered data is discarded.
pub(crate) async fn once_or_reset<ToBounds>(
    address: SocketAddr,
    request: http::Request<Bytes>,
    bounds: ToBounds,
) -> Result<Reply, Error>
where
    ToBounds: FnOnce() -> Option<Bounds>,
{
    let mut connection = dial::connect_for_reset(address)
        .await
        .context(UnreachableSnafu { address })?;
    let Some(bounds) = bounds() else {
        return WithheldSnafu { address }.fail();
    };
    let request = prepare(request, address);
    let exchange = exchange(&mut connection, request, bounds.bytes);
    match time::timeout(bounds.time, exchange).await {
        Err(_) => TimedOutSnafu { address }.fail(),
        Ok(Err(problem)) => DisconnectedSnafu { address, problem }.fail(),
        Ok(Ok(reply)) => Ok(reply),
    }
}

fn prepare(request: http::Request<Bytes>, address: SocketAddr) -> http::Request<Full<Bytes>> {
    let mut request = request.map(Full::new);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

async fn exchange(
    connection: &mut dial::Connection,
    request: http::Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<Reply, String> {
    let sent = connection.send(request).await;
    let response = sent.map_err(|error| error.into_error().to_string())?;
    let (head, body) = response.into_parts();
    if !status::is_final(head.status.as_u16()) {
        return Err(format!("no answer has the status {}", head.status.as_u16()));
    }
    let body = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    connection.settle();
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

#[cfg(test)]
#[path = "call_test.rs"]
mod test;
