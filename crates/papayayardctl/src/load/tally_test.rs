//! Counts, and the comparison of what was told with what ran.

use papayayard_stand_in::generate::Digest;
use papayayard_stand_in::ledger::{Entry, Outcome};
use papayayard_wire::id;
use papayayard_wire::refusal::{Kind, Ran};
use rstest::rstest;

use super::caller::{End, Seen};
use super::tally::{Audit, Tally};

fn seen(end: End) -> Seen {
    Seen {
        end,
        request: Some("r-1".into()),
        ..Seen::lost()
    }
}

fn entry(outcome: Outcome) -> Entry {
    Entry {
        request: Some("r-1".into()),
        key: None,
        route: "POST /v1/completions".to_owned(),
        digest: Digest(1),
        incarnation: id::Incarnation(1),
        version: None,
        salt: None,
        started_ms: 0,
        from: 0,
        tokens: 1,
        prompt_tokens: 10,
        cached_tokens: 4,
        outcome,
    }
}

const NOT_RUN: End = End::Refused(Some(Kind::Overloaded), Ran::No);
const UNKNOWN: End = End::Refused(Some(Kind::EndpointFailed), Ran::Unknown);

#[rstest]
#[case::complete(End::Complete, &[Outcome::Complete], (0, 0, 0))]
#[case::after_a_crash(End::Complete, &[Outcome::Crashed, Outcome::Complete], (0, 0, 0))]
#[case::twice(End::Complete, &[Outcome::Complete, Outcome::Complete], (1, 0, 0))]
#[case::never(End::Complete, &[], (0, 0, 1))]
#[case::only_crashed(End::Complete, &[Outcome::Crashed], (0, 0, 1))]
#[case::not_run(NOT_RUN, &[], (0, 0, 0))]
#[case::said_not_run(NOT_RUN, &[Outcome::Cancelled], (0, 1, 0))]
#[case::unknown(UNKNOWN, &[Outcome::Complete], (0, 0, 0))]
#[case::cut(End::Cut, &[Outcome::Complete, Outcome::Complete], (1, 0, 0))]
fn the_audit(
    #[case] end: End,
    #[case] ran: &[Outcome],
    #[case] (ran_twice, said_not_run, never_run): (u64, u64, u64),
) {
    let mut tally = Tally::new(1.0);
    tally.add(&seen(end));
    let entries: Vec<Entry> = ran.iter().copied().map(entry).collect();
    let count = entries.len() as u64;
    let expected = Audit {
        ran_twice,
        said_not_run,
        never_run,
        computed_tokens: 6 * count,
        cached_tokens: 4 * count,
    };
    assert_eq!(tally.audit(&entries), expected);
}

#[rstest]
#[case::complete(End::Complete, (1, 0, 0))]
#[case::refused(NOT_RUN, (0, 1, 0))]
#[case::failed(End::Failed(Some(Kind::Stopping)), (0, 0, 1))]
#[case::cut(End::Cut, (0, 0, 1))]
#[case::lost(End::Lost, (0, 0, 1))]
#[case::unreachable(End::Unreachable, (0, 0, 1))]
#[case::wrong(End::Wrong("reason"), (0, 0, 1))]
fn each_end_counts_once(#[case] end: End, #[case] (complete, refused, lost): (u64, u64, u64)) {
    let mut tally = Tally::new(1.0);
    tally.add(&seen(end));
    let counted = (tally.complete, tally.refused_total(), tally.lost());
    assert_eq!(counted, (complete, refused, lost));
    assert_eq!(tally.requests, 1);
}
