//! What hosts and their dispatcher tell one another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{
    Availability, Outcome, Placement, Query, RefusalReason, Ticket,
};
use papayayard_routing::prompt::{Part, Prompt};
use papayayard_wire::id;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

use super::Found;

/// A question of a host, and what it has to tell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    /// The host that asks.
    pub(super) host: String,
    /// Its process.
    pub(super) run: u64,
    /// Its zone.
    pub(super) zone: String,
    /// What has come of placements.
    pub(super) notices: Vec<Notice>,
    /// A request that wants an endpoint.
    pub(super) question: Option<Question>,
}

/// What has come of a placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Notice {
    /// Number that the host has given to the request.
    pub(super) number: u64,
    /// What is told.
    pub(super) what: What,
}

/// What is told of a placed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum What {
    /// It runs, as another dispatcher or the host itself has decided.
    Open(Running),
    /// Its first event has come.
    Begun,
    /// Its endpoint says that it leaves.
    Leaving,
    /// It was answered whole.
    Whole,
    /// Its caller left, or its time was over.
    Abandoned,
    /// The endpoint refused to run it.
    Refused,
    /// The endpoint has other weights, or another has its address.
    Mismatched,
    /// No connection came about.
    Unreachable,
    /// The answer broke off, was spoilt or did not come.
    Failed,
}

/// A request that runs; times are counted from the call.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Running {
    pub(super) endpoint: String,
    pub(super) unread: u32,
    pub(super) memory: u32,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(super) deadline_ms: Duration,
}

/// A request that wants an endpoint; times are counted from the call.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Question {
    /// Number that the host has given to the request.
    pub(super) number: u64,
    service: String,
    model: String,
    tokens: u32,
    most_output: u32,
    likely_output: Option<u32>,
    /// Name and tokens of each part.
    parts: Vec<(String, u32)>,
    wall: Option<String>,
    is_repeatable: bool,
    priority: u8,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    target_ms: Duration,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    target_latency_ms: Duration,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    deadline_ms: Duration,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    waited_ms: Duration,
    tried: Vec<String>,
    avoided: Vec<String>,
}

/// The dispatcher's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// The dispatcher's process.
    pub(super) run: u64,
    /// The decision, unless there was none to make or the request still waits.
    pub(super) decision: Option<Decision>,
    /// Whether other hosts ask this one.
    pub(super) is_asked: bool,
    /// The host that places this one's own requests, if another does.
    pub(super) elsewhere: Option<Elsewhere>,
}

/// A host that places requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Elsewhere {
    pub(super) host: String,
    pub(super) address: SocketAddr,
}

/// A decision on a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Decision {
    /// It goes to an endpoint.
    Placed(Placed),
    /// It is turned away.
    Refused(Denial),
}

/// Where a request goes.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Placed {
    endpoint: String,
    address: SocketAddr,
    version: Option<u64>,
    salt: Option<String>,
    fetch: Option<SocketAddr>,
    save: Option<SocketAddr>,
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    first_event_us: Duration,
    cached: u32,
    unread: u32,
    reread: u32,
}

/// Why a request goes nowhere.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Denial {
    why: Why,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    retry_ms: Duration,
    usable: usize,
    with_room: usize,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    first_event_ms: Duration,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Why {
    NoEndpoint,
    Overloaded,
    AllTried,
}

impl From<Outcome> for What {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Whole => Self::Whole,
            Outcome::Abandoned => Self::Abandoned,
            Outcome::Refused => Self::Refused,
            Outcome::Mismatched => Self::Mismatched,
            Outcome::Unreachable => Self::Unreachable,
            Outcome::Failed => Self::Failed,
        }
    }
}

impl What {
    /// How the request ended, if it has.
    pub(super) const fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Open(_) | Self::Begun | Self::Leaving => None,
            Self::Whole => Some(Outcome::Whole),
            Self::Abandoned => Some(Outcome::Abandoned),
            Self::Refused => Some(Outcome::Refused),
            Self::Mismatched => Some(Outcome::Mismatched),
            Self::Unreachable => Some(Outcome::Unreachable),
            Self::Failed => Some(Outcome::Failed),
        }
    }
}

