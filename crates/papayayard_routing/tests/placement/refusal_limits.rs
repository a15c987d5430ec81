//! Limits on refusals that endpoints name for all hosts together.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_routing::placement::{
    Decision, Endpoint, HostCounts, Limit, Outcome, Placement, Query, Scheduler, Ticket,
};
use papayayard_routing::prompt::{Part, Prompt};
use papayayard_routing::rate::Rate;
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::support::{self, NOW, ms};

const HOSTS: usize = 9;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Zones of the endpoints.
const ENDPOINTS: [&str; 4] = ["a", "b", "c", "a"];
const SLOTS: u32 = 8;
/// Average time for which a request takes a slot.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Time from a placement to its arrival at the endpoint, and from there to the scheduler.
const SEND_TIME: Duration = Duration::from_millis(2);
const REPORT_TIME: Duration = Duration::from_millis(8);
/// Requests relative to what all slots serve, before and from `BURST_AT` on.
const CALM: f64 = 0.3;
const BURST: f64 = 3.0;
const BURST_AT: Duration = Duration::from_secs(3);
/// Time from which limits must be kept: an answer from each endpoint has named its limit.
const KEPT_AT: Duration = Duration::from_secs(1);
const REPLAY: Duration = Duration::from_secs(12);
/// Slots that requests of unknown origin hold for a time.
const HIDDEN: u32 = 2;
const HIDDEN_FROM: Duration = Duration::from_secs(5);
const HIDDEN_UNTIL: Duration = Duration::from_secs(8);
/// Interval at which a host tells its dispatcher that it uses it.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Share of the time of the slots that callers must get while they ask for more.
const MIN_USE: f64 = 0.8;
/// Interval between decisions on waiting requests.
const DECISION_PERIOD: Duration = Duration::from_millis(5);

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate")
}

fn float(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("a small number"))
}

/// Whether requests declare prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Plain,
    Prompt,
}

fn query(kind: Kind, number: u64, now: Duration) -> Query {
    let own = Part {
        name: format!("own-{number}"),
        tokens: 90,
    };
    let mut query = support::query(
        Prompt {
            model: support::model(),
            tokens: 90,
            max_output: 5,
            expected_output: None,
            parts: vec![own],
        },
        now,
    );
    if kind == Kind::Plain {
        query.prompt = None;
    }
    query
}

fn endpoints() -> Vec<Endpoint> {
    let zones = ENDPOINTS.iter().enumerate();
    let all = zones.map(|(index, zone)| Endpoint {
        slots: SLOTS,
        ..support::engine(&format!("e{index}"), zone, 1)
    });
    all.collect()
}

fn host(index: usize) -> id::Host {
    id::Host::from(format!("host-{index}"))
}

fn zone(host: usize) -> id::Zone {
    id::Zone::from(ZONES[host % ZONES.len()])
}

/// A request that has been placed.
struct Sent {
    scheduler: usize,
    ticket: Ticket,
    endpoint: usize,
    arrives_at: Duration,
    /// When the endpoint answers; `None` until it has arrived.
    answered_at: Option<Duration>,
    was_refused: bool,
}

/// Endpoints without a queue, and the schedulers that place at them.
struct Replay {
    schedulers: Vec<Scheduler>,
    sent: Vec<Sent>,
    /// Limit that all answers name.
    named: Option<f64>,
    /// Slots that requests of unknown origin hold.
    hidden: u32,
    /// Times of refusals, by endpoint.
    refusals: HashMap<usize, Vec<Duration>>,
    served: usize,
    /// Time from an answer to its report.
    report_time: Duration,
    rng: ChaCha8Rng,
}

