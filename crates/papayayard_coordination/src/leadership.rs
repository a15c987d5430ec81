//! Turns of hosts at giving orders, term by conditional appends to a log.
//!
//! A host takes its turn, or renews it, by appending a record at the offset
//! where it believes the log to end; of two that race only one succeeds. The
//! record's offset is the fencing number of the orders that follow, so it
//! rises with each renewal. The leader gives orders for a short time after an
//! append only, and others wait for longer than that since the last record
//! they saw: between the orders of two hosts lies at least the lease.
//!
//! Not every endpoint compares fencing numbers, so the leader itself has to
//! make sure that no order of its arrives late. A [`Permit`] says until when an
//! order may be sent and when one that has no answer yet is cut off; both are
//! checked by whoever sends it, just before it does.

use std::time::Duration;

use papayayard_wire::id;

/// Time after an append was sent within which orders of its leader may arrive.
pub const TERM_DURATION: Duration = Duration::from_millis(900);
/// Time for an order to arrive; none is sent later than this before the end.
const DELIVERY_TIME: Duration = Duration::from_millis(300);
/// Time after which a leader that has work left renews its turn.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Covers clocks that run at different rates. What passes between a record's writing
/// and its reading only makes the wait longer.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// What a host knows of the turn.
#[derive(Clone, Debug)]
pub struct Leadership {
    local_host: id::Host,
    lease: Duration,
    last: Option<LastRecord>,
    term: Option<Term>,
}

/// Permit to give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number of the orders.
    pub fence: id::Fence,
    /// Moment from which on no order is sent.
    pub send_before: Duration,
    /// Moment at which an order that has no answer is cut off.
    pub end: Duration,
}

#[derive(Clone, Debug)]
struct LastRecord {
    leader: id::Host,
    at: Duration,
    offset: u64,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    fence: id::Fence,
    since: Duration,
}

impl Permit {
    /// Whether an order may be sent now.
    pub fn allows_sending(&self, now: Duration) -> bool {
        now < self.send_before
    }
}

impl Leadership {
    /// A turn that nobody is known to hold.
    pub fn new(local_host: id::Host, lease: Duration) -> Self {
        Self {
            local_host,
            lease,
            last: None,
            term: None,
        }
    }

    /// Takes over a record that was read; `now` is the time of its reading.
    pub fn observe(&mut self, leader: &id::Host, offset: u64, now: Duration) {
        if self.last.as_ref().is_some_and(|last| offset <= last.offset) {
            return;
        }
        if *leader != self.local_host {
            self.term = None;
        }
        self.last = Some(LastRecord {
            leader: leader.clone(),
            at: now,
            offset,
        });
    }

    /// Whether this host may append a record now.
    pub fn may_append(&self, now: Duration) -> bool {
        match &self.last {
            None => true,
            Some(last) if last.leader == self.local_host => true,
            Some(last) => last.at + takeover_delay(self.lease) <= now,
        }
    }

    /// Whether this host was the last to hold the turn.
    pub fn was_last_leader(&self) -> bool {
        let last = self.last.as_ref();
        last.is_some_and(|last| last.leader == self.local_host)
    }

    /// Offset of the newest record that is known.
    pub fn last_offset(&self) -> Option<u64> {
        self.last.as_ref().map(|last| last.offset)
    }

    /// Takes over that an append, sent at a time, stands at an offset.
    pub fn appended(&mut self, offset: u64, sent: Duration, now: Duration) {
        let host = self.local_host.clone();
        self.observe(&host, offset, now);
        self.term = Some(Term {
            fence: id::Fence(offset + 1),
            since: sent,
        });
    }

    /// Gives the turn up, as after an order with a higher fencing number.
    pub fn step_down(&mut self) {
        self.term = None;
    }

    /// Permit to give orders, while there is one.
    pub fn permit(&self, now: Duration) -> Option<Permit> {
        let term = self.term?;
        let end = term.since + TERM_DURATION;
        let permit = Permit {
            fence: term.fence,
            send_before: end.saturating_sub(DELIVERY_TIME),
            end,
        };
        permit.allows_sending(now).then_some(permit)
    }

    /// Whether the turn has to be renewed for work that is left.
    pub fn needs_renewal(&self, now: Duration) -> bool {
        self.term
            .is_none_or(|term| term.since + RENEWAL_INTERVAL <= now)
    }
}

/// Time without a record after which other hosts may take the turn.
pub fn takeover_delay(lease: Duration) -> Duration {
    lease + TERM_DURATION + CLOCK_MARGIN
}
