//! A site whose hosts, endpoints and callers are played at a scheduler.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use papayayard_routing::placement::{
    Decision, Endpoint, Outcome, PendingKey, Placement, Query, RefusalReason, Scheduler, Ticket,
};
use papayayard_routing::rate::Rate;
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::faults::{Behavior, Fault, STABLE, Spell, Way};
use crate::support::{self, NOW, ms};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Intervals of a scheduler's task, and of the hosts' calls to their dispatcher.
const DECISION_PERIOD: Duration = Duration::from_millis(20);
const CHECK_PERIOD: Duration = Duration::from_millis(200);
const CALL_PERIOD: Duration = Duration::from_secs(1);
const MAX_ATTEMPTS: u32 = 3;
/// Times after which requests fail.
const RESET: Duration = Duration::from_millis(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
const REFUSAL: Duration = Duration::from_millis(5);
const UNACKNOWLEDGED: Duration = Duration::from_millis(900);
/// Time after which a request without an answer is repeated elsewhere, if it may be.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Callers that are refused come back so often.
const MAX_RETURNS: u32 = 2;
/// Time within which a request has to be placed.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Whose requests the scheduler places.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Senders {
    /// Those of its own host, one of several with schedulers of their own.
    Own { of: usize },
    /// Those of all hosts.
    Dispatched(usize),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) senders: Senders,
    /// Endpoints of the plain service, and engines.
    pub(crate) plain: usize,
    pub(crate) engines: usize,
    pub(crate) zones: usize,
}

