//! A waiting request is evaluated again only if something may have changed for it.
//!
//! Random loads are replayed through a scheduler that evaluates each waiting request in each
//! decision, and through one that does not.

use std::collections::{BTreeMap, HashMap};
use std::slice;
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{
    Decision, Endpoint, HostCounts, InFlight, Outcome, PendingKey, Placement, Query, Scheduler,
    Ticket,
};
use papayayard_routing::prompt::{Part, Prompt};
use papayayard_routing::rate::Rate;
use papayayard_routing::table::{self, Accounts, Kind, Limits, Route, Table, Target};
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::support::{self, NOW, ms};

const STEPS: usize = 1_500;

/// What may happen to the endpoints besides requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Events {
    /// Nothing, so that most evaluations can be left out.
    None,
    /// Everything but limits.
    NoLimits,
    All,
}

/// A load and the two schedulers that get it.
struct Replay {
    random: ChaCha8Rng,
    events: Events,
    /// Evaluates each waiting request in each decision.
    forced: Scheduler,
    tested: Scheduler,
    endpoints: Vec<Endpoint>,
    now: Duration,
    waiting: BTreeMap<PendingKey, Duration>,
    open: Vec<Placement>,
    /// Requests that were placed after they had waited.
    placed_late: usize,
    refused: usize,
    /// Decisions before which nothing happened.
    idle: usize,
}

