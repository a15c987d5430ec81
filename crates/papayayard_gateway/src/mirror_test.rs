use std::time::Duration;

use bytes::Bytes;

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

fn mirror() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.restart(10);
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
    assert!(mirror.has_changes(Some(10)) && !mirror.has_changes(Some(12)));
    let part = mirror.part(Some(10)).expect("a part");
    assert!(!part.is_whole);
    let offsets: Vec<u64> = part.records.iter().map(|one| one.record.offset).collect();
    assert_eq!(offsets, [10]);
}

#[test]
fn a_host_that_missed_records_gets_all_keys() {
    let part = mirror().part(Some(4)).expect("a part");
    assert!(part.is_whole, "records before 10 may be missing here");
    let ahead = mirror().part(Some(99)).expect("a part");
    assert!(ahead.is_whole, "another store's offsets");
}

#[test]
fn a_removed_key_is_reported_and_no_longer_held() {
    let mut mirror = mirror();
    mirror.put(&record(10, "a", None), true);
    mirror.caught_up(11, REQUESTED_AT);
    let changes = mirror.part(Some(10)).expect("a part");
    assert_eq!(changes.records, [record(10, "a", None)]);
    let whole = mirror.part(None).expect("a part");
    assert_eq!(whole.records.len(), 1);
}
