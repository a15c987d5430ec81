//! Finds out whether an endpoint has ended under the requests that broke off there.
//!
//! A connection that was reset, an order that breaks streams off and a process that
//! has ended look alike to the request. So the endpoint is asked for a connection: a
//! process that has ended refuses it. Where that tells nothing, the list of endpoints
//! does some seconds later: a run that goes from it without having said that it leaves
//! has ended. One task does this for all requests of the host, so that an endpoint
//! with many open requests is asked once.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_routing::placement::{Endpoint, Placement};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::dial;
use crate::job::Job;
use crate::metrics::Metrics;

/// Time after a break within which the list may still show that the endpoint had
/// ended: a silent record lapses after some heartbeats.
const LISTED_WITHIN: Duration = Duration::from_secs(15);

/// How far a request had come as its answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Nothing of its answer had come.
    Waiting,
    /// Events had come, from this endpoint or one before.
    Begun,
}

/// A request whose answer broke off.
#[derive(Clone, Debug)]
pub(crate) struct Break {
    request: id::Request,
    fingerprint: Fingerprint,
    progress: Progress,
    endpoint: id::Endpoint,
    address: SocketAddr,
}

impl Break {
    /// A request that broke off where it had been placed.
    pub(crate) fn new(job: &Job, placement: &Placement, progress: Progress) -> Self {
        Self {
            request: job.id.clone(),
            fingerprint: job.fingerprint,
            progress,
            endpoint: placement.endpoint.clone(),
            address: placement.address,
        }
    }
}

/// What the task is told.
enum Message {
    /// The connection ended before the answer; the sender hears once it was looked into.
    Broke(Break, oneshot::Sender<()>),
    /// No answer came in time.
    Silent(Break),
}

/// Tells of requests that broke off.
#[derive(Clone)]
pub(crate) struct Ends {
    messages: mpsc::UnboundedSender<Message>,
}

impl Ends {
    /// Tells of an answer whose connection ended, and waits until its endpoint was
    /// asked whether it lives.
    pub(crate) async fn broke(&self, broke: Break) {
        let (looked, seen) = oneshot::channel();
        self.tell(Message::Broke(broke, looked));
        if seen.await.is_err() {
            log::debug!("the host ends before an endpoint was looked at");
        }
    }

    /// Tells of a request that got no answer in time.
    pub(crate) fn silent(&self, broke: Break) {
        self.tell(Message::Silent(broke));
    }

    fn tell(&self, message: Message) {
        if self.messages.send(message).is_err() {
            log::error!("the task that looks at endpoints has ended; restart the host");
        }
    }
}

/// What the task is made of.
pub(crate) struct Parts {
    pub(crate) clock: Clock,
    pub(crate) endpoints: watch::Receiver<Vec<Endpoint>>,
    pub(crate) metrics: Metrics,
}

/// A way to tell of breaks, and the task that looks into them.
pub(crate) fn start(parts: Parts) -> (Ends, impl Future<Output = ()>) {
    let (sender, messages) = mpsc::unbounded_channel();
    let task = Task {
        parts,
        listed: HashMap::new(),
        asked: HashMap::new(),
        questions: JoinSet::new(),
        unclear: Vec::new(),
    };
    (Ends { messages: sender }, task.run(messages))
}

/// An endpoint as it was listed last.
struct Listed {
    started: id::Incarnation,
    leaving: bool,
    /// When it went from the list.
    gone: Option<Duration>,
}

/// One run of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Run {
    endpoint: id::Endpoint,
    started: id::Incarnation,
}

/// What a question for a connection has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shown {
    /// Something accepts connections there.
    Lives,
    /// Nothing does.
    Ended,
    /// There was no answer.
    Nothing,
}

impl Shown {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Lives => "lives",
            Self::Ended => "ended",
            Self::Nothing => "nothing",
        }
    }
}

/// A break that a question did not explain.
struct Unclear {
    run: Run,
    broke: Break,
    until: Duration,
}

