//! Requests whose connections end before, while and after a run is probed.

use super::Waiting;

const RUN: &str = "run";
const OTHER: &str = "other";

/// Guards against an answer that counts as complete since its run lived before the answer was
/// cut.
#[test]
fn a_probe_does_not_speak_for_connections_that_end_after_it_began() {
    let mut waiting = Waiting::default();
    assert!(waiting.add(RUN, 1), "a probe begins");
    assert!(!waiting.add(RUN, 2), "one probe at a time");
    assert!(waiting.add(OTHER, 3));
    assert_eq!(waiting.finish(RUN, false), (vec![1], true));
    assert!(!waiting.add(RUN, 4));
    assert_eq!(waiting.finish(RUN, false), (vec![2], true));
    assert_eq!(waiting.finish(RUN, false), (vec![4], false));
    assert_eq!(waiting.finish(OTHER, false), (vec![3], false));
    assert!(
        waiting.add(RUN, 5),
        "nothing is left of the questions before"
    );
}

/// A run that has ended does not come back.
#[test]
fn a_probe_that_finds_an_end_speaks_for_all() {
    let mut waiting = Waiting::default();
    waiting.add(RUN, 1);
    waiting.add(RUN, 2);
    assert_eq!(waiting.finish(RUN, true), (vec![1, 2], false));
    assert!(waiting.add(RUN, 3));
}
