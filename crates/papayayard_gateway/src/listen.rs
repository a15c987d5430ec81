//! Listening for connections that send at once.
//!
//! Accepted connections take the option over from their listener; without it a
//! stream's first event waits for the acknowledgement of its head.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 4096;

/// Why a host cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; choose a free address of this host"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
}

/// Listens on an address.
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
