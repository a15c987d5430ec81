//! A dispatcher knows what it has placed for all hosts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{Decision, Open, Outcome, Scheduler, Ticket};
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::support::{self, NOW, ms};

const HOSTS: usize = 60;
const ENGINES: usize = 24;
/// Time in which engines read a prompt.
const READ: Duration = Duration::from_millis(255);
/// Time within which a first event is on time.
const TARGET: Duration = Duration::from_millis(800);
/// Length of the replay, and of its beginning that does not count.
const REPLAY: Duration = Duration::from_secs(12);
const WARM_UP: Duration = Duration::from_secs(4);
/// Time between two requests: engines are busy for 0.7 of the time.
const PAUSE: Duration = Duration::from_micros(15_200);

fn host(index: usize) -> id::Host {
    id::Host::from(format!("host-{index}"))
}

/// Who decides where the requests of a host go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Deciding {
    /// Each host for itself.
    Alone,
    /// One scheduler for all.
    Dispatched,
    /// One scheduler for all, which is lost in the middle; another one is told of
    /// what runs.
    Replaced,
}

/// A request that an engine has not read yet.
struct Waiting {
    begins: Duration,
    scheduler: usize,
    ticket: Ticket,
    open: Open,
}

/// Engines that read one prompt after the other.
struct Replay {
    schedulers: Vec<Scheduler>,
    free_at: HashMap<id::Endpoint, Duration>,
    waiting: Vec<Waiting>,
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

    /// Sends a request of a host; the time to its first event.
    fn send(
        &mut self,
        scheduler: usize,
        asker: usize,
        is_dispatched: bool,
        subject: u32,
        now: Duration,
    ) -> Option<Duration> {
        let mut ask = support::ask(support::history("subject"), now);
        for part in &mut Arc::make_mut(ask.prompt.as_mut()?).parts {
            part.name = format!("{}-{subject}", part.name);
        }
        ask.asker = is_dispatched.then(|| host(asker));
        ask.target_latency = TARGET;
        ask.target = now + TARGET;
        let deadline = ask.deadline;
        let decision = support::decide(&mut self.schedulers[scheduler], ask, now);
        let Some(Decision::Placed(placement)) = decision else {
            return None;
        };
        let free_at = self.free_at.entry(placement.endpoint.clone()).or_default();
        *free_at = (*free_at).max(now) + READ;
        self.waiting.push(Waiting {
            begins: *free_at,
            scheduler,
            ticket: placement.ticket,
            open: Open {
                asker: host(asker),
                zone: id::Zone::from("a"),
                endpoint: placement.endpoint,
                unread: placement.unread,
                memory: placement.unread,
                deadline,
            },
        });
        Some(free_at.saturating_sub(now))
    }

    /// Lets requests begin whose prompts were read; they end at once.
    fn begin(&mut self, now: Duration) {
        let schedulers = &mut self.schedulers;
        self.waiting.retain(|one| {
            let is_read = one.begins <= now;
            if is_read {
                let scheduler = &mut schedulers[one.scheduler];
                scheduler.heard(&one.open.asker, one.begins);
                scheduler.begun(one.ticket, one.begins);
                scheduler.finished(one.ticket, Outcome::Whole, one.begins);
            }
            !is_read
        });
    }

    /// Another scheduler takes over what waits.
    fn tell(&mut self, scheduler: usize, now: Duration) {
        for one in &mut self.waiting {
            let next = &mut self.schedulers[scheduler];
            next.heard(&one.open.asker, now);
            let taken = next.take_over(&one.open, now);
            one.ticket = taken.expect("the endpoint is known");
            one.scheduler = scheduler;
        }
    }
}

