//! Looks into failures of requests at endpoints.

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
use super::news::News;
use super::{Known, Message, Parts};
use crate::dial;

/// Time after a failure within which the list may still show that the endpoint had
/// ended: a silent record lapses after some heartbeats.
const LISTED_WITHIN: Duration = Duration::from_secs(15);

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
    attempt: Attempt,
    until: Duration,
}

/// Looks into failures.
pub(super) struct Task {
    parts: Parts,
    known: Known,
    /// Requests that were open at runs that have ended, as far as this host knows.
    ended: HashMap<Run, Ended>,
    listed: HashMap<id::Endpoint, Listed>,
    /// Requests at endpoints that are being asked.
    asked: HashMap<Run, Vec<(Attempt, oneshot::Sender<()>)>>,
    questions: JoinSet<(Run, Shown)>,
    unclear: Vec<Unclear>,
}

impl Task {
    /// A task that no endpoint is known to.
    pub(super) fn new(parts: Parts, known: Known) -> Self {
        Self {
            parts,
            known,
            ended: HashMap::new(),
            listed: HashMap::new(),
            asked: HashMap::new(),
            questions: JoinSet::new(),
            unclear: Vec::new(),
        }
    }

    /// Runs for as long as there are requests.
    pub(super) async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
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
            Message::Silent(attempt) => {
                if let Some(run) = self.run_of(&attempt.endpoint) {
                    self.keep(run, attempt);
                }
            }
            Message::Broke(attempt, looked) => self.broke(attempt, looked),
        }
    }

    fn broke(&mut self, attempt: Attempt, looked: oneshot::Sender<()>) {
        let Some(run) = self.run_of(&attempt.endpoint) else {
            done(looked);
            return;
        };
        if self.ended.contains_key(&run) {
            self.ended(&run, vec![attempt], Evidence::Connection);
            done(looked);
            return;
        }
        let address = attempt.address;
        let waiting = self.asked.entry(run.clone()).or_default();
        waiting.push((attempt, looked));
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
        let (attempts, looked): (Vec<Attempt>, Vec<_>) = waiting.into_iter().unzip();
        if shown == Shown::Ended {
            self.ended(run, attempts, Evidence::Connection);
        } else {
            for attempt in attempts {
                self.keep(run.clone(), attempt);
            }
        }
        looked.into_iter().for_each(done);
    }

    /// Keeps a request until more is known of its endpoint.
    fn keep(&mut self, run: Run, attempt: Attempt) {
        if self.ended.contains_key(&run) || self.has_ended(&run) {
            self.ended(&run, vec![attempt], Evidence::List);
            return;
        }
        let until = self.parts.clock.now() + LISTED_WITHIN;
        self.unclear.push(Unclear {
            run,
            attempt,
            until,
        });
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
    fn ended(&mut self, run: &Run, mut attempts: Vec<Attempt>, shown_by: Evidence) {
        let now = self.parts.clock.now();
        let of_run = self.unclear.extract_if(.., |one| one.run == *run);
        attempts.extend(of_run.map(|one| one.attempt));
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
        for attempt in attempts {
            log::warn!(
                request:% = attempt.request, fingerprint:% = attempt.fingerprint,
                endpoint:% = run.endpoint, run = run.started.0, shown_by = shown_by.as_str(),
                begun = attempt.progress == Progress::Begun;
                "endpoint ended under a request"
            );
            self.known
                .ended(attempt.fingerprint, run, attempt.progress, now);
            ended.requests.push((attempt.fingerprint, attempt.progress));
        }
        let news = News::ended(run, &ended.requests);
        self.known.outbox.send(&news);
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
