//! A request that ends the endpoints which run it is stopped at the second
//! death; what ran beside it is answered.

mod support;

use papayayard_stand_in::engine::Fault;
use papayayard_wire::refusal::Kind;
use rstest::rstest;
use support::Bed;

const MARKER: &str = "crash-the-engine";
const KILLER: &str = "a prompt with crash-the-engine in it";
/// Engines, and requests with one prefix.
const ENGINES: usize = 24;
const REQUESTS: usize = 16;
/// Length of that prefix, in repetitions of a text; several blocks.
const PREFIX_REPEATS: usize = 100;
/// Engines that a prefix may end before it has to be refused, and those after that.
const MAX_DEATHS: usize = 5;
const MAX_LATER: usize = 3;

#[rstest]
#[tokio::test]
async fn a_killing_request_gets_a_final_answer_and_its_neighbours_are_answered() {
    let bed = Bed::start(6, 0).await;
    bed.publish(0, &support::document("v1", 6)).await;
    let host = bed.ready_host("entry-1").await;
    for engine in &bed.engines {
        engine.fault(Fault::CrashOn {
            marker: Some(MARKER.to_owned()),
            down_ms: 600_000,
        });
    }
    let neighbours = async {
        let mut answers = Vec::new();
        for number in 0..12 {
            let prompt = format!("neighbour {number}");
            let reply = support::complete(&host, &prompt, 40).await;
            let text = reply.expect("the exchange is whole").complete_stream();
            answers.push(text == support::expected(&prompt, 40));
        }
        answers
    };
    let killer = support::complete(&host, KILLER, 4);
    let (answers, killer) = tokio::join!(neighbours, killer);
    assert!(answers.iter().all(|whole| *whole), "{answers:?}");
    let killer = killer.expect("the exchange is whole");
    assert!(
        killer.text().contains(Kind::Quarantined.as_str()),
        "{}",
        killer.text()
    );
    let crashed = |e: &papayayard_stand_in::ledger::Entry| {
        e.outcome == papayayard_stand_in::ledger::Outcome::Crashed
    };
    let deaths: std::collections::HashSet<_> = bed
        .engine_ledger()
        .iter()
        .filter(|entry| crashed(entry))
        .map(|entry| entry.incarnation)
        .collect();
    assert!(deaths.len() <= 2, "{} engines died", deaths.len());

    let again = support::complete(&host, KILLER, 4).await;
    let refusal = again.expect("the exchange is whole").refusal();
    assert_eq!(refusal.error.kind, Kind::Quarantined);
    assert_eq!(refusal.error.retry_after_ms, None);
}

/// Guards against judging whole requests alone: no two of these are alike, but all begin
/// with the same text.
#[tokio::test]
async fn a_prefix_that_kills_engines_is_stopped() {
    let bed = Bed::start(ENGINES, 0).await;
    bed.publish(0, &support::document("v1", ENGINES)).await;
    let host = bed.ready_host("entry-1").await;
    for engine in &bed.engines {
        engine.fault(Fault::CrashOn {
            marker: Some(MARKER.to_owned()),
            down_ms: 600_000,
        });
    }
    let prefix = format!("{MARKER} and more ").repeat(PREFIX_REPEATS);
    for number in 0..REQUESTS {
        let prompt = format!("{prefix} question {number}");
        drop(support::complete(&host, &prompt, 4).await);
    }
    let ledger = bed.engine_ledger();
    let crashed = ledger
        .iter()
        .filter(|entry| entry.outcome == papayayard_stand_in::ledger::Outcome::Crashed);
    let deaths: std::collections::HashSet<_> = crashed.map(|entry| entry.incarnation).collect();
    let bound = MAX_DEATHS + MAX_LATER;
    assert!(deaths.len() <= bound, "{} engines died", deaths.len());
}
