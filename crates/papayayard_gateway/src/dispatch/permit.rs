//! Permit to use an endpoint.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{Outcome, Ticket};
use papayayard_routing::rate::Rate;
use papayayard_wire::id;

use super::link::Link;
use super::message::Event;
use super::register::Register;
use crate::schedule::{Handle, Message};
use crate::targets::Weights;

/// Name of this host's own scheduler in logs.
pub(super) const OWN: &str = "own";

/// Permit to send a request to an endpoint; the outcome is reported when the permit is
/// dropped.
pub(crate) struct Permit {
    schedule: Handle,
    destination: Destination,
    /// Number of the request on this host.
    number: u64,
    register: Register,
    /// Dispatcher that placed the request; `None` if this host did.
    dispatcher: Option<Arc<Link>>,
    outcome: Outcome,
    has_begun: bool,
}

/// Where a request is sent.
pub(super) struct Destination {
    /// Ticket of this host's own scheduler, if it knows the endpoint.
    pub(super) ticket: Option<Ticket>,
    /// The endpoint's incarnation, if the release that placed the request names it.
    pub(super) incarnation: Option<(id::Endpoint, id::Incarnation)>,
    /// Weights that the request begins on, if their version is known.
    pub(super) weights: Option<Weights>,
}

impl Permit {
    pub(super) const fn new(
        destination: Destination,
        schedule: Handle,
        number: u64,
        register: Register,
        dispatcher: Option<Arc<Link>>,
    ) -> Self {
        Self {
            schedule,
            destination,
            number,
            register,
            dispatcher,
            outcome: Outcome::Abandoned,
            has_begun: false,
        }
    }

    /// Name of the dispatcher that placed the request, or `own`, for logs.
    pub(crate) fn placed_by(&self) -> &str {
        let dispatcher = self.dispatcher.as_ref();
        dispatcher.map_or(OWN, |dispatcher| dispatcher.host().as_str())
    }

    /// Time for which the request may still begin on the endpoint's weights; `None` without a
    /// limit.
    pub(crate) fn weights_remaining(&self) -> Option<Duration> {
        let weights = self.destination.weights.as_ref()?;
        self.schedule.targets().remaining(weights)
    }

    /// Whether the request may no longer begin on the endpoint's weights.
    pub(crate) fn is_outdated(&self) -> bool {
        self.weights_remaining().is_some_and(|left| left.is_zero())
    }

    /// Waits until the request may no longer begin on the endpoint's weights; for ever once it
    /// has begun.
    pub(crate) async fn until_outdated(&self) {
        match &self.destination.weights {
            Some(weights) if !self.has_begun => {
                self.schedule.targets().until_outdated(weights).await;
            }
            _ => future::pending().await,
        }
    }

    /// Records an event of the answer; only the first one has an effect.
    pub(crate) fn record_event(&mut self) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        self.register.record_first_event(self.number);
        self.report(Message::Begun, Some(Event::Begun));
    }

    /// Records that the endpoint announced its shutdown.
    pub(crate) fn mark_leaving(&self) {
        self.report(Message::Leaving, Some(Event::Leaving));
        if let (None, Some((endpoint, started))) =
            (self.destination.ticket, &self.destination.incarnation)
        {
            let message = Message::IncarnationLeaving(endpoint.clone(), *started);
            self.schedule.send(message);
        }
    }

    /// Records that the endpoint is asked for its run, which counts for its limit like a request.
    pub(crate) fn record_question(&self) {
        match (&self.dispatcher, self.destination.ticket) {
            (Some(dispatcher), _) => dispatcher.notify_question(self.number),
            (None, Some(ticket)) => self.schedule.send(Message::Asked(ticket)),
            (None, None) => {}
        }
    }

    /// Records that the endpoint requested a backoff from this host.
    pub(crate) fn set_backoff(&self, time: Duration) {
        self.report(|ticket| Message::Backoff(ticket, time), None);
    }

    /// Records the limit that the endpoint names in its answer.
    pub(crate) fn set_limit(&self, limit: Rate) {
        self.report_limit(Some(limit));
    }

    /// Records that the endpoint names no limit in its answer.
    pub(crate) fn clear_limit(&self, endpoint: &id::Endpoint) {
        if self.schedule.is_limited(endpoint) {
            self.report_limit(None);
        }
    }

    /// Records the limit on refusals that the endpoint names in its answer.
    pub(crate) fn set_refusal_limit(&self, limit: Rate) {
        self.report_refusal_limit(Some(limit));
    }

    /// Records that the endpoint names no limit on refusals in its answer.
    pub(crate) fn clear_refusal_limit(&self, endpoint: &id::Endpoint) {
        if self.schedule.has_refusal_limit(endpoint) {
            self.report_refusal_limit(None);
        }
    }

    fn report_refusal_limit(&self, limit: Option<Rate>) {
        self.report(|ticket| Message::RefusalLimit(ticket, limit), None);
        if let Some(dispatcher) = &self.dispatcher {
            dispatcher.notify_refusal_limit(self.number, limit);
        }
    }

    fn report_limit(&self, limit: Option<Rate>) {
        self.report(|ticket| Message::Limit(ticket, limit), None);
        if let Some(dispatcher) = &self.dispatcher {
            dispatcher.notify_limit(self.number, limit);
        }
    }

    /// Reports the outcome and drops the permit.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Reports to this host's scheduler, and to the dispatcher if there is an event for
    /// it.
    fn report<ToMessage>(&self, to_message: ToMessage, event: Option<Event>)
    where
        ToMessage: FnOnce(Ticket) -> Message,
    {
        if let Some(ticket) = self.destination.ticket {
            self.schedule.send(to_message(ticket));
        }
        if let (Some(dispatcher), Some(event)) = (&self.dispatcher, event) {
            dispatcher.notify(self.number, event);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.register.remove(self.number);
        let outcome = self.outcome;
        self.report(
            |ticket| Message::Finished(ticket, outcome),
            Some(Event::from(outcome)),
        );
    }
}
