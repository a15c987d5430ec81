use bytes::Bytes;
use rstest::rstest;

use super::Splitter;

fn push(splitter: &mut Splitter, text: &'static str) -> String {
    let events = splitter.push(&Bytes::from_static(text.as_bytes()));
    String::from_utf8(events.expect("events").to_vec()).expect("text")
}

#[rstest]
#[case::lines("id: 1\ndata: a\n\n", 1)]
#[case::carriage_returns("id: 4\r\ndata: a\r\n\r\n", 4)]
#[case::two("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2)]
#[case::other_lines_first("other: 3\nid:9\ndata: x\n\n", 9)]
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
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
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
