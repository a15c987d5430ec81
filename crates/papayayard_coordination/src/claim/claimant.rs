//! One host's requests on their way through one claim stream.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use papayayard_wire::claim::{
    Answer, Attempt, DIGEST_BYTES, Digest, Entry, Event, FORMAT, Outcome,
};
use papayayard_wire::{id, log};
use slotmap::SlotMap;

use super::shard::{Effect, Holder, Limits, Shard, State};
use crate::journal;

slotmap::new_key_type! {
    /// A request that is on its way.
    pub struct Ticket;
}

/// How a claimant works.
#[derive(Clone, Debug)]
pub struct Options {
    /// This host.
    pub host: id::Host,
    /// Random number of this run of the process.
    pub run: u64,
    /// Bounds of the shard.
    pub limits: Limits,
    /// Bounds of the appends.
    pub writer: journal::Limits,
    /// Time after which a holder without outcome is given up as unknown.
    pub outcome_within: Duration,
    /// Time without a record after which one is appended, so that a host that
    /// starts can tell how far back the stream goes; drawn for each host.
    pub mark_after: Duration,
    /// Most bytes of an outcome's body that are kept.
    pub body_bytes: usize,
}

/// A keyed request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Digest of its key.
    pub key: Digest,
    /// Digest of the request.
    pub request: Digest,
    /// Time by which the decision must be there.
    pub deadline: Duration,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it, and settle the ticket.
    Run,
    /// Answer with the outcome at this offset of the stream.
    Replay(log::Offset),
    /// Refuse it.
    Refuse(Reason),
}

/// Why a keyed request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The claim could not be made or judged; the request was not run.
    Unavailable,
    /// The key belongs to another request; this one was not run.
    Reused,
    /// The first request of the key still runs.
    InProgress,
    /// Nobody knows the outcome of the key's first request.
    Unknown,
}

/// How a request that was to run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// Nothing was sent, or the endpoint said that nothing ran.
    NotRun,
    /// The endpoint answered.
    Answered(Answer),
    /// Nobody knows.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Claiming(Attempt),
    Waiting,
    Running(Attempt),
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    request: Request,
    step: Step,
}

/// One host's requests on their way through one claim stream.
#[derive(Debug)]
pub struct Claimant {
    options: Options,
    attempts: u64,
    records: u64,
    shard: Shard,
    clock_seen: Duration,
    quiet_since: Duration,
    writer: journal::Writer,
    waits: SlotMap<Ticket, Wait>,
    by_key: HashMap<Digest, Vec<Ticket>>,
    decided: VecDeque<(Ticket, Decision)>,
}

impl Claimant {
    /// Makes a claimant, whose shard is to be fed from the stream's start.
    pub fn new(options: Options) -> Self {
        Self {
            attempts: 0,
            records: 0,
            shard: Shard::new(options.limits),
            clock_seen: Duration::ZERO,
            quiet_since: Duration::ZERO,
            writer: journal::Writer::new(options.writer.clone()),
            waits: SlotMap::with_key(),
            by_key: HashMap::new(),
            decided: VecDeque::new(),
            options,
        }
    }

    /// The appends, for the owner of the connection to carry out.
    pub fn writer(&mut self) -> &mut journal::Writer {
        &mut self.writer
    }

    /// What the stream says.
    pub fn shard(&self) -> &Shard {
        &self.shard
    }

    /// The next decision.
    pub fn decided(&mut self) -> Option<(Ticket, Decision)> {
        self.decided.pop_front()
    }

    /// Earliest time at which a request must be decided.
    pub fn deadline(&self) -> Option<Duration> {
        let undecided = self.waits.values().filter(|wait| !wait.is_running());
        undecided.map(|wait| wait.request.deadline).min()
    }

    /// Takes a request in.
    pub fn claim(&mut self, request: Request, now: Duration) -> Ticket {
        let step = Step::Waiting;
        let ticket = self.waits.insert(Wait { request, step });
        self.by_key.entry(request.key).or_default().push(ticket);
        self.advance(ticket, now);
        ticket
    }

