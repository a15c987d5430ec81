//! Small calls to one address, whose answers are read whole.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use snafu::{ResultExt, Snafu};
use tokio::time;

use crate::dial;

/// What an answer may take; whoever is asked may send without end.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time until the whole answer is there.
    pub time: Duration,
    /// Bytes of its body.
    pub bytes: usize,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection; nothing was sent.
    #[snafu(display("{address} cannot be reached: {source}; check the address and the network"))]
    Unreachable {
        /// Address.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The connection ended before the answer.
    #[snafu(display("{address} gave no answer: {problem}; try again later"))]
    Lost {
        /// Address.
        address: SocketAddr,
        /// What the connection reported.
        problem: String,
    },
    /// The time for the request was over before it was sent.
    #[snafu(display("nothing was sent to {address}: its time was over; try again"))]
    Withheld {
        /// Address.
        address: SocketAddr,
    },
    /// The answer did not come in time.
    #[snafu(display("{address} did not answer in time; try again later"))]
    Late {
        /// Address.
        address: SocketAddr,
    },
}

/// Calls to one address over a kept connection.
pub struct Caller {
    address: SocketAddr,
    kept: Option<dial::Connection>,
}

impl Caller {
    /// A caller without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            kept: None,
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &mut self,
        request: http::Request<Bytes>,
        bounds: Bounds,
    ) -> Result<Reply, Error> {
        let address = self.address;
        let mut connection = match self.kept.take().filter(dial::Connection::is_ready) {
            Some(kept) => kept,
            None => dial::connect(address)
                .await
                .context(UnreachableSnafu { address })?,
        };
        let request = prepare(request, address);
        let exchange = exchange(&mut connection, request, bounds.bytes);
        let outcome = time::timeout(bounds.time, exchange).await;
        let reply = match outcome {
            Err(_) => return LateSnafu { address }.fail(),
            Ok(Err(problem)) => return LostSnafu { address, problem }.fail(),
            Ok(Ok(reply)) => reply,
        };
        self.kept = Some(connection);
        Ok(reply)
    }
}

/// Sends a request over a connection of its own.
pub async fn once(
    address: SocketAddr,
    request: http::Request<Bytes>,
    bounds: Bounds,
) -> Result<Reply, Error> {
    Caller::new(address).call(request, bounds).await
}

/// Sends a request, over a connection of its own, that must not arrive late.
/// `bounds` is asked just before the sending, and gives `None` where nothing may
/// be sent any more. After the time for the answer the connection is reset, so
/// that what is on its way is lost.
pub(crate) async fn punctual<Bounded>(
    address: SocketAddr,
    request: http::Request<Bytes>,
    bounds: Bounded,
) -> Result<Reply, Error>
where
    Bounded: FnOnce() -> Option<Bounds>,
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
        Err(_) => LateSnafu { address }.fail(),
        Ok(Err(problem)) => LostSnafu { address, problem }.fail(),
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
    most_bytes: usize,
) -> Result<Reply, String> {
    let sent = connection.send(request).await;
    let response = sent.map_err(|error| error.into_error().to_string())?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, most_bytes)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    Ok(Reply {
        status: head.status,
        body: body.to_bytes(),
    })
}

#[cfg(test)]
#[path = "call_test.rs"]
mod test;
