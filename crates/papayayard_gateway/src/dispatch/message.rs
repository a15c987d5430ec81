//! Messages between hosts and their dispatcher.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::quota;
use papayayard_routing::placement::{
    self, Availability, Limit, Outcome, Placement, Query, RefusalReason, Ticket,
};
use papayayard_routing::prompt::{self, Part, Prompt};
use papayayard_routing::rate::Rate;
use papayayard_routing::sharing;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

use super::Selection;
use super::cause::Cause;
use super::charging::Charge;
use crate::schedule;

/// Maximum number of reasons in a refusal for which endpoints were left out.
const MAX_EXCLUSIONS: usize = 8;
/// Maximum number of endpoints that are named for a reason.
const MAX_EXCLUDED: usize = 3;

/// Call of a host to its dispatcher: notices, and possibly a placement request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    /// Requesting host.
    pub(super) host: String,
    /// Random ID of the requesting host's process.
    pub(super) run: u64,
    /// Zone of the requesting host.
    pub(super) zone: String,
    /// Progress and outcomes of requests.
    pub(super) notices: Vec<Notice>,
    /// Limits that endpoints name in answers to requests.
    #[serde(default)]
    pub(super) named: Vec<NamedLimit>,
    /// Limits on refusals that endpoints name in answers to requests.
    #[serde(default)]
    pub(super) named_refusals: Vec<NamedLimit>,
    /// Numbers of requests whose endpoints are asked for their runs.
    #[serde(default)]
    pub(super) asked: Vec<u64>,
    /// Whether the requesting host uses the called one as its dispatcher.
    #[serde(default)]
    pub(super) is_used: bool,
    /// Revision of the limits that the requesting host has from the called one.
    #[serde(default)]
    pub(super) limits_revision: Option<u64>,
    /// Part of the quotas that the requesting host pools with the called one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) quota: Option<quota::Offer>,
    /// Request to be placed.
    pub(super) question: Option<Request>,
}

/// Limit that the answer to a request names, or that it names none.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct NamedLimit {
    /// Number of the request on the requesting host.
    pub(super) number: u64,
    pub(super) limit: Option<Rate>,
}

/// Limit of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct EndpointLimit {
    endpoint: String,
    started: id::Incarnation,
    service: String,
    rate: Rate,
}

/// All limits that a dispatcher knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Limits {
    /// Number of changes since the dispatcher's start.
    pub(super) revision: u64,
    pub(super) list: Vec<EndpointLimit>,
    /// Limits on refusals.
    #[serde(default)]
    pub(super) refusals: Vec<EndpointLimit>,
}

/// Progress or outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Notice {
    /// Number of the request on the requesting host.
    pub(super) number: u64,
    pub(super) what: Event,
}

/// Event of a placed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Event {
    /// The request is in flight; another dispatcher or the host itself has placed it.
    Open(Running),
    /// The first event of the answer has arrived.
    Begun,
    /// The endpoint announced its shutdown.
    Leaving,
    /// The answer is complete.
    Whole,
    /// The caller disconnected, or the deadline passed.
    Abandoned,
    /// The endpoint refused to run the request.
    Refused,
    /// The endpoint has other weights, or another endpoint has the address.
    Mismatched,
    /// The connection could not be established.
    Unreachable,
    /// The answer was cut off, was corrupt or did not arrive.
    Failed,
}

/// A request in flight; times are relative to the call.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Running {
    pub(super) endpoint: String,
    pub(super) unread: u32,
    pub(super) memory: u32,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(super) deadline_ms: Duration,
}

