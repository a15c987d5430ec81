use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Bounds, Error, once, punctual};

const BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(100),
    bytes: 1000,
};

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().await.expect("a connection");
    stream
}

/// The request waits at an endpoint that does not read. When its time is over the
/// connection is reset, not closed: a close would let what was sent arrive later.
#[tokio::test]
async fn a_request_that_must_not_arrive_late_is_cut_off_with_its_connection() {
    let (listener, address) = listen().await;
    let called = tokio::spawn(punctual(
        address,
        http::Request::new(Bytes::from_static(b"order")),
        || Some(BOUNDS),
    ));
    let mut stream = accept(&listener).await;
    let outcome = called.await.expect("the call ends");
    assert!(matches!(outcome, Err(Error::Late { .. })), "{outcome:?}");
    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received).await;
    let kind = end.expect_err("the connection has no orderly end").kind();
    assert_eq!(kind, io::ErrorKind::ConnectionReset);
}

/// The time was over when the connection stood, as after a suspension.
#[tokio::test]
async fn nothing_is_sent_when_the_time_is_over() {
    let (listener, address) = listen().await;
    let request = http::Request::new(Bytes::from_static(b"order"));
    let outcome = punctual(address, request, || None).await;
    assert!(
        matches!(outcome, Err(Error::Withheld { .. })),
        "{outcome:?}"
    );
    let mut received = Vec::new();
    let end = accept(&listener).await.read_to_end(&mut received).await;
    assert!(received.is_empty(), "{end:?}: {received:?}");
}

/// An answer without end is given up at its bound.
#[tokio::test]
async fn an_answer_without_end_is_bounded() {
    let (listener, address) = listen().await;
    let answering = tokio::spawn(async move {
        let mut stream = accept(&listener).await;
        let head = b"HTTP/1.1 200 OK\r\n\r\n";
        stream.write_all(head).await.expect("a caller that reads");
        let mut sent = 0_usize;
        while stream.write_all(&[b'x'; 512]).await.is_ok() {
            sent += 512;
        }
        sent
    });
    let bounds = Bounds {
        time: Duration::from_mins(1),
        ..BOUNDS
    };
    let outcome = once(address, http::Request::new(Bytes::new()), bounds).await;
    assert!(matches!(outcome, Err(Error::Lost { .. })), "{outcome:?}");
    answering.await.expect("the endpoint sees the close");
}
