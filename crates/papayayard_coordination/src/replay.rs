//! Rejects messages that are late, early or replayed.
//!
//! A proof shows who created a message, but not when it arrives. The window accepts a
//! message if its time is near the receiver's and its nonce is new. It keeps a nonce
//! only for as long as its time would be accepted.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use papayayard_wire::{id, proof};

/// Maximum number of nonces kept.
pub const NONCE_LIMIT: usize = 16_384;

/// Accepted time difference, and the nonces received within it.
#[derive(Debug)]
pub struct Window {
    local_host: id::Host,
    skew_ms: u64,
    nonces: HashSet<(id::Host, u64)>,
    expiry: BTreeSet<(u64, id::Host, u64)>,
}

impl Window {
    /// Creates a window for messages to `local_host` whose times differ by at most
    /// `skew`.
    pub fn new(local_host: id::Host, skew: Duration) -> Self {
        Self {
            local_host,
            skew_ms: u64::try_from(skew.as_millis()).unwrap_or(u64::MAX),
            nonces: HashSet::new(),
            expiry: BTreeSet::new(),
        }
    }

    /// Accepts or rejects a message whose proof is valid. `now_ms` is the receiver's
    /// clock, in milliseconds since 1970.
    pub fn admit(&mut self, envelope: &proof::Envelope, now_ms: u64) -> Result<(), proof::Error> {
        self.check(envelope, now_ms)?;
        self.remove_expired(now_ms);
        let key = (envelope.from.clone(), envelope.nonce);
        let is_new = self.nonces.len() < NONCE_LIMIT && self.nonces.insert(key);
        if !is_new {
            return Err(proof::Error::Replay {
                from: envelope.from.clone(),
            });
        }
        let until = envelope.time_ms.saturating_add(self.skew_ms);
        self.expiry
            .insert((until, envelope.from.clone(), envelope.nonce));
        Ok(())
    }

    fn check(&self, envelope: &proof::Envelope, now_ms: u64) -> Result<(), proof::Error> {
        if let Some(to) = envelope.to.as_ref().filter(|to| **to != self.local_host) {
            return Err(proof::Error::Receiver { to: to.clone() });
        }
        let skew_ms = envelope.time_ms.abs_diff(now_ms);
        if skew_ms > self.skew_ms {
            return Err(proof::Error::Time {
                from: envelope.from.clone(),
                skew_ms,
            });
        }
        Ok(())
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((until, _, _)) = self.expiry.first() {
            if *until >= now_ms {
                return;
            }
            let Some((_, host, nonce)) = self.expiry.pop_first() else {
                return;
            };
            self.nonces.remove(&(host, nonce));
        }
    }
}
