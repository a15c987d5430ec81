//! Bytes that are no whole or no well-formed request.

use std::net::SocketAddr;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use crate::support;
use crate::{HEADER_BYTES, expect_unharmed, start};

/// Writes bytes on a connection, closes its sending side, and reads the answer.
async fn raw(address: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut socket = TcpStream::connect(address).await.expect("the host listens");
    // A host may refuse before it has read all.
    let _ = socket.write_all(bytes).await;
    if close {
        let _ = socket.shutdown().await;
    }
    let mut answer = Vec::new();
    let read = time::timeout(support::PATIENCE, socket.read_to_end(&mut answer));
    let _ = read
        .await
        .expect("the host answers or closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(first: &str, more: &str) -> Vec<u8> {
    let bearer = support::bearer(support::KEY);
    format!("{first} HTTP/1.1\r\nhost: entry\r\nauthorization: {bearer}\r\n{more}").into_bytes()
}

const BOOKING: &str = "POST /services/studio-app/bookings";
const COMPLETION: &str = "POST /v1/completions";

#[rstest]
#[case::no_utf8(COMPLETION, b"{\"model\":\"match\",\"prompt\":\"\xff\xfe\"}".as_slice())]
#[case::no_utf8_in_another_field(
    COMPLETION,
    b"{\"model\":\"match\",\"prompt\":\"x\",\"user\":\"\xff\"}".as_slice()
)]
#[case::cut_utf8(COMPLETION, b"{\"model\":\"match\",\"prompt\":\"\xc3\"}".as_slice())]
#[case::nul(COMPLETION, b"{\"model\":\"match\",\"prompt\":\"\x00\"}".as_slice())]
#[tokio::test]
async fn bodies_that_are_no_text(#[case] first: &str, #[case] body: &[u8]) {
    let (bed, host) = start().await;
    let length = format!(
        "content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let request = [head(first, &length).as_slice(), body].concat();
    let answer = raw(host.addresses().callers, &request, false).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(answer.contains(r#""type":"bad_request""#), "{answer}");
    expect_unharmed(&bed, &host).await;
}

/// The request ends or stalls before its body is whole, so it is not run.
#[rstest]
#[case::cut_completion(COMPLETION, "content-length: 100\r\n\r\n{\"model\":", true)]
#[case::cut_booking(BOOKING, "content-length: 100\r\n\r\nlesson", true)]
#[case::cut_chunk(BOOKING, "transfer-encoding: chunked\r\n\r\n64\r\nlesson", true)]
#[case::no_last_chunk(BOOKING, "transfer-encoding: chunked\r\n\r\n6\r\nlesson\r\n", true)]
#[case::broken_chunk(BOOKING, "transfer-encoding: chunked\r\n\r\nzz\r\nlesson\r\n", false)]
#[case::stalled(
    BOOKING,
    "connection: close\r\ncontent-length: 100\r\n\r\nlesson",
    false
)]
#[case::cut_head(BOOKING, "content-le", true)]
#[case::stalled_head(BOOKING, "content-le", false)]
#[tokio::test]
async fn truncated_requests(#[case] first: &str, #[case] more: &str, #[case] close: bool) {
    let (bed, host) = start().await;
    let answer = raw(host.addresses().callers, &head(first, more), close).await;
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    expect_unharmed(&bed, &host).await;
}

#[tokio::test]
async fn a_stalled_body_is_refused_as_slow() {
    let (bed, host) = start().await;
    let more = "connection: close\r\ncontent-length: 100\r\n\r\nlesson";
    let answer = raw(host.addresses().callers, &head(BOOKING, more), false).await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains(r#""type":"slow_request""#), "{answer}");
    assert!(answer.contains(r#""ran":"no""#), "{answer}");
    expect_unharmed(&bed, &host).await;
}

/// The HTTP library refuses these before a route is known.
#[rstest]
#[case::long_head("", &format!("x-long: {}\r\n\r\n", "a".repeat(2 * HEADER_BYTES)))]
#[case::nul_in_a_value("", "x-a: b\0c\r\n\r\n")]
#[case::bare_carriage_return("", "x-a: b\rx-priority: 9\r\n\r\n")]
#[case::folded_line("", "x-a: b\r\n x-priority: 9\r\n\r\n")]
#[case::space_in_a_name("", "x priority: 9\r\n\r\n")]
#[case::no_colon("", "x-priority\r\n\r\n")]
#[case::two_lengths("", "content-length: 6\r\ncontent-length: 7\r\n\r\nlesson")]
#[case::negative_length("", "content-length: -1\r\n\r\n")]
#[case::unknown_version("POST / HTTP/9.9\r\n\r\n", "")]
#[case::no_http("\u{16}\u{3}\u{1}\u{2}\0\r\n\r\n", "")]
#[tokio::test]
async fn malformed_heads(#[case] whole: &str, #[case] more: &str) {
    let (bed, host) = start().await;
    let request = match whole {
        "" => head(BOOKING, more),
        whole => whole.as_bytes().to_vec(),
    };
    let answer = raw(host.addresses().callers, &request, true).await;
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    expect_unharmed(&bed, &host).await;
}

/// Two lengths that disagree must not hide a second request in a body.
#[tokio::test]
async fn a_request_hidden_in_a_body_is_not_run() {
    let (bed, host) = start().await;
    let hidden = "POST /services/studio-app/bookings HTTP/1.1\r\nhost: a\r\n\
                  authorization: Bearer key-of-studio\r\ncontent-length: 0\r\n\r\n";
    let more = format!(
        "content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        hidden.len() + 5
    );
    let unknown = "POST /services/nobody/x";
    let _ = raw(host.addresses().callers, &head(unknown, &more), true).await;
    expect_unharmed(&bed, &host).await;
}

/// What docs/METRICS.md says of heads that cannot be read.
#[rstest]
#[case::malformed("x priority: 9\r\n\r\n", "HTTP/1.1 400 ")]
#[case::too_long(&format!("x-long: {}\r\n\r\n", "a".repeat(2 * HEADER_BYTES)), "HTTP/1.1 431 ")]
#[case::stalled("content-le", "")]
#[tokio::test]
async fn answers_of_the_http_library(#[case] more: &str, #[case] start_of_answer: &str) {
    let (bed, host) = start().await;
    let answer = raw(host.addresses().callers, &head(BOOKING, more), false).await;
    assert!(answer.starts_with(start_of_answer), "{answer}");
    assert!(!start_of_answer.is_empty() || answer.is_empty(), "{answer}");
    expect_unharmed(&bed, &host).await;
}
