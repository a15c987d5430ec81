//! Holds client accounts to their limits and requests to their turn.
//!
//! One task owns the decisions. A request asks for a permit and gives it back
//! by dropping it. What cannot start in time is refused at once.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_document::document;
use papayayard_routing::admission::{self, Admission, Share, Ticket, Verdict};
use papayayard_wire::refusal::Kind;
use papayayard_wire::{directory, id};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use crate::active::Active;
use crate::clock::Clock;
use crate::controllers::configuration;
use crate::refusal::Refusal;

/// Requests that wait for their turn at most.
const QUEUE: usize = 1024;
/// Time over which an account may use its rate at once.
const BURST: Duration = Duration::from_secs(2);
/// Longest pause of the task.
const IDLE: Duration = Duration::from_mins(1);

/// A request that asks for a permit.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Client account.
    pub(crate) account: id::Account,
    /// Priority, 0 the lowest.
    pub(crate) priority: u8,
    /// Expected cost, in tokens to compute and to generate.
    pub(crate) cost: u32,
    /// Latest time at which it may start, since the host's start.
    pub(crate) deadline: Duration,
    /// Whether it takes one of the endpoints' slots.
    pub(crate) needs_slot: bool,
}

/// A share of each account's limits that this host may use.
pub(crate) type Shares = HashMap<id::Account, Share>;

/// What an account asked of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Use {
    /// Requests since the last question, refused ones included.
    pub(crate) requests: u32,
    /// Open requests now.
    pub(crate) open: u32,
}

type Answer = Result<Permit, Refusal>;

enum Message {
    Offer(Request, oneshot::Sender<Answer>),
    End(Ticket),
    Uses(oneshot::Sender<HashMap<id::Account, Use>>),
}

/// Leave to run; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct Permit {
    ticket: Ticket,
    messages: mpsc::UnboundedSender<Message>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        // Where the task has ended there is nothing to give back.
        let _ = self.messages.send(Message::End(self.ticket));
    }
}

/// Talks to the task. Its messages are bounded by the open connections.
#[derive(Clone)]
pub(crate) struct Handle {
    messages: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Waits for a permit.
    pub(crate) async fn admit(&self, request: Request) -> Answer {
        let (sender, receiver) = oneshot::channel();
        self.messages
            .send(Message::Offer(request, sender))
            .map_err(|_| Refusal::stopping())?;
        receiver.await.unwrap_or_else(|_| Err(Refusal::stopping()))
    }

    /// What each account asked since the last call.
    pub(crate) async fn uses(&self) -> HashMap<id::Account, Use> {
        let (sender, receiver) = oneshot::channel();
        match self.messages.send(Message::Uses(sender)) {
            Ok(()) => receiver.await.unwrap_or_default(),
            Err(_) => HashMap::new(),
        }
    }
}

/// What the task follows.
#[derive(Clone)]
pub(crate) struct Sources {
    /// Configuration in force.
    pub(crate) active: watch::Receiver<configuration::Current>,
    /// The platform's list of hosts.
    pub(crate) list: watch::Receiver<Option<directory::List>>,
    /// Requests that all endpoints together can run.
    pub(crate) capacity: watch::Receiver<u32>,
    /// Shares agreed with other hosts; an account that is not named gets an
    /// equal part.
    pub(crate) shares: watch::Receiver<Shares>,
    /// Hosts that the settings name, this one included.
    pub(crate) known_hosts: usize,
}

/// Starts the task; it ends with the last handle.
pub(crate) fn start(sources: Sources, clock: Clock) -> Handle {
    let (sender, receiver) = mpsc::unbounded_channel();
    let task = Task {
        admission: Admission::new(admission::Settings {
            capacity: u32::MAX,
            queue: QUEUE,
            burst: BURST,
        }),
        waiting: HashMap::new(),
        uses: HashMap::new(),
        accounts: Vec::new(),
        messages: sender.downgrade(),
        sources,
        clock,
    };
    tokio::spawn(task.run(receiver));
    Handle { messages: sender }
}

