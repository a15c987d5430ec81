//! The newest era of the store that a task of the host has seen.
//!
//! Each task that calls the store can be the first to find it restored. The others have
//! read an older era then, and are notified.

use std::sync::Arc;

use papayayard_wire::log::Era;
use tokio::sync::watch;

/// Newest era, shared by all tasks that call the store; `None` before the first answer.
#[derive(Clone, Default)]
pub(crate) struct Newest(Arc<watch::Sender<Option<Era>>>);

impl Newest {
    /// Records the era of an answer.
    pub(crate) fn observe(&self, era: Era) {
        self.0.send_if_modified(|newest| {
            if Some(era) <= *newest {
                return false;
            }
            if let Some(before) = *newest {
                log::warn!(era = era.0, before = before.0; "the store was restored from an older copy");
            }
            *newest = Some(era);
            true
        });
    }

    /// Newest era seen so far.
    pub(crate) fn get(&self) -> Option<Era> {
        *self.0.borrow()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Era>> {
        self.0.subscribe()
    }
}
