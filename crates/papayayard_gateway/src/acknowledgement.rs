//! Bounds the time for which sent data may stay unacknowledged, anew for each request.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Time after which a connection with unacknowledged data is closed, in ms.
#[derive(Clone, Debug)]
pub(crate) struct Timeout(Arc<AtomicU32>);

/// Timeout that was applied to a socket, in ms.
#[derive(Debug)]
pub(crate) struct Applied(Option<u32>);

impl Applied {
    pub(crate) const fn nothing() -> Self {
        Self(None)
    }
}

impl Timeout {
    pub(crate) fn new(time: Duration) -> Self {
        Self(Arc::new(AtomicU32::new(millis(time))))
    }

    /// Sets the timeout for what is written from now on.
    pub(crate) fn set(&self, time: Duration) {
        self.0.store(millis(time), Ordering::Relaxed);
    }

    /// Applies the timeout to a socket, unless it has been applied.
    pub(crate) fn apply(&self, socket: &TcpStream, applied: &mut Applied) -> io::Result<()> {
        let timeout_ms = self.0.load(Ordering::Relaxed);
        if applied.0 != Some(timeout_ms) {
            let time = Duration::from_millis(u64::from(timeout_ms));
            SockRef::from(socket).set_tcp_user_timeout(Some(time))?;
            applied.0 = Some(timeout_ms);
        }
        Ok(())
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
