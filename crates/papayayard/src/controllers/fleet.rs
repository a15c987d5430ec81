//! Owns what this host knows of the model endpoints and chooses among them.
//!
//! One task holds the state. Requests, the directory and the observers talk
//! to it by messages, so that a choice and the dispatch it leads to are one
//! step.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::departure;
use papayayard_routing::{choice, quarantine, retry};
use papayayard_wire::refusal::{Kind, Ran};
use papayayard_wire::{block, directory, endpoint, id};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::controllers::configuration;
use crate::exchange::Completion;
use crate::refusal::Refusal;

mod service;
mod state;

/// Messages that wait for the task.
const BACKLOG: usize = 4096;

/// What a request asks of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    service: id::Service,
    account: id::Account,
    version: id::Version,
    keys: Arc<[block::Key]>,
    prompt_bytes: usize,
    output_tokens: u32,
    fingerprint: quarantine::Fingerprint,
    deadline: Option<Duration>,
    excluded: Vec<id::Endpoint>,
    attempts: u32,
    ran: Ran,
}

impl Query {
    /// A query for a completion.
    pub(crate) fn new(completion: &Completion) -> Self {
        Self {
            service: completion.service.clone(),
            account: completion.whole.known.account.id.clone(),
            version: completion.version.clone(),
            keys: completion.keys.clone(),
            prompt_bytes: completion.prompt_bytes,
            output_tokens: completion.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
            fingerprint: completion.fingerprint,
            deadline: completion.whole.known.deadline,
            excluded: Vec::new(),
            attempts: 0,
            ran: Ran::No,
        }
    }

    /// Takes down that the caller has the first token: from here on the
    /// deadline is met, and the request has run.
    pub(crate) fn begun(&mut self) {
        self.deadline = None;
        self.ran = Ran::Yes;
    }

    /// A refusal that says whether an earlier attempt may have run.
    pub(crate) fn refusal(&self, kind: Kind, message: &str, after: Duration) -> Refusal {
        Refusal::not_run(kind, message).ran(self.ran).after(after)
    }

    fn may_have_run(&mut self) {
        if self.ran == Ran::No {
            self.ran = Ran::Unknown;
        }
    }
}

/// Tokens of an answer whose request states no maximum.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// A request's place at an endpoint; dropping it unsettled cancels it.
#[derive(Debug)]
pub(crate) struct Dispatch {
    place: Place,
    messages: Option<mpsc::Sender<Message>>,
}

/// Where a request was sent and what it is expected to leave there.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    /// Endpoint.
    pub(crate) endpoint: id::Endpoint,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Cancelled when the run of the endpoint's process that was chosen is
    /// known to have ended or to answer no more.
    pub(crate) lost: CancellationToken,
    incarnation: Option<id::Incarnation>,
    service: id::Service,
    account: id::Account,
    keys: Arc<[block::Key]>,
    fingerprint: quarantine::Fingerprint,
    sent: Duration,
}

impl Dispatch {
    /// Where the request was sent.
    pub(crate) fn place(&self) -> &Place {
        &self.place
    }

    /// Takes down how the request ended.
    pub(crate) fn settle(mut self, outcome: Outcome) {
        self.tell(outcome);
    }

    /// Takes down a failure; a request that may be retried asks another
    /// endpoint with the same query.
    pub(crate) async fn fail(
        mut self,
        outcome: Outcome,
        query: &mut Query,
    ) -> Result<(), retry::Denial> {
        query.excluded.push(self.place.endpoint.clone());
        query.attempts += 1;
        if !matches!(outcome, Outcome::Refused | Outcome::Unreachable) {
            query.may_have_run();
        }
        let failure = retry::Failure {
            ran: query.ran,
            idempotent: true,
            attempts: query.attempts,
        };
        let Some(messages) = self.messages.take() else {
            return Err(retry::Denial::Attempts);
        };
        let place = self.place.clone();
        Handle { messages }
            .ask(|reply| Message::Fail(place, outcome, failure, reply))
            .await
            .unwrap_or(Err(retry::Denial::Attempts))
    }

    fn tell(&mut self, outcome: Outcome) {
        if let Some(messages) = self.messages.take() {
            Handle { messages }.tell(Message::Settle(self.place.clone(), outcome));
        }
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.tell(Outcome::Cancelled);
    }
}

