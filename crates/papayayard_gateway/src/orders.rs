//! Rolls out weights: a leader elected among the hosts orders endpoints to load the
//! newest version.
//!
//! The leader plans, announces and sends orders. Its announcements are records that all
//! hosts read, so that no host sends requests to an endpoint that is about to load. The
//! decisions are made in `papayayard_coordination`: `leadership` decides which host may send
//! orders, `rollout` which orders are due.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_coordination::leadership::Leadership;
use papayayard_coordination::rollout::{Answer, DueOrder, Member, Observation, Rollout};
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time;

use crate::announcement::{Age, Announcement, KEY, Loaded, Snapshot, apply};
use crate::backoff::Backoffs;
use crate::beliefs::Configuration;
use crate::call::Caller;
use crate::clock::Clock;
use crate::dispatch::Dispatch;
use crate::exchange::{Codec as EndpointCodec, Order, Report};
use crate::follow::Store;
use crate::hosts::Neighbours;
use crate::metrics::Metrics;
use crate::schedule::Handle;
use crate::store::{Codec, Error, Topic};
use crate::uplink;

mod endpoint;

use endpoint::Outcome;

/// Planning interval while there is work.
const TICK: Duration = Duration::from_millis(50);
/// Interval at which a host checks whether leadership is free.
const LEADERSHIP_POLL: Duration = Duration::from_millis(100);
/// Minimum time between two announcements with changes, and the addition to it per host,
/// since every host reads each announcement.
const MIN_GAP: Duration = Duration::from_millis(40);
const GAP_PER_HOST: Duration = Duration::from_micros(500);
/// Delay before a host that acts as dispatcher for other hosts acquires leadership.
const DISPATCHER_DELAY: Duration = Duration::from_millis(250);
/// Additional delay of a host with less capacity than others.
const LOW_CAPACITY_DELAY: Duration = Duration::from_millis(400);
/// Maximum random delay before a host acquires leadership, so that not all hosts try at
/// once.
const MAX_JITTER: Duration = Duration::from_millis(200);
/// Retry delay after a failure of the store.
const STORE_RETRY: Duration = Duration::from_millis(150);
/// Retry delay of a host that was not the leader. It is longer, because the store may
/// refuse this host alone while others can acquire leadership.
const ACQUIRE_RETRY: Duration = Duration::from_secs(2);

/// Dependencies of the controller.
pub(crate) struct Parts<Platform> {
    pub(crate) store: Store<Platform>,
    pub(crate) host: id::Host,
    pub(crate) lease: Duration,
    pub(crate) configuration: watch::Receiver<Configuration>,
    pub(crate) endpoints: watch::Receiver<Vec<Endpoint>>,
    pub(crate) snapshot: watch::Receiver<Snapshot>,
    pub(crate) schedule: Handle,
    pub(crate) backoffs: Backoffs,
    pub(crate) neighbours: watch::Receiver<Neighbours>,
    pub(crate) dispatch: Dispatch,
    /// Tells whether this host reaches endpoints.
    pub(crate) uplink: uplink::Handle,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Clock,
}

/// Result of a call to an endpoint.
enum Event {
    /// Report of an endpoint that is about to receive an order.
    Prepared(DueOrder, id::Model, Option<Report>),
    Ordered(DueOrder, id::Model, Outcome),
    Checked(id::Endpoint, id::Model, Option<Report>),
}

/// Plans and sends orders for as long as the process runs.
pub(crate) async fn run<Platform>(parts: Parts<Platform>)
where
    Platform: Codec + EndpointCodec,
{
    let (sender, events) = mpsc::unbounded_channel();
    let controller = Controller {
        leadership: Leadership::new(parts.host.clone(), parts.lease),
        caller: Caller::new(parts.store.address),
        rollouts: HashMap::new(),
        loaded: HashMap::new(),
        announced: Announcement::default(),
        announced_at: Duration::ZERO,
        wait_until: Duration::ZERO,
        acquire_after: None,
        calls: JoinSet::new(),
        sender,
        parts,
    };
    controller.run(events).await;
}

