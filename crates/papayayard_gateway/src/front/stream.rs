//! A caller's byte stream that records its use.
//!
//! The HTTP library flushes once it has written all that it has.
//!
//! A request may be answered before its body was read. The system resets a connection that is
//! closed with unread data, and a reset discards an answer that the caller has not read. So what
//! still arrives after the last answer is discarded until the caller ends the connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{self, Sleep};

use super::activity::Activity;

/// Maximum time for which the caller may go on after the last answer.
const MAX_LINGER: Duration = Duration::from_secs(3);
/// Bytes that are discarded at once.
const DISCARDED_BYTES: usize = 8 << 10;

#[derive(Debug)]
pub(super) struct Stream<Inner> {
    inner: Inner,
    activity: Activity,
    /// Whether the caller has ended its side.
    has_ended: bool,
    /// Ends the wait for the caller; `None` while this side is open.
    linger: Option<Pin<Box<Sleep>>>,
}

impl<Inner> Stream<Inner> {
    pub(super) const fn new(inner: Inner, activity: Activity) -> Self {
        Self {
            inner,
            activity,
            has_ended: false,
            linger: None,
        }
    }
}

impl<Inner> Stream<Inner>
where
    Inner: AsyncRead + Unpin,
{
    /// Discards what the caller sends, until it ends its side or the connection fails.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while !self.has_ended {
            let mut space = [0; DISCARDED_BYTES];
            let mut buffer = ReadBuf::new(&mut space);
            let outcome = ready!(Pin::new(&mut self.inner).poll_read(context, &mut buffer));
            self.has_ended = outcome.is_err() || buffer.filled().is_empty();
        }
        Poll::Ready(())
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
        let has_space = buffer.remaining() > 0;
        let outcome = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.received();
        } else if outcome.is_ready() && has_space {
            self.has_ended = true;
        }
        outcome
    }
}

impl<Inner> AsyncWrite for Stream<Inner>
where
    Inner: AsyncRead + AsyncWrite + Unpin,
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
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.inner).poll_shutdown(context))?;
            self.linger = Some(Box::pin(time::sleep(MAX_LINGER)));
        }
        if self.poll_discard(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let linger = self.linger.as_mut();
        linger.map_or(Poll::Ready(Ok(())), |end| {
            end.as_mut().poll(context).map(Ok)
        })
    }
}

/// Whether a write has passed on bytes.
fn has_taken(outcome: &Poll<io::Result<usize>>) -> bool {
    matches!(outcome, Poll::Ready(Ok(1..)))
}
