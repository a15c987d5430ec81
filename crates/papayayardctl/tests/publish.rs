//! `publish`, `show` and `promote` against stand-in platforms.

mod common;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use common::Ended;
use papayayard_stand_in::platform::{self, Fault, Options, Running};
use papayayard_wire::configuration::{Proposal, STREAM};

const FIRST: &str = include_str!("../../../examples/fjordtakt.yaml");

async fn platform() -> Running {
    platform::start(Options::default())
        .await
        .expect("a loopback port is free")
}

fn proposals(platform: &Running) -> Vec<Proposal> {
    let records = platform.records(STREAM);
    let read = |record: &papayayard_wire::log::Record| serde_json::from_str(record.payload.get());
    records
        .iter()
        .map(|record| read(record).expect("a proposal"))
        .collect()
}

async fn publish(platform: SocketAddr, more: &[&str], file: &Path) -> Ended {
    let address = platform.to_string();
    let mut arguments = vec!["publish", "--platform", &address];
    arguments.extend(more);
    arguments.push(file.to_str().expect("the path is text"));
    common::ctl(&arguments).await
}

async fn promote(from: &Running, to: &Running, more: &[&str]) -> Ended {
    let (from, to) = (from.address().to_string(), to.address().to_string());
    let mut arguments = vec!["promote", "--from", &from, "--to", &to];
    arguments.extend(more);
    common::ctl(&arguments).await
}

