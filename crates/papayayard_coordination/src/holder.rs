//! One host's side of one lease: when to ask, when to act, when to stop.

use std::time::Duration;

use papayayard_wire::id;

use crate::lease;

/// Times of a lease.
#[derive(Clone, Debug)]
pub struct Times {
    /// Time that a record asks for.
    pub ttl: Duration,
    /// Time before the end at which the holder stops acting. It covers clocks
    /// that run at different rates and orders that are under way.
    pub margin: Duration,
    /// Time between two extensions.
    pub renew_interval: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(12),
            margin: Duration::from_secs(3),
            renew_interval: Duration::from_secs(4),
        }
    }
}

/// What the host does about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time.
    Wait(Duration),
    /// Append this record under an id of its own, then call
    /// [`Holder::sent`] with the time from before the append.
    Append(lease::Action),
}

/// One host's side of a lease. Times are the host's own, since any start.
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
    /// Run `run` of a host that does not hold the lease. It asks `delay` after the lease
    /// seems free; hosts choose different delays, so that one asks alone.
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

    /// The fencing number, while this host may act.
    pub fn fence(&self, now: Duration) -> Option<id::Fence> {
        let (fence, until) = self.held?;
        (now < until && !self.is_stopping).then_some(fence)
    }

    /// What to do now.
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

    /// Takes down that a record was sent at `sent_at`.
    pub fn sent(&mut self, record: id::Record, sent_at: Duration) {
        self.pending = Some((record, sent_at));
        self.next_append_at = sent_at + self.times.renew_interval;
    }

    /// Takes the lease as the log has it after a record was applied. The
    /// record that `verdict` is about was appended under the id `record`.
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
            // The log's clock is not ours: the whole time is waited from the
            // moment that the record was seen.
            self.next_append_at = now + self.times.ttl + self.times.margin + self.takeover_delay;
        } else if lease.is_none() && self.held.is_none() {
            self.next_append_at = self.next_append_at.min(now + self.takeover_delay);
        }
    }

    /// Starts the handover at a planned stop: nothing more is done under the
    /// lease, and it is released.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether a planned stop need not wait for this lease.
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
