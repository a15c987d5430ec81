use bytes::Bytes;
use rstest::rstest;

use super::{Events, Fault, Splitter};

fn push(splitter: &mut Splitter, text: &'static str) -> String {
    let events = splitter.push(&Bytes::from_static(text.as_bytes()));
    assert_eq!(events.fault, None);
    String::from_utf8(events.bytes.to_vec()).expect("text")
}

#[rstest]
#[case::lines("id: 1\ndata: a\n\n", 1)]
#[case::carriage_returns("id: 4\r\ndata: a\r\n\r\n", 4)]
#[case::two("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2)]
#[case::other_lines_first("other: 3\nid:9\ndata: x\n\n", 9)]
#[case::gap("id: 1\ndata: a\n\nid: 7\ndata: b\n\n", 7)]
#[case::comment("id: 1\ndata: a\n\n: still here\n\n", 1)]
#[case::name_without_value("id: 1\ndata\n\n", 1)]
#[case::empty_lines("id: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n", 2)]
fn complete_events_pass_unchanged(#[case] text: &'static str, #[case] position: u64) {
    let mut splitter = Splitter::default();
    assert_eq!(push(&mut splitter, text), text);
    assert_eq!(splitter.position(), Some(position));
    assert!(splitter.is_at_boundary());
}

/// An endpoint may stop in the middle of an event: a partial event is neither forwarded
/// nor counted in the position.
#[test]
fn a_partial_event_is_not_forwarded() {
    let mut splitter = Splitter::after(Some(5));
    assert_eq!(
        push(&mut splitter, "id: 6\ndata: a\n\nid: 7\nda"),
        "id: 6\ndata: a\n\n"
    );
    assert_eq!(splitter.position(), Some(6));
    assert!(!splitter.is_at_boundary());
    assert_eq!(push(&mut splitter, "ta: b\n"), "");
    assert_eq!(push(&mut splitter, "\n"), "id: 7\ndata: b\n\n");
    assert!(splitter.is_at_boundary());
}

#[test]
fn an_event_over_the_size_limit_is_an_error() {
    let mut splitter = Splitter::default();
    let chunk = Bytes::from(vec![b'x'; 150 << 10]);
    assert_eq!(splitter.push(&chunk).fault, None);
    assert_eq!(splitter.push(&chunk).fault, Some(Fault::TooLong));
}

/// A terminator that is split between two chunks is found, wherever the split is.
#[rstest]
fn a_split_terminator_is_found(
    #[values("id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n")] text: &'static str,
    #[values(1, 2, 3, 4, 5, 6)] before_end: usize,
) {
    let mut splitter = Splitter::default();
    let (first, second) = text.split_at(text.len() - before_end);
    assert_eq!(push(&mut splitter, first), "");
    assert_eq!(push(&mut splitter, second), text);
}

/// Text that is no event of the stream is held back, and what comes before it is not.
#[rstest]
#[case::no_id("event: error\ndata: x\n\n", Fault::NoEvent)]
#[case::no_number("id: x\ndata: x\n\n", Fault::NoEvent)]
#[case::text("the endpoint failed\n\n", Fault::NoEvent)]
#[case::json("{\"error\":1}\n\n", Fault::NoEvent)]
#[case::head("HTTP/1.1 500 Internal Server Error\r\nx: y\r\n\r\n", Fault::NoEvent)]
#[case::head_after_an_id("id: 7\nHTTP/1.1 500 Internal Server Error\r\n\r\n", Fault::NoEvent)]
#[case::repeated("id: 6\ndata: x\n\n", Fault::OutOfOrder { id: 6, last: 6 })]
#[case::earlier("id: 1\ndata: x\n\n", Fault::OutOfOrder { id: 1, last: 6 })]
fn only_events_that_continue_the_stream_pass(#[case] text: &str, #[case] fault: Fault) {
    let event = "id: 6\ndata: a\n\n";
    let mut splitter = Splitter::after(Some(5));
    let events = splitter.push(&Bytes::from(format!("{event}{text}id: 8\ndata: b\n\n")));
    let expected = Events {
        bytes: Bytes::from(event),
        fault: Some(fault),
    };
    assert_eq!(events, expected);
    assert_eq!(splitter.position(), Some(6));
}
