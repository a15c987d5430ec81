//! Notifies all tasks of a host that the store answers again.
//!
//! Each task that calls the store finds out by itself that the store is away, and pauses
//! between its calls. The first one that gets an answer again ends the pauses of the
//! others.

use std::sync::Arc;

use tokio::sync::watch;

/// Sending side, shared by all tasks that call the store.
#[derive(Clone, Default)]
pub(crate) struct Notifier(Arc<watch::Sender<()>>);

/// Receiving side of one task.
pub(crate) struct Recoveries(watch::Receiver<()>);

impl Notifier {
    /// Tells all tasks that the store has answered a task that it did not answer before.
    pub(crate) fn notify(&self) {
        self.0.send_replace(());
    }

    pub(crate) fn subscribe(&self) -> Recoveries {
        Recoveries(self.0.subscribe())
    }
}

impl Recoveries {
    /// Disregards earlier notifications, before a call whose outcome is newer.
    pub(crate) fn disregard(&mut self) {
        self.0.mark_unchanged();
    }

    /// Waits for a notification.
    pub(crate) async fn next(&mut self) {
        if self.0.changed().await.is_err() {
            // Nobody calls the store any more.
            std::future::pending::<()>().await;
        }
    }
}
