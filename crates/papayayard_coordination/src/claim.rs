//! At most once: who may run the request of an idempotency key.
//!
//! Before a keyed request is sent, its key is claimed in the key's stream of
//! the log. [`Shard`] folds one stream: the first claim in offset order holds
//! the key on every host, wherever it was appended. [`Claimant`] takes a
//! host's requests through it: it appends the claims, runs a request only when
//! its own claim is seen to hold the key, leads all others to the holder's
//! outcome, and gives a claim up in the log when it will not use it.
//!
//! A claim whose append was lost may still turn up. A request that was refused
//! meanwhile must not run then, so a claim that may have been sent is given up
//! by a record, whichever of the two the log stores first.
//!
//! A key is remembered for [`Limits::keep`] after its last claim, which must be
//! shorter than the log's retention: a reader that has not seen that much of
//! the stream judges no claim.

mod claimant;
mod shard;

pub use claimant::{Claimant, Decision, Options, Reason, Request, Settlement, Ticket};
pub use shard::{Applied, Effect, Holder, Limits, Shard, Skip, State};

use papayayard_wire::claim::{DIGEST_BYTES, Digest};
use papayayard_wire::id;

/// Streams that claims are spread over. Hosts must agree on it for ever.
pub const SHARDS: u8 = 1;

/// Digest of an idempotency key.
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

/// The shard of a key.
pub fn shard(key: Digest) -> u8 {
    let scaled = u16::from(key.0[0]) * u16::from(SHARDS);
    scaled.to_be_bytes()[0]
}

/// The stream of a shard.
pub fn stream_name(shard: u8) -> id::Stream {
    id::Stream::from(format!("claims-{shard:02}"))
}

fn truncate(hash: &blake3::Hash) -> Digest {
    let mut bytes = [0; DIGEST_BYTES];
    bytes.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
    Digest(bytes)
}
