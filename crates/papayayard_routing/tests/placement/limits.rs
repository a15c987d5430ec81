//! Limits on requests that endpoints name for all hosts together.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_routing::placement::{
    Decision, Endpoint, HostCounts, Limit, Outcome, Placement, Scheduler, Ticket,
};
use papayayard_routing::prompt::{Part, Prompt};
use papayayard_routing::rate::Rate;
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::support::{self, NOW, ms};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Endpoints in each zone; the first one of zone `a` names a limit.
const ENDPOINTS_PER_ZONE: usize = 3;
const LIMITED: &str = "a-0";
/// Time until an endpoint's answer.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Requests of a scheduler's callers, relative to what its endpoints would take if each had the
/// limit.
const OVERLOAD: f64 = 4.0;
/// Length of a replay; the limit is named from `NAMED_AT` on and checked from `KEPT_AT` on.
const REPLAY: Duration = Duration::from_secs(40);
const NAMED_AT: Duration = Duration::from_secs(2);
const KEPT_AT: Duration = Duration::from_secs(3);
/// Time for which requests are counted together.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor on a limit, and further requests, that may reach an endpoint in a window.
const TOLERANCE: f64 = 1.5;
const EXTRA: f64 = 5.0;
/// Seed of the replays.
const SEED: u64 = 1;
/// Interval at which a host tells its dispatcher that it uses it.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time for which hosts place their own requests after their dispatcher was lost.
const FAILOVER: Duration = Duration::from_millis(300);

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate")
}

fn short_prompt(number: u64) -> Prompt {
    Prompt {
        model: support::model(),
        tokens: 90,
        max_output: 5,
        expected_output: None,
        parts: vec![Part {
            name: format!("own-{number}"),
            tokens: 90,
        }],
    }
}

fn limit(endpoint: &str, per_second: f64) -> Limit {
    Limit {
        endpoint: id::Endpoint::from(endpoint),
        started: id::Incarnation(1),
        service: id::Service::from("engines"),
        rate: rate(per_second),
    }
}

/// A scheduler with one engine, and a request that it has placed there.
fn placed() -> (Scheduler, Placement) {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1);
    let query = support::query(short_prompt(0), NOW);
    let placement = support::place(&mut scheduler, query, NOW);
    (scheduler, placement)
}

fn named(scheduler: &Scheduler) -> Vec<f64> {
    let limits = scheduler.limits().into_iter();
    limits.map(|limit| limit.rate.per_second()).collect()
}

/// Answers overtake one another: what an answer to an earlier request states is older than
/// what the last answer has stated.
#[rstest]
#[case::raised_by_a_later_request(Some(4.0), true, &[4.0])]
#[case::not_raised_by_an_earlier_one(Some(4.0), false, &[2.0])]
#[case::lowered_by_a_later_request(Some(1.0), true, &[1.0])]
#[case::lowered_by_an_earlier_one(Some(1.0), false, &[1.0])]
#[case::withdrawn_by_a_later_request(None, true, &[])]
#[case::not_withdrawn_by_an_earlier_one(None, false, &[2.0])]
fn a_looser_limit_needs_an_answer_to_a_later_request(
    #[case] stated: Option<f64>,
    #[case] is_later: bool,
    #[case] expected: &[f64],
) {
    let (mut scheduler, first) = placed();
    let query = support::query(short_prompt(1), NOW);
    let earlier = support::place(&mut scheduler, query, NOW);
    scheduler.record_limit(first.ticket, Some(rate(2.0)), NOW + ms(10));
    let at = NOW + ms(1000);
    let query = support::query(short_prompt(2), at);
    let later = support::place(&mut scheduler, query, at);
    let ticket = if is_later {
        later.ticket
    } else {
        earlier.ticket
    };
    scheduler.record_limit(ticket, stated.map(rate), at + ms(10));
    assert_eq!(named(&scheduler), expected);
}

#[test]
fn a_new_incarnation_has_no_limit() {
    let (mut scheduler, first) = placed();
    scheduler.record_limit(first.ticket, Some(rate(2.0)), NOW);
    let mut restarted = support::engines(1, 1);
    scheduler.set_endpoints(&[], NOW);
    scheduler.set_endpoints(&restarted, NOW);
    assert_eq!(named(&scheduler), [2.0], "the record lapsed and returned");
    restarted[0].started = id::Incarnation(2);
    scheduler.set_endpoints(&restarted, NOW);
    assert_eq!(named(&scheduler), [] as [f64; 0]);
    scheduler.record_limit(first.ticket, Some(rate(2.0)), NOW);
    assert_eq!(named(&scheduler), [] as [f64; 0], "a late answer");
    let query = support::query(short_prompt(1), NOW + ms(100));
    support::place(&mut scheduler, query, NOW + ms(100));
}

