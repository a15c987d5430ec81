//! The scheduler's view of one endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;

use super::cache::Cache;
use super::delay::Delay;
use super::load::{Amounts, Load};
use super::query::Ticket;
use super::signals::Signals;
use super::usability::Usability;
use super::witness::Witnesses;
use crate::ejection;

/// Weight of the newest sample in the average service time.
const NEWEST_WEIGHT: f64 = 0.1;

/// An endpoint to which requests may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    pub id: id::Endpoint,
    /// Start of the endpoint's process; distinguishes restarts under the same identifier.
    pub started: id::Incarnation,
    pub service: id::Service,
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Version of the endpoint's software, not of its weights.
    pub software: id::Software,
    /// Requests that run concurrently.
    pub slots: u32,
    /// Loaded version of the weights of each model.
    pub weights: HashMap<id::Model, u64>,
    /// Whether the endpoint accepts no new requests.
    pub leaving: bool,
}

/// State of an endpoint in the scheduler.
#[derive(Clone, Debug)]
pub(super) struct Backend {
    /// Most recent listing.
    pub(super) endpoint: Endpoint,
    /// Load that this scheduler has placed there.
    pub(super) load: Load,
    /// Load of the waiting request for which room is held there; not part of `load`.
    pub(super) reserved: Amounts,
    /// Prompt parts cached there.
    pub(super) cache: Cache,
    /// Health derived from the outcomes of requests.
    pub(super) health: ejection::Health,
    /// Signals from the endpoint's answers.
    pub(super) signals: Signals,
    /// Time of the last answer.
    pub(super) answered_at: Duration,
    /// Time of the last complete answer.
    pub(super) completed_at: Duration,
    /// Hosts that the endpoint has answered and failed lately.
    pub(super) witnesses: Witnesses,
    /// Open requests whose first event is long overdue: their hosts may never report an outcome.
    pub(super) overdue: f64,
    /// Last request that tested the endpoint, and when it was placed.
    pub(super) trial: Option<(Ticket, Duration)>,
    /// Time of the last answer to a host whose connection was in doubt.
    pub(super) reached_in_doubt_at: Option<Duration>,
    /// Rules that keep requests away, as last reported.
    pub(super) usability: Usability,
    /// End of the pause after a refusal.
    pub(super) refusal_backoff_until: Duration,
    /// Refusals since the last answer that was not a refusal.
    pub(super) refusals: u32,
    /// Set while the endpoint loads other weights.
    pub(super) loading: Option<Loading>,
    /// When the endpoint came into service or finished loading weights.
    pub(super) slow_start_from: Duration,
    /// Delay of first events.
    pub(super) delay: Delay,
    /// Average time to a complete answer, in ms.
    pub(super) service_ms: f64,
}

/// A load of weights, during which the endpoint gets no requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loading {
    pub(super) since: Duration,
    pub(super) until: Duration,
}

impl Backend {
    /// Creates the state of an endpoint without observations.
    pub(super) fn new(
        endpoint: Endpoint,
        signals: Signals,
        service_ms: f64,
        now: Duration,
    ) -> Self {
        Self {
            endpoint,
            signals,
            load: Load::default(),
            reserved: Amounts::default(),
            cache: Cache::default(),
            health: ejection::Health::default(),
            answered_at: Duration::ZERO,
            completed_at: Duration::ZERO,
            witnesses: Witnesses::default(),
            overdue: 0.0,
            trial: None,
            reached_in_doubt_at: None,
            usability: Usability::default(),
            refusal_backoff_until: Duration::ZERO,
            refusals: 0,
            loading: None,
            slow_start_from: now,
            delay: Delay::default(),
            service_ms,
        }
    }

    /// Version of a model's weights; 0 if unknown.
    pub(super) fn version(&self, model: &id::Model) -> u64 {
        self.endpoint.weights.get(model).copied().unwrap_or(0)
    }

    /// Whether the endpoint has stopped accepting requests for good.
    pub(super) fn is_leaving(&self) -> bool {
        self.endpoint.leaving || self.signals.is_leaving
    }

    /// Whether the endpoint takes requests now, judging by the listing and by its own words.
    pub(super) fn accepts(&self, now: Duration) -> bool {
        let loading = self.loading.is_some_and(|loading| now < loading.until);
        !self.endpoint.leaving
            && !loading
            && self.signals.permits(now)
            && self.refusal_backoff_until <= now
    }

    /// Whether the outcomes of earlier requests permit another one now.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        let in_flight = self.load.local().open.round();
        self.health.permits(truncate(in_flight), now)
    }

    /// Whether a request is the last one that tested the endpoint.
    pub(super) fn is_tested_by(&self, ticket: Ticket) -> bool {
        self.trial.is_some_and(|(trial, _)| trial == ticket)
    }

    /// Counts consecutive failures that a host has had. A host alone ejects no endpoint that
    /// answers others.
    pub(super) fn count_failures(&mut self, host: Option<&id::Host>, number: u32, now: Duration) {
        if number > 0 {
            self.witnesses.record_failure(host);
        }
        let is_disputed = self.witnesses.dispute(host, now);
        for _ in 0..number {
            if !is_disputed || !self.health.is_failing() {
                self.usability.record_failure(host, 1, now);
                self.health.record_failure(now);
            }
        }
    }

    /// Adds the time of a complete answer to the average. The answer to a trial replaces a longer
    /// average, which kept requests away.
    pub(super) fn record_service_time(&mut self, time: Duration, is_trial: bool) {
        let ms = time.as_secs_f64() * 1000.0;
        let weight = if is_trial && ms < self.service_ms {
            1.0
        } else {
            NEWEST_WEIGHT
        };
        self.service_ms += (ms - self.service_ms) * weight;
    }
}

pub(super) fn truncate(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "open requests are few and not negative"
    )]
    let truncate = number.max(0.0) as u32;
    truncate
}
