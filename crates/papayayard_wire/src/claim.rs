//! Records of the log's claim streams, `claims-NN`.
//!
//! A host appends a claim before it runs the request of an idempotency key. The
//! claim with the lowest offset owns the key. Its owner then appends the outcome,
//! or abandons the claim if nothing was sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::id;

/// Format of [`Entry`] that this version writes.
pub const FORMAT: u32 = 1;
/// Length of a digest, in bytes.
pub const DIGEST_BYTES: usize = 16;

/// Digest of an idempotency key, its account and its service, or of a request.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] pub [u8; DIGEST_BYTES]);

/// An attempt to claim a key; its id is unique across hosts and restarts.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(#[serde_as(as = "Hex")] pub [u8; DIGEST_BYTES]);

/// A record of a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Format of this record, [`FORMAT`].
    pub format: u32,
    /// Digest of the idempotency key.
    pub key: Digest,
    /// Attempt that the record belongs to.
    pub attempt: Attempt,
    #[serde(flatten)]
    pub event: Event,
}

/// Event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The host claims the key.
    Claim {
        /// Entry host that makes the claim.
        host: id::Host,
        /// Digest of the request.
        request: Digest,
    },
    /// Nothing was sent, or the endpoint reported that the request did not run.
    Abandon,
    /// The request was sent.
    Outcome(Outcome),
    /// Marker that shows a later reader how far back the stream goes. The
    /// record's key and attempt are not used.
    Mark,
}

/// Outcome of a request that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint answered.
    Answered(Answer),
    /// It is not known whether the request ran.
    Unknown,
}

/// Stored part of an endpoint's answer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    /// Headers returned to later callers.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub headers: BTreeMap<String, String>,
    /// Body; `None` if it was too long to store.
    #[serde_as(as = "Option<Base64>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Vec<u8>>,
}