impl Place {
    /// Whether an answer comes from the run that was chosen.
    pub(crate) fn matches(&self, incarnation: id::Incarnation) -> bool {
        self.incarnation.is_none_or(|chosen| chosen == incarnation)
    }
}

/// How a dispatched request ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It was answered whole.
    Finished,
    /// The endpoint refused it.
    Refused,
    /// The caller went away.
    Cancelled,
    /// No connection could be made.
    Unreachable,
    /// The answer broke off while the endpoint's process lives on.
    Broken,
    /// The endpoint's process ended while it ran.
    Died,
    /// Nothing came for too long.
    Stalled,
}

/// State of an endpoint, for operators.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    /// Endpoint.
    pub(crate) endpoint: id::Endpoint,
    /// Service.
    pub(crate) service: id::Service,
    /// Availability zone.
    pub(crate) zone: id::Zone,
    /// What the platform plans for it.
    pub(crate) plan: directory::State,
    /// Whether it gets new work.
    pub(crate) eligible: bool,
    /// Requests of this host that it runs.
    pub(crate) in_flight: u32,
    /// Its last report.
    pub(crate) report: Option<endpoint::Report>,
}

#[derive(Debug)]
enum Message {
    Choose(Query, oneshot::Sender<Result<Place, Refusal>>),
    Settle(Place, Outcome),
    Fail(
        Place,
        Outcome,
        retry::Failure,
        oneshot::Sender<Result<(), retry::Denial>>,
    ),
    Verdicts(oneshot::Sender<Vec<quarantine::Verdict>>),
    Import(Vec<quarantine::Verdict>),
    Departing(Vec<departure::Signal>),
    Listed(Vec<directory::Endpoint>, Vec<id::Zone>),
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
        let asked = query.clone();
        let choice = self.ask(|reply| Message::Choose(asked, reply)).await;
        match choice.unwrap_or_else(|| Err(Refusal::stopping())) {
            Ok(place) => Ok(Dispatch {
                place,
                messages: Some(self.messages.clone()),
            }),
            Err(refusal) => Err(refusal.ran(query.ran)),
        }
    }

    /// Takes in the platform's list.
    pub(crate) async fn listed(&self, endpoints: Vec<directory::Endpoint>, hosts: Vec<id::Zone>) {
        self.send(Message::Listed(endpoints, hosts)).await;
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

    /// Fingerprints that this host has quarantined.
    pub(crate) async fn verdicts(&self) -> Vec<quarantine::Verdict> {
        self.ask(Message::Verdicts).await.unwrap_or_default()
    }

    /// Takes in fingerprints that another host has quarantined.
    pub(crate) async fn import(&self, verdicts: Vec<quarantine::Verdict>) {
        self.send(Message::Import(verdicts)).await;
    }

    /// Takes in the signs that endpoints are leaving.
    pub(crate) async fn departing(&self, signs: Vec<departure::Signal>) {
        self.send(Message::Departing(signs)).await;
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

/// What the task is told once.
pub(crate) struct Options<View> {
    /// Host.
    pub(crate) host: id::Host,
    /// Availability zone of the host.
    pub(crate) zone: id::Zone,
    /// Policy of choice.
    pub(crate) policy: choice::Name,
    /// True state of the endpoints, for the policy that looks at it.
    pub(crate) truth: View,
    /// Gets the number of requests that all endpoints together can run.
    pub(crate) capacity: watch::Sender<u32>,
    /// Clock.
    pub(crate) clock: Clock,
}

/// Starts the task; it ends with the last handle.
pub(crate) fn start<View>(
    options: Options<View>,
    active: watch::Receiver<configuration::Current>,
) -> Handle
where
    View: choice::GroundTruth + Clone + Send + 'static,
{
    let (sender, receiver) = mpsc::channel(BACKLOG);
    tokio::spawn(run(state::Fleet::new(options), receiver, active));
    Handle { messages: sender }
}

async fn run<View>(
    mut fleet: state::Fleet<View>,
    mut messages: mpsc::Receiver<Message>,
    mut active: watch::Receiver<configuration::Current>,
) where
    View: choice::GroundTruth + Clone,
{
    let mut follows = true;
    loop {
        tokio::select! {
            biased;
            changed = active.changed(), if follows => {
                follows = changed.is_ok();
                if let Some(current) = active.borrow_and_update().as_deref() {
                    fleet.configure(current);
                }
            }
            message = messages.recv() => match message {
                Some(message) => fleet.take(message),
                None => return,
            },
        }
    }
}
