//! Leave to use an endpoint.

use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{Outcome, Ticket};

use super::link::Link;
use super::message::What;
use crate::schedule::{Handle, Message};

/// Leave to use an endpoint, given back when it is dropped.
pub(crate) struct Permit {
    schedule: Handle,
    /// Ticket of this host's own scheduler, if it knows the endpoint.
    ticket: Option<Ticket>,
    /// The dispatcher that gave it, if one did.
    grant: Option<Grant>,
    outcome: Outcome,
    has_begun: bool,
}

struct Grant {
    link: Arc<Link>,
    /// The dispatcher's ticket, as a number.
    ticket: u64,
}

impl Permit {
    /// A permit that this host gave itself.
    pub(super) const fn own(schedule: Handle, ticket: Ticket) -> Self {
        Self {
            schedule,
            ticket: Some(ticket),
            grant: None,
            outcome: Outcome::Abandoned,
            has_begun: false,
        }
    }

    /// A permit that the dispatcher gave.
    pub(super) const fn granted(
        schedule: Handle,
        own: Option<Ticket>,
        link: Arc<Link>,
        ticket: u64,
    ) -> Self {
        Self {
            schedule,
            ticket: own,
            grant: Some(Grant { link, ticket }),
            outcome: Outcome::Abandoned,
            has_begun: false,
        }
    }

    /// Name of who gave it, for logs.
    pub(crate) fn giver(&self) -> &str {
        self.grant
            .as_ref()
            .map_or("own", |grant| grant.link.host().as_str())
    }

    /// Notes that an event has come; the first one counts.
    pub(crate) fn begun(&mut self) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        self.tell(Message::Begun, Some(What::Begun));
    }

    /// Notes that the endpoint says that it leaves.
    pub(crate) fn leaving(&self) {
        self.tell(Message::Leaving, Some(What::Leaving));
    }

    /// Notes that the endpoint wants nothing from this host for a time.
    pub(crate) fn quiet(&self, time: Duration) {
        self.tell(|ticket| Message::Quiet(ticket, time), None);
    }

    /// Gives the permit back with an outcome.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    fn tell<Own>(&self, own: Own, what: Option<What>)
    where
        Own: FnOnce(Ticket) -> Message,
    {
        if let Some(ticket) = self.ticket {
            self.schedule.tell(own(ticket));
        }
        if let (Some(grant), Some(what)) = (&self.grant, what) {
            grant.link.tell(grant.ticket, what);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let outcome = self.outcome;
        self.tell(
            |ticket| Message::Finished(ticket, outcome),
            Some(What::from(outcome)),
        );
    }
}
