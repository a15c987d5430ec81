//! Replay of a minute of requests at endpoints, some of which crash them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use papayayard_routing::blame::{Progress, Run};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::world::{Host, Report, Request};

const ENDPOINTS: usize = 30;
/// Endpoints that share an availability zone.
const ZONE: usize = 10;
/// Time from an endpoint's crash until it serves again.
const RESTART: Millis = 3_500;
/// Time in which sound requests run alone, and time in which causes come.
const CALM: Millis = 8_000;
const END: Millis = 45_000;
/// Mean time between sound requests of all hosts, and between requests of each cause.
const SOUND_INTERVAL: Millis = 15;
const DEADLY_INTERVAL: Millis = 300;
/// Mean time between crashes by chance, and between crashes of a whole zone.
const CHANCE_INTERVAL: Millis = 2_500;
const ZONE_INTERVAL: Millis = 12_000;
/// Time from the arrival of a request to its first event, or to the crash.
const FIRST_EVENT: Millis = 150;
/// Maximum further time until its answer is complete.
const MAX_ANSWER: Millis = 3_000;
/// Time that reports of crashes take to other hosts.
const MIN_REPORT: Millis = 30;
const MAX_REPORT: Millis = 1_500;
/// Time until a host sends the request to another endpoint after a crash.
const RETRY: Millis = 10;
const ATTEMPTS: usize = 2;
/// Crashes after which requests with a deadly part have to be refused, and the time that
/// the hosts have for it; twice that time for sound requests to be served again.
const FREE_CRASHES: usize = 5;
const STABLE: Millis = 3_000;
/// The same for a deadly request.
const FREE_CRASHES_OF_REQUEST: usize = 3;
/// First parts that sound requests share, and conversations, each with parts of its own.
const FIRST_PARTS: u64 = 4;
const CONVERSATIONS: u64 = 300;
const MAX_TURNS: u64 = 6;

type Millis = u64;

/// Why endpoints crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// A part of prompts; the rest of the requests differs.
    Part,
    /// One request that comes again.
    Request,
    /// No request.
    Chance,
    /// No request; all endpoints of a zone crash at once.
    Zone,
}

/// A replay.
pub(crate) struct Plan<'a> {
    pub(crate) hosts: usize,
    pub(crate) causes: &'a [Cause],
    pub(crate) seed: u64,
}

/// Sound requests, and those that began at the first attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    sent: usize,
    begun: usize,
}

impl Share {
    pub(crate) fn percent(self) -> usize {
        self.begun * 100 / self.sent.max(1)
    }

    fn add(&mut self, has_begun: bool) {
        self.sent += 1;
        self.begun += usize::from(has_begun);
    }
}

#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Late arrivals at endpoints, by cause.
    pub(crate) later: Vec<usize>,
    /// Crashes by causes that are requests.
    pub(crate) crashes: usize,
    /// Sound requests with the first part of the deadly ones.
    pub(crate) before: Share,
    pub(crate) after: Share,
    /// Sound requests of all kinds.
    pub(crate) sent_sound: usize,
    pub(crate) refused_sound: usize,
}

/// A request on its way.
#[derive(Clone, Debug)]
struct Call {
    request: Request,
    host: usize,
    /// Index of the cause that it is, or `None` if it is sound.
    cause: Option<usize>,
    attempt: usize,
    sent: Millis,
    is_counted: bool,
}

#[derive(Debug)]
enum Event {
    Send(Call),
    Crash {
        endpoint: usize,
        started: u64,
    },
    /// The first event, then the end of an answer.
    Begin {
        call: u64,
    },
    Finish {
        call: u64,
    },
    Deliver {
        host: usize,
        report: usize,
    },
    SoundArrives,
    DeadlyArrives {
        cause: usize,
    },
    ChanceArrives {
        cause: usize,
    },
}

struct Open {
    id: u64,
    call: Call,
    progress: Progress,
}

struct Endpoint {
    started: u64,
    down_until: Millis,
    open: Vec<Open>,
}

struct Replay<'a> {
    plan: &'a Plan<'a>,
    rng: ChaCha8Rng,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, usize)>>,
    events: Vec<Option<Event>>,
    hosts: Vec<Host>,
    endpoints: Vec<Endpoint>,
    reports: Vec<Report>,
    next_id: u64,
    /// Crashes by each cause.
    crashed: Vec<Vec<Millis>>,
    arrived: Vec<Vec<Millis>>,
    /// Requests with a deadly part, by cause.
    deadly: Vec<Vec<Request>>,
    /// When a sound request was sent, its first part, and whether it began at once.
    sound: Vec<(Millis, u64, bool)>,
    refused_sound: usize,
}

/// Plays the plan and counts.
pub(crate) fn run(plan: &Plan) -> Outcome {
    let mut replay = Replay {
        plan,
        rng: ChaCha8Rng::seed_from_u64(plan.seed),
        now: 0,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        hosts: (0..plan.hosts).map(|_| Host::default()).collect(),
        endpoints: (0..ENDPOINTS)
            .map(|_| Endpoint {
                started: 1,
                down_until: 0,
                open: Vec::new(),
            })
            .collect(),
        reports: Vec::new(),
        next_id: 0,
        crashed: vec![Vec::new(); plan.causes.len()],
        arrived: vec![Vec::new(); plan.causes.len()],
        deadly: vec![Vec::new(); plan.causes.len()],
        sound: Vec::new(),
        refused_sound: 0,
    };
    replay.play();
    replay.outcome()
}

