//! Connections to endpoints that are connections for further requests.
//!
//! An endpoint closes idle connections, at times without notice. A request
//! that may run only once is not sent on a connection that has been idle for
//! long, since a close that crosses it leaves open whether it ran.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::HeaderMap;

use crate::clock::Clock;
use crate::dial::Connection;

/// Time for which an idle connection is connections where the endpoint states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Time before the stated end of an idle connection at which it is given up.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Longest idle time of a connection for requests that may run only once.
const MAX_IDLE_SINGLE_RUN: Duration = Duration::from_millis(400);
/// Most idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Idle connections by address.
#[derive(Clone)]
pub(crate) struct Pool {
    clock: Clock,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

struct Idle {
    connection: Connection,
    idle_since: Duration,
    until: Duration,
}

impl Pool {
    /// An empty pool.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Arc::default(),
        }
    }

    /// The connection to an address that was used last, if one is connections.
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

    /// Keeps a connection after a whole answer.
    pub(crate) fn put(&self, address: SocketAddr, connection: Connection, headers: &HeaderMap) {
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
            connections.push(Idle {
                connection,
                idle_since: now,
                until: now + time,
            });
        }
    }

    /// Closes connections that have been idle for too long.
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
