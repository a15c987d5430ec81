//! More requests than endpoints serve in time, and endpoints that serve none: requests that test
//! whether a bad moment has passed change neither what is refused nor what endpoints ask for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use papayayard_routing::placement::{
    Decision, Endpoint, Outcome, Placement, Query, Scheduler, Ticket,
};
use papayayard_routing::prompt::Prompt;
use papayayard_routing::rate::Rate;
use papayayard_wire::id;
use rstest::rstest;

use crate::support::{self, NOW, ms};

const TARGET: Duration = Duration::from_millis(120);
const LIMIT: Duration = Duration::from_secs(1);
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Pause between requests to endpoints that serve none in time.
const PAUSE: Duration = Duration::from_millis(20);

/// Endpoints that run a number of requests at a time, and let others wait.
#[derive(Clone, Copy, Debug)]
struct Kind {
    number: usize,
    slots: usize,
    /// Time that a request takes once it runs.
    time: Duration,
    is_engine: bool,
}

const PLAIN: Kind = Kind {
    number: 3,
    slots: 6,
    time: Duration::from_millis(15),
    is_engine: false,
};
const ENGINES: Kind = Kind {
    number: 4,
    slots: 1,
    time: Duration::from_millis(100),
    is_engine: true,
};

impl Kind {
    fn endpoints(self) -> Vec<Endpoint> {
        if self.is_engine {
            return support::engines(self.number, 1);
        }
        let all = 0..self.number;
        let endpoints = all.map(|index| Endpoint {
            service: id::Service::from("bookings"),
            slots: 6,
            ..support::engine(&format!("b{index}"), "a", 0)
        });
        endpoints.collect()
    }

    fn query(self, number: usize, now: Duration) -> Query {
        let query = support::query(support::history(&format!("s{number}")), now);
        if self.is_engine {
            return query;
        }
        Query {
            service: id::Service::from("bookings"),
            prompt: None,
            target: now + TARGET,
            target_latency: TARGET,
            deadline: now + LIMIT,
            ..query
        }
    }
}

/// Of 6c11be3: refusals, the time of the first and the mean wait of all; late answers.
const FIGURES: [(u32, Duration, Duration, u32); 4] = [
    (512, ms(91), ms(49), 0),
    (512, ms(89), ms(49), 0),
    (197, ms(600), ms(209), 106),
    (201, ms(475), ms(209), 84),
];

/// Name of a service whose endpoints are sound.
const NEIGHBORS: &str = "neighbors";

fn neighbors() -> Vec<Endpoint> {
    let all = 0..2;
    let endpoints = all.map(|index| Endpoint {
        service: id::Service::from(NEIGHBORS),
        slots: 6,
        ..support::engine(&format!("n{index}"), "a", 0)
    });
    endpoints.collect()
}

/// What requests have met in an overload.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: u32,
    refused: u32,
    /// When the first request was refused, and the mean wait until a refusal.
    first_refused: Duration,
    refused_after: Duration,
    /// Requests whose answer began late.
    late: u32,
}