impl Replay<'_> {
    fn play(&mut self) {
        self.at(0, Event::SoundArrives);
        for (cause, kind) in self.plan.causes.iter().enumerate() {
            let event = match kind {
                Cause::Part | Cause::Request => Event::DeadlyArrives { cause },
                Cause::Chance | Cause::Zone => Event::ChanceArrives { cause },
            };
            self.at(CALM, event);
        }
        while let Some(Reverse((at, index))) = self.queue.pop() {
            if at > END {
                return;
            }
            self.now = at;
            if let Some(event) = self.events[index].take() {
                self.handle(event);
            }
        }
    }

    fn at(&mut self, time: Millis, event: Event) {
        self.queue.push(Reverse((time, self.events.len())));
        self.events.push(Some(event));
    }

    fn after(&mut self, delay: Millis, event: Event) {
        self.at(self.now + delay, event);
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn index_below(&mut self, bound: usize) -> usize {
        let bound = u64::try_from(bound).expect("a small number");
        usize::try_from(self.below(bound)).expect("a small number")
    }

    /// A random time with this mean.
    fn interval(&mut self, mean: Millis) -> Millis {
        1 + self.below(2 * mean)
    }

    fn clock(&self) -> Duration {
        Duration::from_hours(1) + Duration::from_millis(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SoundArrives => {
                let request = self.sound_request();
                self.send_new(request, None);
                let delay = self.interval(SOUND_INTERVAL);
                self.after(delay, Event::SoundArrives);
            }
            Event::DeadlyArrives { cause } => {
                let request = self.deadly_request(cause);
                self.send_new(request, Some(cause));
                let delay = self.interval(DEADLY_INTERVAL);
                self.after(delay, Event::DeadlyArrives { cause });
            }
            Event::ChanceArrives { cause } => self.crash_by_chance(cause),
            Event::Send(call) => self.send(call),
            Event::Crash { endpoint, started } => {
                if self.endpoints[endpoint].started == started {
                    self.crash(endpoint);
                }
            }
            Event::Begin { call } => self.begin(call),
            Event::Finish { call } => self.finish(call),
            Event::Deliver { host, report } => {
                let now = self.clock();
                self.hosts[host].receive(&self.reports[report], now);
            }
        }
    }

    fn unique_body(&mut self) -> u64 {
        self.next_id += 1;
        1_000_000 + self.next_id
    }

    /// Parts of a conversation up to one of its turns, after its first part.
    fn conversation(&mut self) -> Vec<u64> {
        let conversation = self.below(CONVERSATIONS);
        let turns = self.below(MAX_TURNS + 1);
        let own = (0..turns).map(|turn| 1_000 + conversation * 100 + turn);
        std::iter::once(conversation % FIRST_PARTS)
            .chain(own)
            .collect()
    }

    fn sound_request(&mut self) -> Request {
        let body = Fingerprint(self.unique_body());
        let parts = self.conversation();
        Request { body, parts }
    }

    /// A deadly part stands at any place of a prompt that shares the other parts with sound
    /// ones, and one request in three comes again.
    fn deadly_request(&mut self, cause: usize) -> Request {
        let number = u64::try_from(cause).expect("a small number");
        if self.plan.causes[cause] == Cause::Request {
            let body = Fingerprint(500 + number);
            return Request {
                body,
                parts: vec![0, 1_000, 1_001],
            };
        }
        let count = self.deadly[cause].len();
        if count > 0 && self.below(3) == 0 {
            let index = self.index_below(count);
            return self.deadly[cause][index].clone();
        }
        let body = Fingerprint(self.unique_body());
        let mut parts = self.conversation();
        parts[0] = 0;
        let place = 1 + self.index_below(parts.len());
        parts.insert(place, 700 + number);
        let request = Request { body, parts };
        self.deadly[cause].push(request.clone());
        request
    }

    fn send_new(&mut self, request: Request, cause: Option<usize>) {
        let host = self.index_below(self.hosts.len());
        let sent = self.now;
        self.send(Call {
            request,
            host,
            cause,
            attempt: 0,
            sent,
            is_counted: false,
        });
    }

    fn send(&mut self, call: Call) {
        let now = self.clock();
        if self.hosts[call.host].refuses(&call.request, now) {
            self.refused_sound += usize::from(call.cause.is_none());
            self.count_sound(&call, false);
            return;
        }
        let up = (0..ENDPOINTS).filter(|index| self.endpoints[*index].down_until <= self.now);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            self.count_sound(&call, false);
            return;
        }
        let endpoint = up[self.index_below(up.len())];
        self.next_id += 1;
        let id = self.next_id;
        let started = self.endpoints[endpoint].started;
        let first = FIRST_EVENT + self.below(FIRST_EVENT);
        if let Some(cause) = call.cause {
            self.arrived[cause].push(self.now);
            self.after(first, Event::Crash { endpoint, started });
        } else {
            self.after(first, Event::Begin { call: id });
            let rest = self.below(MAX_ANSWER);
            self.after(first + rest, Event::Finish { call: id });
        }
        self.endpoints[endpoint].open.push(Open {
            id,
            call,
            progress: Progress::Waiting,
        });
    }

    fn begin(&mut self, id: u64) {
        let open = self.endpoints.iter_mut().flat_map(|all| &mut all.open);
        let Some(open) = open.into_iter().find(|open| open.id == id) else {
            return;
        };
        open.progress = Progress::Begun;
        let call = open.call.clone();
        self.count_sound(&call, call.attempt == 0);
    }

    fn finish(&mut self, id: u64) {
        let now = self.clock();
        for endpoint in &mut self.endpoints {
            if let Some(place) = endpoint.open.iter().position(|open| open.id == id) {
                let open = endpoint.open.swap_remove(place);
                self.hosts[open.call.host].finish(&open.call.request, now);
                return;
            }
        }
    }

    fn crash_by_chance(&mut self, cause: usize) {
        let (first, count, mean) = if self.plan.causes[cause] == Cause::Zone {
            let zone = self.index_below(ENDPOINTS / ZONE);
            (zone * ZONE, ZONE, ZONE_INTERVAL)
        } else {
            (self.index_below(ENDPOINTS), 1, CHANCE_INTERVAL)
        };
        for endpoint in first..first + count {
            if self.endpoints[endpoint].down_until <= self.now {
                self.crash(endpoint);
            }
        }
        let delay = self.interval(mean);
        self.after(delay, Event::ChanceArrives { cause });
    }

    /// All hosts with requests open there report the crash; the requests go elsewhere.
    fn crash(&mut self, endpoint: usize) {
        let crashed = &mut self.endpoints[endpoint];
        let run = Run {
            endpoint: id::Endpoint::from(format!("engine-{endpoint}")),
            started: id::Incarnation(crashed.started),
        };
        crashed.started += 1;
        crashed.down_until = self.now + RESTART;
        let open = std::mem::take(&mut crashed.open);
        let mut causes: Vec<usize> = open.iter().filter_map(|open| open.call.cause).collect();
        causes.dedup();
        for cause in causes {
            self.crashed[cause].push(self.now);
        }
        for host in 0..self.hosts.len() {
            let own = open.iter().filter(|open| open.call.host == host);
            let own: Vec<(Request, Progress)> = own
                .map(|open| (open.call.request.clone(), open.progress))
                .collect();
            if !own.is_empty() {
                self.report(host, &run, own);
            }
        }
        for open in open {
            let mut call = open.call;
            call.attempt += 1;
            call.is_counted |= open.progress == Progress::Begun;
            if call.attempt < ATTEMPTS {
                self.after(RETRY, Event::Send(call));
            } else {
                self.count_sound(&call, false);
            }
        }
    }

    fn report(&mut self, host: usize, run: &Run, open: Vec<(Request, Progress)>) {
        let now = self.clock();
        let report = self.hosts[host].observe(run, open, now);
        let index = self.reports.len();
        self.reports.push(report);
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            let delay = MIN_REPORT + self.below(MAX_REPORT - MIN_REPORT);
            let event = Event::Deliver {
                host: other,
                report: index,
            };
            self.after(delay, event);
        }
    }

    /// Counts a sound request once: at its first event or when it is given up.
    fn count_sound(&mut self, call: &Call, is_at_once: bool) {
        if call.cause.is_none() && !call.is_counted {
            self.sound
                .push((call.sent, call.request.parts[0], is_at_once));
        }
    }

    fn outcome(&self) -> Outcome {
        let free = |cause: &Cause| match cause {
            Cause::Request => FREE_CRASHES_OF_REQUEST,
            _ => FREE_CRASHES,
        };
        let ended = self.plan.causes.iter().zip(&self.crashed);
        let ends: Vec<Option<Millis>> = ended
            .map(|(cause, crashes)| crashes.get(free(cause) - 1).copied())
            .collect();
        let later = ends.iter().zip(&self.arrived).map(|(end, arrived)| {
            let late = |at: &&Millis| end.is_some_and(|end| **at > end + STABLE);
            arrived.iter().filter(late).count()
        });
        let served_from = self.crashed.iter().zip(&ends).map(|(crashes, end)| {
            let last = crashes.last().copied().unwrap_or(CALM);
            end.unwrap_or(last) + 2 * STABLE
        });
        let served_from = served_from.max().unwrap_or(CALM);
        let mut outcome = Outcome {
            later: later.collect(),
            crashes: self.crashed.iter().map(Vec::len).sum(),
            sent_sound: self.sound.len(),
            refused_sound: self.refused_sound,
            ..Outcome::default()
        };
        for (sent, first, has_begun) in &self.sound {
            if *first == 0 && *sent <= CALM - STABLE {
                outcome.before.add(*has_begun);
            } else if *first == 0 && *sent >= served_from {
                outcome.after.add(*has_begun);
            }
        }
        outcome
    }
}
