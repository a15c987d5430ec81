//! New connections to endpoints and to the platform.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

/// Time to open a connection: many round trips between zones, and little of
/// the time in which an answer is due.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which sent bytes that nobody acknowledged end a connection; a
/// lost packet is sent again well within it.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Bytes that are read at once.
const READ_BUFFER: usize = 16 << 10;

/// A connection to one address; dropping it closes the socket.
pub(crate) struct Connection {
    /// Sends one request at a time.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
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
    Ok(Connection { sender, driver })
}
