//! Finds an endpoint for a request, through a dispatcher or on this host.
//!
//! The dispatcher is the host that places the requests of many hosts; see
//! `papayayard_coordination::dispatcher`. Progress and outcomes of requests are reported
//! to it with the next placement request, or a moment later. This host records them too,
//! so that it can place requests itself as soon as its dispatcher fails. Requests to
//! plain services are placed here, since their endpoints are few and quick, except while
//! one of the endpoints limits requests or refusals of all hosts together.
//!
//! A host that reaches no endpoint places no requests of others: it would go by the
//! failures of its own network. It tells its callers, who then ask the next host.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_coordination::dispatcher_health;
use papayayard_routing::placement::{Availability, Decision, Placement, Query, Ticket};
use papayayard_wire::id;
use tokio::sync::{Notify, watch};
use tokio::time;

use crate::clock::Clock;
use crate::hosts::{self, Neighbours};
use crate::metrics::Metrics;
use crate::overload::Verdict;
use crate::peers::DispatchError;
use crate::quota::{self, Bill};
use crate::runs;
use crate::schedule::{Handle, Message};
use crate::targets::Weights;
use crate::uplink;

mod cause;
mod charging;
mod handler;
mod link;
mod message;
mod permit;
mod register;
mod retry;
mod state;

pub(crate) use cause::Cause;
pub(crate) use handler::Handler;
pub(crate) use message::{Answer as DispatchAnswer, Call as DispatchCall};
pub(crate) use permit::Permit;

use charging::Charge;
use link::{Failure, Link, Local};
use message::{Limits, Redirect};
use register::Register;
use state::State;

/// Delay before notices are sent, so that several are sent in one call.
const BATCHING_DELAY: Duration = Duration::from_millis(40);
/// The same delay while endpoints limit refusals: until the dispatcher knows that a request has
/// ended, its slot is not used.
const SHORT_BATCHING_DELAY: Duration = Duration::from_millis(4);
/// Time without a call after which this host calls its dispatcher without a placement
/// request, so that the dispatcher knows whose requests it places.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of redirects that a request follows before this host places it: hosts
/// may disagree on the dispatcher for a moment.
const MAX_REDIRECTS: u32 = 2;
/// Time after a placement request of another host for which this host counts as a
/// dispatcher.
const ROLE_DURATION: Duration = Duration::from_secs(3);

/// Endpoint selected for a request, or the reason why there is none.
pub(crate) enum Selection {
    /// The request may be sent to the endpoint.
    Placed(Box<Placement>, Permit),
    /// The request is not placed.
    Refused {
        reason: Cause,
        /// Delay after which the caller should retry.
        retry_after: Duration,
        /// State of the service's endpoints at the decision.
        availability: Availability,
        /// Name of the dispatcher that decided, or `own`, for logs.
        refused_by: String,
    },
}

impl Selection {
    /// Whether the request was refused since the host that places it is busy.
    const fn is_undecided(&self) -> bool {
        matches!(
            self,
            Self::Refused {
                reason: Cause::BusyDispatcher,
                ..
            }
        )
    }
}

/// Dependencies of [`Dispatch`].
pub(crate) struct Parts {
    pub(crate) local: hosts::LocalHost,
    pub(crate) clock: Clock,
    /// This host's own scheduler.
    pub(crate) schedule: Handle,
    /// Hosts that can act as dispatcher.
    pub(crate) neighbours: watch::Receiver<Neighbours>,
    /// Tells whether this host reaches endpoints.
    pub(crate) uplink: uplink::Handle,
    /// Tells which endpoints run the software that is listed.
    pub(crate) runs: runs::Tracker,
    /// Quotas of client accounts.
    pub(crate) quota: quota::Handle,
    pub(crate) metrics: Metrics,
}

/// Finds endpoints for requests.
#[derive(Clone)]
pub(crate) struct Dispatch(Arc<Shared>);

struct Shared {
    local: Local,
    clock: Clock,
    schedule: Handle,
    uplink: uplink::Handle,
    runs: runs::Tracker,
    metrics: Metrics,
    state: Mutex<State>,
}

impl Dispatch {
    pub(crate) fn new(parts: Parts) -> Self {
        let local = Local {
            host: parts.local.host,
            zone: parts.local.zone,
            clock: parts.clock,
            // Distinguishes this process from earlier ones of the same host.
            run: parts.quota.run(),
            register: Register::default(),
            wakeup: Arc::new(Notify::new()),
            quota: parts.quota,
        };
        Self(Arc::new(Shared {
            state: Mutex::new(State::new(local.clone(), parts.neighbours)),
            local,
            clock: parts.clock,
            schedule: parts.schedule,
            uplink: parts.uplink,
            runs: parts.runs,
            metrics: parts.metrics,
        }))
    }

