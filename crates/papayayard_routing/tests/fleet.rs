//! Eligibility of endpoints, and what the end of a run clears.

use std::time::Duration;

use papayayard_routing::{choice, fleet, index, run};
use papayayard_wire::{block, endpoint, id};
use rstest::rstest;

use choice::Policy as _;

const BLOCK: usize = 2_048;

fn second(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn report(
    incarnation: u64,
    version: &str,
    state: endpoint::State,
    age_ms: u64,
) -> endpoint::Report {
    endpoint::Report {
        endpoint: "e".into(),
        incarnation: id::Incarnation(incarnation),
        state,
        model: "m".into(),
        version: version.into(),
        running: 0,
        queued: 0,
        pending_tokens: 0,
        slots: 8,
        prefill_rate: 8_000,
        cache_blocks: 1_000,
        sequence: 0,
        age_ms,
    }
}

fn ready(incarnation: u64) -> endpoint::Report {
    report(incarnation, "v1", endpoint::State::Ready, 0)
}

fn fleet() -> (fleet::Fleet, fleet::Key) {
    let mut fleet = fleet::Fleet::new(fleet::Settings {
        version: "v1".into(),
        block_bytes: BLOCK,
        index_blocks: 10_000,
    });
    let key = fleet.join(&"e".into(), &"a".into());
    (fleet, key)
}

fn held(fleet: &fleet::Fleet, key: u64, now: Duration) -> usize {
    let mut count = 0;
    let take = |_: index::Holder| count += 1;
    fleet.index().holders(block::Key(key), now, take);
    count
}

fn stored(incarnation: u64, sequence: u64, keys: &[u64]) -> endpoint::Page {
    let keys = keys.iter().copied().map(block::Key).collect();
    endpoint::Page {
        incarnation: id::Incarnation(incarnation),
        events: vec![endpoint::Event {
            sequence,
            change: endpoint::Change::Stored { keys },
        }],
    }
}

#[rstest]
#[case::ready("v1", endpoint::State::Ready, true)]
#[case::older_weights("v0", endpoint::State::Ready, false)]
#[case::loading("v1", endpoint::State::Loading, false)]
#[case::draining("v1", endpoint::State::Draining, false)]
fn only_ready_endpoints_with_the_documents_version_are_eligible(
    #[case] version: &str,
    #[case] state: endpoint::State,
    #[case] eligible: bool,
) {
    let (mut fleet, key) = fleet();
    assert!(!fleet.eligible(key), "no report has arrived yet");
    fleet.report(key, &report(1, version, state, 0), second(1));
    assert_eq!(fleet.eligible(key), eligible);
}

#[test]
fn new_version_in_the_document_makes_the_old_ineligible() {
    let (mut fleet, key) = fleet();
    fleet.report(key, &ready(1), second(1));
    fleet.set_version("v2".into());
    assert!(!fleet.eligible(key));
    let loaded = report(1, "v2", endpoint::State::Ready, 0);
    fleet.report(key, &loaded, second(2));
    assert!(fleet.eligible(key));
}

#[rstest]
#[case::leaving(|fleet: &mut fleet::Fleet, key| fleet.leave(key))]
#[case::ejected(|fleet: &mut fleet::Fleet, key| fleet.set_ejected(key, true))]
#[case::removed(|fleet: &mut fleet::Fleet, key| fleet.remove(key))]
#[case::crashed(|fleet: &mut fleet::Fleet, key| fleet.crashed(key, second(1)))]
fn receives_no_new_requests<Act>(#[case] act: Act)
where
    Act: Fn(&mut fleet::Fleet, fleet::Key),
{
    let (mut fleet, key) = fleet();
    fleet.report(key, &ready(1), second(1));
    act(&mut fleet, key);
    assert!(!fleet.eligible(key));
    let query = choice::Query {
        keys: &[],
        prompt_bytes: 10,
        output_tokens: 1,
        zone: &"a".into(),
        now: second(2),
        excluded: &[],
        first_token_limit: None,
    };
    let picked = choice::Papayayard::new(0).pick(&fleet, &query);
    assert_eq!(picked, Err(choice::Refusal::NoEndpoint));
}

#[test]
fn new_run_clears_the_entries_of_the_previous() {
    let (mut fleet, key) = fleet();
    fleet.report(key, &ready(7), second(1));
    fleet.events(key, &stored(7, 1, &[1, 2]), second(1));
    assert_eq!(held(&fleet, 1, second(1)), 1);
    assert_eq!(
        fleet.observe_run(key, id::Incarnation(3), second(2)),
        run::Match::New
    );
    assert_eq!(held(&fleet, 1, second(2)), 0);
    assert!(
        !fleet.eligible(key),
        "ineligible until a report of the new run"
    );
}

#[test]
fn late_messages_of_an_ended_run_are_ignored() {
    let (mut fleet, key) = fleet();
    fleet.report(key, &ready(1), second(1));
    fleet.report(key, &ready(2), second(5));
    let late = stored(1, 9, &[1]);
    assert_eq!(fleet.events(key, &late, second(6)), run::Match::Ended);
    assert_eq!(held(&fleet, 1, second(6)), 0);
    let late = report(1, "v1", endpoint::State::Ready, 3_000);
    assert_eq!(fleet.report(key, &late, second(6)), run::Match::Ended);
    assert!(fleet.eligible(key));
}

#[test]
fn an_endpoint_is_ineligible_after_a_crash_until_a_later_report() {
    let (mut fleet, key) = fleet();
    fleet.report(key, &ready(1), second(1));
    fleet.crashed(key, second(5));
    let before = report(1, "v1", endpoint::State::Ready, 2_000);
    fleet.report(key, &before, second(6));
    assert!(!fleet.eligible(key));
    let after = report(1, "v1", endpoint::State::Ready, 500);
    fleet.report(key, &after, second(6));
    assert!(fleet.eligible(key));
}

#[test]
fn at_most_half_of_the_failing_endpoints_are_ejected() {
    let (mut fleet, first) = fleet();
    let names = ["f", "g", "h"].map(id::Endpoint::from);
    let mut keys = vec![first];
    keys.extend(names.iter().map(|name| fleet.join(name, &"a".into())));
    for key in &keys {
        fleet.report(*key, &ready(1), second(1));
        for _ in 0..10 {
            fleet.dispatched(*key, &[], 10, 0, second(1));
            fleet.failed(*key, &[], second(1));
        }
    }
    let eligible = keys.iter().filter(|key| fleet.accepts(**key, second(1)));
    assert_eq!(eligible.count(), 2);
}

#[test]
fn blocks_of_a_failed_request_are_uncertain() {
    let (mut fleet, key) = fleet();
    fleet.report(key, &ready(1), second(1));
    let keys = [block::Key(1)];
    let uncertain = |fleet: &fleet::Fleet| {
        let mut found = Vec::new();
        let take = |holder: index::Holder| found.push(holder.uncertain);
        fleet.index().holders(keys[0], second(1), take);
        found
    };
    fleet.dispatched(key, &keys, BLOCK, 0, second(1));
    assert_eq!(uncertain(&fleet), [false]);
    fleet.failed(key, &keys, second(1));
    assert_eq!(uncertain(&fleet), [true]);
    fleet.answered(key, &keys, second(1));
    assert_eq!(uncertain(&fleet), [false]);
}
