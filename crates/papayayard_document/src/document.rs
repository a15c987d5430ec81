//! The types of a configuration document.

use papayayard_wire::id;
use serde::Serialize;

use crate::{decode, fault, reader};

/// A whole configuration document.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Document {
    /// Version of the document format.
    pub format: u32,
    /// How endpoints cut prompts into cached pieces.
    pub block: Block,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Model services and plain services.
    pub services: Vec<Service>,
}

impl Document {
    /// Reads a document and checks it whole; on failure lists every fault.
    pub fn parse(text: &str) -> Result<Self, Vec<fault::Fault>> {
        reader::Reader::read(text, decode::document)
    }
}

/// Length of a cached piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Block {
    /// Unit of `size`.
    pub unit: Unit,
    /// Length of a piece.
    pub size: u32,
}

impl Block {
    /// Length of a piece in bytes of a prompt.
    pub const fn bytes(self) -> usize {
        match self.unit {
            Unit::Byte => self.size as usize,
            Unit::Token => self.size as usize * BYTES_PER_TOKEN,
        }
    }
}

/// Mean length of a token, in bytes of text.
pub const BYTES_PER_TOKEN: usize = 4;

/// Unit of a piece's length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Bytes of text.
    Byte,
    /// Tokens.
    Token,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Account {
    /// Name.
    pub id: id::Account,
    /// BLAKE3 digests of its bearer keys, in hexadecimal.
    pub key_digests: Vec<String>,
    /// Requests per second over all hosts.
    pub requests_per_second: u32,
    /// Open requests over all hosts.
    pub open_requests: u32,
    /// Priority of its requests, 0 the lowest.
    pub priority: u8,
    /// Share of a full service, against the other accounts'.
    pub weight: u32,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// Replicas that the operators run.
    pub replicas: u32,
    /// Model or plain.
    #[serde(flatten)]
    pub kind: Kind,
}

/// What a service does.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Serves completions of one model.
    Model(Model),
    /// Serves any HTTP requests.
    Plain(Plain),
}

/// A model service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Model {
    /// Public name of the model.
    pub name: id::Model,
    /// Version of the weights.
    pub version: id::Version,
    /// Adapters, asked for as `model:adapter`.
    pub adapters: Vec<id::Adapter>,
    /// Replicas that load weights at once.
    pub loads_at_once: u32,
    /// Whether the endpoints refuse orders with an old fencing number.
    pub fencing: Fencing,
    /// Time to first token that requests are held to, in milliseconds.
    pub first_token_ms: u32,
}

/// What an endpoint does with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Refuses the order.
    Checked,
    /// Carries out the order.
    Ignored,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plain {
    /// Routes; a request that matches none is not idempotent.
    pub routes: Vec<Route>,
    /// Time that a request may take, in milliseconds.
    pub timeout_ms: u32,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// HTTP method.
    pub method: String,
    /// Path below the service, matched as a whole-segment prefix.
    pub path: String,
    /// Whether repeating a request changes nothing.
    pub idempotent: bool,
}
