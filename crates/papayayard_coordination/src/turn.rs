//! Turns of hosts at giving orders, held by conditional appends to a log.
//!
//! A host takes its turn, or renews it, by appending a record at the offset
//! where it believes the log to end; of two that race only one succeeds. The
//! record's offset is the fencing number of the orders that follow, so it
//! rises with each renewal. The holder gives orders for a short time after an
//! append only, and others wait for longer than that since the last record
//! they saw: between the orders of two hosts lies at least the lease.
//!
//! Not every endpoint compares fencing numbers, so the holder itself has to
//! make sure that no order of its arrives late. A [`Leave`] says until when an
//! order may be sent and when one that has no answer yet is cut off; both are
//! checked by whoever sends it, just before it does.

use std::time::Duration;

use papayayard_wire::id;

/// Time after an append was sent within which orders of its holder may arrive.
pub const ACTIVE: Duration = Duration::from_millis(900);
/// Time for an order to arrive; none is sent later than this before the end.
const UNDER_WAY: Duration = Duration::from_millis(300);
/// Time after which a holder that has work left renews its turn.
pub const RENEWAL: Duration = Duration::from_millis(300);
/// Covers clocks that run at different rates. What passes between a record's writing
/// and its reading only makes the wait longer.
const MARGIN: Duration = Duration::from_millis(50);

/// What a host knows of the turn.
#[derive(Clone, Debug)]
pub struct Turn {
    host: id::Host,
    lease: Duration,
    last: Option<Seen>,
    held: Option<Held>,
}

/// Leave to give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    /// Fencing number of the orders.
    pub fence: id::Fence,
    /// Moment from which on no order is sent.
    pub send_before: Duration,
    /// Moment at which an order that has no answer is cut off.
    pub end: Duration,
}

#[derive(Clone, Debug)]
struct Seen {
    holder: id::Host,
    at: Duration,
    offset: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: id::Fence,
    since: Duration,
}

impl Leave {
    /// Whether an order may be sent now.
    pub fn permits(&self, now: Duration) -> bool {
        now < self.send_before
    }
}

impl Turn {
    /// A turn that nobody is known to hold.
    pub fn new(host: id::Host, lease: Duration) -> Self {
        Self {
            host,
            lease,
            last: None,
            held: None,
        }
    }

    /// Takes over a record that was read; `now` is the time of its reading.
    pub fn seen(&mut self, holder: &id::Host, offset: u64, now: Duration) {
        if self.last.as_ref().is_some_and(|last| offset <= last.offset) {
            return;
        }
        if *holder != self.host {
            self.held = None;
        }
        self.last = Some(Seen {
            holder: holder.clone(),
            at: now,
            offset,
        });
    }

    /// Whether this host may append a record now.
    pub fn may_append(&self, now: Duration) -> bool {
        match &self.last {
            None => true,
            Some(last) if last.holder == self.host => true,
            Some(last) => last.at + unrenewed(self.lease) <= now,
        }
    }

    /// Whether this host was the last to hold the turn.
    pub fn was_last(&self) -> bool {
        let last = self.last.as_ref();
        last.is_some_and(|last| last.holder == self.host)
    }

    /// Offset of the newest record that is known.
    pub fn last_offset(&self) -> Option<u64> {
        self.last.as_ref().map(|last| last.offset)
    }

    /// Takes over that an append, sent at a time, stands at an offset.
    pub fn appended(&mut self, offset: u64, sent: Duration, now: Duration) {
        let host = self.host.clone();
        self.seen(&host, offset, now);
        self.held = Some(Held {
            fence: id::Fence(offset + 1),
            since: sent,
        });
    }

    /// Gives the turn up, as after an order with a higher fencing number.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Leave to give orders, while there is one.
    pub fn leave(&self, now: Duration) -> Option<Leave> {
        let held = self.held?;
        let end = held.since + ACTIVE;
        let leave = Leave {
            fence: held.fence,
            send_before: end.saturating_sub(UNDER_WAY),
            end,
        };
        leave.permits(now).then_some(leave)
    }

    /// Whether the turn has to be renewed for work that is left.
    pub fn needs_renewal(&self, now: Duration) -> bool {
        self.held.is_none_or(|held| held.since + RENEWAL <= now)
    }
}

/// Time without a record after which other hosts may take the turn.
pub fn unrenewed(lease: Duration) -> Duration {
    lease + ACTIVE + MARGIN
}