/// The list of the dispatcher replaces what a host knows, except what the host has learned
/// since or just before.
#[rstest]
#[case::changed(&[limit("e0", 3.0)], 2_000, &[3.0])]
#[case::withdrawn(&[], 2_000, &[])]
#[case::older_than_the_answer(&[], 0, &[2.0])]
#[case::another_endpoint(&[limit("e7", 3.0)], 0, &[2.0])]
fn a_dispatchers_list_replaces_older_limits(
    #[case] list: &[Limit],
    #[case] listed_at: u64,
    #[case] expected: &[f64],
) {
    let (mut scheduler, first) = placed();
    scheduler.record_limit(first.ticket, Some(rate(2.0)), NOW);
    let listed_at = NOW + ms(listed_at);
    scheduler.set_limits(list, listed_at, listed_at + ms(5));
    assert_eq!(named(&scheduler), expected);
}

/// A request waits only if its turn comes within the time that it may wait (200 ms), and is
/// refused at once otherwise, with the time at which the limit allows it.
#[test]
fn a_request_beyond_the_limit_is_refused_at_once() {
    let (mut scheduler, first) = placed();
    scheduler.record_limit(first.ticket, Some(rate(12.0)), NOW);
    let mut decisions = Vec::new();
    for number in 1..=6 {
        let query = support::query(short_prompt(number), NOW);
        let key = scheduler.enqueue(query, NOW);
        let decision = scheduler.decide(NOW).pop();
        decisions.push(decision.map(|(decided, decision)| {
            assert_eq!(decided, key);
            decision
        }));
    }
    let waiting = decisions.iter().filter(|decision| decision.is_none());
    assert_eq!(waiting.count(), 2, "{decisions:?}");
    for refused in decisions.iter().skip(2) {
        let Some(Decision::Refused { retry_after, .. }) = refused else {
            panic!("neither waiting nor refused: {refused:?}");
        };
        assert!(*retry_after >= ms(240), "{retry_after:?}");
    }
    let placed = scheduler.decide(NOW + ms(100));
    assert_eq!(placed.len(), 1, "{placed:?}");
}

/// A limit of zero still lets a request through now and then: only an answer shows its end.
#[test]
fn the_end_of_a_limit_of_zero_is_noticed() {
    let (mut scheduler, first) = placed();
    scheduler.record_limit(first.ticket, Some(rate(0.0)), NOW);
    scheduler.record_outcome(first.ticket, Outcome::Whole, NOW);
    let mut at = NOW;
    let placement = loop {
        at += ms(100);
        scheduler.enqueue(support::query(short_prompt(1), at), at);
        let decisions = scheduler.decide(at).into_iter();
        let placed = decisions.filter_map(|(_, decision)| match decision {
            Decision::Placed(placement) => Some(placement),
            Decision::Refused { .. } => None,
        });
        if let Some(placement) = placed.last() {
            break placement;
        }
        assert!(at < NOW + ms(10_000), "no request in 10 s");
    };
    assert!(at >= NOW + ms(2_000), "{at:?}");
    scheduler.record_limit(placement.ticket, None, at);
    assert_eq!(named(&scheduler), [] as [f64; 0]);
}

/// Which scheduler places a host's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// One scheduler for all hosts.
    Dispatched,
    /// Each host's own scheduler.
    Alone,
    /// One scheduler for the hosts of each zone.
    ByZone,
    /// One scheduler, which is lost in the middle. Hosts place their own requests for a moment,
    /// then another scheduler does.
    Replaced,
    /// Half of the hosts suddenly use another scheduler, while the first one continues.
    Split,
}

impl Mode {
    /// Number of schedulers that hosts use at a time.
    const fn schedulers(self) -> f64 {
        match self {
            Self::ByZone => 3.0,
            Self::Dispatched | Self::Alone | Self::Replaced | Self::Split => 1.0,
        }
    }
}

/// Which hosts callers use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    Even,
    /// All callers use the first host, which is in the zone of the limited endpoint.
    OneHost,
}

struct Answer {
    at: Duration,
    scheduler: usize,
    ticket: Ticket,
    is_limited: bool,
}

/// Whether endpoints are asked for their runs before each request, as before a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Questions {
    Unasked,
    Asked,
}

/// Hosts, each with a scheduler, before endpoints that answer after a fixed time.
struct Replay {
    hosts: usize,
    schedulers: Vec<Scheduler>,
    answers: Vec<Answer>,
    /// Times at which requests and questions of hosts that know the limit reached its endpoint.
    arrivals: Vec<Duration>,
    per_second: f64,
    questions: Questions,
}

