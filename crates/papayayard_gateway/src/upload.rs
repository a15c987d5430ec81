//! Socket of a client whose other side may not end the connection while a request is written.
//!
//! The other side may answer before it has read the request. If its answer has neither a length
//! nor chunks, only the end of the connection ends it. Closing a connection with unread data
//! resets it; but if all that had arrived was read, the system ends the connection in order, and
//! resets it only once more arrives. A part of an answer would then look like a whole one. So
//! would one after a failed write, since the system reports the error of a reset once.
//!
//! So an end before the request was handed to the system whole is an error. The system takes far
//! more than it can send at once; it is told to take little, so that what it has taken has mostly
//! been sent.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum bytes that the system takes beyond what it could send.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// A socket to which requests are written, each flushed once it is written whole.
#[derive(Debug)]
pub struct Upload<Socket> {
    inner: Socket,
    /// Whether written data was not flushed, be it that a write has failed.
    is_writing: bool,
}

impl<Socket> Upload<Socket> {
    const fn new(inner: Socket) -> Self {
        Self {
            inner,
            is_writing: false,
        }
    }

    pub const fn get_ref(&self) -> &Socket {
        &self.inner
    }
}

impl Upload<TcpStream> {
    /// Takes a connection, whose system is told to take little that it can't send.
    pub fn over(stream: TcpStream) -> Self {
        if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
            log::warn!(error:%; "the system may take a request long before it sends it");
        }
        Self::new(stream)
    }
}

impl<Socket> AsyncRead for Upload<Socket>
where
    Socket: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let space = buffer.remaining();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let is_end = matches!(polled, Poll::Ready(Ok(()))) && buffer.remaining() == space;
        if is_end && space > 0 && self.is_writing {
            let problem = "the connection ended while the request was being sent";
            let error = io::Error::new(io::ErrorKind::ConnectionReset, problem);
            return Poll::Ready(Err(error));
        }
        polled
    }
}

impl<Socket> AsyncWrite for Upload<Socket>
where
    Socket: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_writing = true;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(context);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.is_writing = false;
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_writing = true;
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}

#[cfg(test)]
#[path = "upload_test.rs"]
mod test;
