//! Opens listening sockets with `TCP_NODELAY`.
//!
//! Accepted connections inherit the option from their listener. Without it, the first
//! event of a stream would wait until the response head is acknowledged.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 4096;

/// Reason why a host cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    #[snafu(display("cannot listen on {address}: {source}; choose a free address of this host"))]
    Listen {
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
