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

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_routing::blame::{Effect, Progress, Run, Standing, Table};
use papayayard_routing::placement::{Endpoint, Placement};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use crate::attempt::Failure;
use crate::clock::Clock;
use crate::dial;
use crate::job::Job;
use crate::metrics::Metrics;

mod fold;
mod news;
mod write;

pub(crate) use fold::News as Fold;
pub(crate) use write::write;

use news::News;
use write::Letters;

/// Time after a failure within which the list may still show that the endpoint had
/// ended: a silent record lapses after some heartbeats.
const LISTED_WITHIN: Duration = Duration::from_secs(15);

/// A request at an endpoint that may have ended under it.
#[derive(Clone, Debug)]
struct Case {
    request: id::Request,
    fingerprint: Fingerprint,
    progress: Progress,
    endpoint: id::Endpoint,
    address: SocketAddr,
}

/// A request that is open at an endpoint. Where it is dropped before it was settled
/// its caller has left, and the endpoint may end under it all the same.
pub(crate) struct Open {
    ends: Ends,
    case: Option<Case>,
}

impl Open {
    /// Notes that an event of the answer has come.
    pub(crate) fn begun(&mut self) {
        if let Some(case) = &mut self.case {
            case.progress = Progress::Begun;
        }
    }

    /// Takes over that the endpoint has answered to the end.
    pub(crate) fn finished(mut self) {
        if let Some(case) = self.case.take() {
            self.ends.finished(case.fingerprint);
        }
    }

    /// Takes over that the endpoint gave no answer that can be used. Where the
    /// connection ended, waits until the endpoint was asked whether it lives.
    pub(crate) async fn failed(mut self, failure: Failure) {
        let Some(case) = self.case.take() else {
            return;
        };
        match failure {
            Failure::Broken => self.ends.broke(case).await,
            Failure::Silent => self.ends.tell(Message::Silent(case)),
            Failure::Unreachable | Failure::Refused | Failure::Mismatched | Failure::Foreign => {}
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if let Some(case) = self.case.take() {
            self.ends.tell(Message::Silent(case));
        }
    }
}

/// What the task is told.
enum Message {
    /// The connection ended before the answer; the sender hears once it was looked into.
    Broke(Case, oneshot::Sender<()>),
    /// No answer came in time, or the caller did not wait for it.
    Silent(Case),
}

/// Which requests are held responsible for the ends of endpoints, as this host knows.
#[derive(Clone)]
struct Known {
    table: Arc<Mutex<Table>>,
    clock: Clock,
    /// What other hosts are to be told.
    letters: Letters,
}

impl Known {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over that a run ended under a request.
    fn ended(&self, fingerprint: Fingerprint, run: &Run, progress: Progress, at: Duration) -> bool {
        let effect = self.table().ended(fingerprint, run, progress, at);
        match effect {
            Effect::Barred => {
                log::warn!(fingerprint:%, endpoint:% = run.endpoint; "requests like this one are barred");
            }
            Effect::Disputed => {
                log::info!(fingerprint:%; "a request that has finished since is barred by others");
                self.letters.send(&News::Cleared { fingerprint });
            }
            Effect::Suspected | Effect::Nothing => {}
        }
        effect != Effect::Nothing
    }
}

/// Watches over requests at endpoints, and tells whether one may run.
#[derive(Clone)]
pub(crate) struct Ends {
    messages: mpsc::UnboundedSender<Message>,
    known: Known,
}

impl Ends {
    /// Whether a request may run.
    pub(crate) fn standing(&self, fingerprint: Fingerprint) -> Standing {
        let now = self.known.clock.now();
        self.known.table().standing(fingerprint, now)
    }

    /// Notes a request that is sent to an endpoint.
    pub(crate) fn open(&self, job: &Job, placement: &Placement, progress: Progress) -> Open {
        Open {
            ends: self.clone(),
            case: Some(Case {
                request: job.id.clone(),
                fingerprint: job.fingerprint,
                progress,
                endpoint: placement.endpoint.clone(),
                address: placement.address,
            }),
        }
    }

    fn finished(&self, fingerprint: Fingerprint) {
        let now = self.known.clock.now();
        if self.known.table().finished(fingerprint, now) {
            log::info!(fingerprint:%; "a request that was barred has finished");
            self.known.letters.send(&News::Cleared { fingerprint });
        }
    }

    /// What other hosts tell.
    pub(crate) fn fold(&self) -> Fold {
        Fold::new(self.known.clone())
    }

    async fn broke(&self, case: Case) {
        let (looked, seen) = oneshot::channel();
        self.tell(Message::Broke(case, looked));
        if seen.await.is_err() {
            log::debug!("the host ends before an endpoint was looked at");
        }
    }

