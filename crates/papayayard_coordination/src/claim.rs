//! At-most-once execution of requests that carry an idempotency key.
//!
//! Before a keyed request is sent, its key is claimed in the key's stream of
//! the log. [`Shard`] is the state machine over one stream: the first claim in
//! offset order holds the key on every host, whichever host appended it.
//! [`Claimant`] processes a host's requests: it appends the claims, runs a
//! request only after it has read its own claim as the winner, answers the
//! other requests of the key with the holder's outcome, and abandons a claim
//! in the log when it will not use the claim.
//!
//! A claim whose append got no answer may still be stored later. If its request
//! was refused in the meantime, the request must not run, so a claim that may
//! have been sent is abandoned by a record, whichever record is stored first.
//!
//! A key is remembered for [`Limits::key_ttl_ms`] after its last claim, which
//! must be shorter than the log's retention: a reader that has read less of the
//! stream than that grants no claim.

mod claimant;
mod shard;

pub use claimant::{Claimant, Decision, Options, Reason, Request, Settlement, Ticket};
pub use shard::{Applied, Effect, Holder, Limits, Shard, Skip, State};

use papayayard_wire::claim::{DIGEST_BYTES, Digest};
use papayayard_wire::id;

/// Number of streams that keys are spread over. It can never change, since all
/// hosts must map a key to the same stream.
pub const SHARDS: u8 = 1;

/// Digest of an idempotency key, which is scoped to the account and service.
pub fn key_digest(account: &id::Account, service: &id::Service, key: &id::Key) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in [account.as_str(), service.as_str(), key.as_str()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    truncate(&hasher.finalize())
}

/// Digest of a request: its method, path and body.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    truncate(&hasher.finalize())
}

/// Index of the shard that holds a key.
pub fn shard(key: Digest) -> u8 {
    let scaled = u16::from(key.0[0]) * u16::from(SHARDS);
    scaled.to_be_bytes()[0]
}

pub fn stream_name(shard: u8) -> id::Stream {
    id::Stream::from(format!("claims-{shard:02}"))
}

fn truncate(hash: &blake3::Hash) -> Digest {
    let mut bytes = [0; DIGEST_BYTES];
    bytes.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
    Digest(bytes)
}
