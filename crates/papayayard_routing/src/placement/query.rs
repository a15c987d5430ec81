//! What is asked of the scheduler, and what it decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;

use crate::prompt;

slotmap::new_key_type! {
    /// A request that waits for an endpoint.
    pub struct PendingKey;
    /// A request that was placed.
    pub struct Ticket;
    /// An endpoint.
    pub struct BackendKey;
}

/// A request that wants an endpoint.
#[derive(Clone, Debug)]
pub struct Query {
    /// Service.
    pub service: id::Service,
    /// The host that asks, where it isn't this one.
    pub requesting_host: Option<id::Host>,
    /// Zone of the host that sends the request.
    pub zone: id::Zone,
    /// Declared prompt, for model services.
    pub prompt: Option<Arc<prompt::Prompt>>,
    /// The client account, where it shares no cached prompts.
    pub isolation: Option<id::Account>,
    /// Whether it can be sent again after it may have run.
    pub is_repeatable: bool,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Time by which the answer should begin.
    pub target: Duration,
    /// Time from arrival to `target`.
    pub target_latency: Duration,
    /// Time by which the answer must be whole.
    pub deadline: Duration,
    /// Time for which it has waited for a place already.
    pub waited: Duration,
    /// Endpoints that have failed this request.
    pub tried: Vec<id::Endpoint>,
    /// Endpoints that the host that sends it does not reach, or that want nothing
    /// from it.
    pub avoided: Vec<id::Endpoint>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Ticket, given back at the end.
    pub ticket: Ticket,
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Its address.
    pub address: SocketAddr,
    /// Version of the weights that the request is to begin on.
    pub version: Option<u64>,
    /// Set of cached parts that the request may use and add to.
    pub salt: Option<prompt::Salt>,
    /// Holder of shared parts that the endpoint lacks.
    pub fetch: Option<SocketAddr>,
    /// Store of cached prompts that lacks shared parts.
    pub save: Option<SocketAddr>,
    /// Expected time to the first event.
    pub first_event: Duration,
    /// Shared tokens that are expected at the endpoint.
    pub cached: u32,
    /// Tokens that the endpoint will have to read.
    pub unread: u32,
    /// Those of them that are kept elsewhere or were about to be.
    pub reread: u32,
}

/// A placed request of another host, as that host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// The host.
    pub requesting_host: id::Host,
    /// Its zone.
    pub zone: id::Zone,
    /// Endpoint that runs the request.
    pub endpoint: id::Endpoint,
    /// Tokens of its prompt that may still be unread.
    pub unread: u32,
    /// Tokens of memory that it holds.
    pub memory: u32,
    /// Time by which its answer must be whole.
    pub deadline: Duration,
}

/// Why a request gets no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No endpoint of the service is known.
    NoEndpoint,
    /// Endpoints are full, and none would have room in time.
    Overloaded,
    /// All that the service has failed this request already.
    AllTried,
}

impl RefusalReason {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::AllTried => "all_tried",
        }
    }
}

/// A decision on a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It goes there.
    Placed(Placement),
    /// It is turned away.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
        /// What was seen of the service's endpoints.
        availability: Availability,
    },
}

/// What a decision saw of a service's endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Availability {
    /// Endpoints that could be sent requests.
    pub usable: usize,
    /// Those of them that had room.
    pub with_capacity: usize,
    /// Shortest expected time to a first event among these.
    pub first_event: Duration,
}

/// How a placed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Whole answer.
    Whole,
    /// The caller left, or its time was over.
    Abandoned,
    /// The endpoint refused to run it.
    Refused,
    /// The endpoint has other weights, or another endpoint has the address.
    Mismatched,
    /// No connection came about, or it was reset.
    Unreachable,
    /// The answer broke off, was spoilt or did not come.
    Failed,
}
