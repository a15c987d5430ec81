//! Finds out which version of the endpoints' software began a stream that a caller resumes.
//!
//! While several versions serve, or did lately, hosts tell a few others of each stream that
//! they begin, at once and in batches. When a second version is listed they tell of those that
//! are open, also to hosts that they choose later, and a host that stops hands over all of its
//! own. A host that is asked to resume a stream that it does not remember asks the same hosts,
//! and once more if others may only now have listed a new version. If no other host answers, it
//! goes by its own list only once a reading has confirmed that after the request came. Of a
//! stream whose version is unknown they tell too, and once more when it is known. The
//! decisions are made in `papayayard_coordination::origin`.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use papayayard_coordination::origin::{Backlog, Begun, Origins, Possible, Releases, Stream};
use papayayard_coordination::ranking::{self, Candidate};
use papayayard_coordination::shutdown::Stage;
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time;

use crate::beliefs::LastRead;
use crate::clock::Clock;
use crate::front::StopState;
use crate::host;
use crate::hosts::Neighbours;
use crate::job::Job;
use crate::metrics::Metrics;
use crate::peers;

/// Number of hosts of each zone that are told of streams, so that some of them outlast a
/// loss of several hosts.
const KEEPERS_PER_ZONE: usize = 3;
/// Number of hosts of other zones that are told.
const KEEPERS_ELSEWHERE: usize = 2;
/// Delay that groups streams to be told.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of streams in one call.
const MAX_BATCH: usize = 1024;
/// Time for an answer of another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest life of a stream, in timeouts of its route: a caller may try several times.
const LIFE_TIMEOUTS: u32 = 2;

/// A stream and the version that began it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Origin {
    stream: Stream,
    /// `None` if the version is unknown.
    software: Option<id::Software>,
}

impl From<&Begun> for Origin {
    fn from(begun: &Begun) -> Self {
        Self {
            stream: begun.stream,
            software: begun.software.clone(),
        }
    }
}

/// Question of a host for the version that began a stream.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Question {
    /// The stream, if the caller names it.
    stream: Option<Stream>,
    service: id::Service,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    life_ms: Duration,
}

/// Answer to a [`Question`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// Version that began the stream, if the host remembers it.
    began: Option<id::Software>,
    /// Versions that can have begun it.
    possible: Possible,
}

/// Remembers streams, and asks other hosts for those that it does not remember.
#[derive(Clone)]
pub(crate) struct Tracker(Arc<Shared>);

struct Shared {
    host: id::Host,
    clock: Clock,
    neighbours: watch::Receiver<Neighbours>,
    endpoints: watch::Receiver<Vec<Endpoint>>,
    /// When the reading was requested that the state goes by.
    confirmed: watch::Sender<LastRead>,
    metrics: Metrics,
    state: Mutex<State>,
    told: mpsc::UnboundedSender<Origin>,
}

#[derive(Default)]
struct State {
    origins: Origins,
    releases: Releases,
    /// Streams of this host.
    backlog: Backlog,
    /// Whether this host stops, so that others must know its streams.
    is_leaving: bool,
}

impl State {
    /// Versions that can have begun a stream of a service, as far as this host knows.
    fn possible(&self, service: &id::Service, life: Duration, now: Duration) -> Possible {
        let max_age = host::ENDPOINTS_POLLING.max_age();
        self.releases.possible(service, life, max_age, now)
    }
}

/// What hosts know of the version that began a stream.
enum Finding {
    Began(id::Software),
    /// Several versions can have begun it, or the hosts have just started.
    Unknown,
    /// A reading of the list of endpoints may tell.
    Unconfirmed,
}

/// Dependencies of the tracker.
pub(crate) struct Parts {
    pub(crate) host: id::Host,
    pub(crate) clock: Clock,
    pub(crate) neighbours: watch::Receiver<Neighbours>,
    pub(crate) endpoints: watch::Receiver<Vec<Endpoint>>,
    /// Request time of the newest reading of the endpoints.
    pub(crate) last_read: watch::Receiver<LastRead>,
    /// Stage of a planned stop.
    pub(crate) stop: watch::Receiver<StopState>,
    pub(crate) metrics: Metrics,
}

