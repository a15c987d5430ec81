//! Health of one endpoint, derived from the requests sent to it.
//!
//! After three failures in a row, an endpoint is ejected for a time that doubles
//! with each ejection. A single request then probes it. Each complete answer
//! doubles the number of requests that may be open at once, until the endpoint is
//! healthy again. If all endpoints that could serve a request are ejected, a single
//! request may also test one of them earlier: its answer ends the ejection, and its
//! failure does not prolong it.

use std::time::Duration;

const FAILURE_THRESHOLD: u32 = 3;
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(30);
const HEALTHY_PERMITS: u32 = 16;
const MAX_DOUBLINGS: u32 = 8;

/// Health of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    state: State,
    failures: u32,
    ejections: u32,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Healthy,
    Ejected {
        since: Duration,
        until: Duration,
    },
    Probing {
        permits: u32,
    },
}

impl Health {
    /// Whether another request may be sent while `open` requests are open.
    pub fn permits(&self, open: u32, now: Duration) -> bool {
        match self.state {
            State::Healthy => true,
            State::Ejected { until, .. } => now >= until && open == 0,
            State::Probing { permits } => open < permits,
        }
    }

    /// Whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Duration) -> bool {
        matches!(self.state, State::Ejected { until, .. } if now < until)
    }

    /// End of the last ejection, unless an answer has ended it.
    pub const fn ejected_until(&self) -> Option<Duration> {
        match self.state {
            State::Ejected { until, .. } => Some(until),
            State::Healthy | State::Probing { .. } => None,
        }
    }

    /// Start of the last ejection, unless an answer has ended it.
    pub const fn ejected_since(&self) -> Option<Duration> {
        match self.state {
            State::Ejected { since, .. } => Some(since),
            State::Healthy | State::Probing { .. } => None,
        }
    }

    /// Ejections since the endpoint was last healthy.
    pub const fn ejections(&self) -> u32 {
        self.ejections
    }

    /// Whether the next failure ejects the endpoint.
    pub const fn is_failing(&self) -> bool {
        match self.state {
            State::Healthy => self.failures + 1 >= FAILURE_THRESHOLD,
            State::Ejected { .. } | State::Probing { .. } => true,
        }
    }

    /// Whether the endpoint was ejected and is not known to be healthy again.
    pub const fn is_on_trial(&self) -> bool {
        !matches!(self.state, State::Healthy)
    }

    /// Records a complete answer. During an ejection it has no effect on the
    /// ejection, since its request was sent before.
    pub fn record_success(&mut self, now: Duration) {
        self.failures = 0;
        self.state = match self.state {
            State::Healthy => State::Healthy,
            State::Ejected { until, .. } if now < until => self.state,
            State::Ejected { .. } => State::Probing { permits: 2 },
            State::Probing { permits } if permits * 2 >= HEALTHY_PERMITS => {
                self.ejections = 0;
                State::Healthy
            }
            State::Probing { permits } => State::Probing {
                permits: permits * 2,
            },
        };
    }

    /// Whether the endpoint is not ejected, or has been for `time`.
    pub fn is_testable_after(&self, time: Duration, now: Duration) -> bool {
        match self.state {
            State::Ejected { since, .. } => now >= since + time,
            State::Healthy | State::Probing { .. } => true,
        }
    }

    /// Records a complete answer to a request that was sent at a time. If it was sent during an
    /// ejection, it ends the ejection.
    pub fn record_answer(&mut self, sent: Duration, now: Duration) {
        if let State::Ejected { since, .. } = self.state
            && sent >= since
        {
            self.failures = 0;
            self.state = State::Probing { permits: 2 };
            return;
        }
        self.record_success(now);
    }

    pub fn record_failure(&mut self, now: Duration) {
        if self.is_ejected(now) {
            return;
        }
        if self.is_failing() {
            self.eject(now);
        } else {
            self.failures += 1;
        }
    }

    fn eject(&mut self, now: Duration) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let ejection_time = INITIAL_EJECTION * 2_u32.pow(doublings);
        self.ejections += 1;
        self.failures = 0;
        self.state = State::Ejected {
            since: now,
            until: now + ejection_time.min(MAX_EJECTION),
        };
    }
}
