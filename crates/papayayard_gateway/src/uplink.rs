//! Finds out whether this host is detached: whether new connections bring it no endpoint's answer.
//!
//! Requests, and the calls for caches and reports, tell what they have seen of the way to
//! endpoints, so that a host without requests knows it too. A task collects the
//! reports, probes endpoints when a decision is due, and publishes the state. The decisions
//! are made in `papayayard_coordination::uplink`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use papayayard_coordination::uplink::{Change, Comparison, Evidence, Probe, Target, Uplink};
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;
use rand::seq::IndexedRandom;
use snafu::Snafu;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::call::{self, Bounds, Caller};
use crate::dial::{self, Past};
use crate::hosts::Neighbours;
use crate::metrics::Metrics;
use crate::refusal::millis;

/// Bounds of the answer to a probe: an endpoint that is not cut off answers at once, unless it
/// is silent for a moment.
const PROBE_BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(500),
    bytes: call::MAX_REPORT_BYTES,
};

/// Number of other hosts to which a comparison connects.
const COMPARED_HOSTS: usize = 2;

/// Error that a detached host returns to hosts that call it for what needs endpoints.
#[derive(Debug, Snafu)]
#[snafu(display("this host reaches no endpoint; ask another host"))]
pub(crate) struct Detached;

/// Records evidence, and tells whether this host is detached.
#[derive(Clone)]
pub(crate) struct Handle {
    reports: mpsc::UnboundedSender<Report>,
    is_detached: watch::Receiver<bool>,
}

/// What a request has seen of an endpoint.
struct Report {
    endpoint: id::Endpoint,
    seen: Seen,
}

enum Seen {
    Unreachable,
    /// The head of a response, on a connection opened at this time.
    Answer(Instant),
    Silent {
        is_new: bool,
    },
}

impl Handle {
    /// Records that no connection could be established.
    pub(crate) fn record_unreachable(&self, endpoint: &id::Endpoint) {
        self.record(endpoint, Seen::Unreachable);
    }

    /// Records that the head of a response was received; `past` is that of its connection
    /// before the request.
    pub(crate) fn record_answer(&self, endpoint: &id::Endpoint, past: Past) {
        self.record(endpoint, Seen::Answer(past.opened));
    }

    /// Records that a connection was reset before the head of a response, or that no response
    /// was received in time.
    pub(crate) fn record_silent(&self, endpoint: &id::Endpoint, past: Past) {
        let is_new = past.answers == 0;
        self.record(endpoint, Seen::Silent { is_new });
    }

    /// Records what the newest call of an endpoint's caller has shown.
    pub(crate) fn record_call(
        &self,
        endpoint: &id::Endpoint,
        caller: &Caller,
        outcome: &Result<call::Reply, call::Error>,
    ) {
        match (outcome, caller.past()) {
            (Ok(_), Some(past)) => self.record_answer(endpoint, past),
            (Err(call::Error::Disconnected { .. } | call::Error::TimedOut { .. }), Some(past)) => {
                self.record_silent(endpoint, past);
            }
            (Err(call::Error::Unreachable { .. }), _) => self.record_unreachable(endpoint),
            // Nothing was sent.
            (_, None) | (Err(call::Error::Withheld { .. }), _) => {}
        }
    }

    /// Whether this host reaches no endpoint.
    pub(crate) fn is_detached(&self) -> bool {
        *self.is_detached.borrow()
    }

    /// Returns the state, to wait for its changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<bool> {
        self.is_detached.clone()
    }

    /// Returns a handle to a state that no task changes.
    #[cfg(test)]
    pub(crate) fn with_state(is_detached: watch::Receiver<bool>) -> Self {
        let (reports, _) = mpsc::unbounded_channel();
        Self {
            reports,
            is_detached,
        }
    }

    fn record(&self, endpoint: &id::Endpoint, seen: Seen) {
        let report = Report {
            endpoint: endpoint.clone(),
            seen,
        };
        if self.reports.send(report).is_err() {
            log::debug!(endpoint:%; "the host stops; the way to endpoints is no longer observed");
        }
    }
}

/// Returns a handle, and the task that owns the state; probes send `question`.
pub(crate) fn start(
    question: Request<Bytes>,
    endpoints: watch::Receiver<Vec<Endpoint>>,
    neighbours: watch::Receiver<Neighbours>,
    metrics: Metrics,
) -> (Handle, impl Future<Output = ()>) {
    let (reports, queue) = mpsc::unbounded_channel();
    let (state, is_detached) = watch::channel(false);
    metrics.detached(false);
    let observer = Observer {
        question,
        uplink: Uplink::new(rand::random()),
        started: Instant::now(),
        endpoints,
        neighbours,
        outcomes: JoinSet::new(),
        state,
        metrics,
    };
    let handle = Handle {
        reports,
        is_detached,
    };
    (handle, observer.run(queue))
}

/// What was found out about the network.
enum Outcome {
    Probed { probe: Probe, is_answered: bool },
    Compared(Comparison),
}

