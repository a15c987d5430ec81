//! What a table keeps.

use std::time::Duration;

use papayayard_wire::id;

use super::{Run, Table};
use crate::quarantine::Fingerprint;

const PART: Fingerprint = Fingerprint(1);
const CRASHES: u64 = 1_000;

/// Guards against a run for each crash of a part that many requests share, for ever.
#[test]
fn runs_of_a_cleared_part_are_removed() {
    let mut table = Table::default();
    let mut now = Duration::from_hours(1);
    for number in 0..CRASHES {
        let run = Run {
            endpoint: id::Endpoint::from("engine".to_owned()),
            started: id::Incarnation(number),
        };
        now += Duration::from_secs(1);
        table.record_part_crash(PART, &run, Some(now), now);
        table.record_part_successes(&[PART], now);
    }
    table.remove_expired(now);
    assert!(table.runs.is_empty(), "{} runs", table.runs.len());
}
