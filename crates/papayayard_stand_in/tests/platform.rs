//! The platform: log, list of hosts, weight store, and their faults.

mod common;

use std::time::Duration;

use common::{engine, eventually};
use papayayard_stand_in::client::Client;
use papayayard_stand_in::clock::Clock;
use papayayard_stand_in::engine::Options as Engine;
use papayayard_stand_in::platform::stream::Retention;
use papayayard_stand_in::platform::{Fault, Options, Running, hosts, stream, weights};
use papayayard_stand_in::service;
use papayayard_wire::log::{Batch, Offset, Offsets, Page};
use papayayard_wire::{directory, endpoint, id};
use rstest::rstest;
use serde_json::json;

async fn platform(options: Options) -> Running {
    papayayard_stand_in::platform::start(options)
        .await
        .expect("the platform starts")
}

fn batch(ids: &[&str]) -> serde_json::Value {
    let records: Vec<_> = ids
        .iter()
        .map(|id| json!({ "id": id, "payload": { "n": id } }))
        .collect();
    json!({ "records": records })
}

async fn append(platform: &Running, ids: &[&str]) -> Option<Offsets> {
    let client = Client::new(platform.address());
    client.post("/streams/s/records", &batch(ids)).await.ok()
}

async fn read(platform: &Running, query: &str) -> Page {
    let client = Client::new(platform.address());
    let path = format!("/streams/s/records?{query}");
    client.get(&path).await.expect("the log answers")
}

fn ids(page: &Page) -> Vec<&str> {
    page.records
        .iter()
        .map(|record| record.id.as_str())
        .collect()
}

#[tokio::test]
async fn a_batch_gets_offsets_in_order() {
    let platform = platform(Options::default()).await;
    assert_eq!(
        append(&platform, &["a", "b"]).await.unwrap().first,
        Offset(0)
    );
    assert_eq!(append(&platform, &["c"]).await.unwrap().first, Offset(2));
    let page = read(&platform, "from=1").await;
    assert_eq!(ids(&page), ["b", "c"]);
    assert_eq!((page.first, page.end), (Offset(0), Offset(3)));
    let limited = read(&platform, "from=0&limit=1").await;
    assert_eq!(ids(&limited), ["a"]);
}

#[tokio::test]
async fn a_lost_append_took_effect_and_its_repeat_is_stored_again() {
    let platform = platform(Options::default()).await;
    platform.fault(Fault::LoseAppends { count: 1 });
    assert!(append(&platform, &["a"]).await.is_none());
    assert_eq!(ids(&read(&platform, "from=0").await), ["a"]);
    assert_eq!(append(&platform, &["a"]).await.unwrap().first, Offset(1));
    assert_eq!(ids(&read(&platform, "from=0").await), ["a", "a"]);
}

#[tokio::test]
async fn a_read_waits_for_the_next_append() {
    let platform = platform(Options::default()).await;
    let address = platform.address();
    let waiting = tokio::spawn(async move {
        let client = Client::new(address);
        client
            .get::<Page>("/streams/s/records?from=0&wait_ms=15000")
            .await
    });
    eventually(async || (platform.waiting_reads() > 0).then_some(())).await;
    append(&platform, &["a"]).await.unwrap();
    assert_eq!(ids(&waiting.await.unwrap().unwrap()), ["a"]);
    let nothing = read(&platform, "from=1&wait_ms=1").await;
    assert!(nothing.records.is_empty());
}

#[tokio::test]
async fn records_past_retention_are_gone_and_the_page_says_from_where() {
    let platform = platform(Options {
        retention: Retention {
            records: 2,
            age_ms: u64::MAX,
        },
        ..Options::default()
    })
    .await;
    append(&platform, &["a", "b", "c"]).await.unwrap();
    let page = read(&platform, "from=0").await;
    assert_eq!(ids(&page), ["b", "c"]);
    assert_eq!((page.first, page.records[0].offset), (Offset(1), Offset(1)));
}

#[rstest]
#[case::young(1000, 2)]
#[case::old(1001, 0)]
fn records_age_out(#[case] now_ms: u64, #[case] kept: usize) {
    let retention = Retention {
        records: 10,
        age_ms: 1000,
    };
    let batch: Batch = serde_json::from_value(batch(&["a", "b"])).unwrap();
    let mut stream = stream::Stream::default();
    stream.append(batch, 0, retention);
    stream.expire(now_ms, retention);
    let page = stream.read(Offset(0), 10);
    assert_eq!(page.records.len(), kept);
    assert_eq!(page.end, Offset(2));
}

