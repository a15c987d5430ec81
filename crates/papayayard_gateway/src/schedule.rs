//! The task that owns the scheduler.
//!
//! Requests are sent to this task and wait for its decision; controllers send it updates
//! of the state that decisions depend on. If a caller disconnects, its request drops its
//! permit or the receiver of the decision, and the task releases the capacity or the
//! place in the queue.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{
    Availability, Decision, Endpoint, HostCounts, InFlight, Limit, OrderCounts, Outcome,
    PendingKey, Placement, Query, RefusalReason, Scheduler, Ticket,
};
use papayayard_routing::prompt;
use papayayard_routing::rate::Rate;
use papayayard_routing::table::Table;
use papayayard_routing::weights::TargetVersions;
use papayayard_wire::id;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::overload::{Overload, Verdict};
use crate::targets::Targets;
use crate::usability;

/// Interval between decisions on waiting requests.
const DECISION_PERIOD: Duration = Duration::from_millis(20);
/// Interval between checks for unresponsive endpoints.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Holder of cached prompt parts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Holder {
    Endpoint(id::Endpoint),
    /// A store of cached prompts.
    Store(id::Service),
}

/// Limits that endpoints have named.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limits {
    /// Number of changes since the process started.
    pub(crate) revision: u64,
    pub(crate) lists: Lists,
}

/// Lists of limits, by kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Lists {
    pub(crate) requests: Vec<Limit>,
    /// Limits on refusals for want of room.
    pub(crate) refusals: Vec<Limit>,
}

impl Limits {
    fn has(&self, endpoint: &id::Endpoint) -> bool {
        is_in(&self.lists.requests, endpoint)
    }
}

/// What this host's scheduler knows of a placement by another host.
#[derive(Debug, Default)]
pub(crate) struct Adopted {
    /// `None` if it does not know the endpoint, or if the request does not fit there.
    pub(crate) ticket: Option<Ticket>,
    /// Address of the endpoint, if it knows it.
    pub(crate) address: Option<SocketAddr>,
    /// Whether it knows that the endpoint is leaving; the placement then was not recorded.
    pub(crate) is_leaving: bool,
}

/// Message to the scheduler task.
pub(crate) enum Message {
    /// Request to be placed, with its number on the requesting host and the time at which this
    /// host read it.
    Place(Box<Query>, u64, Duration, oneshot::Sender<Verdict>),
    /// Placement of a request of this host by another host.
    Adopt(Box<(Query, Placement)>, oneshot::Sender<Adopted>),
    /// Call of another host, with the random ID of its process.
    Contact(id::Host, u64),
    /// A host of a zone requests its placements from this one.
    Use(id::Host, id::Zone),
    /// This host gives up the dispatcher that it used.
    UseElsewhere,
    /// Progress of another host's request, with its number on that host.
    Notice(id::Host, u64, Progress),
    /// The first event of a placed request has arrived.
    Begun(Ticket),
    /// The endpoint of a placed request announced its shutdown.
    Leaving(Ticket),
    /// An endpoint announced its shutdown in an answer that another host received.
    EndpointLeaving(id::Endpoint),
    /// An incarnation of an endpoint announced its shutdown to a request without a ticket.
    IncarnationLeaving(id::Endpoint, id::Incarnation),
    /// The endpoint of a placed request is asked for its run.
    Asked(Ticket),
    /// The endpoint of a placed request requested a backoff.
    Backoff(Ticket, Duration),
    /// The answer to a placed request names a limit of its endpoint, or none.
    Limit(Ticket, Option<Rate>),
    /// The answer to a placed request names a limit on refusals of its endpoint, or none.
    RefusalLimit(Ticket, Option<Rate>),
    /// All limits that the dispatcher knew at a time.
    Limits(Box<Lists>, Duration),
    /// A placed request has finished.
    Finished(Ticket, Outcome),
    /// New routing table.
    Table(Arc<Table>),
    /// Target versions of weights.
    TargetVersions(HashMap<id::Model, TargetVersions>),
    /// All endpoints.
    Endpoints(Vec<Endpoint>),
    /// Number of hosts.
    Hosts(usize),
    /// Number of hosts in each zone.
    HostCounts(HostCounts),
    /// All endpoints that currently load weights.
    Loading(Vec<id::Endpoint>),
    /// An endpoint has loaded a version of a model's weights.
    Loaded(id::Endpoint, id::Model, u64),
    /// Changed amounts of prompt parts in a holder's cache, in tokens.
    Cached(Holder, Vec<(prompt::Key, u32)>),
    /// The contents of a holder's cache are unknown.
    Clear(Holder),
}