impl Size {
    pub(crate) fn hosts(&self) -> usize {
        match self.senders {
            Senders::Own { .. } => 1,
            Senders::Dispatched(hosts) => hosts,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Plain,
    Engines,
}

impl Kind {
    const fn service(self) -> &'static str {
        match self {
            Self::Plain => "bookings",
            Self::Engines => "engines",
        }
    }

    /// Times to the first event and to the end of an answer.
    const fn times(self) -> (Duration, Duration) {
        match self {
            Self::Plain => (Duration::from_millis(15), Duration::from_millis(15)),
            Self::Engines => (Duration::from_millis(100), Duration::from_millis(250)),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A new request of any host for a service.
    Arrival(Kind),
    Burst,
    Ask(usize),
    Begun(usize),
    Ended(usize),
    Failed(usize, Outcome),
    /// The host waits no longer for the first event, or for the answer.
    Silent(usize),
    GivenUp(usize),
    Decide,
    Check,
    Call,
}

/// A caller's request.
struct Request {
    host: usize,
    kind: Kind,
    query: Query,
    asked: Duration,
    /// Sum of the times after which the caller was to come back.
    returned: Duration,
    refusals: u32,
    attempts: u32,
    is_placed: bool,
}

/// A request at an endpoint, or on its way.
struct Attempt {
    request: usize,
    endpoint: usize,
    ticket: Ticket,
    /// Ticket of the host's own scheduler where another one places.
    shadow: Option<Ticket>,
    /// Whether the endpoint has it.
    is_open: bool,
    has_begun: bool,
    is_done: bool,
}

/// What is reported of a request.
#[derive(Clone, Copy)]
enum Report {
    Begun,
    Limits {
        requests: Option<Rate>,
        refusals: Option<Rate>,
    },
    Backoff(Duration),
    Outcome(Outcome),
}

pub(crate) struct Site {
    size: Size,
    spells: Vec<Spell>,
    scheduler: Scheduler,
    /// The hosts' own schedulers where another one places.
    shadows: Vec<Option<Scheduler>>,
    avoided: Vec<Vec<id::Endpoint>>,
    endpoints: Vec<Endpoint>,
    /// Requests that each endpoint has.
    open: Vec<u32>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    pending: HashMap<PendingKey, usize>,
    rng: ChaCha8Rng,
    events: BTreeMap<(Duration, u64), Event>,
    number: u64,
    /// Average times between two requests for the services.
    pauses: [Duration; 2],
    /// Whether there are no callers from the end of the faults until [`STABLE`].
    is_quiet: bool,
    quiet_from: Duration,
    violations: Vec<String>,
}

fn host(index: usize) -> id::Host {
    id::Host::from(format!("host-{index}"))
}

impl Site {
    pub(crate) fn new(size: Size, spells: Vec<Spell>, quiet_from: Duration, seed: u64) -> Self {
        let endpoints = endpoints(size);
        let (hosts, schedulers) = match size.senders {
            Senders::Own { of } => (1, of),
            Senders::Dispatched(hosts) => (hosts, hosts),
        };
        let shadow = |index: usize| (index > 0).then(|| support::scheduler(&endpoints, schedulers));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let factor = if rng.random::<bool>() { 1.0 } else { 0.1 };
        let pause = |number: usize, per_second: f64| {
            let rate = per_second * factor * f64::from(u32::try_from(number.max(1)).unwrap());
            Duration::from_secs_f64(1.0 / rate.max(1.0))
        };
        let mut replay = Self {
            scheduler: support::scheduler(&endpoints, schedulers),
            shadows: (0..hosts).map(shadow).collect(),
            avoided: vec![Vec::new(); hosts],
            open: vec![0; endpoints.len()],
            pauses: [pause(size.plain, 20.0), pause(size.engines, 2.5)],
            is_quiet: rng.random::<bool>(),
            quiet_from,
            size,
            spells,
            endpoints,
            requests: Vec::new(),
            attempts: Vec::new(),
            pending: HashMap::new(),
            events: BTreeMap::new(),
            number: 0,
            violations: Vec::new(),
            rng,
        };
        replay.start();
        replay
    }

    fn start(&mut self) {
        for (kind, number) in [
            (Kind::Plain, self.size.plain),
            (Kind::Engines, self.size.engines),
        ] {
            if number > 0 {
                self.schedule(NOW, Event::Arrival(kind));
            }
        }
        for event in [Event::Call, Event::Check, Event::Decide] {
            self.schedule(NOW, event);
        }
        let before = if self.rng.random::<bool>() { 0 } else { 2_000 };
        self.schedule(STABLE + ms(before), Event::Burst);
    }

    /// Plays on until a time; returns what was broken.
    pub(crate) fn play(&mut self, until: Duration) -> Vec<String> {
        while let Some(entry) = self.events.first_entry() {
            let now = entry.key().0;
            if now >= until {
                break;
            }
            let event = entry.remove();
            self.handle(event, now);
        }
        for request in &self.requests {
            let is_late = request.asked + request.returned + MAX_WAIT < until;
            if request.asked >= STABLE && !request.is_placed && request.refusals <= 1 && is_late {
                let Request { host, kind, .. } = request;
                let at = request.asked;
                let text = format!("{at:?}: host {host}'s request for {kind:?} was never placed");
                self.violations.push(text);
            }
        }
        std::mem::take(&mut self.violations)
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrival(kind) => {
                let pause = self.pauses[usize::from(kind == Kind::Engines)];
                let pause = pause.mul_f64(-self.rng.random::<f64>().max(1e-9).ln());
                self.schedule(now + pause, Event::Arrival(kind));
                let host = self.rng.random_range(0..self.size.hosts());
                let is_silent = self.is_quiet && (self.quiet_from..STABLE).contains(&now);
                if !is_silent {
                    self.arrive(host, kind, now);
                }
            }
            Event::Burst => {
                let host = self.rng.random_range(0..self.size.hosts());
                let is_plain = self.size.plain > 0 && self.rng.random::<bool>();
                let is_plain = is_plain || self.size.engines == 0;
                let kind = if is_plain { Kind::Plain } else { Kind::Engines };
                for _ in 0..30 {
                    self.arrive(host, kind, now);
                }
            }
            Event::Ask(request) => self.ask(request, now),
            Event::Begun(attempt) => self.begin(attempt, now),
            Event::Ended(attempt) => self.end(attempt, now),
            Event::Failed(attempt, outcome) => self.fail(attempt, outcome, now),
            Event::Silent(attempt) => {
                if !self.attempts[attempt].has_begun {
                    self.fail(attempt, Outcome::Failed, now);
                }
            }
            Event::GivenUp(attempt) => self.finish(attempt, Outcome::Abandoned, now),
            Event::Decide => {
                self.schedule(now + DECISION_PERIOD, Event::Decide);
                self.decide(now);
            }
            Event::Check => {
                self.schedule(now + CHECK_PERIOD, Event::Check);
                self.check(now);
            }
            Event::Call => {
                self.schedule(now + CALL_PERIOD, Event::Call);
                for index in 1..self.size.hosts() {
                    if !self.is_gone(index, now) {
                        let zone = self.zone(index);
                        self.scheduler.record_contact(&host(index), now);
                        self.scheduler.record_use(&host(index), &zone, now);
                    }
                }
            }
        }
    }

    fn check(&mut self, now: Duration) {
        self.scheduler.check_overdue(now);
        for index in 1..self.size.hosts() {
            let zone = self.zone(index);
            if let Some(shadow) = &mut self.shadows[index] {
                shadow.check_overdue(now);
                self.avoided[index] = shadow.avoided(&zone, now);
            }
        }
    }

    fn zone(&self, index: usize) -> id::Zone {
        id::Zone::from(ZONES[index % self.size.zones])
    }

    fn arrive(&mut self, host: usize, kind: Kind, now: Duration) {
        if self.is_gone(host, now) {
            return;
        }
        let query = self.query(host, kind, now);
        self.requests.push(Request {
            host,
            kind,
            query,
            asked: now,
            returned: Duration::ZERO,
            refusals: 0,
            attempts: 0,
            is_placed: false,
        });
        self.ask(self.requests.len() - 1, now);
    }

    fn query(&mut self, index: usize, kind: Kind, now: Duration) -> Query {
        let subject = self.rng.random_range(0..40);
        let mut history = support::history(&format!("subject-{subject}"));
        history.parts[0].name = format!("studio-{}", subject % 5);
        let engines = Query {
            requesting_host: (index > 0).then(|| host(index)),
            zone: self.zone(index),
            ..support::query(history, now)
        };
        match kind {
            Kind::Engines => engines,
            Kind::Plain => Query {
                service: id::Service::from(kind.service()),
                prompt: None,
                is_repeatable: self.rng.random::<bool>(),
                target: now + ms(150),
                target_latency: ms(150),
                deadline: now + ms(2_000),
                ..engines
            },
        }
    }

    fn ask(&mut self, request: usize, now: Duration) {
        let Request { host, query, .. } = &self.requests[request];
        if self.is_gone(*host, now) {
            return;
        }
        let query = Query {
            avoided: self.avoided[*host].clone(),
            ..query.clone()
        };
        let waiting = self.scheduler.enqueue(query, now);
        self.pending.insert(waiting, request);
        self.decide(now);
    }

    fn decide(&mut self, now: Duration) {
        for (waiting, decision) in self.scheduler.decide(now) {
            let request = self.pending.remove(&waiting).expect("a request");
            match decision {
                Decision::Placed(placement) => self.send(request, &placement, now),
                Decision::Refused {
                    reason,
                    retry_after,
                    availability,
                } => {
                    let text = format!("{reason:?}, {availability:?}, back in {retry_after:?}");
                    self.judge_refusal(request, reason, &text, now);
                    self.refuse(request, retry_after, now);
                }
            }
        }
    }

    /// Endpoints of a service that have no request.
    fn idle(&self, kind: Kind) -> Vec<&str> {
        let endpoints = self.endpoints.iter().zip(&self.open);
        let idle = endpoints
            .filter(|(endpoint, open)| endpoint.service.as_str() == kind.service() && **open == 0);
        idle.map(|(endpoint, _)| endpoint.id.as_str()).collect()
    }

    fn judge_refusal(&mut self, request: usize, reason: RefusalReason, text: &str, now: Duration) {
        let Request {
            host,
            kind,
            asked,
            refusals,
            ..
        } = &self.requests[request];
        if *asked < STABLE {
            return;
        }
        let idle = self.idle(*kind);
        if !idle.is_empty() || reason != RefusalReason::Overloaded || *refusals > 0 {
            self.violations.push(format!(
                "{now:?}: host {host}'s request for {kind:?} refused, time {refusals}, idle {idle:?}: {text}"
            ));
        }
    }

    fn refuse(&mut self, index: usize, retry_after: Duration, now: Duration) {
        let (host, kind) = (self.requests[index].host, self.requests[index].kind);
        let query = self.query(host, kind, now + retry_after);
        let request = &mut self.requests[index];
        request.refusals += 1;
        if request.refusals > MAX_RETURNS {
            return;
        }
        request.returned += retry_after;
        request.attempts = 0;
        request.query = query;
        self.schedule(now + retry_after, Event::Ask(index));
    }

    fn send(&mut self, index: usize, placement: &Placement, now: Duration) {
        let request = &mut self.requests[index];
        request.is_placed = true;
        request.attempts += 1;
        let waited = now.saturating_sub(request.asked + request.returned);
        if request.asked >= STABLE && waited > MAX_WAIT {
            let Request { host, kind, .. } = request;
            let text = format!("{now:?}: host {host}'s request for {kind:?} waited {waited:?}");
            self.violations.push(text);
        }
        let (host, query) = (request.host, &request.query);
        let shadow = self.shadows[host].as_mut();
        let local = Query {
            requesting_host: None,
            ..query.clone()
        };
        let shadow = shadow.and_then(|shadow| shadow.record_placement(&local, placement, now));
        let deadline = query.deadline;
        let is_repeatable = query.is_repeatable;
        let is_chosen = |endpoint: &Endpoint| endpoint.id == placement.endpoint;
        let endpoint = self.endpoints.iter().position(is_chosen);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request: index,
            endpoint: endpoint.expect("a listed endpoint"),
            ticket: placement.ticket,
            shadow,
            is_open: false,
            has_begun: false,
            is_done: false,
        });
        self.schedule(deadline, Event::GivenUp(attempt));
        if is_repeatable {
            self.schedule(now + SILENCE_TIMEOUT, Event::Silent(attempt));
        }
        self.meet(attempt, host, now);
    }