/// A placement request; times are relative to the call.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Request {
    /// Number of the request on the requesting host.
    pub(super) number: u64,
    service: String,
    /// Client account; not sent by older releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    account: Option<String>,
    model: String,
    tokens: u32,
    most_output: u32,
    likely_output: Option<u32>,
    /// Name and number of tokens of each prompt part.
    parts: Vec<(String, u32)>,
    /// Whether the request declares no prompt; the fields above are then empty.
    #[serde(default)]
    is_plain: bool,
    /// Requests with which this one may share cached prompts; `None` from older releases.
    #[serde(default)]
    group: Option<sharing::Group>,
    /// Isolated client account; named only by older releases.
    #[serde(default, skip_serializing)]
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
    /// Version of the software that must serve the request, if it continues a stream.
    #[serde(default)]
    software: Option<id::Software>,
    tried: Vec<String>,
    avoided: Vec<String>,
    /// Charge to the quota of the client account, unless it has none or is charged already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) charge: Option<Charge>,
}

/// Answer to a [`Call`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// Random ID of the answering host's process.
    pub(super) run: u64,
    /// Decision; `None` if the call had no request or the request still waits.
    pub(super) decision: Option<Decision>,
    /// Whether other hosts use the answering host as dispatcher.
    pub(super) is_asked: bool,
    /// Dispatcher of the answering host, if it uses another host.
    pub(super) elsewhere: Option<Redirect>,
    /// Limits of endpoints, if they differ from those that the requesting host has.
    #[serde(default)]
    pub(super) limits: Option<Limits>,
    /// Answer to what the call says about quotas.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) quota: Option<quota::Reply>,
    /// Whether the request is charged to the quota that the answering host pools.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) is_charged: bool,
}

/// Another host to use as dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Redirect {
    pub(super) host: String,
    pub(super) address: SocketAddr,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Decision {
    /// The request is to run at an endpoint.
    Placed(Placed),
    /// The request is not placed.
    Refused(Refusal),
}

/// A placement without its ticket.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Placed {
    endpoint: String,
    #[serde(default)]
    started: Option<id::Incarnation>,
    address: SocketAddr,
    #[serde(default)]
    software: Option<id::Software>,
    version: Option<u64>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    usable_ms: Option<Duration>,
    salt: Option<String>,
    fetch: Option<SocketAddr>,
    save: Option<SocketAddr>,
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    first_event_us: Duration,
    cached: u32,
    unread: u32,
    reread: u32,
    /// Whether the request tests an endpoint; not sent by older releases.
    #[serde(default)]
    is_trial: bool,
}

/// Reason for a refusal, and the state of the service's endpoints.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Refusal {
    why: Reason,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    retry_ms: Duration,
    usable: usize,
    with_room: usize,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    first_event_ms: Duration,
    /// Endpoints that were left out, by reason; not sent by older releases.
    #[serde(default)]
    exclusions: Vec<Exclusion>,
    /// Whether the dispatcher could not decide in time; older releases take the refusal for one
    /// for lack of capacity.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_undecided: bool,
}

/// Endpoints that were left out for the same reason.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Exclusion {
    /// Name of the reason, which may be one of a newer release.
    reason: String,
    number: usize,
    /// The first few of them.
    endpoints: Vec<Excluded>,
}

#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Excluded {
    endpoint: String,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    first_event_ms: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Reason {
    NoEndpoint,
    Overloaded,
    AllTried,
    /// Only in answers to requests with a charge.
    OverQuota,
}

impl From<Outcome> for Event {
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

impl Event {
    /// Outcome of the request; `None` if it has not finished.
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

impl Limits {
    pub(super) fn new(limits: &schedule::Limits) -> Self {
        let encode = |list: &[Limit]| list.iter().map(EndpointLimit::new).collect();
        Self {
            revision: limits.revision,
            list: encode(&limits.lists.requests),
            refusals: encode(&limits.lists.refusals),
        }
    }

    /// Converts the limits for the scheduler.
    pub(super) fn into_lists(self) -> schedule::Lists {
        let decode = |list: Vec<EndpointLimit>| {
            let list = list.into_iter();
            list.map(EndpointLimit::into_limit).collect()
        };
        schedule::Lists {
            requests: decode(self.list),
            refusals: decode(self.refusals),
        }
    }
}

impl EndpointLimit {
    fn new(limit: &Limit) -> Self {
        Self {
            endpoint: limit.endpoint.as_str().to_owned(),
            started: limit.started,
            service: limit.service.as_str().to_owned(),
            rate: limit.rate,
        }
    }

