//! Requests that test endpoints which do not seem to serve them in time.
//!
//! What a scheduler has learned of an endpoint in a bad moment keeps requests away from it, and
//! only requests can show that the moment has passed. So a request that would be refused is sent
//! to an endpoint that is idle although its earlier answers were late, or to one that is ejected.
//! One request at a time tests an endpoint, and an ejected one is not tested more often than its
//! first ejection takes. What the endpoint itself asks for, its limits among that, holds for these
//! requests as for all others.

use std::time::Duration;

use super::Scheduler;
use super::backend::Backend;
use super::cost::Estimate;
use super::roster::Entry;
use super::select::Bounds;

/// Minimum time between two tests of an ejected endpoint.
const INTERVAL: Duration = Duration::from_millis(500);
/// The same for a test by a request that may run only once, and is lost if it fails.
const LONG_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a test without an answer no longer prevents the next one.
const TIMEOUT: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Whether a request may test an endpoint that accepts it.
    pub(super) fn may_be_tested(
        &self,
        backend: &Backend,
        is_repeatable: bool,
        now: Duration,
    ) -> bool {
        if backend.is_healthy(now) {
            return backend.load.local().open - backend.overdue < 1.0;
        }
        let interval = if is_repeatable {
            INTERVAL
        } else {
            LONG_INTERVAL
        };
        let is_waiting = |ticket| {
            let placed = self.tickets.get(ticket);
            placed.is_some_and(|placed| !placed.has_begun)
        };
        let is_due = backend.trial.is_none_or(|(ticket, at)| {
            let pause = if is_waiting(ticket) {
                interval.max(TIMEOUT)
            } else {
                interval
            };
            at + pause <= now
        });
        is_due && backend.health.is_testable_after(interval, now)
    }
}

/// Whether the result of a test is in time for the request: the endpoint is idle, or ejected.
pub(super) fn includes(entry: &Entry, estimate: &Estimate, bounds: &Bounds) -> bool {
    let is_idle = !entry.is_healthy || estimate.open - entry.overdue < 1.0;
    is_idle && bounds.include(&in_time(estimate, bounds))
}

/// Times at which an endpoint may be tested again, unless its state changes before.
pub(super) fn times(backend: &Backend) -> impl Iterator<Item = Duration> {
    let last = backend.trial.map(|(_, at)| at);
    let starts = last.into_iter().chain(backend.health.ejected_since());
    starts.flat_map(|at| [INTERVAL, LONG_INTERVAL, TIMEOUT].map(|pause| at + pause))
}

/// An estimate that goes neither by how late earlier answers were nor by overdue requests.
fn in_time(estimate: &Estimate, bounds: &Bounds) -> Estimate {
    Estimate {
        first_event_ms: estimate.first_event_ms.min(bounds.target),
        wait_ms: 0.0,
        ..*estimate
    }
}
