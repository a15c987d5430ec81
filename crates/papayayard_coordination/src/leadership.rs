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
//! A log that is restored from an older copy begins a new era: it may have lost the record
//! of a leader whose term still runs, and assigns offsets again. So a term ends with its
//! era, nobody acquires leadership before the orders of a lost one are a lease old, and
//! fencing numbers are ordered by the era first. A leader whose last record is younger than
//! the lease goes on at once, since nobody else can have led since.
//!
//! Not every endpoint compares fencing numbers, so the leader itself has to ensure that
//! none of its orders arrives late. A [`Permit`] limits when an order may be sent and
//! when an unanswered order is cut off; the sender checks both limits just before it
//! sends.
//!
//! A detached host, which reaches no endpoint, gives up its term and does not renew it, so that
//! another host takes over when the last record is old enough. Nothing shortens that time.

use std::time::Duration;

use papayayard_wire::id;
use papayayard_wire::log::{Era, Position};

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

/// Distance of the fencing numbers of two eras; an era has fewer records.
const FENCES_PER_ERA: u64 = 1 << 32;

/// One host's view of order leadership.
#[derive(Clone, Debug)]
pub struct Leadership {
    local_host: id::Host,
    lease: Duration,
    last: Option<LastRecord>,
    term: Option<Term>,
    /// Era of the log; `None` before the first reading.
    era: Option<Era>,
    /// Time before which nobody acquires leadership in this era.
    acquire_after: Duration,
    is_detached: bool,
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
    position: Position,
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
            era: None,
            acquire_after: Duration::ZERO,
            is_detached: false,
        }
    }

    /// Records whether this host reaches no endpoint. Returns whether it has given up its
    /// term.
    pub fn set_detached(&mut self, is_detached: bool) -> bool {
        self.is_detached = is_detached;
        is_detached && self.term.take().is_some()
    }

    /// Records the era of the log, which was first read at `now`.
    pub fn enter_era(&mut self, era: Era, now: Duration) {
        if self.era.is_some_and(|known| era <= known) {
            return;
        }
        // The log may have lost a record that this host has not read either. A log of the
        // lowest era was never restored.
        let lease = self.lease;
        let was_sole_leader = self.term.is_some_and(|term| now < term.since + lease);
        if era > Era::default() && !was_sole_leader {
            self.acquire_after = now + takeover_delay(self.lease);
        }
        self.era = Some(era);
        self.term = None;
    }

    /// Applies a record that was read at `now`.
    pub fn observe(&mut self, leader: &id::Host, position: Position, now: Duration) {
        let last = self.last.as_ref();
        if last.is_some_and(|last| position <= last.position) {
            return;
        }
        if *leader != self.local_host {
            self.term = None;
        }
        self.last = Some(LastRecord {
            leader: leader.clone(),
            at: now,
            position,
        });
    }

    /// Whether this host may append a record now.
    pub fn may_append(&self, now: Duration) -> bool {
        if self.is_detached || now < self.acquire_after {
            return false;
        }
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

    /// Offset at which this host appends to a log that it has read up to `end`.
    pub fn append_offset(&self, end: Position) -> u64 {
        let last = self.last.as_ref().map(|last| last.position);
        let own_end = last.filter(|last| last.era == end.era);
        let own_end = own_end.map_or(0, |last| last.offset.next().0);
        end.offset.0.max(own_end)
    }

    /// Records an append that was sent at `sent` and succeeded at `position`. It gives no
    /// leadership in an era that this host has not read, or while it is detached.
    pub fn appended(&mut self, position: Position, sent: Duration, now: Duration) {
        let host = self.local_host.clone();
        let is_unread = self.era.is_some_and(|era| era < position.era);
        if is_unread {
            self.enter_era(position.era, now);
        }
        self.observe(&host, position, now);
        if !is_unread && !self.is_detached {
            self.term = Some(Term {
                fence: fence(position),
                since: sent,
            });
        }
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

/// Fencing number of the orders that follow a record.
const fn fence(position: Position) -> id::Fence {
    let of_era = position.era.0.saturating_mul(FENCES_PER_ERA);
    id::Fence(of_era.saturating_add(position.offset.next().0))
}

/// Time without a new record after which other hosts may take over leadership.
fn takeover_delay(lease: Duration) -> Duration {
    lease + TERM_DURATION + CLOCK_MARGIN
}