/// Offers a multiple of what endpoints can serve for a time.
fn overload(kind: Kind, factor: u32, hosts: usize, time: Duration) -> Counts {
    let mut scheduler = support::scheduler(&kind.endpoints(), hosts);
    let capacity = u32::try_from(kind.number * kind.slots).unwrap();
    let pause = kind.time / (capacity * factor);
    let mut counts = Counts::default();
    let mut waiting = BTreeMap::new();
    // When each slot is free, and the answers to come.
    let mut free: BTreeMap<id::Endpoint, Vec<Duration>> = BTreeMap::new();
    let mut answers: BTreeSet<(Duration, Ticket)> = BTreeSet::new();
    let mut now = NOW;
    let mut checked_at = NOW;
    while now < NOW + time {
        while let Some((at, ticket)) = answers.first().copied().filter(|(at, _)| *at <= now) {
            answers.pop_first();
            scheduler.record_first_event(ticket, at);
            scheduler.record_outcome(ticket, Outcome::Whole, at);
        }
        if checked_at + CHECK_PERIOD <= now {
            checked_at = now;
            scheduler.check_overdue(now);
        }
        let number = usize::try_from(counts.asked).unwrap();
        let query = kind.query(number, now);
        waiting.insert(scheduler.enqueue(query, now), now);
        counts.asked += 1;
        for (key, decision) in scheduler.decide(now) {
            let asked = waiting.remove(&key).expect("a request");
            let Decision::Placed(placement) = decision else {
                if counts.refused == 0 {
                    counts.first_refused = now.saturating_sub(NOW);
                }
                counts.refused += 1;
                counts.refused_after += now.saturating_sub(asked);
                continue;
            };
            let slots = free.entry(placement.endpoint);
            let slots = slots.or_insert_with(|| vec![NOW; kind.slots]);
            let slot = slots.iter_mut().min().expect("a slot");
            *slot = now.max(*slot) + kind.time;
            answers.insert((*slot, placement.ticket));
            let target = if kind.is_engine { ms(500) } else { TARGET };
            counts.late += u32::from(*slot > asked + target.mul_f64(1.3));
        }
        now += pause;
    }
    counts.refused_after /= counts.refused.max(1);
    counts
}

/// Refuses as early and as often as without requests that test endpoints: the figures are those of
/// the build before there were any.
#[rstest]
#[case::plain(PLAIN, 1, ms(300), FIGURES[0])]
#[case::plain_of_three_hosts(PLAIN, 3, ms(300), FIGURES[1])]
#[case::engines(ENGINES, 1, ms(3_000), FIGURES[2])]
#[case::engines_of_three_hosts(ENGINES, 3, ms(3_000), FIGURES[3])]
fn an_overload_is_refused_as_early_as_before(
    #[case] kind: Kind,
    #[case] hosts: usize,
    #[case] time: Duration,
    #[case] before: (u32, Duration, Duration, u32),
) {
    let counts = overload(kind, 3, hosts, time);
    let (refused, first_refused, refused_after, late) = before;
    assert!(counts.refused >= refused, "{counts:?}");
    assert!(counts.first_refused <= first_refused, "{counts:?}");
    assert!(counts.refused_after <= refused_after, "{counts:?}");
    assert!(counts.late <= late, "{counts:?}");
}

/// How endpoints serve nobody in time.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Each answer takes so long.
    Slow(Duration),
    /// Requests fail so.
    Gone(Outcome),
}

/// Requests that endpoints got.
#[derive(Debug, Default)]
struct Sent {
    /// By endpoint, the times.
    at: BTreeMap<id::Endpoint, Vec<Duration>>,
    open: BTreeMap<id::Endpoint, u32>,
    /// Largest number that an endpoint had at once.
    most_open: u32,
    refused: u32,
}

impl Sent {
    fn add(&mut self, endpoint: &id::Endpoint, now: Duration) {
        self.at.entry(endpoint.clone()).or_default().push(now);
        let open = self.open.entry(endpoint.clone()).or_default();
        *open += 1;
        self.most_open = self.most_open.max(*open);
    }

    /// Largest number of requests that an endpoint got within a second.
    fn most_in_a_second(&self) -> usize {
        let counts = self.at.values().flat_map(|times| {
            let count = |from: &Duration| {
                let end = *from + ms(1_000);
                times.iter().filter(|at| (*from..end).contains(at)).count()
            };
            times.iter().map(count)
        });
        counts.max().unwrap_or(0)
    }
}

/// A scheduler whose endpoints serve nobody in time.
struct Replay {
    scheduler: Scheduler,
    kind: Kind,
    fault: Fault,
    /// Hosts whose requests the scheduler places; one has a scheduler of its own.
    hosts: usize,
    /// Whether all hosts are answered by another service.
    is_answered: bool,
    number: usize,
    placed: u64,
    now: Duration,
    ends: BTreeMap<(Duration, u64), Placement>,
}

