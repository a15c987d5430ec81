use std::time::Duration;

use bytes::Bytes;

use papayayard_wire::log::{Era, Offset, Position};

use super::{Mirror, Received};
use crate::store::Record;

const REQUESTED_AT: Duration = Duration::from_secs(100);

fn record(offset: u64, key: &str, value: Option<&'static str>) -> Received {
    let record = Record {
        offset,
        key: key.to_owned(),
        value: value.map(Bytes::from),
    };
    Received::at(record, REQUESTED_AT)
}

/// Position in the first era.
fn at(offset: u64) -> Position {
    Position {
        era: Era(1),
        offset: Offset(offset),
    }
}

/// Position after the store was restored from an older copy.
fn restored_at(offset: u64) -> Position {
    Position {
        era: Era(2),
        offset: Offset(offset),
    }
}

fn mirror() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.restart(at(10));
    mirror.put(&record(3, "a", Some("1")), true);
    mirror.put(&record(7, "b", Some("1")), true);
    mirror.caught_up(10, REQUESTED_AT);
    mirror
}

#[test]
fn a_host_that_knows_nothing_gets_all_keys() {
    let part = mirror().part(None).expect("a part");
    assert!(part.is_whole);
    assert_eq!((part.records.len(), part.next), (2, 10));
    assert_eq!(part.requested_at, REQUESTED_AT);
}

#[test]
fn there_is_no_part_before_the_first_reading() {
    assert_eq!(Mirror::default().part(None), None);
    assert!(!Mirror::default().has_changes(None));
}

#[test]
fn a_host_that_has_followed_gets_only_changes() {
    let mut mirror = mirror();
    mirror.put(&record(10, "a", Some("2")), true);
    mirror.put(&record(11, "b", Some("1")), false);
    mirror.caught_up(12, REQUESTED_AT);
    assert!(mirror.has_changes(Some(at(10))) && !mirror.has_changes(Some(at(12))));
    let part = mirror.part(Some(at(10))).expect("a part");
    assert!(!part.is_whole);
    let offsets: Vec<u64> = part.records.iter().map(|one| one.record.offset).collect();
    assert_eq!(offsets, [10]);
}

#[test]
fn a_host_that_missed_records_gets_all_keys() {
    let part = mirror().part(Some(at(4))).expect("a part");
    assert!(part.is_whole, "records before 10 may be missing here");
    let ahead = mirror().part(Some(at(99))).expect("a part");
    assert!(ahead.is_whole, "offsets that this copy has not reached");
}

#[test]
fn a_removed_key_is_reported_and_no_longer_held() {
    let mut mirror = mirror();
    mirror.put(&record(10, "a", None), true);
    mirror.caught_up(11, REQUESTED_AT);
    let changes = mirror.part(Some(at(10))).expect("a part");
    assert_eq!(changes.records, [record(10, "a", None)]);
    let whole = mirror.part(None).expect("a part");
    assert_eq!(whole.records.len(), 1);
}

/// A host that had read an era took the offsets of another one for its own, and missed the
/// records below.
#[test]
fn a_host_of_another_era_gets_all_keys() {
    let mut mirror = mirror();
    mirror.restart(restored_at(4));
    mirror.put(&record(3, "a", Some("1")), true);
    mirror.caught_up(4, REQUESTED_AT);
    mirror.put(&record(4, "b", Some("3")), true);
    mirror.caught_up(30, REQUESTED_AT);
    assert!(mirror.has_changes(Some(at(10))));
    let part = mirror.part(Some(at(10))).expect("a part");
    assert!(part.is_whole);
    assert_eq!((part.era, part.records.len()), (Era(2), 2));
    let followed = mirror.part(Some(restored_at(4))).expect("a part");
    assert!(!followed.is_whole && followed.records.len() == 1);
    assert!(!mirror.has_changes(Some(restored_at(30))));
}

/// A host that started after the store was restored got what the copy has, though the other
/// hosts knew better.
#[test]
fn newer_content_is_kept_at_the_position_of_an_outdated_record() {
    let mut mirror = mirror();
    mirror.put(&record(12, "a", Some("2")), true);
    mirror.restart(restored_at(4));
    mirror.put_outdated(&record(3, "a", Some("1")));
    mirror.put_outdated(&record(2, "unknown", Some("1")));
    mirror.caught_up(4, REQUESTED_AT);
    let part = mirror.part(None).expect("a part");
    assert_eq!(part.records, [record(3, "a", Some("2"))]);
}
