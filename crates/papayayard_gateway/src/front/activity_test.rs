use std::convert::Infallible;
use std::sync::Mutex;

use bytes::Bytes;
use http::Response;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::io::{self, AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

use super::{Activity, Body};
use crate::body::{self, Chunks, Truncated};

/// Bytes that the connection takes at once.
const BUFFER_BYTES: usize = 64 << 10;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
const EVENT: &str = "id: 1\n\n";

/// Guards against an answer of which nothing arrives, not even its head, since its body broke off
/// before the first write.
#[tokio::test]
async fn what_was_there_before_an_answer_broke_off_is_sent() {
    let (sender, chunks) = mpsc::channel(2);
    sender.try_send(Ok(Bytes::from(EVENT))).expect("a place");
    sender.try_send(Err(Truncated)).expect("a place");
    let request = Activity::default().begin_request();
    let chunks = Chunks {
        first: None,
        rest: chunks,
    };
    let body = Body::new(body::Body::Chunks(chunks), request);
    let body = Mutex::new(Some(body));
    let service = service::service_fn(|_| async {
        let body = body.lock().expect("a lock").take();
        Ok::<_, Infallible>(Response::new(body.expect("one request")))
    });
    let (mut caller, stream) = io::duplex(BUFFER_BYTES);
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    caller.write_all(REQUEST).await.expect("a connection");
    assert!(connection.await.is_err(), "the connection ends broken");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("an end");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer:?}");
    assert!(answer.contains(EVENT), "{answer:?}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer:?}");
}