    /// Quotas of client accounts.
    pub(crate) fn quota(&self) -> &quota::Handle {
        &self.0.local.quota
    }

    /// Returns the handler of other hosts' calls.
    pub(crate) fn handler(&self) -> Handler {
        Handler::new(self.clone())
    }

    /// Waits until the request is charged and placed, or refused.
    pub(crate) async fn place_charged(&self, query: Query, bill: &Bill) -> Selection {
        if !self.is_dispatched(&query) {
            bill.spend_prepaid().await;
        }
        let stream = retry::is_continued(&query).then(|| query.clone());
        let mut selection = self.select(query, bill).await;
        while let Some(query) = &stream
            && retry::wait(query, &selection, self.0.clock).await
        {
            selection = self.select(query.clone(), bill).await;
        }
        if selection.is_undecided() {
            self.0.metrics.refused_as_busy();
        }
        selection
    }

    async fn select(&self, mut query: Query, bill: &Bill) -> Selection {
        let mut number = self.0.local.register.number();
        let mut repeated_at = None;
        let mut redirects = 0;
        let mut leaving = Vec::new();
        while (self.is_dispatched(&query) || bill.is_due()) && redirects <= MAX_REDIRECTS {
            let Some(link) = self.dispatcher() else {
                break;
            };
            let requested_at = self.0.clock.now();
            if requested_at >= query.deadline {
                break;
            }
            query.avoided = self.0.schedule.avoided();
            query.avoided.extend(self.restarted(&query));
            query.avoided.extend_from_slice(&leaving);
            let charge = Charge::new(bill, link.host());
            let is_repeated = repeated_at.as_ref() == Some(link.host());
            let answer = link.request_placement(number, &query, charge, requested_at, is_repeated);
            match answer.await {
                Ok(answer) => {
                    self.state().answered(&link, answer.elsewhere.as_ref());
                    let request = (number, query.deadline);
                    if let Some(refused) = self.settle(bill, &answer, request, &link).await {
                        return refused;
                    }
                    self.set_limits(answer.limits, requested_at);
                    if let Some(decision) = answer.decision {
                        if !decision.fits(&query) {
                            // An older release places by other needs.
                            link.notify(number, message::Event::Abandoned);
                            break;
                        }
                        match self.adopt(&query, number, decision, link).await {
                            Ok(selection) => {
                                self.0.metrics.dispatched("dispatcher");
                                return selection;
                            }
                            Err(endpoint) if leaving.contains(&endpoint) => break,
                            Err(endpoint) => leaving.push(endpoint),
                        }
                    }
                    redirects += u32::from(answer.elsewhere.is_some());
                    query.waited += self.0.clock.now().saturating_sub(requested_at);
                }
                Err(failure) => {
                    // The dispatcher may have placed the request nevertheless.
                    link.notify(number, message::Event::Abandoned);
                    bill.unanswered();
                    self.record_failure(&link, &failure);
                    if failure.state == dispatcher_health::State::Busy {
                        number = self.0.local.register.number();
                        query.waited += self.0.clock.now().saturating_sub(requested_at);
                        if is_repeated || !retry::is_in_time(&query, self.0.clock) {
                            self.0.metrics.dispatched("dispatcher");
                            return retry::refuse(&query, link.host(), self.0.clock);
                        }
                        repeated_at = Some(link.host().clone());
                        self.0.metrics.dispatch_repeated();
                    }
                }
            }
        }
        if let Some(refused) = self.charge_own(bill, query.deadline).await {
            return refused;
        }
        self.0.metrics.dispatched("own");
        query.avoided = self.restarted(&query);
        self.place_locally(query, number).await
    }

    /// Records whether a dispatcher has charged a request, and charges it here if the dispatcher
    /// decided without it. Returns the refusal of a request that is beyond its quota.
    async fn settle(
        &self,
        bill: &Bill,
        answer: &DispatchAnswer,
        (number, deadline): (u64, Duration),
        link: &Link,
    ) -> Option<Selection> {
        bill.answered(answer.is_charged);
        let refused = match answer.decision.as_ref()? {
            message::Decision::Placed(_) => self.charge_own(bill, deadline).await,
            message::Decision::Refused(_) => None,
        };
        if refused.is_some() {
            link.notify(number, message::Event::Abandoned);
        }
        refused
    }

    /// Charges a request to the pool of this host, if it is still due. Returns the refusal of a
    /// request that is beyond its quota.
    async fn charge_own(&self, bill: &Bill, deadline: Duration) -> Option<Selection> {
        let retry_after = bill.charge_own(deadline).await.err()?;
        Some(Selection::Refused {
            reason: Cause::OVER_QUOTA,
            retry_after,
            availability: Availability::default(),
            refused_by: permit::OWN.to_owned(),
        })
    }

