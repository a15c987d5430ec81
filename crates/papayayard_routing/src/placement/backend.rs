//! One endpoint as the scheduler sees it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;

use super::cache::Cache;
use super::delay::Delay;
use super::load::Load;
use super::signals::Signals;
use crate::ejection;

/// Weight of the newest time in the average of service times.
const NEWEST_WEIGHT: f64 = 0.1;

/// An endpoint that may be sent requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Identifier.
    pub id: id::Endpoint,
    /// Start of its process, which tells restarts under one identifier apart.
    pub started: id::Incarnation,
    /// Service.
    pub service: id::Service,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Requests that run at once.
    pub slots: u32,
    /// Versions of the weights in place, by model.
    pub weights: HashMap<id::Model, u64>,
    /// Whether it takes no new requests.
    pub leaving: bool,
}

/// What the scheduler believes of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Backend {
    /// As it was listed.
    pub(super) endpoint: Endpoint,
    /// Work there.
    pub(super) load: Load,
    /// Parts of prompts that it keeps.
    pub(super) cache: Cache,
    /// Health from passive signs.
    pub(super) health: ejection::Health,
    /// What it has said of itself in answers.
    pub(super) signals: Signals,
    /// When it gave an answer last.
    pub(super) answered_at: Duration,
    /// Left out until this time, after it refused.
    pub(super) refusal_backoff_until: Duration,
    /// Refusals since it gave another answer.
    pub(super) refusals: u32,
    /// Set while other weights are being loaded there.
    pub(super) loading: Option<Loading>,
    /// When it came into use, or its weights did.
    pub(super) slow_start_from: Duration,
    /// Delay of first events.
    pub(super) delay: Delay,
    /// Average time of whole answers, in ms.
    pub(super) service_ms: f64,
}

/// A load of weights, for which an endpoint is left out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loading {
    pub(super) since: Duration,
    pub(super) until: Duration,
}

impl Backend {
    /// An endpoint that nothing is known of.
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
            cache: Cache::default(),
            health: ejection::Health::default(),
            answered_at: Duration::ZERO,
            refusal_backoff_until: Duration::ZERO,
            refusals: 0,
            loading: None,
            slow_start_from: now,
            delay: Delay::default(),
            service_ms,
        }
    }

    /// Version of a model's weights; 0 where it isn't known.
    pub(super) fn version(&self, model: &id::Model) -> u64 {
        self.endpoint.weights.get(model).copied().unwrap_or(0)
    }

    /// Whether it takes no new requests for good.
    pub(super) fn is_leaving(&self) -> bool {
        self.endpoint.leaving || self.signals.is_leaving
    }

    /// Whether it takes requests now, as far as passive signs tell.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        let in_flight = self.load.local().open.round();
        let loading = self.loading.is_some_and(|loading| now < loading.until);
        !self.endpoint.leaving
            && !loading
            && self.signals.permits(now)
            && self.refusal_backoff_until <= now
            && self.health.permits(truncate(in_flight), now)
    }

    /// Counts the time of a whole answer.
    pub(super) fn record_service_time(&mut self, time: Duration) {
        let ms = time.as_secs_f64() * 1000.0;
        self.service_ms += (ms - self.service_ms) * NEWEST_WEIGHT;
    }
}

fn truncate(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "open requests are few and not negative"
    )]
    let truncate = number.max(0.0) as u32;
    truncate
}
