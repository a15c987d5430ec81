//! Placement requests to the scheduler and its decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;

use super::backend::Endpoint;
use super::exclusion::Exclusion;
use super::path::Sender;
use crate::{prompt, sharing};

slotmap::new_key_type! {
    /// Key of a request that waits for placement.
    pub struct PendingKey;
    /// Key of a request that was placed.
    pub struct Ticket;
    /// Key of an endpoint in the scheduler.
    pub struct BackendKey;
}

/// A request to be placed at an endpoint.
#[derive(Clone, Debug)]
pub struct Query {
    pub service: id::Service,
    /// Client account; `None` if the request has none, or comes from a host of an older release.
    pub account: Option<id::Account>,
    /// Host that requests the placement; `None` for this host.
    pub requesting_host: Option<id::Host>,
    /// Zone of the host that sends the request.
    pub zone: id::Zone,
    /// Declared prompt, for model services.
    pub prompt: Option<Arc<prompt::Prompt>>,
    /// Requests with which this one may share cached prompts.
    pub group: sharing::Group,
    /// Whether the request can be retried after an endpoint may have run it.
    pub is_repeatable: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time by which the answer should begin.
    pub target: Duration,
    /// Time from arrival to `target`.
    pub target_latency: Duration,
    /// Time by which the answer must be complete.
    pub deadline: Duration,
    /// Time for which the request has already waited for placement.
    pub waited: Duration,
    /// Version of the software that began the stream, if the request continues one: no other
    /// version can.
    pub software: Option<id::Software>,
    /// Endpoints at which this request has failed.
    pub tried: Vec<id::Endpoint>,
    /// Endpoints that the sending host cannot reach, or that requested a backoff from it.
    pub avoided: Vec<id::Endpoint>,
}

impl Query {
    pub(super) fn sender(&self) -> Sender<'_> {
        Sender {
            host: self.requesting_host.as_ref(),
            zone: &self.zone,
        }
    }

    /// Whether the request may be sent to any endpoint of the service.
    pub(super) const fn takes_any(&self) -> bool {
        self.software.is_none() && self.tried.is_empty() && self.avoided.is_empty()
    }

    /// Whether an endpoint is of the service, and of the software that the request needs.
    pub(super) fn fits(&self, endpoint: &Endpoint) -> bool {
        let software = self.software.as_ref();
        endpoint.service == self.service
            && software.is_none_or(|software| endpoint.software == *software)
    }
}

/// Where a request is to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Key under which the first event and the outcome are reported.
    pub ticket: Ticket,
    pub endpoint: id::Endpoint,
    /// Start of the endpoint's process; `None` if an older release placed the request.
    pub started: Option<id::Incarnation>,
    pub address: SocketAddr,
    /// Version of the endpoint's software; `None` if an older release placed the request.
    pub software: Option<id::Software>,
    /// Version of the weights that the request starts on.
    pub version: Option<u64>,
    /// Time from the placement on within which the request must start on that version; `None`
    /// without a limit.
    pub usable_for: Option<Duration>,
    /// Cache salt of the prompt parts that the request may use and add to.
    pub salt: Option<prompt::Salt>,
    /// Endpoint or store from which the endpoint fetches shared parts that it lacks.
    pub fetch: Option<SocketAddr>,
    /// Store of cached prompts to which the endpoint saves shared parts that the store lacks.
    pub save: Option<SocketAddr>,
    /// Expected time to the first event.
    pub first_event: Duration,
    /// Shared tokens expected in the endpoint's cache.
    pub cached: u32,
    /// Prompt tokens that the endpoint has to prefill.
    pub unread: u32,
    /// Tokens of `unread` that another holder has cached or is expected to have cached.
    pub reread: u32,
    /// Whether the request tests an endpoint that does not seem to serve it in time.
    pub is_trial: bool,
}

/// A request that another host has in flight, as reported by that host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Host that sent the request.
    pub requesting_host: id::Host,
    /// Zone of that host.
    pub zone: id::Zone,
    /// Endpoint that runs the request.
    pub endpoint: id::Endpoint,
    /// Prompt tokens that may still have to be prefilled.
    pub unread: u32,
    /// Tokens of engine memory that the request holds.
    pub memory: u32,
    /// Time by which the answer must be complete.
    pub deadline: Duration,
}

/// Why a request was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no known endpoint.
    NoEndpoint,
    /// All endpoints are full, and none is expected to have free capacity in time.
    Overloaded,
    /// The request has already failed at all endpoints of the service.
    AllTried,
    /// The client account is over its quota; the scheduler was not asked.
    OverQuota,
}

impl RefusalReason {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::AllTried => "all_tried",
            Self::OverQuota => "over_quota",
        }
    }
}

/// Decision on a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request is to run at an endpoint.
    Placed(Placement),
    /// The request is not placed.
    Refused {
        reason: RefusalReason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
        /// State of the service's endpoints at the decision.
        availability: Availability,
    },
}

/// How many endpoints of a service were available when a decision was made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Availability {
    /// Endpoints to which requests could be sent.
    pub usable: usize,
    /// Usable endpoints with free capacity.
    pub with_capacity: usize,
    /// Shortest expected time to the first event among the endpoints with free capacity.
    pub first_event: Duration,
    /// Endpoints that were left out, by reason.
    pub exclusions: Vec<Exclusion>,
}

/// Outcome of a placed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete answer.
    Whole,
    /// The caller disconnected, or the deadline passed.
    Abandoned,
    /// The endpoint refused to run the request.
    Refused,
    /// The endpoint has other weights, or another endpoint has the address.
    Mismatched,
    /// The connection could not be established or was reset.
    Unreachable,
    /// The answer was cut off, was corrupt or did not arrive.
    Failed,
}
