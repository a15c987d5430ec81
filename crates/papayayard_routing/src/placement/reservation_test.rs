use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;

use super::{Digest, RESERVATION_PERIOD};
use crate::placement::{Endpoint, InFlight, Query, Scheduler, Settings};
use crate::prompt::Prompt;
use crate::sharing;
use crate::table::{self, Accounts, Limits, Table};

const SERVICES: usize = 8;
/// When the endpoints came into service.
const LISTED_AT: Duration = Duration::from_secs(90);
const NOW: Duration = Duration::from_secs(100);

fn service(index: usize) -> id::Service {
    id::Service::from(format!("service-{index}"))
}

fn engine(index: usize) -> Endpoint {
    Endpoint {
        id: id::Endpoint::from(format!("engine-{index}")),
        started: id::Incarnation(1),
        service: service(index),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: id::Zone::from("a"),
        software: id::Software::from("v1"),
        slots: 64,
        weights: HashMap::from([(id::Model::from("match"), 1)]),
        leaving: false,
    }
}

fn table() -> Table {
    let engines = table::Service {
        max_connections: 1_000,
        engine: Some(table::Engine {
            slots: 64,
            cache_readers: 12,
            memory_tokens: 100_000,
            token_bytes: 35_136,
            link_mbps: 1_100_000,
        }),
        cache_store: None,
    };
    let services = (0..SERVICES).map(|index| (service(index), engines.clone()));
    Table::new(
        id::Revision(1),
        Limits::default(),
        services.collect(),
        Accounts::default(),
        Vec::new(),
    )
}

fn query(index: usize, priority: u8) -> Query {
    let prompt = Prompt {
        model: id::Model::from("match"),
        tokens: 1_000,
        max_output: 10,
        expected_output: None,
        parts: Vec::new(),
    };
    Query {
        service: service(index),
        account: None,
        requesting_host: None,
        zone: id::Zone::from("a"),
        waited: Duration::ZERO,
        avoided: Vec::new(),
        prompt: Some(Arc::new(prompt)),
        group: sharing::Group::default(),
        is_repeatable: true,
        priority,
        target: NOW + Duration::from_secs(2),
        target_latency: Duration::from_secs(2),
        deadline: NOW + Duration::from_secs(10),
        software: None,
        tried: Vec::new(),
    }
}

/// A scheduler of services whose only engine has no memory left, with urgent requests and
/// one less urgent one.
fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(Settings {
        old_weights: Duration::from_secs(12),
        old_weights_grace: Duration::ZERO,
        limit_phase: 0.0,
    });
    let engines: Vec<Endpoint> = (0..SERVICES).map(engine).collect();
    scheduler.set_table(Arc::new(table()));
    scheduler.set_hosts(1);
    scheduler.set_endpoints(&engines, LISTED_AT);
    for engine in engines {
        let in_flight = InFlight {
            requesting_host: id::Host::from("host"),
            zone: engine.zone,
            endpoint: engine.id,
            unread: 0,
            memory: 85_000,
            deadline: NOW + Duration::from_secs(10),
        };
        scheduler.record_in_flight(&in_flight, NOW);
    }
    for index in 0..SERVICES {
        scheduler.enqueue(query(index, 0), NOW);
    }
    scheduler.enqueue(query(0, 1), NOW);
    scheduler
}

/// Guards against a digest that goes by the order of a hash map: less urgent requests of
/// all services would be evaluated again in each decision.
#[test]
fn digest_is_the_same_while_the_same_room_is_held() {
    let mut scheduler = scheduler();
    let digests = [0, 1, 2].map(|number| {
        let decisions = scheduler.decide(NOW + RESERVATION_PERIOD * number);
        assert!(decisions.is_empty(), "{decisions:?}");
        scheduler.reservations.digest()
    });
    assert_ne!(digests[0], Digest::default());
    assert_eq!(digests, [digests[0]; 3]);
}
