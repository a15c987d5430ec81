//! Finds an endpoint for a request: asks the dispatcher, or decides here.
//!
//! The dispatcher is the host that places the requests of many; see
//! `papayayard_coordination::dispatcher`. What this host sends there and what
//! comes of it is told to the dispatcher with the next question, or a moment
//! later. This host keeps count too, so that it can place by itself as soon as
//! its dispatcher fails. Plain services are placed here: their endpoints are few
//! and quick.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_routing::placement::{
    Availability, Decision, Placement, Query, RefusalReason, Ticket,
};
use papayayard_wire::id;
use tokio::sync::{Notify, watch};
use tokio::time;

use crate::clock::Clock;
use crate::hosts::{self, Neighbours};
use crate::metrics::Metrics;
use crate::schedule::Handle;

mod desk;
mod link;
mod message;
mod permit;
mod register;
mod state;

pub(crate) use desk::Desk;
pub(crate) use message::{Answer as DeskAnswer, Call as DeskCall};
pub(crate) use permit::Permit;

use link::{Link, Own};
use message::Elsewhere;
use register::Register;
use state::State;

/// Time in which what is to be told adds up.
const ADDS_UP: Duration = Duration::from_millis(40);
/// Time without a question after which the dispatcher hears from this host all the
/// same, so that it knows whose requests it places.
const GREETING: Duration = Duration::from_secs(1);
/// Times that a request is sent from one host to the next before this host decides:
/// hosts may disagree for a moment.
const MOST_REDIRECTS: u32 = 2;
/// Time after a question of another host for which this host counts as a
/// dispatcher.
const ASKED: Duration = Duration::from_secs(3);

/// Where a request goes.
pub(crate) enum Found {
    /// To an endpoint.
    Place(Box<Placement>, Permit),
    /// Nowhere.
    Refused {
        /// Why.
        why: RefusalReason,
        /// When to come back.
        retry_after: Duration,
        /// What was seen of the service's endpoints.
        seen: Availability,
    },
}

/// What finding endpoints takes.
pub(crate) struct Parts {
    /// This host.
    pub(crate) own: hosts::LocalHost,
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
    own: Own,
    clock: Clock,
    schedule: Handle,
    metrics: Metrics,
    state: Mutex<State>,
}

impl Dispatch {
    /// A way to find endpoints that knows no other host yet.
    pub(crate) fn new(parts: Parts) -> Self {
        let own = Own {
            host: parts.own.host,
            zone: parts.own.zone,
            // Tells this process from those before it.
            run: rand::random(),
            register: Register::default(),
            news: Arc::new(Notify::new()),
        };
        Self(Arc::new(Shared {
            state: Mutex::new(State::new(own.clone(), parts.neighbours)),
            own,
            clock: parts.clock,
            schedule: parts.schedule,
            metrics: parts.metrics,
        }))
    }

    /// What other hosts ask here.
    pub(crate) fn desk(&self) -> Desk {
        Desk::new(self.clone())
    }

    /// Waits for an endpoint.
    pub(crate) async fn place(&self, mut ask: Query) -> Found {
        let number = self.0.own.register.number();
        let mut redirects = 0;
        while ask.prompt.is_some() && redirects <= MOST_REDIRECTS {
            let Some(link) = self.dispatcher() else {
                break;
            };
            let asked = self.0.clock.now();
            if asked >= ask.deadline {
                break;
            }
            ask.avoided = self.0.schedule.avoided();
            match link.ask(number, &ask, asked).await {
                Ok(answer) => {
                    self.state().answered(&link, answer.elsewhere.as_ref());
                    if let Some(decision) = answer.decision {
                        self.0.metrics.dispatched("dispatcher");
                        return self.found(ask, number, decision, link).await;
                    }
                    redirects += u32::from(answer.elsewhere.is_some());
                    ask.waited += self.0.clock.now().saturating_sub(asked);
                }
                Err(problem) => {
                    // It may have decided all the same.
                    link.tell(number, message::What::Abandoned);
                    self.failed(link.host(), &problem);
                }
            }
        }
        self.0.metrics.dispatched("own");
        ask.avoided.clear();
        self.own(ask, number).await
    }

    /// Whether this host places requests, for itself or for others.
    pub(crate) fn places(&self) -> bool {
        let now = self.0.clock.now();
        self.is_asked(now) || self.state().chosen(now).is_none()
    }