/// Progress of another host's request, as reported by that host.
pub(crate) enum Progress {
    InFlight(InFlight),
    /// The first event of the answer has arrived.
    Begun,
    /// The endpoint announced its shutdown.
    Leaving,
    /// The endpoint is asked for its run.
    Asked,
    /// The answer names a limit of the endpoint, or none.
    Limit(Option<Rate>),
    /// The answer names a limit on refusals of the endpoint, or none.
    RefusalLimit(Option<Rate>),
    Finished(Outcome),
}

/// Sends messages to the scheduler task.
#[derive(Clone)]
pub(crate) struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    avoided: watch::Receiver<Vec<id::Endpoint>>,
    limits: watch::Receiver<Limits>,
    targets: Targets,
    clock: Clock,
}

impl Handle {
    /// Sends a message; the task ends only with the process.
    pub(crate) fn send(&self, message: Message) {
        if self.messages.send(message).is_err() {
            log::error!("the scheduler's task has ended; restart the host");
        }
    }

    /// Waits for the decision on a request.
    pub(crate) async fn place(&self, query: Query, number: u64) -> Verdict {
        let (reply, decision) = oneshot::channel();
        let now = self.clock.now();
        self.send(Message::Place(Box::new(query), number, now, reply));
        decision.await.unwrap_or_else(|_| {
            Verdict::Decided(Box::new(Decision::Refused {
                reason: RefusalReason::NoEndpoint,
                retry_after: Duration::ZERO,
                availability: Availability::default(),
            }))
        })
    }

    /// Records a placement made by another host; returns `None` if this host does not know
    /// the endpoint.
    pub(crate) async fn adopt(&self, query: Query, placement: Placement) -> Adopted {
        let (reply, adopted) = oneshot::channel();
        self.send(Message::Adopt(Box::new((query, placement)), reply));
        adopted.await.unwrap_or_default()
    }

    /// Endpoints that this host cannot reach, or that requested a backoff from it.
    pub(crate) fn avoided(&self) -> Vec<id::Endpoint> {
        self.avoided.borrow().clone()
    }

    /// Target versions of weights.
    pub(crate) const fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Limits that endpoints have named.
    pub(crate) fn limits(&self) -> watch::Ref<'_, Limits> {
        self.limits.borrow()
    }

    /// Whether an endpoint has named a limit on requests.
    pub(crate) fn is_limited(&self, endpoint: &id::Endpoint) -> bool {
        self.limits.borrow().has(endpoint)
    }

    /// Whether an endpoint has named a limit on refusals.
    pub(crate) fn has_refusal_limit(&self, endpoint: &id::Endpoint) -> bool {
        is_in(&self.limits.borrow().lists.refusals, endpoint)
    }

    /// Whether any endpoint has named a limit on refusals.
    pub(crate) fn has_refusal_limits(&self) -> bool {
        !self.limits.borrow().lists.refusals.is_empty()
    }

    /// Whether an endpoint of a service has named a limit.
    pub(crate) fn has_limits(&self, service: &id::Service) -> bool {
        let limits = self.limits.borrow();
        let Lists { requests, refusals } = &limits.lists;
        let mut all = requests.iter().chain(refusals);
        all.any(|limit| limit.service == *service)
    }

    /// Waits until an endpoint has no limit on requests.
    pub(crate) async fn until_unlimited(&self, endpoint: &id::Endpoint) {
        let mut limits = self.limits.clone();
        let unlimited = limits.wait_for(|limits| !limits.has(endpoint));
        if unlimited.await.is_err() {
            log::debug!("the scheduler's task has ended");
        }
    }
}

