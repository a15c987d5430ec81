//! Backoffs that endpoints have requested from this host.
//!
//! The scheduler excludes such endpoints from placement by itself. Polls of an endpoint's
//! cache and report, which bypass the scheduler, check this table instead.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// End of the requested backoff, by address.
#[derive(Clone, Default)]
pub(crate) struct Backoffs(Arc<Mutex<HashMap<SocketAddr, Duration>>>);

impl Backoffs {
    /// Extends the backoff of an address to a time; never shortens it.
    pub(crate) fn set(&self, address: SocketAddr, until: Duration) {
        let mut backoffs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let expiry = backoffs.entry(address).or_default();
        *expiry = until.max(*expiry);
    }

    /// Remaining backoff of an address; zero if there is none.
    pub(crate) fn remaining(&self, address: SocketAddr, now: Duration) -> Duration {
        let mut backoffs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let expiry = backoffs.get(&address).copied().unwrap_or_default();
        if expiry <= now {
            backoffs.remove(&address);
        }
        expiry.saturating_sub(now)
    }
}
