//! Load of one endpoint, estimated from one host's requests.
//!
//! A host knows its own requests immediately and those of other hosts not at all. Callers are
//! spread over the hosts, so this host's average load at an endpoint represents each of the
//! others. One host has too few requests at one endpoint for a steady average, so the mean over
//! all similar endpoints is blended in; its weight grows as this host's requests there become
//! fewer. The estimate follows a change of load within the time constant, needs no messages, and
//! its cost grows neither with the hosts nor with the endpoints.

use std::time::Duration;

/// Time constant of the averages.
const DECAY: Duration = Duration::from_millis(600);
/// Time constant of the averages when they represent many hosts. A single host has so few
/// requests that with a shorter one, one or two long prompts would appear to fill all endpoints.
const MANY_HOSTS_DECAY: Duration = Duration::from_secs(3);
/// Number of hosts from which the longer time constant applies.
const MANY_HOSTS: usize = 30;
/// Time constant of the request count.
const COUNT_DECAY: Duration = Duration::from_secs(2);
/// Requests at one endpoint from which their average outweighs the mean of all endpoints.
const MEAN_WEIGHT: f64 = 6.0;

/// Load from this host at an endpoint, current and averaged.
#[derive(Clone, Debug, Default)]
pub struct Load {
    current: Amounts,
    average: Amounts,
    /// Average with the longer time constant.
    steady_average: Amounts,
    recent_requests: f64,
    at: Duration,
}

/// Load from this host at an endpoint at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sample {
    pub(super) current: Amounts,
    average: Amounts,
    steady_average: Amounts,
    local_weight: f64,
}

impl Sample {
    /// Estimates the load from all hosts, where `mean` is this host's mean load at an endpoint
    /// of the same kind.
    pub(super) fn estimate_total(&self, mean: Amounts, hosts: usize) -> Amounts {
        if hosts <= 1 {
            return self.current;
        }
        let others = f64::from(u32::try_from(hosts.max(1) - 1).unwrap_or(u32::MAX));
        let average = self.average.scaled(self.local_weight);
        let average = average.plus(mean, 1.0 - self.local_weight);
        self.current.plus(average, others)
    }

    /// Average load from this host, smoothed so that it can represent the other hosts.
    pub(super) const fn average(&self, hosts: usize) -> Amounts {
        if hosts >= MANY_HOSTS {
            self.steady_average
        } else {
            self.average
        }
    }
}

/// Amounts of load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    /// Requests in flight.
    pub open: f64,
    /// Prompt tokens that are not prefilled yet.
    pub unread: f64,
    /// Tokens of memory held by requests in flight.
    pub memory: f64,
}

impl Load {
    /// Adds the load of a request.
    pub fn add(&mut self, amounts: Amounts, now: Duration) {
        self.settle(now);
        self.current = self.current.plus(amounts, 1.0);
        self.recent_requests += amounts.open;
    }

    /// Removes load of a request.
    pub fn remove(&mut self, amounts: Amounts, now: Duration) {
        self.settle(now);
        self.current = self.current.plus(amounts, -1.0).at_least_zero();
    }

    /// Current load from this host.
    pub const fn local(&self) -> Amounts {
        self.current
    }

    /// The load at a time, as one of `hosts` hosts has it. The averages are left out for the only
    /// host, which needs none.
    pub(super) fn sample(&self, hosts: usize, now: Duration) -> Sample {
        if hosts <= 1 {
            return Sample {
                current: self.current,
                ..Sample::default()
            };
        }
        let recent_requests = self.recent_requests_at(now);
        Sample {
            current: self.current,
            average: self.average_at(now),
            steady_average: self.steady_at(now),
            local_weight: recent_requests / (recent_requests + MEAN_WEIGHT),
        }
    }

    fn settle(&mut self, now: Duration) {
        self.average = self.average_at(now);
        self.steady_average = self.steady_at(now);
        self.recent_requests = self.recent_requests_at(now);
        self.at = now;
    }

    fn recent_requests_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.recent_requests * (-elapsed / COUNT_DECAY.as_secs_f64()).exp()
    }

    fn average_at(&self, now: Duration) -> Amounts {
        self.decayed(self.average, DECAY, now)
    }

    fn steady_at(&self, now: Duration) -> Amounts {
        self.decayed(self.steady_average, MANY_HOSTS_DECAY, now)
    }

    fn decayed(&self, average: Amounts, decay: Duration, now: Duration) -> Amounts {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let weight = (-elapsed / decay.as_secs_f64()).exp();
        average.scaled(weight).plus(self.current, 1.0 - weight)
    }
}

impl Amounts {
    pub fn mean<All>(all: All) -> Self
    where
        All: Iterator<Item = Self>,
    {
        let mut count = 0.0;
        let mut sum = Self::default();
        for amounts in all {
            sum = sum.plus(amounts, 1.0);
            count += 1.0;
        }
        if count > 0.0 {
            sum.scaled(1.0 / count)
        } else {
            sum
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self::default().plus(self, factor)
    }

    pub(super) fn plus(self, other: Self, factor: f64) -> Self {
        Self {
            open: self.open + other.open * factor,
            unread: self.unread + other.unread * factor,
            memory: self.memory + other.memory * factor,
        }
    }

    fn at_least_zero(self) -> Self {
        Self {
            open: self.open.max(0.0),
            unread: self.unread.max(0.0),
            memory: self.memory.max(0.0),
        }
    }
}
