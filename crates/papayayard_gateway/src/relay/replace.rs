//! Looks for another endpoint while one does not answer.
//!
//! A sound endpoint may be silent for a moment, and an endpoint that is listed as ready may be
//! silent or unreachable. A silent one is therefore given up only once another one has shown by an
//! answer that it is ready. Until then, or until the deadline, its answer is awaited.

use std::future;
use std::time::Duration;

use papayayard_routing::placement::Placement;
use tokio::time;

use super::{History, Relay};
use crate::attempt::Way;
use crate::dispatch::Permit;
use crate::exchange::Codec;
use crate::job::Job;

/// Timeout for the first event of a stream, as a multiple of the expected time.
const FIRST_EVENT_TIMEOUT_FACTOR: u32 = 3;
/// Lower bound of the timeout for the first event.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the response of a plain service, as a multiple of its target latency.
const PLAIN_TIMEOUT_FACTOR: f64 = 2.0;

/// A place for a request at another endpoint.
pub(crate) struct Replacement {
    pub(crate) placement: Box<Placement>,
    pub(crate) permit: Permit,
    /// Way to the endpoint, if it has shown that it is ready.
    pub(crate) way: Option<Way>,
}

impl From<(Placement, Permit)> for Replacement {
    fn from((placement, permit): (Placement, Permit)) -> Self {
        Self {
            placement: Box::new(placement),
            permit,
            way: None,
        }
    }
}

impl<Platform> Relay<Platform>
where
    Platform: Codec,
{
    /// Finds an endpoint that shows that it is ready to take a request.
    pub(crate) async fn find_ready(&self, job: &Job, history: &History) -> Option<Replacement> {
        let mut history = history.clone();
        loop {
            let (placement, permit) = self.place(job, &history).await.ok()?;
            match self.sender.prepare(job, (&placement, &permit)).await {
                Ok(way) => {
                    return Some(Replacement {
                        placement: Box::new(placement),
                        permit,
                        way: Some(way),
                    });
                }
                Err(failure) => {
                    log::info!(
                        request:% = job.id, endpoint:% = placement.endpoint,
                        reason = failure.as_str();
                        "endpoint is not ready to take over"
                    );
                    self.record_failure(&placement, failure);
                    permit.end(failure.outcome());
                    history.endpoints.push(placement.endpoint);
                }
            }
        }
    }

    /// Whether a request may be sent to another endpoint; takes the retry from the budget.
    pub(crate) fn may_replace(&self, job: &Job) -> bool {
        let is_key_known = job.account.is_none() || self.check_last_read().is_ok();
        is_key_known && self.check_quarantine(job).is_ok() && self.take_retry(job)
    }

    /// Waits until an endpoint that does not answer is given up: once another one is ready, which
    /// becomes the `replacement`, or at the deadline.
    pub(crate) async fn until_given_up(
        &self,
        job: &Job,
        silent: &Placement,
        history: &History,
        replacement: &mut Option<Replacement>,
    ) {
        let remaining = job.deadline.saturating_sub(self.clock.now());
        tokio::select! {
            () = time::sleep(remaining) => {}
            found = self.find_once_silent(job, silent, history) => *replacement = Some(found),
        }
    }

    /// Finds an endpoint that takes over, whenever one has not answered for the time in which an
    /// answer is due.
    async fn find_once_silent(
        &self,
        job: &Job,
        silent: &Placement,
        history: &History,
    ) -> Replacement {
        if !may_run_again(job, history) {
            return future::pending().await;
        }
        let timeout = first_answer_timeout(job, silent);
        let mut history = history.clone();
        history.endpoints.push(silent.endpoint.clone());
        loop {
            time::sleep(timeout).await;
            if !self.has_retry(job) {
                continue;
            }
            log::info!(
                request:% = job.id, endpoint:% = silent.endpoint;
                "endpoint is silent; looking for another endpoint"
            );
            // Boxed, since hardly any request needs it.
            if let Some(found) = Box::pin(self.find_ready(job, &history)).await
                && self.may_replace(job)
            {
                return found;
            }
        }
    }

    /// Whether a request may be sent elsewhere if its endpoint does not answer.
    pub(crate) fn may_be_replaced(&self, job: &Job, history: &History) -> bool {
        may_run_again(job, history) && self.has_retry(job)
    }
}

/// Whether the route allows another run after the one that has no answer.
fn may_run_again(job: &Job, history: &History) -> bool {
    job.route.kind.is_repeatable() && history.runs + 1 < job.allowance.runs
}

/// Time in which an endpoint should begin to answer.
fn first_answer_timeout(job: &Job, placement: &Placement) -> Duration {
    if job.route.kind.is_stream() {
        (placement.first_event * FIRST_EVENT_TIMEOUT_FACTOR).max(MIN_FIRST_EVENT_TIMEOUT)
    } else {
        job.route.target_latency.mul_f64(PLAIN_TIMEOUT_FACTOR)
    }
}