impl Question {
    /// The question for a request with a prompt.
    pub(super) fn new(number: u64, ask: &Query, prompt: &Prompt, now: Duration) -> Self {
        let parts = prompt.parts.iter();
        Self {
            number,
            service: ask.service.as_str().to_owned(),
            model: prompt.model.as_str().to_owned(),
            tokens: prompt.tokens,
            most_output: prompt.max_output,
            likely_output: prompt.expected_output,
            parts: parts.map(|part| (part.name.clone(), part.tokens)).collect(),
            wall: ask.isolation.as_ref().map(|wall| wall.as_str().to_owned()),
            is_repeatable: ask.is_repeatable,
            priority: ask.priority,
            target_ms: ask.target.saturating_sub(now),
            target_latency_ms: ask.target_latency,
            deadline_ms: ask.deadline.saturating_sub(now),
            waited_ms: ask.waited,
            tried: texts(&ask.tried),
            avoided: texts(&ask.avoided),
        }
    }

    /// The request as the dispatcher sees it.
    pub(super) fn ask(self, host: id::Host, zone: id::Zone, now: Duration) -> Query {
        let parts = self.parts.into_iter();
        let prompt = Prompt {
            model: id::Model::from(self.model),
            tokens: self.tokens,
            max_output: self.most_output,
            expected_output: self.likely_output,
            parts: parts.map(|(name, tokens)| Part { name, tokens }).collect(),
        };
        Query {
            service: id::Service::from(self.service),
            requesting_host: Some(host),
            zone,
            prompt: Some(Arc::new(prompt)),
            isolation: self.wall.map(id::Account::from),
            is_repeatable: self.is_repeatable,
            priority: self.priority,
            target: now + self.target_ms,
            target_latency: self.target_latency_ms,
            deadline: now + self.deadline_ms,
            waited: self.waited_ms,
            tried: endpoints(self.tried),
            avoided: endpoints(self.avoided),
        }
    }
}

fn texts(endpoints: &[id::Endpoint]) -> Vec<String> {
    let endpoints = endpoints.iter();
    endpoints.map(|one| one.as_str().to_owned()).collect()
}

fn endpoints(texts: Vec<String>) -> Vec<id::Endpoint> {
    texts.into_iter().map(id::Endpoint::from).collect()
}

impl Placed {
    /// A placement as it is sent.
    pub(super) fn new(placement: Placement) -> Self {
        Self {
            endpoint: placement.endpoint.as_str().to_owned(),
            address: placement.address,
            version: placement.version,
            salt: placement.salt,
            fetch: placement.fetch,
            save: placement.save,
            first_event_us: placement.first_event,
            cached: placement.cached,
            unread: placement.unread,
            reread: placement.reread,
        }
    }

    /// The placement; the ticket stays with the dispatcher.
    pub(super) fn placement(self) -> Placement {
        Placement {
            ticket: Ticket::default(),
            endpoint: id::Endpoint::from(self.endpoint),
            address: self.address,
            version: self.version,
            salt: self.salt,
            fetch: self.fetch,
            save: self.save,
            first_event: self.first_event_us,
            cached: self.cached,
            unread: self.unread,
            reread: self.reread,
        }
    }
}

impl Denial {
    /// A refusal as it is sent.
    pub(super) fn new(why: RefusalReason, retry_after: Duration, seen: Availability) -> Self {
        Self {
            why: match why {
                RefusalReason::NoEndpoint => Why::NoEndpoint,
                RefusalReason::Overloaded => Why::Overloaded,
                RefusalReason::AllTried => Why::AllTried,
            },
            retry_ms: retry_after,
            usable: seen.usable,
            with_room: seen.with_capacity,
            first_event_ms: seen.first_event,
        }
    }

    /// The refusal.
    pub(super) fn found(self) -> Found {
        Found::Refused {
            why: match self.why {
                Why::NoEndpoint => RefusalReason::NoEndpoint,
                Why::Overloaded => RefusalReason::Overloaded,
                Why::AllTried => RefusalReason::AllTried,
            },
            retry_after: self.retry_ms,
            seen: Availability {
                usable: self.usable,
                with_capacity: self.with_room,
                first_event: self.first_event_ms,
            },
        }
    }
}
