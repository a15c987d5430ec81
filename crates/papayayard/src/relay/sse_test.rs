//! Cutting of byte streams into events.

use bytes::Bytes;
use rstest::rstest;

use crate::relay::sse::{Splitter, TooLong, data};

fn cut(frames: &[&str]) -> Vec<String> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for frame in frames {
        let frame = Bytes::copy_from_slice(frame.as_bytes());
        splitter.push(frame).expect("the events are short");
        while let Some(event) = splitter.next() {
            events.push(String::from_utf8(event.to_vec()).expect("the events are text"));
        }
    }
    events
}

#[rstest]
#[case::one_frame_one_event(&["data: a\n\n"], &["data: a\n\n"])]
#[case::one_frame_two_events(&["data: a\n\ndata: b\n\n"], &["data: a\n\n", "data: b\n\n"])]
#[case::cut_in_the_text(&["dat", "a: a\n\n"], &["data: a\n\n"])]
#[case::cut_in_the_separator(&["data: a\n", "\ndata: b\n\n"], &["data: a\n\n", "data: b\n\n"])]
#[case::cut_byte_by_byte(&["d", "a", "t", "a", ":", "\n", "\n"], &["data:\n\n"])]
#[case::empty_frame(&["data: a", "", "\n\n"], &["data: a\n\n"])]
#[case::unfinished_event(&["data: a\n\ndata: b"], &["data: a\n\n"])]
fn events_are_cut_at_their_ends(#[case] frames: &[&str], #[case] events: &[&str]) {
    assert_eq!(cut(frames), events);
}

#[rstest]
fn an_event_without_end_is_refused() {
    let mut splitter = Splitter::default();
    let frame = Bytes::from(vec![b'a'; 1 << 19]);
    let outcome = (0..8).try_for_each(|_| {
        splitter.push(frame.clone())?;
        assert_eq!(splitter.next(), None);
        Ok(())
    });
    assert_eq!(outcome, Err(TooLong));
}

#[rstest]
#[case::with_space(b"data: {}\n\n", Some(b"{}".as_slice()))]
#[case::without_space(b"data:{}\n\n", Some(b"{}".as_slice()))]
#[case::other_field(b"event: x\n\n", None)]
fn data_is_what_follows_the_name(#[case] event: &[u8], #[case] expected: Option<&[u8]>) {
    assert_eq!(data(event), expected);
}
