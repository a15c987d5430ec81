//! Leases as records of a log stream.
//!
//! A host appends a record to take a lease. If the record takes effect, its
//! offset is the fencing number of everything that the holder does. Every host
//! applies the same records by the log's clock, so all agree on the holder at
//! each offset: a record takes a lease that is free, expired or released, and
//! extends a lease that the same run of the host holds.
//!
//! A holder relies on its lease for less time than other hosts do. It counts
//! by its own clock from before it sent the append, and stops a margin early;
//! other hosts count from the log's time of the record. A holder that was
//! paused past the end of its lease finds it expired when it reads its clock.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::{id, log};
use serde::{Deserialize, Serialize};

/// Name of the log stream.
pub const STREAM: &str = "leases";
/// Format of [`Record`] that this version writes.
pub const FORMAT: u32 = 1;
/// Longest lifetime that a record may request.
pub const MAX_TTL: Duration = Duration::from_mins(2);
/// Limit of the unexpired leases in a table.
const MAX_LEASES: usize = 4_096;
const MAX_NAME_BYTES: usize = 256;

/// Name of what a lease protects, such as the orders of one service.
pub type Name = String;

/// Payload of a record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Format of this record, [`FORMAT`].
    pub format: u32,
    pub lease: Name,
    /// Host that takes, extends or releases the lease.
    pub holder: id::Host,
    /// Run of the host's process; a restarted host counts as another holder.
    pub run: u64,
    pub action: Action,
}

/// Effect that a record requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Takes or extends the lease.
    Hold {
        /// Lifetime from the record's time by the log's clock, in milliseconds.
        ttl_ms: u64,
    },
    Release,
}

/// State of a lease by the records of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    pub holder: id::Host,
    /// Run of the holder's process.
    pub run: u64,
    /// Fencing number: the offset of the record that took the lease.
    pub fence: id::Fence,
    /// Record that last took or extended the lease.
    pub record: id::Record,
    /// End of the lease by the log's clock.
    pub until_ms: u64,
}

impl Lease {
    /// Whether a run of a host's process is the holder.
    pub fn is_held_by(&self, holder: &id::Host, run: u64) -> bool {
        self.holder == *holder && self.run == run
    }
}

/// Result of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Taken(id::Fence),
    Extended(id::Fence),
    Released,
    /// Another holder has the lease, the record is a duplicate or a release by a
    /// non-holder, or the table is full.
    Refused,
    /// The record was already read, or this version cannot read it.
    Skipped,
}

/// State machine over the stream, with all leases.
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

    /// Skips records before `first`, which the log removed before they were read.
    /// Leases are shorter than the log's retention, so those leases have expired.
    pub fn skip_to(&mut self, first: log::Offset) {
        if first > self.next {
            self.next = first;
            self.leases.clear();
        }
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, record: &log::Record) -> Verdict {
        if record.offset < self.next {
            return Verdict::Skipped;
        }
        self.next = record.offset.next();
        // The log's clock may step back, which must not lengthen a lease.
        self.time_ms = self.time_ms.max(record.time_ms);
        let Some(content) = decode(record) else {
            return Verdict::Skipped;
        };
        match content.action {
            Action::Release => self.release(&content),
            Action::Hold { ttl_ms } => self.hold(content, record, ttl_ms),
        }
    }

    /// A lease, which may have expired.
    pub fn get(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// Whether a lease can be taken at `log_now_ms` by the records read so far.
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
