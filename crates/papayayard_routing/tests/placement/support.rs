//! A service of engines and requests for it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{
    Decision, Endpoint, Outcome, PendingKey, Placement, Query, Scheduler, Settings,
};
use papayayard_routing::prompt::{self, Part, Prompt};
use papayayard_routing::sharing;
use papayayard_routing::table::{self, Accounts, Limits, Table};
use papayayard_routing::weights::TargetVersions;
use papayayard_wire::id;

/// When the endpoints came into service.
const LISTED_AT: Duration = Duration::from_secs(90);
/// Start of all tests.
pub(crate) const NOW: Duration = Duration::from_secs(100);

/// Time for which requests may begin on older weights.
pub(crate) const OLD_WEIGHTS: Duration = Duration::from_secs(12);

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn model() -> id::Model {
    id::Model::from("match")
}

/// An engine of the service `engines` in a zone.
pub(crate) fn engine(name: &str, zone: &str, version: u64) -> Endpoint {
    Endpoint {
        id: id::Endpoint::from(name),
        started: id::Incarnation(1),
        service: id::Service::from("engines"),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: id::Zone::from(zone),
        software: id::Software::from("v1"),
        slots: 64,
        weights: HashMap::from([(model(), version)]),
        leaving: false,
    }
}

/// Endpoints of the plain service `bookings`.
pub(crate) fn bookings(number: usize, slots: u32) -> Vec<Endpoint> {
    let all = 0..number;
    let endpoints = all.map(|index| Endpoint {
        service: id::Service::from("bookings"),
        slots,
        ..engine(&format!("b{index}"), "a", 0)
    });
    endpoints.collect()
}

pub(crate) fn engines(number: usize, version: u64) -> Vec<Endpoint> {
    let all = 0..number;
    all.map(|index| engine(&format!("e{index}"), "a", version))
        .collect()
}

pub(crate) fn table() -> Table {
    let engine = table::Service {
        max_connections: 1000,
        engine: Some(table::Engine {
            slots: 64,
            cache_readers: 12,
            memory_tokens: 120_000,
            token_bytes: 35_136,
            link_mbps: 1_100_000,
        }),
        cache_store: None,
    };
    let store = table::Service {
        max_connections: 100,
        engine: None,
        cache_store: Some(table::CacheStore {
            address: "10.9.0.1:80".parse().unwrap(),
            zone: id::Zone::from("a"),
            link_mbps: 120_000,
        }),
    };
    Table::new(
        id::Revision(1),
        Limits::default(),
        HashMap::from([
            (id::Service::from("engines"), engine),
            (id::Service::from("kept"), store),
        ]),
        Accounts::default(),
        Vec::new(),
    )
}

/// A scheduler of one of `hosts` hosts, in zone `a`.
pub(crate) fn scheduler(endpoints: &[Endpoint], hosts: usize) -> Scheduler {
    scheduler_with_phase(endpoints, hosts, 0.0)
}

/// A scheduler whose first request to an endpoint with a limit comes after a part of the interval.
pub(crate) fn scheduler_with_phase(
    endpoints: &[Endpoint],
    hosts: usize,
    limit_phase: f64,
) -> Scheduler {
    let mut scheduler = Scheduler::new(Settings {
        old_weights: OLD_WEIGHTS,
        old_weights_grace: ms(1200),
        limit_phase,
    });
    scheduler.set_table(Arc::new(table()));
    scheduler.set_hosts(hosts);
    scheduler.set_endpoints(endpoints, LISTED_AT);
    scheduler
}

pub(crate) fn set_target_version(scheduler: &mut Scheduler, version: u64, at: Duration) {
    let mut target_versions = TargetVersions::default();
    target_versions.record(version, Some(at));
    scheduler.add_target_versions(&HashMap::from([(model(), target_versions)]));
}

/// A long history of a subject: 6,300 shared tokens and 2,890 of its own.
pub(crate) fn history(subject: &str) -> Prompt {
    let part = |name: &str, tokens| Part {
        name: name.to_owned(),
        tokens,
    };
    Prompt {
        model: model(),
        tokens: 9_190,
        max_output: 10,
        expected_output: None,
        parts: vec![
            part("studio", 2_520),
            part(subject, 3_780),
            part("own", 2_890),
        ],
    }
}

/// Keys of a history's shared parts under a version.
pub(crate) fn keys(subject: &str, version: u64) -> Vec<(prompt::Key, u32)> {
    let salt = prompt::salt(&model(), version, sharing::Group::default());
    let prompt = history(subject);
    let parts = prompt.shared().iter();
    parts
        .map(|part| (prompt::key(&salt, &part.name), part.tokens))
        .collect()
}

pub(crate) fn query(prompt: Prompt, now: Duration) -> Query {
    Query {
        service: id::Service::from("engines"),
        account: None,
        requesting_host: None,
        zone: id::Zone::from("a"),
        waited: Duration::ZERO,
        avoided: Vec::new(),
        prompt: Some(Arc::new(prompt)),
        group: sharing::Group::default(),
        is_repeatable: true,
        priority: 1,
        target: now + ms(500),
        target_latency: ms(500),
        deadline: now + ms(5000),
        software: None,
        tried: Vec::new(),
    }
}

/// Lets an engine serve `number` other histories to completion.
pub(crate) fn fill(scheduler: &mut Scheduler, all: &[Endpoint], engine: &str, number: usize) {
    for index in 0..number {
        let mut history = history("filling");
        for part in &mut history.parts {
            part.name = format!("filling-{}-{index}", part.name);
        }
        let mut query = query(history, NOW);
        let others = all.iter().filter(|endpoint| endpoint.id.as_str() != engine);
        query.tried = others.map(|endpoint| endpoint.id.clone()).collect();
        let placement = place(scheduler, query, NOW);
        scheduler.record_first_event(placement.ticket, NOW);
        scheduler.record_outcome(placement.ticket, Outcome::Whole, NOW);
    }
}

/// Queues a request and decides at once.
pub(crate) fn decide(scheduler: &mut Scheduler, query: Query, now: Duration) -> Option<Decision> {
    let waiting: PendingKey = scheduler.enqueue(query, now);
    let decisions = scheduler.decide(now);
    let decision = decisions.into_iter().find(|(key, _)| *key == waiting);
    decision.map(|(_, decision)| decision)
}

/// Places a request, and panics if it waits or is refused.
pub(crate) fn place(scheduler: &mut Scheduler, query: Query, now: Duration) -> Placement {
    match decide(scheduler, query, now) {
        Some(Decision::Placed(placement)) => placement,
        other => panic!("the request was not placed: {other:?}"),
    }
}

/// Asks for a place at once; a request that would wait is withdrawn.
pub(crate) fn ask(scheduler: &mut Scheduler, query: Query, now: Duration) -> Option<Placement> {
    let waiting = scheduler.enqueue(query, now);
    let decisions = scheduler.decide(now);
    scheduler.cancel(waiting);
    decisions
        .into_iter()
        .find_map(|(_, decision)| match decision {
            Decision::Placed(placement) => Some(placement),
            Decision::Refused { .. } => None,
        })
}