/// Returns the tracker, and the task that tells other hosts of streams.
pub(crate) fn start(parts: Parts) -> (Tracker, impl Future<Output = ()>) {
    let (told, queue) = mpsc::unbounded_channel();
    let tracker = Tracker(Arc::new(Shared {
        host: parts.host,
        clock: parts.clock,
        neighbours: parts.neighbours,
        endpoints: parts.endpoints,
        confirmed: watch::channel(None).0,
        metrics: parts.metrics,
        state: Mutex::default(),
        told,
    }));
    let teller = Teller {
        tracker: tracker.clone(),
        last_read: parts.last_read,
        clients: HashMap::new(),
        calls: JoinSet::new(),
    };
    let task = teller.run(queue, parts.stop);
    (tracker, task)
}

/// Tells other hosts of streams, and follows the list of endpoints and of hosts.
struct Teller {
    tracker: Tracker,
    last_read: watch::Receiver<LastRead>,
    clients: HashMap<SocketAddr, Arc<peers::Client>>,
    /// Calls to other hosts; one that does not answer delays no other.
    calls: JoinSet<()>,
}

impl Teller {
    /// Runs for as long as the process.
    async fn run(
        mut self,
        mut queue: mpsc::UnboundedReceiver<Origin>,
        mut stop: watch::Receiver<StopState>,
    ) {
        let mut last_read = self.last_read.clone();
        let mut neighbours = self.tracker.0.neighbours.clone();
        let mut keepers = self.tracker.keepers();
        let mut is_leaving = false;
        loop {
            tokio::select! {
                first = queue.recv() => {
                    let Some(first) = first else {
                        return;
                    };
                    let batch = take_batch(first, &mut queue).await;
                    self.tell(&keepers, batch);
                }
                Ok(()) = last_read.changed() => {
                    let requested_at = *last_read.borrow_and_update();
                    if self.tracker.update(requested_at) {
                        self.tell(&keepers, self.tracker.backlog());
                    }
                }
                Ok(()) = neighbours.changed() => {
                    let known: HashSet<_> = keepers.iter().map(|keeper| keeper.address).collect();
                    keepers = self.tracker.keepers();
                    let is_new = |keeper: &&Candidate| !known.contains(&keeper.address);
                    let new: Vec<Candidate> = keepers.iter().filter(is_new).cloned().collect();
                    self.tell(&new, self.tracker.backlog());
                }
                () = stopping(&mut stop), if !is_leaving => {
                    is_leaving = true;
                    self.tracker.leave();
                    self.tell(&keepers, self.tracker.backlog());
                }
                Some(_) = self.calls.join_next() => {}
                else => return,
            }
        }
    }

    fn tell(&mut self, keepers: &[Candidate], streams: Vec<Origin>) {
        if streams.is_empty() {
            return;
        }
        self.connect(keepers);
        let streams: Arc<[Origin]> = streams.into();
        for keeper in keepers {
            if let Some(client) = self.clients.get(&keeper.address) {
                let call = tell(
                    Arc::clone(client),
                    keeper.host.clone(),
                    Arc::clone(&streams),
                );
                self.calls.spawn(call);
            }
        }
    }

    /// Keeps a client for each keeper.
    fn connect(&mut self, keepers: &[Candidate]) {
        let current = self.tracker.keepers();
        let is_keeper = |address| current.iter().any(|keeper| keeper.address == address);
        self.clients.retain(|address, _| is_keeper(*address));
        for keeper in keepers {
            if !self.clients.contains_key(&keeper.address)
                && let Some(client) = client(keeper)
            {
                self.clients.insert(keeper.address, Arc::new(client));
            }
        }
    }
}

/// Tells a host of streams, in batches. Older releases take no batch with an unknown version.
async fn tell(client: Arc<peers::Client>, host: id::Host, streams: Arc<[Origin]>) {
    let (known, unknown): (Vec<Origin>, Vec<Origin>) = streams
        .iter()
        .cloned()
        .partition(|origin| origin.software.is_some());
    for batch in known.chunks(MAX_BATCH).chain(unknown.chunks(MAX_BATCH)) {
        if let Err(problem) = client.began(batch).await {
            log::info!(host:%, streams = streams.len(), problem:%; "a host was not told of streams");
            return;
        }
    }
}