impl Replay {
    fn new(kind: Kind, fault: Fault, hosts: usize) -> Self {
        Self {
            scheduler: support::scheduler(&[kind.endpoints(), neighbors()].concat(), hosts),
            kind,
            fault,
            hosts,
            is_answered: false,
            number: 0,
            placed: 0,
            now: NOW,
            ends: BTreeMap::new(),
        }
    }

    /// Sends a request each [`PAUSE`] for a time.
    fn play(&mut self, time: Duration) -> Sent {
        let mut sent = Sent::default();
        for placement in self.ends.values() {
            *sent.open.entry(placement.endpoint.clone()).or_default() += 1;
        }
        let until = self.now + time;
        while self.now < until {
            self.end(&mut sent);
            self.ask(&mut sent);
            self.now += PAUSE;
        }
        sent
    }

    fn ask(&mut self, sent: &mut Sent) {
        let now = self.now;
        self.number += 1;
        if self.number.is_multiple_of(10) {
            self.scheduler.check_overdue(now);
        }
        let index = self.number % self.hosts;
        let host = (index > 0).then(|| id::Host::from(format!("host-{index}")));
        if let Some(host) = &host {
            self.scheduler.record_contact(host, now);
        }
        let query = Query {
            requesting_host: host,
            ..self.kind.query(self.number, now)
        };
        if self.is_answered {
            let query = Query {
                service: id::Service::from(NEIGHBORS),
                prompt: None,
                ..query.clone()
            };
            self.scheduler.enqueue(query, now);
        }
        self.scheduler.enqueue(query, now);
        for (_, decision) in self.scheduler.decide(now) {
            let Decision::Placed(placement) = decision else {
                sent.refused += 1;
                continue;
            };
            if placement.endpoint.as_str().starts_with('n') {
                let outcome = Outcome::Whole;
                self.scheduler
                    .record_outcome(placement.ticket, outcome, now);
                continue;
            }
            sent.add(&placement.endpoint, now);
            let time = match self.fault {
                Fault::Slow(time) => time,
                Fault::Gone(Outcome::Unreachable) => ms(150),
                Fault::Gone(_) => ms(1),
            };
            self.placed += 1;
            self.ends.insert((now + time, self.placed), placement);
        }
    }

    fn end(&mut self, sent: &mut Sent) {
        while let Some(entry) = self.ends.first_entry() {
            let at = entry.key().0;
            if at > self.now {
                return;
            }
            let placement = entry.remove();
            let open = sent.open.get_mut(&placement.endpoint);
            *open.expect("a request") -= 1;
            let outcome = match self.fault {
                Fault::Slow(_) => {
                    self.scheduler.record_first_event(placement.ticket, at);
                    Outcome::Whole
                }
                Fault::Gone(outcome) => outcome,
            };
            self.scheduler.record_outcome(placement.ticket, outcome, at);
        }
    }
}

/// Guards against tests of slow endpoints that make callers wait behind one another.
#[rstest]
fn a_slow_endpoint_has_one_request_at_a_time(
    #[values(1, 3)] number: usize,
    #[values(1, 3)] hosts: usize,
) {
    let kind = Kind { number, ..PLAIN };
    let mut replay = Replay::new(kind, Fault::Slow(ms(1_200)), hosts);
    replay.play(ms(8_000));
    let sent = replay.play(ms(12_000));
    assert_eq!(sent.most_open, 1, "{sent:?}");
    assert!(sent.most_in_a_second() <= 1, "{sent:?}");
    assert!(sent.refused > 500, "{sent:?}");
}

/// Guards against requests that are lost at endpoints which are known to fail.
#[rstest]
fn endpoints_that_are_gone_are_seldom_tested(
    #[values(PLAIN, ENGINES)] kind: Kind,
    #[values(Outcome::Unreachable, Outcome::Failed)] outcome: Outcome,
    #[values(1, 3, 9)] hosts: usize,
) {
    let mut replay = Replay::new(kind, Fault::Gone(outcome), hosts);
    replay.is_answered = true;
    replay.play(ms(8_000));
    let sent = replay.play(ms(12_000));
    assert_eq!(sent.most_open, 1, "{sent:?}");
    assert!(sent.most_in_a_second() <= 2, "{sent:?}");
}

