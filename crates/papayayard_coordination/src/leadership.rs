//! Order leadership: the exclusive right to give orders, held by conditional appends to
//! a log.
//!
//! A host acquires or renews leadership by appending a record at the offset where it
//! expects the log to end; if two hosts race, only one append succeeds. The offset of
//! the record determines the fencing number of the orders that follow, so the number
//! rises with each renewal. The leader gives orders only for a short time after an
//! append, and other hosts wait longer than that after the last record they observed.
//! The orders of two hosts are therefore at least the lease apart.
//!
//! Not every endpoint compares fencing numbers, so the leader itself has to ensure that
//! none of its orders arrives late. A [`Permit`] limits when an order may be sent and
//! when an unanswered order is cut off; the sender checks both limits just before it
//! sends.

use std::time::Duration;

use papayayard_wire::id;

/// Time after an append was sent during which orders of its leader may arrive.
pub const TERM_DURATION: Duration = Duration::from_millis(900);
/// Time allowed for an order to arrive; none is sent later than this before the end of
/// the term.
const DELIVERY_TIME: Duration = Duration::from_millis(300);
/// Time after which a leader with remaining work renews its leadership.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Allowance for clocks that run at different rates. A delay between the writing and
/// the reading of a record only makes the wait longer.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// One host's view of order leadership.
#[derive(Clone, Debug)]
pub struct Leadership {
    local_host: id::Host,
    lease: Duration,
    last: Option<LastRecord>,
    term: Option<Term>,
}

/// Permission to give orders, limited in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number of the orders.
    pub fence: id::Fence,
    /// Time from which on no order is sent.
    pub send_before: Duration,
    /// Time at which an unanswered order is cut off.
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
    /// Creates a view without a known leader.
    pub fn new(local_host: id::Host, lease: Duration) -> Self {
        Self {
            local_host,
            lease,
            last: None,
            term: None,
        }
    }

    /// Applies a record that was read at `now`.
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

    /// Whether this host appended the newest known record.
    pub fn was_last_leader(&self) -> bool {
        let last = self.last.as_ref();
        last.is_some_and(|last| last.leader == self.local_host)
    }

    /// Offset of the newest known record.
    pub fn last_offset(&self) -> Option<u64> {
        self.last.as_ref().map(|last| last.offset)
    }

    /// Records an append that was sent at `sent` and succeeded at `offset`.
    pub fn appended(&mut self, offset: u64, sent: Duration, now: Duration) {
        let host = self.local_host.clone();
        self.observe(&host, offset, now);
        self.term = Some(Term {
            fence: id::Fence(offset + 1),
            since: sent,
        });
    }

    /// Gives up leadership, for example after an order with a higher fencing number.
    pub fn step_down(&mut self) {
        self.term = None;
    }

    /// Returns the permit to give orders while one is valid.
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

    /// Whether leadership must be renewed for remaining work.
    pub fn needs_renewal(&self, now: Duration) -> bool {
        self.term
            .is_none_or(|term| term.since + RENEWAL_INTERVAL <= now)
    }
}

/// Time without a new record after which other hosts may take over leadership.
pub fn takeover_delay(lease: Duration) -> Duration {
    lease + TERM_DURATION + CLOCK_MARGIN
}
