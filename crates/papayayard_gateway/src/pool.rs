//! Pool of idle connections to endpoints.
//!
//! Endpoints close idle connections, sometimes without notice. A request that must not
//! run twice is not sent on a connection that has been idle for long: if the endpoint
//! closes the connection at the same time, it is unknown whether the request ran.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::HeaderMap;

use crate::clock::Clock;
use crate::dial::Connection;

/// Time for which an idle connection is kept if the endpoint states no timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Margin before the endpoint's stated idle timeout at which a connection is discarded.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum idle time of a connection for requests that must not run twice.
const MAX_IDLE_SINGLE_RUN: Duration = Duration::from_millis(400);
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Idle connections by address.
#[derive(Clone)]
pub(crate) struct Pool {
    clock: Clock,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Entry>>>>,
}

struct Entry {
    connection: Connection,
    idle_since: Duration,
    until: Duration,
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Arc::default(),
        }
    }

    /// Takes the most recently used idle connection to an address.
    pub(crate) fn take(&self, address: SocketAddr, runs_once: bool) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(last) = connections.pop() {
            let stale =
                last.until <= now || runs_once && last.idle_since + MAX_IDLE_SINGLE_RUN <= now;
            if stale {
                connections.clear();
                return None;
            }
            if last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection whose response was read completely.
    pub(crate) fn put(&self, address: SocketAddr, connection: Connection, headers: &HeaderMap) {
        connection.settle();
        if connection.is_closed() {
            return;
        }
        let now = self.clock.now();
        let time = stated_idle(headers).map_or(DEFAULT_IDLE, |stated| {
            stated.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(Entry {
                connection,
                idle_since: now,
                until: now + time,
            });
        }
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|entry| now < entry.until && !entry.connection.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to an address.
    pub(crate) fn forget(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }
}

/// The idle time that a `Keep-Alive` header states.
fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
