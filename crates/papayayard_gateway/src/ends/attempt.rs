//! A request at an endpoint, until it is known what came of it.

use std::net::SocketAddr;

use papayayard_routing::blame::Progress;
use papayayard_routing::placement::Placement;
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;

use super::{CrashTracker, Message};
use crate::attempt::Failure;
use crate::job::Job;

/// A request at an endpoint that may have ended under it.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) request: id::Request,
    pub(super) fingerprint: Fingerprint,
    pub(super) progress: Progress,
    pub(super) endpoint: id::Endpoint,
    pub(super) address: SocketAddr,
}

impl Attempt {
    /// A request where it was placed.
    pub(super) fn new(job: &Job, placement: &Placement, progress: Progress) -> Self {
        Self {
            request: job.id.clone(),
            fingerprint: job.fingerprint,
            progress,
            endpoint: placement.endpoint.clone(),
            address: placement.address,
        }
    }
}

/// A request that is open at an endpoint. Where it is dropped before it was settled
/// its caller has left, and the endpoint may end under it all the same.
pub(crate) struct Watch {
    tracker: CrashTracker,
    attempt: Option<Attempt>,
}

impl Watch {
    /// A request that is about to be sent.
    pub(super) const fn new(tracker: CrashTracker, attempt: Attempt) -> Self {
        Self {
            tracker,
            attempt: Some(attempt),
        }
    }

    /// Notes that an event of the answer has come.
    pub(crate) fn mark_begun(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.progress = Progress::Begun;
        }
    }

    /// Takes over that the endpoint has answered to the end.
    pub(crate) fn finished(mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.tracker.finished(attempt.fingerprint);
        }
    }

    /// Takes over that the endpoint gave no answer that can be used. Where the
    /// connection ended, waits until the endpoint was asked whether it lives.
    pub(crate) async fn failed(mut self, failure: Failure) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        match failure {
            Failure::Broken => self.tracker.investigate(attempt).await,
            Failure::Silent => self.tracker.send(Message::Unanswered(attempt)),
            Failure::Unreachable | Failure::Refused | Failure::Mismatched | Failure::Foreign => {}
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.tracker.send(Message::Unanswered(attempt));
        }
    }
}
