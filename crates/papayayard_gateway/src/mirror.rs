//! What this host has read of a topic, for the other hosts of its zone.
//!
//! The newest record of each key is kept, and for a while those that brought
//! news, so that a host that has followed up to an offset gets what came since.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::store::Record;

/// Records with news that are kept.
const MAX_RECENT: usize = 128;

/// A record, and since when it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Received {
    /// Record.
    pub(crate) record: Record,
    /// First time at which some host is known to have had it; `None` where it may
    /// have lain in the store for any time.
    pub(crate) first_seen: Option<Duration>,
}

impl Received {
    /// A record that was in the store before it was looked for.
    pub(crate) const fn undated(record: Record) -> Self {
        Self {
            record,
            first_seen: None,
        }
    }

    /// A record that has just come.
    pub(crate) const fn at(record: Record, now: Duration) -> Self {
        Self {
            record,
            first_seen: Some(now),
        }
    }
}

/// A topic's records.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mirror {
    newest: BTreeMap<String, Received>,
    recent: VecDeque<Received>,
    /// Offset from which on no news is missing among the recent records.
    floor: u64,
    /// Offset after the last record; none before the first reading.
    next: Option<u64>,
    /// When the newest reading was asked for.
    requested_at: Option<Duration>,
}

/// Records for a host that has followed up to an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Part {
    /// Whether these are the newest records of all keys.
    pub(crate) is_whole: bool,
    /// Records.
    pub(crate) records: Vec<Received>,
    /// Offset to go on from.
    pub(crate) next: u64,
    /// When the reading was asked for that they come from.
    pub(crate) requested_at: Duration,
}

impl Mirror {
    /// Forgets which records are recent, where some were missed.
    pub(crate) fn restart(&mut self, end: u64) {
        self.newest.clear();
        self.recent.clear();
        self.floor = end;
    }

    /// Takes over a record.
    pub(crate) fn put(&mut self, received: &Received, is_change: bool) {
        let record = &received.record;
        if record.value.is_some() {
            self.newest.insert(record.key.clone(), received.clone());
        } else {
            self.newest.remove(&record.key);
        }
        if !is_change || record.offset < self.floor {
            return;
        }
        self.recent.push_back(received.clone());
        if self.recent.len() > MAX_RECENT
            && let Some(oldest) = self.recent.pop_front()
        {
            self.floor = oldest.record.offset + 1;
        }
    }

    /// Takes over that all records before an offset are in.
    pub(crate) fn caught_up(&mut self, next: u64, requested_at: Duration) {
        self.next = Some(next);
        self.requested_at = Some(requested_at);
    }

    /// When the newest reading was asked for.
    pub(crate) const fn requested_at(&self) -> Option<Duration> {
        self.requested_at
    }

    /// Whether a host that has followed up to an offset gets something new.
    pub(crate) fn has_changes(&self, from: Option<u64>) -> bool {
        let Some(from) = from.filter(|from| *from >= self.floor) else {
            return self.next.is_some();
        };
        let last = self.recent.back();
        last.is_some_and(|last| last.record.offset >= from)
    }

    /// What a host gets that has followed up to an offset.
    pub(crate) fn part(&self, from: Option<u64>) -> Option<Part> {
        let next = self.next?;
        let requested_at = self.requested_at?;
        let known = from.filter(|from| *from >= self.floor && *from <= next);
        let records = match known {
            Some(from) => {
                let recent = self.recent.iter();
                let changes = recent.filter(|received| received.record.offset >= from);
                changes.cloned().collect()
            }
            None => self.newest.values().cloned().collect(),
        };
        Some(Part {
            is_whole: known.is_none(),
            records,
            next,
            requested_at,
        })
    }
}

#[cfg(test)]
#[path = "mirror_test.rs"]
mod test;
