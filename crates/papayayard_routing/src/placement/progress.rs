//! Progress and outcomes of placed requests, and their effect on the endpoints' state.

use std::mem;
use std::time::Duration;

use papayayard_wire::id;

use super::load::Amounts;
use super::path::Sender;
use super::query::{BackendKey, Outcome, Ticket};
use super::{Scheduler, ms};
use crate::prompt;

/// Pause after a refusal. It doubles with each further refusal without an answer in between, at
/// most this many times.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Time beyond the expected first event after which an unresponsive endpoint counts as failing.
const OVERDUE_GRACE: Duration = Duration::from_secs(2);
/// Time beyond the deadline after which a request of another host counts as ended although that
/// host has not reported its outcome.
const OUTCOME_GRACE: Duration = Duration::from_secs(1);
pub(super) struct Placed {
    /// Host that sends the request; `None` for this host.
    pub(super) requesting_host: Option<id::Host>,
    /// Zone of the sending host.
    pub(super) zone: id::Zone,
    /// Time by which the answer must be complete.
    pub(super) deadline: Duration,
    pub(super) backend: BackendKey,
    pub(super) endpoint: id::Endpoint,
    /// Start of the endpoint's process.
    pub(super) started: id::Incarnation,
    /// Load that the request adds to the endpoint.
    pub(super) amounts: Amounts,
    /// Load that counts from the first event on, since the request of a host that may be detached
    /// probably does not arrive.
    pub(super) deferred: Amounts,
    /// When the request was placed.
    pub(super) sent: Duration,
    /// Expected time to the first event.
    pub(super) expected: Duration,
    /// Part of `expected` predicted from load and prompt.
    pub(super) predicted: Prediction,
    /// Keys of the shared parts.
    pub(super) keys: Vec<prompt::Key>,
    pub(super) is_stream: bool,
    pub(super) has_begun: bool,
    pub(super) is_overdue: bool,
}

/// Time to the first event predicted from load and prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prediction {
    /// Time, in ms.
    pub(super) ms: f64,
    /// Tokens prefilled before the first event.
    pub(super) tokens: f64,
}

impl Placed {
    pub(super) fn sender(&self) -> Sender<'_> {
        Sender {
            host: self.requesting_host.as_ref(),
            zone: &self.zone,
        }
    }

    /// Whether the first event should have arrived long ago.
    fn is_long_due(&self, now: Duration) -> bool {
        !self.has_begun && self.sent + self.expected + OVERDUE_GRACE <= now
    }

    /// Whether the sending host should have reported the outcome by now.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        self.requesting_host.is_some() && self.deadline + OUTCOME_GRACE <= now
    }
}

impl Scheduler {
    /// Abandons the matching requests, for which no further reports are expected.
    pub(super) fn abandon_where<Matches>(&mut self, now: Duration, matches: Matches)
    where
        Matches: Fn(&Placed) -> bool,
    {
        let tickets = self.tickets.iter();
        let ended = tickets.filter(|(_, placed)| matches(placed));
        let ended: Vec<Ticket> = ended.map(|(ticket, _)| ticket).collect();
        for ticket in ended {
            self.record_outcome(ticket, Outcome::Abandoned, now);
        }
    }

    /// Records that a request's first event has arrived.
    pub fn record_first_event(&mut self, ticket: Ticket, now: Duration) {
        let Some(placed) = self.tickets.get_mut(ticket) else {
            return;
        };
        if placed.has_begun {
            return;
        }
        self.refusal_limits.accept(ticket, placed);
        placed.has_begun = true;
        let unread = Amounts {
            unread: placed.amounts.unread,
            ..Amounts::default()
        };
        let deferred = Amounts {
            unread: 0.0,
            ..mem::take(&mut placed.deferred)
        };
        placed.amounts.unread = 0.0;
        placed.amounts = placed.amounts.plus(deferred, 1.0);
        let elapsed_ms = elapsed_ms(placed.sent, now);
        let late_ms = elapsed_ms - placed.predicted.ms;
        let tokens = placed.predicted.tokens;
        let is_stream = placed.is_stream;
        let (host, zone) = (placed.requesting_host.clone(), placed.zone.clone());
        let key = placed.backend;
        if let Some(backend) = self.backends.get_mut(key) {
            self.revisions.change(&backend.endpoint.service);
            backend.refusals = 0;
            backend.load.remove(unread, now);
            backend.load.add(deferred, now);
            for key in &placed.keys {
                backend.cache.confirm(*key, now);
            }
            if is_stream {
                // The baseline holds for all services.
                self.revisions.change_all();
                backend
                    .delay
                    .observe(late_ms - self.baseline_delay.ms(), now);
                self.baseline_delay.observe(late_ms);
                let service = backend.endpoint.service.clone();
                let prefill = self.prefills.entry(service).or_default();
                prefill.observe(tokens, elapsed_ms);
            }
        }
        let sender = Sender {
            host: host.as_ref(),
            zone: &zone,
        };
        self.paths.record_answered(sender, now);
        self.record_connected(sender, key, now);
    }

