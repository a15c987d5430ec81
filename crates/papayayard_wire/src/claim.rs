//! Records of the log's claim streams, `claims-NN`.
//!
//! A claim says that a host is about to run the request of an idempotency key.
//! The first claim of a key in offset order holds it; the holder adds the
//! outcome, or gives the key up where nothing was sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::id;

/// Format of [`Entry`] that this version writes.
pub const FORMAT: u32 = 1;
/// Bytes of a digest.
pub const DIGEST_BYTES: usize = 16;

/// Digest of a key within its account and service, or of a request.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] pub [u8; DIGEST_BYTES]);

/// One try at a key, unique over all hosts and restarts.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(#[serde_as(as = "Hex")] pub [u8; DIGEST_BYTES]);

/// A record of a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Format of this record, [`FORMAT`].
    pub format: u32,
    /// The key.
    pub key: Digest,
    /// The try that the record is about.
    pub attempt: Attempt,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What happened to a try.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The host asks for the key.
    Claim {
        /// Entry host.
        host: id::Host,
        /// Digest of the request.
        request: Digest,
    },
    /// Nothing was sent, or the endpoint said that nothing ran.
    Abandon,
    /// The request was sent.
    Outcome(Outcome),
    /// Nothing; shows a later reader how far back the stream goes. The
    /// record's key and try mean nothing.
    Mark,
}

/// What became of a request that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint answered.
    Answered(Answer),
    /// Nobody knows.
    Unknown,
}

/// An endpoint's answer as far as it is kept.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are given to later callers.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub headers: BTreeMap<String, String>,
    /// Body; none where it was too long to keep.
    #[serde_as(as = "Option<Base64>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Vec<u8>>,
}