/// Starts the task of a host in `zone`; the task ends when all handles are dropped.
pub(crate) fn start(
    scheduler: Scheduler,
    zone: id::Zone,
    metrics: Metrics,
    clock: Clock,
) -> Handle {
    let (sender, messages) = mpsc::unbounded_channel();
    let (avoided, avoided_receiver) = watch::channel(Vec::new());
    let (limits, limits_receiver) = watch::channel(Limits::default());
    let (targets, targets_receiver) = watch::channel(HashMap::new());
    let old_weights = scheduler.settings().old_weights;
    let task = Task {
        scheduler,
        zone,
        overload: Overload::new(metrics.clone()),
        metrics,
        clock,
        avoided,
        limits,
        targets,
        runs: HashMap::new(),
        tickets: HashMap::new(),
        replies: HashMap::new(),
        order_counts: OrderCounts::default(),
    };
    tokio::spawn(task.run(messages));
    Handle {
        messages: sender,
        avoided: avoided_receiver,
        limits: limits_receiver,
        targets: Targets::new(targets_receiver, old_weights, clock),
        clock,
    }
}

/// Receiver of a decision.
struct Reply {
    sender: oneshot::Sender<Verdict>,
    /// For another host's request: the host, and the number of the request there.
    number: Option<(id::Host, u64)>,
}

