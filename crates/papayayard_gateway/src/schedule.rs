//! The task that owns the scheduler.
//!
//! Requests ask it for an endpoint and wait for its answer; controllers tell
//! it what they learn. A request whose caller leaves drops its permit or its
//! place in the queue, and the task takes that into account.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{
    Availability, Decision, Endpoint, InFlight, Outcome, PendingKey, Placement, Query,
    RefusalReason, Scheduler, Ticket,
};
use papayayard_routing::prompt;
use papayayard_routing::table::Table;
use papayayard_routing::weights::TargetVersions;
use papayayard_wire::id;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use crate::clock::Clock;

/// Period in which waiting requests are looked at.
const TICK: Duration = Duration::from_millis(20);
/// Period in which endpoints that are silent are looked for.
const CHECK: Duration = Duration::from_millis(200);

/// Holder of cached parts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Holder {
    /// An endpoint.
    Endpoint(id::Endpoint),
    /// A store of cached prompts.
    Store(id::Service),
}

/// What the task is told.
pub(crate) enum Message {
    /// A request wants an endpoint; the host that asks has given it a number.
    Ask(Box<Query>, u64, oneshot::Sender<Decision>),
    /// Another host has placed a request of this one.
    Adopt(Box<(Query, Placement)>, oneshot::Sender<Option<Ticket>>),
    /// A process of another host has asked or told something.
    Heard(id::Host, u64),
    /// Another host tells of the request that it has given a number.
    Notice(id::Host, u64, Told),
    /// A request's first event has come.
    Begun(Ticket),
    /// The endpoint of a placed request says that it leaves.
    Leaving(Ticket),
    /// The endpoint of a placed request wants none for a time.
    Quiet(Ticket, Duration),
    /// A placed request has ended.
    Finished(Ticket, Outcome),
    /// The routing table.
    Table(Arc<Table>),
    /// Named versions of weights.
    Named(HashMap<id::Model, TargetVersions>),
    /// The list of endpoints.
    Endpoints(Vec<Endpoint>),
    /// Number of hosts.
    Hosts(usize),
    /// Endpoints that load weights.
    Loading(Vec<id::Endpoint>),
    /// An endpoint has loaded a version.
    Loaded(id::Endpoint, id::Model, u64),
    /// Parts of which a holder keeps other amounts than before.
    Told(Holder, Vec<(prompt::Key, u32)>),
    /// A holder keeps nothing that is known.
    Forget(Holder),
}

/// What another host tells of a request.
pub(crate) enum Told {
    /// It runs.
    Open(InFlight),
    /// Its first event has come.
    Begun,
    /// Its endpoint says that it leaves.
    Leaving,
    /// It has ended.
    Finished(Outcome),
}

/// Sends messages to the task.
#[derive(Clone)]
pub(crate) struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    avoided: watch::Receiver<Vec<id::Endpoint>>,
}

impl Handle {
    /// Tells the task something; it ends only with the process.
    pub(crate) fn tell(&self, message: Message) {
        if self.messages.send(message).is_err() {
            log::error!("the scheduler's task has ended; restart the host");
        }
    }

    /// Waits for an endpoint.
    pub(crate) async fn place(&self, ask: Query, number: u64) -> Decision {
        let (reply, decision) = oneshot::channel();
        self.tell(Message::Ask(Box::new(ask), number, reply));
        decision.await.unwrap_or(Decision::Refused {
            reason: RefusalReason::NoEndpoint,
            retry_after: Duration::ZERO,
            availability: Availability::default(),
        })
    }

    /// Takes over a placement that another host has made.
    pub(crate) async fn adopt(&self, ask: Query, placement: Placement) -> Option<Ticket> {
        let (reply, ticket) = oneshot::channel();
        self.tell(Message::Adopt(Box::new((ask, placement)), reply));
        ticket.await.ok()?
    }

    /// Endpoints that this host does not reach, or that want nothing from it.
    pub(crate) fn avoided(&self) -> Vec<id::Endpoint> {
        self.avoided.borrow().clone()
    }
}

/// Starts the task of a host in a zone; it ends when all handles are gone.
pub(crate) fn start(scheduler: Scheduler, zone: id::Zone, clock: Clock) -> Handle {
    let (sender, messages) = mpsc::unbounded_channel();
    let (avoided, avoided_seen) = watch::channel(Vec::new());
    let task = Task {
        scheduler,
        zone,
        clock,
        avoided,
        askers: HashMap::new(),
        tickets: HashMap::new(),
        replies: HashMap::new(),
    };
    tokio::spawn(task.run(messages));
    Handle {
        messages: sender,
        avoided: avoided_seen,
    }
}

/// Where a decision goes.
struct Reply {
    sender: oneshot::Sender<Decision>,
    /// Another host's number of the request.
    number: Option<(id::Host, u64)>,
}

