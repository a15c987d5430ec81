//! Runs of endpoints as the list last showed them.
//!
//! The end of a run is a crash only if the run was ready: endpoints that leave end by
//! themselves, and some of them only remove their records before. A crashed run breaks its
//! connections first and disappears from the list some heartbeats later. Whether a run lives is
//! another question, which the list does not answer.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_routing::blame::Run;
use papayayard_routing::placement::Endpoint;

use super::attempt::Destination;
use super::task::LISTING_WINDOW;

/// Runs that are listed, or were lately.
#[derive(Debug, Default)]
pub(super) struct Runs(HashMap<Run, Listed>);

/// A run as last seen in the list.
#[derive(Clone, Copy, Debug)]
struct Listed {
    leaving: bool,
    /// When the run disappeared from the list.
    removed_at: Option<Duration>,
}

impl Listed {
    const fn is_ready(&self) -> bool {
        !self.leaving && self.removed_at.is_none()
    }
}

impl Runs {
    /// Applies the current list.
    pub(super) fn update(&mut self, list: Vec<Endpoint>, now: Duration) {
        for listed in self.0.values_mut() {
            listed.removed_at.get_or_insert(now);
        }
        for endpoint in list {
            let run = Run {
                endpoint: endpoint.id,
                started: endpoint.started,
            };
            let listed = Listed {
                leaving: endpoint.leaving,
                removed_at: None,
            };
            self.0.insert(run, listed);
        }
        self.0
            .retain(|_, listed| listed.removed_at.is_none_or(|at| now < at + LISTING_WINDOW));
    }

    /// Returns the run that a request was sent to, or `None` if its end is no crash: it is
    /// unknown, has announced that it leaves, or has left the list before its end showed.
    pub(super) fn may_crash(&self, destination: &Destination) -> Option<Run> {
        let run = destination.run().or_else(|| self.newest(destination))?;
        let is_ready = self.0.get(&run).is_some_and(Listed::is_ready);
        is_ready.then_some(run)
    }

    /// Whether the list shows that a run has crashed.
    pub(super) fn shows_crash(&self, run: &Run) -> bool {
        let listed = self.0.get(run);
        listed.is_some_and(|listed| listed.removed_at.is_some() && !listed.leaving)
    }

    pub(super) fn is_listed(&self, run: &Run) -> bool {
        let listed = self.0.get(run);
        listed.is_some_and(|listed| listed.removed_at.is_none())
    }

    /// Returns the newest run of an endpoint.
    fn newest(&self, destination: &Destination) -> Option<Run> {
        let runs = self.0.keys();
        let runs = runs.filter(|run| run.endpoint == destination.endpoint);
        runs.max_by_key(|run| run.started).cloned()
    }
}

#[cfg(test)]
#[path = "runs_test.rs"]
mod test;
