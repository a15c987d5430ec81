//! Owns what this host knows of the model endpoints and chooses among them.
//!
//! One task holds the state. Requests, the directory and the observers talk
//! to it by messages, so that a choice and the dispatch it leads to are one
//! step.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::refusal::Kind;
use papayayard_wire::{block, directory, endpoint, id};
use tokio::sync::{mpsc, oneshot};

use crate::exchange::Completion;
use crate::refusal::Refusal;

/// Messages that wait for the task.
const BACKLOG: usize = 4096;
/// When to come back where no endpoint takes the request.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// What a request asks of the fleet.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "read once the choice uses the prefix")]
pub(crate) struct Query {
    service: id::Service,
    version: id::Version,
    keys: Arc<[block::Key]>,
    prompt_bytes: usize,
    fingerprint: u64,
    excluded: Vec<id::Endpoint>,
}

impl Query {
    /// A query for a completion.
    pub(crate) fn new(completion: &Completion) -> Self {
        Self {
            service: completion.service.clone(),
            version: completion.version.clone(),
            keys: completion.keys.clone().into(),
            prompt_bytes: completion.prompt_bytes,
            fingerprint: completion.fingerprint,
            excluded: Vec::new(),
        }
    }

    /// Leaves out the endpoint of an earlier attempt.
    pub(crate) fn exclude(&mut self, dispatch: &Dispatch) {
        self.excluded.push(dispatch.endpoint.clone());
    }
}

/// A request's place at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    /// Endpoint.
    pub(crate) endpoint: id::Endpoint,
    /// Its address.
    pub(crate) address: SocketAddr,
    incarnation: Option<id::Incarnation>,
}

impl Dispatch {
    /// Whether an answer comes from the run that was chosen.
    pub(crate) fn matches(&self, incarnation: u64) -> bool {
        self.incarnation
            .is_none_or(|chosen| chosen.0 == incarnation)
    }
}

/// How a dispatched request ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It was answered whole.
    Finished {
        /// Prompt tokens that the endpoint found in its cache.
        cached: Option<u64>,
    },
    /// The endpoint refused it.
    Refused,
    /// The caller went away.
    Cancelled,
    /// No connection could be made.
    Unreachable,
    /// The connection broke while it ran.
    Died,
    /// Nothing came for too long.
    Stalled,
}

/// State of an endpoint, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Service.
    pub service: id::Service,
    /// Availability zone.
    pub zone: id::Zone,
    /// What the platform plans for it.
    pub plan: directory::State,
    /// Requests of this host that it runs.
    pub in_flight: u32,
    /// Its last report.
    pub report: Option<endpoint::Report>,
}

#[expect(dead_code, reason = "read once the choice uses the prefix")]
enum Message {
    Choose(Query, oneshot::Sender<Result<Dispatch, Refusal>>),
    FirstToken(Dispatch),
    Settle(Dispatch, Outcome),
    Fail(Dispatch, Outcome, oneshot::Sender<bool>),
    Listed(Vec<directory::Endpoint>),
    Reported(endpoint::Report),
    Events(id::Endpoint, endpoint::Page),
    Silent(id::Endpoint),
    Status(oneshot::Sender<Vec<Status>>),
}

/// Talks to the fleet's task.
#[derive(Clone)]
pub(crate) struct Handle {
    messages: mpsc::Sender<Message>,
}

impl Handle {
    /// Chooses an endpoint and counts the request there.
    pub(crate) async fn choose(&self, query: &Query) -> Result<Dispatch, Refusal> {
        let query = query.clone();
        self.ask(|reply| Message::Choose(query, reply))
            .await
            .unwrap_or_else(|| Err(stopped()))
    }

    /// Takes down that the first token came.
    pub(crate) fn first_token(&self, dispatch: &Dispatch) {
        self.tell(Message::FirstToken(dispatch.clone()));
    }

    /// Takes down how a dispatched request ended.
    pub(crate) fn settle(&self, dispatch: &Dispatch, outcome: Outcome) {
        self.tell(Message::Settle(dispatch.clone(), outcome));
    }

    /// Takes down a failure; answers whether the request may be retried.
    pub(crate) async fn fail(
        &self,
        dispatch: &Dispatch,
        outcome: Outcome,
    ) -> Result<bool, Refusal> {
        let dispatch = dispatch.clone();
        self.ask(|reply| Message::Fail(dispatch, outcome, reply))
            .await
            .ok_or_else(stopped)
    }

    /// Takes in the platform's list.
    pub(crate) async fn listed(&self, endpoints: Vec<directory::Endpoint>) {
        self.send(Message::Listed(endpoints)).await;
    }

    /// Takes in an endpoint's report.
    pub(crate) async fn reported(&self, report: endpoint::Report) {
        self.send(Message::Reported(report)).await;
    }

    /// Takes in an endpoint's cache events.
    pub(crate) async fn events(&self, endpoint: id::Endpoint, page: endpoint::Page) {
        self.send(Message::Events(endpoint, page)).await;
    }