fn host(index: usize) -> id::Host {
    id::Host::from(format!("host-{index}"))
}

fn zone(host: usize) -> id::Zone {
    id::Zone::from(ZONES[host % ZONES.len()])
}

fn endpoints() -> Vec<Endpoint> {
    let zones = ZONES.iter();
    let all = zones.flat_map(|zone| {
        (0..ENDPOINTS_PER_ZONE)
            .map(move |index| support::engine(&format!("{zone}-{index}"), zone, 1))
    });
    all.collect()
}

impl Replay {
    fn new(hosts: usize, per_second: f64, questions: Questions, rng: &mut ChaCha8Rng) -> Self {
        let mut by_zone = HashMap::new();
        for index in 0..hosts {
            *by_zone.entry(zone(index)).or_insert(0) += 1;
        }
        let mut schedulers = Vec::new();
        for index in 0..hosts {
            let phase = rng.random();
            let mut scheduler = support::scheduler_with_phase(&endpoints(), hosts, phase);
            scheduler.set_host_counts(HostCounts {
                local: zone(index),
                by_zone: by_zone.clone(),
            });
            schedulers.push(scheduler);
        }
        Self {
            hosts,
            schedulers,
            answers: Vec::new(),
            arrivals: Vec::new(),
            per_second,
            questions,
        }
    }

    /// Index of the scheduler that places a host's requests.
    fn scheduler_of(&self, host: usize, mode: Mode, now: Duration) -> usize {
        let middle = NOW + REPLAY / 2;
        let second = 1 % self.hosts;
        match mode {
            Mode::Alone => host,
            Mode::ByZone => (host % ZONES.len()).min(self.hosts - 1),
            Mode::Replaced if now < middle => 0,
            Mode::Replaced if now < middle + FAILOVER => host,
            Mode::Replaced => second,
            Mode::Split if now >= middle && host % 2 == 1 => second,
            Mode::Dispatched | Mode::Split => 0,
        }
    }

    fn send(&mut self, host_index: usize, scheduler: usize, number: u64, now: Duration) {
        let mut query = support::query(short_prompt(number), now);
        query.zone = zone(host_index);
        query.requesting_host = (scheduler != host_index).then(|| host(host_index));
        self.schedulers[scheduler].enqueue(query, now);
        for (_, decision) in self.schedulers[scheduler].decide(now) {
            if let Decision::Placed(placement) = decision {
                self.arrive(scheduler, &placement, now);
            }
        }
    }

    fn arrive(&mut self, scheduler: usize, placement: &Placement, now: Duration) {
        let is_limited = placement.endpoint.as_str() == LIMITED;
        let is_known = !self.schedulers[scheduler].limits().is_empty();
        let is_counted = is_limited && is_known;
        if self.questions == Questions::Asked {
            self.schedulers[scheduler].record_question(placement.ticket, now);
            self.arrivals.extend(is_counted.then_some(now));
        }
        self.arrivals.extend(is_counted.then_some(now));
        self.answers.push(Answer {
            at: now + ANSWER_TIME,
            scheduler,
            ticket: placement.ticket,
            is_limited: is_limited && now >= NOW + NAMED_AT,
        });
    }

    fn receive(&mut self, now: Duration) {
        let rate = rate(self.per_second);
        for answer in self.answers.extract_if(.., |answer| answer.at <= now) {
            let scheduler = &mut self.schedulers[answer.scheduler];
            let stated = answer.is_limited.then_some(rate);
            scheduler.record_first_event(answer.ticket, answer.at);
            scheduler.record_limit(answer.ticket, stated, answer.at);
            scheduler.record_outcome(answer.ticket, Outcome::Whole, answer.at);
        }
    }

    /// Hosts call their dispatchers and get the list of limits.
    fn exchange(&mut self, mode: Mode, now: Duration) {
        for index in 0..self.hosts {
            let scheduler = self.scheduler_of(index, mode, now);
            if scheduler == index {
                continue;
            }
            let dispatcher = &mut self.schedulers[scheduler];
            dispatcher.record_contact(&host(index), now);
            dispatcher.record_use(&host(index), &zone(index), now);
            let limits = dispatcher.limits();
            self.schedulers[index].set_limits(&limits, now, now);
        }
        for scheduler in &mut self.schedulers {
            scheduler.check_overdue(now);
        }
    }
}

/// Result of a replay, as the endpoint counts.
#[derive(Debug)]
struct Counted {
    /// Most requests in a window.
    most: f64,
    /// Requests relative to the limit.
    share: f64,
}

