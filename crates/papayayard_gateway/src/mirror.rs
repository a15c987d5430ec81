//! Copy of a topic as read by this host, served to the other hosts of its zone.
//!
//! The copy holds the newest record of each key and a bounded number of recent records
//! that changed something. A host that has followed up to a given position gets the records
//! after it, and all records if the position is of another era.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use papayayard_wire::log::{Era, Position};

use crate::store::Record;

/// Number of recent records retained.
const MAX_RECENT: usize = 128;

/// A record together with the time at which it became known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Received {
    pub(crate) record: Record,
    /// Earliest time at which some host is known to have had the record; `None` if the
    /// record may have been in the store for any length of time.
    pub(crate) first_seen: Option<Duration>,
}

impl Received {
    /// A record that was in the store before the first reading.
    pub(crate) const fn undated(record: Record) -> Self {
        Self {
            record,
            first_seen: None,
        }
    }

    /// A record that has just arrived.
    pub(crate) const fn at(record: Record, now: Duration) -> Self {
        Self {
            record,
            first_seen: Some(now),
        }
    }
}

/// The records of a topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mirror {
    newest: BTreeMap<String, Received>,
    /// Newest records before the full reading that is being applied.
    replaced: BTreeMap<String, Received>,
    recent: VecDeque<Received>,
    /// Era of all offsets.
    era: Era,
    /// Offset from which on `recent` contains all changes.
    floor: u64,
    /// Offset after the last record; `None` before the first reading.
    next: Option<u64>,
    /// When the newest reading was requested.
    requested_at: Option<Duration>,
}

/// Records for a host that has followed up to an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Part {
    /// Whether these are the newest records of all keys.
    pub(crate) is_whole: bool,
    pub(crate) records: Vec<Received>,
    /// Era of all offsets.
    pub(crate) era: Era,
    /// Offset from which to continue.
    pub(crate) next: u64,
    /// When the reading that contained the records was requested.
    pub(crate) requested_at: Duration,
}

impl Mirror {
    /// Clears all records before a full reading, after which the topic continues at
    /// `end`.
    pub(crate) fn restart(&mut self, end: Position) {
        self.replaced = std::mem::take(&mut self.newest);
        self.recent.clear();
        self.era = end.era;
        self.floor = end.offset.0;
    }

    /// Keeps the newer content of a key, at the position of an outdated record.
    pub(crate) fn put_outdated(&mut self, received: &Received) {
        let key = &received.record.key;
        let known = self.newest.get(key).or_else(|| self.replaced.get(key));
        if let Some(mut known) = known.cloned() {
            known.record.offset = received.record.offset;
            self.newest.insert(key.clone(), known);
        }
    }

    /// Applies a record; `is_change` tells whether it changed the reducer's state.
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

    /// Records that all records before `next` have been applied.
    pub(crate) fn caught_up(&mut self, next: u64, requested_at: Duration) {
        self.next = Some(next);
        self.requested_at = Some(requested_at);
        self.replaced.clear();
    }

    /// Era of the newest reading.
    pub(crate) const fn era(&self) -> Era {
        self.era
    }

    /// When the newest reading was requested.
    pub(crate) const fn requested_at(&self) -> Option<Duration> {
        self.requested_at
    }

    /// Whether there is anything new for a host that has followed up to `from`.
    pub(crate) fn has_changes(&self, from: Option<Position>) -> bool {
        let Some(from) = self.offset(from).filter(|from| *from >= self.floor) else {
            return self.next.is_some();
        };
        let last = self.recent.back();
        last.is_some_and(|last| last.record.offset >= from)
    }

    /// Returns the records for a host that has followed up to `from`; `None` before the
    /// first reading.
    pub(crate) fn part(&self, from: Option<Position>) -> Option<Part> {
        let next = self.next?;
        let requested_at = self.requested_at?;
        let known = self
            .offset(from)
            .filter(|from| *from >= self.floor && *from <= next);
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
            era: self.era,
            next,
            requested_at,
        })
    }

    /// Offset of a position of this era.
    fn offset(&self, position: Option<Position>) -> Option<u64> {
        let position = position.filter(|position| position.era == self.era)?;
        Some(position.offset.0)
    }
}

#[cfg(test)]
#[path = "mirror_test.rs"]
mod test;
