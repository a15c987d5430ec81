//! Leave to use an endpoint.

use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{Outcome, Ticket};

use super::link::Link;
use super::message::What;
use super::register::Register;
use crate::schedule::{Handle, Message};

/// Leave to use an endpoint, given back when it is dropped.
pub(crate) struct Permit {
    schedule: Handle,
    /// Ticket of this host's own scheduler, if it knows the endpoint.
    ticket: Option<Ticket>,
    /// Number of the request on this host.
    number: u64,
    register: Register,
    /// The dispatcher that gave it, if one did.
    giver: Option<Arc<Link>>,
    outcome: Outcome,
    has_begun: bool,
}

impl Permit {
    /// A permit of this host's scheduler, or of a dispatcher.
    pub(super) const fn new(
        schedule: Handle,
        ticket: Option<Ticket>,
        number: u64,
        register: Register,
        giver: Option<Arc<Link>>,
    ) -> Self {
        Self {
            schedule,
            ticket,
            number,
            register,
            giver,
            outcome: Outcome::Abandoned,
            has_begun: false,
        }
    }

    /// Name of who gave it, for logs.
    pub(crate) fn giver(&self) -> &str {
        let giver = self.giver.as_ref();
        giver.map_or("own", |giver| giver.host().as_str())
    }

    /// Notes that an event has come; the first one counts.
    pub(crate) fn begun(&mut self) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        self.register.begun(self.number);
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
        if let (Some(giver), Some(what)) = (&self.giver, what) {
            giver.tell(self.number, what);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.register.remove(self.number);
        let outcome = self.outcome;
        self.tell(
            |ticket| Message::Finished(ticket, outcome),
            Some(What::from(outcome)),
        );
    }
}