#[tokio::test]
async fn a_platform_that_is_down_takes_nothing_and_keeps_what_it_has() {
    let platform = platform(Options::default()).await;
    append(&platform, &["a"]).await.unwrap();
    platform.fault(Fault::Down);
    assert!(append(&platform, &["b"]).await.is_none());
    platform.fault(Fault::Clear);
    assert_eq!(ids(&read(&platform, "from=0").await), ["a"]);
}

#[tokio::test]
async fn endpoints_register_themselves() {
    let platform = platform(Options::default()).await;
    let engine = engine(Engine {
        platform: Some(platform.address()),
        ..Engine::default()
    })
    .await;
    let service = service::start(service::Options {
        platform: Some(platform.address()),
        ..service::Options::default()
    })
    .await
    .unwrap();
    let client = Client::new(platform.address());
    let list: directory::List = client.get("/hosts").await.unwrap();
    let addresses: Vec<_> = list.endpoints.iter().map(|entry| entry.address).collect();
    assert_eq!(addresses, [engine.address(), service.address()]);
}

#[tokio::test]
async fn the_control_route_adds_changes_and_removes() {
    let platform = platform(Options::default()).await;
    let client = Client::new(platform.address());
    let mut host = json!({
        "id": "entry-1", "zone": "bergen-a", "peer": "127.0.0.1:9", "state": "live"
    });
    client.post::<_, ()>("/control/hosts", &host).await.unwrap();
    host["state"] = json!("leaving");
    client.post::<_, ()>("/control/hosts", &host).await.unwrap();
    let list: directory::List = client.get("/hosts").await.unwrap();
    assert_eq!(list.hosts.len(), 1);
    assert_eq!(list.hosts[0].state, directory::State::Leaving);
    let gone = json!({ "id": "entry-1" });
    client
        .post::<_, ()>("/control/remove", &gone)
        .await
        .unwrap();
    let list: directory::List = client.get("/hosts").await.unwrap();
    assert!(list.hosts.is_empty());
}

#[rstest]
#[case::before(12, 0)]
#[case::at_the_lag(13, 1)]
#[case::between(15, 1)]
#[case::second(18, 2)]
fn the_list_lags(#[case] now: u64, #[case] shown: usize) {
    let host = |name: &str| directory::Host {
        id: name.into(),
        zone: "bergen-a".into(),
        peer: ([127, 0, 0, 1], 9).into(),
        state: directory::State::Live,
    };
    let seconds = Duration::from_secs;
    let mut hosts = hosts::Hosts::default();
    hosts.put_host(host("a"), seconds(10));
    hosts.put_host(host("b"), seconds(15));
    let list = hosts.lagging(seconds(now), seconds(3));
    assert_eq!(list.hosts.len(), shown);
}

#[rstest]
#[case::as_many_as_fit(3, 1.0)]
#[case::twice_as_many(6, 2.0)]
#[tokio::test(start_paused = true)]
async fn more_loads_than_fit_take_longer(#[case] loads: usize, #[case] factor: f64) {
    let time = Duration::from_millis(1300);
    let store = weights::Store::new(time, 3);
    let clock = Clock::start(1.0);
    let all = (0..loads).map(|_| store.load(&clock));
    futures_util::future::join_all(all).await;
    let took = clock.now().as_secs_f64() / time.as_secs_f64();
    assert!(
        (took - factor).abs() < 0.05,
        "took {took} times the load time"
    );
    assert_eq!(store.active(), 0);
}

#[tokio::test]
async fn an_engine_loads_weights_from_the_platform_once_it_is_back() {
    let platform = platform(Options {
        time_scale: common::TIME_SCALE,
        ..Options::default()
    })
    .await;
    let engine = engine(Engine {
        platform: Some(platform.address()),
        ..Engine::default()
    })
    .await;
    platform.fault(Fault::Down);
    let order = endpoint::Order {
        fence: id::Fence(1),
        goal: endpoint::Goal::Load {
            model: "match".into(),
            version: "2".into(),
        },
    };
    let client = Client::new(engine.address());
    client
        .post::<_, serde_json::Value>("/orders", &order)
        .await
        .unwrap();
    assert_eq!(engine.truth().report().state, endpoint::State::Loading);
    platform.fault(Fault::Clear);
    eventually(async || {
        let report = engine.truth().report();
        (report.state == endpoint::State::Ready).then_some(())
    })
    .await;
    assert_eq!(engine.truth().report().version, "2".into());
}
