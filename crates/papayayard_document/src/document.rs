//! The types of a configuration document.

use papayayard_wire::id;
use serde::Serialize;

use crate::{decode, fault, reader};

/// A whole configuration document.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Document {
    /// Version of the document format.
    pub format: u32,
    /// How endpoints divide prompts into cache blocks.
    pub block: Block,
    pub accounts: Vec<Account>,
    /// Model services and plain services.
    pub services: Vec<Service>,
}

impl Document {
    /// Parses and validates a document; on failure returns every fault, not only
    /// the first.
    pub fn parse(text: &str) -> Result<Self, Vec<fault::Fault>> {
        reader::Reader::read(text, decode::document)
    }
}

/// Length of a cache block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Block {
    /// Unit of `size`.
    pub unit: Unit,
    /// Length of a block, in `unit`.
    pub size: u32,
}

impl Block {
    /// Length of a block in bytes of prompt text.
    pub const fn bytes(self) -> usize {
        match self.unit {
            Unit::Byte => self.size as usize,
            Unit::Token => self.size as usize * BYTES_PER_TOKEN,
        }
    }
}

/// Mean number of text bytes per token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Unit of a block's length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Bytes of prompt text.
    Byte,
    Token,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Account {
    pub id: id::Account,
    /// BLAKE3 digests of the account's bearer keys, in hexadecimal.
    pub key_digests: Vec<String>,
    /// Limit on requests per second, summed over all hosts.
    pub requests_per_second: u32,
    /// Limit on open requests, summed over all hosts.
    pub open_requests: u32,
    /// Priority of the account's requests; 0 is the lowest.
    pub priority: u8,
    /// Share of a service at full load, relative to the weights of other accounts.
    pub weight: u32,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    pub name: id::Service,
    /// Number of replicas that the operators run.
    pub replicas: u32,
    #[serde(flatten)]
    pub kind: Kind,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Serves completions of one model.
    Model(Model),
    /// Serves arbitrary HTTP requests.
    Plain(Plain),
}

/// A model service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Model {
    /// Public name of the model.
    pub name: id::Model,
    /// Version of the weights.
    pub version: id::Version,
    /// Adapters, requested as `model:adapter`.
    pub adapters: Vec<id::Adapter>,
    /// Number of replicas that may load weights at the same time.
    pub loads_at_once: u32,
    /// Whether endpoints reject orders with an outdated fencing number.
    pub fencing: Fencing,
    /// Limit on the time to the first token, in milliseconds.
    pub first_token_ms: u32,
}

/// How an endpoint handles an order with an outdated fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Rejects the order.
    Checked,
    /// Executes the order.
    Ignored,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plain {
    /// Routes; a request that matches none is treated as not idempotent.
    pub routes: Vec<Route>,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u32,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    pub method: String,
    /// Path relative to the service; matches as a prefix of whole segments.
    pub path: String,
    /// Whether requests can be retried without further effect.
    pub idempotent: bool,
}
