//! Callers' checks: against an engine with faults, and line by line.

use std::net::SocketAddr;
use std::time::Instant;

use papayayard_stand_in::engine::{self, Fault};
use papayayard_stand_in::generate::{self, Digest};
use papayayard_wire::refusal::{Kind, Ran};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::caller::{self, Call, Check, End};

const PROMPT: &str = "what the crew wrote down";
const TOKENS: u32 = 5;

fn call() -> Call {
    Call {
        key: String::new(),
        model: "match".to_owned(),
        prompt: PROMPT.to_owned(),
        max_tokens: TOKENS,
        request: Some("r-1".to_owned()),
    }
}

async fn send(target: SocketAddr) -> caller::Seen {
    caller::call(&caller::client(), target, &call(), Instant::now()).await
}

async fn engine() -> engine::Running {
    let options = engine::Options {
        time_scale: 20.0,
        ..engine::Options::default()
    };
    engine::start(options).await.expect("the engine starts")
}

#[tokio::test]
async fn a_whole_answer_is_complete() {
    let engine = engine().await;
    let seen = send(engine.address()).await;
    assert_eq!(seen.end, End::Complete);
    assert_eq!(seen.request, Some("r-1".into()));
    assert_eq!((seen.tokens, seen.gaps.len()), (5, 4));
    assert!(seen.first_token.is_some() && seen.usage.is_some());
}

#[rstest]
#[case::refused(Fault::Refuse, End::Refused(None, Ran::Unknown))]
#[case::cut(Fault::CutStreams { count: 1, after_tokens: 2 }, End::Cut)]
#[case::lost(Fault::LoseAnswers { count: 1 }, End::Lost)]
#[tokio::test]
async fn a_fault_is_seen(#[case] fault: Fault, #[case] end: End) {
    let engine = engine().await;
    engine.fault(fault);
    assert_eq!(send(engine.address()).await.end, end);
}

#[tokio::test]
async fn a_closed_port_is_unreachable() {
    let address = engine().await.address();
    let refused = async {
        loop {
            // The listener closes once its task has seen that it is to stop.
            let seen = send(address).await;
            if seen.end == End::Unreachable {
                return;
            }
        }
    };
    let patience = std::time::Duration::from_secs(10);
    tokio::time::timeout(patience, refused)
        .await
        .expect("the port closes");
}

/// Answers one request with these bytes of a stream, and closes as agreed.
async fn answer_once(stream: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _ = socket.read(&mut request).await.unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
            stream.len()
        );
        socket.write_all((head + &stream).as_bytes()).await.unwrap();
    });
    address
}

#[rstest]
#[case::short_without_mark(2, "", End::Cut)]
#[case::whole_without_mark(5, "", End::Cut)]
#[case::short_with_mark(2, "data: [DONE]\n\n", End::Wrong("the answer is short"))]
#[case::whole(5, "data: [DONE]\n\n", End::Complete)]
#[case::more(
    5,
    "data: [DONE]\n\ndata: {}\n\n",
    End::Wrong("there is more after the end mark")
)]
#[tokio::test]
async fn the_end_of_a_stream(#[case] tokens: u32, #[case] mark: &str, #[case] end: End) {
    let digest = Digest::of_body(PROMPT.as_bytes());
    let text = generate::text(digest, 0, tokens.into());
    let stream = format!("{}\n\n{mark}", chunk(0, tokens, &text));
    let address = answer_once(stream).await;
    assert_eq!(send(address).await.end, end);
}

fn chunk(position: u64, tokens: u32, text: &str) -> String {
    format!(
        r#"data: {{"id":"r-1","object":"text_completion","model":"match","position":{position},"tokens":{tokens},"choices":[{{"index":0,"text":"{text}","finish_reason":null}}]}}"#
    )
}

#[rstest]
#[case::in_order(1, 1, 1, 2, Ok(false))]
#[case::several(1, 3, 1, 4, Ok(false))]
#[case::repeated(0, 1, 0, 1, Err(End::Wrong("a position is out of order")))]
#[case::gap(2, 1, 2, 3, Err(End::Wrong("a position is out of order")))]
#[case::other_text(1, 1, 2, 3, Err(End::Wrong("the text is another's")))]
fn the_second_chunk(
    #[case] position: u64,
    #[case] tokens: u32,
    #[case] from: u64,
    #[case] until: u64,
    #[case] expected: Result<bool, End>,
) {
    let digest = Digest::of_body(PROMPT.as_bytes());
    let mut check = Check::new(&call(), Instant::now());
    let first = chunk(0, 1, &generate::text(digest, 0, 1));
    assert_eq!(check.line(first.as_bytes()), Ok(false));
    let second = chunk(position, tokens, &generate::text(digest, from, until));
    assert_eq!(check.line(second.as_bytes()), expected);
}

#[rstest]
#[case::before_a_token(false, End::Refused(Some(Kind::Quarantined), Ran::Yes))]
#[case::after_a_token(true, End::Failed(Some(Kind::Quarantined)))]
fn an_error_event(#[case] begun: bool, #[case] end: End) {
    let digest = Digest::of_body(PROMPT.as_bytes());
    let mut check = Check::new(&call(), Instant::now());
    if begun {
        let first = chunk(0, 1, &generate::text(digest, 0, 1));
        assert_eq!(check.line(first.as_bytes()), Ok(false));
    }
    let event = r#"data: {"error":{"message":"m","type":"quarantined","code":422,"ran":"yes"}}"#;
    assert_eq!(check.line(event.as_bytes()), Err(end));
}

#[test]
fn the_end_mark_and_other_lines() {
    let mut check = Check::new(&call(), Instant::now());
    assert_eq!(check.line(b""), Ok(false));
    assert_eq!(check.line(b": keep-alive"), Ok(false));
    assert_eq!(check.line(b"data: [DONE]"), Ok(true));
    assert!(matches!(check.line(b"data: nonsense"), Err(End::Wrong(_))));
}
