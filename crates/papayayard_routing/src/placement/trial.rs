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
use super::query::Query;
use super::select::{Bounds, Candidate, by_cost};

/// Minimum time between two tests of an ejected endpoint.
const INTERVAL: Duration = Duration::from_millis(500);
/// The same for a test by a request that may run only once, and is lost if it fails.
const LONG_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a test without an answer no longer prevents the next one.
const TIMEOUT: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Returns the best endpoint that a request may test, of those that accept it.
    pub(super) fn trial(
        &self,
        query: &Query,
        draw: f64,
        bounds: &Bounds,
        now: Duration,
    ) -> Option<Candidate> {
        let testable = self.available(query, now, |backend| {
            self.may_be_tested(backend, query, now)
        });
        if testable.is_empty() {
            return None;
        }
        let candidates = self.candidates(query, draw, testable, now).into_iter();
        let idle = candidates.filter(|candidate| {
            let backend = &self.backends[candidate.key];
            let open = candidate.estimate.open - backend.overdue;
            let is_idle = !backend.is_healthy(now) || open < 1.0;
            is_idle && bounds.include(&in_time(&candidate.estimate, bounds))
        });
        let best = idle.min_by(by_cost)?;
        Some(Candidate {
            is_trial: true,
            ..best
        })
    }

    fn may_be_tested(&self, backend: &Backend, query: &Query, now: Duration) -> bool {
        if backend.is_healthy(now) {
            return backend.load.local().open - backend.overdue < 1.0;
        }
        let interval = if query.is_repeatable {
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

/// An estimate that goes neither by how late earlier answers were nor by overdue requests.
fn in_time(estimate: &Estimate, bounds: &Bounds) -> Estimate {
    Estimate {
        first_event_ms: estimate.first_event_ms.min(bounds.target),
        wait_ms: 0.0,
        ..*estimate
    }
}
