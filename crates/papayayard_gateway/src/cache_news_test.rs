use papayayard_routing::prompt;
use papayayard_wire::id;

use super::ChangeLog;
use crate::schedule::Holder;

fn endpoint(name: &str) -> Holder {
    Holder::Endpoint(id::Endpoint::from(name))
}

fn store() -> Holder {
    Holder::Store(id::Service::from("kept"))
}

const fn part(number: u64, tokens: u32) -> (prompt::Key, u32) {
    (prompt::Key::from_number(number), tokens)
}

#[test]
fn a_batch_holds_the_latest_token_count_of_each_part() {
    let mut changes = ChangeLog::default();
    changes.add(&endpoint("e1"), &[part(1, 800), part(2, 400)]);
    changes.add(&endpoint("e1"), &[part(1, 0)]);
    changes.add(&store(), &[part(1, 800)]);
    let batch = changes.since(0);
    assert_eq!(batch.next, 4);
    let mut kept = batch.kept.clone();
    kept.sort_unstable();
    assert_eq!(kept, [(0, 1, 0), (0, 2, 400), (1, 1, 800)]);
    assert_eq!(batch.holder(0), Some(endpoint("e1")));
    assert_eq!(batch.holder(1), Some(store()));
    assert_eq!(batch.holder(2), None);
}

#[test]
fn parts_cached_before_an_invalidation_are_left_out() {
    let mut changes = ChangeLog::default();
    changes.add(&endpoint("e1"), &[part(1, 800)]);
    changes.clear(&endpoint("e1"));
    changes.add(&endpoint("e1"), &[part(2, 400)]);
    let batch = changes.since(0);
    assert_eq!(batch.forgotten, [0]);
    assert_eq!(batch.kept, [(0, 2, 400)]);
}

#[test]
fn a_host_continues_from_its_last_number() {
    let mut changes = ChangeLog::default();
    changes.add(&endpoint("e1"), &[part(1, 800)]);
    let next = changes.since(0).next;
    assert!(changes.since(next).kept.is_empty());
    changes.add(&endpoint("e1"), &[part(2, 400)]);
    assert_eq!(changes.since(next).kept, [(0, 2, 400)]);
    assert_eq!(changes.since(999).kept.len(), 2, "another host's numbers");
}
