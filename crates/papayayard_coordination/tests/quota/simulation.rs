//! Hosts with clocks of their own, and messages between them that may be slow, lost,
//! repeated or late.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use papayayard_coordination::quota::{
    Caller, Charge, Ledger, Offer, Quota, Reply, Settings, Verdict,
};
use papayayard_wire::id;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::plan::{self, Fault, Plan};

/// Time between calls of an idle host.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time after which a host gives up a call.
const TIMEOUT: Duration = Duration::from_millis(220);

/// Time between two readings of all pools.
const SAMPLE_PERIOD: Duration = Duration::from_millis(53);
/// Cost of a request without a prompt as a part of that of others.
const PLAIN_COST: f64 = 0.25;

/// An admitted request that was not returned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    pub(crate) at: Duration,
    pub(crate) account: usize,
    pub(crate) cost: f64,
}

#[derive(Clone, Debug)]
struct Call {
    from: usize,
    run: u64,
    to: usize,
    offer: Offer,
    request: Option<Request>,
    /// By the caller's clock.
    sent_at: Duration,
}

#[derive(Clone, Debug)]
struct Request {
    number: u64,
    account: usize,
    charge: Charge,
    /// Whether the request has failed at another dispatcher before.
    is_retry: bool,
}

#[derive(Clone, Debug)]
struct Answer {
    call: Call,
    run: u64,
    reply: Reply,
    verdict: Option<(Verdict, Duration)>,
}

#[derive(Clone, Debug)]
enum Event {
    Heartbeat(usize, u64),
    Request(usize),
    Call(Box<Call>),
    Answer(Box<Answer>),
    Timeout(Box<Call>),
    Return(usize, u64, usize, u64),
    Move(usize),
    Prefer(usize, u64),
    Read(usize),
    Start(usize),
    Fault(Fault),
    Sample,
}

struct Host {
    name: id::Host,
    ledger: Option<Ledger>,
    run: u64,
    clock_rate: f64,
    clock_offset: Duration,
    dispatcher: usize,
    /// When a dispatcher answered last.
    answered_at: Duration,
    frozen_until: Duration,
    store_cut_until: Duration,
    revision: u64,
    /// Numbers of requests that wait for an answer.
    open: BTreeSet<u64>,
    last_number: u64,
}

/// A replay.
pub(crate) struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, usize)>>,
    contents: Vec<Option<Event>>,
    hosts: Vec<Host>,
    cuts: Vec<(BTreeSet<usize>, Duration)>,
    host_count: usize,
    revision: u64,
    factor: f64,
    next_run: u64,
    pub(crate) admissions: Vec<Admission>,
    /// Time from which all hosts know the lowered quotas.
    pub(crate) lowered_at: Option<Duration>,
    /// Largest sum of the shares of all pools, and when it was seen.
    pub(crate) largest_share: (f64, Duration),
}

