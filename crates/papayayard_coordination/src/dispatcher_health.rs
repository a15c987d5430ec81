//! Tells a dispatcher that is busy from one that is gone.
//!
//! A dispatcher whose calls time out may have more calls than it can answer in time, or it
//! may be dead, frozen or out of reach. A busy one answers other calls of the same host
//! meanwhile. Its hosts keep to it, since it knows what it has placed and they do not. One
//! that is gone is left at once.

use std::time::Duration;

/// Time after an answer in which the dispatcher counts as alive, and least time for which a
/// repeated call waits.
pub const RECENT_ANSWER: Duration = Duration::from_millis(100);
/// Number of rounds in a row in which placement calls time out and none is answered, after
/// which a dispatcher is left although it answers heartbeats.
pub const MAX_TIMEOUT_ROUNDS: u32 = 4;
/// Upper bound of the retry delay of a request that is refused since its dispatcher is busy.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(750);
/// Upper bound of that delay, as a fraction of the time left until the deadline.
const RETRY_AFTER_FRACTION: f64 = 0.3;
/// Fraction of that delay over which callers are spread.
const RETRY_AFTER_SPREAD: f64 = 0.7;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// A placement.
    Placement,
    /// Nothing; it reports outcomes, or that this host is there.
    Heartbeat,
}

/// State of a dispatcher that did not answer a call in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It answers other calls.
    Busy,
    /// It answers no call, or no placement call.
    Gone,
}

/// What one host knows of a dispatcher by its calls.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Time of the last answer.
    answered_at: Option<Duration>,
    /// Latest time at which an answered call was sent.
    sent_at: Option<Duration>,
    /// Rounds of placement calls that timed out since the last answered one.
    timeout_rounds: u32,
    /// End of the last of these rounds. Calls that were sent before belong to it.
    round_ended_at: Duration,
}

impl Health {
    /// Records that a call was answered.
    pub fn record_answer(&mut self, call: Call, sent_at: Duration, now: Duration) {
        self.answered_at = self.answered_at.max(Some(now));
        self.sent_at = self.sent_at.max(Some(sent_at));
        if call == Call::Placement {
            self.timeout_rounds = 0;
        }
    }

    /// Records that a call timed out, and tells the state of the dispatcher.
    pub fn record_timeout(&mut self, call: Call, sent_at: Duration, now: Duration) -> State {
        if call == Call::Placement && (self.timeout_rounds == 0 || sent_at >= self.round_ended_at) {
            self.timeout_rounds += 1;
            self.round_ended_at = now;
        }
        if self.timeout_rounds >= MAX_TIMEOUT_ROUNDS || !self.is_alive(sent_at, now) {
            self.reset();
            State::Gone
        } else {
            State::Busy
        }
    }

    /// Records that the dispatcher was left, or that its connections are refused or reset.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Time for which the repeated call of a request waits, at most `timeout`: until the
    /// dispatcher has answered nothing for `timeout`, so that one that has just become silent is
    /// left in time.
    pub fn retry_timeout(&self, timeout: Duration, now: Duration) -> Duration {
        let silent_at = self.answered_at.unwrap_or_default() + timeout;
        let left = silent_at.saturating_sub(now).max(RECENT_ANSWER);
        left.min(timeout)
    }

    /// Whether a call other than the one sent at `sent_at` shows that the dispatcher is alive.
    fn is_alive(&self, sent_at: Duration, now: Duration) -> bool {
        let is_after = |at: Option<Duration>, since: Duration| at.is_some_and(|at| at > since);
        is_after(self.sent_at, sent_at)
            || is_after(self.answered_at, sent_at)
            || is_after(self.answered_at, now.saturating_sub(RECENT_ANSWER))
    }
}

/// Delay after which the caller of a request that was refused since its dispatcher is busy
/// should retry. `draw` from 0 to 1 spreads callers, and `left` is the time until the
/// request's deadline.
pub fn retry_after(left: Duration, draw: f64) -> Duration {
    let latest = MAX_RETRY_AFTER.min(left.mul_f64(RETRY_AFTER_FRACTION));
    latest.mul_f64(1.0 - draw.clamp(0.0, 1.0) * RETRY_AFTER_SPREAD)
}
