//! Finds an endpoint for a request: asks the dispatcher, or decides here.
//!
//! The dispatcher is the host that places the requests of many; see
//! `papayayard_coordination::dispatcher`. What this host sends there and what
//! comes of it is told to the dispatcher with the next question, or a moment
//! later. This host keeps count too, so that it can place by itself as soon as
//! its dispatcher fails. Plain services are placed here: their endpoints are few
//! and quick.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_coordination::dispatcher;
use papayayard_coordination::ranking::{Candidate, Choice};
use papayayard_routing::placement::{Ask, Decision, Placement, Refused, Seen};
use papayayard_wire::id;
use tokio::sync::{Notify, watch};
use tokio::time;

use crate::clock::Clock;
use crate::hosts::Neighbours;
use crate::metrics::Metrics;
use crate::schedule::Handle;

mod desk;
mod link;
mod message;
mod permit;

pub(crate) use desk::Desk;
pub(crate) use message::{Answer as DeskAnswer, Call as DeskCall};
pub(crate) use permit::Permit;

use link::Link;

/// Time in which what is to be told adds up.
const ADDS_UP: Duration = Duration::from_millis(25);
/// Time without a question after which the dispatcher hears from this host all the
/// same, so that it knows whose requests it places.
const GREETING: Duration = Duration::from_secs(1);
/// Time after a question of another host for which this host counts as a
/// dispatcher.
const ASKED: Duration = Duration::from_secs(3);

/// Where a request goes.
pub(crate) enum Found {
    /// To an endpoint.
    Place(Placement, Permit),
    /// Nowhere.
    Refused {
        /// Why.
        why: Refused,
        /// When to come back.
        retry_after: Duration,
        /// What was seen of the service's endpoints.
        seen: Seen,
    },
}

/// What finding endpoints takes.
pub(crate) struct Parts {
    /// This host.
    pub(crate) host: id::Host,
    /// Clock.
    pub(crate) clock: Clock,
    /// This host's own scheduler.
    pub(crate) schedule: Handle,
    /// Hosts that can be asked.
    pub(crate) neighbours: watch::Receiver<Neighbours>,
    /// Counters.
    pub(crate) metrics: Metrics,
}

/// Finds endpoints.
#[derive(Clone)]
pub(crate) struct Dispatch(Arc<Shared>);

struct Shared {
    host: id::Host,
    /// Tells this process from those before it.
    run: u64,
    clock: Clock,
    schedule: Handle,
    metrics: Metrics,
    state: Mutex<State>,
    /// Woken when something is to be told.
    news: Arc<Notify>,
}

struct State {
    neighbours: watch::Receiver<Neighbours>,
    choice: Choice,
    links: HashMap<SocketAddr, Arc<Link>>,
    /// When another host asked last.
    asked_at: Option<Duration>,
}

impl Dispatch {
    /// A way to find endpoints that knows no other host yet.
    pub(crate) fn new(parts: Parts) -> Self {
        Self(Arc::new(Shared {
            host: parts.host,
            run: rand::random(),
            clock: parts.clock,
            schedule: parts.schedule,
            metrics: parts.metrics,
            state: Mutex::new(State {
                neighbours: parts.neighbours,
                choice: Choice::default(),
                links: HashMap::new(),
                asked_at: None,
            }),
            news: Arc::default(),
        }))
    }

    /// What other hosts ask here.
    pub(crate) fn desk(&self) -> Desk {
        Desk::new(self.clone())
    }

