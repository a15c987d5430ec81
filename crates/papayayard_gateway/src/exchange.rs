//! What passes between a caller and an endpoint, beside method, path and body.
//!
//! Names of headers belong to the platform that the program runs on. These
//! types say what the headers hold, and a codec translates them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use papayayard_routing::prompt::{Prompt, Salt};
use papayayard_wire::id;
use snafu::Snafu;

use crate::call;

/// What a request's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's name for the request.
    pub id: Option<id::Request>,
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// Key of a client account.
    pub key: Option<String>,
    /// Prompt, where the request declares one.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has, where it goes on with a stream.
    pub position: Option<u64>,
}

/// A header that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the header {header} cannot be read; send it as the interface's page says"))]
pub struct InvalidHeader {
    /// Name of the header.
    pub header: &'static str,
}

/// What the router sets on a request to an endpoint.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// Endpoint that is meant; another one at the address refuses.
    pub endpoint: &'a id::Endpoint,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Client account of the request's key.
    pub account: Option<&'a id::Account>,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Version that the endpoint's weights must have.
    pub version: Option<u64>,
    /// Set of cached parts to use and add to.
    pub salt: Option<&'a Salt>,
    /// Where to fetch shared parts from.
    pub fetch: Option<SocketAddr>,
    /// Where to save shared parts to.
    pub save: Option<SocketAddr>,
    /// Last event that the caller has.
    pub position: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the endpoint states that the request did not run.
    pub not_run: bool,
    /// Request that it answers, if it says so.
    pub request: Option<id::Request>,
    /// Endpoint that has the address, if it says so.
    pub endpoint: Option<id::Endpoint>,
    /// Whether an endpoint has signed it.
    pub is_signed: bool,
    /// Whether the endpoint says that it leaves.
    pub is_leaving: bool,
    /// Time for which the endpoint wants no further request from this host.
    pub backoff: Option<Duration>,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Endpoint that is meant.
    pub endpoint: &'a id::Endpoint,
    /// Model.
    pub model: &'a id::Model,
    /// Version to load.
    pub version: u64,
    /// Host that gives it.
    pub leader: &'a id::Host,
    /// Fencing number.
    pub fence: id::Fence,
    /// Orders that the endpoint has accepted before.
    pub accepted_before: Option<u64>,
    /// Whether open requests are broken off.
    pub breaks_off: bool,
}

/// How an endpoint answers an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is being carried out, or came between.
    Busy,
    /// A higher fencing number was seen.
    Fenced,
    /// Another endpoint has the address.
    Mismatched,
    /// The order makes no sense there.
    Rejected,
}

/// What an endpoint reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Versions of the weights in place, by model.
    pub weights: Vec<(id::Model, u64)>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders that it has accepted.
    pub accepted: u64,
    /// Requests that run or wait there.
    pub open: u32,
}

/// What has changed in an endpoint's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Run of the holder; its numbers start anew with it.
    pub run: u64,
    /// Number to go on from.
    pub next: u64,
    /// Whether changes before these were lost.
    pub has_gap: bool,
    /// Changes in their order.
    pub parts: Vec<Change>,
}

/// A part of which another amount is kept than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Set of parts.
    pub salt: Salt,
    /// Name of the part.
    pub part: String,
    /// Tokens that are kept now.
    pub tokens: u32,
}

/// Translates what passes between callers and endpoints.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Reads a caller's headers.
    fn decode_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, InvalidHeader>;

    /// Replaces what only the router may set on a request.
    fn forward(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);

    /// Reads the head of an endpoint's answer.
    fn decode_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Makes an order.
    fn order(&self, order: &Order<'_>) -> http::Request<Bytes>;

    /// Reads the answer to an order.
    fn decode_order(&self, status: StatusCode) -> OrderReply;

    /// Asks an endpoint for its report.
    fn report(&self) -> http::Request<Bytes>;

    /// Reads a report.
    fn decode_report(&self, reply: &call::Reply) -> Option<Report>;

    /// Asks for changes of a cache since a number, waiting for one to come.
    fn changes(&self, since: u64, wait: Duration) -> http::Request<Bytes>;

    /// Asks for all that a cache keeps.
    fn contents(&self) -> http::Request<Bytes>;

    /// Reads all that a cache keeps.
    fn decode_contents(&self, reply: &call::Reply) -> Option<Changes>;

    /// Reads changes of a cache.
    fn decode_changes(&self, reply: &call::Reply) -> Option<Changes>;
}
