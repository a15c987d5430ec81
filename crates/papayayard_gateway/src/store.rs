//! The platform's store as this crate uses it: topics of keyed records.
//!
//! The newest record of each key is retained. Offsets of a topic have no gaps, and old
//! records expire. An append can require a specific offset, which only one of several
//! racing writers gets.

use std::time::Duration;

use bytes::Bytes;
use papayayard_routing::listing::Registration;
use papayayard_routing::table::Table;
use papayayard_wire::id;
use papayayard_wire::log::Era;
use serde::Deserialize;
use snafu::Snafu;

use crate::call;

/// Maximum length of a decoder's message.
const MAX_PROBLEM_CHARS: usize = 200;

/// A topic that this crate reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Configuration published by operators.
    Operators,
    /// Endpoints' own records.
    Endpoints,
    /// Heartbeat records of hosts.
    Hosts,
    /// Records of the order leader with its announcements.
    Orders,
    /// Reports of endpoint crashes and the requests that were open there.
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

/// A record of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub offset: u64,
    pub key: String,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// A page of the newest records of all keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Newest {
    pub records: Vec<Record>,
    /// Number of further records, which have no valid key or value.
    pub unreadable: usize,
    /// Whether more keys follow.
    pub has_more: bool,
    /// Offset after the topic's last record.
    pub end: u64,
}

/// A page of records from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of their offsets.
    pub records: Vec<Record>,
    /// Number of further records, which have no valid key.
    pub unreadable: usize,
    /// Offset from which to continue.
    pub next: u64,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    pub offset: u64,
}

/// Why a call to the store has no result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The records from the requested offset on have expired.
    #[snafu(display("the records have expired; read the newest of each key instead"))]
    Expired,
    /// The store was restored from an older copy and assigns the requested offset again.
    #[snafu(display("the store was restored; read the newest of each key instead"))]
    Restored,
    /// The topic does not end at the offset that the append required.
    #[snafu(display("the topic ends at {end}; read on to there before appending again"))]
    Moved {
        /// Offset after the last record.
        end: u64,
    },
    /// The store refused the call without effect.
    #[snafu(display("the store refused with status {status}; try again later"))]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// The answer could not be decoded.
    #[snafu(display("the store's answer is malformed: {problem}; check the store's address"))]
    Malformed {
        /// Message of the decoder.
        problem: String,
    },
    /// A record was decoded, but what it says is not allowed.
    #[snafu(display("the record is invalid: {problem}; write it again"))]
    Invalid {
        /// What is not allowed, and what is.
        problem: String,
    },
    /// No answer arrived; an append may still take effect.
    #[snafu(display("the store gave no answer: {problem}; try again later"))]
    NoAnswer {
        /// Message of the connection.
        problem: String,
    },
}

impl Error {
    /// A record that says what is not allowed; the problem is shortened.
    pub fn invalid(problem: &str) -> Self {
        Self::Invalid {
            problem: problem.chars().take(MAX_PROBLEM_CHARS).collect(),
        }
    }

    /// An answer or a record that could not be decoded. The problem is shortened, since it
    /// may repeat any part of the record.
    pub fn malformed(problem: &str) -> Self {
        Self::Malformed {
            problem: problem.chars().take(MAX_PROBLEM_CHARS).collect(),
        }
    }
}

/// Decodes the JSON of an answer or a record.
pub fn decode<'a, Content>(json: &'a [u8]) -> Result<Content, Error>
where
    Content: Deserialize<'a>,
{
    serde_json::from_slice(json).map_err(|error| Error::malformed(&error.to_string()))
}

/// Content that operators have published under a key.
#[derive(Clone, Debug)]
pub enum Published {
    Table(Box<Table>),
    /// A target version of a model's weights.
    Weights {
        model: id::Model,
        version: u64,
    },
    /// Content of a kind that this version does not support.
    Unknown,
}

/// Encodes calls to the store, and decodes its answers and the records of operators and
/// endpoints.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Decodes the era of the store from any of its answers.
    fn era(&self, reply: &call::Reply) -> Era;

    /// Requests the newest record of each key, in key order, starting after the key
    /// `after`.
    fn newest(&self, topic: Topic, after: Option<&str>) -> http::Request<Bytes>;

    /// Decodes the answer to [`Self::newest`].
    fn decode_newest(&self, reply: &call::Reply) -> Result<Newest, Error>;

    /// Requests records from an offset on, waiting up to `wait` for one to arrive.
    fn read(&self, topic: Topic, from: u64, wait: Duration) -> http::Request<Bytes>;

    /// Decodes the answer to [`Self::read`].
    fn decode_read(&self, from: u64, reply: &call::Reply) -> Result<Page, Error>;

    /// Requests an append, conditional on the offset `at` if given.
    fn append(
        &self,
        topic: Topic,
        at: Option<u64>,
        key: &str,
        value: &[u8],
    ) -> http::Request<Bytes>;

    /// Decodes the answer to [`Self::append`].
    fn decode_append(&self, reply: &call::Reply) -> Result<Appended, Error>;

    /// Decodes a record of the operators topic.
    fn published(&self, key: &str, value: &[u8]) -> Result<Published, Error>;

    /// Decodes an endpoint's own record.
    fn endpoint(&self, key: &str, value: &[u8]) -> Result<Registration, Error>;
}
