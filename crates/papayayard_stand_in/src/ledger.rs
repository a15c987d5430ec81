//! What a stand-in really ran, for a check against what callers were told.
//!
//! A ledger outlives the crashes that are ordered, since it is the observer's
//! and not the stand-in's memory.

use papayayard_wire::{block, id};
use serde::{Deserialize, Serialize};

use crate::generate::Digest;

/// Answer of `GET /ledger`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Entries in order of their start.
    pub entries: Vec<Entry>,
}

/// One request that was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier that the request bore.
    pub request: Option<id::Request>,
    /// Idempotency key that the request bore.
    pub key: Option<id::Key>,
    /// Method and path.
    pub route: String,
    /// Digest of the prompt, or of a plain service's body.
    pub digest: Digest,
    /// Run of the process.
    pub incarnation: id::Incarnation,
    /// Weights that it ran on.
    pub version: Option<id::Version>,
    /// Salt of its cached blocks.
    pub salt: Option<block::Salt>,
    /// Time of its start, in milliseconds of model time.
    pub started_ms: u64,
    /// First position that it was to generate.
    pub from: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were found in the cache.
    pub cached_tokens: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Queued or in the batch.
    Running,
    /// Ran to its end.
    Complete,
    /// Its caller went away.
    Cancelled,
    /// The stand-in crashed first.
    Crashed,
}
