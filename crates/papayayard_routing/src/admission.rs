//! Admission of requests to one service.
//!
//! Every request is started, queued or refused at once; none is held back
//! without a place in the queue. The queue is bounded and ordered by priority,
//! then by weighted fair sharing among client accounts, so that a large
//! account cannot starve a small one. A request that the queue cannot serve
//! before its deadline is refused when it arrives, with a time to come back
//! that is spread, so that callers do not return together.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::{id, refusal};
use slotmap::SlotMap;
use snafu::Snafu;

use crate::bucket;

mod queue;

slotmap::new_key_type! {
    /// Handle of an admitted request.
    pub struct Ticket;
}

/// Limits of a service's admission.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Requests that run at once.
    pub capacity: u32,
    /// Requests that wait at most.
    pub queue: usize,
    /// Time over which an account may use its rate at once.
    pub burst: Duration,
}

/// This host's share of a client account's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub per_second: f64,
    /// Open requests.
    pub open: u32,
    /// Weight against other accounts when the service is full.
    pub weight: u32,
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Client account.
    pub account: &'a id::Account,
    /// Priority, 0 the lowest.
    pub priority: u8,
    /// Expected cost, in tokens to compute and to generate.
    pub cost: u32,
    /// Latest time at which it may start.
    pub deadline: Duration,
    /// Whether it needs one of the places that run at once; a request that
    /// needs none is held to its account's limits only.
    pub needs_slot: bool,
}

/// An admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start it now.
    Start(Ticket),
    /// It waits; [`Admission::poll`] names it when its outcome has come.
    Wait(Ticket),
}

/// A refused request; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("refused as {}; come back after {} ms", kind.as_str(), retry_after.as_millis()))]
pub struct Refusal {
    /// Why.
    pub kind: refusal::Kind,
    /// When to come back, with jitter.
    pub retry_after: Duration,
}

/// What became of waiting requests.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Start these, in this order.
    pub started: Vec<Ticket>,
    /// Answer these with a refusal.
    pub refused: Vec<(Ticket, Refusal)>,
}

#[derive(Debug)]
struct Account {
    share: Share,
    bucket: bucket::Bucket,
    open: u32,
}

#[derive(Clone, Debug)]
struct Request {
    account: id::Account,
    started: Option<Duration>,
    needs_slot: bool,
}

/// Admission to one service.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    accounts: HashMap<id::Account, Account>,
    requests: SlotMap<Ticket, Request>,
    queue: queue::Queue,
    refused: Vec<(Ticket, Refusal)>,
    running: u32,
    service_time: f64,
}

const DEFAULT_SERVICE_TIME: f64 = 1.0;
const SERVICE_TIME_WEIGHT: f64 = 0.05;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const JITTER: f64 = 0.5;

