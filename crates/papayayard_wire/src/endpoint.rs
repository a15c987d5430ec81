//! What a model endpoint offers beside completions.
//!
//! - `GET /report` answers with a [`Report`], which may lag.
//! - `GET /events?after=N` answers with a [`Page`] of cache events, which may
//!   be late and may skip sequence numbers.
//! - `POST /orders` takes an [`Order`].
//!
//! Completions carry the headers named in [`crate::header`].

use serde::{Deserialize, Serialize};

use crate::{block, id};

/// State of an endpoint as of its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the endpoint.
    pub endpoint: id::Endpoint,
    /// Run of its process.
    pub incarnation: id::Incarnation,
    /// Whether it takes new work.
    pub state: State,
    /// Model that is loaded.
    pub model: id::Model,
    /// Version of the loaded weights.
    pub version: id::Version,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub queued: u32,
    /// Prompt tokens that are still to be computed.
    pub pending_tokens: u64,
    /// Most requests in a batch.
    pub slots: u32,
    /// Prompt tokens computed per second.
    pub prefill_rate: u32,
    /// Blocks that the cache holds at most.
    pub cache_blocks: u64,
    /// Sequence number of the last cache event.
    pub sequence: u64,
    /// Age of the figures when the report was sent, in milliseconds.
    pub age_ms: u64,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Serves requests.
    Ready,
    /// Loads weights and refuses requests.
    Loading,
    /// Finishes what it has and refuses requests.
    Draining,
}

/// Cache events in order of their sequence numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Run of the process that the events belong to.
    pub incarnation: id::Incarnation,
    /// Events, perhaps with gaps.
    pub events: Vec<Event>,
}

/// One change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in the endpoint's sequence, from 1.
    pub sequence: u64,
    /// What changed.
    #[serde(flatten)]
    pub change: Change,
}

/// What a cache event tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Blocks are now cached.
    Stored {
        /// Their keys.
        keys: Vec<block::Key>,
    },
    /// Blocks were evicted.
    Removed {
        /// Their keys.
        keys: Vec<block::Key>,
    },
    /// The cache is empty.
    Cleared,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; some endpoints refuse a lower one than they have seen.
    pub fence: id::Fence,
    /// Wanted state.
    pub goal: Goal,
}

/// Wanted state of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Goal {
    /// These weights are loaded.
    Load {
        /// Model.
        model: id::Model,
        /// Version of the weights.
        version: id::Version,
    },
    /// No new work is taken.
    Drain,
}