struct Task {
    parts: Parts,
    listed: HashMap<id::Endpoint, Listed>,
    /// Breaks at endpoints that are being asked.
    asked: HashMap<Run, Vec<(Break, oneshot::Sender<()>)>>,
    questions: JoinSet<(Run, Shown)>,
    unclear: Vec<Unclear>,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        self.take_list();
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    self.take(message);
                }
                Some(answer) = self.questions.join_next() => match answer {
                    Ok((run, shown)) => self.answered(&run, shown),
                    Err(error) => log::error!(error:%; "a question to an endpoint was lost"),
                },
                changed = self.parts.endpoints.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.take_list();
                }
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Silent(broke) => {
                if let Some(run) = self.run_of(&broke.endpoint) {
                    self.keep(run, broke);
                }
            }
            Message::Broke(broke, looked) => {
                let Some(run) = self.run_of(&broke.endpoint) else {
                    done(looked);
                    return;
                };
                let address = broke.address;
                let waiting = self.asked.entry(run.clone()).or_default();
                waiting.push((broke, looked));
                if waiting.len() == 1 {
                    self.questions
                        .spawn(async move { (run, ask(address).await) });
                }
            }
        }
    }

    /// The run that has an endpoint's name; none where it has said that it leaves, or
    /// is not known.
    fn run_of(&self, endpoint: &id::Endpoint) -> Option<Run> {
        let listed = self.listed.get(endpoint).filter(|listed| !listed.leaving)?;
        Some(Run {
            endpoint: endpoint.clone(),
            started: listed.started,
        })
    }

    fn answered(&mut self, run: &Run, shown: Shown) {
        let waiting = self.asked.remove(run).unwrap_or_default();
        log::info!(
            endpoint:% = run.endpoint, shown = shown.as_str(), requests = waiting.len();
            "endpoint asked whether it lives"
        );
        let (breaks, looked): (Vec<Break>, Vec<_>) = waiting.into_iter().unzip();
        if shown == Shown::Ended {
            self.ended(run, breaks, "connection");
        } else {
            for broke in breaks {
                self.keep(run.clone(), broke);
            }
        }
        looked.into_iter().for_each(done);
    }

    /// Keeps a break until the list shows more.
    fn keep(&mut self, run: Run, broke: Break) {
        if self.has_ended(&run) {
            self.ended(&run, vec![broke], "list");
            return;
        }
        let until = self.parts.clock.now() + LISTED_WITHIN;
        self.unclear.push(Unclear { run, broke, until });
    }

    /// Whether the list shows that a run has ended.
    fn has_ended(&self, run: &Run) -> bool {
        let listed = self.listed.get(&run.endpoint);
        listed.is_none_or(|listed| {
            let is_gone = listed.gone.is_some() || listed.started != run.started;
            is_gone && !listed.leaving
        })
    }

    fn take_list(&mut self) {
        let now = self.parts.clock.now();
        let list = self.parts.endpoints.borrow_and_update().clone();
        for listed in self.listed.values_mut() {
            listed.gone.get_or_insert(now);
        }
        for endpoint in list {
            let listed = Listed {
                started: endpoint.started,
                leaving: endpoint.leaving,
                gone: None,
            };
            self.listed.insert(endpoint.id, listed);
        }
        self.listed
            .retain(|_, listed| listed.gone.is_none_or(|at| now < at + LISTED_WITHIN));
        let (ended, mut unclear): (Vec<Unclear>, Vec<Unclear>) = std::mem::take(&mut self.unclear)
            .into_iter()
            .partition(|one| self.has_ended(&one.run));
        unclear.retain(|one| now < one.until);
        self.unclear = unclear;
        let mut by_run: HashMap<Run, Vec<Break>> = HashMap::new();
        for one in ended {
            by_run.entry(one.run).or_default().push(one.broke);
        }
        for (run, breaks) in by_run {
            self.ended(&run, breaks, "list");
        }
    }

    /// Notes that a run has ended under requests.
    fn ended(&mut self, run: &Run, breaks: Vec<Break>, shown_by: &'static str) {
        self.parts.metrics.ended(shown_by);
        for broke in breaks {
            log::warn!(
                request:% = broke.request, fingerprint:% = broke.fingerprint,
                endpoint:% = run.endpoint, run = run.started.0, shown_by,
                begun = broke.progress == Progress::Begun;
                "endpoint ended under a request"
            );
        }
    }
}

/// Lets a request go on.
fn done(looked: oneshot::Sender<()>) {
    if looked.send(()).is_err() {
        log::debug!("the request has ended before its endpoint was looked at");
    }
}

/// Asks an address for a connection, and closes it.
async fn ask(address: SocketAddr) -> Shown {
    match dial::connect(address).await {
        Ok(_) => Shown::Lives,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Shown::Ended,
        Err(error) => {
            log::debug!(address:%, error:%; "no connection to ask for");
            Shown::Nothing
        }
    }
}
