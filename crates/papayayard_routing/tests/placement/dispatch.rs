//! A dispatcher knows the requests that it has placed for all hosts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{Decision, InFlight, Outcome, Scheduler, Ticket};
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::support::{self, NOW, ms};

const HOSTS: usize = 60;
const ENGINES: usize = 24;
/// Time in which engines prefill a prompt.
const PREFILL: Duration = Duration::from_millis(255);
/// Time within which a first event is on time.
const TARGET: Duration = Duration::from_millis(800);
/// Length of the replay, and of its initial part that does not count.
const REPLAY: Duration = Duration::from_secs(12);
const WARM_UP: Duration = Duration::from_secs(4);
/// Average time between two requests: engines are busy for 0.7 of the time.
const PAUSE: Duration = Duration::from_micros(15_200);

fn host(index: usize) -> id::Host {
    id::Host::from(format!("host-{index}"))
}

/// Which scheduler places a host's requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Each host's own scheduler.
    Alone,
    /// One scheduler for all hosts.
    Dispatched,
    /// One scheduler for all hosts, which is lost in the middle of the replay; another one takes
    /// over and receives the requests in flight.
    Replaced,
}

/// A request in prefill.
struct Prefilling {
    begins: Duration,
    scheduler: usize,
    ticket: Ticket,
    in_flight: InFlight,
}

/// Engines that prefill one prompt after the other.
struct Replay {
    schedulers: Vec<Scheduler>,
    free_at: HashMap<id::Endpoint, Duration>,
    waiting: Vec<Prefilling>,
}

