use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time;

use super::Upload;

/// Maximum time for an exchange.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a request that the other side's system takes before the connection ends.
const TAKEN_BYTES: usize = 64 << 10;
const LONG_BYTES: usize = 1 << 20;
const SHORT_BYTES: usize = 1 << 10;
/// A part of an answer that ends with its connection.
const PART: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart";

/// What the system says of a connection that the other side has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The write meets the error of a reset, so that the read sees an end.
    ErrorOnWrite,
    /// The read sees an end, and writes are not taken any more.
    BlockedWrite,
}

/// A socket that takes some of a request, gives a part of an answer, and ends.
struct Ending {
    end: End,
    answer: &'static [u8],
    taken: usize,
}

impl AsyncRead for Ending {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.taken == 0 {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let answer = std::mem::take(&mut self.answer);
        buffer.put_slice(answer);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Ending {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let room = TAKEN_BYTES - self.taken;
        if room == 0 && self.end == End::ErrorOnWrite {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if room == 0 {
            return Poll::Pending;
        }
        let taken = room.min(bytes.len());
        self.taken += taken;
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Sends a request; returns the body of the answer, unless it broke off.
async fn exchange(end: End, bytes: usize) -> Option<Bytes> {
    let socket = Ending {
        end,
        answer: PART,
        taken: 0,
    };
    let client = http1::handshake(TokioIo::new(Upload::new(socket))).await;
    let (mut sender, connection) = client.expect("a connection");
    let connection = tokio::spawn(connection);
    let body = Full::new(Bytes::from(vec![b'x'; bytes]));
    let exchange = async {
        let response = sender.send_request(Request::new(body)).await.ok()?;
        let body = Response::into_body(response).collect().await.ok()?;
        Some(body.to_bytes())
    };
    let answer = time::timeout(TIMEOUT, exchange).await;
    connection.abort();
    answer.expect("the exchange ends")
}

/// Guards against a part of an answer that looks whole since the connection has ended while its
/// request was being sent.
#[rstest]
#[tokio::test]
async fn an_end_amid_a_request_ends_no_answer(
    #[values(End::ErrorOnWrite, End::BlockedWrite)] end: End,
) {
    assert_eq!(exchange(end, LONG_BYTES).await, None);
}

#[rstest]
#[tokio::test]
async fn an_end_after_a_request_ends_its_answer(
    #[values(End::ErrorOnWrite, End::BlockedWrite)] end: End,
) {
    let whole = Some(Bytes::from_static(b"part"));
    assert_eq!(exchange(end, SHORT_BYTES).await, whole);
}