struct Controller<Platform> {
    parts: Parts<Platform>,
    leadership: Leadership,
    caller: Caller,
    rollouts: HashMap<id::Model, Rollout>,
    /// Versions that endpoints have reported to this host.
    loaded: HashMap<id::Model, HashMap<id::Endpoint, u64>>,
    announced: Announcement,
    /// When `announced` was appended.
    announced_at: Duration,
    /// Time before which the store is not tried again.
    wait_until: Duration,
    /// Time before which this host does not acquire leadership.
    acquire_after: Option<Duration>,
    calls: JoinSet<()>,
    sender: mpsc::UnboundedSender<Event>,
}

impl<Platform> Controller<Platform>
where
    Platform: Codec + EndpointCodec,
{
    async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        loop {
            self.observe_leader();
            self.observe_uplink();
            let next = self.step().await;
            while self.calls.try_join_next().is_some() {}
            if let Some(pause) = next {
                self.handle_events_for(pause, &mut events).await;
                continue;
            }
            self.acquire_after = None;
            let configuration = &mut self.parts.configuration;
            let endpoints = &mut self.parts.endpoints;
            let changed = tokio::select! {
                changed = configuration.changed() => changed.is_ok(),
                changed = endpoints.changed() => changed.is_ok(),
                event = events.recv() => {
                    self.handle(event);
                    true
                }
            };
            if !changed {
                return;
            }
        }
    }

    /// Handles results of calls for the duration of a pause.
    async fn handle_events_for(
        &mut self,
        pause: Duration,
        events: &mut mpsc::UnboundedReceiver<Event>,
    ) {
        let pause = time::sleep(pause);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                event = events.recv() => self.handle(event),
                () = &mut pause => return,
            }
        }
    }

    /// Applies the newest announcement to the leadership state.
    fn observe_leader(&mut self) {
        let snapshot = self.parts.snapshot.borrow_and_update();
        if let Some(end) = snapshot.end {
            self.leadership.enter_era(end.era, snapshot.era_read_at);
        }
        if let Some((announcement, position, at)) = &snapshot.newest {
            let holder = id::Host::from(announcement.holder.as_str());
            self.leadership.observe(&holder, *position, *at);
        }
    }

    /// Gives up leadership while this host reaches no endpoint.
    fn observe_uplink(&mut self) {
        let is_detached = self.parts.uplink.is_detached();
        if self.leadership.set_detached(is_detached) {
            log::info!("order leadership given up; this host reaches no endpoint");
        }
        if is_detached {
            self.acquire_after = None;
        }
    }

    /// Performs the due work and returns the time until the next step, or `None` if no
    /// work is left.
    async fn step(&mut self) -> Option<Duration> {
        let now = self.parts.clock.now();
        if !self.leadership.may_append(now) {
            self.rollouts.clear();
            return Some(LEADERSHIP_POLL);
        }
        let outdated = self.outdated();
        let must_clear = self.leadership.was_last_leader() && !self.announced.away.is_empty();
        if outdated.is_empty() && !must_clear {
            return None;
        }
        if !self.leadership.was_last_leader() && self.must_delay(now) {
            return Some(TICK);
        }
        let is_changed = self.plan(&outdated, now) && self.announced_at + self.gap() <= now;
        if (is_changed || self.leadership.needs_renewal(now)) && now >= self.wait_until {
            self.announce().await;
        }
        self.order(&outdated);
        Some(TICK)
    }

    /// Minimum time between two announcements with changes.
    fn gap(&self) -> Duration {
        let neighbours = self.parts.neighbours.borrow();
        let hosts = neighbours.zone.len() + neighbours.others.len();
        MIN_GAP + GAP_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX)
    }

    fn must_delay(&mut self, now: Duration) -> bool {
        if self.acquire_after.is_none() {
            self.acquire_after = Some(now + self.acquire_delay());
        }
        self.acquire_after.is_some_and(|until| now < until)
    }

    /// Delay before this host acquires free leadership: the host with the most capacity
    /// that does not act as dispatcher should be first.
    fn acquire_delay(&self) -> Duration {
        let neighbours = self.parts.neighbours.borrow();
        let all = neighbours.zone.iter().chain(&neighbours.others);
        let highest = all.map(|other| other.capacity).max().unwrap_or(0);
        let own = neighbours
            .zone
            .iter()
            .find(|other| other.host == self.parts.host);
        let has_low_capacity = own.is_some_and(|own| own.capacity < highest);
        let mut acquire_delay = MAX_JITTER.mul_f64(rand::random());
        if has_low_capacity {
            acquire_delay += LOW_CAPACITY_DELAY;
        }
        if self.parts.dispatch.places_requests() {
            acquire_delay += DISPATCHER_DELAY;
        }
        acquire_delay
    }

    /// Models with endpoints whose weights are older than the target version.
    fn outdated(&self) -> HashMap<id::Model, (u64, Vec<Member>)> {
        let configuration = self.parts.configuration.borrow();
        let endpoints = self.parts.endpoints.borrow();
        let mut outdated = HashMap::new();
        for (model, named) in &configuration.targets {
            let Some((newest, _)) = named.newest() else {
                continue;
            };
            let members = self.members(&endpoints, model);
            if members.iter().any(|member| member.version < newest) {
                outdated.insert(model.clone(), (newest, members));
            }
        }
        outdated
    }

    fn members(&self, endpoints: &[Endpoint], model: &id::Model) -> Vec<Member> {
        let reported = self.loaded.get(model);
        let members = endpoints.iter().filter(|endpoint| !endpoint.leaving);
        members
            .filter_map(|one| {
                let listed = *one.weights.get(model)?;
                let reported = reported.and_then(|reported| reported.get(&one.id));
                Some(Member {
                    endpoint: one.id.clone(),
                    zone: one.zone.clone(),
                    version: reported.map_or(listed, |reported| listed.max(*reported)),
                })
            })
            .collect()
    }

    fn plan(&mut self, outdated: &HashMap<id::Model, (u64, Vec<Member>)>, now: Duration) -> bool {
        self.rollouts
            .retain(|model, _| outdated.contains_key(model));
        for (model, (newest, members)) in outdated {
            let rollout = self.rollouts.entry(model.clone()).or_default();
            rollout.plan(members, *newest, now);
        }
        !self.announcement(now).has_same_content(&self.announced)
    }

    fn announcement(&self, now: Duration) -> Announcement {
        let mut away: Vec<String> = self
            .rollouts
            .values()
            .flat_map(Rollout::unavailable)
            .map(|endpoint| endpoint.as_str().to_owned())
            .collect();
        away.sort_unstable();
        Announcement {
            holder: self.parts.host.as_str().to_owned(),
            away,
            loaded: self.unlisted(),
            named: self.target_ages(now),
            era: None,
            written_ms: None,
        }
    }

    /// Loaded versions that the endpoints' records do not show yet.
    fn unlisted(&self) -> Vec<Loaded> {
        let endpoints = self.parts.endpoints.borrow();
        let mut unlisted = Vec::new();
        for (model, loaded) in &self.loaded {
            for endpoint in endpoints.iter() {
                let version = loaded.get(&endpoint.id).copied().unwrap_or(0);
                let listed = endpoint.weights.get(model).copied();
                if listed.is_some_and(|listed| listed < version) {
                    unlisted.push(Loaded {
                        endpoint: endpoint.id.as_str().to_owned(),
                        model: model.as_str().to_owned(),
                        version,
                    });
                }
            }
        }
        unlisted
    }

    /// Ages of the target versions, as far as they are known. What other hosts have told counts
    /// only where this host does not know since when it has had a version.
    fn target_ages(&self, now: Duration) -> Vec<Age> {
        let known = self.parts.schedule.targets().versions();
        let configuration = self.parts.configuration.borrow();
        let newest = configuration.targets.iter().filter_map(|(model, named)| {
            let (version, read_at) = named.newest()?;
            let at = read_at.or_else(|| known.get(model)?.time(version));
            let age = now.saturating_sub(at?).as_millis();
            Some(Age {
                model: model.as_str().to_owned(),
                version,
                lain_ms: u64::try_from(age).unwrap_or(u64::MAX),
            })
        });
        newest.collect()
    }

    /// Acquires or renews leadership by appending the current announcement.
    async fn announce(&mut self) {
        let Some(end) = self.parts.snapshot.borrow().end else {
            return;
        };
        let at = self.leadership.append_offset(end);
        let sent = self.parts.clock.now();
        let announcement = Announcement {
            era: Some(end.era),
            written_ms: u64::try_from(Clock::unix_time().as_millis()).ok(),
            ..self.announcement(sent)
        };
        let value = serde_json::to_vec(&announcement).unwrap_or_default();
        let record = (KEY, value.as_slice());
        let store = &self.parts.store;
        let outcome = store
            .append(&mut self.caller, Topic::Orders, Some(at), record)
            .await;
        let now = self.parts.clock.now();
        match outcome {
            Ok(position) => {
                if !self.leadership.was_last_leader() {
                    log::info!(
                        offset = position.offset.0, era = position.era.0;
                        "this host has the turn at giving orders"
                    );
                }
                self.leadership.appended(position, sent, now);
                apply(&announcement, &self.parts.schedule);
                self.announced = announcement;
                self.announced_at = now;
            }
            Err(error) => {
                let is_acquiring =
                    !self.leadership.was_last_leader() && !matches!(error, Error::Moved { .. });
                let retry = if is_acquiring {
                    ACQUIRE_RETRY
                } else {
                    STORE_RETRY
                };
                self.wait_until = now + retry;
                if !matches!(error, Error::Moved { .. }) {
                    log::info!(error:%; "order leadership was not renewed");
                }
            }
        }
    }

    /// Starts the due orders and checks while this host is the leader.
    fn order(&mut self, outdated: &HashMap<id::Model, (u64, Vec<Member>)>) {
        let now = self.parts.clock.now();
        if self.leadership.permit(now).is_none() {
            return;
        }
        for model in outdated.keys() {
            let Some(rollout) = self.rollouts.get_mut(model) else {
                continue;
            };
            let actions = rollout.actions(now);
            for due in &actions.orders {
                rollout.sent(due, now);
            }
            for due in actions.orders {
                self.prepare(due, model);
            }
            for endpoint in actions.checks {
                self.spawn_check(&endpoint, model);
            }
        }
    }

    fn address(&self, endpoint: &id::Endpoint) -> Option<SocketAddr> {
        let endpoints = self.parts.endpoints.borrow();
        let found = endpoints.iter().find(|listed| listed.id == *endpoint)?;
        Some(found.address)
    }

    /// Requests the report that the order has to refer to.
    fn prepare(&mut self, due: DueOrder, model: &id::Model) {
        let endpoint = due.endpoint.clone();
        let model = model.clone();
        self.request_report(&endpoint, |report| Event::Prepared(due, model, report));
    }

    fn spawn_check(&mut self, endpoint: &id::Endpoint, model: &id::Model) {
        let (checked, model) = (endpoint.clone(), model.clone());
        self.request_report(endpoint, |report| Event::Checked(checked, model, report));
    }

    /// Requests an endpoint's report. There is none if the endpoint is not listed or has
    /// requested a backoff.
    fn request_report<Make>(&mut self, endpoint: &id::Endpoint, event: Make)
    where
        Make: FnOnce(Option<Report>) -> Event + Send + 'static,
    {
        let now = self.parts.clock.now();
        let address = self
            .address(endpoint)
            .filter(|address| self.parts.backoffs.remaining(*address, now).is_zero());
        let codec = self.parts.store.codec.clone();
        let sender = self.sender.clone();
        let uplink = self.parts.uplink.clone();
        let endpoint = endpoint.clone();
        self.calls.spawn(async move {
            let report = match address {
                Some(address) => endpoint::report(&codec, (&endpoint, address), &uplink).await,
                None => None,
            };
            send_event(&sender, event(report));
        });
    }

    /// Sends an order to an endpoint that has reported, if this host's leadership still
    /// permits it.
    fn send_order(&mut self, due: DueOrder, model: id::Model, report: &Report, now: Duration) {
        let Some(version) = self.rollouts.get(&model).map(Rollout::target) else {
            return;
        };
        let (Some(leave), Some(address)) =
            (self.leadership.permit(now), self.address(&due.endpoint))
        else {
            self.ordered(&due, &model, Outcome::Step(Answer::Unsent), now);
            return;
        };
        let breaks_off = due.breaks_off;
        log::info!(
            endpoint:% = due.endpoint, model:%, version, fence = leave.fence.0, breaks_off;
            "ordering weights"
        );
        let order = Order {
            endpoint: &due.endpoint,
            model: &model,
            version,
            leader: &self.parts.host,
            fence: leave.fence,
            accepted_before: Some(report.accepted),
            breaks_off,
        };
        let codec = self.parts.store.codec.clone();
        let request = codec.order(&order);
        let clock = self.parts.clock;
        let sender = self.sender.clone();
        self.calls.spawn(async move {
            let outcome = endpoint::order(&codec, address, request, leave, clock).await;
            send_event(&sender, Event::Ordered(due, model, outcome));
        });
    }

    fn handle(&mut self, event: Option<Event>) {
        let now = self.parts.clock.now();
        match event {
            None => {}
            Some(Event::Prepared(due, model, Some(report))) => {
                self.send_order(due, model, &report, now);
            }
            Some(Event::Prepared(due, model, None)) => {
                log::info!(endpoint:% = due.endpoint; "endpoint gave no report; order withheld");
                if let Some(rollout) = self.rollouts.get_mut(&model) {
                    rollout.withheld(&due, now);
                }
            }
            Some(Event::Ordered(due, model, outcome)) => {
                self.ordered(&due, &model, outcome, now);
            }
            Some(Event::Checked(endpoint, model, Some(report))) => {
                self.checked(&endpoint, &model, &report, now);
            }
            Some(Event::Checked(endpoint, model, None)) => {
                log::info!(endpoint:%; "loading endpoint gave no report");
                if let Some(rollout) = self.rollouts.get_mut(&model) {
                    rollout.unreachable(&endpoint, now);
                }
            }
        }
    }

    fn ordered(&mut self, due: &DueOrder, model: &id::Model, outcome: Outcome, now: Duration) {
        let endpoint = &due.endpoint;
        match outcome {
            Outcome::Fenced => {
                log::info!(endpoint:%; "order fenced: another host has sent later orders");
                self.parts.metrics.ordered("fenced");
                self.leadership.step_down();
            }
            Outcome::Step(answer) => {
                log::info!(endpoint:%, answer:? = answer; "order answered");
                self.parts.metrics.ordered(label(answer));
                if let Some(rollout) = self.rollouts.get_mut(model) {
                    rollout.answered(due, answer, now);
                }
            }
        }
    }

    fn checked(
        &mut self,
        endpoint: &id::Endpoint,
        model: &id::Model,
        report: &Report,
        now: Duration,
    ) {
        let found = report.weights.iter().find(|(name, _)| name == model);
        let version = found.map_or(0, |(_, version)| *version);
        let loaded = self.loaded.entry(model.clone()).or_default();
        let newest = loaded.entry(endpoint.clone()).or_default();
        if version > *newest {
            log::info!(endpoint:%, version; "weights in place");
            *newest = version;
        }
        let look = Observation {
            version,
            is_busy: report.is_busy,
            open: report.open,
        };
        if let Some(rollout) = self.rollouts.get_mut(model) {
            rollout.observe(endpoint, look, now);
        }
    }
}

fn send_event(sender: &mpsc::UnboundedSender<Event>, event: Event) {
    if sender.send(event).is_err() {
        log::debug!("the order controller has stopped");
    }
}

const fn label(answer: Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::Holds => "holds",
        Answer::Busy => "busy",
        Answer::Lost => "lost",
        Answer::Gone => "gone",
        Answer::Unsent => "unsent",
    }
}
