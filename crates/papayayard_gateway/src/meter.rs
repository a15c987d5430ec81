//! Limits the number of bytes read from a connection.
//!
//! The HTTP library limits the size of one response head, but not the number of interim
//! responses before the final one.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Remaining read allowance in bytes.
#[derive(Clone, Debug)]
pub(crate) struct Meter(Arc<AtomicUsize>);

impl Default for Meter {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl Meter {
    /// Sets the allowance.
    pub(crate) fn allow(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Removes the limit.
    pub(crate) fn allow_all(&self) {
        self.allow(usize::MAX);
    }

    /// Subtracts bytes that were read; returns `false` if they exceed the allowance.
    pub(crate) fn spend(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}