    /// Places a request that has no quota.
    #[cfg(test)]
    async fn place(&self, query: Query) -> Selection {
        self.place_charged(query, &Bill::default()).await
    }

    /// Endpoints that cannot take up the stream that a request continues, since their software
    /// is not the listed one.
    fn restarted(&self, query: &Query) -> Vec<id::Endpoint> {
        if query.software.is_some() {
            self.0.runs.restarted()
        } else {
            Vec::new()
        }
    }

    /// Whether a dispatcher places a request.
    fn is_dispatched(&self, query: &Query) -> bool {
        query.prompt.is_some() || self.0.schedule.has_limits(&query.service)
    }

    /// Adopts the limits that the dispatcher knew when it was called.
    fn set_limits(&self, limits: Option<Limits>, called_at: Duration) {
        if let Some(limits) = limits {
            let message = Message::Limits(Box::new(limits.into_lists()), called_at);
            self.0.schedule.send(message);
        }
    }

    /// Records that an endpoint is leaving by its answer to a request that another host served.
    pub(crate) fn mark_leaving(&self, endpoint: id::Endpoint) {
        self.0.schedule.send(Message::EndpointLeaving(endpoint));
    }

    /// Whether this host places requests, its own or those of other hosts.
    pub(crate) fn places_requests(&self) -> bool {
        let now = self.0.clock.now();
        self.is_dispatcher(now) || self.state().current(now).is_none()
    }

    /// Reports progress and outcomes of requests to dispatchers for as long as the
    /// process runs.
    pub(crate) async fn report(self) {
        loop {
            let woken = time::timeout(HEARTBEAT_PERIOD, self.0.local.wakeup.notified()).await;
            if woken.is_ok() {
                time::sleep(self.batching_delay()).await;
            }
            self.find_incumbent().await;
            let now = self.0.clock.now();
            let dispatcher = self.dispatcher();
            let is_due = |link: &Link| link.called_at() + HEARTBEAT_PERIOD <= now;
            let is_dispatcher = |link: &Arc<Link>| {
                let dispatcher = dispatcher.as_ref();
                dispatcher.is_some_and(|dispatcher| Arc::ptr_eq(dispatcher, link))
            };
            let mut links = self.state().links();
            links.retain(|link| link.has_notices() || (is_dispatcher(link) && is_due(link)));
            for link in links {
                let is_used = is_dispatcher(&link);
                match link.send_heartbeat(is_used, now).await {
                    Ok(answer) => {
                        self.state().answered(&link, answer.elsewhere.as_ref());
                        if is_used {
                            self.set_limits(answer.limits, now);
                        }
                    }
                    Err(failure) if is_used => self.record_failure(&link, &failure),
                    Err(failure) => self.record_lost_notices(&link, &failure),
                }
            }
        }
    }

    fn batching_delay(&self) -> Duration {
        if self.0.schedule.has_refusal_limits() {
            SHORT_BATCHING_DELAY
        } else {
            BATCHING_DELAY
        }
    }

    /// Checks whether another host already acts as dispatcher, in case this host would
    /// otherwise place requests itself.
    async fn find_incumbent(&self) {
        let links = self.state().take_unprobed();
        for link in links {
            let answer = link.send_heartbeat(false, self.0.clock.now()).await;
            let mut state = self.state();
            match answer {
                Ok(answer) if answer.is_asked => state.set_incumbent(link.candidate().clone()),
                Ok(answer) => state.answered(&link, answer.elsewhere.as_ref()),
                Err(failure) => {
                    log::info!(host:% = link.host(), problem:% = failure.problem; "a possible dispatcher does not answer");
                }
            }
            if state.has_incumbent() {
                return;
            }
        }
    }

    async fn place_locally(&self, query: Query, number: u64) -> Selection {
        let shared = &self.0;
        let decision = match shared.schedule.place(query.clone(), number).await {
            Verdict::Shed(retry_after) => return retry::refused(retry_after, permit::OWN),
            Verdict::Decided(decision) => *decision,
        };
        match decision {
            Decision::Placed(placement) => {
                let ticket = Some(placement.ticket);
                let permit = self.permit(&query, number, &placement, ticket, None);
                Selection::Placed(Box::new(placement), permit)
            }
            Decision::Refused {
                reason,
                retry_after,
                availability,
            } => Selection::Refused {
                reason: Cause::Decision(reason),
                retry_after,
                availability,
                refused_by: permit::OWN.to_owned(),
            },
        }
    }

