//! The adapter for HTTP, over sockets.

use std::time::Duration;

use papayayard_platform::http::Client;
use papayayard_platform::service::{Error, Log, Query};
use papayayard_wire::{id, log};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::time;

/// Time in which a call with a far shorter limit has to end.
const PATIENCE: Duration = Duration::from_secs(30);

#[tokio::test]
async fn a_read_that_is_never_answered_ends_although_it_may_wait_for_long() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let client = Client::new(listener.local_addr().unwrap(), Duration::from_secs(2));
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