impl Replay {
    /// Creates one scheduler for all hosts, or one for those of each zone.
    fn new(schedulers: usize, named: f64, seed: u64) -> Self {
        let counts = |local: usize| HostCounts {
            local: zone(local),
            by_zone: ZONES
                .iter()
                .map(|zone| (id::Zone::from(*zone), HOSTS / ZONES.len()))
                .collect(),
        };
        let schedulers = (0..schedulers).map(|index| {
            let mut scheduler = support::scheduler(&endpoints(), HOSTS);
            scheduler.set_host_counts(counts(index));
            scheduler
        });
        Self {
            schedulers: schedulers.collect(),
            sent: Vec::new(),
            named: Some(named),
            hidden: 0,
            refusals: HashMap::new(),
            served: 0,
            report_time: REPORT_TIME,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn scheduler_of(&self, host: usize) -> usize {
        host % self.schedulers.len()
    }

    fn heartbeat(&mut self, now: Duration) {
        for index in 0..HOSTS {
            let scheduler = self.scheduler_of(index);
            if scheduler != index {
                self.schedulers[scheduler].record_contact(&host(index), now);
                self.schedulers[scheduler].record_use(&host(index), &zone(index), now);
            }
        }
        for scheduler in &mut self.schedulers {
            scheduler.check_overdue(now);
        }
    }

    fn request(&mut self, kind: Kind, number: u64, now: Duration) {
        let sender = self.rng.random_range(0..HOSTS);
        let scheduler = self.scheduler_of(sender);
        let mut query = query(kind, number, now);
        query.zone = zone(sender);
        query.requesting_host = (scheduler != sender).then(|| host(sender));
        self.schedulers[scheduler].enqueue(query, now);
        self.decide(scheduler, now);
    }

    fn decide(&mut self, scheduler: usize, now: Duration) {
        for (_, decision) in self.schedulers[scheduler].decide(now) {
            if let Decision::Placed(placement) = decision {
                self.send(scheduler, &placement, now);
            }
        }
    }

    fn send(&mut self, scheduler: usize, placement: &Placement, now: Duration) {
        let name = placement.endpoint.as_str();
        let endpoint = name.trim_start_matches('e').parse().expect("an index");
        self.sent.push(Sent {
            scheduler,
            ticket: placement.ticket,
            endpoint,
            arrives_at: now + SEND_TIME,
            answered_at: None,
            was_refused: false,
        });
    }

    /// Lets endpoints begin or refuse the requests that have arrived.
    fn arrive(&mut self, now: Duration) {
        let mut arrivals: Vec<usize> = (0..self.sent.len())
            .filter(|index| self.sent[*index].answered_at.is_none())
            .filter(|index| self.sent[*index].arrives_at <= now)
            .collect();
        arrivals.sort_by_key(|index| self.sent[*index].arrives_at);
        for index in arrivals {
            let at = self.sent[index].arrives_at;
            let endpoint = self.sent[index].endpoint;
            let running = self.sent.iter().filter(|other| {
                let is_running = other.answered_at.is_some_and(|ends| ends > at);
                other.endpoint == endpoint && is_running && !other.was_refused
            });
            let is_full = running.count() >= usize::try_from(SLOTS - self.hidden).expect("slots");
            let run_time = RUN_TIME.mul_f64(self.rng.random_range(0.5..1.5));
            let sent = &mut self.sent[index];
            sent.was_refused = is_full;
            sent.answered_at = Some(if is_full { at } else { at + run_time });
            if is_full {
                self.refusals.entry(endpoint).or_default().push(at);
            }
        }
    }

    /// Reports the answers that have reached their hosts.
    fn report(&mut self, now: Duration) {
        let limit = self.named.map(rate);
        let latest = now.saturating_sub(self.report_time);
        let is_reported = |sent: &mut Sent| sent.answered_at.is_some_and(|at| at <= latest);
        let reported: Vec<Sent> = self.sent.extract_if(.., is_reported).collect();
        for sent in reported {
            let scheduler = &mut self.schedulers[sent.scheduler];
            if limit.is_some() || !sent.was_refused {
                scheduler.record_refusal_limit(sent.ticket, limit, now);
            }
            let outcome = if sent.was_refused {
                Outcome::Refused
            } else {
                self.served += usize::from(now >= NOW + BURST_AT);
                scheduler.record_first_event(sent.ticket, now);
                Outcome::Whole
            };
            scheduler.record_outcome(sent.ticket, outcome, now);
        }
    }

    /// Replays until `until`, and lets `change` act on each step.
    fn run<Change>(&mut self, kind: Kind, until: Duration, mut change: Change)
    where
        Change: FnMut(&mut Self, Duration),
    {
        let capacity = float(ENDPOINTS.len()) * f64::from(SLOTS) / RUN_TIME.as_secs_f64();
        let mut next_decision = NOW;
        let (mut now, mut next_heartbeat, mut next_request, mut number) = (NOW, NOW, NOW, 0);
        while now < NOW + until {
            now += ms(1);
            if now >= next_heartbeat {
                self.heartbeat(now);
                next_heartbeat += HEARTBEAT;
            }
            change(self, now);
            self.arrive(now);
            self.report(now);
            if now >= next_decision {
                next_decision += DECISION_PERIOD;
                for scheduler in 0..self.schedulers.len() {
                    self.decide(scheduler, now);
                }
            }
            let factor = if now < NOW + BURST_AT { CALM } else { BURST };
            while next_request <= now {
                number += 1;
                self.request(kind, number, now);
                let pause = -self.rng.random::<f64>().max(1e-9).ln() / (capacity * factor);
                next_request += Duration::from_secs_f64(pause);
            }
        }
    }

    /// Most refusals of an endpoint in any second.
    fn most_refusals(&self) -> f64 {
        let counts = self.refusals.values().flat_map(|times| {
            let kept = times.iter().filter(|at| **at >= NOW + KEPT_AT);
            kept.map(|from| {
                let window = *from..*from + Duration::from_secs(1);
                times.iter().filter(|at| window.contains(at)).count()
            })
        });
        float(counts.max().unwrap_or(0))
    }

    /// Served requests relative to what all slots serve from the burst on.
    fn used(&self) -> f64 {
        let seconds = REPLAY.saturating_sub(BURST_AT).as_secs_f64();
        let run_time = RUN_TIME + SEND_TIME + self.report_time;
        let capacity = float(ENDPOINTS.len()) * f64::from(SLOTS) / run_time.as_secs_f64();
        float(self.served) / (capacity * seconds)
    }
}

/// Guards against requests that wait or are refused at endpoints that crash by refusals, and
/// against slots that stay free while callers are refused here.
#[rstest]
fn a_burst_is_refused_here_and_not_at_endpoints(
    #[values(1, 3)] schedulers: usize,
    #[values(Kind::Plain, Kind::Prompt)] kind: Kind,
    #[values(0.0, 0.5, 2.0)] named: f64,
) {
    let mut replay = Replay::new(schedulers, named, 1);
    replay.run(kind, REPLAY, |_, _| {});
    let (most, used) = (replay.most_refusals(), replay.used());
    println!("{schedulers} {kind:?} {named}: {most} refusals, {used:.2} used");
    assert!(most <= named, "{most} refusals in a second");
    assert!(used >= MIN_USE, "{used} of the slots used");
}

/// Guards against slots that stay free because answers reach their hosts late, beyond the time
/// for which the late answers themselves occupy them.
#[rstest]
fn a_burst_takes_all_slots_although_answers_are_late(
    #[values(1, 3)] schedulers: usize,
    #[values(Kind::Plain, Kind::Prompt)] kind: Kind,
    #[values(100, 300)] report_ms: u64,
) {
    let mut replay = Replay::new(schedulers, 2.0, 1);
    replay.report_time = ms(report_ms);
    replay.run(kind, REPLAY, |_, _| {});
    let (most, used) = (replay.most_refusals(), replay.used());
    println!("{schedulers} {kind:?} {report_ms} ms late: {most} refusals, {used:.2} used");
    assert!(most <= 2.0, "{most} refusals in a second");
    assert!(used >= MIN_USE, "{used} of the slots used");
}

/// The replay is one in which endpoints refuse too many if nothing limits it.
#[rstest]
fn without_a_limit_the_burst_is_refused_at_endpoints(
    #[values(Kind::Plain, Kind::Prompt)] kind: Kind,
) {
    let mut replay = Replay::new(1, 2.0, 1);
    replay.named = None;
    replay.run(kind, REPLAY, |_, _| {});
    assert!(replay.most_refusals() > 10.0, "{}", replay.most_refusals());
}

/// Two slots are taken for a time by requests that this scheduler does not know: it finds out
/// within the limit, and uses them again once they are free.
#[rstest]
fn unknown_requests_at_endpoints_are_found_within_the_limit(
    #[values(1, 3)] schedulers: usize,
    #[values(Kind::Plain, Kind::Prompt)] kind: Kind,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut replay = Replay::new(schedulers, 2.0, seed);
    let mut served_before = 0;
    replay.run(kind, REPLAY, |replay, now| {
        let is_hidden = (NOW + HIDDEN_FROM..NOW + HIDDEN_UNTIL).contains(&now);
        replay.hidden = if is_hidden { HIDDEN } else { 0 };
        if now <= NOW + ms(10_000) {
            served_before = replay.served;
        }
    });
    let time = HIDDEN_UNTIL.saturating_sub(HIDDEN_FROM);
    let time = time.div_duration_f64(REPLAY.saturating_sub(BURST_AT));
    let hidden = time * f64::from(HIDDEN) / f64::from(SLOTS);
    let (most, used) = (replay.most_refusals(), replay.used() / (1.0 - hidden));
    let after = float(replay.served - served_before) / 2.0;
    let run_time = (RUN_TIME + SEND_TIME + REPORT_TIME).as_secs_f64();
    let after = after * run_time / (float(ENDPOINTS.len()) * f64::from(SLOTS));
    println!("{schedulers} {kind:?} {seed}: {most} refusals, {used:.2} used, {after:.2} after");
    assert!(most <= 2.0, "{most} refusals in a second");
    assert!(used >= MIN_USE, "{used} of the slots used");
    assert!(after >= MIN_USE, "{after} of the slots used afterwards");
}

/// Requests beyond the room are refused at once, unless their turn comes in the time for which
/// they may wait.
#[test]
fn a_request_without_room_in_time_is_refused_at_once() {
    let mut scheduler = support::scheduler(&endpoints()[..1], 1);
    let place = |scheduler: &mut Scheduler, number| {
        support::decide(scheduler, query(Kind::Plain, number, NOW), NOW)
    };
    let Some(Decision::Placed(first)) = place(&mut scheduler, 0) else {
        panic!("not placed");
    };
    scheduler.record_refusal_limit(first.ticket, Some(rate(0.0)), NOW);
    for number in 1..SLOTS {
        let decision = place(&mut scheduler, u64::from(number));
        assert!(
            matches!(decision, Some(Decision::Placed(_))),
            "{decision:?}"
        );
    }
    let mut decisions = Vec::new();
    for number in 100..200 {
        decisions.push(place(&mut scheduler, number));
    }
    let waiting = decisions.iter().filter(|decision| decision.is_none());
    let waiting = waiting.count();
    assert!((20..=60).contains(&waiting), "{waiting} wait");
    for refused in decisions.iter().skip(waiting) {
        let Some(Decision::Refused { retry_after, .. }) = refused else {
            panic!("neither waiting nor refused: {refused:?}");
        };
        assert!(*retry_after >= ms(150), "{retry_after:?}");
    }
}

fn named(scheduler: &Scheduler) -> Vec<f64> {
    let limits = scheduler.refusal_limits().into_iter();
    limits.map(|limit: Limit| limit.rate.per_second()).collect()
}

/// A limit ends by an answer to a later request; that of another run of the endpoint is not its.
#[test]
fn a_limit_on_refusals_ends_by_a_later_answer() {
    let mut list = endpoints()[..1].to_vec();
    let mut scheduler = support::scheduler(&list, 1);
    let first = support::place(&mut scheduler, query(Kind::Plain, 0, NOW), NOW);
    let earlier = support::place(&mut scheduler, query(Kind::Plain, 1, NOW), NOW);
    scheduler.record_refusal_limit(first.ticket, Some(rate(2.0)), NOW + ms(10));
    scheduler.record_refusal_limit(earlier.ticket, None, NOW + ms(20));
    assert_eq!(
        named(&scheduler),
        [2.0],
        "by an answer to an earlier request"
    );
    let later = support::place(&mut scheduler, query(Kind::Plain, 2, NOW), NOW + ms(30));
    scheduler.record_refusal_limit(later.ticket, None, NOW + ms(40));
    assert_eq!(named(&scheduler), [] as [f64; 0]);
    scheduler.record_refusal_limit(later.ticket, Some(rate(2.0)), NOW + ms(50));
    assert_eq!(named(&scheduler), [2.0]);
    list[0].started = id::Incarnation(2);
    scheduler.set_endpoints(&list, NOW + ms(60));
    assert_eq!(named(&scheduler), [] as [f64; 0], "another run");
}

/// Guards against a burst at an endpoint that has started again and named nothing yet.
#[test]
fn an_endpoint_inherits_the_limit_of_its_service() {
    let mut list = endpoints()[..2].to_vec();
    let mut scheduler = support::scheduler(&list, 1);
    let mut first = query(Kind::Plain, 0, NOW);
    first.tried.push(list[1].id.clone());
    let first = support::place(&mut scheduler, first, NOW);
    scheduler.record_refusal_limit(first.ticket, Some(rate(2.0)), NOW);
    list[1].started = id::Incarnation(2);
    scheduler.set_endpoints(&list, NOW);
    let mut placed = 1;
    for number in 0..100 {
        let decision = support::decide(&mut scheduler, query(Kind::Plain, number, NOW), NOW);
        placed += u32::from(matches!(decision, Some(Decision::Placed(_))));
    }
    assert_eq!(placed, 2 * SLOTS);
}

/// Guards against an endpoint that never gets a request again, so that nothing shows that its
/// limit was withdrawn.
#[test]
fn an_endpoint_that_refuses_an_only_request_gets_another_one_later() {
    let mut scheduler = support::scheduler(&endpoints()[..1], 1);
    let first = support::place(&mut scheduler, query(Kind::Plain, 0, NOW), NOW);
    scheduler.record_refusal_limit(first.ticket, Some(rate(0.0)), NOW);
    scheduler.record_outcome(first.ticket, Outcome::Refused, NOW);
    let soon = NOW + ms(2000);
    let decision = support::decide(&mut scheduler, query(Kind::Plain, 1, soon), soon);
    assert!(
        !matches!(decision, Some(Decision::Placed(_))),
        "{decision:?}"
    );
    let later = NOW + ms(6000);
    support::place(&mut scheduler, query(Kind::Plain, 2, later), later);
}

/// While hosts place their own requests, their parts add up to no more than the slots.
#[test]
fn hosts_without_a_dispatcher_share_the_slots() {
    let mut placed = 0;
    for index in 0..HOSTS {
        let mut scheduler = support::scheduler(&endpoints()[..1], HOSTS);
        scheduler.set_host_counts(HostCounts {
            local: zone(index),
            by_zone: HashMap::from([(zone(0), 3), (zone(1), 3), (zone(2), 3)]),
        });
        let limit = Limit {
            endpoint: endpoints()[0].id.clone(),
            started: id::Incarnation(1),
            service: id::Service::from("engines"),
            rate: rate(2.0),
        };
        scheduler.set_refusal_limits(&[limit], NOW, NOW);
        for number in 0..20 {
            let mut query = query(Kind::Plain, number, NOW);
            query.zone = zone(index);
            let decision = support::decide(&mut scheduler, query, NOW);
            placed += u32::from(matches!(decision, Some(Decision::Placed(_))));
        }
    }
    assert!((SLOTS - 2..=SLOTS).contains(&placed), "{placed} placed");
}

/// Guards against a request for a slot whose request was broken off, which the endpoint has not
/// noticed yet.
#[rstest]
#[case::abandoned(Outcome::Abandoned)]
#[case::failed(Outcome::Failed)]
fn a_slot_is_used_again_a_moment_after_its_request_was_broken_off(#[case] outcome: Outcome) {
    let mut scheduler = support::scheduler(&endpoints()[..1], 1);
    let first = support::place(&mut scheduler, query(Kind::Plain, 0, NOW), NOW);
    scheduler.record_refusal_limit(first.ticket, Some(rate(0.0)), NOW);
    for number in 1..SLOTS {
        let query = query(Kind::Plain, u64::from(number), NOW);
        support::place(&mut scheduler, query, NOW);
    }
    scheduler.record_outcome(first.ticket, outcome, NOW);
    let decision = support::decide(&mut scheduler, query(Kind::Plain, 100, NOW), NOW);
    assert!(decision.is_none(), "{decision:?}");
    let placed = scheduler.decide(NOW + ms(190));
    assert!(
        matches!(placed[..], [(_, Decision::Placed(_))]),
        "{placed:?}"
    );
}

/// Guards against a host that uses its part while the dispatcher that it has given up counts it.
#[test]
fn a_host_uses_its_part_once_its_dispatcher_no_longer_counts_it() {
    let mut scheduler = support::scheduler(&endpoints()[..1], 2);
    let limit = Limit {
        endpoint: endpoints()[0].id.clone(),
        started: id::Incarnation(1),
        service: id::Service::from("engines"),
        rate: rate(2.0),
    };
    scheduler.set_refusal_limits(&[limit], NOW, NOW);
    scheduler.record_use_elsewhere(NOW);
    let mut placed = |at| {
        let numbers = 0..u64::from(SLOTS);
        let decisions = numbers
            .map(|number| support::decide(&mut scheduler, query(Kind::Plain, number, at), at));
        let placed = |decision: &Option<_>| matches!(decision, Some(Decision::Placed(_)));
        decisions.filter(placed).count()
    };
    assert_eq!(placed(NOW + ms(1000)), 0);
    assert_eq!(placed(NOW + ms(2000)), 4);
}