impl Simulation {
    pub(crate) fn new(plan: Plan, seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            contents: Vec::new(),
            hosts: Vec::new(),
            cuts: Vec::new(),
            host_count: plan.hosts,
            revision: 1,
            factor: 1.0,
            next_run: 1,
            admissions: Vec::new(),
            lowered_at: None,
            largest_share: (0.0, Duration::ZERO),
            plan,
        };
        simulation.push(SAMPLE_PERIOD, Event::Sample);
        for index in 0..simulation.plan.hosts {
            simulation.add_host(index);
        }
        for account in 0..simulation.plan.quotas.len() {
            simulation.push(Duration::from_millis(10), Event::Request(account));
        }
        for (at, fault) in simulation.plan.faults.clone() {
            simulation.push(at, Event::Fault(fault));
        }
        simulation
    }

    /// Runs to the end of the plan.
    pub(crate) fn run(&mut self) {
        while let Some(Reverse((at, index))) = self.events.pop() {
            if at > self.plan.length {
                break;
            }
            self.now = at;
            if let Some(event) = self.contents[index].take() {
                self.apply(event);
            }
        }
        self.admissions.sort_by_key(|admission| admission.at);
    }

    /// Largest excess over an account's quota in any window, as a part of what is
    /// allowed; at most 1 if the bound holds.
    pub(crate) fn worst_window(&self, account: usize) -> (f64, Duration) {
        let of_account = |admission: &&Admission| admission.account == account;
        let admissions: Vec<&Admission> = self.admissions.iter().filter(of_account).collect();
        let window = self.plan.tolerance.window;
        let mut worst = (0.0, Duration::ZERO);
        let (mut end, mut sum) = (0, 0.0);
        for first in &admissions {
            while end < admissions.len() && admissions[end].at < first.at + window {
                sum += admissions[end].cost;
                end += 1;
            }
            let part = sum / self.allowed(account, first.at);
            if part > worst.0 {
                worst = (part, first.at);
            }
            sum -= first.cost;
        }
        worst
    }

    /// What was admitted of an account from a time on.
    pub(crate) fn admitted(&self, account: usize, from: Duration) -> f64 {
        let admissions = self.admissions.iter();
        let admissions = admissions.filter(|one| one.account == account && one.at >= from);
        admissions.map(|one| one.cost).sum()
    }

    fn allowed(&self, account: usize, from: Duration) -> f64 {
        let quota = self.plan.quotas[account];
        let is_lowered = self.lowered_at.is_some_and(|at| from >= at);
        let factor = if is_lowered { self.factor } else { 1.0 };
        let window = self.plan.tolerance.window.as_secs_f64();
        let base = (quota.per_second * window + quota.burst) * factor;
        base * (1.0 + self.plan.tolerance.ratio) + self.plan.tolerance.slack
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, self.contents.len())));
        self.contents.push(Some(event));
    }

    fn add_host(&mut self, index: usize) {
        let drift = self.plan.drift;
        let clock_rate = if drift > 0.0 {
            let extreme = if self.rng.random_bool(0.5) {
                drift
            } else {
                -drift
            };
            1.0 + extreme * self.rng.random_range(0.5..=1.0)
        } else {
            1.0
        };
        self.hosts.push(Host {
            name: id::Host::from(format!("host-{index}")),
            ledger: None,
            run: 0,
            clock_rate,
            clock_offset: Duration::ZERO,
            dispatcher: 0,
            answered_at: Duration::ZERO,
            frozen_until: Duration::ZERO,
            store_cut_until: Duration::ZERO,
            revision: 0,
            open: BTreeSet::new(),
            last_number: 0,
        });
        let at = self.now + plan::between(&mut self.rng, 0.0, 0.5);
        self.push(at, Event::Start(index));
        if self.rng.random_bool(self.plan.moving) {
            let at = self.now + plan::between(&mut self.rng, 0.1, self.plan.move_seconds);
            self.push(at, Event::Move(index));
        }
    }

    fn clock(&self, index: usize) -> Duration {
        let host = &self.hosts[index];
        host.clock_offset + self.now.mul_f64(host.clock_rate)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let mut cuts = self.cuts.iter().filter(|(_, until)| self.now < *until);
        cuts.any(|(group, _)| group.contains(&from) != group.contains(&to))
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Heartbeat(host, run) => self.beat(host, run),
            Event::Request(account) => self.request(account),
            Event::Call(call) => self.take_call(*call),
            Event::Answer(answer) => self.take_answer(*answer),
            Event::Timeout(call) => self.give_up(&call),
            Event::Return(host, run, dispatcher, number) => {
                self.return_charge(host, run, dispatcher, number);
            }
            Event::Move(host) => {
                let count = self.plan.dispatchers.min(2);
                self.hosts[host].dispatcher = self.rng.random_range(0..count);
                let at = self.now + plan::between(&mut self.rng, 0.1, self.plan.move_seconds);
                self.push(at, Event::Move(host));
            }
            Event::Prefer(host, run) => {
                if self.hosts[host].run == run {
                    self.hosts[host].dispatcher = 0;
                }
            }
            Event::Read(host) => self.read(host),
            Event::Start(host) => self.start(host),
            Event::Fault(fault) => self.inject(fault),
            Event::Sample => {
                self.sample();
                self.push(self.now + SAMPLE_PERIOD, Event::Sample);
            }
        }
    }

    fn sample(&mut self) {
        let mut sum = 0.0;
        for index in 0..self.hosts.len() {
            let clock = self.clock(index);
            if let Some(ledger) = &mut self.hosts[index].ledger {
                sum += ledger.share(clock);
            }
        }
        if sum > self.largest_share.0 {
            self.largest_share = (sum, self.now);
        }
    }

    fn return_charge(&mut self, index: usize, run: u64, dispatcher: usize, number: u64) {
        let clock = self.clock(index);
        let name = self.hosts[dispatcher].name.clone();
        let host = &mut self.hosts[index];
        let Some(ledger) = host.ledger.as_mut().filter(|_| host.run == run) else {
            return;
        };
        if dispatcher == index {
            ledger.return_charge(None, number, clock);
        } else {
            ledger.return_to(&name, number);
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Restart(hosts, pause) => {
                for host in hosts {
                    self.hosts[host].ledger = None;
                    let jitter = plan::between(&mut self.rng, 0.0, 0.3);
                    self.push(self.now + pause + jitter, Event::Start(host));
                }
            }
            Fault::Freeze(hosts, time) => {
                for host in hosts {
                    self.hosts[host].frozen_until = self.now + time;
                }
            }
            Fault::Cut(hosts, time) => {
                let group = hosts.into_iter().collect();
                self.cuts.push((group, self.now + time));
            }
            Fault::CutStore(hosts, time) => {
                for host in hosts {
                    self.hosts[host].store_cut_until = self.now + time;
                }
            }
            Fault::Join(count) => {
                self.host_count += count;
                for _ in 0..count {
                    self.add_host(self.hosts.len());
                }
                self.announce();
            }
            Fault::Lower(factor) => {
                self.revision += 1;
                self.factor = factor;
                self.announce();
            }
        }
    }

    /// Lets all hosts read the store within two seconds.
    fn announce(&mut self) {
        for host in 0..self.hosts.len() {
            let at = self.now + plan::between(&mut self.rng, 0.0, 2.0);
            self.push(at, Event::Read(host));
        }
    }

    fn read(&mut self, index: usize) {
        let blocked_until = self.hosts[index]
            .store_cut_until
            .max(self.hosts[index].frozen_until);
        if self.now < blocked_until {
            let at = blocked_until + plan::between(&mut self.rng, 0.0, 1.0);
            self.push(at, Event::Read(index));
            return;
        }
        let clock = self.clock(index);
        let quotas = self.quotas(self.factor);
        let (revision, hosts) = (self.revision, self.host_count);
        let host = &mut self.hosts[index];
        if let Some(ledger) = &mut host.ledger {
            ledger.configure(id::Revision(revision), &quotas, clock);
            ledger.set_hosts(hosts, clock);
            host.revision = revision;
        }
        let is_known = |host: &Host| host.ledger.is_none() || host.revision == revision;
        if revision > 1 && self.lowered_at.is_none() && self.hosts.iter().all(is_known) {
            self.lowered_at = Some(self.now);
        }
    }

    fn quotas(&self, factor: f64) -> BTreeMap<id::Account, Quota> {
        let quotas = self.plan.quotas.iter().enumerate();
        let quotas = quotas.map(|(index, quota)| {
            let lowered = Quota {
                per_second: quota.per_second * factor,
                burst: quota.burst * factor,
            };
            (account(index), lowered)
        });
        quotas.collect()
    }

    fn start(&mut self, index: usize) {
        // A process reads the store before it serves.
        if self.now < self.hosts[index].store_cut_until {
            let at = self.hosts[index].store_cut_until;
            self.push(at, Event::Start(index));
            return;
        }
        if self.hosts[index].ledger.is_some() {
            return;
        }
        let run = self.next_run;
        self.next_run += 1;
        let offset = plan::between(&mut self.rng, 0.0, 1_000.0);
        let is_first = self.plan.is_first_start && self.now < Duration::from_secs(1);
        let tolerance = self.plan.tolerance;
        let choices = if self.rng.random_bool(self.plan.moving) {
            self.plan.dispatchers.min(2)
        } else {
            1
        };
        let first_dispatcher = self.rng.random_range(0..choices);
        let host = &mut self.hosts[index];
        host.clock_offset = offset;
        host.run = run;
        host.open.clear();
        host.last_number = 0;
        host.dispatcher = first_dispatcher;
        let settings = Settings {
            host: host.name.clone(),
            run,
            tolerance,
            is_first_start: is_first && host.revision == 0,
        };
        let clock = self.clock(index);
        self.hosts[index].ledger = Some(Ledger::new(settings, clock));
        self.read(index);
        if self.hosts[index].revision == 0 {
            self.hosts[index].revision = self.revision;
        }
        self.push(self.now, Event::Heartbeat(index, run));
    }

    fn beat(&mut self, index: usize, run: u64) {
        let host = &self.hosts[index];
        if host.run != run || host.ledger.is_none() {
            return;
        }
        let at = self.now.max(host.frozen_until) + HEARTBEAT.div_f64(host.clock_rate);
        let is_frozen = self.now < host.frozen_until;
        self.push(at, Event::Heartbeat(index, run));
        if !is_frozen && self.hosts[index].dispatcher != index {
            self.call(index, None);
        }
    }

    fn request(&mut self, account: usize) {
        let quota = self.plan.quotas[account];
        let demand = self.plan.demand * quota.per_second;
        let is_plain = self.rng.random_bool(self.plan.plain);
        let mean = self.plan.cost * quota.per_second;
        let cost = mean * self.rng.random_range(0.2..1.8);
        let cost = if is_plain { cost * PLAIN_COST } else { cost };
        let mean = mean * (1.0 - self.plan.plain * (1.0 - PLAIN_COST));
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let mut next = Duration::from_secs_f64(-uniform.ln() * mean / demand);
        if self.plan.has_pauses && self.rng.random_bool(0.005) {
            next += plan::between(&mut self.rng, 1.0, 6.0);
        }
        self.push(self.now + next, Event::Request(account));
        let index = self.rng.random_range(0..self.plan.entries);
        let index = self.hosts.len() - 1 - index;
        if self.hosts[index].ledger.is_none() || self.now < self.hosts[index].frozen_until {
            return;
        }
        let clock = self.clock(index);
        let factor = if self.hosts[index].revision > 1 {
            self.factor
        } else {
            1.0
        };
        let name = self::account(account);
        let charge = Charge {
            cost,
            quota: self.quotas(factor)[&name],
            account: name,
            revision: id::Revision(self.hosts[index].revision),
        };
        if let Some(ledger) = &mut self.hosts[index].ledger
            && is_plain
            && ledger.spend_prepaid(&charge, clock)
        {
            self.end_prepaid(index, account, &charge, clock);
            return;
        }
        self.place(index, account, charge, false);
    }

    fn end_prepaid(&mut self, index: usize, account: usize, charge: &Charge, clock: Duration) {
        if !self.rng.random_bool(self.plan.unrun) {
            self.admit(account, charge.cost, self.now);
            return;
        }
        if let Some(ledger) = &mut self.hosts[index].ledger {
            ledger.return_prepaid(charge, clock);
        }
    }

    fn admit(&mut self, account: usize, cost: f64, at: Duration) {
        self.admissions.push(Admission { at, account, cost });
    }

    /// Places a request by the host's dispatcher or by itself.
    fn place(&mut self, index: usize, account: usize, charge: Charge, is_retry: bool) {
        self.hosts[index].last_number += 1;
        let number = self.hosts[index].last_number;
        if self.hosts[index].dispatcher == index {
            self.place_alone(index, account, number, &charge);
            return;
        }
        self.hosts[index].open.insert(number);
        let request = Request {
            number,
            account,
            charge,
            is_retry,
        };
        self.call(index, Some(request));
    }

    fn place_alone(&mut self, index: usize, account: usize, number: u64, charge: &Charge) {
        let clock = self.clock(index);
        let run = self.hosts[index].run;
        let Some(ledger) = &mut self.hosts[index].ledger else {
            return;
        };
        let deadline = clock + Duration::from_secs(4);
        let verdict = ledger.charge(None, number, charge, deadline, clock);
        if verdict != Verdict::Charged {
            return;
        }
        if self.rng.random_bool(self.plan.unrun) {
            let delay = plan::between(&mut self.rng, 0.0, self.plan.return_seconds);
            let event = Event::Return(index, run, index, number);
            self.push(self.now + delay, event);
        } else {
            self.admit(account, charge.cost, self.now);
        }
    }

    fn call(&mut self, index: usize, request: Option<Request>) {
        let to = self.hosts[index].dispatcher;
        let dispatcher = self.hosts[to].name.clone();
        let sent_at = self.clock(index);
        let host = &mut self.hosts[index];
        let Some(ledger) = &mut host.ledger else {
            return;
        };
        let call = Call {
            from: index,
            run: host.run,
            to,
            offer: ledger.offer(&dispatcher, sent_at),
            request,
            sent_at,
        };
        self.push(self.now + TIMEOUT, Event::Timeout(Box::new(call.clone())));
        if self.rng.random_bool(self.plan.repeated) {
            self.send(index, to, Event::Call(Box::new(call.clone())));
        }
        self.send(index, to, Event::Call(Box::new(call)));
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if self.is_cut(from, to) || self.rng.random_bool(self.plan.lost) {
            return;
        }
        let mut delay = plan::between(&mut self.rng, 0.001, 0.02);
        if self.rng.random_bool(self.plan.late) {
            delay = plan::between(&mut self.rng, 0.05, 9.0);
        }
        self.push(self.now + delay, event);
    }

    fn take_call(&mut self, call: Call) {
        let host = &self.hosts[call.to];
        if self.now < host.frozen_until {
            let at = host.frozen_until;
            self.push(at, Event::Call(Box::new(call)));
            return;
        }
        let clock = self.clock(call.to);
        let from = self.hosts[call.from].name.clone();
        let host = &mut self.hosts[call.to];
        let Some(ledger) = &mut host.ledger else {
            return;
        };
        let caller = Caller {
            host: &from,
            run: call.run,
        };
        let reply = ledger.receive(caller, &call.offer, clock);
        let request = call.request.as_ref();
        let verdict = request.map(|request| {
            let deadline = clock + Duration::from_secs(4);
            ledger.charge(
                Some(caller),
                request.number,
                &request.charge,
                deadline,
                clock,
            )
        });
        let answer = Answer {
            run: host.run,
            reply,
            verdict: verdict.map(|verdict| (verdict, self.now)),
            call,
        };
        let (from, to) = (answer.call.to, answer.call.from);
        self.send(from, to, Event::Answer(Box::new(answer)));
    }

    fn take_answer(&mut self, answer: Answer) {
        let call = &answer.call;
        let clock = self.clock(call.from);
        let dispatcher = self.hosts[call.to].name.clone();
        let host = &mut self.hosts[call.from];
        if self.now < host.frozen_until {
            let at = host.frozen_until;
            self.push(at, Event::Answer(Box::new(answer)));
            return;
        }
        if host.run != call.run {
            return;
        }
        if host.dispatcher == call.to {
            host.answered_at = self.now;
        }
        let Some(ledger) = &mut host.ledger else {
            return;
        };
        ledger.accept(
            &dispatcher,
            answer.run,
            Some(&answer.reply),
            call.sent_at,
            clock,
        );
        let Some(request) = &call.request else {
            return;
        };
        let Some((verdict, decided_at)) = answer.verdict else {
            return;
        };
        if !host.open.remove(&request.number) {
            return;
        }
        if verdict != Verdict::Charged {
            return;
        }
        if self.rng.random_bool(self.plan.unrun) {
            let delay = plan::between(&mut self.rng, 0.0, self.plan.return_seconds);
            let at = self.now + delay;
            let event = Event::Return(call.from, call.run, call.to, request.number);
            self.push(at, event);
        } else {
            self.admit(request.account, request.charge.cost, decided_at);
        }
    }

    /// Uses the next dispatcher for some time, and returns the charge.
    fn give_up(&mut self, call: &Call) {
        let index = call.from;
        if self.hosts[index].run != call.run || self.hosts[index].ledger.is_none() {
            return;
        }
        let Some(request) = &call.request else {
            return;
        };
        if !self.hosts[index].open.remove(&request.number) {
            return;
        }
        let event = Event::Return(index, call.run, call.to, request.number);
        self.apply(event);
        let is_silent = self.hosts[index].answered_at + TIMEOUT <= self.now;
        if self.hosts[index].dispatcher == call.to && is_silent {
            let next = call.to + 1;
            let is_known = next < self.plan.dispatchers;
            self.hosts[index].dispatcher = if is_known { next } else { index };
            let at = self.now + plan::between(&mut self.rng, 1.0, 6.0);
            self.push(at, Event::Prefer(index, call.run));
        }
        if !request.is_retry && self.now >= self.hosts[index].frozen_until {
            self.place(index, request.account, request.charge.clone(), true);
        }
    }
}

pub(crate) fn account(index: usize) -> id::Account {
    id::Account::from(format!("account-{index}"))
}
