//! Earlier attempts of a request, and what they say about further ones.

use std::time::Duration;

use papayayard_routing::placement::Outcome;
use papayayard_wire::id;
use tokio::time;

use crate::attempt::Failure;

/// Time for which silent endpoints are awaited that can't be reached: a sound one goes on well
/// within it.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Pause before they are tried again.
const WAIT_STEP: Duration = Duration::from_millis(150);

/// Earlier attempts of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Endpoints that failed the request.
    pub(crate) endpoints: Vec<id::Endpoint>,
    /// Those of them that may be tried again if there is no other one: they were silent or full,
    /// which sound ones may be for a moment.
    pub(crate) revisitable: Vec<id::Endpoint>,
    /// Those that were silent, or accepted no connection in time.
    silent: Vec<id::Endpoint>,
    /// Until when they are awaited, if there is no other one.
    awaited_until: Option<Duration>,
    /// Number of attempts that may have run.
    pub(crate) runs: u32,
    /// Number of attempts whose endpoints could not be reached.
    pub(crate) unreachable: usize,
    /// Whether all attempts failed to reach their endpoints, and there is no place at another.
    pub(crate) has_no_way: bool,
    /// Whether other hosts were asked to take the request.
    pub(crate) was_offered: bool,
}

impl History {
    /// Records that an endpoint failed the request.
    pub(crate) fn record_failed(&mut self, endpoint: id::Endpoint, failure: Option<Failure>) {
        if failure == Some(Failure::Silent) {
            self.revisitable.push(endpoint.clone());
        }
        self.silent.retain(|silent| *silent != endpoint);
        if matches!(failure, Some(Failure::Silent | Failure::Unresponsive)) {
            self.silent.push(endpoint.clone());
        }
        self.endpoints.push(endpoint);
    }

    /// Whether a failure tells nothing that the request has not met before.
    pub(super) fn is_known(&self, endpoint: &id::Endpoint, failure: Failure) -> bool {
        failure == Failure::Unresponsive && self.silent.contains(endpoint)
    }

    /// Outcome that is reported to the scheduler.
    pub(crate) fn outcome(&self, endpoint: &id::Endpoint, failure: Failure) -> Outcome {
        if self.is_known(endpoint, failure) {
            Outcome::Abandoned
        } else {
            failure.outcome()
        }
    }

    /// Waits before a further attempt at silent endpoints. Returns whether there are any, and time
    /// is left for them. A request that has not run is refused instead, so that its caller asks
    /// another host.
    pub(crate) async fn wait(&mut self, now: Duration, deadline: Duration) -> bool {
        if self.runs == 0 || self.silent.is_empty() {
            return false;
        }
        let end = *self.awaited_until.get_or_insert(now + MAX_WAIT);
        if now + WAIT_STEP >= end.min(deadline) {
            return false;
        }
        time::sleep(WAIT_STEP).await;
        let silent = &self.silent;
        self.endpoints.retain(|endpoint| !silent.contains(endpoint));
        true
    }

    /// Records that an endpoint has answered, so that a later silence is another one.
    pub(crate) fn record_answered(&mut self) {
        self.awaited_until = None;
    }

    /// Records that an endpoint did not take the request while another one may go on with it.
    pub(crate) fn record_not_taken(&mut self, endpoint: id::Endpoint) {
        self.revisitable.push(endpoint.clone());
        self.endpoints.push(endpoint);
    }

    /// Allows a further attempt at endpoints that may be tried again. Returns whether there are
    /// any.
    pub(crate) fn revisit(&mut self) -> bool {
        let revisitable = std::mem::take(&mut self.revisitable);
        self.endpoints
            .retain(|endpoint| !revisitable.contains(endpoint));
        !revisitable.is_empty()
    }
}
