//! Schedule for appending the accepted proposal again before the log removes it.
//!
//! Each host draws its own time in the third quarter of the retention, counted
//! from the newest record that carries the accepted proposal. The first host
//! to reach its time appends a record, which resets the schedule of all other
//! hosts. Every attempt is followed by a pause that no record shortens, so that
//! a log whose clock is far behind the host's clock is not flooded.

use std::time::Duration;

/// Schedule of this host for appending the accepted proposal again.
#[derive(Clone, Debug)]
pub struct Refresh {
    retention: Duration,
    newest_record: Option<Duration>,
    due: Option<Duration>,
    not_before: Duration,
}

impl Refresh {
    /// Creates a schedule for a log that keeps records for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            newest_record: None,
            due: None,
            not_before: Duration::ZERO,
        }
    }

    /// Reschedules after a record that carries the accepted proposal.
    ///
    /// `time` is the record's time by the log's clock; `jitter` is random, 0 to 1.
    pub fn observe(&mut self, time: Duration, jitter: f64) {
        if self.newest_record.is_some_and(|newest| time < newest) {
            return;
        }
        let share = 0.5 + 0.25 * jitter.clamp(0.0, 1.0);
        self.newest_record = Some(time);
        self.due = Some(time + self.retention.mul_f64(share));
    }

    /// Whether the proposal should be appended at `now`.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.not_before && self.due.is_some_and(|due| now >= due)
    }

    /// Delays the next attempt by at least `pause` after an append.
    pub fn defer(&mut self, now: Duration, pause: Duration) {
        self.not_before = now + pause;
    }
}
