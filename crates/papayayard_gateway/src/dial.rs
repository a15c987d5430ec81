//! New connections to endpoints and to the platform.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

use crate::meter::{Meter, Metered};

/// Time to open a connection: many round trips between zones, and little of
/// the time in which an answer is due.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which sent bytes that nobody acknowledged end a connection; a
/// lost packet is sent again well within it.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Most bytes that are read before the head of an answer is whole, interim answers
/// included.
const HEAD_BYTES: usize = 128 << 10;
/// Bytes that are read at once.
const READ_BUFFER: usize = 16 << 10;

/// A connection to one address; dropping it closes the socket.
pub(crate) struct Connection {
    /// Sends one request at a time.
    sender: SendRequest<Full<Bytes>>,
    meter: Meter,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Sends a request and waits for the head of its answer, of which only so many
    /// bytes are read.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.meter.allow(HEAD_BYTES);
        let response = self.sender.try_send_request(request).await?;
        self.meter.allow_all();
        Ok(response)
    }

    /// Whether a request can be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether it has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    handshake(open(address).await?).await
}

/// Opens a connection that is reset when it is dropped: nothing of what was sent
/// on it arrives afterwards.
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
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(stream)
}

async fn handshake(stream: TcpStream) -> io::Result<Connection> {
    let address = stream.peer_addr()?;
    let meter = Meter::default();
    let stream = Metered::new(stream, meter.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:%, error:%; "connection ended");
        }
    });
    Ok(Connection {
        sender,
        meter,
        driver,
    })
}
