//! How placed requests go on and end, and what that says of their endpoints.

use std::time::Duration;

use papayayard_wire::id;

use super::ask::{BackendKey, Outcome, Ticket};
use super::load::Amounts;
use super::{Scheduler, ms};
use crate::prompt;

/// Time for which an endpoint that refused is left alone.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);
/// Time beyond the expected one after which a silent endpoint is failing.
const SILENCE: Duration = Duration::from_secs(2);
/// Failures in a row that one refused or unanswered connection counts for.
const UNREACHABLE_FAILURES: usize = 2;

/// A request that was placed.
pub(super) struct Placed {
    pub(super) backend: BackendKey,
    pub(super) endpoint: id::Endpoint,
    /// Start of the endpoint's process.
    pub(super) started: id::Incarnation,
    /// What it adds to the endpoint's load.
    pub(super) amounts: Amounts,
    /// When it was placed.
    pub(super) sent: Duration,
    /// Expected time to the first event.
    pub(super) expected: Duration,
    /// The part of it that load and the prompt explain, in ms.
    pub(super) explained_ms: f64,
    /// Keys of the shared parts.
    pub(super) keys: Vec<prompt::Key>,
    pub(super) is_stream: bool,
    pub(super) begun: bool,
    pub(super) overdue: bool,
}

impl Scheduler {
    /// Notes that a request's first event has come.
    pub fn begun(&mut self, ticket: Ticket, now: Duration) {
        let Some(placed) = self.tickets.get_mut(ticket) else {
            return;
        };
        if placed.begun {
            return;
        }
        placed.begun = true;
        let unread = Amounts {
            unread: placed.amounts.unread,
            ..Amounts::default()
        };
        placed.amounts.unread = 0.0;
        let late_ms = elapsed_ms(placed.sent, now) - placed.explained_ms;
        let is_stream = placed.is_stream;
        if let Some(backend) = self.backends.get_mut(placed.backend) {
            self.reach.answered(&backend.endpoint.zone);
            backend.load.remove(unread, now);
            for key in &placed.keys {
                backend.cache.confirm(*key, now);
            }
            if is_stream {
                backend.delay.observe(late_ms - self.usual.ms(), now);
                self.usual.observe(late_ms);
            }
        }
    }

    /// Notes how a placed request ended.
    pub fn finished(&mut self, ticket: Ticket, outcome: Outcome, now: Duration) {
        let Some(placed) = self.tickets.remove(ticket) else {
            return;
        };
        let Some(backend) = self.backends.get_mut(placed.backend) else {
            return;
        };
        backend.load.remove(placed.amounts, now);
        if backend.endpoint.id != placed.endpoint {
            return;
        }
        let zone = &backend.endpoint.zone;
        match outcome {
            Outcome::Whole => {
                self.reach.answered(zone);
                backend.health.succeeded(now);
                backend.served(now.saturating_sub(placed.sent));
            }
            Outcome::Abandoned => {}
            Outcome::Refused | Outcome::Mismatched => {
                self.reach.answered(zone);
                backend.refuses_until = now + REFUSAL_PAUSE;
            }
            Outcome::Unreachable => {
                self.reach.failed(zone, &placed.endpoint, now);
                for _ in 0..UNREACHABLE_FAILURES {
                    backend.health.failed(now);
                }
            }
            Outcome::Failed => backend.health.failed(now),
        }
    }

    /// Counts endpoints that are silent for too long as failing.
    pub fn check_silence(&mut self, now: Duration) {
        for placed in self.tickets.values_mut() {
            if placed.begun || now < placed.sent + placed.expected {
                continue;
            }
            let Some(backend) = self.backends.get_mut(placed.backend) else {
                continue;
            };
            if placed.is_stream {
                // What is late already will be later still.
                let late_ms = elapsed_ms(placed.sent, now) - placed.explained_ms;
                let delay_ms = late_ms - self.usual.ms();
                if delay_ms > backend.delay.at(now) {
                    backend.delay.observe(delay_ms, now);
                }
            }
            if !placed.overdue && placed.sent + placed.expected + SILENCE <= now {
                placed.overdue = true;
                backend.health.failed(now);
            }
        }
        for store in self.stores.values_mut() {
            store.cache.prune(now);
        }
        for backend in self.backends.values_mut() {
            backend.cache.prune(now);
        }
    }
}

fn elapsed_ms(since: Duration, now: Duration) -> f64 {
    ms(now.saturating_sub(since))
}