    fn into_limit(self) -> Limit {
        Limit {
            endpoint: id::Endpoint::from(self.endpoint),
            started: self.started,
            service: id::Service::from(self.service),
            rate: self.rate,
        }
    }
}

impl Request {
    pub(super) fn new(number: u64, query: &Query, now: Duration) -> Self {
        let prompt = query.prompt.as_ref();
        let parts = prompt.iter().flat_map(|prompt| &prompt.parts);
        let model = prompt.map_or("", |prompt| prompt.model.as_str());
        Self {
            number,
            service: query.service.as_str().to_owned(),
            account: query.account.as_ref().map(ToString::to_string),
            model: model.to_owned(),
            tokens: prompt.map_or(0, |prompt| prompt.tokens),
            most_output: prompt.map_or(0, |prompt| prompt.max_output),
            likely_output: prompt.and_then(|prompt| prompt.expected_output),
            parts: parts.map(|part| (part.name.clone(), part.tokens)).collect(),
            is_plain: prompt.is_none(),
            group: Some(query.group),
            wall: None,
            is_repeatable: query.is_repeatable,
            priority: query.priority,
            target_ms: query.target.saturating_sub(now),
            target_latency_ms: query.target_latency,
            deadline_ms: query.deadline.saturating_sub(now),
            waited_ms: query.waited,
            software: query.software.clone(),
            tried: names(&query.tried),
            avoided: names(&query.avoided),
            charge: None,
        }
    }

    /// Adds a charge to the request.
    pub(super) fn with_charge(self, charge: Option<Charge>) -> Self {
        Self { charge, ..self }
    }

    /// Time until the deadline.
    pub(super) const fn time_left(&self) -> Duration {
        self.deadline_ms
    }

    /// Converts the request for the dispatcher's scheduler.
    pub(super) fn into_query(self, host: id::Host, zone: id::Zone, now: Duration) -> Query {
        let group = self.group.unwrap_or_else(|| match self.wall {
            Some(account) => sharing::Group::of_account(&id::Account::from(account)),
            None => sharing::Group::default(),
        });
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
            account: self.account.map(id::Account::from),
            requesting_host: Some(host),
            zone,
            prompt: (!self.is_plain).then(|| Arc::new(prompt)),
            group,
            is_repeatable: self.is_repeatable,
            priority: self.priority,
            target: now + self.target_ms,
            target_latency: self.target_latency_ms,
            deadline: now + self.deadline_ms,
            waited: self.waited_ms,
            software: self.software,
            tried: endpoints(self.tried),
            avoided: endpoints(self.avoided),
        }
    }
}

fn names(endpoints: &[id::Endpoint]) -> Vec<String> {
    let endpoints = endpoints.iter();
    endpoints
        .map(|endpoint| endpoint.as_str().to_owned())
        .collect()
}

fn endpoints(names: Vec<String>) -> Vec<id::Endpoint> {
    names.into_iter().map(id::Endpoint::from).collect()
}

impl Placed {
    pub(super) fn new(placement: Placement) -> Self {
        Self {
            endpoint: placement.endpoint.as_str().to_owned(),
            started: placement.started,
            address: placement.address,
            software: placement.software,
            version: placement.version,
            usable_ms: placement.usable_for,
            salt: placement.salt,
            fetch: placement.fetch,
            save: placement.save,
            first_event_us: placement.first_event,
            cached: placement.cached,
            unread: placement.unread,
            reread: placement.reread,
            is_trial: placement.is_trial,
        }
    }

