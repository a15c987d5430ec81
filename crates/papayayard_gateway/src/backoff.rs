//! Addresses that have asked this host to send nothing for a time.
//!
//! The scheduler leaves such endpoints out. What goes to an endpoint beside
//! callers' requests, readings of its cache and of its report, asks here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Until when addresses want to be left alone.
#[derive(Clone, Default)]
pub(crate) struct Backoffs(Arc<Mutex<HashMap<SocketAddr, Duration>>>);

impl Backoffs {
    /// Notes that an address wants nothing until a time.
    pub(crate) fn set(&self, address: SocketAddr, until: Duration) {
        let mut backoffs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let expiry = backoffs.entry(address).or_default();
        *expiry = until.max(*expiry);
    }

    /// Time for which an address is still to be left alone.
    pub(crate) fn remaining(&self, address: SocketAddr, now: Duration) -> Duration {
        let mut backoffs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let expiry = backoffs.get(&address).copied().unwrap_or_default();
        if expiry <= now {
            backoffs.remove(&address);
        }
        expiry.saturating_sub(now)
    }
}
