//! Header values and messages exchanged with callers and endpoints, apart from method,
//! path and body of requests.
//!
//! Header names depend on the platform that the program runs on. The types in this module
//! describe their contents, and a codec of the platform translates them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use papayayard_routing::prompt::{Prompt, Salt};
use papayayard_routing::rate::Rate;
use papayayard_wire::id;
use snafu::Snafu;

use crate::call;

/// Values of a caller's request headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Request id that the caller assigned.
    pub id: Option<id::Request>,
    /// Maximum time that the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key of a client account.
    pub key: Option<String>,
    /// Prompt, if the request declares one.
    pub prompt: Option<Prompt>,
    /// Last event that the caller received, if it resumes a stream.
    pub position: Option<u64>,
    /// Request that brought the first event of that stream, if stated.
    pub resumes: Option<id::Request>,
}

/// A header cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the header {header} is invalid; send it in the documented format"))]
pub struct InvalidHeader {
    pub header: &'static str,
}

/// Header values that the router sets on a request to an endpoint.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// Intended endpoint; a different endpoint at the address refuses the request.
    pub endpoint: &'a id::Endpoint,
    /// Time left until the deadline of the response.
    pub time_left: Duration,
    /// Client account that the request's key belongs to.
    pub account: Option<&'a id::Account>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Required version of the endpoint's weights.
    pub version: Option<u64>,
    /// Cache salt of the prompt parts that the request may use and add to.
    pub salt: Option<&'a Salt>,
    /// Endpoint or store to fetch shared prompt parts from.
    pub fetch: Option<SocketAddr>,
    /// Store to save shared prompt parts to.
    pub save: Option<SocketAddr>,
    /// Last event that the caller received.
    pub position: Option<u64>,
}

/// Values in the head of an endpoint's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Whether the endpoint reports that the request did not run.
    pub not_run: bool,
    /// Request that the response belongs to, if stated.
    pub request: Option<id::Request>,
    /// Endpoint that uses the address, if stated.
    pub endpoint: Option<id::Endpoint>,
    /// Whether the response has an endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint gives a leave notice.
    pub is_leaving: bool,
    /// Time for which the endpoint requests that this host send nothing.
    pub backoff: Option<Duration>,
    /// Rate of requests that the endpoint accepts from all hosts together, if it names one.
    pub limit: Result<Option<Rate>, InvalidHeader>,
    /// Rate at which the endpoint may refuse requests of all hosts for want of room without
    /// crashing, if it names one.
    pub refusal_limit: Result<Option<Rate>, InvalidHeader>,
}

/// An order to an endpoint to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Intended endpoint.
    pub endpoint: &'a id::Endpoint,
    pub model: &'a id::Model,
    /// Version to load.
    pub version: u64,
    /// Host that gives the order; it holds the order leadership.
    pub leader: &'a id::Host,
    /// Fencing number of the order.
    pub fence: id::Fence,
    /// Number of orders that the endpoint had accepted before, to detect one that came
    /// between.
    pub accepted_before: Option<u64>,
    /// Whether requests in flight are cut.
    pub breaks_off: bool,
}

/// An endpoint's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The endpoint executes the order.
    Accepted,
    /// The endpoint already has the ordered version.
    Holds,
    /// Another order is being executed, or was accepted in the meantime.
    Busy,
    /// The endpoint received a higher fencing number before.
    Fenced,
    /// A different endpoint uses the address.
    Mismatched,
    /// The order is invalid for this endpoint.
    Rejected,
}

/// An endpoint's report of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Start of the endpoint's process, if stated.
    pub started: Option<id::Incarnation>,
    /// Versions of the loaded weights, by model.
    pub weights: Vec<(id::Model, u64)>,
    /// Whether the endpoint is executing an order.
    pub is_busy: bool,
    /// Number of accepted orders.
    pub accepted: u64,
    /// Number of running and queued requests.
    pub open: u32,
}

/// Changes in the cache of an endpoint or store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Run of the holder; its change numbers restart with each run.
    pub run: u64,
    /// Run of the holder as its record names it; `None` if the answer does not tell.
    pub started: Option<id::Incarnation>,
    /// Change number to continue from.
    pub next: u64,
    /// Lowest number of the changes; contents have none.
    pub first: Option<u64>,
    /// Whether earlier changes were lost.
    pub has_gap: bool,
    /// Changes in order.
    pub parts: Vec<Change>,
}

/// A prompt part whose number of cached tokens has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Cache salt of the prompt part.
    pub salt: Salt,
    /// Name of the prompt part.
    pub part: String,
    /// Number of tokens now cached.
    pub tokens: u32,
}

/// Translates the messages of callers and endpoints to the platform's formats and back.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Parses a caller's headers.
    fn decode_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, InvalidHeader>;

    /// Sets the time that is left for a caller's request, which another host serves.
    fn set_time_left(&self, headers: &mut HeaderMap, left: Duration);

    /// Replaces the headers that only the router may set on a request.
    fn forward(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);

    /// Parses the head of an endpoint's response.
    fn decode_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Builds the request that gives an order.
    fn order(&self, order: &Order<'_>) -> http::Request<Bytes>;

    /// Parses the reply to an order.
    fn decode_order(&self, status: StatusCode) -> OrderReply;

    /// Builds the request for an endpoint's report.
    fn report(&self) -> http::Request<Bytes>;

    fn decode_report(&self, reply: &call::Reply) -> Option<Report>;

    /// Builds a long poll for the changes of a cache since a change number.
    fn changes(&self, since: u64, wait: Duration) -> http::Request<Bytes>;

    /// Builds the request for the full contents of a cache.
    fn contents(&self) -> http::Request<Bytes>;

    /// Parses the full contents of a cache.
    fn decode_contents(&self, reply: &call::Reply) -> Option<Changes>;

    /// Parses the changes of a cache.
    fn decode_changes(&self, reply: &call::Reply) -> Option<Changes>;
}
