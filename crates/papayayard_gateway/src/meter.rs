//! Limits the number of bytes read from a connection.
//!
//! The HTTP library limits the size of one response head, but not the number of interim
//! responses before the final one.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Remaining read allowance in bytes.
#[derive(Clone, Debug)]
pub(crate) struct Meter(Arc<AtomicUsize>);

impl Default for Meter {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl Meter {
    /// Sets the allowance.
    pub(crate) fn allow(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Removes the limit.
    pub(crate) fn allow_all(&self) {
        self.allow(usize::MAX);
    }

    /// Subtracts bytes that were read; returns `false` if they exceed the allowance.
    fn spend(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A connection whose reads are limited by a [`Meter`].
#[derive(Debug)]
pub(crate) struct Metered<Inner> {
    inner: Inner,
    meter: Meter,
}

impl<Inner> Metered<Inner> {
    pub(crate) const fn new(inner: Inner, meter: Meter) -> Self {
        Self { inner, meter }
    }
}

impl<Inner> AsyncRead for Metered<Inner>
where
    Inner: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        if self.meter.spend(read) {
            return polled;
        }
        let problem = "response head exceeds the size limit";
        Poll::Ready(Err(io::Error::other(problem)))
    }
}

impl<Inner> AsyncWrite for Metered<Inner>
where
    Inner: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
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
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
