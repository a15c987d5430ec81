//! Socket of a connection whose reads and unacknowledged data are bounded.
//!
//! The task that drives a connection owns its socket. The bounds are therefore stored beside it
//! and applied when data is read or written.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::acknowledgement;
use crate::meter::Meter;

/// Bounds of a connection, which can be changed while its socket is in use.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    /// Remaining allowance for reads.
    pub(crate) meter: Meter,
    /// Bounds the time for which written data may stay unacknowledged.
    pub(crate) unacknowledged: acknowledgement::Timeout,
}

/// A socket with [`Bounds`].
#[derive(Debug)]
pub(crate) struct Socket {
    inner: TcpStream,
    bounds: Bounds,
    /// Timeout that the system knows.
    applied: acknowledgement::Applied,
}

impl Socket {
    pub(crate) const fn new(inner: TcpStream, bounds: Bounds) -> Self {
        Self {
            inner,
            bounds,
            applied: acknowledgement::Applied::nothing(),
        }
    }

    fn apply_timeout(&mut self) -> io::Result<()> {
        let timeout = &self.bounds.unacknowledged;
        timeout.apply(&self.inner, &mut self.applied)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        if self.bounds.meter.spend(read) {
            return polled;
        }
        let problem = "response head exceeds the size limit";
        Poll::Ready(Err(io::Error::other(problem)))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_timeout()?;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_timeout()?;
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
