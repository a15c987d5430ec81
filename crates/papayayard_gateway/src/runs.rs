//! Records what this host sees of the runs of endpoints: in their records, in their answers,
//! and by connections that fail. The decisions are made in `papayayard_coordination::run`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_coordination::run::{Doubt, Record, Runs};
use papayayard_routing::listing::Registration;
use papayayard_routing::placement::Endpoint;
use papayayard_wire::id;

use crate::attempt::Failure;
use crate::clock::Clock;

/// Knows which endpoints run the software that is listed.
#[derive(Clone)]
pub(crate) struct Tracker {
    clock: Clock,
    runs: Arc<Mutex<Runs>>,
}

impl Tracker {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            runs: Arc::default(),
        }
    }

    /// Applies a record that a reading contained which was requested at a time.
    pub(crate) fn list(&self, registration: &Registration, requested_at: Duration) {
        let endpoint = &registration.endpoint;
        let record = Record {
            run: endpoint.started,
            software: endpoint.software.clone(),
            heartbeat: registration.heartbeat,
        };
        self.runs().list(&endpoint.id, record, requested_at);
    }

    /// Forgets all endpoints but those of the list.
    pub(crate) fn retain(&self, listed: &[Endpoint]) {
        let is_listed = |id: &id::Endpoint| listed.iter().any(|endpoint| endpoint.id == *id);
        self.runs().retain(is_listed);
    }

    /// Records the run that an endpoint named in the answer to a call of the given time.
    pub(crate) fn name(&self, endpoint: &id::Endpoint, run: id::Incarnation, called_at: Duration) {
        self.change(endpoint, |runs| runs.name(endpoint, run, called_at));
    }

    /// The same for a call that follows the endpoint.
    pub(crate) fn follow(
        &self,
        endpoint: &id::Endpoint,
        run: id::Incarnation,
        called_at: Duration,
    ) {
        self.change(endpoint, |runs| runs.follow(endpoint, run, called_at));
    }

    /// Records that nothing listens at an endpoint's address, or that it cannot be followed.
    pub(crate) fn lost(&self, endpoint: &id::Endpoint) {
        self.doubt(endpoint, Doubt::Lost);
    }

    /// Records that a request failed.
    pub(crate) fn failed(&self, endpoint: &id::Endpoint, failure: Failure) {
        match failure {
            Failure::Unreachable | Failure::Unresponsive | Failure::Broken => {
                self.doubt(endpoint, Doubt::Suspected);
            }
            Failure::Refused
            | Failure::Mismatched
            | Failure::Restarted
            | Failure::Foreign
            | Failure::Unconfirmed
            | Failure::Oversized
            | Failure::Silent
            | Failure::Outdated
            | Failure::Overdue => {}
        }
    }

    /// Version of the software that an endpoint runs, if it is known.
    pub(crate) fn software(&self, endpoint: &id::Endpoint) -> Option<id::Software> {
        self.runs().software(endpoint).cloned()
    }

    /// Records that another host is in doubt, and returns the version that is listed.
    pub(crate) fn suspect(&self, endpoint: &id::Endpoint) -> Option<id::Software> {
        self.doubt(endpoint, Doubt::Suspected);
        self.runs().listed_software(endpoint).cloned()
    }

    /// Endpoints that have named another run than the listed one.
    pub(crate) fn restarted(&self) -> Vec<id::Endpoint> {
        self.runs().restarted().cloned().collect()
    }

    fn doubt(&self, endpoint: &id::Endpoint, doubt: Doubt) {
        let now = self.clock.now();
        self.change(endpoint, |runs| runs.doubt(endpoint, doubt, now));
    }

    fn change<Change>(&self, endpoint: &id::Endpoint, change: Change)
    where
        Change: FnOnce(&mut Runs),
    {
        let mut runs = self.runs();
        let was_known = runs.software(endpoint).is_some();
        change(&mut runs);
        let is_known = runs.software(endpoint).is_some();
        drop(runs);
        if was_known != is_known {
            log::info!(endpoint:%, is_known; "knowledge of an endpoint's software");
        }
    }

    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
