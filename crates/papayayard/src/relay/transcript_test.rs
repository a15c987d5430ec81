//! Checks of a stream's events against what the caller has.

use papayayard_wire::completion::Continuation;
use rstest::rstest;

use crate::relay::transcript::{Mismatch, Step, Transcript};

const END: &str = "data: [DONE]\n\n";

fn chunk(id: &str, position: u64, text: &str, finish: Option<&str>) -> String {
    let finish = finish.map_or("null".to_owned(), |reason| format!("{reason:?}"));
    format!(
        "data: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"model\":\"match\",\
         \"position\":{position},\"tokens\":1,\"choices\":[{{\"index\":0,\"text\":{text:?},\
         \"finish_reason\":{finish}}}]}}\n\n"
    )
}

fn take(events: &[String]) -> Vec<Result<Step, Mismatch>> {
    let mut transcript = Transcript::new("r1");
    let events = events.iter();
    events
        .map(|event| transcript.take(event.as_bytes()))
        .collect()
}

#[rstest]
#[case::whole(
    vec![chunk("r1", 0, "a", None), chunk("r1", 1, "b", Some("stop")), END.to_owned()],
    vec![Ok(Step::Forward), Ok(Step::Forward), Ok(Step::End)]
)]
#[case::gap(
    vec![chunk("r1", 0, "a", None), chunk("r1", 2, "c", None)],
    vec![Ok(Step::Forward), Err(Mismatch::OutOfOrder)]
)]
#[case::repeat(
    vec![chunk("r1", 0, "a", None), chunk("r1", 0, "a", None)],
    vec![Ok(Step::Forward), Err(Mismatch::OutOfOrder)]
)]
#[case::after_the_last_chunk(
    vec![chunk("r1", 0, "a", Some("stop")), chunk("r1", 1, "b", None)],
    vec![Ok(Step::Forward), Err(Mismatch::OutOfOrder)]
)]
#[case::other_request(
    vec![chunk("r2", 0, "a", None)],
    vec![Err(Mismatch::OtherRequest)]
)]
#[case::end_mark_too_early(
    vec![chunk("r1", 0, "a", None), END.to_owned()],
    vec![Ok(Step::Forward), Err(Mismatch::EndedEarly)]
)]
#[case::no_chunk(vec!["data: {}\n\n".to_owned()], vec![Err(Mismatch::Malformed)])]
#[case::no_data(vec!["event: x\n\n".to_owned()], vec![Err(Mismatch::Malformed)])]
fn an_event_must_be_the_next_of_its_stream(
    #[case] events: Vec<String>,
    #[case] expected: Vec<Result<Step, Mismatch>>,
) {
    assert_eq!(take(&events), expected);
}

#[rstest]
fn another_endpoint_continues_from_what_the_caller_has() {
    let mut transcript = Transcript::new("r1");
    assert_eq!(transcript.continuation(), None);
    for (position, text) in ["The ", "pair"].into_iter().enumerate() {
        let event = chunk("r1", position as u64, text, None);
        let step = transcript.take(event.as_bytes());
        assert_eq!(step, Ok(Step::Forward));
    }
    let expected = Continuation {
        position: 2,
        text: "The pair".to_owned(),
    };
    assert_eq!(transcript.continuation(), Some(expected));
}
