//! Which requests prefer the endpoints that have the newest weights.
//!
//! When weights change, the first endpoints that have them are known to all
//! hosts at the same moment, and each host finds them empty. If all sent there,
//! callers would wait for seconds. So each host lets just the part of its
//! requests prefer them that they can serve if all hosts do the same: the part
//! follows from their number and from the work that this host is asked for.

use std::time::Duration;

use super::float;
use super::prefill::Prefill;
use crate::prompt::Prompt;

/// Time constant of the work that is asked for.
const DECAY: Duration = Duration::from_secs(2);
/// Part of an endpoint's time that may be taken, so that requests seldom wait.
const MAX_UTILIZATION: f64 = 0.85;
/// Time that one more token of an answer takes from others, in ms.
const OUTPUT_TOKEN_MS: f64 = 1.0;

/// Work that this host is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Endpoints that the work would keep busy.
    busy_endpoints: f64,
    at: Duration,
}

impl Demand {
    /// Takes over a request.
    pub fn record(&mut self, prompt: &Prompt, prefill: Prefill, now: Duration) {
        let read_ms = f64::from(prompt.tokens) * prefill.ms_per_token();
        let output_ms = f64::from(prompt.output_tokens()) * OUTPUT_TOKEN_MS;
        let decay_ms = DECAY.as_secs_f64() * 1000.0;
        self.busy_endpoints = self.busy_endpoints_at(now) + (read_ms + output_ms) / decay_ms;
        self.at = now;
    }

    /// Part of all requests that so many endpoints can serve.
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

/// An even draw from 0 to 1 for the request of a number: steps of the golden
/// ratio spread any run of requests evenly.
pub fn draw(number: u64) -> f64 {
    let number = f64::from(u32::try_from(number % 10_000).unwrap_or(0));
    (number * 0.618_033_988_7).fract()
}
