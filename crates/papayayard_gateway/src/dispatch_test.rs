use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::ranking::Candidate;
use papayayard_routing::placement::{Endpoint, Outcome, Query, Scheduler, Settings};
use papayayard_routing::prompt::Prompt;
use papayayard_routing::rate::Rate;
use papayayard_routing::table::{self, Accounts, Table};
use papayayard_routing::weights::TargetVersions;
use papayayard_wire::id;
use tokio::sync::watch;
use tokio::time;

use super::message::{Call, Request};
use super::{Dispatch, Parts, Permit, Selection};
use crate::beliefs::Configuration;
use crate::cache_news::ChangeLog;
use crate::clock::Clock;
use crate::front::StopState;
use crate::hosts::{LocalHost, Neighbours};
use crate::metrics::Metrics;
use crate::schedule::Message;
use crate::{origins, peers, quota, runs, schedule, uplink, usability};

const TARGET_LATENCY: Duration = Duration::from_secs(5);
/// Maximum time for each wait of a test.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which requests may begin on older weights.
const OLD_WEIGHTS: Duration = Duration::from_mins(1);

#[path = "dispatch/charging_test.rs"]
mod charging;

/// A host that places requests, without a caller.
pub(super) struct Host {
    pub(super) dispatch: Dispatch,
    pub(super) clock: Clock,
    pub(super) local: LocalHost,
    is_detached: watch::Sender<bool>,
    configuration: watch::Sender<Configuration>,
    neighbours: watch::Sender<Neighbours>,
    pub(super) listener: Option<std::net::TcpListener>,
}

impl Host {
    /// Hosts with a higher capacity are asked first.
    pub(super) fn new(name: &str, capacity: u32) -> Self {
        Self::with_first_start(name, capacity, true)
    }

