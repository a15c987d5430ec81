//! Admission of requests to one service.
//!
//! Every request is started, queued or refused at once. The queue is bounded and
//! ordered by priority, then by weighted fair sharing among client accounts, so
//! that a large account cannot starve a small one. A request that cannot start
//! before its deadline is refused on arrival. Its retry delay has random jitter,
//! so that callers do not all retry at the same time.

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
    /// Maximum number of concurrently running requests.
    pub capacity: u32,
    /// Maximum number of queued requests.
    pub queue: usize,
    /// Time over which unused rate of an account accumulates as a burst.
    pub burst: Duration,
}

/// This host's share of a client account's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub per_second: f64,
    /// Maximum number of open (running or queued) requests.
    pub open: u32,
    /// Weight relative to other accounts when the service is full.
    pub weight: u32,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    pub account: &'a id::Account,
    /// Priority; 0 is the lowest.
    pub priority: u8,
    /// Expected cost, in tokens to compute and to generate.
    pub cost: u32,
    /// Latest start time.
    pub deadline: Duration,
    /// Whether the request occupies one of the `capacity` slots. A request
    /// without a slot is only subject to its account's limits.
    pub needs_slot: bool,
}

/// Decision on an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start the request now.
    Start(Ticket),
    /// The request is queued; [`Admission::poll`] returns it when it may start.
    Wait(Ticket),
}

/// Refusal of a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("refused as {}; come back after {} ms", kind.as_str(), retry_after.as_millis()))]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: refusal::Kind,
    /// Delay before a retry, including jitter.
    pub retry_after: Duration,
}

/// Queued requests that [`Admission::poll`] started or refused.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Requests to start, in this order.
    pub started: Vec<Ticket>,
    /// Requests to answer with a refusal.
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
    /// Creates an admission without accounts.
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

    /// Sets the maximum number of concurrently running requests.
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

    /// Removes an account that the configuration no longer contains. Its open
    /// requests continue.
    pub fn remove(&mut self, account: &id::Account) {
        self.accounts.remove(account);
    }

    /// Decides on a request. `random` determines the jitter of the retry delay.
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

    /// Ends a running request, or a queued one whose caller disconnected.
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

    /// Starts queued requests while there is free capacity and refuses those
    /// past their deadline. Call after each [`Admission::offer`] and
    /// [`Admission::end`], and at [`Admission::next_deadline`].
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

    /// Earliest deadline of a queued request.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.queue.next_deadline()
    }

    /// Number of running requests that occupy a slot.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Whether a request is queued.
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        let request = self.requests.get(ticket);
        request.is_some_and(|request| request.started.is_none())
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of open requests of an account.
    pub fn open(&self, account: &id::Account) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |existing| existing.open)
    }

    /// Checks a request against its account's limits and counts it. Returns the
    /// account's weight.
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

    /// Refuses one request if the queue is over its limit: the last request of the
    /// account with the most queued work relative to its weight.
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

    /// Removes a request that never started and refunds its charge.
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

    /// Expected time until `count` requests have completed.
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

/// Lengthens a retry delay by a random fraction of up to one half.
pub fn jitter(after: Duration, random: u64) -> Duration {
    let fraction = f64::from(u32::try_from(random >> 32).unwrap_or(0)) / f64::from(u32::MAX);
    after.max(MIN_RETRY_AFTER).mul_f64(1.0 + JITTER * fraction)
}