struct Task {
    scheduler: Scheduler,
    zone: id::Zone,
    clock: Clock,
    avoided: watch::Sender<Vec<id::Endpoint>>,
    /// Processes of hosts that ask.
    askers: HashMap<id::Host, u64>,
    /// Tickets of other hosts' requests, by the numbers that they gave them.
    tickets: HashMap<(id::Host, u64), Ticket>,
    replies: HashMap<PendingKey, Reply>,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut interval = time::interval(TICK);
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut check = time::interval(CHECK);
        check.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    self.take(message);
                    while let Ok(message) = messages.try_recv() {
                        self.take(message);
                    }
                }
                _ = interval.tick(), if self.scheduler.has_waiting() => {}
                _ = check.tick() => self.check(),
            }
            self.decide();
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        let scheduler = &mut self.scheduler;
        match message {
            Message::Ask(ask, number, sender) => {
                let number = ask.requesting_host.clone().map(|host| (host, number));
                let waiting = scheduler.enqueue(*ask, now);
                self.replies.insert(waiting, Reply { sender, number });
            }
            Message::Adopt(adopted, reply) => {
                let (ask, placement) = *adopted;
                let ticket = scheduler.record_placement(&ask, &placement, now);
                if let (Err(_), Some(ticket)) = (reply.send(ticket), ticket) {
                    scheduler.record_outcome(ticket, Outcome::Abandoned, now);
                }
            }
            Message::Heard(host, run) => self.heard(&host, run, now),
            Message::Notice(host, number, told) => self.notice(host, number, told, now),
            Message::Begun(ticket) => scheduler.record_first_event(ticket, now),
            Message::Leaving(ticket) => scheduler.mark_leaving(ticket),
            Message::Quiet(ticket, time) => scheduler.set_backoff(ticket, time, now),
            Message::Finished(ticket, outcome) => scheduler.record_outcome(ticket, outcome, now),
            Message::Table(table) => scheduler.set_table(table),
            Message::Named(named) => scheduler.add_target_versions(&named),
            Message::Endpoints(list) => scheduler.set_endpoints(&list, now),
            Message::Hosts(hosts) => scheduler.set_hosts(hosts),
            Message::Loading(endpoints) => scheduler.set_loading(&endpoints, now),
            Message::Loaded(endpoint, model, version) => {
                scheduler.record_loaded(&endpoint, &model, version);
            }
            Message::Told(holder, parts) => self.told(&holder, &parts),
            Message::Forget(Holder::Endpoint(endpoint)) => scheduler.clear_cached(&endpoint),
            Message::Forget(Holder::Store(store)) => scheduler.remove_store(&store),
        }
    }

    fn check(&mut self) {
        let now = self.clock.now();
        self.scheduler.check_overdue(now);
        self.tickets
            .retain(|_, ticket| self.scheduler.is_in_flight(*ticket));
        let avoided = self.scheduler.avoided(&self.zone, now);
        self.avoided.send_if_modified(|known| {
            let is_new = *known != avoided;
            *known = avoided;
            is_new
        });
    }

    fn notice(&mut self, host: id::Host, number: u64, told: Told, now: Duration) {
        let key = (host, number);
        let known = self.tickets.get(&key).copied();
        match (told, known) {
            (Told::Open(open), None) => {
                let taken = self.scheduler.record_in_flight(&open, now);
                self.tickets.extend(taken.map(|ticket| (key, ticket)));
            }
            (Told::Begun, Some(ticket)) => self.scheduler.record_first_event(ticket, now),
            (Told::Leaving, Some(ticket)) => self.scheduler.mark_leaving(ticket),
            (Told::Finished(outcome), Some(ticket)) => {
                self.tickets.remove(&key);
                self.scheduler.record_outcome(ticket, outcome, now);
            }
            (Told::Open(_), Some(_)) | (_, None) => {}
        }
    }

    /// Another process of a host knows nothing of what the one before has placed.
    fn heard(&mut self, host: &id::Host, run: u64, now: Duration) {
        self.scheduler.record_contact(host, now);
        let known = self.askers.insert(host.clone(), run);
        if known.is_some_and(|known| known != run) {
            log::info!(host:%; "a host that asks has started again");
            self.scheduler.abandon_requests_of(host, now);
        }
    }

    fn told(&mut self, holder: &Holder, parts: &[(prompt::Key, u32)]) {
        for (key, tokens) in parts {
            match holder {
                Holder::Endpoint(endpoint) => self.scheduler.set_cached(endpoint, *key, *tokens),
                Holder::Store(store) => self.scheduler.set_stored(store, *key, *tokens),
            }
        }
    }

    fn decide(&mut self) {
        if !self.scheduler.has_waiting() {
            return;
        }
        self.forget_left();
        let now = self.clock.now();
        for (waiting, decision) in self.scheduler.decide(now) {
            let Some(reply) = self.replies.remove(&waiting) else {
                continue;
            };
            if let (Decision::Placed(placement), Some(number)) = (&decision, reply.number) {
                self.tickets.insert(number, placement.ticket);
            }
            if let Err(Decision::Placed(placement)) = reply.sender.send(decision) {
                self.scheduler
                    .record_outcome(placement.ticket, Outcome::Abandoned, now);
            }
        }
    }

    /// Forgets waiting requests whose callers have left.
    fn forget_left(&mut self) {
        let left: Vec<PendingKey> = self
            .replies
            .iter()
            .filter(|(_, reply)| reply.sender.is_closed())
            .map(|(waiting, _)| *waiting)
            .collect();
        for waiting in left {
            self.replies.remove(&waiting);
            self.scheduler.cancel(waiting);
        }
    }
}
