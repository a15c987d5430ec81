//! What endpoints state of themselves in their answers.
//!
//! An endpoint that leaves says so in its answers, and one that turns requests
//! away says for how long it wants none. Its record in the list lags behind that
//! and can show an older state again, or lapse and come back. So a statement
//! holds whatever the list says, until another life of the endpoint is listed.

use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::query::Ticket;

/// Statements of one life of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Signals {
    /// Start of the life.
    pub(super) started: id::Incarnation,
    /// Whether it leaves.
    pub(super) is_leaving: bool,
    /// Time until which it wants no requests.
    pub(super) backoff_until: Duration,
}

impl Signals {
    /// Whether it wants requests, as far as it has said.
    pub(super) fn permits(&self, now: Duration) -> bool {
        !self.is_leaving && self.backoff_until <= now
    }
}

impl Scheduler {
    /// Takes over that the endpoint of a placed request says that it leaves.
    pub fn mark_leaving(&mut self, ticket: Ticket) {
        self.update_signals(ticket, |signals| signals.is_leaving = true);
    }

    /// Takes over that the endpoint of a placed request wants none for a time.
    pub fn set_backoff(&mut self, ticket: Ticket, time: Duration, now: Duration) {
        self.update_signals(ticket, |signals| {
            signals.backoff_until = signals.backoff_until.max(now + time);
        });
    }

    /// Endpoints that this host does not reach, or that want nothing from it.
    pub fn avoided(&self, zone: &id::Zone, now: Duration) -> Vec<id::Endpoint> {
        let backends = self.backends.values();
        let avoided = backends.filter(|backend| {
            backend.health.is_ejected(now)
                || !backend.signals.permits(now)
                || self
                    .reachability
                    .is_unreachable(zone, &backend.endpoint.zone, now)
        });
        avoided.map(|backend| backend.endpoint.id.clone()).collect()
    }

    /// What a life of an endpoint has stated.
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
        let newest = self.signals.get(&endpoint).map(|signals| signals.started);
        if newest.is_some_and(|newest| newest > incarnation) {
            return;
        }
        let mut signals = self.signals(&endpoint, incarnation);
        change(&mut signals);
        if let Some(backend) = self.backend_mut(&endpoint)
            && backend.endpoint.started == incarnation
        {
            backend.signals = signals;
        }
        self.signals.insert(endpoint, signals);
    }
}