    /// Converts to a placement with an empty ticket, since the dispatcher keeps the ticket. The
    /// salt is this host's: a dispatcher of an older release has others.
    pub(super) fn into_placement(self, query: &Query) -> Placement {
        let prompt = query.prompt.as_ref();
        let prompt = prompt.filter(|_| self.salt.is_some());
        let version = self.version.unwrap_or(0);
        let salt = prompt.map(|prompt| prompt::salt(&prompt.model, version, query.group));
        Placement {
            ticket: Ticket::default(),
            endpoint: id::Endpoint::from(self.endpoint),
            started: self.started,
            address: self.address,
            software: self.software,
            version: self.version,
            usable_for: self.usable_ms,
            salt,
            fetch: self.fetch,
            save: self.save,
            first_event: self.first_event_us,
            cached: self.cached,
            unread: self.unread,
            reread: self.reread,
            is_trial: self.is_trial,
        }
    }
}

impl Decision {
    /// Whether a placement is at an endpoint with the software that the request needs.
    pub(super) fn fits(&self, query: &Query) -> bool {
        match self {
            Self::Placed(placed) => query.software.is_none() || placed.software == query.software,
            Self::Refused(_) => true,
        }
    }
}

impl Refusal {
    pub(super) fn new(
        reason: RefusalReason,
        retry_after: Duration,
        availability: Availability,
    ) -> Self {
        Self {
            why: match reason {
                RefusalReason::NoEndpoint => Reason::NoEndpoint,
                RefusalReason::Overloaded => Reason::Overloaded,
                RefusalReason::AllTried => Reason::AllTried,
                RefusalReason::OverQuota => Reason::OverQuota,
            },
            retry_ms: retry_after,
            usable: availability.usable,
            with_room: availability.with_capacity,
            first_event_ms: availability.first_event,
            exclusions: availability
                .exclusions
                .into_iter()
                .take(MAX_EXCLUSIONS)
                .map(Exclusion::new)
                .collect(),
            is_undecided: false,
        }
    }

    /// Refusal of a request on which the dispatcher could not decide in time.
    pub(super) fn undecided(retry_after: Duration) -> Self {
        let availability = Availability::default();
        Self {
            is_undecided: true,
            ..Self::new(RefusalReason::Overloaded, retry_after, availability)
        }
    }

    #[cfg(test)]
    pub(super) const fn is_undecided(&self) -> bool {
        self.is_undecided
    }

    /// Selection of a host whose request `dispatcher` refused.
    pub(super) fn into_selection(self, dispatcher: &id::Host) -> Selection {
        Selection::Refused {
            reason: match self.why {
                _ if self.is_undecided => Cause::BusyDispatcher,
                Reason::NoEndpoint => Cause::Decision(RefusalReason::NoEndpoint),
                Reason::Overloaded => Cause::Decision(RefusalReason::Overloaded),
                Reason::AllTried => Cause::Decision(RefusalReason::AllTried),
                Reason::OverQuota => Cause::OVER_QUOTA,
            },
            retry_after: self.retry_ms,
            availability: Availability {
                usable: self.usable,
                with_capacity: self.with_room,
                first_event: self.first_event_ms,
                exclusions: self
                    .exclusions
                    .into_iter()
                    .take(MAX_EXCLUSIONS)
                    .map(Exclusion::into_exclusion)
                    .collect(),
            },
            refused_by: dispatcher.as_str().to_owned(),
        }
    }
}

impl Exclusion {
    fn new(exclusion: placement::Exclusion) -> Self {
        let endpoints = exclusion.endpoints.into_iter().take(MAX_EXCLUDED);
        let endpoints = endpoints.map(|excluded| Excluded {
            endpoint: excluded.endpoint.as_str().to_owned(),
            first_event_ms: excluded.first_event,
        });
        Self {
            reason: exclusion.reason.as_str().to_owned(),
            number: exclusion.number,
            endpoints: endpoints.collect(),
        }
    }

    fn into_exclusion(self) -> placement::Exclusion {
        let endpoints = self.endpoints.into_iter().take(MAX_EXCLUDED);
        let endpoints = endpoints.map(|excluded| placement::Excluded {
            endpoint: id::Endpoint::from(excluded.endpoint),
            first_event: excluded.first_event_ms,
        });
        placement::Exclusion {
            reason: placement::Reason::from_name(&self.reason),
            number: self.number,
            endpoints: endpoints.collect(),
        }
    }
}

#[cfg(test)]
#[path = "message_test.rs"]
mod test;