impl Replay {
    fn new(seed: u64, events: Events, schedulers: usize) -> Self {
        let zones = ["a", "b", "c"];
        let engine = |index: usize| Endpoint {
            slots: 6,
            ..support::engine(
                &format!("e{index}"),
                zones[index % 3],
                1 + u64::from(index.is_multiple_of(4)),
            )
        };
        let mut endpoints: Vec<Endpoint> = (0..9).map(engine).collect();
        endpoints.extend(support::bookings(3, 2));
        let create = || {
            let mut scheduler = support::scheduler(&endpoints, schedulers);
            scheduler.set_table(Arc::new(table()));
            support::set_target_version(&mut scheduler, 2, NOW);
            scheduler
        };
        let (forced, tested) = (create(), create());
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            events,
            forced,
            tested,
            endpoints,
            now: NOW,
            waiting: BTreeMap::new(),
            open: Vec::new(),
            placed_late: 0,
            refused: 0,
            idle: 0,
        }
    }

    /// Does the same to both schedulers, and returns both results.
    fn both<Do, Done>(&mut self, act: Do) -> Done
    where
        Do: Fn(&mut Scheduler) -> Done,
        Done: PartialEq + std::fmt::Debug,
    {
        let done = act(&mut self.forced);
        assert_eq!(act(&mut self.tested), done);
        done
    }

    fn below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound)
    }

    fn is_one_in(&mut self, number: usize) -> bool {
        self.below(number) == 0
    }

    fn play(&mut self) {
        for _ in 0..STEPS {
            match self.below(8) {
                0 | 1 => self.arrive(),
                2 | 3 if !self.open.is_empty() => self.end(),
                4 | 5 if !self.is_quiet() => self.change(),
                4 => {
                    let now = self.now;
                    self.both(|scheduler| scheduler.usability_changes(now));
                }
                _ => self.idle += 1,
            }
            let pause = ms([0, 1, 3, 10][self.below(4)]);
            self.now += pause;
            self.decide();
        }
    }

    fn is_quiet(&self) -> bool {
        self.events == Events::None
    }

    fn arrive(&mut self) {
        for _ in 0..=self.below(4) {
            let query = self.query();
            let now = self.now;
            let key = self.both(|scheduler| scheduler.enqueue(query.clone(), now));
            self.waiting.insert(key, now);
        }
    }

    fn query(&mut self) -> Query {
        let target_latency = ms([150, 500, 1_500, 4_000][self.below(4)]);
        let is_plain = self.is_one_in(5);
        let mut query = Query {
            zone: id::Zone::from(["a", "b", "c", "d"][self.below(4)]),
            is_repeatable: self.below(3) > 0,
            priority: u8::try_from(self.below(3)).unwrap(),
            target: self.now + target_latency,
            target_latency,
            deadline: self.now + target_latency * 4,
            ..support::query(self.prompt(), self.now)
        };
        if is_plain {
            query.prompt = None;
            query.service = id::Service::from("bookings");
        }
        if self.is_one_in(8) {
            query.tried = vec![self.endpoint()];
        }
        if self.is_one_in(8) {
            query.avoided = vec![self.endpoint(), self.endpoint()];
        }
        if self.is_one_in(20) {
            query.software = Some(id::Software::from("v1"));
        }
        if self.is_one_in(3) {
            let host = format!("host-{}", self.below(3));
            query.requesting_host = Some(id::Host::from(host));
        }
        query
    }

    fn prompt(&mut self) -> Prompt {
        let mut prompt = support::history(&format!("subject-{}", self.below(6)));
        match self.below(16) {
            0..4 => {
                prompt.tokens = 830;
                prompt.parts = vec![
                    Part {
                        name: format!("short-{}", self.below(3)),
                        tokens: 200,
                    },
                    Part {
                        name: "own".to_owned(),
                        tokens: 630,
                    },
                ];
            }
            4..7 => prompt.tokens = 40_000,
            _ => {}
        }
        prompt
    }

    fn endpoint(&mut self) -> id::Endpoint {
        let index = self.below(self.endpoints.len());
        self.endpoints[index].id.clone()
    }

    /// Lets a placed request begin or end.
    fn end(&mut self) {
        let index = self.below(self.open.len());
        let ticket = self.open[index].ticket;
        let now = self.now;
        if self.below(3) > 0 {
            self.both(|scheduler| scheduler.record_first_event(ticket, now));
        }
        if self.below(2) > 0 {
            return;
        }
        let outcomes = [
            Outcome::Whole,
            Outcome::Abandoned,
            Outcome::Refused,
            Outcome::Mismatched,
            Outcome::Unreachable,
            Outcome::Failed,
        ];
        let has_failed = !self.is_quiet() && self.below(3) == 0;
        let outcome = outcomes[if has_failed { self.below(6) } else { 0 }];
        self.both(|scheduler| scheduler.record_outcome(ticket, outcome, now));
        self.open.swap_remove(index);
    }

    /// Changes something at endpoints, hosts or stores.
    fn change(&mut self) {
        let now = self.now;
        let endpoint = self.endpoint();
        let ticket = self.open.first().map(|placement| placement.ticket);
        let subject = format!("subject-{}", self.below(6));
        let version = 1 + u64::from(self.is_one_in(2));
        let parts = support::keys(&subject, version);
        let (key, tokens) = parts[self.below(parts.len())];
        let tokens = if self.is_one_in(3) { 0 } else { tokens };
        let store = id::Service::from("kept");
        match (self.below(22), ticket) {
            (0, _) => self.both(|scheduler| scheduler.check_overdue(now)),
            (1, _) => self.both(|scheduler| scheduler.set_loading(slice::from_ref(&endpoint), now)),
            (2, _) => self.both(|scheduler| scheduler.set_loading(&[], now)),
            (3, _) => self
                .both(|scheduler| scheduler.record_loaded(&endpoint, &support::model(), version)),
            (4 | 5 | 17..22, _) => {
                self.both(|scheduler| scheduler.set_cached(&endpoint, key, tokens));
            }
            (6, _) => self.both(|scheduler| scheduler.set_stored(&store, key, tokens)),
            (7, _) => self.both(|scheduler| scheduler.clear_cached(&endpoint)),
            (8, Some(ticket)) => {
                self.both(|scheduler| scheduler.set_backoff(ticket, ms(60), now));
            }
            (9, _) => self.list(),
            (10, _) => {
                let host = id::Host::from("host-0");
                self.both(|scheduler| scheduler.record_contact(&host, now));
            }
            (11, _) => {
                let in_flight = self.in_flight(endpoint);
                self.both(|scheduler| scheduler.record_in_flight(&in_flight, now));
            }
            (12, _) if self.is_one_in(4) => {
                self.both(|scheduler| scheduler.remove_store(&store));
            }
            (13, Some(ticket)) if self.is_one_in(8) => {
                self.both(|scheduler| scheduler.mark_leaving(ticket));
            }
            (14, _) => {
                let waiting = self.waiting.keys().next().copied();
                if let Some(key) = waiting {
                    self.waiting.remove(&key);
                    self.both(|scheduler| scheduler.cancel(key));
                }
            }
            (15 | 16, Some(ticket)) if self.events == Events::All => self.limit(ticket),
            _ => {}
        }
    }

    /// Lists one endpoint as leaving or none, and restarts one now and then.
    fn list(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.leaving = false;
        }
        let index = self.below(self.endpoints.len());
        self.endpoints[index].leaving = self.below(2) == 0;
        if self.is_one_in(2) {
            let index = self.below(self.endpoints.len());
            self.endpoints[index].started.0 += 1;
        }
        let (endpoints, now) = (self.endpoints.clone(), self.now);
        self.both(|scheduler| scheduler.set_endpoints(&endpoints, now));
    }

    fn in_flight(&mut self, endpoint: id::Endpoint) -> InFlight {
        InFlight {
            requesting_host: id::Host::from("host-1"),
            zone: id::Zone::from("b"),
            endpoint,
            unread: 5_000,
            memory: 9_000,
            deadline: self.now + ms(100),
        }
    }

    /// Lets an endpoint name a limit, or withdraw it.
    fn limit(&mut self, ticket: Ticket) {
        let now = self.now;
        let rate = Rate::new(5.0).filter(|_| self.below(3) > 0);
        match self.below(3) {
            0 => self.both(|scheduler| scheduler.record_limit(ticket, rate, now)),
            1 => self.both(|scheduler| scheduler.record_refusal_limit(ticket, rate, now)),
            _ => {
                self.both(|scheduler| scheduler.set_limits(&[], now, now));
                let counts = HostCounts {
                    local: id::Zone::from("a"),
                    by_zone: HashMap::from([(id::Zone::from("a"), 2)]),
                };
                self.both(|scheduler| scheduler.set_host_counts(counts.clone()));
            }
        }
    }

    fn decide(&mut self) {
        self.forced.evaluate_all();
        let now = self.now;
        for (key, decision) in self.both(|scheduler| scheduler.decide(now)) {
            let since = self.waiting.remove(&key);
            match decision {
                Decision::Placed(placement) => {
                    self.placed_late += usize::from(since.is_some_and(|since| since < now));
                    self.open.push(placement);
                }
                Decision::Refused { .. } => self.refused += 1,
            }
        }
    }
}

