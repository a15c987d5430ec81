//! The task that investigates failures of requests at endpoints.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_routing::blame::{Progress, Run};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::attempt::Attempt;
use super::report::Report;
use super::{Message, Parts, Shared};
use crate::dial;

/// Time after a failure within which the endpoint list may still reveal a crash: the
/// record of a crashed endpoint expires after some missed heartbeats.
const LISTING_WINDOW: Duration = Duration::from_secs(15);

/// An endpoint as last seen in the list.
struct Listed {
    started: id::Incarnation,
    leaving: bool,
    /// When the endpoint disappeared from the list.
    removed_at: Option<Duration>,
}

/// Result of a connection attempt to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    /// The address accepts connections.
    Accepted,
    /// No process listens at the address.
    Refused,
    /// The attempt timed out or failed for another reason.
    Inconclusive,
}

impl ProbeOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "lives",
            Self::Refused => "ended",
            Self::Inconclusive => "nothing",
        }
    }
}

/// What revealed that a run has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// The endpoint refused a connection.
    Connection,
    /// The endpoint is no longer listed, or is listed with a newer run.
    List,
}

impl Evidence {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::List => "list",
        }
    }
}

/// A crashed run and the requests of this host that were open there.
struct Crash {
    at: Duration,
    /// Whether the list alone revealed the crash; it may have been wrong.
    shown_by_list: bool,
    requests: Vec<(Fingerprint, Progress)>,
}

/// A failed request whose endpoint may have crashed.
struct Suspect {
    run: Run,
    attempt: Attempt,
    until: Duration,
}

pub(super) struct Task {
    parts: Parts,
    shared: Shared,
    /// Runs that have crashed, as far as this host knows.
    crashes: HashMap<Run, Crash>,
    listed: HashMap<id::Endpoint, Listed>,
    /// Failed requests by the run that is being probed for them.
    probed: HashMap<Run, Vec<(Attempt, oneshot::Sender<()>)>>,
    probes: JoinSet<(Run, ProbeOutcome)>,
    suspects: Vec<Suspect>,
}

impl Task {
    pub(super) fn new(parts: Parts, shared: Shared) -> Self {
        Self {
            parts,
            shared,
            crashes: HashMap::new(),
            listed: HashMap::new(),
            probed: HashMap::new(),
            probes: JoinSet::new(),
            suspects: Vec::new(),
        }
    }

