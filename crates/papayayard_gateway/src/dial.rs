//! Opens HTTP/1 connections to endpoints and to the platform.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use crate::acknowledgement;
use crate::held;
use crate::meter::Meter;
use crate::socket::{Bounds, Pending, Socket};

/// Timeout for opening a connection: many round trips between zones, but a small part of
/// the time in which an answer is due.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a connection with unacknowledged data is closed if a request can be sent
/// elsewhere; a lost packet is retransmitted well within this time.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// The same time if it cannot: a sound endpoint may acknowledge nothing for 1.5 s, and data is
/// sent again at intervals that double, the last one 3 s after the first.
const LONG_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3500);
/// Maximum number of bytes read until the head of an answer is complete, including interim
/// responses.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// When a connection was opened, and what it has transmitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Past {
    pub(crate) opened: Instant,
    /// Number of answers received.
    pub(crate) answers: u32,
}

/// A connection to one address. Dropping it closes the socket, or resets it unless the answer to
/// its last request was read to the end.
pub(crate) struct Connection {
    /// Sends one request at a time.
    sender: SendRequest<held::Body>,
    past: Past,
    bounds: Bounds,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Sends a request and waits for the head of the answer, which is limited to
    /// [`MAX_HEAD_BYTES`].
    pub(crate) async fn send<Content>(
        &mut self,
        request: Request<Content>,
    ) -> Result<Response<Incoming>, TrySendError<Request<held::Body>>>
    where
        Content: Into<held::Body>,
    {
        self.bounds.meter.allow(MAX_HEAD_BYTES);
        self.bounds.pending.set(true);
        let request = request.map(Content::into);
        let response = self.sender.try_send_request(request).await?;
        self.bounds.meter.allow_all();
        self.past.answers += 1;
        Ok(response)
    }

    /// Tells that the newest answer was read to its end.
    pub(crate) fn settle(&self) {
        self.bounds.pending.set(false);
    }

    pub(crate) const fn past(&self) -> Past {
        self.past
    }

    /// Sets how long the next request may stay unacknowledged, which depends on whether it may
    /// be sent elsewhere then.
    pub(crate) fn bound_unacknowledged(&self, may_repeat: bool) {
        self.bounds.unacknowledged.set(if may_repeat {
            UNACKNOWLEDGED_TIMEOUT
        } else {
            LONG_UNACKNOWLEDGED_TIMEOUT
        });
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    handshake(open(address).await?).await
}

/// Opens a connection that is also reset when the process ends, so that data sent on it does not
/// arrive afterwards.
pub(crate) async fn connect_for_reset(address: SocketAddr) -> io::Result<Connection> {
    let stream = open(address).await?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    handshake(stream).await
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn handshake(stream: TcpStream) -> io::Result<Connection> {
    let address = stream.peer_addr()?;
    let opened = Instant::now();
    let bounds = Bounds {
        meter: Meter::default(),
        unacknowledged: acknowledgement::Timeout::new(UNACKNOWLEDGED_TIMEOUT),
        pending: Pending::default(),
    };
    let pending = bounds.pending.clone();
    let socket = Socket::new(stream, bounds.clone());
    let (sender, mut connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        let ended = future::poll_fn(|context| connection.poll_without_shutdown(context));
        if let Err(error) = ended.await {
            log::debug!(address:%, error:%; "connection ended");
        }
        // What becomes of the answer decides how the socket ends.
        let _socket = connection.into_parts();
        pending.until_settled().await;
    });
    Ok(Connection {
        sender,
        past: Past { opened, answers: 0 },
        bounds,
        driver,
    })
}