struct Task {
    scheduler: Scheduler,
    zone: id::Zone,
    overload: Overload,
    metrics: Metrics,
    clock: Clock,
    avoided: watch::Sender<Vec<id::Endpoint>>,
    limits: watch::Sender<Limits>,
    targets: watch::Sender<HashMap<id::Model, TargetVersions>>,
    /// Random process IDs of the hosts that call this one.
    runs: HashMap<id::Host, u64>,
    /// Tickets of other hosts' requests, by host and number of the request there.
    tickets: HashMap<(id::Host, u64), Ticket>,
    replies: HashMap<PendingKey, Reply>,
    /// Events in the order of placement that the metrics have counted.
    order_counts: OrderCounts,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut interval = time::interval(DECISION_PERIOD);
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut check = time::interval(CHECK_PERIOD);
        check.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut was_ticking = false;
        loop {
            let is_ticking =
                self.scheduler.has_waiting() || self.overload.is_active(self.clock.now());
            if is_ticking && !was_ticking {
                interval.reset();
            }
            was_ticking = is_ticking;
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                    while let Ok(message) = messages.try_recv() {
                        self.handle(message);
                    }
                }
                due = interval.tick(), if is_ticking => {
                    self.overload.record_lag(due.elapsed(), self.clock.now());
                }
                _ = check.tick() => self.check(),
            }
            self.publish_limits();
            self.decide();
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        let scheduler = &mut self.scheduler;
        match message {
            Message::Place(query, number, arrived_at, sender) => {
                let number = query.requesting_host.clone().map(|host| (host, number));
                let (priority, deadline) = (query.priority, query.deadline);
                let waiting = scheduler.enqueue(*query, now);
                self.overload.add(waiting, priority, deadline, arrived_at);
                self.replies.insert(waiting, Reply { sender, number });
            }
            Message::Adopt(adopted, reply) => {
                let (query, placement) = *adopted;
                self.adopt(&query, &placement, reply, now);
            }
            Message::Use(host, zone) => scheduler.record_use(&host, &zone, now),
            Message::UseElsewhere => scheduler.record_use_elsewhere(now),
            Message::Contact(host, run) => self.record_contact(&host, run, now),
            Message::Notice(host, number, progress) => {
                self.record_notice(host, number, progress, now);
            }
            Message::Begun(ticket) => scheduler.record_first_event(ticket, now),
            Message::EndpointLeaving(endpoint) => scheduler.mark_endpoint_leaving(&endpoint),
            Message::Leaving(ticket) => scheduler.mark_leaving(ticket),
            Message::IncarnationLeaving(endpoint, started) => {
                scheduler.mark_incarnation_leaving(&endpoint, started);
            }
            Message::Asked(ticket) => scheduler.record_question(ticket, now),
            Message::Backoff(ticket, time) => scheduler.set_backoff(ticket, time, now),
            Message::Limit(ticket, limit) => scheduler.record_limit(ticket, limit, now),
            Message::RefusalLimit(ticket, limit) => {
                scheduler.record_refusal_limit(ticket, limit, now);
            }
            Message::Limits(lists, listed_at) => {
                scheduler.set_limits(&lists.requests, listed_at, now);
                scheduler.set_refusal_limits(&lists.refusals, listed_at, now);
            }
            Message::Finished(ticket, outcome) => scheduler.record_outcome(ticket, outcome, now),
            Message::Table(table) => scheduler.set_table(table),
            Message::TargetVersions(targets) => self.add_target_versions(&targets),
            Message::Endpoints(list) => scheduler.set_endpoints(&list, now),
            Message::Hosts(hosts) => scheduler.set_hosts(hosts),
            Message::HostCounts(counts) => scheduler.set_host_counts(counts),
            Message::Loading(endpoints) => scheduler.set_loading(&endpoints, now),
            Message::Loaded(endpoint, model, version) => {
                scheduler.record_loaded(&endpoint, &model, version);
            }
            Message::Cached(holder, parts) => self.record_cached(&holder, &parts),
            Message::Clear(Holder::Endpoint(endpoint)) => scheduler.clear_cached(&endpoint),
            Message::Clear(Holder::Store(store)) => scheduler.remove_store(&store),
        }
    }

    /// Records a placement by another host, unless its endpoint is leaving.
    fn adopt(
        &mut self,
        query: &Query,
        placement: &Placement,
        reply: oneshot::Sender<Adopted>,
        now: Duration,
    ) {
        let endpoint = &placement.endpoint;
        let is_leaving = self.scheduler.is_leaving(endpoint, placement.started);
        let ticket = if is_leaving {
            None
        } else {
            self.scheduler.record_placement(query, placement, now)
        };
        let adopted = Adopted {
            ticket,
            address: self.scheduler.address(endpoint),
            is_leaving,
        };
        if let (Err(_), Some(ticket)) = (reply.send(adopted), ticket) {
            self.scheduler
                .record_outcome(ticket, Outcome::Abandoned, now);
        }
    }

    fn check(&mut self) {
        let now = self.clock.now();
        self.overload.report(now);
        self.scheduler.check_overdue(now);
        usability::report(&self.scheduler.usability_changes(now), &self.metrics);
        self.count_order_events();
        self.tickets
            .retain(|_, ticket| self.scheduler.is_in_flight(*ticket));
        let avoided = self.scheduler.avoided(&self.zone, now);
        self.avoided.send_if_modified(|current| {
            let is_changed = *current != avoided;
            *current = avoided;
            is_changed
        });
    }

    fn count_order_events(&mut self) {
        let counts = self.scheduler.order_counts();
        let earlier = std::mem::replace(&mut self.order_counts, counts);
        let events = [
            ("out_of_order", counts.out_of_order - earlier.out_of_order),
            ("passed_over", counts.passed_over - earlier.passed_over),
            ("reserved", counts.reserved - earlier.reserved),
        ];
        for (event, number) in events.into_iter().filter(|(_, number)| *number > 0) {
            self.metrics.ordered_placements(event, number);
        }
    }

    fn add_target_versions(&mut self, targets: &HashMap<id::Model, TargetVersions>) {
        self.scheduler.add_target_versions(targets);
        let known = self.scheduler.target_versions();
        self.targets.send_if_modified(|current| {
            let is_changed = current != known;
            if is_changed {
                current.clone_from(known);
            }
            is_changed
        });
    }

    fn publish_limits(&self) {
        let lists = Lists {
            requests: self.scheduler.limits(),
            refusals: self.scheduler.refusal_limits(),
        };
        self.limits.send_if_modified(|current| {
            if current.lists == lists {
                return false;
            }
            log_changes("requests", &current.lists.requests, &lists.requests);
            log_changes("refusals", &current.lists.refusals, &lists.refusals);
            current.revision += 1;
            current.lists = lists;
            true
        });
    }

    fn record_notice(&mut self, host: id::Host, number: u64, progress: Progress, now: Duration) {
        let key = (host, number);
        let ticket = self.tickets.get(&key).copied();
        match (progress, ticket) {
            (Progress::InFlight(in_flight), None) => {
                let recorded = self.scheduler.record_in_flight(&in_flight, now);
                self.tickets.extend(recorded.map(|ticket| (key, ticket)));
            }
            (Progress::Begun, Some(ticket)) => self.scheduler.record_first_event(ticket, now),
            (Progress::Limit(limit), Some(ticket)) => {
                self.scheduler.record_limit(ticket, limit, now);
            }
            (Progress::RefusalLimit(limit), Some(ticket)) => {
                self.scheduler.record_refusal_limit(ticket, limit, now);
            }
            (Progress::Asked, Some(ticket)) => self.scheduler.record_question(ticket, now),
            (Progress::Leaving, Some(ticket)) => self.scheduler.mark_leaving(ticket),
            (Progress::Finished(outcome), Some(ticket)) => {
                self.tickets.remove(&key);
                self.scheduler.record_outcome(ticket, outcome, now);
            }
            (Progress::InFlight(_), Some(_)) | (_, None) => {}
        }
    }

    /// Abandons a host's requests if its process has changed: the new process has no record
    /// of the requests that the old one had in flight.
    fn record_contact(&mut self, host: &id::Host, run: u64, now: Duration) {
        self.scheduler.record_contact(host, now);
        let previous = self.runs.insert(host.clone(), run);
        if previous.is_some_and(|previous| previous != run) {
            log::info!(host:%; "a host that asks has started again");
            self.scheduler.abandon_requests_of(host, now);
        }
    }

    fn record_cached(&mut self, holder: &Holder, parts: &[(prompt::Key, u32)]) {
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
        self.cancel_disconnected();
        self.shed();
        let now = self.clock.now();
        let requests = self.replies.len();
        let decisions = self.scheduler.decide(now);
        let time = self.clock.now().saturating_sub(now);
        self.overload.record_pass(requests, time);
        for (waiting, decision) in decisions {
            let Some(reply) = self.replies.remove(&waiting) else {
                continue;
            };
            if let (Decision::Placed(placement), Some(number)) = (&decision, reply.number) {
                self.tickets.insert(number, placement.ticket);
            }
            let verdict = Verdict::Decided(Box::new(decision));
            if let Err(Verdict::Decided(decision)) = reply.sender.send(verdict)
                && let Decision::Placed(placement) = *decision
            {
                self.scheduler
                    .record_outcome(placement.ticket, Outcome::Abandoned, now);
            }
        }
    }

    /// Refuses requests on which this host cannot decide in time.
    fn shed(&mut self) {
        let now = self.clock.now();
        let replies = &self.replies;
        let is_waiting = |key| replies.contains_key(&key);
        let shed = self.overload.shed(replies.len(), is_waiting, now);
        for (waiting, retry_after) in shed {
            self.scheduler.cancel(waiting);
            let Some(reply) = self.replies.remove(&waiting) else {
                continue;
            };
            if reply.sender.send(Verdict::Shed(retry_after)).is_err() {
                log::debug!("the caller of a request that is refused has disconnected");
            }
        }
    }

    /// Cancels waiting requests whose callers have disconnected.
    fn cancel_disconnected(&mut self) {
        let disconnected: Vec<PendingKey> = self
            .replies
            .iter()
            .filter(|(_, reply)| reply.sender.is_closed())
            .map(|(waiting, _)| *waiting)
            .collect();
        for waiting in disconnected {
            self.replies.remove(&waiting);
            self.scheduler.cancel(waiting);
        }
    }
}

fn is_in(limits: &[Limit], endpoint: &id::Endpoint) -> bool {
    limits.iter().any(|limit| limit.endpoint == *endpoint)
}

/// Logs limits on `of` that were named, changed or withdrawn.
fn log_changes(of: &str, before: &[Limit], now: &[Limit]) {
    for limit in now.iter().filter(|limit| !before.contains(limit)) {
        log::info!(
            endpoint:% = limit.endpoint, service:% = limit.service, of,
            per_second = limit.rate.per_second();
            "limit of an endpoint in force"
        );
    }
    for limit in before.iter().filter(|limit| !is_in(now, &limit.endpoint)) {
        log::info!(endpoint:% = limit.endpoint, service:% = limit.service, of; "limit of an endpoint withdrawn");
    }
}