impl Replay {
    fn new(schedulers: usize) -> Self {
        let endpoints = support::engines(ENGINES, 1);
        let all = 0..schedulers;
        Self {
            schedulers: all.map(|_| support::scheduler(&endpoints, HOSTS)).collect(),
            free_at: HashMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Sends a request of a host and returns the time to its first event.
    fn send(
        &mut self,
        scheduler: usize,
        index: usize,
        is_dispatched: bool,
        subject: u32,
        now: Duration,
    ) -> Option<Duration> {
        let mut query = support::query(support::history("subject"), now);
        for part in &mut Arc::make_mut(query.prompt.as_mut()?).parts {
            part.name = format!("{}-{subject}", part.name);
        }
        query.requesting_host = is_dispatched.then(|| host(index));
        query.target_latency = TARGET;
        query.target = now + TARGET;
        let deadline = query.deadline;
        let decision = support::decide(&mut self.schedulers[scheduler], query, now);
        let Some(Decision::Placed(placement)) = decision else {
            return None;
        };
        let free_at = self.free_at.entry(placement.endpoint.clone()).or_default();
        *free_at = (*free_at).max(now) + PREFILL;
        self.waiting.push(Prefilling {
            begins: *free_at,
            scheduler,
            ticket: placement.ticket,
            in_flight: InFlight {
                requesting_host: host(index),
                zone: id::Zone::from("a"),
                endpoint: placement.endpoint,
                unread: placement.unread,
                memory: placement.unread,
                deadline,
            },
        });
        Some(free_at.saturating_sub(now))
    }

    /// Starts the answers of requests whose prefill is complete; they end at once.
    fn begin(&mut self, now: Duration) {
        let schedulers = &mut self.schedulers;
        self.waiting.retain(|request| {
            let is_prefilled = request.begins <= now;
            if is_prefilled {
                let scheduler = &mut schedulers[request.scheduler];
                scheduler.record_contact(&request.in_flight.requesting_host, request.begins);
                scheduler.record_first_event(request.ticket, request.begins);
                scheduler.record_outcome(request.ticket, Outcome::Whole, request.begins);
            }
            !is_prefilled
        });
    }

    /// Hands the requests in prefill over to another scheduler.
    fn take_over(&mut self, scheduler: usize, now: Duration) {
        for request in &mut self.waiting {
            let next = &mut self.schedulers[scheduler];
            next.record_contact(&request.in_flight.requesting_host, now);
            let ticket = next.record_in_flight(&request.in_flight, now);
            request.ticket = ticket.expect("the endpoint is known");
            request.scheduler = scheduler;
        }
    }
}

/// Fraction of the requests that are refused or whose first event is late.
fn late_fraction(mode: Mode, seed: u64) -> f64 {
    let is_alone = mode == Mode::Alone;
    let mut replay = Replay::new(if is_alone { HOSTS } else { 2 });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let middle = NOW + REPLAY / 2;
    let mut dispatcher = 0;
    let (mut now, mut subject) = (NOW, 0);
    let (mut late, mut counted) = (0.0, 0.0);
    while now < NOW + REPLAY {
        now += PAUSE.mul_f64(-rng.random::<f64>().max(1e-9).ln());
        replay.begin(now);
        if mode == Mode::Replaced && dispatcher == 0 && now > middle {
            dispatcher = 1;
            replay.take_over(dispatcher, now);
        }
        let index = rng.random_range(0..HOSTS);
        let scheduler = if is_alone { index } else { dispatcher };
        subject += 1;
        let first_event = replay.send(scheduler, index, !is_alone, subject, now);
        if now >= NOW + WARM_UP {
            counted += 1.0;
            late += f64::from(u8::from(first_event.is_none_or(|time| time > TARGET)));
        }
    }
    late / counted
}

/// Without a dispatcher, each of sixty hosts sees one request in sixty, and all find the same
/// idle engine at the same moment. A dispatcher sees all requests.
#[rstest]
fn a_dispatcher_keeps_first_events_on_time(#[values(1, 2, 3)] seed: u64) {
    let alone = late_fraction(Mode::Alone, seed);
    let dispatched = late_fraction(Mode::Dispatched, seed);
    assert!(dispatched < 0.03, "{dispatched} late");
    assert!(dispatched < alone / 4.0, "{dispatched} late, {alone} alone");
}

#[rstest]
fn the_next_dispatcher_continues_from_reported_requests(#[values(1, 2, 3)] seed: u64) {
    let replaced = late_fraction(Mode::Replaced, seed);
    assert!(replaced < 0.05, "{replaced} late");
}

/// A crashed host reports no outcomes. Its requests are abandoned when a new process of the host
/// starts or when their deadlines have passed.
#[rstest]
#[case::another_process(true)]
#[case::deadlines(false)]
fn requests_of_a_crashed_host_are_abandoned(#[case] is_restarted: bool) {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 2);
    let mut query = support::query(support::history("a"), NOW);
    query.requesting_host = Some(host(1));
    let placement = support::place(&mut scheduler, query, NOW);
    assert!(scheduler.is_in_flight(placement.ticket));
    if is_restarted {
        scheduler.abandon_requests_of(&host(1), NOW);
    } else {
        scheduler.check_overdue(NOW + ms(5_500));
        assert!(scheduler.is_in_flight(placement.ticket), "still in flight");
        scheduler.check_overdue(NOW + ms(7_000));
    }
    assert!(!scheduler.is_in_flight(placement.ticket));
}

/// A host that is partitioned from an engine reports it as unreachable while other hosts still
/// reach it.
#[test]
fn an_engine_unreachable_from_one_host_stays_usable_for_others() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 2);
    let mut send = |index: usize, outcome: Outcome, at: Duration| {
        let mut query = support::query(support::history("a"), at);
        query.requesting_host = Some(host(index));
        let Some(Decision::Placed(placement)) = support::decide(&mut scheduler, query, at) else {
            return false;
        };
        if outcome == Outcome::Whole {
            scheduler.record_first_event(placement.ticket, at);
        }
        scheduler.record_outcome(placement.ticket, outcome, at);
        true
    };
    for step in 0..20 {
        let at = NOW + ms(100 * step);
        assert!(send(0, Outcome::Whole, at), "after {step} steps");
        assert!(send(1, Outcome::Unreachable, at), "after {step} steps");
    }
}

/// The first events of an unresponsive host's requests, for example of a frozen host, are not
/// reported. That is no failure of the engine.
#[test]
fn an_unresponsive_host_does_not_count_against_an_engine() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 2);
    for _ in 0..4 {
        let mut query = support::query(support::history("a"), NOW);
        query.requesting_host = Some(host(1));
        support::decide(&mut scheduler, query, NOW);
    }
    scheduler.check_overdue(NOW + ms(4_000));
    let later = NOW + ms(7_000);
    scheduler.check_overdue(later);
    let query = support::query(support::history("b"), later);
    let decision = support::decide(&mut scheduler, query, later);
    assert!(
        matches!(decision, Some(Decision::Placed(_))),
        "{decision:?}"
    );
}
