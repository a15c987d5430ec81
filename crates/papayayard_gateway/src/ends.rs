//! Detects whether an endpoint crashed while requests were open there.
//!
//! A connection reset, an order that cuts streams and a crash look alike to the request.
//! The endpoint is therefore probed with a new connection, which a crashed process
//! refuses. If the probe is inconclusive, the endpoint list decides some seconds later: a
//! run that disappears from it without a leave notice has crashed. One task does this for
//! all requests of the host, so that an endpoint with many open requests is probed once.
//!
//! Crashes are reported to all hosts through a topic of the platform's log, which also
//! serves hosts that start later. A host that cannot write keeps its reports and writes
//! them later.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_routing::blame::{Effect, Progress, Quarantine, Run, Subjects, Table};
use papayayard_routing::placement::{Endpoint, Placement};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use tokio::sync::{mpsc, oneshot, watch};

use crate::backoff::Backoffs;
use crate::clock::Clock;
use crate::exchange::Codec;
use crate::job::Job;
use crate::metrics::Metrics;

mod attempt;
mod cleared;
mod fold;
mod probe;
mod report;
mod runs;
mod task;
mod waiting;
mod write;

pub(crate) use attempt::Watch;
pub(crate) use fold::Reports;
pub(crate) use write::write;

use attempt::Attempt;
use report::Report;
use task::Task;
use write::Outbox;

/// Maximum number of parts of prompts that a log line names.
const MAX_LOGGED_PARTS: usize = 16;

/// Message to the task that investigates failed requests.
enum Message {
    /// The connection broke before the answer was complete, or ended an answer without a
    /// length; the sender is notified after the investigation.
    Disconnected(Attempt, Ending, oneshot::Sender<ProbeOutcome>),
    /// No answer came in time, or the caller stopped waiting.
    Unanswered(Attempt),
    /// A request has completed with parts of prompts that other hosts may suspect.
    Cleared {
        fingerprint: Fingerprint,
        parts: Vec<Fingerprint>,
    },
}

/// How an answer ended with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Ending {
    /// Before it was complete.
    Broken,
    /// It has no length, and may be complete.
    Closed,
}

/// What a probe shows of the run that a request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    /// The run lives, or a process that names no run accepts connections.
    Accepted,
    /// No process listens at the address.
    Refused,
    /// Another run has the address.
    Replaced,
    /// Connections time out or fail for another reason.
    Inconclusive,
}

impl ProbeOutcome {
    /// Whether the run has ended.
    const fn has_ended(self) -> bool {
        matches!(self, Self::Refused | Self::Replaced)
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "lives",
            Self::Refused => "ended",
            Self::Replaced => "replaced",
            Self::Inconclusive => "nothing",
        }
    }
}

/// State shared by request handlers, the task and the reducer. The table tracks which
/// requests are held responsible for endpoint crashes.
#[derive(Clone)]
struct Shared {
    table: Arc<Mutex<Table>>,
    clock: Clock,
    metrics: Metrics,
    /// Queue of reports to the other hosts.
    outbox: Outbox,
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a run crashed while it processed the request.
    fn record_crash(&self, fingerprint: Fingerprint, run: &Run, progress: Progress, at: Duration) {
        let effect = self.table().record_crash(fingerprint, run, progress, at);
        match effect {
            Effect::Quarantined => {
                self.metrics.quarantined();
                log::warn!(fingerprint:%, endpoint:% = run.endpoint; "requests like this one are quarantined");
            }
            Effect::Disputed => {
                log::info!(fingerprint:%; "other hosts quarantine a request that has finished since; reporting it as cleared");
                self.outbox.send(&Report::Cleared {
                    fingerprint,
                    parts: Vec::new(),
                });
            }
            Effect::Suspected | Effect::Unchanged => {}
        }
    }

