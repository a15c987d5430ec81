//! Finds out which version of the endpoints' software began a stream that a caller resumes.
//!
//! While several versions serve, or did lately, hosts tell a few others of each stream that
//! they begin, at once and in batches. A host that is asked to resume a stream that it does
//! not remember asks the same hosts. The decisions are made in
//! `papayayard_coordination::origin`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future;
use futures_util::stream::FuturesUnordered;
use papayayard_coordination::origin::{Origins, Possible, Releases, Stream};
use papayayard_coordination::ranking::{self, Candidate};
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::clock::Clock;
use crate::hosts::Neighbours;
use crate::job::Job;
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
    software: id::Software,
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
    state: Mutex<State>,
    told: mpsc::UnboundedSender<Origin>,
}

#[derive(Default)]
struct State {
    origins: Origins,
    releases: Releases,
}

/// Dependencies of the tracker.
pub(crate) struct Parts {
    pub(crate) host: id::Host,
    pub(crate) clock: Clock,
    pub(crate) neighbours: watch::Receiver<Neighbours>,
    pub(crate) endpoints: watch::Receiver<Vec<Endpoint>>,
}

/// Returns the tracker, and the task that tells other hosts of streams.
pub(crate) fn start(parts: Parts) -> (Tracker, impl Future<Output = ()>) {
    let (told, queue) = mpsc::unbounded_channel();
    let tracker = Tracker(Arc::new(Shared {
        host: parts.host,
        clock: parts.clock,
        neighbours: parts.neighbours,
        endpoints: parts.endpoints,
        state: Mutex::default(),
        told,
    }));
    let task = run(tracker.clone(), queue);
    (tracker, task)
}

/// Tells other hosts of streams and follows the list of endpoints, for as long as the
/// process runs.
async fn run(tracker: Tracker, mut queue: mpsc::UnboundedReceiver<Origin>) {
    let mut endpoints = tracker.0.endpoints.clone();
    let mut clients = HashMap::new();
    tracker.update();
    loop {
        let first = tokio::select! {
            first = queue.recv() => first,
            changed = endpoints.changed() => {
                if changed.is_err() {
                    return;
                }
                tracker.update();
                continue;
            }
        };
        let Some(first) = first else {
            return;
        };
        time::sleep(BATCH_DELAY).await;
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH
            && let Ok(next) = queue.try_recv()
        {
            batch.push(next);
        }
        tell(&tracker.keepers(), &batch, &mut clients).await;
    }
}

async fn tell(
    keepers: &[Candidate],
    batch: &[Origin],
    clients: &mut HashMap<SocketAddr, peers::Client>,
) {
    clients.retain(|address, _| keepers.iter().any(|keeper| keeper.address == *address));
    for keeper in keepers {
        if !clients.contains_key(&keeper.address)
            && let Some(client) = client(keeper)
        {
            clients.insert(keeper.address, client);
        }
    }
    let calls = keepers.iter().filter_map(|keeper| {
        let client = clients.get(&keeper.address)?;
        Some(async move {
            if let Err(problem) = client.began(batch).await {
                log::info!(host:% = keeper.host, problem:%; "a host was not told of streams");
            }
        })
    });
    future::join_all(calls).await;
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
    /// Records that a stream began, and tells other hosts if several versions can have begun
    /// it.
    pub(crate) fn record(&self, job: &Job, software: &id::Software) {
        let now = self.0.clock.now();
        let stream = stream(job, &job.id);
        let mut state = self.state();
        state.origins.record(stream, software.clone(), now);
        let possible = state.releases.possible(&job.service, life(job), now);
        drop(state);
        let is_sole = possible == Possible::One(software.clone());
        let origin = Origin {
            stream,
            software: software.clone(),
        };
        if !is_sole && self.0.told.send(origin).is_err() {
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
        let own = self.answer(&question);
        if own.began.is_some() {
            return own.began;
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
        while let Some(answer) = answers.next().await {
            let Some(answer) = answer else {
                continue;
            };
            if answer.began.is_some() {
                return answer.began;
            }
            possible = possible.and(answer.possible);
        }
        match possible {
            Possible::One(software) => Some(software),
            Possible::Unknown | Possible::Several => None,
        }
    }

    /// Records streams that another host began.
    pub(crate) fn told(&self, batch: Vec<Origin>) {
        let now = self.0.clock.now();
        let mut state = self.state();
        for origin in batch {
            state.origins.record(origin.stream, origin.software, now);
        }
    }

    pub(crate) fn answer(&self, question: &Question) -> Answer {
        let now = self.0.clock.now();
        let state = self.state();
        Answer {
            began: question
                .stream
                .and_then(|stream| state.origins.get(stream).cloned()),
            possible: state
                .releases
                .possible(&question.service, question.life_ms, now),
        }
    }

    fn update(&self) {
        let now = self.0.clock.now();
        let endpoints = self.0.endpoints.borrow().clone();
        if endpoints.is_empty() {
            return;
        }
        let listed = endpoints.iter().map(|one| (&one.service, &one.software));
        self.state().releases.update(listed, now);
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
