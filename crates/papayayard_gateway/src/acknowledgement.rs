//! Bounds the time for which sent data may stay unacknowledged, anew for each request.
//!
//! The task that drives a connection owns its socket. The timeout is therefore stored beside it
//! and applied to the socket when the next data is written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Time after which a connection with unacknowledged data is closed, in ms.
#[derive(Clone, Debug)]
pub(crate) struct Timeout(Arc<AtomicU32>);

impl Timeout {
    pub(crate) fn new(time: Duration) -> Self {
        Self(Arc::new(AtomicU32::new(millis(time))))
    }

    /// Sets the timeout for what is written from now on.
    pub(crate) fn set(&self, time: Duration) {
        self.0.store(millis(time), Ordering::Relaxed);
    }

    fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection with a [`Timeout`].
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    timeout: Timeout,
    applied_ms: Option<u32>,
}

impl Stream {
    pub(crate) const fn new(inner: TcpStream, timeout: Timeout) -> Self {
        Self {
            inner,
            timeout,
            applied_ms: None,
        }
    }

    fn apply_timeout(&mut self) -> io::Result<()> {
        let timeout_ms = self.timeout.get();
        if self.applied_ms != Some(timeout_ms) {
            let time = Duration::from_millis(u64::from(timeout_ms));
            SockRef::from(&self.inner).set_tcp_user_timeout(Some(time))?;
            self.applied_ms = Some(timeout_ms);
        }
        Ok(())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
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

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