    /// Decides what a request meets on its way and at its endpoint.
    fn meet(&mut self, attempt: usize, host: usize, now: Duration) {
        if let Some(way) = self.cut(host, now) {
            let (time, outcome) = match way {
                Way::Refused => (RESET, Outcome::Unreachable),
                Way::Closed => (RESET, Outcome::Failed),
                Way::Hanging => (CONNECT_TIMEOUT, Outcome::Unreachable),
            };
            return self.schedule(now + time, Event::Failed(attempt, outcome));
        }
        let endpoint = self.attempts[attempt].endpoint;
        let kind = self.requests[self.attempts[attempt].request].kind;
        let (first, whole) = kind.times();
        let (delay, failure) = match self.behavior(endpoint, now) {
            None => (Some(Duration::ZERO), None),
            Some((Behavior::Unreachable, _)) => (None, Some((RESET, Outcome::Unreachable))),
            Some((Behavior::Closed, _)) => (None, Some((RESET, Outcome::Failed))),
            Some((Behavior::Mismatched, _)) => (None, Some((REFUSAL, Outcome::Mismatched))),
            Some((Behavior::Full(_), _)) => (None, Some((REFUSAL, Outcome::Refused))),
            Some((Behavior::Hanging, _)) => (None, None),
            Some((Behavior::Standing, until)) => (Some(until.saturating_sub(now)), None),
            Some((Behavior::Slow(delay), _)) => (Some(delay), None),
            Some((Behavior::Limited { refusals, .. }, _)) => {
                let is_refused = refusals.is_some() && self.rng.random_range(0..4) == 0;
                if is_refused {
                    (None, Some((REFUSAL, Outcome::Refused)))
                } else {
                    (Some(Duration::ZERO), None)
                }
            }
        };
        if let Some((time, outcome)) = failure {
            return self.schedule(now + time, Event::Failed(attempt, outcome));
        }
        self.attempts[attempt].is_open = true;
        self.open[endpoint] += 1;
        if let Some(delay) = delay {
            self.schedule(now + delay + first, Event::Begun(attempt));
            self.schedule(now + delay + whole, Event::Ended(attempt));
        }
    }