    /// Takes down that an endpoint does not answer.
    pub(crate) async fn silent(&self, endpoint: id::Endpoint) {
        self.send(Message::Silent(endpoint)).await;
    }

    /// State of all endpoints.
    pub(crate) async fn status(&self) -> Vec<Status> {
        self.ask(Message::Status).await.unwrap_or_default()
    }

    async fn ask<Reply, Make>(&self, make: Make) -> Option<Reply>
    where
        Make: FnOnce(oneshot::Sender<Reply>) -> Message,
    {
        let (sender, receiver) = oneshot::channel();
        self.messages.send(make(sender)).await.ok()?;
        receiver.await.ok()
    }

    fn tell(&self, message: Message) {
        if let Err(mpsc::error::TrySendError::Full(message)) = self.messages.try_send(message) {
            let messages = self.messages.clone();
            tokio::spawn(async move { messages.send(message).await });
        }
    }

    async fn send(&self, message: Message) {
        if self.messages.send(message).await.is_err() {
            log::debug!("the fleet's task has ended");
        }
    }
}

/// Starts the task.
pub(crate) fn start() -> Handle {
    let (sender, receiver) = mpsc::channel(BACKLOG);
    tokio::spawn(run(receiver));
    Handle { messages: sender }
}

async fn run(mut messages: mpsc::Receiver<Message>) {
    let mut fleet = Fleet::default();
    while let Some(message) = messages.recv().await {
        fleet.take(message);
    }
}

#[derive(Default)]
struct Fleet {
    members: BTreeMap<id::Endpoint, Member>,
}

struct Member {
    listed: directory::Endpoint,
    report: Option<endpoint::Report>,
    in_flight: u32,
    silent: bool,
}

impl Fleet {
    fn take(&mut self, message: Message) {
        match message {
            Message::Choose(query, reply) => {
                let choice = self.choose(&query);
                // The caller may have gone; its dispatch is then undone.
                if let Err(Ok(dispatch)) = reply.send(choice) {
                    self.settle(&dispatch, Outcome::Cancelled);
                }
            }
            Message::FirstToken(_) | Message::Events(..) => {}
            Message::Settle(dispatch, outcome) => self.settle(&dispatch, outcome),
            Message::Fail(dispatch, outcome, reply) => {
                self.settle(&dispatch, outcome);
                // The caller may have gone; then nothing is retried.
                let _ = reply.send(true);
            }
            Message::Listed(endpoints) => self.list(endpoints),
            Message::Reported(report) => self.report(report),
            Message::Silent(endpoint) => {
                if let Some(member) = self.members.get_mut(&endpoint) {
                    member.silent = true;
                }
            }
            Message::Status(reply) => {
                // An operator that has gone needs no answer.
                let _ = reply.send(self.status());
            }
        }
    }

    fn list(&mut self, endpoints: Vec<directory::Endpoint>) {
        let mut members = BTreeMap::new();
        for listed in endpoints {
            let member = match self.members.remove(&listed.id) {
                Some(known) => Member { listed, ..known },
                None => Member {
                    listed,
                    report: None,
                    in_flight: 0,
                    silent: false,
                },
            };
            members.insert(member.listed.id.clone(), member);
        }
        self.members = members;
    }

    fn report(&mut self, report: endpoint::Report) {
        if let Some(member) = self.members.get_mut(&report.endpoint) {
            member.report = Some(report);
            member.silent = false;
        }
    }

    fn choose(&mut self, query: &Query) -> Result<Dispatch, Refusal> {
        let member = self
            .members
            .values_mut()
            .filter(|member| member.serves(query))
            .min_by_key(|member| member.in_flight)
            .ok_or_else(no_endpoint)?;
        member.in_flight += 1;
        Ok(Dispatch {
            endpoint: member.listed.id.clone(),
            address: member.listed.address,
            incarnation: member.report.as_ref().map(|report| report.incarnation),
        })
    }

    fn settle(&mut self, dispatch: &Dispatch, outcome: Outcome) {
        if let Some(member) = self.members.get_mut(&dispatch.endpoint) {
            member.in_flight = member.in_flight.saturating_sub(1);
            if matches!(outcome, Outcome::Unreachable | Outcome::Died) {
                member.silent = true;
            }
        }
    }

    fn status(&self) -> Vec<Status> {
        let members = self.members.values();
        members
            .map(|member| Status {
                endpoint: member.listed.id.clone(),
                service: member.listed.service.clone(),
                zone: member.listed.zone.clone(),
                plan: member.listed.state,
                in_flight: member.in_flight,
                report: member.report.clone(),
            })
            .collect()
    }
}

impl Member {
    fn serves(&self, query: &Query) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        self.listed.service == query.service
            && self.listed.state == directory::State::Live
            && report.state == endpoint::State::Ready
            && report.version == query.version
            && !self.silent
            && !query.excluded.contains(&self.listed.id)
    }
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(
        Kind::NoEndpoint,
        "no endpoint can take the request now; come back later",
    )
    .after(NO_ENDPOINT_RETRY)
}

fn stopped() -> Refusal {
    Refusal::not_run(Kind::Stopping, "this host is stopping; try another one")
}