    /// Creates a host whose buckets are full if its deployment starts for the first time.
    fn with_first_start(name: &str, capacity: u32, is_first_start: bool) -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        listener.set_nonblocking(true).expect("a socket");
        let clock = Clock::start();
        let (is_detached, state) = watch::channel(false);
        let (neighbours, neighbours_receiver) = watch::channel(Neighbours::default());
        let local = LocalHost {
            host: id::Host::from(name),
            zone: id::Zone::from("a"),
            peers: listener.local_addr().expect("an address"),
            capacity,
            forwarded: None,
        };
        let scheduler = Scheduler::new(Settings {
            old_weights: OLD_WEIGHTS,
            old_weights_grace: Duration::ZERO,
            limit_phase: 0.0,
        });
        let (configuration, _) = watch::channel(Configuration::default());
        let dispatch = Dispatch::new(Parts {
            local: local.clone(),
            clock,
            schedule: schedule::start(scheduler, local.zone.clone(), Metrics::new(), clock),
            neighbours: neighbours_receiver,
            uplink: uplink::Handle::with_state(state),
            runs: runs::Tracker::new(clock),
            quota: quota::test::start(
                &local.host,
                is_first_start,
                clock,
                configuration.subscribe(),
            ),
            metrics: Metrics::new(),
        });
        Self {
            dispatch,
            clock,
            local,
            is_detached,
            configuration,
            neighbours,
            listener: Some(listener),
        }
    }

    /// Serves other hosts.
    pub(super) fn serve(&mut self) {
        let (origins, _) = origins::start(origins::Parts {
            host: self.local.host.clone(),
            clock: self.clock,
            neighbours: self.neighbours.subscribe(),
            endpoints: watch::channel(Vec::new()).1,
            last_read: watch::channel(None).1,
            stop: watch::channel(StopState::SERVING).1,
            metrics: Metrics::new(),
        });
        let context = peers::Context {
            mirrors: peers::Mirrors::new(),
            caches: watch::channel(ChangeLog::default()).1,
            desk: self.dispatch.handler(),
            origins,
            uplink: self.dispatch.0.uplink.clone(),
            clock: self.clock,
        };
        let listener = self.listener.take().expect("a host is served once");
        tokio::spawn(peers::serve(listener, context).expect("a server"));
    }

    pub(super) fn candidate(&self) -> Candidate {
        Candidate {
            host: self.local.host.clone(),
            address: self.address(),
            capacity: self.local.capacity,
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.local.peers
    }

    pub(super) fn set_neighbours(&self, hosts: &[Candidate]) {
        self.neighbours.send_replace(Neighbours {
            are_counted: true,
            zone: hosts.to_vec(),
            others: Vec::new(),
            takers: Vec::new(),
        });
    }

    /// Lets the host list an endpoint at an address.
    pub(super) fn set_endpoint(&self, address: SocketAddr, leaving: bool) {
        let endpoint = Endpoint {
            id: id::Endpoint::from("engines-0"),
            started: id::Incarnation(1),
            service: id::Service::from("engines"),
            address,
            zone: self.local.zone.clone(),
            software: id::Software::from("v1"),
            slots: 8,
            weights: HashMap::from([(id::Model::from("m"), 1)]),
            leaving,
        };
        let schedule = &self.dispatch.0.schedule;
        schedule.send(Message::Endpoints(vec![endpoint]));
    }

    /// Lets the host list an engine with the first version of the weights.
    pub(super) fn set_engine(&self) {
        let engine = table::Service {
            max_connections: 100,
            engine: Some(table::Engine {
                slots: 8,
                cache_readers: 8,
                memory_tokens: 100_000,
                token_bytes: 1000,
                link_mbps: 10_000,
            }),
            cache_store: None,
        };
        let table = Table::new(
            id::Revision(1),
            table::Limits::default(),
            HashMap::from([(id::Service::from("engines"), engine)]),
            Accounts::default(),
            Vec::new(),
        );
        let schedule = &self.dispatch.0.schedule;
        schedule.send(Message::Table(Arc::new(table)));
        self.set_endpoint(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)), false);
    }

    /// Lets the host know the second version of the weights for a time.
    fn set_newer_weights(&self, known_for: Duration) {
        let mut versions = TargetVersions::default();
        let known_from = self.clock.now().saturating_sub(known_for);
        versions.record(2, Some(known_from));
        let targets = HashMap::from([(id::Model::from("m"), versions)]);
        let schedule = &self.dispatch.0.schedule;
        schedule.send(Message::TargetVersions(targets));
    }

    /// Places a request at the engine.
    async fn place_at_engine(&self) -> Permit {
        let selection = self.dispatch.place(self.query()).await;
        let Selection::Placed(placement, permit) = selection else {
            panic!("the engine has room");
        };
        assert_eq!(placement.version, Some(1));
        permit
    }

    /// Whether the host has lately placed requests of others.
    fn has_placed(&self) -> bool {
        self.dispatch.is_dispatcher(self.clock.now())
    }

    /// A request of a model service.
    pub(super) fn query(&self) -> Query {
        let prompt = Prompt {
            model: id::Model::from("m"),
            tokens: 10,
            max_output: 10,
            expected_output: None,
            parts: Vec::new(),
        };
        let target = self.clock.now() + TARGET_LATENCY;
        Query {
            service: id::Service::from("engines"),
            account: None,
            requesting_host: None,
            zone: self.local.zone.clone(),
            prompt: Some(Arc::new(prompt)),
            group: Accounts::default().group(None),
            is_repeatable: true,
            priority: 0,
            target,
            target_latency: TARGET_LATENCY,
            deadline: target + TARGET_LATENCY,
            waited: Duration::ZERO,
            software: None,
            tried: Vec::new(),
            avoided: Vec::new(),
        }
    }
}

