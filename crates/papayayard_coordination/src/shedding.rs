//! Chooses the requests that a scheduler refuses undecided since it cannot keep up.
//!
//! Hosts wait for their dispatcher's answer for a limited time. If requests arrive faster
//! than they can be decided, each of them waits longer than the one before, until all of
//! them time out and no decision is of use. The scheduler decides in passes over all
//! requests that wait, and answers them at the end of a pass. So the number of requests in
//! a pass is limited to those that can be decided in time, the most urgent first; the others
//! are refused at once, which costs much less than a decision.

use std::time::Duration;

/// Fraction of the caller's time-out by which a request must be decided. The rest is for
/// sending the call and the answer.
const MAX_DELAY_FRACTION: f64 = 0.5;
/// Factor by which earlier decisions count less in the average time of a decision, for each
/// later one. The average is over many, since a pause of the process falls into few of them.
const EARLIER_WEIGHT: f64 = 0.99;
/// Number of decisions below which the average counts as if there were others without cost.
const MIN_NUMBER: f64 = 20.0;
/// Time for which a delay of the process counts.
const LAG_PERIOD: Duration = Duration::from_millis(200);
/// Upper bound of the delay that counts, as a fraction of the time by which requests must be
/// decided. Without it, nothing is decided after a pause of the process.
const MAX_LAG_FRACTION: f64 = 0.8;
/// Upper bound of the time of a pass, as a fraction of the time by which requests must be
/// decided. Calls that arrive during a pass wait for its end unread.
const MAX_PASS_FRACTION: f64 = 0.35;

/// A request on which no decision was tried yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<Key> {
    pub key: Key,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time at which the process read the call.
    pub arrived_at: Duration,
}

/// Chooses the requests to refuse.
#[derive(Clone, Debug)]
pub struct Shedder {
    /// Time by which a request must be decided, from its arrival.
    max_delay: Duration,
    /// Time of recent passes, and the number of requests in them.
    passes: (Duration, f64),
    /// Longest recent delay of the process, and until when it counts.
    lag: (Duration, Duration),
}

impl Shedder {
    /// Creates a shedder for callers that wait for at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            max_delay: timeout.mul_f64(MAX_DELAY_FRACTION),
            passes: (Duration::ZERO, 0.0),
            lag: (Duration::ZERO, Duration::ZERO),
        }
    }

    /// Records by how much a timer of the process was late. A call waits as long in its socket
    /// before the process reads it.
    pub fn record_lag(&mut self, lag: Duration, now: Duration) {
        let lag = lag.min(self.max_delay.mul_f64(MAX_LAG_FRACTION));
        if lag >= self.lag(now) {
            self.lag = (lag, now + LAG_PERIOD);
        }
    }

    /// Records the time that a pass over a number of requests took.
    pub fn record_pass(&mut self, requests: usize, time: Duration) {
        let number = u32::try_from(requests).unwrap_or(u32::MAX);
        let weight = EARLIER_WEIGHT.powf(f64::from(number));
        let (earlier_time, earlier_number) = self.passes;
        self.passes = (
            earlier_time.mul_f64(weight) + time,
            earlier_number * weight + f64::from(number),
        );
    }

    /// Returns the requests to refuse, the least urgent first; the most urgent one is always
    /// decided. `held` requests, on which decisions were tried before, are in the next pass too.
    pub fn shed<Key>(&self, requests: &mut [Request<Key>], held: usize, now: Duration) -> Vec<Key>
    where
        Key: Copy + Ord,
    {
        requests
            .sort_unstable_by_key(|request| (request.priority, request.arrived_at, request.key));
        let lag = self.lag(now);
        let decision = self.decision();
        let mut decided = u32::try_from(held).unwrap_or(u32::MAX);
        let mut oldest = now;
        let mut shed = Vec::new();
        for (index, request) in requests.iter().enumerate() {
            let arrived_at = request.arrived_at.min(oldest);
            let pass = decision.saturating_mul(decided.saturating_add(1));
            let is_in_time = pass <= self.max_delay.mul_f64(MAX_PASS_FRACTION)
                && now + pass + lag <= arrived_at + self.max_delay;
            if is_in_time {
                oldest = arrived_at;
            } else if index > 0 {
                shed.push(request.key);
                continue;
            }
            decided = decided.saturating_add(1);
        }
        shed.reverse();
        shed
    }

    /// Average time of a decision.
    fn decision(&self) -> Duration {
        let (time, number) = self.passes;
        time.div_f64(number.max(MIN_NUMBER))
    }

    fn lag(&self, now: Duration) -> Duration {
        let (lag, until) = self.lag;
        if now < until { lag } else { Duration::ZERO }
    }
}