impl Admission {
    /// An admission without accounts.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
            requests: SlotMap::with_key(),
            queue: queue::Queue::default(),
            refused: Vec::new(),
            running: 0,
            service_time: DEFAULT_SERVICE_TIME,
        }
    }

    /// Sets how many requests run at once.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.settings.capacity = capacity;
    }

    /// Sets this host's share of an account's limits.
    pub fn set_share(&mut self, account: &id::Account, share: Share, now: Duration) {
        let burst = (share.per_second * self.settings.burst.as_secs_f64()).max(1.0);
        if let Some(existing) = self.accounts.get_mut(account) {
            existing.share = share;
            existing.bucket.set_rate(share.per_second, burst, now);
            return;
        }
        let account_state = Account {
            share,
            bucket: bucket::Bucket::new(share.per_second, burst, now),
            open: 0,
        };
        self.accounts.insert(account.clone(), account_state);
    }

    /// Drops an account that the document no longer names; its open requests
    /// go on.
    pub fn remove(&mut self, account: &id::Account) {
        self.accounts.remove(account);
    }

    /// Decides on a request. `random` spreads the times to come back.
    pub fn offer(
        &mut self,
        demand: &Demand<'_>,
        now: Duration,
        random: u64,
    ) -> Result<Verdict, Refusal> {
        if demand.deadline < now {
            return Err(refuse(
                refusal::Kind::DeadlinePassed,
                MIN_RETRY_AFTER,
                random,
            ));
        }
        let weight = self.charge(demand, now, random)?;
        let ticket = self.requests.insert(Request {
            account: demand.account.clone(),
            started: None,
            needs_slot: demand.needs_slot,
        });
        let has_slot = self.running < self.settings.capacity && self.queue.is_empty();
        if has_slot || !demand.needs_slot {
            self.start(ticket, now);
            return Ok(Verdict::Start(ticket));
        }
        self.queue.push(ticket, demand, weight);
        let wait = self.expected_wait(ticket);
        let time_left = demand.deadline.saturating_sub(now);
        if wait > time_left {
            self.withdraw(ticket);
            let after = wait.saturating_sub(time_left);
            return Err(refuse(refusal::Kind::Overloaded, after, random));
        }
        self.enforce_queue_limit(ticket, wait, random)?;
        Ok(Verdict::Wait(ticket))
    }

    /// Ends a request that was started, or one that waits and whose caller
    /// went away.
    pub fn end(&mut self, ticket: Ticket, now: Duration) {
        let Some(request) = self.requests.remove(ticket) else {
            return;
        };
        self.queue.remove(ticket);
        self.release(&request.account);
        if let Some(started) = request.started.filter(|_| request.needs_slot) {
            self.running = self.running.saturating_sub(1);
            let took = now.saturating_sub(started).as_secs_f64();
            self.service_time += SERVICE_TIME_WEIGHT * (took - self.service_time);
        }
    }

    /// Starts what has its outcome and refuses what waited too long. Called
    /// after per_request offer and end, and at [`Admission::next_deadline`].
    pub fn poll(&mut self, now: Duration, random: u64) -> Outcome {
        let mut outcome = Outcome {
            started: Vec::new(),
            refused: std::mem::take(&mut self.refused),
        };
        while let Some(ticket) = self.queue.expired(now) {
            self.withdraw(ticket);
            let refusal = refuse(refusal::Kind::DeadlinePassed, self.drain_time(1), random);
            outcome.refused.push((ticket, refusal));
        }
        while self.running < self.settings.capacity {
            let Some(ticket) = self.queue.pop() else {
                break;
            };
            self.start(ticket, now);
            outcome.started.push(ticket);
        }
        outcome
    }

    /// When a waiting request reaches its deadline.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.queue.next_deadline()
    }

    /// Requests that run.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Whether a request waits.
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        let request = self.requests.get(ticket);
        request.is_some_and(|request| request.started.is_none())
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Open requests of an account.
    pub fn open(&self, account: &id::Account) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |existing| existing.open)
    }

    /// Checks and counts a request against its account; gives its weight.
    fn charge(&mut self, demand: &Demand<'_>, now: Duration, random: u64) -> Result<u32, Refusal> {
        let full = self.drain_time(1);
        let Some(account) = self.accounts.get_mut(demand.account) else {
            return Err(refuse(refusal::Kind::NotReady, MIN_RETRY_AFTER, random));
        };
        if account.open >= account.share.open {
            return Err(refuse(refusal::Kind::TooManyOpen, full, random));
        }
        let taken = account.bucket.take(now);
        taken.map_err(|after| refuse(refusal::Kind::RateLimited, after, random))?;
        account.open += 1;
        Ok(account.share.weight.max(1))
    }

    /// Keeps the queue within its bound at the cost of the account that has
    /// most waiting for its weight.
    fn enforce_queue_limit(
        &mut self,
        ticket: Ticket,
        wait: Duration,
        random: u64,
    ) -> Result<(), Refusal> {
        if self.queue.len() <= self.settings.queue {
            return Ok(());
        }
        let Some(last) = self.queue.last_of_longest() else {
            return Ok(());
        };
        self.withdraw(last);
        let refusal = refuse(refusal::Kind::Overloaded, wait, random);
        if last == ticket {
            return Err(refusal);
        }
        self.refused.push((last, refusal));
        Ok(())
    }

    fn start(&mut self, ticket: Ticket, now: Duration) {
        if let Some(request) = self.requests.get_mut(ticket) {
            request.started = Some(now);
            self.running += u32::from(request.needs_slot);
        }
    }

    /// Takes a request out that was never started, with what it was charged.
    fn withdraw(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
        let Some(request) = self.requests.remove(ticket) else {
            return;
        };
        self.release(&request.account);
        if let Some(account) = self.accounts.get_mut(&request.account) {
            account.bucket.refund();
        }
    }

    fn release(&mut self, account: &id::Account) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.open = account.open.saturating_sub(1);
        }
    }

    fn expected_wait(&self, ticket: Ticket) -> Duration {
        self.drain_time(self.queue.ahead(ticket) + 1)
    }

    /// Time in which `count` requests end.
    fn drain_time(&self, count: usize) -> Duration {
        let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let per_request = self.service_time.max(0.0) / f64::from(self.settings.capacity.max(1));
        Duration::from_secs_f64(count * per_request)
    }
}

fn refuse(kind: refusal::Kind, after: Duration, random: u64) -> Refusal {
    Refusal {
        kind,
        retry_after: jitter(after, random),
    }
}

/// Lengthens a time to come back by up to half.
pub fn jitter(after: Duration, random: u64) -> Duration {
    let fraction = f64::from(u32::try_from(random >> 32).unwrap_or(0)) / f64::from(u32::MAX);
    after.max(MIN_RETRY_AFTER).mul_f64(1.0 + JITTER * fraction)
}
