//! One host's side of one lease: when to request it, and for how long the host may act.

use std::time::Duration;

use papayayard_wire::id;

use crate::lease;

/// Intervals of a lease.
#[derive(Clone, Debug)]
pub struct Times {
    /// Lifetime that a record requests.
    pub ttl: Duration,
    /// Time before the end of the lease at which the holder stops acting. It
    /// covers clocks that run at different rates and orders in flight.
    pub margin: Duration,
    /// Time between two extensions.
    pub renew_interval: Duration,
    /// Time between an append without an answer and the next one.
    pub retry_interval: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(12),
            margin: Duration::from_secs(3),
            renew_interval: Duration::from_secs(4),
            retry_interval: Duration::from_secs(1),
        }
    }
}

/// Next step of a host for its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing before this time.
    Wait(Duration),
    /// Append this record under a unique id, and call [`Holder::sent`] with the
    /// time from before the append.
    Append(lease::Action),
}

/// One host's side of a lease. Times are read from the host's own clock, from any origin.
#[derive(Clone, Debug)]
pub struct Holder {
    host: id::Host,
    run: u64,
    times: Times,
    pending: Option<(id::Record, Duration)>,
    held: Option<(id::Fence, Duration)>,
    next_append_at: Duration,
    takeover_delay: Duration,
    is_stopping: bool,
}

impl Holder {
    /// Creates the state of process run `run`, which does not hold the lease. It
    /// requests the lease `takeover_delay` after the lease seems free; hosts
    /// choose different delays, so that they do not compete.
    pub fn new(
        host: id::Host,
        run: u64,
        times: Times,
        takeover_delay: Duration,
        now: Duration,
    ) -> Self {
        Self {
            host,
            run,
            times,
            pending: None,
            held: None,
            next_append_at: now + takeover_delay,
            takeover_delay,
            is_stopping: false,
        }
    }

    /// The fencing number, or `None` if this host may not act now.
    pub fn fence(&self, now: Duration) -> Option<id::Fence> {
        let (fence, until) = self.held?;
        (now < until && !self.is_stopping).then_some(fence)
    }

    pub fn step(&mut self, now: Duration) -> Step {
        if let Some((_, sent_at)) = &self.pending {
            let expires_at = *sent_at + self.times.ttl;
            if now < expires_at {
                return Step::Wait(expires_at);
            }
            self.pending = None;
        }
        if self.is_stopping {
            return self.release_step(now);
        }
        if now < self.next_append_at {
            return Step::Wait(self.next_append_at);
        }
        let ttl_ms = u64::try_from(self.times.ttl.as_millis()).unwrap_or(u64::MAX);
        Step::Append(lease::Action::Hold { ttl_ms })
    }

    /// Notes that the record of [`Step::Append`] was sent at `sent_at`.
    pub fn sent(&mut self, record: id::Record, sent_at: Duration) {
        self.pending = Some((record, sent_at));
        self.next_append_at = sent_at + self.times.renew_interval;
    }

    /// Notes that the append of a record failed, although it may be stored: another
    /// record can follow, since only one that is read gives or extends the lease.
    pub fn append_failed(&mut self, record: &id::Record) {
        let Some((_, sent_at)) = self.pending.take_if(|(id, _)| id == record) else {
            return;
        };
        let is_held_by_other = self.next_append_at > sent_at + self.times.renew_interval;
        if !is_held_by_other {
            self.next_append_at = sent_at + self.times.retry_interval;
        }
    }

    /// Updates the state after a record of the stream was applied: `record` is
    /// its id, `verdict` its result, and `lease` the state after it.
    pub fn observe(
        &mut self,
        record: &id::Record,
        verdict: lease::Verdict,
        lease: Option<&lease::Lease>,
        now: Duration,
    ) {
        let pending = self.pending.take_if(|(id, _)| id == record);
        match (pending, verdict) {
            (
                Some((_, sent_at)),
                lease::Verdict::Taken(fence) | lease::Verdict::Extended(fence),
            ) => {
                let until = (sent_at + self.times.ttl).saturating_sub(self.times.margin);
                self.held = Some((fence, until));
                self.next_append_at = sent_at + self.times.renew_interval;
            }
            (Some(_), lease::Verdict::Released) => self.held = None,
            _ => {}
        }
        let is_held_by_other = lease.is_some_and(|lease| !lease.is_held_by(&self.host, self.run));
        if is_held_by_other {
            self.held = None;
            // The log's clock differs from this host's, so the full lifetime is
            // waited from the time at which the record was read.
            self.next_append_at = now + self.times.ttl + self.times.margin + self.takeover_delay;
        } else if lease.is_none() && self.held.is_none() {
            self.next_append_at = self.next_append_at.min(now + self.takeover_delay);
        }
    }

    /// Starts the handover at a planned stop: this host acts no more under the
    /// lease and releases it.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether the lease is released or expired, so that a planned stop need not wait.
    pub fn is_released(&self, now: Duration) -> bool {
        self.pending.is_none() && self.held.is_none_or(|(_, until)| now >= until)
    }

    fn release_step(&self, now: Duration) -> Step {
        match self.held {
            Some((_, until)) if now < until => Step::Append(lease::Action::Release),
            _ => Step::Wait(Duration::MAX),
        }
    }
}
