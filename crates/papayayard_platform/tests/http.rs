//! The adapter for HTTP, over sockets.

use std::time::Duration;

use papayayard_platform::http::Client;
use papayayard_platform::service::{Error, Log, Query};
use papayayard_wire::{id, log};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time;

/// Limit of a call that is not answered.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Calls that are open at once.
const OPEN_CALLS: usize = 8;
/// Connections that are kept between calls.
const KEPT: usize = 2;

/// Time in which a call with a far shorter limit has to end.
const PATIENCE: Duration = Duration::from_secs(30);

#[tokio::test]
async fn a_read_that_is_never_answered_ends_although_it_may_wait_for_long() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let client = Client::new(listener.local_addr().unwrap(), TIMEOUT);
    let name = id::Stream::from("configuration");
    let query = Query {
        from: log::Offset(0),
        limit: 1,
        wait: Duration::from_hours(1),
    };
    let read = time::timeout(PATIENCE, client.read(&name, &query));
    let asked = async {
        let (socket, _) = listener.accept().await.unwrap();
        let mut socket = BufReader::new(socket);
        let mut line = String::new();
        socket.read_line(&mut line).await.unwrap();
        (line, socket)
    };
    let (outcome, (line, _socket)) = tokio::join!(read, asked);
    assert!(line.contains("&wait_ms=1000 "), "{line}");
    assert!(
        matches!(outcome, Ok(Err(Error::Lost { .. }))),
        "{outcome:?}"
    );
}

/// Receives one request.
async fn receive(socket: &mut BufReader<TcpStream>) {
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        socket.read_line(&mut line).await.unwrap();
        if let Some(length) = line.strip_prefix("content-length: ") {
            body_bytes = length.trim().parse().unwrap();
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; body_bytes];
    socket.read_exact(&mut body).await.unwrap();
}

async fn answer(socket: &mut BufReader<TcpStream>) {
    let offsets = log::Offsets {
        first: log::Offset(0),
    };
    let body = serde_json::to_string(&offsets).unwrap();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let text = format!("{head}{body}");
    socket.write_all(text.as_bytes()).await.unwrap();
}

/// Answers requests that come together, each on its connection, and gives these back.
async fn answer_together(listener: &TcpListener) -> Vec<BufReader<TcpStream>> {
    let mut sockets = Vec::new();
    for _ in 0..OPEN_CALLS {
        let (socket, _) = listener.accept().await.unwrap();
        let mut socket = BufReader::new(socket);
        receive(&mut socket).await;
        sockets.push(socket);
    }
    for socket in &mut sockets {
        answer(socket).await;
    }
    sockets
}

async fn append(client: Client) -> Result<log::Offsets, Error> {
    let records = Vec::new();
    let batch = log::Batch { records };
    client.append(&id::Stream::from("claims"), &batch).await
}

/// The log answers on new connections only, since what it knew of the others is lost.
#[tokio::test]
async fn few_calls_go_to_connections_that_have_gone_silent() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let client = Client::new(listener.local_addr().unwrap(), TIMEOUT);
    let mut calls = JoinSet::new();
    for _ in 0..OPEN_CALLS {
        calls.spawn(append(client.clone()));
    }
    let (silent, answers) = tokio::join!(answer_together(&listener), calls.join_all());
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    let accepting = tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        let mut socket = BufReader::new(socket);
        receive(&mut socket).await;
        answer(&mut socket).await;
    });
    let mut failures = 0;
    while append(client.clone()).await.is_err() {
        failures += 1;
    }
    assert!(failures <= KEPT, "{failures}");
    accepting.await.unwrap();
    drop(silent);
}

/// Guards against an append that may have taken effect and counts as refused, since its answer has
/// a status that no answer has.
#[tokio::test]
async fn an_answer_whose_status_is_none_is_no_answer() {
    for status in ["000", "00", "099", "600", "999"] {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let client = Client::new(listener.local_addr().unwrap(), TIMEOUT);
        let serve = async {
            let (socket, _) = listener.accept().await.unwrap();
            let mut socket = BufReader::new(socket);
            receive(&mut socket).await;
            let text = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 0\r\n\r\n");
            socket.write_all(text.as_bytes()).await.unwrap();
        };
        let (outcome, ()) = tokio::join!(append(client), serve);
        let is_lost = matches!(outcome, Err(Error::Lost { .. }));
        assert!(is_lost, "{status}: {outcome:?}");
    }
}
