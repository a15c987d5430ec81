//! What endpoints state of themselves in their answers.
//!
//! An endpoint that leaves says so in its answers, and one that turns requests
//! away says for how long it wants none. Its record in the list lags behind that
//! and can show an older state again, or lapse and come back. So a statement
//! holds whatever the list says, until another life of the endpoint is listed.

use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::ask::Ticket;

/// Statements of one life of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Stated {
    /// Start of the life.
    pub(super) started: id::Incarnation,
    /// Whether it leaves.
    pub(super) is_leaving: bool,
    /// Time until which it wants no requests.
    pub(super) quiet_until: Duration,
}

impl Stated {
    /// Whether it wants requests, as far as it has said.
    pub(super) fn permits(&self, now: Duration) -> bool {
        !self.is_leaving && self.quiet_until <= now
    }
}

impl Scheduler {
    /// Takes over that the endpoint of a placed request says that it leaves.
    pub fn states_leaving(&mut self, ticket: Ticket) {
        self.state(ticket, |stated| stated.is_leaving = true);
    }

    /// Takes over that the endpoint of a placed request wants none for a time.
    pub fn states_quiet(&mut self, ticket: Ticket, time: Duration, now: Duration) {
        self.state(ticket, |stated| {
            stated.quiet_until = stated.quiet_until.max(now + time);
        });
    }

    /// Endpoints that this host does not reach, or that want nothing from it.
    pub fn avoided(&self, zone: &id::Zone, now: Duration) -> Vec<id::Endpoint> {
        let backends = self.backends.values();
        let avoided = backends.filter(|one| {
            one.health.is_ejected(now)
                || !one.stated.permits(now)
                || self.reach.is_out(zone, &one.endpoint.zone, now)
        });
        avoided.map(|one| one.endpoint.id.clone()).collect()
    }

    /// What a life of an endpoint has stated.
    pub(super) fn stated(&self, endpoint: &id::Endpoint, started: id::Incarnation) -> Stated {
        let known = self.stated.get(endpoint).copied();
        let of_life = known.filter(|stated| stated.started == started);
        of_life.unwrap_or(Stated {
            started,
            ..Stated::default()
        })
    }

    fn state<Change>(&mut self, ticket: Ticket, change: Change)
    where
        Change: FnOnce(&mut Stated),
    {
        let Some(placed) = self.tickets.get(ticket) else {
            return;
        };
        let (endpoint, life) = (placed.endpoint.clone(), placed.started);
        let newest = self.stated.get(&endpoint).map(|stated| stated.started);
        if newest.is_some_and(|newest| newest > life) {
            return;
        }
        let mut stated = self.stated(&endpoint, life);
        change(&mut stated);
        if let Some(backend) = self.backend_mut(&endpoint)
            && backend.endpoint.started == life
        {
            backend.stated = stated;
        }
        self.stated.insert(endpoint, stated);
    }
}
