//! Orders to load weights: by one host at a time, to endpoints of both kinds.

mod support;

use std::time::Duration;

use http::Method;
use papayayard::host;
use papayayard_stand_in::engine;
use papayayard_wire::{directory, endpoint, id};
use rstest::rstest;
use support::Bed;

fn hosts(bed: &Bed, names: &[&str]) -> Vec<host::Running> {
    let mut hosts = Vec::new();
    for name in names {
        let host = bed.host(name, "local", &[]);
        bed.platform.put_host(directory::Host {
            id: (*name).into(),
            zone: "local".into(),
            peer: host.addresses().peers,
            state: directory::State::Live,
        });
        hosts.push(host);
    }
    hosts
}

/// Waits until all endpoints serve a version, as a host sees them.
async fn wait_for_version(host: &host::Running, version: &str) {
    support::wait_until(host, |status| {
        let mut endpoints = status.endpoints.iter();
        !status.endpoints.is_empty()
            && endpoints.all(|endpoint| {
                endpoint.eligible && endpoint.version == Some(id::Version::from(version))
            })
    })
    .await;
}

fn loading(bed: &Bed) -> usize {
    let states = bed
        .engines
        .iter()
        .map(|engine| engine.truth().report().state);
    states
        .filter(|state| *state == endpoint::State::Loading)
        .count()
}

async fn order(engine: &engine::Running, order: &endpoint::Order) -> bool {
    let body = serde_json::to_string(order).unwrap();
    let reply = support::call(engine.address(), Method::POST, "/orders", &[], &body).await;
    reply.expect("the engine answers").status.is_success()
}

fn fenced(options: &mut engine::Options, is_checked: bool) {
    options.fencing = if is_checked {
        engine::Fencing::Checked
    } else {
        engine::Fencing::Ignored
    };
}

#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
#[tokio::test]
async fn a_new_version_is_loaded_by_all_few_at_once(#[case] is_checked: bool) {
    let bed = Bed::with(5, 0, |options| fenced(options, is_checked)).await;
    bed.publish(0, &support::document("v1", 5)).await;
    let hosts = hosts(&bed, &["entry-1", "entry-2"]);
    for host in &hosts {
        wait_for_version(host, "v1").await;
    }
    bed.publish(1, &support::document("v2", 5)).await;
    let watch = async {
        loop {
            assert!(
                loading(&bed) <= 3,
                "more load at once than the document allows"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = watch => {}
        () = wait_for_version(&hosts[0], "v2") => {}
    }
    wait_for_version(&hosts[1], "v2").await;
}

#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
#[tokio::test]
async fn a_stale_order_changes_nothing_for_good(#[case] is_checked: bool) {
    let bed = Bed::with(1, 0, |options| fenced(options, is_checked)).await;
    // Lifts the fencing number of the present lease above that of a stale one.
    bed.publish(0, &support::document("v1", 1)).await;
    let first = hosts(&bed, &["entry-1"]).remove(0);
    wait_for_version(&first, "v1").await;
    bed.publish(1, &support::document("v2", 1)).await;
    wait_for_version(&first, "v2").await;
    first.stop().await;
    let second = hosts(&bed, &["entry-2"]).remove(0);
    bed.publish(2, &support::document("v3", 1)).await;
    wait_for_version(&second, "v3").await;

    let stale = endpoint::Order {
        fence: id::Fence(0),
        goal: endpoint::Goal::Load {
            model: "match".into(),
            version: "v1".into(),
        },
    };
    let is_taken = order(&bed.engines[0], &stale).await;
    assert_eq!(is_taken, !is_checked);
    wait_for_version(&second, "v3").await;
    assert_eq!(bed.engines[0].truth().report().version, "v3".into());
}

#[tokio::test]
async fn a_planned_stop_hands_the_lease_to_the_other_host() {
    let bed = Bed::start(1, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let mut hosts = hosts(&bed, &["entry-1", "entry-2"]);
    for host in &hosts {
        wait_for_version(host, "v1").await;
    }
    bed.publish(1, &support::document("v2", 1)).await;
    wait_for_version(&hosts[0], "v2").await;
    let records = |bed: &Bed| {
        let records = bed.platform.records("leases");
        let texts = records.iter().map(|record| record.payload.get().to_owned());
        texts.collect::<Vec<String>>()
    };
    let holder = usize::from(records(&bed)[0].contains("entry-2"));
    hosts.remove(holder).stop().await;
    assert!(
        records(&bed)
            .iter()
            .any(|record| record.contains("release"))
    );
    bed.publish(2, &support::document("v3", 1)).await;
    wait_for_version(&hosts[0], "v3").await;
}