/// Waits until this host stops.
async fn stopping(stop: &mut watch::Receiver<StopState>) {
    if stop
        .wait_for(|stop| stop.stage > Stage::Serving)
        .await
        .is_err()
    {
        log::debug!("host shut down without a planned stop");
    }
}

/// Collects the streams that follow the first one within the batch's delay.
async fn take_batch(first: Origin, queue: &mut mpsc::UnboundedReceiver<Origin>) -> Vec<Origin> {
    time::sleep(BATCH_DELAY).await;
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH
        && let Ok(next) = queue.try_recv()
    {
        batch.push(next);
    }
    batch
}

fn client(keeper: &Candidate) -> Option<peers::Client> {
    match peers::Client::with_timeout(keeper.address, CALL_TIMEOUT) {
        Ok(client) => Some(client),
        Err(problem) => {
            log::warn!(host:% = keeper.host, problem:%; "no client for another host");
            None
        }
    }
}

impl Tracker {
    /// Records that a stream began, or was taken up, and tells other hosts if several versions
    /// can have begun it, its version is unknown, or this host stops.
    pub(crate) fn record(&self, job: &Job, software: Option<&id::Software>) {
        let first = match job.resumed_position() {
            Some(_) => job.resumes.as_ref(),
            None => Some(&job.id),
        };
        let Some(first) = first else {
            return;
        };
        let now = self.0.clock.now();
        let stream = stream(job, first);
        let mut state = self.state();
        if !state.origins.record(stream, software.cloned(), now) {
            return;
        }
        let begun = Begun {
            stream,
            service: job.service.clone(),
            software: software.cloned(),
            until: now + life(job),
        };
        let origin = Origin::from(&begun);
        state.backlog.add(begun, now);
        let possible = state.possible(&job.service, life(job), now);
        let is_sole = software.is_some_and(|software| possible == Possible::One(software.clone()));
        let is_told = state.is_leaving || !is_sole;
        drop(state);
        if is_told && self.0.told.send(origin).is_err() {
            log::debug!("host shut down before others were told of a stream");
        }
    }

    /// Version of the software that began the stream that a request resumes; `None` if it
    /// cannot be found out.
    pub(crate) async fn find(&self, job: &Job) -> Option<id::Software> {
        let request = job.resumes.as_ref();
        let question = Question {
            stream: request.map(|request| stream(job, request)),
            service: job.service.clone(),
            life_ms: life(job),
        };
        let arrived = self.0.clock.now();
        loop {
            let wait = match self.ask(&question, arrived).await {
                Finding::Began(software) => return Some(software),
                Finding::Unknown => self.time_until_told(&job.service)?,
                Finding::Unconfirmed => {
                    self.wait_for_reading(job, arrived).await?;
                    continue;
                }
            };
            if self.0.clock.now() + wait >= job.deadline {
                return None;
            }
            time::sleep(wait).await;
        }
    }

    /// Waits until the list of endpoints was read after a request arrived; `None` if that takes
    /// longer than at a host in touch with the store, or than the request has.
    async fn wait_for_reading(&self, job: &Job, arrived: Duration) -> Option<()> {
        let left = job.deadline.saturating_sub(self.0.clock.now());
        let mut confirmed = self.0.confirmed.subscribe();
        let read = confirmed.wait_for(|read| read.is_some_and(|read| read >= arrived));
        time::timeout(left.min(host::ENDPOINTS_POLLING.max_age()), read)
            .await
            .ok()?
            .ok()?;
        Some(())
    }

    /// Time until all hosts in touch with the store have told of the streams that were open when
    /// a version was listed beside others; `None` if they have.
    fn time_until_told(&self, service: &id::Service) -> Option<Duration> {
        let joined_at = self.state().releases.joined_at(service)?;
        let told_at = joined_at + host::ENDPOINTS_POLLING.max_age() + BATCH_DELAY;
        told_at.checked_sub(self.0.clock.now())
    }