    /// Records the outcome of a placed request.
    pub fn record_outcome(&mut self, ticket: Ticket, outcome: Outcome, now: Duration) {
        let Some(placed) = self.tickets.remove(ticket) else {
            return;
        };
        self.refusal_limits.end(ticket, &placed, outcome, now);
        let Some(backend) = self.backends.get_mut(placed.backend) else {
            return;
        };
        self.revisions.change(&backend.endpoint.service);
        backend.load.remove(placed.amounts, now);
        if placed.is_long_due(now) {
            backend.overdue = (backend.overdue - placed.amounts.open).max(0.0);
        }
        if backend.endpoint.id != placed.endpoint {
            return;
        }
        let is_answer = matches!(
            outcome,
            Outcome::Whole | Outcome::Refused | Outcome::Mismatched
        );
        if is_answer && !placed.has_begun {
            self.paths.record_answered(placed.sender(), now);
        }
        match outcome {
            Outcome::Whole => {
                backend.refusals = 0;
                backend.witnesses.record_success();
                backend.usability.record_success();
                backend.completed_at = now;
                backend.health.record_answer(placed.sent, now);
                let is_trial = backend.is_tested_by(ticket);
                let time = now.saturating_sub(placed.sent);
                backend.record_service_time(time, is_trial);
                self.record_connected(placed.sender(), placed.backend, now);
            }
            Outcome::Abandoned => {}
            Outcome::Refused | Outcome::Mismatched => {
                let doublings = backend.refusals.min(MAX_BACKOFF_DOUBLINGS);
                backend.refusal_backoff_until = now + REFUSAL_BACKOFF * 2_u32.pow(doublings);
                backend.refusals += 1;
                let host = placed.requesting_host.as_ref();
                backend.usability.record_refusal(host, now);
                self.record_connected(placed.sender(), placed.backend, now);
            }
            Outcome::Unreachable => self.record_unreachable(&placed, now),
            Outcome::Failed => self.record_unanswered(&placed, now),
        }
    }

    fn count_overdue(&mut self, now: Duration) {
        for backend in self.backends.values_mut() {
            backend.overdue = 0.0;
        }
        for placed in self.tickets.values() {
            if placed.is_long_due(now)
                && let Some(backend) = self.backends.get_mut(placed.backend)
            {
                backend.overdue += placed.amounts.open;
            }
        }
    }

    /// Counts endpoints whose first events are long overdue as failing, and removes expired
    /// state.
    pub fn check_overdue(&mut self, now: Duration) {
        self.revisions.change_all();
        for placed in self.tickets.values_mut() {
            let due = placed.sent + placed.expected;
            if placed.has_begun || now < due {
                continue;
            }
            if self.paths.explains_failure(placed, now) {
                continue;
            }
            // An unresponsive host's missing reports are no evidence about the endpoint.
            let last_contact = placed
                .requesting_host
                .as_ref()
                .map(|host| self.requesting_hosts.last_contact(host));
            if last_contact.is_some_and(|contact| contact.is_none_or(|contact| contact < due)) {
                continue;
            }
            let Some(backend) = self.backends.get_mut(placed.backend) else {
                continue;
            };
            if placed.is_stream {
                // A first event that is already late can only arrive later still.
                let late_ms = elapsed_ms(placed.sent, now) - placed.predicted.ms;
                let delay_ms = late_ms - self.baseline_delay.ms();
                if delay_ms > backend.delay.at(now) {
                    backend.delay.observe(delay_ms, now);
                }
            }
            if !placed.is_overdue && placed.is_long_due(now) {
                placed.is_overdue = true;
                let host = placed.requesting_host.as_ref();
                backend.usability.record_failure(host, 1, now);
                backend.health.record_failure(now);
            }
        }
        self.forget_unresponsive(now);
        self.count_overdue(now);
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