    /// Records a dispatcher's decision in this host's scheduler. Returns the endpoint if this
    /// host knows that it is leaving, and tells the dispatcher so.
    async fn adopt(
        &self,
        query: &Query,
        number: u64,
        decision: message::Decision,
        link: Arc<Link>,
    ) -> Result<Selection, id::Endpoint> {
        let placed = match decision {
            message::Decision::Placed(placed) => placed,
            message::Decision::Refused(refused) => return Ok(refused.into_selection(link.host())),
        };
        let mut placement = placed.into_placement(query);
        if placement.software.is_none() {
            placement.software = self.0.runs.suspect(&placement.endpoint);
        }
        let adopted = self.0.schedule.adopt(query.clone(), placement.clone());
        let adopted = adopted.await;
        if adopted.is_leaving {
            log::info!(endpoint:% = placement.endpoint, by:% = link.host(); "placed at an endpoint that leaves; asked again");
            link.notify(number, message::Event::Leaving);
            link.notify(number, message::Event::Abandoned);
            return Err(placement.endpoint);
        }
        // The store says where an endpoint is, not another host.
        placement.address = adopted.address.unwrap_or(placement.address);
        let permit = self.permit(query, number, &placement, adopted.ticket, Some(link));
        Ok(Selection::Placed(Box::new(placement), permit))
    }

    /// Names the software in a placement for another host only if it is known.
    fn name_software(&self, placement: Placement) -> Placement {
        Placement {
            software: self.0.runs.software(&placement.endpoint),
            ..placement
        }
    }

    fn permit(
        &self,
        query: &Query,
        number: u64,
        placement: &Placement,
        ticket: Option<Ticket>,
        link: Option<Arc<Link>>,
    ) -> Permit {
        let register = self.0.local.register.clone();
        register.add(number, query, placement);
        let prompt = query.prompt.as_ref();
        let now = self.0.clock.now();
        let weights = prompt
            .zip(placement.version)
            .map(|(prompt, version)| Weights {
                model: prompt.model.clone(),
                version,
                usable_until: placement.usable_for.map(|time| now + time),
            });
        let schedule = self.0.schedule.clone();
        let incarnation = placement
            .started
            .map(|started| (placement.endpoint.clone(), started));
        Permit::new(
            permit::Destination {
                ticket,
                incarnation,
                weights,
            },
            schedule,
            number,
            register,
            link,
        )
    }

    /// Link to the current dispatcher; `None` if this host places its own requests.
    fn dispatcher(&self) -> Option<Arc<Link>> {
        self.state().dispatcher(self.0.clock.now())
    }

    /// Records a placement request of another host.
    fn record_request(&self, now: Duration) {
        self.state().last_request_at = Some(now);
    }

    /// Whether another host has sent a placement request within [`ROLE_DURATION`].
    fn is_dispatcher(&self, now: Duration) -> bool {
        let last_request_at = self.state().last_request_at;
        last_request_at.is_some_and(|at| now < at + ROLE_DURATION)
    }

    /// The dispatcher of this host, unless it is the requesting host.
    fn redirect(&self, requesting_host: &id::Host, now: Duration) -> Option<Redirect> {
        let state = self.state();
        let current = state
            .current(now)
            .filter(|candidate| candidate.host != *requesting_host)?;
        Some(Redirect {
            host: current.host.as_str().to_owned(),
            address: current.address,
        })
    }

    /// Records a call without an answer, and leaves the dispatcher if it is gone.
    fn record_failure(&self, link: &Link, failure: &Failure) {
        match failure.state {
            dispatcher_health::State::Busy => {
                self.0.metrics.dispatch_timed_out("busy");
                link.report_timeout();
            }
            dispatcher_health::State::Gone => {
                if matches!(failure.problem, DispatchError::TimedOut) {
                    self.0.metrics.dispatch_timed_out("gone");
                }
                self.failed(link.host(), &failure.problem.to_string());
            }
        }
    }

    /// Records that a host which this one does not use got no notices. Unlike a dispatcher that
    /// is left, it does not count this host's part of the limits.
    fn record_lost_notices(&self, link: &Link, failure: &Failure) {
        log::debug!(host:% = link.host(), problem:% = failure.problem; "notices are not answered");
        if failure.state == dispatcher_health::State::Gone {
            let now = self.0.clock.now();
            self.state().failed(link.host(), now);
        }
    }

    fn failed(&self, host: &id::Host, problem: &str) {
        log::info!(host:%, problem; "the dispatcher does not answer");
        let now = self.0.clock.now();
        self.state().failed(host, now);
        self.0.schedule.send(Message::UseElsewhere);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "dispatch/busy_test.rs"]
mod busy_test;
#[cfg(test)]
#[path = "dispatch/cost_test.rs"]
mod cost_test;
#[cfg(test)]
#[path = "dispatch_test.rs"]
mod test;
