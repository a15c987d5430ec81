//! Share of requests that prefer the endpoints with the newest weights.
//!
//! When weights change, all hosts discover the first endpoints with the new version at the same
//! moment, and each host sees them empty. If all hosts sent their requests there, callers would
//! wait for seconds. Each host therefore lets only as many of its requests prefer these
//! endpoints as they can serve if all hosts do the same. That share follows from their number
//! and from this host's demand.

use std::time::Duration;

use super::float;
use super::prefill::Prefill;
use crate::prompt::Prompt;

/// Time constant of the demand.
const DECAY: Duration = Duration::from_secs(2);
/// Utilization of an endpoint up to which requests seldom wait.
const MAX_UTILIZATION: f64 = 0.85;
/// Time that one more output token takes from other requests, in ms.
const OUTPUT_TOKEN_MS: f64 = 1.0;

/// Demand on this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Number of endpoints that the demand would keep busy.
    busy_endpoints: f64,
    at: Duration,
}

impl Demand {
    /// Adds a request.
    pub fn record(&mut self, prompt: &Prompt, prefill: Prefill, now: Duration) {
        let read_ms = f64::from(prompt.tokens) * prefill.ms_per_token();
        let output_ms = f64::from(prompt.output_tokens()) * OUTPUT_TOKEN_MS;
        let decay_ms = DECAY.as_secs_f64() * 1000.0;
        self.busy_endpoints = self.busy_endpoints_at(now) + (read_ms + output_ms) / decay_ms;
        self.at = now;
    }

    /// Fraction of all requests that the given number of endpoints can serve.
    pub fn fraction(&self, endpoints: usize, hosts: usize, now: Duration) -> f64 {
        let needed = self.busy_endpoints_at(now) * float(hosts);
        let offered = float(endpoints) * MAX_UTILIZATION;
        if needed <= offered {
            1.0
        } else {
            offered / needed
        }
    }

    fn busy_endpoints_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.busy_endpoints * (-elapsed / DECAY.as_secs_f64()).exp()
    }
}

/// Returns an even draw from 0 to 1 for a request's sequence number: multiples of the golden
/// ratio spread any run of requests evenly.
pub fn draw(number: u64) -> f64 {
    let number = f64::from(u32::try_from(number % 10_000).unwrap_or(0));
    (number * 0.618_033_988_7).fract()
}
