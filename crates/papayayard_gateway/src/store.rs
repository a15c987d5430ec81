//! The platform's store as this crate sees it: topics of keyed records.
//!
//! The newest record of each key lasts. A topic's records are numbered without
//! gaps, old ones expire, and an append can ask for the offset that it is to
//! stand at, which only one of several racing writers gets.

use std::time::Duration;

use bytes::Bytes;
use papayayard_routing::placement::Endpoint;
use papayayard_routing::table::Table;
use papayayard_wire::id;
use snafu::Snafu;

use crate::call;

/// A topic that this crate reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// What operators publish.
    Operators,
    /// What endpoints say of themselves.
    Endpoints,
    /// What hosts say of themselves.
    Hosts,
    /// Turns at giving orders, and what is announced with them.
    Orders,
    /// Ends of endpoints, and the requests that were open there.
    Ends,
}

impl Topic {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Endpoints => "endpoints",
            Self::Hosts => "hosts",
            Self::Orders => "orders",
            Self::Ends => "ends",
        }
    }
}

/// A record of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Offset.
    pub offset: u64,
    /// Key.
    pub key: String,
    /// Value; `None` where the key was dropped.
    pub value: Option<Bytes>,
}

/// A part of the newest records of all keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Newest {
    /// Records.
    pub records: Vec<Record>,
    /// Whether more keys follow.
    pub has_more: bool,
    /// Offset after the topic's last record.
    pub end: u64,
}

/// Records from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Records in their order.
    pub records: Vec<Record>,
    /// Offset to go on from.
    pub next: u64,
}

/// Where an append stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the record.
    pub offset: u64,
}

/// Why a call to the store has no result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The records from the offset on have expired.
    #[snafu(display("the records have expired; read the newest of each key instead"))]
    Expired,
    /// The topic doesn't end at the offset that the append asked for.
    #[snafu(display("the topic ends at {end}; read on to there before appending again"))]
    Moved {
        /// Offset after the last record.
        end: u64,
    },
    /// The store did nothing.
    #[snafu(display("the store refused with status {status}; try again later"))]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// The answer could not be read.
    #[snafu(display("the store's answer is malformed: {problem}; check the store's address"))]
    Malformed {
        /// What the decoder found.
        problem: String,
    },
    /// No answer; an append may still have effect.
    #[snafu(display("the store gave no answer: {problem}; try again later"))]
    NoAnswer {
        /// What the connection reported.
        problem: String,
    },
}

/// What operators have published under a key.
#[derive(Clone, Debug)]
pub enum Published {
    /// The routing table.
    Table(Box<Table>),
    /// A version of a model's weights.
    Weights {
        /// Model.
        model: id::Model,
        /// Version.
        version: u64,
    },
    /// Something that this version doesn't know.
    Unknown,
}

/// Translates calls to the store, and the records of others there.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Asks for the newest record of each key after one.
    fn newest(&self, topic: Topic, after: Option<&str>) -> http::Request<Bytes>;

    /// Reads the answer to [`Self::newest`].
    fn decode_newest(&self, reply: &call::Reply) -> Result<Newest, Error>;

    /// Asks for records from an offset on, waiting for one to come.
    fn read(&self, topic: Topic, from: u64, wait: Duration) -> http::Request<Bytes>;

    /// Reads the answer to [`Self::read`].
    fn decode_read(&self, from: u64, reply: &call::Reply) -> Result<Page, Error>;

    /// Appends a record, at an offset if one is given.
    fn append(
        &self,
        topic: Topic,
        at: Option<u64>,
        key: &str,
        value: &[u8],
    ) -> http::Request<Bytes>;

    /// Reads the answer to [`Self::append`].
    fn decode_append(&self, reply: &call::Reply) -> Result<Appended, Error>;

    /// Reads what operators have published under a key.
    fn published(&self, key: &str, value: &[u8]) -> Result<Published, Error>;

    /// Reads what an endpoint says of itself under its key.
    fn endpoint(&self, key: &str, value: &[u8]) -> Result<Endpoint, Error>;
}