    /// Returns when an endpoint can send again.
    fn sends_at(&self, endpoint: usize, now: Duration) -> Duration {
        let silences = self.spells.iter().filter_map(|spell| {
            let Fault::SilentInTurn { each } = spell.fault else {
                return None;
            };
            let turns = spell
                .includes(now)
                .then(|| now.saturating_sub(spell.from))?;
            let turn = turns.as_nanos() / each.as_nanos();
            let turn = usize::try_from(turn).expect("a few turns");
            let end = spell.from + each * u32::try_from(turn + 1).expect("a few turns");
            let group = self.endpoints.len().min(self.turns(endpoint));
            (turn % group == endpoint % group).then_some(end.min(spell.until))
        });
        silences.max().unwrap_or(now)
    }

    /// Endpoints of the service of an endpoint.
    fn turns(&self, endpoint: usize) -> usize {
        if self.endpoints[endpoint].service.as_str() == Kind::Plain.service() {
            self.size.plain
        } else {
            self.size.engines
        }
    }

    fn begin(&mut self, index: usize, now: Duration) {
        if self.attempts[index].is_done {
            return;
        }
        let endpoint = self.attempts[index].endpoint;
        let sends_at = self.sends_at(endpoint, now);
        if sends_at > now {
            return self.schedule(sends_at, Event::Begun(index));
        }
        let host = self.requests[self.attempts[index].request].host;
        if self.cut(host, now).is_some() {
            return;
        }
        self.attempts[index].has_begun = true;
        self.report_limits(index, now);
        self.report(index, Report::Begun, now);
    }

