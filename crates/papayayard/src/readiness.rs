//! Whether a host can serve callers.
//!
//! Requests need the configuration and the platform's list of endpoints, which arrive
//! independently. Until both are there, callers are better off at another host.

use papayayard_wire::directory;
use tokio::sync::watch;

use crate::controllers::configuration;
use crate::operators::State;

/// What a host needs to serve callers.
#[derive(Clone)]
pub(crate) struct Readiness {
    /// Configuration in force.
    pub(crate) active: watch::Receiver<configuration::Current>,
    /// The platform's list, none before the first.
    pub(crate) list: watch::Receiver<Option<directory::List>>,
    /// Whether the host is stopping.
    pub(crate) stopping: watch::Receiver<bool>,
}

impl Readiness {
    /// What the host does at present.
    pub(crate) fn state(&self) -> State {
        if *self.stopping.borrow() {
            return State::Stopping;
        }
        let is_configured = self.active.borrow().is_some();
        let is_listed = self.list.borrow().is_some();
        if is_configured && is_listed {
            State::Serving
        } else {
            State::Starting
        }
    }
}
