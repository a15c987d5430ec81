//! Memory for responses that this host has read in part; see [`papayayard_routing::buffers`].
//!
//! A share belongs to the task that reads the response. One that is evicted is told, so that it
//! closes the response at once instead of holding it until its deadline.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use papayayard_routing::buffers::{Buffers, Growth, Holder};
use slotmap::SecondaryMap;
use snafu::Snafu;
use tokio::sync::Notify;

/// Fraction of a host's memory that partly read responses may hold, as a divisor: connections,
/// callers' requests and caches of the store need the rest.
const DIVISOR: usize = 8;

/// The memory is needed for other responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the memory for responses is used up; send shorter ones, and state their length"))]
pub(crate) struct Exhausted;

/// Memory that all responses of a host share.
#[derive(Clone)]
pub(crate) struct Memory(Arc<Mutex<State>>);

struct State {
    buffers: Buffers,
    evictions: SecondaryMap<Holder, Arc<Notify>>,
}

impl Memory {
    /// Creates the memory of a host that may use `bytes` in all.
    pub(crate) fn of_host(bytes: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            buffers: Buffers::new(bytes / DIVISOR),
            evictions: SecondaryMap::new(),
        })))
    }

    /// Adds a response, which may state its length.
    pub(crate) fn share(&self, has_length: bool) -> Share {
        let eviction = Arc::new(Notify::new());
        let mut state = self.state();
        let holder = state.buffers.open(has_length);
        state.evictions.insert(holder, Arc::clone(&eviction));
        drop(state);
        Share {
            memory: self.clone(),
            holder,
            eviction,
            bytes: 0,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one response holds; released on drop.
pub(crate) struct Share {
    memory: Memory,
    holder: Holder,
    eviction: Arc<Notify>,
    bytes: usize,
}

impl Share {
    /// Sets the number of bytes that the response holds.
    pub(crate) fn hold(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes == self.bytes {
            return Ok(());
        }
        self.bytes = bytes;
        let mut state = self.memory.state();
        let (evicted, result) = match state.buffers.hold(self.holder, bytes) {
            Growth::Granted { evicted } => (evicted, Ok(())),
            Growth::Refused { evicted } => (evicted, Err(Exhausted)),
        };
        for holder in evicted {
            if let Some(eviction) = state.evictions.remove(holder) {
                eviction.notify_one();
            }
        }
        result
    }

    /// Waits until the memory is needed for other responses.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.buffers.close(self.holder);
        state.evictions.remove(self.holder);
    }
}