/// The same where no other endpoint shows that the hosts are connected: requests that may have run
/// are lost there.
#[rstest]
fn endpoints_that_all_close_connections_are_seldom_tested(
    #[values(PLAIN, ENGINES)] kind: Kind,
    #[values(1, 3, 9)] hosts: usize,
) {
    let mut replay = Replay::new(kind, Fault::Gone(Outcome::Failed), hosts);
    replay.play(ms(8_000));
    let sent = replay.play(ms(12_000));
    assert_eq!(sent.most_open, 1, "{sent:?}");
    assert!(sent.most_in_a_second() <= 2, "{sent:?}");
}

/// What endpoints may ask for.
#[derive(Clone, Copy, Debug)]
enum Wish {
    Backoff,
    Leaving,
    Loading,
    /// At most two requests in a second.
    Limit,
    /// Nothing that would be refused, while one was refused just now.
    RefusalLimit,
}

impl Wish {
    fn tell(self, scheduler: &mut Scheduler, ticket: Ticket, now: Duration) {
        let rate = Rate::new(2.0);
        match self {
            Self::Backoff => scheduler.set_backoff(ticket, ms(5_000), now),
            Self::Leaving => scheduler.mark_leaving(ticket),
            Self::Limit => scheduler.record_limit(ticket, rate, now),
            Self::RefusalLimit => scheduler.record_refusal_limit(ticket, Rate::new(1.0), now),
            Self::Loading => {}
        }
    }
}

/// Guards against tests that break what the endpoint has asked for.
#[rstest]
fn an_endpoint_is_tested_only_as_it_asks(
    #[values(PLAIN, ENGINES)] kind: Kind,
    #[values(Fault::Slow(ms(1_200)), Fault::Gone(Outcome::Failed))] fault: Fault,
    #[values(
        Wish::Backoff,
        Wish::Leaving,
        Wish::Loading,
        Wish::Limit,
        Wish::RefusalLimit
    )]
    wish: Wish,
) {
    let kind = Kind { number: 1, ..kind };
    let mut replay = Replay::new(kind, fault, 1);
    let first = replay.play(PAUSE);
    assert_eq!(first.most_open, 1);
    let ticket = replay.ends.values().next().expect("a request").ticket;
    wish.tell(&mut replay.scheduler, ticket, replay.now);
    let endpoints: Vec<_> = kind.endpoints();
    let loading = [endpoints[0].id.clone()];
    if let Wish::Loading = wish {
        replay.scheduler.set_loading(&loading, replay.now);
    }
    let sent = replay.play(ms(2_000));
    match wish {
        Wish::Backoff | Wish::Leaving | Wish::Loading => assert!(sent.at.is_empty(), "{sent:?}"),
        Wish::Limit => assert!(sent.most_in_a_second() <= 2, "{sent:?}"),
        Wish::RefusalLimit => assert!(sent.most_open <= 6, "{sent:?}"),
    }
}

/// Guards against an overflow of numbers of tokens, which callers declare: parts may be
/// longer than the prompt, and together longer than their type holds.
#[test]
fn declared_tokens_are_as_many_as_a_header_allows() {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    let mut prompt = support::history("subject");
    for part in &mut prompt.parts {
        part.tokens = u32::MAX;
    }
    for _ in 0..3 {
        support::place(&mut scheduler, support::query(prompt.clone(), NOW), NOW);
    }
    let longest = Prompt {
        tokens: u32::MAX,
        max_output: u32::MAX,
        ..support::history("other")
    };
    let decision = support::decide(&mut scheduler, support::query(longest, NOW), NOW);
    assert!(
        !matches!(decision, Some(Decision::Placed(_))),
        "{decision:?}"
    );
}