struct Task {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Answer>>,
    uses: HashMap<id::Account, u32>,
    accounts: Vec<id::Account>,
    messages: mpsc::WeakUnboundedSender<Message>,
    sources: Sources,
    clock: Clock,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        self.configure();
        loop {
            let next = self.pause();
            tokio::select! {
                biased;
                Ok(()) = self.sources.active.changed() => self.configure(),
                Ok(()) = self.sources.list.changed() => self.configure(),
                Ok(()) = self.sources.shares.changed() => self.configure(),
                Ok(()) = self.sources.capacity.changed() => self.configure(),
                message = messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = time::sleep(next) => {}
            }
            self.turn();
        }
    }

    fn pause(&self) -> Duration {
        let now = self.clock.now();
        let deadline = self.admission.next_deadline();
        deadline.map_or(IDLE, |deadline| deadline.saturating_sub(now).min(IDLE))
    }

    fn configure(&mut self) {
        let capacity = *self.sources.capacity.borrow_and_update();
        let list = &mut self.sources.list;
        let listed = list
            .borrow_and_update()
            .as_ref()
            .map_or(0, |list| list.hosts.len());
        let hosts = u32::try_from(listed.max(self.sources.known_hosts)).unwrap_or(u32::MAX);
        let own = capacity.div_ceil(hosts);
        self.admission
            .set_capacity(if own == 0 { u32::MAX } else { own });
        let active = self.sources.active.borrow_and_update().clone();
        if let Some(active) = active {
            self.share(&active, hosts);
        }
    }

    fn share(&mut self, active: &Active, hosts: u32) {
        let now = self.clock.now();
        let shares = self.sources.shares.borrow_and_update().clone();
        let accounts = &active.document.accounts;
        for account in accounts {
            let share = shares.get(&account.id).copied();
            let share = share.unwrap_or_else(|| equal_part(account, hosts));
            self.admission.set_share(&account.id, share, now);
        }
        let named: Vec<id::Account> = accounts.iter().map(|one| one.id.clone()).collect();
        for gone in self.accounts.iter().filter(|known| !named.contains(known)) {
            self.admission.remove(gone);
        }
        self.accounts = named;
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Offer(request, reply) => self.offer(&request, reply, now),
            Message::End(ticket) => self.admission.end(ticket, now),
            Message::Uses(reply) => {
                // A host that is stopping needs no answer.
                let _ = reply.send(self.uses());
            }
        }
    }

    fn uses(&mut self) -> HashMap<id::Account, Use> {
        let mut uses = HashMap::new();
        for account in &self.accounts {
            let requests = self.uses.remove(account).unwrap_or_default();
            let open = self.admission.open(account);
            uses.insert(account.clone(), Use { requests, open });
        }
        self.uses.clear();
        uses
    }

    fn offer(&mut self, request: &Request, reply: oneshot::Sender<Answer>, now: Duration) {
        *self.uses.entry(request.account.clone()).or_default() += 1;
        let demand = admission::Demand {
            account: &request.account,
            priority: request.priority,
            cost: request.cost,
            deadline: request.deadline,
            needs_slot: request.needs_slot,
        };
        match self.admission.offer(&demand, now, rand::random()) {
            Ok(Verdict::Start(ticket)) => self.begin(ticket, reply),
            Ok(Verdict::Wait(ticket)) => {
                self.waiting.insert(ticket, reply);
            }
            Err(refusal) => {
                // A caller that has gone needs no refusal.
                let _ = reply.send(Err(refuse(&refusal)));
            }
        }
    }

    /// Gives a permit; where the caller has gone, its drop gives it back.
    fn begin(&self, ticket: Ticket, reply: oneshot::Sender<Answer>) {
        if let Some(messages) = self.messages.upgrade() {
            let _ = reply.send(Ok(Permit { ticket, messages }));
        }
    }

    fn turn(&mut self) {
        let gone: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, reply)| reply.is_closed())
            .map(|(ticket, _)| *ticket)
            .collect();
        let now = self.clock.now();
        for ticket in gone {
            self.waiting.remove(&ticket);
            self.admission.end(ticket, now);
        }
        let turn = self.admission.poll(now, rand::random());
        for ticket in turn.started {
            if let Some(reply) = self.waiting.remove(&ticket) {
                self.begin(ticket, reply);
            }
        }
        for (ticket, refusal) in turn.refused {
            if let Some(reply) = self.waiting.remove(&ticket) {
                // A caller that has gone needs no refusal.
                let _ = reply.send(Err(refuse(&refusal)));
            }
        }
    }
}

fn equal_part(account: &document::Account, hosts: u32) -> Share {
    Share {
        per_second: f64::from(account.requests_per_second) / f64::from(hosts),
        open: account.open_requests / hosts,
        weight: account.weight,
    }
}

fn refuse(refusal: &admission::Refusal) -> Refusal {
    let message = match refusal.kind {
        Kind::RateLimited => "the client account is over its rate; send fewer requests per second",
        Kind::TooManyOpen => "the client account has too many open requests; wait for some to end",
        Kind::DeadlinePassed => "the request could not start before its deadline; allow more time",
        _ => "the request cannot start in time; come back later",
    };
    Refusal::not_run(refusal.kind, message).after(refusal.retry_after)
}