    /// Asks this host and others for the version that began a stream, for a request that arrived
    /// at the given time.
    async fn ask(&self, question: &Question, arrived: Duration) -> Finding {
        let own = self.answer(question);
        if let Some(software) = own.began {
            return Finding::Began(software);
        }
        let mut answers: FuturesUnordered<_> = self
            .keepers()
            .into_iter()
            .map(|keeper| {
                let question = question.clone();
                async move { client(&keeper)?.origin(question).await.ok() }
            })
            .collect();
        let mut possible = own.possible;
        // A host that no other one answers may have missed what they were told.
        let mut is_alone = !answers.is_empty();
        while let Some(answer) = answers.next().await {
            let Some(answer) = answer else {
                continue;
            };
            is_alone = false;
            if let Some(software) = answer.began {
                return Finding::Began(software);
            }
            possible = possible.and(answer.possible);
        }
        let confirmed_at = self.state().releases.confirmed_at();
        let is_confirmed = confirmed_at.is_some_and(|confirmed_at| confirmed_at >= arrived);
        match possible {
            Possible::One(software) if !is_alone || is_confirmed => Finding::Began(software),
            Possible::One(_) | Possible::Unknown if !is_confirmed => Finding::Unconfirmed,
            _ => Finding::Unknown,
        }
    }

    /// Records streams that another host began.
    pub(crate) fn told(&self, batch: Vec<Origin>) {
        let now = self.0.clock.now();
        let mut state = self.state();
        let mut new = 0;
        for origin in batch {
            new += u64::from(state.origins.record(origin.stream, origin.software, now));
        }
        drop(state);
        self.0.metrics.told_of_streams(new);
    }

    /// Streams of this host that others must know.
    fn backlog(&self) -> Vec<Origin> {
        let now = self.0.clock.now();
        let state = self.state();
        let must_know =
            |service: &id::Service| state.is_leaving || state.releases.has_several(service);
        state
            .backlog
            .open(must_know, now)
            .map(Origin::from)
            .collect()
    }

    /// Records that this host stops.
    fn leave(&self) {
        self.state().is_leaving = true;
    }

    pub(crate) fn answer(&self, question: &Question) -> Answer {
        let now = self.0.clock.now();
        let state = self.state();
        let stream = question.stream;
        let is_unknown = stream.is_some_and(|stream| state.origins.is_unknown(stream));
        let possible = if is_unknown {
            Possible::Several
        } else {
            state.possible(&question.service, question.life_ms, now)
        };
        Answer {
            began: stream.and_then(|stream| state.origins.get(stream).cloned()),
            possible,
        }
    }

    /// Applies the list of endpoints, which a reading has confirmed, and returns whether a
    /// version is new beside others.
    fn update(&self, requested_at: LastRead) -> bool {
        let now = self.0.clock.now();
        let endpoints = self.0.endpoints.borrow();
        let mut state = self.state();
        let mut has_joined = false;
        if !endpoints.is_empty() {
            let listed = endpoints.iter().map(|one| (&one.service, &one.software));
            has_joined = state.releases.update(listed, now);
        }
        if let Some(requested_at) = requested_at {
            state.releases.confirm(requested_at);
        }
        drop(state);
        drop(endpoints);
        self.0.confirmed.send_replace(requested_at);
        has_joined
    }

    /// Other hosts that are told of streams: some of this zone, and some of others.
    fn keepers(&self) -> Vec<Candidate> {
        let neighbours = self.0.neighbours.borrow();
        let zone = ranking::ranked(neighbours.zone.clone()).into_iter();
        let others = ranking::ranked(neighbours.others.clone()).into_iter();
        zone.take(KEEPERS_PER_ZONE)
            .chain(others.take(KEEPERS_ELSEWHERE))
            .filter(|candidate| candidate.host != self.0.host)
            .collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn stream(job: &Job, request: &id::Request) -> Stream {
    let account = job.account.as_ref().map(|account| &account.name);
    Stream::new(account, request)
}

fn life(job: &Job) -> Duration {
    job.route.timeout * LIFE_TIMEOUTS
}
