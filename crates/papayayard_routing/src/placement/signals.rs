//! Signals that endpoints send in their answers.
//!
//! An endpoint that is shutting down announces this in its answers, and one that refuses
//! requests states for how long. Its record in the list lags behind and can show an older state
//! again, or lapse and come back. A signal therefore overrides the list until a new incarnation
//! of the endpoint is listed.

use std::collections::HashSet;
use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::backend::Backend;
use super::path::Sender;
use super::query::Ticket;

/// Signals of one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Signals {
    /// Start of the incarnation.
    pub(super) started: id::Incarnation,
    /// Whether the endpoint is leaving.
    pub(super) is_leaving: bool,
    /// End of the backoff requested by the endpoint.
    pub(super) backoff_until: Duration,
}

impl Signals {
    /// Whether the signals allow new requests.
    pub(super) fn permits(&self, now: Duration) -> bool {
        !self.is_leaving && self.backoff_until <= now
    }
}

impl Scheduler {
    /// Records that the endpoint of a placed request is leaving.
    pub fn mark_leaving(&mut self, ticket: Ticket) {
        self.update_signals(ticket, |signals| signals.is_leaving = true);
        self.note_leaving(ticket);
    }

    /// Records that the listed incarnation of an endpoint is leaving.
    pub fn mark_endpoint_leaving(&mut self, endpoint: &id::Endpoint) {
        let Some(backend) = self.backend_mut(endpoint) else {
            return;
        };
        backend.signals.is_leaving = true;
        let mut signals = backend.signals;
        signals.started = backend.endpoint.started;
        self.signals.insert(endpoint.clone(), signals);
    }

    /// Records that an incarnation of an endpoint is leaving, which may not be listed yet.
    pub fn mark_incarnation_leaving(&mut self, endpoint: &id::Endpoint, started: id::Incarnation) {
        let leave = |signals: &mut Signals| signals.is_leaving = true;
        self.update_signals_of(endpoint, started, leave);
    }

    /// Whether an incarnation of an endpoint is listed or known as leaving; if none is given, the
    /// listed one.
    pub fn is_leaving(&self, endpoint: &id::Endpoint, started: Option<id::Incarnation>) -> bool {
        let key = self.by_id.get(endpoint);
        let backend = key.map(|key| &self.backends[*key]);
        backend.is_some_and(|backend| {
            let listed = backend.endpoint.started;
            backend.is_leaving() && started.is_none_or(|started| started == listed)
        })
    }

    /// Records a backoff requested by the endpoint of a placed request.
    pub fn set_backoff(&mut self, ticket: Ticket, time: Duration, now: Duration) {
        self.update_signals(ticket, |signals| {
            let until = now.saturating_add(time);
            signals.backoff_until = signals.backoff_until.max(until);
        });
        self.note_backoff(ticket, now);
    }

    /// Returns the endpoints that this host cannot reach while it reaches others of the service,
    /// or that accept no requests from it.
    pub fn avoided(&self, zone: &id::Zone, now: Duration) -> Vec<id::Endpoint> {
        let sender = Sender { host: None, zone };
        let is_unreached = |backend: &Backend| {
            backend.health.is_ejected(now)
                || self.paths.excludes(sender, &backend.endpoint.zone, now)
        };
        let backends = self.backends.values();
        let accepting = backends.filter(|backend| backend.signals.permits(now));
        let reached = accepting.filter(|backend| !is_unreached(backend));
        let services: HashSet<&id::Service> =
            reached.map(|backend| &backend.endpoint.service).collect();
        let avoided = self.backends.values().filter(|backend| {
            let reaches_others = services.contains(&backend.endpoint.service);
            !backend.signals.permits(now) || (reaches_others && is_unreached(backend))
        });
        avoided.map(|backend| backend.endpoint.id.clone()).collect()
    }

    /// Returns the signals of an incarnation, empty if it has sent none.
    pub(super) fn signals(&self, endpoint: &id::Endpoint, started: id::Incarnation) -> Signals {
        let known = self.signals.get(endpoint).copied();
        let of_incarnation = known.filter(|signals| signals.started == started);
        of_incarnation.unwrap_or(Signals {
            started,
            ..Signals::default()
        })
    }

    fn update_signals<Change>(&mut self, ticket: Ticket, change: Change)
    where
        Change: FnOnce(&mut Signals),
    {
        let Some(placed) = self.tickets.get(ticket) else {
            return;
        };
        let (endpoint, incarnation) = (placed.endpoint.clone(), placed.started);
        self.update_signals_of(&endpoint, incarnation, change);
    }

    fn update_signals_of<Change>(
        &mut self,
        endpoint: &id::Endpoint,
        incarnation: id::Incarnation,
        change: Change,
    ) where
        Change: FnOnce(&mut Signals),
    {
        let newest = self.signals.get(endpoint).map(|signals| signals.started);
        if newest.is_some_and(|newest| newest > incarnation) {
            return;
        }
        let mut signals = self.signals(endpoint, incarnation);
        change(&mut signals);
        if let Some(backend) = self.backend_mut(endpoint)
            && backend.endpoint.started == incarnation
        {
            backend.signals = signals;
        }
        self.signals.insert(endpoint.clone(), signals);
    }
}
