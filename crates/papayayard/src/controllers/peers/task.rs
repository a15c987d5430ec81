//! The task that owns the node's state and decides.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use jsonrpsee::server::ServerHandle;
use papayayard_coordination::amount::Amount;
use papayayard_coordination::exchange::{self, Node, Update};
use papayayard_coordination::{demand, departure, membership, pace, replay};
use papayayard_document::document;
use papayayard_routing::quarantine;
use papayayard_wire::{configuration as wire, directory, id, peer, proof};
use tokio::sync::mpsc;
use tokio::time;

use super::{Answer, Links, Message, Options, Sent, client, demand_meter, local};
use crate::clock::Clock;
use crate::controllers::configuration;
use crate::metrics::Metrics;

/// Largest difference of two hosts' clocks.
const SKEW: Duration = Duration::from_secs(30);

/// The node's state and its links.
pub(super) struct Task {
    pub(super) node: Node,
    window: replay::Window,
    pool: client::Pool,
    secret: proof::Secret,
    me: id::Host,
    seeds: Vec<SocketAddr>,
    busy: HashSet<SocketAddr>,
    /// Calls that say farewell and have not ended; none before the first.
    farewells: Option<usize>,
    nonce: u64,
    pub(super) meter: demand_meter::Meter,
    pub(super) runs: BTreeMap<id::Endpoint, id::Incarnation>,
    pub(super) departing: Vec<departure::Signal>,
    pub(super) clock: Clock,
    metrics: Metrics,
    pub(super) links: Links,
}

impl Task {
    /// A task that has not started.
    pub(super) fn new(options: Options, links: Links, messages: mpsc::Sender<Message>) -> Self {
        let now = options.clock.now();
        let me = options.identity.host.clone();
        let limits = pace::Limits {
            period: options.period,
            ..pace::Limits::default()
        };
        let zone = options.identity.member.zone.clone();
        let members = membership::Table::new(me.clone(), zone, limits, now);
        let shares = demand::Table::new(me.clone(), demand::Limits::default(), now);
        let secret = proof::Secret::new(&options.secret);
        Self {
            node: Node::new(options.identity, members, shares, now),
            window: replay::Window::new(me.clone(), SKEW),
            pool: client::Pool::new(secret.clone(), messages),
            secret,
            me,
            seeds: options.seeds,
            busy: HashSet::new(),
            farewells: None,
            nonce: wall_clock().as_micros().try_into().unwrap_or(u64::MAX),
            meter: demand_meter::Meter::default(),
            runs: BTreeMap::new(),
            departing: Vec::new(),
            clock: options.clock,
            metrics: options.metrics,
            links,
        }
    }