    fn tell(&self, message: Message) {
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
pub(crate) fn start(parts: Parts) -> (Ends, impl Future<Output = ()>, write::Outbox) {
    let (sender, messages) = mpsc::unbounded_channel();
    let (letters, written) = Letters::new(&parts.host);
    let known = Known {
        table: Arc::default(),
        clock: parts.clock,
        letters,
    };
    let task = Task {
        parts,
        known: known.clone(),
        ended: HashMap::new(),
        listed: HashMap::new(),
        asked: HashMap::new(),
        questions: JoinSet::new(),
        unclear: Vec::new(),
    };
    let ends = Ends {
        messages: sender,
        known,
    };
    (ends, task.run(messages), written)
}

/// An endpoint as it was listed last.
struct Listed {
    started: id::Incarnation,
    leaving: bool,
    /// When it went from the list.
    gone: Option<Duration>,
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

/// What showed that a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// It refused a connection.
    Connection,
    /// It is listed no more, or another run is.
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

/// Requests of this host that were open at a run as it ended.
struct Ended {
    at: Duration,
    /// Whether it is the list that showed it, which may have been wrong.
    by_list: bool,
    requests: Vec<(Fingerprint, Progress)>,
}

/// A request of which it is not known whether its endpoint ended under it.
struct Unclear {
    run: Run,
    case: Case,
    until: Duration,
}

struct Task {
    parts: Parts,
    known: Known,
    /// Requests that were open at runs that have ended, as far as this host knows.
    ended: HashMap<Run, Ended>,
    listed: HashMap<id::Endpoint, Listed>,
    /// Requests at endpoints that are being asked.
    asked: HashMap<Run, Vec<(Case, oneshot::Sender<()>)>>,
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
            Message::Silent(case) => {
                if let Some(run) = self.run_of(&case.endpoint) {
                    self.keep(run, case);
                }
            }
            Message::Broke(case, looked) => self.broke(case, looked),
        }
    }

    fn broke(&mut self, case: Case, looked: oneshot::Sender<()>) {
        let Some(run) = self.run_of(&case.endpoint) else {
            done(looked);
            return;
        };
        if self.ended.contains_key(&run) {
            self.ended(&run, vec![case], Evidence::Connection);
            done(looked);
            return;
        }
        let address = case.address;
        let waiting = self.asked.entry(run.clone()).or_default();
        waiting.push((case, looked));
        if waiting.len() == 1 {
            self.questions
                .spawn(async move { (run, ask(address).await) });
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
        let (cases, looked): (Vec<Case>, Vec<_>) = waiting.into_iter().unzip();
        if shown == Shown::Ended {
            self.ended(run, cases, Evidence::Connection);
        } else {
            for case in cases {
                self.keep(run.clone(), case);
            }
        }
        looked.into_iter().for_each(done);
    }

    /// Keeps a request until more is known of its endpoint.
    fn keep(&mut self, run: Run, case: Case) {
        if self.ended.contains_key(&run) || self.has_ended(&run) {
            self.ended(&run, vec![case], Evidence::List);
            return;
        }
        let until = self.parts.clock.now() + LISTED_WITHIN;
        self.unclear.push(Unclear { run, case, until });
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
        // Records lapse too where endpoints only cannot reach the store.
        let listed = &self.listed;
        self.ended.retain(|run, ended| {
            let is_back = listed
                .get(&run.endpoint)
                .is_some_and(|one| one.gone.is_none() && one.started == run.started);
            !(ended.by_list && is_back)
        });
        self.unclear.retain(|one| now < one.until);
        let ended = self.unclear.iter().map(|one| &one.run);
        let ended: HashSet<Run> = ended.filter(|run| self.has_ended(run)).cloned().collect();
        for run in ended {
            self.ended(&run, Vec::new(), Evidence::List);
        }
    }

    /// Notes that a run has ended under requests, and tells all hosts.
    fn ended(&mut self, run: &Run, mut cases: Vec<Case>, shown_by: Evidence) {
        let now = self.parts.clock.now();
        let of_run = self.unclear.extract_if(.., |one| one.run == *run);
        cases.extend(of_run.map(|one| one.case));
        self.ended.retain(|_, ended| now < ended.at + LISTED_WITHIN);
        let metrics = &self.parts.metrics;
        let ended = self.ended.entry(run.clone()).or_insert_with(|| {
            metrics.ended(shown_by.as_str());
            Ended {
                at: now,
                by_list: shown_by == Evidence::List,
                requests: Vec::new(),
            }
        });
        for case in cases {
            log::warn!(
                request:% = case.request, fingerprint:% = case.fingerprint,
                endpoint:% = run.endpoint, run = run.started.0, shown_by = shown_by.as_str(),
                begun = case.progress == Progress::Begun;
                "endpoint ended under a request"
            );
            self.known.ended(case.fingerprint, run, case.progress, now);
            ended.requests.push((case.fingerprint, case.progress));
        }
        let news = News::ended(run, &ended.requests);
        self.known.letters.send(&news);
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