    fn end(&mut self, index: usize, now: Duration) {
        if self.attempts[index].is_done {
            return;
        }
        let endpoint = self.attempts[index].endpoint;
        let sends_at = self.sends_at(endpoint, now);
        if sends_at > now {
            return self.schedule(sends_at, Event::Ended(index));
        }
        let host = self.requests[self.attempts[index].request].host;
        if self.cut(host, now).is_some() {
            self.close(index);
            let event = Event::Failed(index, Outcome::Failed);
            return self.schedule(now + UNACKNOWLEDGED, event);
        }
        if !self.attempts[index].has_begun {
            self.begin(index, now);
        }
        self.finish(index, Outcome::Whole, now);
    }

    fn fail(&mut self, index: usize, outcome: Outcome, now: Duration) {
        if self.attempts[index].is_done {
            return;
        }
        let (request, endpoint) = (self.attempts[index].request, self.attempts[index].endpoint);
        if let Outcome::Refused | Outcome::Mismatched = outcome {
            self.report_limits(index, now);
        }
        if let (Outcome::Refused, Some((Behavior::Full(Some(time)), _))) =
            (outcome, self.behavior(endpoint, now))
        {
            self.report(index, Report::Backoff(time), now);
        }
        self.finish(index, outcome, now);
        let endpoint = self.endpoints[endpoint].id.clone();
        let Request {
            query, attempts, ..
        } = &mut self.requests[request];
        query.tried.push(endpoint);
        let may_repeat = query.is_repeatable || outcome != Outcome::Failed;
        if may_repeat && *attempts < MAX_ATTEMPTS && now < query.deadline {
            self.ask(request, now);
        }
    }

