//! Estimated load of one endpoint.
//!
//! A report is out of date when it arrives. The backlog of prompt tokens is
//! therefore extrapolated from the time of the report: it drains at the reported
//! prefill rate, and the tokens that this host has sent since are added. Other
//! hosts send requests as well; each token sent here is multiplied by the number
//! of hosts in the zone, which assumes that the balancer spreads requests evenly.

use std::collections::VecDeque;
use std::time::Duration;

use papayayard_wire::endpoint;

const DEFAULT_PREFILL_RATE: f64 = 8_000.0;
const DEFAULT_SLOTS: f64 = 16.0;
const DEFAULT_SERVICE_TIME: f64 = 1.0;
const DEFAULT_MEAN_TOKENS: f64 = 1_000.0;
const MEAN_TOKENS_WEIGHT: f64 = 0.05;
const MIN_SHARE: f64 = 0.25;
const SERVICE_TIME_WEIGHT: f64 = 0.1;
const MAX_RECENT: usize = 512;

#[derive(Clone, Debug)]
pub struct Load {
    rate: f64,
    slots: f64,
    backlog: f64,
    occupied: f64,
    at: Duration,
    measured_at: Duration,
    recent: VecDeque<Change>,
    open: u32,
    service_time: f64,
    mean_tokens: f64,
}

/// Change of the load that this host caused.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Duration,
    tokens: f64,
    requests: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            rate: DEFAULT_PREFILL_RATE,
            slots: DEFAULT_SLOTS,
            backlog: 0.0,
            occupied: 0.0,
            at: Duration::ZERO,
            measured_at: Duration::ZERO,
            recent: VecDeque::new(),
            open: 0,
            service_time: DEFAULT_SERVICE_TIME,
            mean_tokens: DEFAULT_MEAN_TOKENS,
        }
    }
}

impl Load {
    /// Prefill rate, in prompt tokens per second.
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Number of requests that this host has open at the endpoint.
    pub const fn open(&self) -> u32 {
        self.open
    }

    /// Running and queued requests, divided by the number of slots.
    pub fn occupancy(&self) -> f64 {
        self.occupied / self.slots
    }

    /// Seconds until the current backlog is computed and a slot is free.
    pub fn backlog_seconds(&self, now: Duration) -> f64 {
        self.backlog_at(now) / self.rate + self.slot_seconds()
    }

    /// Seconds to the first token of a request with `tokens` to compute that is sent
    /// now. Some engines share the prefill of a batch, others keep the order, so a
    /// short prompt is assumed to wait for a share of the backlog, in proportion
    /// to its length, but for at least a fixed part.
    pub fn first_token(&self, tokens: u32, now: Duration) -> f64 {
        let tokens = f64::from(tokens);
        let share = (tokens / self.mean_tokens).clamp(MIN_SHARE, 1.0);
        let shared = self.backlog_at(now) * share;
        (tokens + shared) / self.rate + self.slot_seconds()
    }

    /// Seconds until a slot is free.
    fn slot_seconds(&self) -> f64 {
        let excess = (self.occupied + 1.0 - self.slots).max(0.0);
        excess * self.service_time / self.slots
    }

    /// Applies a report; one measured before the last applied report is ignored.
    pub fn report(&mut self, report: &endpoint::Report, now: Duration, hosts: f64) {
        let measured_at = now.saturating_sub(Duration::from_millis(report.age_ms));
        if measured_at < self.measured_at {
            return;
        }
        self.measured_at = measured_at;
        self.rate = f64::from(report.prefill_rate.max(1));
        self.slots = f64::from(report.slots.max(1));
        self.backlog = f64::from(u32::try_from(report.pending_tokens).unwrap_or(u32::MAX));
        self.occupied = f64::from(report.running) + f64::from(report.queued);
        self.at = measured_at;
        while self
            .recent
            .front()
            .is_some_and(|change| change.at <= measured_at)
        {
            self.recent.pop_front();
        }
        for index in 0..self.recent.len() {
            let change = self.recent[index];
            self.apply(change, hosts);
        }
    }

    /// Records a request that was sent with `tokens` to compute.
    pub fn dispatched(&mut self, tokens: u32, now: Duration, hosts: f64) {
        self.open += 1;
        let difference = f64::from(tokens) - self.mean_tokens;
        self.mean_tokens = (self.mean_tokens + MEAN_TOKENS_WEIGHT * difference).max(1.0);
        self.record(now, f64::from(tokens), 1.0, hosts);
    }

    /// Records a request that completed after `took`.
    pub fn finished(&mut self, took: Duration, now: Duration, hosts: f64) {
        let difference = took.as_secs_f64() - self.service_time;
        self.service_time += SERVICE_TIME_WEIGHT * difference;
        self.record_end(now, hosts);
    }

    /// Records the end of a request, with or without an answer.
    pub fn record_end(&mut self, now: Duration, hosts: f64) {
        self.open = self.open.saturating_sub(1);
        self.record(now, 0.0, -1.0, hosts);
    }

    /// Discards the load of a process that ended.
    pub fn reset(&mut self, now: Duration) {
        self.backlog = 0.0;
        self.occupied = 0.0;
        self.at = now;
        self.measured_at = now;
        self.recent.clear();
    }

    fn record(&mut self, at: Duration, tokens: f64, requests: f64, hosts: f64) {
        let change = Change {
            at,
            tokens,
            requests,
        };
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(change);
        self.apply(change, hosts);
    }

    fn apply(&mut self, change: Change, hosts: f64) {
        self.backlog = self.backlog_at(change.at) + change.tokens * hosts;
        self.at = self.at.max(change.at);
        self.occupied = (self.occupied + change.requests * hosts).max(f64::from(self.open.min(1)));
    }

    fn backlog_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        (self.backlog - elapsed * self.rate).max(0.0)
    }
}