/// Part of the requests whose first event is late, or that are turned away.
fn late_part(deciding: Deciding, seed: u64) -> f64 {
    let is_alone = deciding == Deciding::Alone;
    let mut replay = Replay::new(if is_alone { HOSTS } else { 2 });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let middle = NOW + REPLAY / 2;
    let mut dispatcher = 0;
    let (mut now, mut subject) = (NOW, 0);
    let (mut late, mut counted) = (0.0, 0.0);
    while now < NOW + REPLAY {
        now += PAUSE.mul_f64(-rng.random::<f64>().max(1e-9).ln());
        replay.begin(now);
        if deciding == Deciding::Replaced && dispatcher == 0 && now > middle {
            dispatcher = 1;
            replay.tell(dispatcher, now);
        }
        let asker = rng.random_range(0..HOSTS);
        let scheduler = if is_alone { asker } else { dispatcher };
        subject += 1;
        let first_event = replay.send(scheduler, asker, !is_alone, subject, now);
        if now >= NOW + WARM_UP {
            counted += 1.0;
            late += f64::from(u8::from(first_event.is_none_or(|time| time > TARGET)));
        }
    }
    late / counted
}

/// Sixty hosts see one request in sixty each, and find the same idle engine at the
/// same moment; a dispatcher sees them all.
#[rstest]
fn a_dispatcher_keeps_first_events_on_time(#[values(1, 2, 3)] seed: u64) {
    let alone = late_part(Deciding::Alone, seed);
    let dispatched = late_part(Deciding::Dispatched, seed);
    assert!(dispatched < 0.03, "{dispatched} late");
    assert!(dispatched < alone / 4.0, "{dispatched} late, {alone} alone");
}

#[rstest]
fn the_next_dispatcher_goes_on_with_what_it_is_told(#[values(1, 2, 3)] seed: u64) {
    let replaced = late_part(Deciding::Replaced, seed);
    assert!(replaced < 0.05, "{replaced} late");
}

/// A host that is killed tells no end of what it has sent: another process of it, or
/// the deadlines, end it here.
#[rstest]
#[case::another_process(true)]
#[case::deadlines(false)]
fn what_a_host_has_not_told_the_end_of_is_forgotten(#[case] is_started_again: bool) {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 2);
    let mut ask = support::ask(support::history("a"), NOW);
    ask.asker = Some(host(1));
    let placement = support::place(&mut scheduler, ask, NOW);
    assert!(scheduler.is_open(placement.ticket));
    if is_started_again {
        scheduler.forget_asker(&host(1), NOW);
    } else {
        scheduler.check_silence(NOW + ms(5_500));
        assert!(scheduler.is_open(placement.ticket), "it may still run");
        scheduler.check_silence(NOW + ms(7_000));
    }
    assert!(!scheduler.is_open(placement.ticket));
}

/// A host that is cut off from an engine says that it cannot be reached, and others
/// go on reaching it.
#[test]
fn one_host_without_a_way_to_an_engine_does_not_take_it_from_the_others() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 2);
    let mut send = |asker: usize, outcome: Outcome, at: Duration| {
        let mut ask = support::ask(support::history("a"), at);
        ask.asker = Some(host(asker));
        let Some(Decision::Placed(placement)) = support::decide(&mut scheduler, ask, at) else {
            return false;
        };
        if outcome == Outcome::Whole {
            scheduler.begun(placement.ticket, at);
        }
        scheduler.finished(placement.ticket, outcome, at);
        true
    };
    for step in 0..20 {
        let at = NOW + ms(100 * step);
        assert!(send(0, Outcome::Whole, at), "after {step} steps");
        assert!(send(1, Outcome::Unreachable, at), "after {step} steps");
    }
}

/// Requests of a host that is silent, frozen say, begin unseen; that is no failure
/// of their engine.
#[test]
fn a_silent_host_says_nothing_of_an_engine() {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 2);
    for _ in 0..4 {
        let mut ask = support::ask(support::history("a"), NOW);
        ask.asker = Some(host(1));
        support::decide(&mut scheduler, ask, NOW);
    }
    scheduler.check_silence(NOW + ms(4_000));
    let later = NOW + ms(7_000);
    scheduler.check_silence(later);
    let ask = support::ask(support::history("b"), later);
    let decision = support::decide(&mut scheduler, ask, later);
    assert!(
        matches!(decision, Some(Decision::Placed(_))),
        "{decision:?}"
    );
}