    /// Tells dispatchers what has come of placements, for as long as the process
    /// runs.
    pub(crate) async fn tell(self) {
        loop {
            let woken = time::timeout(GREETING, self.0.own.news.notified()).await;
            if woken.is_ok() {
                time::sleep(ADDS_UP).await;
            }
            self.look_for_incumbent().await;
            let now = self.0.clock.now();
            let dispatcher = self.dispatcher();
            let is_due = |link: &Link| link.called() + GREETING <= now;
            let greeted = dispatcher.filter(|link| is_due(link));
            let mut links = self.state().links();
            links.retain(|link| link.has_news());
            if let Some(link) = greeted
                && !links.iter().any(|one| Arc::ptr_eq(one, &link))
            {
                links.push(link);
            }
            for link in links {
                match link.greet(now).await {
                    Ok(answer) => self.state().answered(&link, answer.elsewhere.as_ref()),
                    Err(problem) => self.failed(link.host(), &problem),
                }
            }
        }
    }

    /// Lets this host, if it would place requests itself, find out whether another
    /// one does that already.
    async fn look_for_incumbent(&self) {
        let links = self.state().take_unasked();
        for link in links {
            let answer = link.greet(self.0.clock.now()).await;
            let mut state = self.state();
            match answer {
                Ok(answer) if answer.is_asked => state.follow(link.candidate().clone()),
                Ok(answer) => state.answered(&link, answer.elsewhere.as_ref()),
                Err(problem) => {
                    log::info!(host:% = link.host(), problem:%; "a host that may place requests does not answer");
                }
            }
            if state.has_incumbent() {
                return;
            }
        }
    }

    async fn own(&self, ask: Query, number: u64) -> Found {
        let shared = &self.0;
        let decision = shared.schedule.place(ask.clone(), number).await;
        match decision {
            Decision::Placed(placement) => {
                let ticket = Some(placement.ticket);
                let permit = self.permit(&ask, number, &placement, ticket, None);
                Found::Place(Box::new(placement), permit)
            }
            Decision::Refused {
                reason: why,
                retry_after,
                availability: seen,
            } => Found::Refused {
                why,
                retry_after,
                seen,
            },
        }
    }

    async fn found(
        &self,
        ask: Query,
        number: u64,
        decision: message::Decision,
        link: Arc<Link>,
    ) -> Found {
        match decision {
            message::Decision::Placed(placed) => {
                let placement = placed.placement();
                let adopted = self.0.schedule.adopt(ask.clone(), placement.clone());
                let ticket = adopted.await;
                let permit = self.permit(&ask, number, &placement, ticket, Some(link));
                Found::Place(Box::new(placement), permit)
            }
            message::Decision::Refused(refused) => refused.found(),
        }
    }

    fn permit(
        &self,
        ask: &Query,
        number: u64,
        placement: &Placement,
        ticket: Option<Ticket>,
        giver: Option<Arc<Link>>,
    ) -> Permit {
        let register = self.0.own.register.clone();
        register.add(number, ask, placement);
        Permit::new(self.0.schedule.clone(), ticket, number, register, giver)
    }

    /// The way to the host to ask now; none where this host decides.
    fn dispatcher(&self) -> Option<Arc<Link>> {
        self.state().dispatcher(self.0.clock.now())
    }

    /// Notes that another host has asked.
    fn asked(&self, now: Duration) {
        self.state().asked_at = Some(now);
    }

    /// Whether another host has asked of late.
    fn is_asked(&self, now: Duration) -> bool {
        let asked_at = self.state().asked_at;
        asked_at.is_some_and(|at| now < at + ASKED)
    }

    /// The host that places this one's requests, unless that is the one that asks.
    fn elsewhere(&self, asker: &id::Host, now: Duration) -> Option<Elsewhere> {
        let state = self.state();
        let chosen = state.chosen(now).filter(|one| one.host != *asker)?;
        Some(Elsewhere {
            host: chosen.host.as_str().to_owned(),
            address: chosen.address,
        })
    }

    fn failed(&self, host: &id::Host, problem: &str) {
        log::info!(host:%, problem; "the dispatcher does not answer");
        let now = self.0.clock.now();
        self.state().failed(host, now);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