    /// Runs until all senders of messages or the endpoint list are dropped.
    pub(super) async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        self.update_list();
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                Some(answer) = self.probes.join_next() => match answer {
                    Ok((run, outcome)) => self.probe_finished(&run, outcome),
                    Err(error) => log::error!(error:%; "the task probing an endpoint failed"),
                },
                changed = self.parts.endpoints.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.update_list();
                }
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Unanswered(attempt) => {
                if let Some(run) = self.run_of(&attempt.endpoint) {
                    self.defer(run, attempt);
                }
            }
            Message::Disconnected(attempt, checked) => self.probe(attempt, checked),
        }
    }

    fn probe(&mut self, attempt: Attempt, checked: oneshot::Sender<()>) {
        let Some(run) = self.run_of(&attempt.endpoint) else {
            release(checked);
            return;
        };
        if self.crashes.contains_key(&run) {
            self.record_crash(&run, vec![attempt], Evidence::Connection);
            release(checked);
            return;
        }
        let address = attempt.address;
        let waiting = self.probed.entry(run.clone()).or_default();
        waiting.push((attempt, checked));
        if waiting.len() == 1 {
            self.probes
                .spawn(async move { (run, probe_address(address).await) });
        }
    }

    /// Returns the endpoint's current run, or `None` if the endpoint is unknown or has
    /// announced that it leaves.
    fn run_of(&self, endpoint: &id::Endpoint) -> Option<Run> {
        let listed = self.listed.get(endpoint).filter(|listed| !listed.leaving)?;
        Some(Run {
            endpoint: endpoint.clone(),
            started: listed.started,
        })
    }

    fn probe_finished(&mut self, run: &Run, outcome: ProbeOutcome) {
        let waiting = self.probed.remove(run).unwrap_or_default();
        log::info!(
            endpoint:% = run.endpoint, shown = outcome.as_str(), requests = waiting.len();
            "endpoint asked whether it lives"
        );
        let (attempts, checked): (Vec<Attempt>, Vec<_>) = waiting.into_iter().unzip();
        if outcome == ProbeOutcome::Refused {
            self.record_crash(run, attempts, Evidence::Connection);
        } else {
            for attempt in attempts {
                self.defer(run.clone(), attempt);
            }
        }
        checked.into_iter().for_each(release);
    }

    /// Keeps a failed request until the list shows whether the endpoint has crashed.
    fn defer(&mut self, run: Run, attempt: Attempt) {
        if self.crashes.contains_key(&run) || self.list_shows_crash(&run) {
            self.record_crash(&run, vec![attempt], Evidence::List);
            return;
        }
        let until = self.parts.clock.now() + LISTING_WINDOW;
        self.suspects.push(Suspect {
            run,
            attempt,
            until,
        });
    }

    /// Whether the list shows that a run has crashed.
    fn list_shows_crash(&self, run: &Run) -> bool {
        let listed = self.listed.get(&run.endpoint);
        listed.is_none_or(|listed| {
            let is_gone = listed.removed_at.is_some() || listed.started != run.started;
            is_gone && !listed.leaving
        })
    }

    fn update_list(&mut self) {
        let now = self.parts.clock.now();
        let list = self.parts.endpoints.borrow_and_update().clone();
        for listed in self.listed.values_mut() {
            listed.removed_at.get_or_insert(now);
        }
        for endpoint in list {
            let listed = Listed {
                started: endpoint.started,
                leaving: endpoint.leaving,
                removed_at: None,
            };
            self.listed.insert(endpoint.id, listed);
        }
        self.listed
            .retain(|_, listed| listed.removed_at.is_none_or(|at| now < at + LISTING_WINDOW));
        // Records also expire while an endpoint is merely partitioned from the store, so
        // a listed run that returns has not crashed.
        let listed = &self.listed;
        self.crashes.retain(|run, crash| {
            let is_back = listed
                .get(&run.endpoint)
                .is_some_and(|listed| listed.removed_at.is_none() && listed.started == run.started);
            !(crash.shown_by_list && is_back)
        });
        self.suspects.retain(|suspect| now < suspect.until);
        let crashed = self.suspects.iter().map(|suspect| &suspect.run);
        let crashed: HashSet<Run> = crashed
            .filter(|run| self.list_shows_crash(run))
            .cloned()
            .collect();
        for run in crashed {
            self.record_crash(&run, Vec::new(), Evidence::List);
        }
    }

    /// Records that a run has crashed with the given and the deferred requests open, and
    /// reports it to all hosts.
    fn record_crash(&mut self, run: &Run, mut attempts: Vec<Attempt>, shown_by: Evidence) {
        let now = self.parts.clock.now();
        let of_run = self.suspects.extract_if(.., |suspect| suspect.run == *run);
        attempts.extend(of_run.map(|suspect| suspect.attempt));
        self.crashes
            .retain(|_, crash| now < crash.at + LISTING_WINDOW);
        let metrics = &self.parts.metrics;
        let crash = self.crashes.entry(run.clone()).or_insert_with(|| {
            metrics.crashed(shown_by.as_str());
            Crash {
                at: now,
                shown_by_list: shown_by == Evidence::List,
                requests: Vec::new(),
            }
        });
        for attempt in attempts {
            log::warn!(
                request:% = attempt.request, fingerprint:% = attempt.fingerprint,
                endpoint:% = run.endpoint, run = run.started.0, shown_by = shown_by.as_str(),
                begun = attempt.progress == Progress::Begun, parts:% = attempt.part_names();
                "endpoint ended under a request"
            );
            self.shared
                .record_crash(attempt.fingerprint, run, attempt.progress, now);
            crash.requests.push((attempt.fingerprint, attempt.progress));
        }
        let report = Report::crash(run, &crash.requests);
        self.shared.outbox.send(&report);
    }
}

/// Notifies a request that the investigation of its endpoint is done.
fn release(checked: oneshot::Sender<()>) {
    if checked.send(()).is_err() {
        log::debug!("the request ended before its endpoint was probed");
    }
}

/// Opens a connection to the address and closes it at once.
async fn probe_address(address: SocketAddr) -> ProbeOutcome {
    match dial::connect(address).await {
        Ok(_) => ProbeOutcome::Accepted,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        Err(error) => {
            log::debug!(address:%, error:%; "endpoint probe failed");
            ProbeOutcome::Inconclusive
        }
    }
}