    fn close(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        if std::mem::take(&mut attempt.is_open) {
            self.open[attempt.endpoint] -= 1;
        }
    }

    fn finish(&mut self, index: usize, outcome: Outcome, now: Duration) {
        if self.attempts[index].is_done {
            return;
        }
        self.close(index);
        self.attempts[index].is_done = true;
        self.report(index, Report::Outcome(outcome), now);
    }

    fn report_limits(&mut self, index: usize, now: Duration) {
        let behavior = self.behavior(self.attempts[index].endpoint, now);
        let (requests, refusals) = match behavior {
            Some((Behavior::Limited { requests, refusals }, _)) => (requests, refusals),
            _ => (None, None),
        };
        self.report(index, Report::Limits { requests, refusals }, now);
    }

    /// Tells the schedulers that know a request, as far as its host is heard.
    fn report(&mut self, index: usize, report: Report, now: Duration) {
        let attempt = &self.attempts[index];
        let host = self.requests[attempt.request].host;
        if let (Some(shadow), Some(ticket)) = (&mut self.shadows[host], attempt.shadow) {
            tell(shadow, ticket, report, now);
        }
        let ticket = attempt.ticket;
        if !self.is_gone(host, now) && !self.is_unheard(host, now) {
            tell(&mut self.scheduler, ticket, report, now);
        }
    }

    fn active(&self, now: Duration) -> impl Iterator<Item = &Spell> {
        self.spells.iter().filter(move |spell| spell.includes(now))
    }

    fn cut(&self, index: usize, now: Duration) -> Option<Way> {
        self.active(now).find_map(|spell| match spell.fault {
            Fault::Cut { host, way } if host == index => Some(way),
            _ => None,
        })
    }

    fn is_gone(&self, index: usize, now: Duration) -> bool {
        self.active(now)
            .any(|spell| matches!(spell.fault, Fault::Gone { host } if host == index))
    }

    fn is_unheard(&self, index: usize, now: Duration) -> bool {
        self.active(now)
            .any(|spell| matches!(spell.fault, Fault::Unheard { host } if host == index))
    }

    /// Misbehavior of an endpoint, and when it ends.
    fn behavior(&self, endpoint: usize, now: Duration) -> Option<(Behavior, Duration)> {
        let number_of_all = self.endpoints.len();
        self.active(now).find_map(|spell| match spell.fault {
            Fault::Endpoints {
                first,
                number,
                behavior,
            } => {
                let is_meant = (endpoint + number_of_all - first) % number_of_all < number;
                is_meant.then_some((behavior, spell.until))
            }
            _ => None,
        })
    }
}

fn tell(scheduler: &mut Scheduler, ticket: Ticket, report: Report, now: Duration) {
    match report {
        Report::Begun => scheduler.record_first_event(ticket, now),
        Report::Limits { requests, refusals } => {
            scheduler.record_limit(ticket, requests, now);
            scheduler.record_refusal_limit(ticket, refusals, now);
        }
        Report::Backoff(time) => scheduler.set_backoff(ticket, time, now),
        Report::Outcome(outcome) => scheduler.record_outcome(ticket, outcome, now),
    }
}

fn endpoints(size: Size) -> Vec<Endpoint> {
    let plain = (0..size.plain).map(|index| Endpoint {
        service: id::Service::from(Kind::Plain.service()),
        slots: 6,
        ..support::engine(&format!("b{index}"), ZONES[index % size.zones], 0)
    });
    let engines = (0..size.engines)
        .map(|index| support::engine(&format!("e{index:02}"), ZONES[index % size.zones], 1));
    plain.chain(engines).collect()
}
