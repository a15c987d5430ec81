//! Cutting of byte streams into events.

use bytes::Bytes;
use rstest::rstest;

use crate::relay::sse::{Joiner, TooLong, data, events};

fn cut(frames: &[&str]) -> Vec<String> {
    let mut joiner = Joiner::default();
    let mut all = Vec::new();
    for frame in frames {
        let frame = Bytes::copy_from_slice(frame.as_bytes());
        let whole = joiner.push(frame).expect("the events are short");
        for event in events(&whole) {
            all.push(String::from_utf8(event.to_vec()).expect("the events are text"));
        }
    }
    all
}

#[rstest]
#[case::one_frame_one_event(&["data: a\n\n"], &["data: a\n\n"])]
#[case::one_frame_two_events(&["data: a\n\ndata: b\n\n"], &["data: a\n\n", "data: b\n\n"])]
#[case::cut_in_the_text(&["dat", "a: a\n\n"], &["data: a\n\n"])]
#[case::cut_in_the_separator(&["data: a\n", "\ndata: b\n\n"], &["data: a\n\n", "data: b\n\n"])]
#[case::cut_byte_by_byte(&["d", "a", "t", "a", ":", "\n", "\n"], &["data:\n\n"])]
#[case::empty_frame(&["data: a", "", "\n\n"], &["data: a\n\n"])]
#[case::unfinished_event(&["data: a\n\ndata: b"], &["data: a\n\n"])]
fn events_are_cut_at_their_ends(#[case] frames: &[&str], #[case] expected: &[&str]) {
    assert_eq!(cut(frames), expected);
}

#[rstest]
fn an_event_without_end_is_refused() {
    let mut joiner = Joiner::default();
    let frame = Bytes::from(vec![b'a'; 1 << 19]);
    let outcome = (0..8).try_for_each(|_| {
        let whole = joiner.push(frame.clone())?;
        assert!(whole.is_empty());
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