    /// Records that a run crashed while it processed requests with these parts; `at` is when
    /// the report arrived, or `None` if it may be old.
    fn record_part_crashes(
        &self,
        parts: &[Fingerprint],
        run: &Run,
        (at, now): (Option<Duration>, Duration),
    ) {
        let mut table = self.table();
        for part in parts {
            table.record_part_crash(*part, run, at, now);
        }
        let groups = table.announce(parts, now);
        drop(table);
        for group in groups {
            self.metrics.part_quarantined();
            let names = group.iter().take(MAX_LOGGED_PARTS).map(ToString::to_string);
            let names: Vec<String> = names.collect();
            log::warn!(parts = names.join(",").as_str(), endpoint:% = run.endpoint; "prompts with these parts are quarantined");
        }
    }
}

/// Tracks requests at endpoints and decides whether a request may run.
#[derive(Clone)]
pub(crate) struct CrashTracker {
    messages: mpsc::UnboundedSender<Message>,
    shared: Shared,
}

impl CrashTracker {
    /// Returns the quarantine of a request, if any.
    pub(crate) fn quarantine(&self, subjects: &Subjects) -> Option<Quarantine> {
        let now = self.shared.clock.now();
        self.shared.table().quarantine(subjects, now)
    }

    /// Starts tracking a request that is about to be sent to an endpoint.
    pub(crate) fn watch(&self, job: &Job, placement: &Placement, progress: Progress) -> Watch {
        Watch::new(self.clone(), Attempt::new(job, placement, progress))
    }

    fn finished(&self, fingerprint: Fingerprint) {
        let now = self.shared.clock.now();
        if self.shared.table().record_success(fingerprint, now) {
            log::info!(fingerprint:%; "quarantined request has finished; lifting the quarantine");
            self.shared.outbox.send(&Report::Cleared {
                fingerprint,
                parts: Vec::new(),
            });
        }
    }

    /// Records that a request with these parts in its prompt has completed.
    fn succeeded(&self, subjects: &Subjects) {
        if subjects.parts.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let mut table = self.shared.table();
        let parts = table.record_part_successes(&subjects.parts, now);
        drop(table);
        if !parts.is_empty() {
            let fingerprint = subjects.request;
            self.send(Message::Cleared { fingerprint, parts });
        }
    }

    /// Returns the reducer for the reports of all hosts.
    pub(crate) fn reducer(&self) -> Reports {
        Reports::new(self.shared.clone())
    }

    /// Probes the endpoint of a request whose connection has closed.
    async fn investigate(&self, attempt: Attempt, ending: Ending) -> ProbeOutcome {
        let (checked, done) = oneshot::channel();
        self.send(Message::Disconnected(attempt, ending, checked));
        done.await.unwrap_or_else(|_| {
            log::debug!("host shut down before a failed request was investigated");
            ProbeOutcome::Inconclusive
        })
    }

    fn send(&self, message: Message) {
        if self.messages.send(message).is_err() {
            log::error!(
                "the task that investigates endpoint crashes has stopped; restart the host"
            );
        }
    }
}

/// Dependencies of the task.
pub(crate) struct Parts<Platform> {
    pub(crate) host: id::Host,
    pub(crate) clock: Clock,
    pub(crate) codec: Platform,
    /// Backoffs that endpoints have requested.
    pub(crate) backoffs: Backoffs,
    pub(crate) endpoints: watch::Receiver<Vec<Endpoint>>,
    pub(crate) metrics: Metrics,
}

/// Returns the tracker, the task that investigates failures, and the queue of reports to
/// be written.
pub(crate) fn start<Platform>(
    parts: Parts<Platform>,
) -> (CrashTracker, impl Future<Output = ()>, write::Queue)
where
    Platform: Codec,
{
    let (sender, messages) = mpsc::unbounded_channel();
    let (outbox, queue) = Outbox::new(&parts.host);
    let shared = Shared {
        table: Arc::default(),
        clock: parts.clock,
        metrics: parts.metrics.clone(),
        outbox,
    };
    let task = Task::new(parts, shared.clone());
    let tracker = CrashTracker {
        messages: sender,
        shared,
    };
    (tracker, task.run(messages), queue)
}