/// Guards against dispatchers that refuse or misplace the requests of sound hosts by the
/// failures of their own network.
#[tokio::test]
async fn hosts_whose_dispatcher_is_detached_ask_the_next() {
    let mut first = Host::new("first", 300);
    let mut second = Host::new("second", 200);
    let asker = Host::new("asker", 100);
    let hosts = [&first, &second, &asker].map(Host::candidate);
    for host in [&first, &second, &asker] {
        host.set_neighbours(&hosts);
    }
    first.serve();
    second.serve();
    // The second host knows that the first cannot place requests.
    let now = second.clock.now();
    second.dispatch.failed(&first.local.host, "it is detached");
    assert!(second.dispatch.state().current(now).is_none());
    first.is_detached.send_replace(true);
    asker.dispatch.place(asker.query()).await;
    assert!(!first.has_placed());
    assert!(second.has_placed());
}

/// Guards against hosts that take no placement requests again after their network is back.
#[tokio::test]
async fn a_host_places_requests_again_once_it_is_attached() {
    let host = Host::new("first", 300);
    let call = || Call {
        host: "asker".to_owned(),
        run: 1,
        zone: "a".to_owned(),
        notices: Vec::new(),
        named: Vec::new(),
        named_refusals: Vec::new(),
        asked: Vec::new(),
        is_used: true,
        limits_revision: None,
        quota: None,
        question: Some(Request::new(1, &host.query(), host.clock.now())),
    };
    let handler = host.dispatch.handler();
    host.is_detached.send_replace(true);
    assert!(handler.answer(call()).await.is_err());
    host.is_detached.send_replace(false);
    let answer = handler.answer(call()).await;
    let answer = answer.expect("the host reaches endpoints again");
    assert!(answer.decision.is_some());
}

/// Creates two hosts that know each other; the first one places the requests of both.
pub(super) fn dispatcher_and_asker() -> (Host, Host) {
    connect(Host::new("dispatcher", 300), Host::new("asker", 100))
}

/// Lets a dispatcher and a host that uses it know each other.
fn connect(dispatcher: Host, asker: Host) -> (Host, Host) {
    let hosts = (dispatcher, asker);
    let candidates = [&hosts.0, &hosts.1].map(Host::candidate);
    for host in [&hosts.0, &hosts.1] {
        host.set_neighbours(&candidates);
    }
    hosts
}

/// Guards against requests that are sent where an endpoint is by another host's store alone.
#[tokio::test]
async fn a_host_sends_to_the_address_that_its_own_store_names() {
    let (mut dispatcher, asker) = dispatcher_and_asker();
    let [first, second] = [1, 2].map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    dispatcher.set_endpoint(first, false);
    asker.set_endpoint(second, false);
    dispatcher.serve();
    let selection = asker.dispatch.place(asker.query()).await;
    let Selection::Placed(placement, permit) = selection else {
        panic!("the endpoint has room");
    };
    assert_eq!(permit.placed_by(), "dispatcher");
    assert_eq!(placement.address, second);
}

/// Guards against requests to an endpoint whose leave notice came before its record did.
#[tokio::test]
async fn a_leave_notice_of_an_endpoint_that_is_not_listed_yet_holds() {
    let (mut dispatcher, asker) = dispatcher_and_asker();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    dispatcher.set_endpoint(address, false);
    dispatcher.serve();
    let selection = asker.dispatch.place(asker.query()).await;
    let Selection::Placed(_, permit) = selection else {
        panic!("the dispatcher refused the request");
    };
    permit.mark_leaving();
    permit.end(Outcome::Whole);
    asker.set_endpoint(address, false);
    asker.set_neighbours(&[]);
    let selection = asker.dispatch.place(asker.query()).await;
    assert!(matches!(selection, Selection::Refused { .. }));
}

/// Guards against requests to an endpoint that this host knows to leave, and its dispatcher not
/// yet.
#[tokio::test]
async fn a_host_does_not_send_where_its_dispatcher_does_not_know_that_the_endpoint_leaves() {
    let (mut dispatcher, asker) = dispatcher_and_asker();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    dispatcher.set_endpoint(address, false);
    asker.set_endpoint(address, true);
    dispatcher.serve();
    let selection = asker.dispatch.place(asker.query()).await;
    assert!(matches!(selection, Selection::Refused { .. }));
}