fn replay(
    hosts: usize,
    load: Load,
    mode: Mode,
    (per_second, questions): (f64, Questions),
) -> Counted {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut replay = Replay::new(hosts, per_second, questions, &mut rng);
    let endpoints = f64::from(u32::try_from(endpoints().len()).expect("a small number"));
    let pause =
        Duration::from_secs_f64(1.0 / (per_second * endpoints * OVERLOAD * mode.schedulers()));
    let (mut now, mut next_exchange, mut number) = (NOW, NOW, 0);
    while now < NOW + REPLAY {
        now += pause.mul_f64(-rng.random::<f64>().max(1e-9).ln());
        replay.receive(now);
        if now >= next_exchange {
            replay.exchange(mode, now);
            next_exchange += HEARTBEAT;
        }
        number += 1;
        let sender = match load {
            Load::Even => rng.random_range(0..hosts),
            Load::OneHost => 0,
        };
        let scheduler = replay.scheduler_of(sender, mode, now);
        replay.send(sender, scheduler, number, now);
    }
    let kept: Vec<Duration> = replay.arrivals;
    let kept: Vec<Duration> = kept.into_iter().filter(|at| *at >= NOW + KEPT_AT).collect();
    let in_window = |from: Duration| {
        kept.iter()
            .filter(move |at| (from..from + WINDOW).contains(at))
    };
    let most = kept.iter().map(|at| in_window(*at).count()).max();
    let seconds = REPLAY.saturating_sub(KEPT_AT).as_secs_f64();
    let count = |number: usize| f64::from(u32::try_from(number).expect("a small number"));
    Counted {
        most: count(most.unwrap_or(0)),
        share: count(kept.len()) / (per_second * seconds),
    }
}

/// Guards against a limit that each host keeps for itself, and against one that is divided so
/// that callers get little of it.
#[rstest]
fn hosts_together_use_a_limit_and_keep_it(
    #[values(1, 9, 80)] hosts: usize,
    #[values(Load::Even, Load::OneHost)] load: Load,
    #[values(Mode::Dispatched, Mode::ByZone, Mode::Replaced, Mode::Split)] mode: Mode,
    #[values(0.5, 2.0)] per_second: f64,
) {
    check(hosts, load, mode, per_second);
}

#[rstest]
fn a_high_limit_is_kept_and_used(#[values(Mode::Dispatched, Mode::Split)] mode: Mode) {
    check(9, Load::Even, mode, 9.0);
}

fn check(hosts: usize, load: Load, mode: Mode, per_second: f64) {
    let counted = replay(hosts, load, mode, (per_second, Questions::Unasked));
    println!("{hosts} {load:?} {mode:?} {per_second}: {counted:?}");
    let named = per_second * WINDOW.as_secs_f64();
    let most = match mode {
        Mode::Dispatched | Mode::ByZone => named + 2.0,
        _ => named * TOLERANCE + EXTRA,
    };
    assert!(counted.most <= most, "{counted:?}");
    // Half of the hosts use a scheduler that gets no requests.
    let is_idle_half = mode == Mode::Split && load == Load::OneHost;
    let share = if is_idle_half { 0.65 } else { 0.85 };
    assert!(counted.share >= share, "{counted:?}");
}

/// While no dispatcher answers, the parts of all hosts add up to the limit.
#[rstest]
fn hosts_without_a_dispatcher_keep_a_limit(
    #[values(1, 9, 80)] hosts: usize,
    #[values(Load::Even, Load::OneHost)] load: Load,
    #[values(0.5, 2.0)] per_second: f64,
) {
    let counted = replay(hosts, load, Mode::Alone, (per_second, Questions::Unasked));
    println!("{hosts} {load:?} alone {per_second}: {counted:?}");
    let named = per_second * WINDOW.as_secs_f64();
    assert!(counted.most <= named * TOLERANCE + EXTRA, "{counted:?}");
}

/// Guards against endpoints that get twice their limit, since they are asked for their runs before
/// each stream that goes on.
#[rstest]
fn questions_count_for_a_limit(
    #[values(1, 9)] hosts: usize,
    #[values(Mode::Dispatched, Mode::Alone)] mode: Mode,
    #[values(2.0, 9.0)] per_second: f64,
) {
    let counted = replay(hosts, Load::Even, mode, (per_second, Questions::Asked));
    println!("{hosts} {mode:?} {per_second} asked: {counted:?}");
    let named = per_second * WINDOW.as_secs_f64();
    let most = match mode {
        Mode::Dispatched => named + 2.0,
        _ => named * TOLERANCE + EXTRA,
    };
    assert!(counted.most <= most, "{counted:?}");
    assert!(counted.share >= 0.85, "{counted:?}");
}