struct Observer {
    /// What endpoints are asked by probes.
    question: Request<Bytes>,
    uplink: Uplink,
    started: Instant,
    endpoints: watch::Receiver<Vec<Endpoint>>,
    neighbours: watch::Receiver<Neighbours>,
    /// Probes and comparisons without an outcome.
    outcomes: JoinSet<Outcome>,
    state: watch::Sender<bool>,
    metrics: Metrics,
}

impl Observer {
    /// Runs until all handles are dropped.
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Report>) {
        let mut change = self.update_targets();
        loop {
            self.publish(change.take());
            self.start_probes();
            let due = self.uplink.next_probe();
            let pause = due.map_or(Duration::MAX, |due| due.saturating_sub(self.now()));
            change = tokio::select! {
                report = queue.recv() => {
                    let Some(report) = report else {
                        return;
                    };
                    let evidence = self.evidence(&report.seen);
                    self.uplink.record(&report.endpoint, evidence, self.now())
                }
                Some(Ok(outcome)) = self.outcomes.join_next() => self.record_outcome(&outcome),
                changed = self.endpoints.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.update_targets()
                }
                () = time::sleep(pause), if due.is_some() => None,
            };
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn evidence(&self, seen: &Seen) -> Evidence {
        match *seen {
            Seen::Unreachable => Evidence::Unreachable,
            Seen::Answer(opened) => Evidence::Answered {
                opened: opened.saturating_duration_since(self.started),
            },
            Seen::Silent { is_new } => Evidence::Silent { is_new },
        }
    }

    fn update_targets(&mut self) -> Option<Change> {
        let endpoints = self.endpoints.borrow_and_update();
        let listed = endpoints.iter().filter(|endpoint| !endpoint.leaving);
        let targets = listed.map(|endpoint| Target {
            endpoint: endpoint.id.clone(),
            zone: endpoint.zone.clone(),
        });
        let targets = targets.collect();
        drop(endpoints);
        self.uplink.set_targets(targets, self.now())
    }

    fn record_outcome(&mut self, outcome: &Outcome) -> Option<Change> {
        let now = self.now();
        match outcome {
            Outcome::Probed { probe, is_answered } => self.uplink.probed(probe, *is_answered, now),
            Outcome::Compared(comparison) => self.uplink.compared(*comparison, now),
        }
    }

    fn start_probes(&mut self) {
        let round = self.uplink.probes(self.now());
        if round.compares {
            let neighbours = self.neighbours.borrow().clone();
            self.outcomes
                .spawn(async move { Outcome::Compared(compare(&neighbours).await) });
        }
        for probe in round.probes {
            let address = self.address(&probe.endpoint);
            let question = self.question.clone();
            self.outcomes.spawn(async move {
                let is_answered = match address {
                    Some(address) => is_answered(address, question).await,
                    None => false,
                };
                Outcome::Probed { probe, is_answered }
            });
        }
    }

    fn address(&self, endpoint: &id::Endpoint) -> Option<SocketAddr> {
        let endpoints = self.endpoints.borrow();
        let found = endpoints.iter().find(|listed| listed.id == *endpoint)?;
        Some(found.address)
    }

    fn publish(&self, change: Option<Change>) {
        match change {
            None => return,
            Some(Change::Detached { failed, probes }) => {
                let names: Vec<&str> = failed.iter().map(id::Endpoint::as_str).collect();
                log::warn!(
                    failed:% = names.join(" "), probes;
                    "this host reaches no endpoint; check its network"
                );
            }
            Some(Change::Attached { after, probes }) => {
                log::info!(
                    detached_ms = millis(after), probes;
                    "this host reaches endpoints again"
                );
            }
        }
        let is_detached = self.uplink.is_detached();
        self.metrics.detached(is_detached);
        self.state.send_replace(is_detached);
    }
}

/// Connects to a few other hosts.
async fn compare(neighbours: &Neighbours) -> Comparison {
    if neighbours.are_counted && neighbours.takers.is_empty() {
        return Comparison::Alone;
    }
    let chosen = neighbours
        .takers
        .sample(&mut rand::rng(), COMPARED_HOSTS)
        .map(|peer| is_reached(peer.address));
    let mut connections: JoinSet<bool> = chosen.collect();
    while let Some(is_reached) = connections.join_next().await {
        if matches!(is_reached, Ok(true)) {
            return Comparison::Reached;
        }
    }
    Comparison::Unreachable
}

/// Whether a connection to a host can be established.
async fn is_reached(address: SocketAddr) -> bool {
    match dial::connect(address).await {
        Ok(_) => true,
        Err(error) => {
            log::debug!(address:%, error:%; "cannot connect to the host");
            false
        }
    }
}

/// Whether an endpoint answers on a new connection, whatever the answer is.
async fn is_answered(address: SocketAddr, question: Request<Bytes>) -> bool {
    match call::once(address, question, PROBE_BOUNDS).await {
        Ok(_) => true,
        Err(error) => {
            log::debug!(error:%; "probe without an answer");
            false
        }
    }
}

#[cfg(test)]
#[path = "uplink_test.rs"]
mod test;
