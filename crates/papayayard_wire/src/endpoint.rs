//! API of a model endpoint, apart from completions.
//!
//! - `GET /report` returns a [`Report`], which may be out of date.
//! - `GET /events?after=N` returns a [`Page`] of cache events, which may be
//!   delayed and may skip sequence numbers.
//! - `POST /orders` accepts an [`Order`].
//!
//! Completions carry the headers named in [`crate::header`].

use serde::{Deserialize, Serialize};

use crate::{block, id};

/// State of an endpoint as of its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub endpoint: id::Endpoint,
    /// Run of the endpoint's process.
    pub incarnation: id::Incarnation,
    pub state: State,
    /// Loaded model.
    pub model: id::Model,
    /// Version of the loaded weights.
    pub version: id::Version,
    /// Number of requests in the current batch.
    pub running: u32,
    /// Number of requests waiting for a place in the batch.
    pub queued: u32,
    /// Prompt tokens that are not computed yet.
    pub pending_tokens: u64,
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Prompt tokens computed per second.
    pub prefill_rate: u32,
    /// Capacity of the cache, in blocks.
    pub cache_blocks: u64,
    /// Sequence number of the last cache event.
    pub sequence: u64,
    /// Age of the figures when the report was sent, in milliseconds.
    pub age_ms: u64,
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Serves requests.
    Ready,
    /// Loads weights and rejects requests.
    Loading,
    /// Finishes open requests and rejects new ones.
    Draining,
}

/// Cache events in order of their sequence numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Run of the process that emitted the events.
    pub incarnation: id::Incarnation,
    /// Events, possibly with gaps in their sequence numbers.
    pub events: Vec<Event>,
}

/// A change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in the endpoint's sequence, from 1.
    pub sequence: u64,
    #[serde(flatten)]
    pub change: Change,
}

/// Content of a cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Blocks were added to the cache.
    Stored { keys: Vec<block::Key> },
    /// Blocks were evicted.
    Removed { keys: Vec<block::Key> },
    /// All blocks were removed.
    Cleared,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; some endpoints reject a number lower than the highest they
    /// have received.
    pub fence: id::Fence,
    pub goal: Goal,
}

/// Desired state of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Goal {
    /// Load the given weights.
    Load {
        model: id::Model,
        /// Version of the weights.
        version: id::Version,
    },
    /// Accept no new requests.
    Drain,
}
