//! Processing of one host's keyed requests in one claim stream.

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
    /// Handle of a keyed request that is undecided or running.
    pub struct Ticket;
}

/// Settings of a claimant.
#[derive(Clone, Debug)]
pub struct Options {
    pub host: id::Host,
    /// Random number of this run of the process, which makes record ids unique.
    pub run: u64,
    pub limits: Limits,
    pub writer: journal::Limits,
    /// Time after a claim at which its outcome counts as unknown if none was stored.
    pub outcome_timeout: Duration,
    /// Time without a record after which a mark is appended, so that a starting
    /// host can tell how far back the stream goes; each host draws its own.
    pub mark_interval: Duration,
    /// Longer response bodies are left out of the stored outcome.
    pub max_body_bytes: usize,
}

/// A keyed request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Digest of the idempotency key.
    pub key: Digest,
    /// Digest of the method, path and body.
    pub request: Digest,
    /// Time by which the request must be decided.
    pub deadline: Duration,
}

/// How a keyed request proceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request, then settle its ticket.
    Run,
    /// Answer with the outcome at this offset of the stream.
    Replay(log::Offset),
    Refuse(Reason),
}

/// Why a keyed request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The claim could not be stored or decided in time; the request was not run.
    Unavailable,
    /// The key belongs to a different request; the new request was not run.
    Reused,
    /// The key's first request is still running.
    InProgress,
    /// The outcome of the key's first request is not known.
    Unknown,
}

/// Result of a request that had permission to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// Nothing was sent, or the endpoint reported that nothing ran.
    NotRun,
    Answered(Answer),
    /// The request may or may not have run.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Claiming(Attempt),
    Waiting,
    Running(Attempt),
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    request: Request,
    phase: Phase,
}

/// Claims keys for one host's requests and decides how each request proceeds.
#[derive(Debug)]
pub struct Claimant {
    options: Options,
    attempts: u64,
    records: u64,
    shard: Shard,
    clock_updated_at: Duration,
    last_record_at: Duration,
    writer: journal::Writer,
    requests: SlotMap<Ticket, Pending>,
    by_key: HashMap<Digest, Vec<Ticket>>,
    decisions: VecDeque<(Ticket, Decision)>,
}

impl Claimant {
    /// Creates a claimant. The caller must apply the stream from its start.
    pub fn new(options: Options) -> Self {
        Self {
            attempts: 0,
            records: 0,
            shard: Shard::new(options.limits),
            clock_updated_at: Duration::ZERO,
            last_record_at: Duration::ZERO,
            writer: journal::Writer::new(options.writer.clone()),
            requests: SlotMap::with_key(),
            by_key: HashMap::new(),
            decisions: VecDeque::new(),
            options,
        }
    }

    /// Pending appends, which the owner of the log connection carries out.
    pub fn writer(&mut self) -> &mut journal::Writer {
        &mut self.writer
    }

    /// State of the claim stream as read so far.
    pub fn shard(&self) -> &Shard {
        &self.shard
    }

    pub fn next_decision(&mut self) -> Option<(Ticket, Decision)> {
        self.decisions.pop_front()
    }

    /// Earliest deadline among the undecided requests.
    pub fn deadline(&self) -> Option<Duration> {
        let undecided = self
            .requests
            .values()
            .filter(|pending| !pending.is_running());
        undecided.map(|pending| pending.request.deadline).min()
    }

    /// Adds a request, which may be decided at once.
    pub fn claim(&mut self, request: Request, now: Duration) -> Ticket {
        let phase = Phase::Waiting;
        let ticket = self.requests.insert(Pending { request, phase });
        self.by_key.entry(request.key).or_default().push(ticket);
        self.advance(ticket, now);
        ticket
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        let Some(pending) = self.remove(ticket) else {
            return;
        };
        match pending.phase {
            Phase::Claiming(attempt) => self.abandon(pending.request.key, attempt),
            Phase::Running(attempt) => {
                self.append(
                    pending.request.key,
                    attempt,
                    Event::Outcome(Outcome::Unknown),
                );
            }
            Phase::Waiting => {}
        }
    }

    /// Records the result of a request that had permission to run.
    pub fn settle(&mut self, ticket: Ticket, settlement: Settlement) {
        let Some(pending) = self.remove(ticket) else {
            return;
        };
        let Phase::Running(attempt) = pending.phase else {
            return;
        };
        let event = match settlement {
            Settlement::NotRun => Event::Abandon,
            Settlement::Answered(answer) => {
                Event::Outcome(Outcome::Answered(self.limit_body(answer)))
            }
            Settlement::Unknown => Event::Outcome(Outcome::Unknown),
        };
        self.append(pending.request.key, attempt, event);
    }

