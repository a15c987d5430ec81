//! Socket of a connection whose reads and unacknowledged data are bounded, and which is reset if
//! its request was given up.
//!
//! The task that drives a connection owns its socket. The bounds are therefore stored beside it
//! and applied when data is read or written, or when the socket closes.
//!
//! The system goes on sending what it has of a request after its socket was closed, so that the
//! request may arrive much later. A reset discards that, and tells the other side that nobody
//! waits, where a close could mean that only the request has ended.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::acknowledgement;
use crate::meter::Meter;
use crate::upload::Upload;

/// Bounds of a connection, which can be changed while its socket is in use.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    /// Remaining allowance for reads.
    pub(crate) meter: Meter,
    /// Bounds the time for which written data may stay unacknowledged.
    pub(crate) unacknowledged: acknowledgement::Timeout,
    /// Whether a request was sent whose answer was not read to its end.
    pub(crate) pending: Pending,
}

/// Whether a connection has a request whose answer was not read to its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pending(watch::Sender<bool>);

impl Pending {
    pub(crate) fn set(&self, is_pending: bool) {
        self.0.send_replace(is_pending);
    }

    /// Waits until the answer was read to its end, or the connection has no request.
    pub(crate) async fn until_settled(&self) {
        // The sender lives as long as this.
        let _ = self.0.subscribe().wait_for(|is_pending| !is_pending).await;
    }

    fn get(&self) -> bool {
        *self.0.borrow()
    }
}

/// A socket with [`Bounds`].
#[derive(Debug)]
pub(crate) struct Socket {
    inner: Upload<TcpStream>,
    bounds: Bounds,
    /// Timeout that the system knows.
    applied: acknowledgement::Applied,
}

impl Socket {
    pub(crate) fn new(inner: TcpStream, bounds: Bounds) -> Self {
        Self {
            inner: Upload::over(inner),
            bounds,
            applied: acknowledgement::Applied::nothing(),
        }
    }

    fn apply_timeout(&mut self) -> io::Result<()> {
        let timeout = &self.bounds.unacknowledged;
        timeout.apply(self.inner.get_ref(), &mut self.applied)
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.bounds.pending.get()
            && let Err(error) = self.inner.get_ref().set_zero_linger()
        {
            log::debug!(error:%; "the connection is closed without a reset");
        }
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