/// The table of the tests, with more urgent requests.
fn table() -> Table {
    let route = |name: &str, priority, target_latency| Route {
        name: name.to_owned(),
        host: "host".to_owned(),
        prefix: format!("/{name}/"),
        kind: Kind::Idempotent,
        targets: vec![Target {
            service: id::Service::from("engines"),
            weight: 1,
        }],
        attempts: 2,
        timeout: ms(5_000),
        target_latency,
        pause: None,
        priority,
        public: true,
    };
    let routes = vec![route("urgent", 0, ms(300)), route("usual", 1, ms(700))];
    let services: HashMap<id::Service, table::Service> = support::table().services;
    Table::new(
        id::Revision(2),
        Limits::default(),
        services,
        Accounts::default(),
        routes,
    )
}

/// Guards against a change or a time that gives a waiting request a place without another evaluation.
#[rstest]
fn decisions_are_the_same_if_each_request_is_looked_at_each_time(
    #[values(Events::None, Events::NoLimits, Events::All)] events: Events,
    #[values(1, 3)] schedulers: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut replay = Replay::new(seed, events, schedulers);
    replay.play();
    assert!(replay.idle > 200, "{} steps without a change", replay.idle);
    assert!(replay.refused > 20, "{} refused", replay.refused);
    let late = replay.placed_late;
    assert!(late > 20, "{late} placed late");
}

/// Guards against a request that waits on although only time had to pass: another engine has
/// computed its shared parts, and fetching them leaves less to prefill than fits otherwise.
#[test]
fn a_waiting_request_is_placed_when_parts_can_be_fetched() {
    let engines = support::engines(2, 1);
    let mut scheduler = support::scheduler(&engines, 1);
    let query = |tried: &str| Query {
        target: NOW + ms(2_000),
        target_latency: ms(2_000),
        tried: vec![id::Endpoint::from(tried)],
        ..support::query(support::history("subject"), NOW)
    };
    let first = support::place(&mut scheduler, query("e1"), NOW);
    assert!(first.first_event * 2 < ms(300), "{first:?}");
    for (engine, unread) in engines.iter().zip([300_000, 175_000]) {
        let in_flight = InFlight {
            requesting_host: id::Host::from("host"),
            zone: engine.zone.clone(),
            endpoint: engine.id.clone(),
            unread,
            memory: 0,
            deadline: NOW + ms(5_000),
        };
        scheduler.record_in_flight(&in_flight, NOW);
    }
    let waiting = scheduler.enqueue(query("e0"), NOW);
    assert_eq!(scheduler.decide(NOW), []);
    assert_eq!(scheduler.decide(NOW + ms(100)), []);
    let decisions = scheduler.decide(NOW + ms(300));
    assert!(
        matches!(&decisions[..], [(key, Decision::Placed(placement))]
            if *key == waiting && placement.fetch.is_some()),
        "{decisions:?}"
    );
}