    /// Skips records before `first`, which the log removed before they were read.
    pub fn skip_to(&mut self, first: log::Offset) {
        self.shard.skip_to(first);
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, record: &log::Record, now: Duration) -> Result<(), super::Skip> {
        self.last_record_at = now;
        let before = self.shard.clock_ms();
        let applied = self.shard.apply(record);
        if self.shard.clock_ms() > before {
            self.clock_updated_at = now;
        }
        let applied = applied?;
        let tickets = self.by_key.get(&applied.key).cloned().unwrap_or_default();
        for ticket in tickets {
            self.update(ticket, applied.attempt, applied.effect, now);
        }
        Ok(())
    }

    /// Refuses undecided requests past their deadline, and marks an idle stream.
    pub fn expire(&mut self, now: Duration) {
        let expired: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, pending)| !pending.is_running() && pending.request.deadline <= now)
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in expired {
            self.refuse_expired(ticket, now);
        }
        self.mark_if_idle(now);
    }

    fn mark_if_idle(&mut self, now: Duration) {
        let is_idle = now >= self.last_record_at + self.options.mark_interval;
        if is_idle && self.writer.waiting() == 0 {
            self.last_record_at = now;
            let zeros = [0; DIGEST_BYTES];
            self.append(Digest(zeros), Attempt(zeros), Event::Mark);
        }
    }

    fn update(&mut self, ticket: Ticket, attempt: Attempt, effect: Effect, now: Duration) {
        let Some(pending) = self.requests.get_mut(ticket) else {
            return;
        };
        let is_own = pending.phase == Phase::Claiming(attempt);
        match effect {
            Effect::Won if is_own => self.start_run(ticket, attempt, now),
            Effect::Lost if is_own => {
                pending.phase = Phase::Waiting;
                self.advance(ticket, now);
            }
            Effect::Freed | Effect::Settled if pending.phase == Phase::Waiting => {
                self.advance(ticket, now);
            }
            _ => {}
        }
    }

    fn start_run(&mut self, ticket: Ticket, attempt: Attempt, now: Duration) {
        let Some(pending) = self.requests.get_mut(ticket) else {
            return;
        };
        if now >= pending.request.deadline || !self.shard.is_covered() {
            self.refuse(ticket, Reason::Unavailable);
            return;
        }
        pending.phase = Phase::Running(attempt);
        self.decisions.push_back((ticket, Decision::Run));
    }

    /// Decides a waiting request from the key's holder, or claims the key if it is free.
    fn advance(&mut self, ticket: Ticket, now: Duration) {
        let Some(pending) = self.requests.get(ticket).copied() else {
            return;
        };
        let key = pending.request.key;
        let Some(holder) = self.shard.holder(&key).copied() else {
            self.append_claim(ticket, pending.request);
            return;
        };
        if holder.request != pending.request.request {
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

    fn append_claim(&mut self, ticket: Ticket, request: Request) {
        // Reserves a quarter of the queue for outcomes.
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
        if let Some(pending) = self.requests.get_mut(ticket) {
            pending.phase = Phase::Claiming(attempt);
        }
    }

    fn refuse_expired(&mut self, ticket: Ticket, now: Duration) {
        let Some(pending) = self.requests.get(ticket).copied() else {
            return;
        };
        if matches!(pending.phase, Phase::Claiming(_)) {
            self.refuse(ticket, Reason::Unavailable);
            return;
        }
        let holder = self.shard.holder(&pending.request.key).copied();
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
        let Some(pending) = self.remove(ticket) else {
            return;
        };
        if let Phase::Claiming(attempt) = pending.phase {
            self.abandon(pending.request.key, attempt);
        }
        self.decisions.push_back((ticket, decision));
    }

    /// Ensures that an unused claim never holds its key.
    fn abandon(&mut self, key: Digest, attempt: Attempt) {
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
        // If the queue is full, the record is dropped and the key's outcome
        // becomes unknown after the outcome timeout.
        let _ = self.writer.push(log::Draft {
            id: record,
            payload,
        });
    }

    fn is_overdue(&self, holder: &Holder, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.clock_updated_at);
        let clock = Duration::from_millis(self.shard.clock_ms()) + elapsed;
        clock > Duration::from_millis(holder.claimed_at_ms) + self.options.outcome_timeout
    }

    fn limit_body(&self, mut answer: Answer) -> Answer {
        let limit = self.options.max_body_bytes;
        answer.body = answer.body.filter(|body| body.len() <= limit);
        answer
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Pending> {
        let pending = self.requests.remove(ticket)?;
        if let Some(tickets) = self.by_key.get_mut(&pending.request.key) {
            tickets.retain(|other| *other != ticket);
            if tickets.is_empty() {
                self.by_key.remove(&pending.request.key);
            }
        }
        Some(pending)
    }

    fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        let mut bytes = [0; DIGEST_BYTES];
        bytes[..8].copy_from_slice(&self.options.run.to_be_bytes());
        bytes[8..].copy_from_slice(&self.attempts.to_be_bytes());
        Attempt(bytes)
    }
}

impl Pending {
    fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }
}

fn record_id(attempt: Attempt) -> id::Record {
    id::Record::from(format!("{:032x}", u128::from_be_bytes(attempt.0)))
}
