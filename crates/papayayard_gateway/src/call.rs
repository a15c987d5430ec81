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

/// Most bytes of an answer; a page of the store has at most two megabytes.
const ANSWER_BYTES: usize = 8 << 20;

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
        timeout: Duration,
    ) -> Result<Reply, Error> {
        let address = self.address;
        let mut connection = match self.kept.take().filter(|kept| kept.sender.is_ready()) {
            Some(kept) => kept,
            None => dial::connect(address)
                .await
                .context(UnreachableSnafu { address })?,
        };
        let request = prepare(request, address);
        let outcome = time::timeout(timeout, exchange(&mut connection, request)).await;
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
    timeout: Duration,
) -> Result<Reply, Error> {
    Caller::new(address).call(request, timeout).await
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
) -> Result<Reply, String> {
    let response = connection
        .sender
        .send_request(request)
        .await
        .map_err(|error| error.to_string())?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    Ok(Reply {
        status: head.status,
        body: body.to_bytes(),
    })
}
