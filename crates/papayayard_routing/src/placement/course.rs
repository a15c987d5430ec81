//! How placed requests go on and end, and what that says of their endpoints.

use std::time::Duration;

use papayayard_wire::id;

use super::ask::{BackendKey, Outcome, Ticket};
use super::load::Amounts;
use super::{Scheduler, ms};
use crate::prompt;

/// Time for which an endpoint that refused is left alone, doubled with each refusal
/// that follows without an answer between, so many times at most.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);
const REFUSAL_DOUBLINGS: u32 = 3;
/// Time beyond the expected one after which a silent endpoint is failing.
const SILENCE: Duration = Duration::from_secs(2);
/// Failures in a row that one refused or unanswered connection counts for.
const UNREACHABLE_FAILURES: usize = 2;

/// Time beyond its deadline after which a request has ended though the host that
/// sent it has not told so.
const UNTOLD: Duration = Duration::from_secs(1);
/// Time since the last answer of an endpoint within which another host's word that
/// it cannot be reached speaks of that host's own way there.
const REACHED: Duration = Duration::from_millis(500);

/// A request that was placed.
pub(super) struct Placed {
    /// The host that sends it, where it isn't this one.
    pub(super) asker: Option<id::Host>,
    /// Zone of that host.
    pub(super) zone: id::Zone,
    /// Time by which its answer must be whole.
    pub(super) deadline: Duration,
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
    /// The part of it that load and the prompt explain.
    pub(super) explained: Explained,
    /// Keys of the shared parts.
    pub(super) keys: Vec<prompt::Key>,
    pub(super) is_stream: bool,
    pub(super) begun: bool,
    pub(super) overdue: bool,
}

/// What explains the time to a first event.
#[derive(Clone, Copy, Debug)]
pub(super) struct Explained {
    /// Time, in ms.
    pub(super) ms: f64,
    /// Tokens that are read before it.
    pub(super) tokens: f64,
}

impl Placed {
    /// Whether the host that sends it should have told its end.
    pub(super) fn is_lapsed(&self, now: Duration) -> bool {
        self.asker.is_some() && self.deadline + UNTOLD <= now
    }
}

impl Scheduler {
    /// Ends placed requests of which nothing more will be heard.
    pub(super) fn end_where<Matches>(&mut self, now: Duration, matches: Matches)
    where
        Matches: Fn(&Placed) -> bool,
    {
        let tickets = self.tickets.iter();
        let ended = tickets.filter(|(_, placed)| matches(placed));
        let ended: Vec<Ticket> = ended.map(|(ticket, _)| ticket).collect();
        for ticket in ended {
            self.finished(ticket, Outcome::Abandoned, now);
        }
    }

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
        let elapsed_ms = elapsed_ms(placed.sent, now);
        let late_ms = elapsed_ms - placed.explained.ms;
        let tokens = placed.explained.tokens;
        let is_stream = placed.is_stream;
        let placed_zone = placed.zone.clone();
        if let Some(backend) = self.backends.get_mut(placed.backend) {
            self.reach.answered(&placed_zone, &backend.endpoint.zone);
            backend.answered_at = now;
            backend.refusals = 0;
            backend.load.remove(unread, now);
            for key in &placed.keys {
                backend.cache.confirm(*key, now);
            }
            if is_stream {
                backend.delay.observe(late_ms - self.usual.ms(), now);
                self.usual.observe(late_ms);
                let service = backend.endpoint.service.clone();
                let pace = self.paces.entry(service).or_default();
                pace.observe(tokens, elapsed_ms);
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
                self.reach.answered(&placed.zone, zone);
                backend.answered_at = now;
                backend.refusals = 0;
                backend.health.record_success(now);
                backend.served(now.saturating_sub(placed.sent));
            }
            Outcome::Abandoned => {}
            Outcome::Refused | Outcome::Mismatched => {
                self.reach.answered(&placed.zone, zone);
                backend.answered_at = now;
                let doublings = backend.refusals.min(REFUSAL_DOUBLINGS);
                backend.refuses_until = now + REFUSAL_PAUSE * 2_u32.pow(doublings);
                backend.refusals += 1;
            }
            Outcome::Unreachable => {
                self.reach.failed(&placed.zone, zone, &placed.endpoint, now);
                let is_reached = backend.answered_at + REACHED > now;
                if placed.asker.is_none() || !is_reached {
                    for _ in 0..UNREACHABLE_FAILURES {
                        backend.health.record_failure(now);
                    }
                }
            }
            Outcome::Failed => backend.health.record_failure(now),
        }
    }

    /// Counts endpoints that are silent for too long as failing.
    pub fn check_silence(&mut self, now: Duration) {
        for placed in self.tickets.values_mut() {
            let due = placed.sent + placed.expected;
            if placed.begun || now < due {
                continue;
            }
            // A host that is silent says nothing of the endpoint.
            let heard = placed
                .asker
                .as_ref()
                .map(|host| self.askers.last_heard(host));
            if heard.is_some_and(|heard| heard.is_none_or(|heard| heard < due)) {
                continue;
            }
            let Some(backend) = self.backends.get_mut(placed.backend) else {
                continue;
            };
            if placed.is_stream {
                // What is late already will be later still.
                let late_ms = elapsed_ms(placed.sent, now) - placed.explained.ms;
                let delay_ms = late_ms - self.usual.ms();
                if delay_ms > backend.delay.at(now) {
                    backend.delay.observe(delay_ms, now);
                }
            }
            if !placed.overdue && placed.sent + placed.expected + SILENCE <= now {
                placed.overdue = true;
                backend.health.record_failure(now);
            }
        }
        self.forget_silent(now);
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
