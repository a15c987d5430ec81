//! Finds out whether an endpoint has ended under the requests that broke off there.
//!
//! A connection that was reset, an order that breaks streams off and a process that
//! has ended look alike to the request. So the endpoint is asked for a connection: a
//! process that has ended refuses it. Where that tells nothing, the list of endpoints
//! does some seconds later: a run that goes from it without having said that it leaves
//! has ended. One task does this for all requests of the host, so that an endpoint
//! with many open requests is asked once.
//!
//! What was seen is told to all hosts by the platform's log, where hosts that start
//! later find it. A host that cannot write keeps what it has seen for itself and
//! writes it later.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_routing::blame::{Effect, Progress, Run, Standing, Table};
use papayayard_routing::placement::{Endpoint, Placement};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::Clock;
use crate::job::Job;
use crate::metrics::Metrics;

mod attempt;
mod fold;
mod report;
mod task;
mod write;

pub(crate) use attempt::Watch;
pub(crate) use fold::Reports;
pub(crate) use write::write;

use attempt::Attempt;
use report::Report;
use task::Task;
use write::Outbox;

/// What the task is told.
enum Message {
    /// The connection ended before the answer; the sender hears once it was looked into.
    Disconnected(Attempt, oneshot::Sender<()>),
    /// No answer came in time, or the caller did not wait for it.
    Unanswered(Attempt),
}

/// Which requests are held responsible for the ends of endpoints, as this host knows.
#[derive(Clone)]
struct Shared {
    table: Arc<Mutex<Table>>,
    clock: Clock,
    metrics: Metrics,
    /// What other hosts are to be told.
    outbox: Outbox,
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over that a run ended under a request.
    fn record_crash(&self, fingerprint: Fingerprint, run: &Run, progress: Progress, at: Duration) {
        let effect = self.table().ended(fingerprint, run, progress, at);
        match effect {
            Effect::Quarantined => {
                self.metrics.quarantined();
                log::warn!(fingerprint:%, endpoint:% = run.endpoint; "requests like this one are quarantined");
            }
            Effect::Disputed => {
                log::info!(fingerprint:%; "a request that has finished since is quarantined by others");
                self.outbox.send(&Report::Cleared { fingerprint });
            }
            Effect::Suspected | Effect::Nothing => {}
        }
    }
}

/// Watches over requests at endpoints, and tells whether one may run.
#[derive(Clone)]
pub(crate) struct CrashTracker {
    messages: mpsc::UnboundedSender<Message>,
    shared: Shared,
}

impl CrashTracker {
    /// Whether a request may run.
    pub(crate) fn status(&self, fingerprint: Fingerprint) -> Standing {
        let now = self.shared.clock.now();
        self.shared.table().standing(fingerprint, now)
    }

    /// Notes a request that is sent to an endpoint.
    pub(crate) fn watch(&self, job: &Job, placement: &Placement, progress: Progress) -> Watch {
        Watch::new(self.clone(), Attempt::new(job, placement, progress))
    }

    fn finished(&self, fingerprint: Fingerprint) {
        let now = self.shared.clock.now();
        if self.shared.table().finished(fingerprint, now) {
            log::info!(fingerprint:%; "a request that was quarantined has finished");
            self.shared.outbox.send(&Report::Cleared { fingerprint });
        }
    }

    /// What other hosts tell.
    pub(crate) fn reducer(&self) -> Reports {
        Reports::new(self.shared.clone())
    }

    async fn investigate(&self, attempt: Attempt) {
        let (checked, done) = oneshot::channel();
        self.send(Message::Disconnected(attempt, checked));
        if done.await.is_err() {
            log::debug!("the host ends before an endpoint was looked at");
        }
    }

    fn send(&self, message: Message) {
        if self.messages.send(message).is_err() {
            log::error!("the task that looks at endpoints has ended; restart the host");
        }
    }
}

/// What the task is made of.
pub(crate) struct Parts {
    pub(crate) host: id::Host,
    pub(crate) clock: Clock,
    pub(crate) endpoints: watch::Receiver<Vec<Endpoint>>,
    pub(crate) metrics: Metrics,
}

/// A watch over requests, the task that looks into failures, and what is to be written.
pub(crate) fn start(parts: Parts) -> (CrashTracker, impl Future<Output = ()>, write::Queue) {
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