/// The first document with other limits of one account.
fn changed(name: &str) -> PathBuf {
    let text = FIRST.replace("open_requests: 1200", "open_requests: 1300");
    assert_ne!(text, FIRST);
    common::file(name, text.as_bytes())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_first_document_and_its_successor_are_accepted() {
    let platform = platform().await;
    let first = common::example("fjordtakt.yaml");
    let ended = publish(platform.address(), &["--by", "anna"], &first).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
    assert!(ended.out.contains("revision 1 accepted"), "{ended:?}");
    assert!(ended.out.contains("record anna."), "{ended:?}");
    let ended = publish(platform.address(), &[], &changed("successor")).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
    let found: Vec<(u64, u64)> = proposals(&platform)
        .iter()
        .map(|proposal| (proposal.base.0, proposal.revision.0))
        .collect();
    assert_eq!(found, [(0, 1), (1, 2)]);
    assert_eq!(
        proposals(&platform)[0].document,
        FIRST,
        "the bytes are the file's"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_document_in_force_is_not_appended_again() {
    let platform = platform().await;
    let first = common::example("fjordtakt.yaml");
    publish(platform.address(), &[], &first).await;
    let ended = publish(platform.address(), &[], &first).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
    assert!(ended.out.contains("already"), "{ended:?}");
    assert_eq!(proposals(&platform).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_with_faults_is_not_sent() {
    let platform = platform().await;
    let file = common::file("faulty", b"format: 1\n");
    let ended = publish(platform.address(), &[], &file).await;
    assert_eq!(ended.code, Some(1), "{ended:?}");
    assert!(ended.err.contains("accounts: is missing"), "{ended:?}");
    assert!(proposals(&platform).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_made_from_an_older_revision_is_not_sent() {
    let platform = platform().await;
    publish(platform.address(), &[], &common::example("fjordtakt.yaml")).await;
    let ended = publish(platform.address(), &["--base", "0"], &changed("older")).await;
    assert_eq!(ended.code, Some(3), "{ended:?}");
    assert!(ended.err.contains("papayayardctl show"), "{ended:?}");
    assert_eq!(proposals(&platform).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_one_wins_and_the_other_is_told() {
    let platform = platform().await;
    let files = [
        common::example("fjordtakt.yaml"),
        common::example("halvorsen.yaml"),
    ];
    let (one, two) = tokio::join!(
        publish(
            platform.address(),
            &["--base", "0", "--by", "anna"],
            &files[0]
        ),
        publish(
            platform.address(),
            &["--base", "0", "--by", "bjorn"],
            &files[1]
        ),
    );
    let mut codes = [one.code, two.code];
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(3)], "{one:?} {two:?}");
    let (won, lost) = if one.code == Some(0) {
        (one, two)
    } else {
        (two, one)
    };
    assert!(lost.err.contains("and publish that"), "{lost:?}");
    assert!(won.out.contains("revision 1 accepted"), "{won:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_looked_up_and_counted_once() {
    let platform = platform().await;
    platform.fault(Fault::LoseAppends { count: 1 });
    let ended = publish(platform.address(), &[], &common::example("fjordtakt.yaml")).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
    assert_eq!(proposals(&platform).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_is_down_is_told() {
    let platform = platform().await;
    platform.fault(Fault::Down);
    let more = ["--timeout-ms", "500"];
    let ended = publish(
        platform.address(),
        &more,
        &common::example("fjordtakt.yaml"),
    )
    .await;
    assert_eq!(ended.code, Some(4), "{ended:?}");
    assert!(ended.err.contains("nothing was changed"), "{ended:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn show_prints_the_bytes_in_force() {
    let platform = platform().await;
    let address = platform.address().to_string();
    let ended = common::ctl(&["show", "--platform", &address]).await;
    assert_eq!(ended.code, Some(3), "{ended:?}");
    publish(platform.address(), &[], &common::example("fjordtakt.yaml")).await;
    let ended = common::ctl(&["show", "--platform", &address]).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
    assert_eq!(ended.out, FIRST);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_bytes_in_force_in_trial_are_promoted() {
    let (trial, production) = (platform().await, platform().await);
    publish(trial.address(), &[], &common::example("halvorsen.yaml")).await;
    publish(trial.address(), &[], &common::example("fjordtakt.yaml")).await;
    let ended = promote(&trial, &production, &[]).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
    let found = proposals(&production);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].document, FIRST);
    assert_eq!(found[0].revision.0, 1);
    let ended = promote(&trial, &production, &[]).await;
    assert!(ended.out.contains("already"), "{ended:?}");
    assert_eq!(proposals(&production).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_promoted_from_an_empty_trial() {
    let (trial, production) = (platform().await, platform().await);
    let ended = promote(&trial, &production, &[]).await;
    assert_eq!(ended.code, Some(3), "{ended:?}");
    assert!(ended.err.contains("no document is in force"), "{ended:?}");
    assert!(proposals(&production).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn another_document_than_the_tried_one_is_not_promoted() {
    let (trial, production) = (platform().await, platform().await);
    publish(trial.address(), &[], &common::example("fjordtakt.yaml")).await;
    let other = blake3::hash(b"another").to_hex().to_string();
    let ended = promote(&trial, &production, &["--digest", &other]).await;
    assert_eq!(ended.code, Some(3), "{ended:?}");
    assert!(proposals(&production).is_empty());
    let tried = proposals(&trial)[0].digest.clone();
    let ended = promote(&trial, &production, &["--digest", &tried]).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_promotions_into_one_target_one_wins() {
    let trials = [platform().await, platform().await];
    let production = platform().await;
    publish(trials[0].address(), &[], &common::example("fjordtakt.yaml")).await;
    publish(trials[1].address(), &[], &common::example("halvorsen.yaml")).await;
    let (one, two) = tokio::join!(
        promote(&trials[0], &production, &["--by", "anna"]),
        promote(&trials[1], &production, &["--by", "bjorn"]),
    );
    let accepted = [&one, &two]
        .into_iter()
        .filter(|ended| ended.code == Some(0));
    let refused = [&one, &two]
        .into_iter()
        .filter(|ended| ended.code == Some(3));
    let (accepted, refused) = (accepted.count(), refused.count());
    let ran_one_after_the_other = accepted == 2 && proposals(&production)[1].base.0 == 1;
    assert!(
        ran_one_after_the_other || (accepted, refused) == (1, 1),
        "{one:?} {two:?}"
    );
}