    /// Runs until the host is taken apart.
    pub(super) async fn run(
        mut self,
        mut messages: mpsc::Receiver<Message>,
        _server: ServerHandle,
    ) {
        let mut list = self.links.list.subscribe();
        let mut active = self.links.active.clone();
        let mut accepted = self.links.accepted.clone();
        let mut stopping = self.links.stopping.clone();
        let mut leaving = self.links.farewell.leaving.clone();
        let mut observe = time::interval(local::PERIOD);
        observe.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let listed = list.borrow_and_update().clone().unwrap_or_default();
        if listed != directory::List::default() {
            self.listed(&listed);
        }
        self.configure(active.borrow_and_update().clone());
        self.accepted(accepted.borrow_and_update().clone());
        loop {
            let next = self.node.members.next_at();
            let pause = next.saturating_sub(self.clock.now());
            tokio::select! {
                Some(message) = messages.recv() => self.take(message).await,
                Ok(()) = list.changed() => {
                    let listed = list.borrow_and_update().clone();
                    self.listed(&listed.unwrap_or_default());
                }
                Ok(()) = active.changed() => {
                    let current = active.borrow_and_update().clone();
                    self.configure(current);
                }
                Ok(()) = accepted.changed() => {
                    let entry = accepted.borrow_and_update().clone();
                    self.accepted(entry);
                }
                changed = stopping.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.hurry();
                }
                Ok(()) = leaving.changed() => self.leave(),
                _ = observe.tick() => self.observe().await,
                () = time::sleep(pause) => self.call(),
            }
            self.publish().await;
            let is_told = self.farewells == Some(0);
            self.links.farewell.told.send_replace(is_told);
        }
    }

    async fn take(&mut self, message: Message) {
        match message {
            Message::Called(envelope, reply) => {
                let answer = self.answer(&envelope).await;
                // A peer that has gone needs no answer.
                let _ = reply.send(answer);
            }
            Message::Returned(sent, reply) => self.returned(sent, reply).await,
        }
    }

    async fn answer(&mut self, envelope: &proof::Envelope) -> Answer {
        let call: peer::Message = self.secret.open(proof::Direction::Call, envelope)?;
        self.window.admit(envelope, unix_ms())?;
        if !call.is_readable() {
            return Err(proof::Error::Malformed {
                reason: format!("version {} is not read here", call.version),
            });
        }
        if call.state == peer::State::Left {
            self.metrics.peer_left();
            log::info!(peer:% = envelope.from; "a peer has left");
        }
        let now = self.clock.now();
        self.node.set_state(self.state());
        let order = envelope.nonce;
        let (reply, news) =
            self.node
                .handle_call(&envelope.from, &call, order, now, &mut rand::rng());
        let address = proof::Address {
            direction: proof::Direction::Reply,
            from: self.me.clone(),
            to: Some(envelope.from.clone()),
            time_ms: unix_ms(),
            nonce: envelope.nonce,
        };
        let sealed = self.secret.seal(address, &reply)?;
        let bytes = envelope.bytes() + sealed.bytes() + client::FRAME_BYTES;
        self.charge(bytes, now);
        self.tell(news).await;
        Ok(sealed)
    }

    async fn returned(&mut self, sent: Box<Sent>, reply: Result<Box<client::Reply>, String>) {
        self.busy.remove(&sent.address);
        if let Some(open) = self.farewells.as_mut().filter(|_| sent.is_farewell) {
            *open -= 1;
        }
        let now = self.clock.now();
        let reply = match reply {
            Ok(reply) => reply,
            Err(reason) => {
                log::debug!(peer:% = sent.address; "a peer did not answer: {reason}");
                self.metrics.peer_failed();
                if let Some(host) = &sent.host {
                    self.node
                        .members
                        .record_failure(host, now, &mut rand::rng());
                }
                return;
            }
        };
        self.charge(reply.bytes, now);
        let (further, news) = self.node.handle_reply(
            &reply.from,
            &sent.message,
            sent.time,
            &reply.message,
            now,
            &mut rand::rng(),
        );
        if let Some(message) = further {
            self.send(Some(reply.from), sent.address, message);
        }
        self.tell(news).await;
    }

    fn charge(&mut self, bytes: usize, now: Duration) {
        self.metrics.peer_exchanged(bytes);
        self.node.members.charge(bytes, now);
    }

    async fn tell(&mut self, news: Vec<Update>) {
        for item in news {
            match item {
                Update::Configuration(entry) => {
                    // A controller that has ended adopts nothing.
                    let _ = self.links.adopt.send(entry).await;
                }
                Update::Directory(list) => {
                    self.links.list.send_if_modified(|known| {
                        let known = known.get_or_insert_default();
                        let is_missing = *known == directory::List::default();
                        if is_missing {
                            *known = list;
                        }
                        is_missing
                    });
                }
                Update::Quarantine(items) => {
                    let verdicts = items.iter().map(verdict).collect();
                    self.links.fleet.import(verdicts).await;
                }
                Update::Departures | Update::Shares => {}
            }
        }
    }

    fn call(&mut self) {
        let now = self.clock.now();
        self.node.set_state(self.state());
        for target in self.node.members.tick(now, &mut rand::rng()) {
            if !self.busy.contains(&target.peer) {
                let message = self.node.call(&target, now);
                self.send(Some(target.host), target.peer, message);
            }
        }
        if self.node.members.list().is_none() {
            for address in self.seeds.clone() {
                if !self.busy.contains(&address) {
                    let message = self.node.greet(now);
                    self.send(None, address, message);
                }
            }
        }
    }

    /// Says farewell to all partners, and to others as far as calls go.
    fn leave(&mut self) {
        let now = self.clock.now();
        self.farewells = Some(0);
        self.node.set_state(self.state());
        for target in self.node.members.leave_targets() {
            let message = self.node.call(&target, now);
            self.send(Some(target.host), target.peer, message);
        }
        self.node.members.schedule_introductions(now);
        self.call();
    }

    fn send(&mut self, host: Option<id::Host>, address: SocketAddr, message: peer::Message) {
        self.nonce += 1;
        self.busy.insert(address);
        if let Some(open) = &mut self.farewells {
            *open += 1;
        }
        let outside = proof::Address {
            direction: proof::Direction::Call,
            from: self.me.clone(),
            to: host.clone(),
            time_ms: unix_ms(),
            nonce: self.nonce,
        };
        let sent = Sent {
            host,
            address,
            message,
            time: self.clock.now(),
            is_farewell: self.farewells.is_some(),
        };
        self.pool.send(sent, outside);
    }

    fn state(&self) -> peer::State {
        if *self.links.farewell.leaving.borrow() {
            return peer::State::Left;
        }
        if *self.links.stopping.borrow() {
            return peer::State::Stopping;
        }
        match *self.links.active.borrow() {
            Some(_) => peer::State::Serving,
            None => peer::State::Starting,
        }
    }

    fn listed(&mut self, list: &directory::List) {
        let now = self.clock.now();
        let is_first = self.node.members.list().is_none();
        self.node.members.update(list.clone(), now);
        if self.node.departures.apply_list(list, now) {
            self.hurry();
        }
        if is_first {
            self.node.members.schedule_introductions(now);
        }
    }

    fn configure(&mut self, current: configuration::Current) {
        let Some(active) = current else {
            return;
        };
        let accounts = active.document.accounts.iter();
        let limit = |account: &document::Account| {
            Amount::new(account.requests_per_second, account.open_requests)
        };
        let limits = accounts.map(|account| (account.id.clone(), limit(account)));
        self.node.shares.configure(&limits.collect());
    }

    fn accepted(&mut self, entry: Option<wire::Entry>) {
        if let Some(entry) = entry
            && self.node.set_configuration(entry)
        {
            self.hurry();
        }
    }

    pub(super) fn hurry(&mut self) {
        let now = self.clock.now();
        self.node.members.expedite_calls(now, &mut rand::rng());
    }
}

fn verdict(item: &peer::Quarantine) -> quarantine::Verdict {
    let ttl = u64::try_from(exchange::QUARANTINE_TTL.as_millis()).unwrap_or(u64::MAX);
    quarantine::Verdict {
        fingerprint: quarantine::Fingerprint(item.fingerprint),
        left_ms: ttl.saturating_sub(item.age_ms),
    }
}

/// Time since 1970, which peers compare with theirs.
fn wall_clock() -> Duration {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.unwrap_or_default()
}

fn unix_ms() -> u64 {
    u64::try_from(wall_clock().as_millis()).unwrap_or(u64::MAX)
}
