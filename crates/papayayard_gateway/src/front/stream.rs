//! A caller's byte stream that records its use.
//!
//! The HTTP library flushes once it has written all that it has.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::activity::Activity;

#[derive(Debug)]
pub(super) struct Stream<Inner> {
    inner: Inner,
    activity: Activity,
}

impl<Inner> Stream<Inner> {
    pub(super) const fn new(inner: Inner, activity: Activity) -> Self {
        Self { inner, activity }
    }
}

impl<Inner> AsyncRead for Stream<Inner>
where
    Inner: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let outcome = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.received();
        }
        outcome
    }
}

impl<Inner> AsyncWrite for Stream<Inner>
where
    Inner: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.activity.sent(has_taken(&outcome));
        outcome
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.activity.sent(has_taken(&outcome));
        outcome
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let outcome = Pin::new(&mut self.inner).poll_flush(context);
        if outcome.is_ready() {
            self.activity.flushed();
        }
        outcome
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Whether a write has passed on bytes.
fn has_taken(outcome: &Poll<io::Result<usize>>) -> bool {
    matches!(outcome, Poll::Ready(Ok(1..)))
}