/// Guards against refusals by a dispatcher that do not say why its endpoints were left out.
#[tokio::test]
async fn a_dispatcher_says_why_an_endpoint_was_left_out() {
    let (mut dispatcher, asker) = dispatcher_and_asker();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    for host in [&dispatcher, &asker] {
        host.set_endpoint(address, host.local.host.as_str() == "dispatcher");
    }
    dispatcher.serve();
    let selection = asker.dispatch.place(asker.query()).await;
    let Selection::Refused {
        availability,
        refused_by,
        ..
    } = selection
    else {
        panic!("the endpoint is leaving");
    };
    assert_eq!(refused_by, "dispatcher");
    let left_out = usability::left_out(&availability);
    assert_eq!(left_out, "leaving=1(engines-0)");
}

/// Guards against dispatchers that do not count questions of other hosts for an endpoint's limit.
#[tokio::test]
async fn a_dispatcher_counts_questions_for_a_limit() {
    let (mut dispatcher, asker) = dispatcher_and_asker();
    for host in [&dispatcher, &asker] {
        host.set_endpoint(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)), false);
    }
    dispatcher.serve();
    let selection = asker.dispatch.place(asker.query()).await;
    let Selection::Placed(_, permit) = selection else {
        panic!("the endpoint has room");
    };
    permit.set_limit(Rate::new(1.0).expect("a rate"));
    permit.record_question();
    let selection = asker.dispatch.place(asker.query()).await;
    let Selection::Refused { retry_after, .. } = selection else {
        panic!("the limit allows no request yet");
    };
    // One second for the question, and one for the request.
    assert!(retry_after > Duration::from_millis(1500), "{retry_after:?}");
}

async fn wait_until_outdated(permit: &Permit) {
    let waited = time::timeout(TIMEOUT, permit.until_outdated()).await;
    waited.expect("the weights become too old in time");
}

/// Guards against requests on weights that this host knows to be too old, and its dispatcher not.
#[tokio::test]
async fn a_host_does_not_send_where_its_dispatcher_does_not_know_of_newer_weights() {
    let (mut dispatcher, asker) = dispatcher_and_asker();
    for host in [&dispatcher, &asker] {
        host.set_engine();
    }
    asker.set_newer_weights(OLD_WEIGHTS);
    dispatcher.serve();
    let permit = asker.place_at_engine().await;
    assert_eq!(permit.placed_by(), "dispatcher");
    assert!(permit.is_outdated());
    wait_until_outdated(&permit).await;
}

/// A host may have read of a version later than its dispatcher, and only guess since when it is
/// there.
#[tokio::test]
async fn a_host_takes_the_age_of_weights_from_its_dispatcher() {
    let (mut dispatcher, asker) = dispatcher_and_asker();
    for host in [&dispatcher, &asker] {
        host.set_engine();
    }
    dispatcher.set_newer_weights(OLD_WEIGHTS / 2);
    asker.set_newer_weights(OLD_WEIGHTS);
    dispatcher.serve();
    let permit = asker.place_at_engine().await;
    let left = permit.weights_remaining().expect("a limit");
    assert!(!left.is_zero() && left < OLD_WEIGHTS / 2, "{left:?}");
}

/// Guards against requests that begin on old weights since newer ones were named while they
/// waited.
#[tokio::test]
async fn weights_become_outdated_while_a_request_waits() {
    let host = Host::new("host", 100);
    host.set_engine();
    let permit = host.place_at_engine().await;
    assert_eq!(permit.weights_remaining(), None);
    host.set_newer_weights(OLD_WEIGHTS);
    wait_until_outdated(&permit).await;
    assert!(permit.is_outdated());
}