    /// Takes a request out whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        let Some(wait) = self.remove(ticket) else {
            return;
        };
        match wait.step {
            Step::Claiming(attempt) => self.give_up(wait.request.key, attempt),
            Step::Running(attempt) => {
                self.append(wait.request.key, attempt, Event::Outcome(Outcome::Unknown));
            }
            Step::Waiting => {}
        }
    }

    /// Ends a request that was to run.
    pub fn settle(&mut self, ticket: Ticket, settlement: Settlement) {
        let Some(wait) = self.remove(ticket) else {
            return;
        };
        let Step::Running(attempt) = wait.step else {
            return;
        };
        let event = match settlement {
            Settlement::NotRun => Event::Abandon,
            Settlement::Answered(answer) => Event::Outcome(Outcome::Answered(self.shorten(answer))),
            Settlement::Unknown => Event::Outcome(Outcome::Unknown),
        };
        self.append(wait.request.key, attempt, event);
    }

    /// Takes note that records before `first` are gone unread.
    pub fn skip_to(&mut self, first: log::Offset) {
        self.shard.skip_to(first);
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, record: &log::Record, now: Duration) -> Result<(), super::Skip> {
        self.quiet_since = now;
        let before = self.shard.clock_ms();
        let applied = self.shard.apply(record);
        if self.shard.clock_ms() > before {
            self.clock_seen = now;
        }
        let applied = applied?;
        let tickets = self.by_key.get(&applied.key).cloned().unwrap_or_default();
        for ticket in tickets {
            self.follow(ticket, applied.attempt, applied.effect, now);
        }
        Ok(())
    }

    /// Refuses the requests whose deadline has come, and marks a quiet stream.
    pub fn expire(&mut self, now: Duration) {
        let late: Vec<Ticket> = self
            .waits
            .iter()
            .filter(|(_, wait)| !wait.is_running() && wait.request.deadline <= now)
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in late {
            self.refuse_late(ticket, now);
        }
        self.mark(now);
    }

    fn mark(&mut self, now: Duration) {
        let is_quiet = now >= self.quiet_since + self.options.mark_after;
        if is_quiet && self.writer.waiting() == 0 {
            self.quiet_since = now;
            let nothing = [0; DIGEST_BYTES];
            self.append(Digest(nothing), Attempt(nothing), Event::Mark);
        }
    }

    fn follow(&mut self, ticket: Ticket, attempt: Attempt, effect: Effect, now: Duration) {
        let Some(wait) = self.waits.get_mut(ticket) else {
            return;
        };
        let is_own = wait.step == Step::Claiming(attempt);
        match effect {
            Effect::Won if is_own => self.won(ticket, attempt, now),
            Effect::Lost if is_own => {
                wait.step = Step::Waiting;
                self.advance(ticket, now);
            }
            Effect::Freed | Effect::Settled if wait.step == Step::Waiting => {
                self.advance(ticket, now);
            }
            _ => {}
        }
    }

    fn won(&mut self, ticket: Ticket, attempt: Attempt, now: Duration) {
        let Some(wait) = self.waits.get_mut(ticket) else {
            return;
        };
        if now >= wait.request.deadline || !self.shard.is_covered() {
            self.refuse(ticket, Reason::Unavailable);
            return;
        }
        wait.step = Step::Running(attempt);
        self.decided.push_back((ticket, Decision::Run));
    }

    /// Decides a waiting request by the key's holder, or claims the key.
    fn advance(&mut self, ticket: Ticket, now: Duration) {
        let Some(wait) = self.waits.get(ticket).copied() else {
            return;
        };
        let key = wait.request.key;
        let Some(holder) = self.shard.holder(&key).copied() else {
            self.try_claim(ticket, wait.request);
            return;
        };
        if holder.request != wait.request.request {
            self.refuse(ticket, Reason::Reused);
            return;
        }
        match holder.state {
            State::Answered { offset } => self.decide(ticket, Decision::Replay(offset)),
            State::Unknown => self.refuse(ticket, Reason::Unknown),
            State::Running if self.is_overdue(&holder, now) => {
                self.refuse(ticket, Reason::Unknown);
            }
            State::Running => {}
        }
    }

    fn try_claim(&mut self, ticket: Ticket, request: Request) {
        // A quarter of the queue is left to outcomes.
        if self.writer.waiting() >= self.options.writer.queue / 4 * 3 {
            self.refuse(ticket, Reason::Unavailable);
            return;
        }
        let attempt = self.next_attempt();
        let event = Event::Claim {
            host: self.options.host.clone(),
            request: request.request,
        };
        self.append(request.key, attempt, event);
        if let Some(wait) = self.waits.get_mut(ticket) {
            wait.step = Step::Claiming(attempt);
        }
    }

    fn refuse_late(&mut self, ticket: Ticket, now: Duration) {
        let Some(wait) = self.waits.get(ticket).copied() else {
            return;
        };
        if matches!(wait.step, Step::Claiming(_)) {
            self.refuse(ticket, Reason::Unavailable);
            return;
        }
        let holder = self.shard.holder(&wait.request.key).copied();
        let is_overdue = holder.is_some_and(|holder| self.is_overdue(&holder, now));
        let reason = if is_overdue {
            Reason::Unknown
        } else {
            Reason::InProgress
        };
        self.refuse(ticket, reason);
    }

    fn refuse(&mut self, ticket: Ticket, reason: Reason) {
        self.decide(ticket, Decision::Refuse(reason));
    }

    fn decide(&mut self, ticket: Ticket, decision: Decision) {
        let Some(wait) = self.remove(ticket) else {
            return;
        };
        if let Step::Claiming(attempt) = wait.step {
            self.give_up(wait.request.key, attempt);
        }
        self.decided.push_back((ticket, decision));
    }

    /// Makes sure that a claim that will not be used holds no key.
    fn give_up(&mut self, key: Digest, attempt: Attempt) {
        if !self.writer.withdraw(&record_id(attempt)) {
            self.append(key, attempt, Event::Abandon);
        }
    }

    fn append(&mut self, key: Digest, attempt: Attempt, event: Event) {
        let record = if matches!(event, Event::Claim { .. }) {
            record_id(attempt)
        } else {
            self.records += 1;
            id::Record::from(format!("{:016x}.{}", self.options.run, self.records))
        };
        let entry = Entry {
            format: FORMAT,
            key,
            attempt,
            event,
        };
        let Ok(payload) = serde_json::value::to_raw_value(&entry) else {
            return;
        };
        // With a full queue the record is dropped, and the key's outcome
        // becomes unknown.
        let _ = self.writer.push(log::Draft {
            id: record,
            payload,
        });
    }

    fn is_overdue(&self, holder: &Holder, now: Duration) -> bool {
        let passed = now.saturating_sub(self.clock_seen);
        let clock = Duration::from_millis(self.shard.clock_ms()) + passed;
        clock > Duration::from_millis(holder.since_ms) + self.options.outcome_within
    }

    fn shorten(&self, mut answer: Answer) -> Answer {
        let limit = self.options.body_bytes;
        answer.body = answer.body.filter(|body| body.len() <= limit);
        answer
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Wait> {
        let wait = self.waits.remove(ticket)?;
        if let Some(tickets) = self.by_key.get_mut(&wait.request.key) {
            tickets.retain(|other| *other != ticket);
            if tickets.is_empty() {
                self.by_key.remove(&wait.request.key);
            }
        }
        Some(wait)
    }

    fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        let mut bytes = [0; DIGEST_BYTES];
        bytes[..8].copy_from_slice(&self.options.run.to_be_bytes());
        bytes[8..].copy_from_slice(&self.attempts.to_be_bytes());
        Attempt(bytes)
    }
}

impl Wait {
    fn is_running(&self) -> bool {
        matches!(self.step, Step::Running(_))
    }
}

fn record_id(attempt: Attempt) -> id::Record {
    id::Record::from(format!("{:032x}", u128::from_be_bytes(attempt.0)))
}