    /// Waits for an endpoint.
    pub(crate) async fn place(&self, mut ask: Ask) -> Found {
        while ask.prompt.is_some() {
            let Some((host, link)) = self.dispatcher() else {
                break;
            };
            let asked = self.0.clock.now();
            if asked >= ask.deadline {
                break;
            }
            ask.avoided = self.0.schedule.avoided();
            match link.ask(&ask, asked).await {
                Ok(Some(decision)) => {
                    self.state().choice.answered(&host);
                    self.0.metrics.dispatched("dispatcher");
                    return self.found(ask, decision, link).await;
                }
                Ok(None) => ask.waited += self.0.clock.now().saturating_sub(asked),
                Err(problem) => self.failed(&host, &problem),
            }
        }
        self.0.metrics.dispatched("own");
        ask.avoided.clear();
        match self.0.schedule.place(ask).await {
            Decision::Placed(placement) => {
                let permit = Permit::own(self.0.schedule.clone(), placement.ticket);
                Found::Place(placement, permit)
            }
            Decision::Refused {
                why,
                retry_after,
                seen,
            } => Found::Refused {
                why,
                retry_after,
                seen,
            },
        }
    }

    /// Whether this host places requests, for itself or for others.
    pub(crate) fn places(&self) -> bool {
        let now = self.0.clock.now();
        let state = self.state();
        let is_asked = state.asked_at.is_some_and(|at| now < at + ASKED);
        is_asked || state.choice.first(now).is_none()
    }

    /// Tells dispatchers what has come of placements, for as long as the process
    /// runs.
    pub(crate) async fn tell(self) {
        loop {
            let woken = time::timeout(GREETING, self.0.news.notified()).await;
            if woken.is_ok() {
                time::sleep(ADDS_UP).await;
            }
            let now = self.0.clock.now();
            if let Some((_, link)) = self.dispatcher() {
                link.greet(GREETING, now);
            }
            let links: Vec<Arc<Link>> = self.state().links.values().cloned().collect();
            for link in links {
                if let Err(problem) = link.flush(now).await {
                    self.failed(link.host(), &problem);
                }
            }
        }
    }

    async fn found(&self, ask: Ask, decision: message::Decision, link: Arc<Link>) -> Found {
        match decision {
            message::Decision::Placed(placed) => {
                let (placement, ticket) = placed.placement();
                let schedule = self.0.schedule.clone();
                let own = schedule.adopt(ask, placement.clone()).await;
                let permit = Permit::granted(schedule, own, link, ticket);
                Found::Place(placement, permit)
            }
            message::Decision::Refused(refused) => refused.found(),
        }
    }

    /// The host to ask now, and the link to it; none where this host decides.
    fn dispatcher(&self) -> Option<(id::Host, Arc<Link>)> {
        let mut state = self.state();
        state.take_hosts(&self.0.host);
        let candidate = state.choice.first(self.0.clock.now()).cloned()?;
        match self.link(&mut state, &candidate) {
            Ok(link) => Some((candidate.host, link)),
            Err(problem) => {
                log::warn!(host:% = candidate.host, problem:%; "a dispatcher cannot be asked");
                None
            }
        }
    }

    fn link(&self, state: &mut State, candidate: &Candidate) -> Result<Arc<Link>, String> {
        if let Some(link) = state.links.get(&candidate.address) {
            return Ok(Arc::clone(link));
        }
        let shared = &self.0;
        let link = Link::new(
            candidate,
            shared.host.clone(),
            shared.run,
            Arc::clone(&shared.news),
        );
        let link = Arc::new(link?);
        state.links.insert(candidate.address, Arc::clone(&link));
        Ok(link)
    }

    fn failed(&self, host: &id::Host, problem: &str) {
        log::info!(host:%, problem; "the dispatcher does not answer");
        let now = self.0.clock.now();
        self.state().choice.failed(host, now);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn take_hosts(&mut self, own: &id::Host) {
        if !self.neighbours.has_changed().unwrap_or(false) {
            return;
        }
        let hosts = self.neighbours.borrow_and_update().clone();
        if !hosts.are_counted {
            return;
        }
        self.choice
            .set(dispatcher::order(own, &hosts.zone, &hosts.others));
        let known = hosts.zone.iter().chain(&hosts.others);
        let known: Vec<SocketAddr> = known.map(|one| one.address).collect();
        self.links.retain(|address, _| known.contains(address));
    }
}
