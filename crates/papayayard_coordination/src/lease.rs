//! Leases as records of a log stream.
//!
//! A holder appends a record; where it takes effect, its offset is the fencing
//! number that goes along with all that the holder does. Every host folds the
//! same records by the log's own time, so all agree on who holds a lease at
//! each offset: a record takes a lease that is free, over or released, and
//! extends one that its own holder has.
//!
//! A holder trusts its lease for less time than the others do. It counts from
//! the moment before it sent its append, by its own clock, and stops a margin
//! early; the others count from the log's time of the record. A holder that
//! was paused past its end finds, when it looks at its clock, that it holds
//! nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::{id, log};
use serde::{Deserialize, Serialize};

/// Name of the stream.
pub const STREAM: &str = "leases";
/// Format of [`Record`] that this version writes.
pub const FORMAT: u32 = 1;
/// Longest time of a lease that a record may ask for.
pub const MAX_TTL: Duration = Duration::from_mins(2);
/// Most leases that are kept.
const MAX_LEASES: usize = 4_096;
/// Longest name of a lease.
const MAX_NAME_BYTES: usize = 256;

/// What a lease is for, such as the orders of one service.
pub type Name = String;

/// Content of a record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Format of this record, [`FORMAT`].
    pub format: u32,
    /// Lease.
    pub lease: Name,
    /// Host that the record is about.
    pub holder: id::Host,
    /// Run of its process; a restarted host is another holder.
    pub run: u64,
    /// What it does.
    pub action: Action,
}

/// What a record does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Takes or extends the lease for this many milliseconds.
    Hold {
        /// Time from the record's own.
        ttl_ms: u64,
    },
    /// Gives the lease up.
    Release,
}

/// A lease as the log has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Holder.
    pub holder: id::Host,
    /// Run of its process.
    pub run: u64,
    /// Offset of the record that the holder took it by.
    pub fence: id::Fence,
    /// Record that last took or extended it.
    pub record: id::Record,
    /// End, by the log's time.
    pub until_ms: u64,
}

impl Lease {
    /// Whether a run of a host's process is the holder.
    pub fn is_held_by(&self, holder: &id::Host, run: u64) -> bool {
        self.holder == *holder && self.run == run
    }
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The lease was taken.
    Taken(id::Fence),
    /// The holder's lease was extended.
    Extended(id::Fence),
    /// The holder gave the lease up.
    Released,
    /// Another host holds the lease, or the record is a repetition.
    Refused,
    /// The record is not one that this version reads.
    Skipped,
}

/// All leases, as a fold over the stream.
#[derive(Clone, Debug, Default)]
pub struct Table {
    leases: BTreeMap<Name, Lease>,
    next: log::Offset,
    time_ms: u64,
}

impl Table {
    /// Offset to read next.
    pub const fn next(&self) -> log::Offset {
        self.next
    }

    /// Takes note that records before `first` are gone unread; leases are
    /// shorter than the log's retention, so whatever they held is over.
    pub fn skip_to(&mut self, first: log::Offset) {
        if first > self.next {
            self.next = first;
            self.leases.clear();
        }
    }

    /// Applies the next record.
    pub fn apply(&mut self, record: &log::Record) -> Verdict {
        if record.offset < self.next {
            return Verdict::Skipped;
        }
        self.next = record.offset.next();
        // The log's clock may step back; a lease is never longer for it.
        self.time_ms = self.time_ms.max(record.time_ms);
        let Some(content) = decode(record) else {
            return Verdict::Skipped;
        };
        match content.action {
            Action::Release => self.release(&content),
            Action::Hold { ttl_ms } => self.hold(content, record, ttl_ms),
        }
    }

    /// A lease, whether it is over or not.
    pub fn get(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// Whether a lease may be taken, as far as the records tell.
    pub fn is_free(&self, name: &str, log_now_ms: u64) -> bool {
        let lease = self.leases.get(name);
        lease.is_none_or(|lease| lease.until_ms <= log_now_ms)
    }

    fn release(&mut self, content: &Record) -> Verdict {
        let is_own = self
            .leases
            .get(&content.lease)
            .is_some_and(|lease| lease.is_held_by(&content.holder, content.run));
        if !is_own {
            return Verdict::Refused;
        }
        self.leases.remove(&content.lease);
        Verdict::Released
    }

    fn hold(&mut self, content: Record, record: &log::Record, ttl_ms: u64) -> Verdict {
        let now_ms = self.time_ms;
        let until_ms = now_ms.saturating_add(ttl_ms);
        if let Some(lease) = self.leases.get_mut(&content.lease) {
            if lease.record == record.id {
                return Verdict::Refused;
            }
            let is_expired = lease.until_ms <= now_ms;
            if lease.is_held_by(&content.holder, content.run) && !is_expired {
                lease.until_ms = lease.until_ms.max(until_ms);
                lease.record = record.id.clone();
                return Verdict::Extended(lease.fence);
            }
            if !is_expired {
                return Verdict::Refused;
            }
        }
        self.leases.retain(|_, lease| lease.until_ms > now_ms);
        if self.leases.len() >= MAX_LEASES {
            return Verdict::Refused;
        }
        let fence = id::Fence(record.offset.0);
        let lease = Lease {
            holder: content.holder,
            run: content.run,
            fence,
            record: record.id.clone(),
            until_ms,
        };
        self.leases.insert(content.lease, lease);
        Verdict::Taken(fence)
    }
}

fn decode(record: &log::Record) -> Option<Record> {
    let content: Record = serde_json::from_str(record.payload.get()).ok()?;
    let is_too_long = match content.action {
        Action::Hold { ttl_ms } => u128::from(ttl_ms) > MAX_TTL.as_millis(),
        Action::Release => false,
    };
    let is_supported =
        content.format == FORMAT && content.lease.len() <= MAX_NAME_BYTES && !is_too_long;
    is_supported.then_some(content)
}
