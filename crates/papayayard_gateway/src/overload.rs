//! Refuses placement requests on which the scheduler's task cannot decide in time.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_coordination::dispatcher::ANSWER_TIMEOUT;
use papayayard_coordination::dispatcher_health;
use papayayard_coordination::shedding::{Request, Shedder};
use papayayard_routing::placement::{Decision, PendingKey};

use crate::metrics::Metrics;

/// Time after a placement request for which delays of the process are measured.
const ACTIVE_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time between two log lines.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Answer to a placement request.
pub(crate) enum Verdict {
    Decided(Box<Decision>),
    /// The request was refused undecided; it may be sent again after the delay.
    Shed(Duration),
}

/// Requests that were not looked at yet, and the cost of decisions.
pub(crate) struct Overload {
    shedder: Shedder,
    unseen: Vec<Unseen>,
    metrics: Metrics,
    /// Time until which delays of the process are measured.
    active_until: Duration,
    /// Requests refused since the last log line.
    unreported: u64,
    reported_at: Duration,
}

struct Unseen {
    request: Request<PendingKey>,
    deadline: Duration,
}

impl Overload {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            shedder: Shedder::new(ANSWER_TIMEOUT),
            unseen: Vec::new(),
            metrics,
            active_until: Duration::ZERO,
            unreported: 0,
            reported_at: Duration::ZERO,
        }
    }

    /// Adds a request that the process read at `arrived_at`.
    pub(crate) fn add(
        &mut self,
        key: PendingKey,
        priority: u8,
        deadline: Duration,
        arrived_at: Duration,
    ) {
        self.active_until = arrived_at + ACTIVE_PERIOD;
        let request = Request {
            key,
            priority,
            arrived_at,
        };
        self.unseen.push(Unseen { request, deadline });
    }

    /// Whether delays of the process are measured.
    pub(crate) fn is_active(&self, now: Duration) -> bool {
        now < self.active_until
    }

    /// Records by how much a timer was late.
    pub(crate) fn record_lag(&mut self, lag: Duration, now: Duration) {
        self.shedder.record_lag(lag, now);
    }

    /// Records the time of a pass over a number of requests.
    pub(crate) fn record_pass(&mut self, requests: usize, time: Duration) {
        self.shedder.record_pass(requests, time);
    }

    /// Requests to be refused before a pass over `waiting` requests, and the delays after which
    /// they may be sent again.
    pub(crate) fn shed<IsWaiting>(
        &mut self,
        waiting: usize,
        is_waiting: IsWaiting,
        now: Duration,
    ) -> Vec<(PendingKey, Duration)>
    where
        IsWaiting: Fn(PendingKey) -> bool,
    {
        self.unseen.retain(|unseen| is_waiting(unseen.request.key));
        let mut requests: Vec<Request<PendingKey>> =
            self.unseen.iter().map(|unseen| unseen.request).collect();
        let held = waiting.saturating_sub(requests.len());
        let shed = self.shedder.shed(&mut requests, held, now);
        let deadlines = std::mem::take(&mut self.unseen);
        if shed.is_empty() {
            return Vec::new();
        }
        self.metrics.shed(count(&shed));
        self.unreported += count(&shed);
        let deadlines: HashMap<PendingKey, Duration> = deadlines
            .iter()
            .map(|unseen| (unseen.request.key, unseen.deadline))
            .collect();
        let delays = shed.into_iter().map(|key| {
            let deadline = deadlines.get(&key).copied().unwrap_or(now);
            let left = deadline.saturating_sub(now);
            (key, dispatcher_health::retry_after(left, rand::random()))
        });
        delays.collect()
    }

    /// Logs how many requests were refused, at most once in [`LOG_PERIOD`].
    pub(crate) fn report(&mut self, now: Duration) {
        if self.unreported == 0 || now < self.reported_at + LOG_PERIOD {
            return;
        }
        log::warn!(requests = self.unreported; "requests refused undecided, since this host cannot decide all in time");
        self.unreported = 0;
        self.reported_at = now;
    }
}

fn count(shed: &[PendingKey]) -> u64 {
    u64::try_from(shed.len()).unwrap_or(u64::MAX)
}

#[cfg(test)]
#[path = "overload_test.rs"]
mod test;
