use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Bounds, Caller, Error, once, once_or_reset};

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

/// The endpoint does not read the request. On timeout the connection must be reset, not
/// closed: after a close, the data already sent could still arrive.
#[tokio::test]
async fn a_timeout_resets_the_connection() {
    let (listener, address) = listen().await;
    let called = tokio::spawn(once_or_reset(
        address,
        http::Request::new(Bytes::from_static(b"order")),
        || Some(BOUNDS),
    ));
    let mut stream = accept(&listener).await;
    let outcome = called.await.expect("the call ends");
    assert!(
        matches!(outcome, Err(Error::TimedOut { .. })),
        "{outcome:?}"
    );
    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received).await;
    let kind = end.expect_err("the connection is reset").kind();
    assert_eq!(kind, io::ErrorKind::ConnectionReset);
}

/// The deadline passes while the connection is opened, as after a suspension of the host.
#[tokio::test]
async fn nothing_is_sent_after_the_deadline() {
    let (listener, address) = listen().await;
    let request = http::Request::new(Bytes::from_static(b"order"));
    let outcome = once_or_reset(address, request, || None).await;
    assert!(
        matches!(outcome, Err(Error::Withheld { .. })),
        "{outcome:?}"
    );
    let mut received = Vec::new();
    let end = accept(&listener).await.read_to_end(&mut received).await;
    assert!(received.is_empty(), "{end:?}: {received:?}");
}

/// Reading an endless answer stops at the size bound.
#[tokio::test]
async fn an_endless_answer_is_bounded() {
    let (listener, address) = listen().await;
    let answering = tokio::spawn(async move {
        let mut stream = accept(&listener).await;
        let head = b"HTTP/1.1 200 OK\r\n\r\n";
        stream.write_all(head).await.expect("the caller reads");
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
    assert!(
        matches!(outcome, Err(Error::Disconnected { .. })),
        "{outcome:?}"
    );
    answering.await.expect("the endpoint sees the close");
}

/// Guards against answers, and failures, on a connection that is kept which are taken for those
/// on a new one.
#[tokio::test]
async fn a_call_tells_whether_its_connection_is_new() {
    let (listener, address) = listen().await;
    let mut caller = Caller::new(address);
    let request = || http::Request::new(Bytes::new());
    let serve = async {
        let mut stream = accept(&listener).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        for _ in 0..2 {
            let read = stream.read(&mut [0; 1024]).await.expect("a request");
            assert_ne!(read, 0);
            stream.write_all(answer).await.expect("a connection");
        }
        let _ = stream.read(&mut [0; 1024]).await;
        drop(stream);
        accept(&listener).await
    };
    let call = async {
        let mut pasts = Vec::new();
        for _ in 0..4 {
            let outcome = caller.call(request(), BOUNDS).await;
            pasts.push((outcome.is_ok(), caller.past().expect("a connection")));
        }
        pasts
    };
    let (_unanswered, pasts) = tokio::join!(serve, call);
    let seen: Vec<(bool, u32)> = pasts
        .iter()
        .map(|(is_answered, past)| (*is_answered, past.answers))
        .collect();
    assert_eq!(seen, [(true, 0), (true, 1), (false, 2), (false, 0)]);
    assert_eq!(pasts[0].1.opened, pasts[2].1.opened);
    assert!(pasts[2].1.opened < pasts[3].1.opened);
}

/// Guards against a call that may have taken effect and counts as refused, since its answer has a
/// status that no answer has.
#[rstest]
#[tokio::test]
async fn an_answer_whose_status_is_none_is_no_answer(
    #[values("000", "00", "099", "600", "999")] status: &str,
) {
    let (listener, address) = listen().await;
    let request = || http::Request::new(Bytes::new());
    let serve = async {
        for _ in 0..2 {
            let mut stream = accept(&listener).await;
            let read = stream.read(&mut [0; 1024]).await.expect("a request");
            assert_ne!(read, 0);
            let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 0\r\n\r\n");
            let written = stream.write_all(answer.as_bytes()).await;
            written.expect("a connection");
        }
    };
    let call = async {
        let kept = once(address, request(), BOUNDS).await;
        let reset = once_or_reset(address, request(), || Some(BOUNDS)).await;
        [kept, reset]
    };
    let ((), outcomes) = tokio::join!(serve, call);
    for outcome in outcomes {
        let is_lost = matches!(outcome, Err(Error::Disconnected { .. }));
        assert!(is_lost, "{outcome:?}");
    }
}
