//! What this host has read of a topic, for the other hosts of its zone.
//!
//! The newest record of each key is kept, and for a while those that brought
//! news, so that a host that has followed up to an offset gets what came since.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::store::Record;

/// Records with news that are kept.
const MOST_RECENT: usize = 128;

/// A record, and since when it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Told {
    /// Record.
    pub(crate) record: Record,
    /// First time at which some host is known to have had it; `None` where it may
    /// have lain in the store for any time.
    pub(crate) learnt: Option<Duration>,
}

impl Told {
    /// A record that was in the store before it was looked for.
    pub(crate) const fn long_ago(record: Record) -> Self {
        Self {
            record,
            learnt: None,
        }
    }

    /// A record that has just come.
    pub(crate) const fn now(record: Record, now: Duration) -> Self {
        Self {
            record,
            learnt: Some(now),
        }
    }
}

/// A topic's records.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mirror {
    newest: BTreeMap<String, Told>,
    recent: VecDeque<Told>,
    /// Offset from which on no news is missing among the recent records.
    floor: u64,
    /// Offset after the last record; none before the first reading.
    next: Option<u64>,
    /// When the newest reading was asked for.
    asked: Option<Duration>,
}

/// Records for a host that has followed up to an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Part {
    /// Whether these are the newest records of all keys.
    pub(crate) is_whole: bool,
    /// Records.
    pub(crate) records: Vec<Told>,
    /// Offset to go on from.
    pub(crate) next: u64,
    /// When the reading was asked for that they come from.
    pub(crate) asked: Duration,
}

impl Mirror {
    /// Forgets which records are recent, where some were missed.
    pub(crate) fn restart(&mut self, end: u64) {
        self.newest.clear();
        self.recent.clear();
        self.floor = end;
    }

    /// Takes over a record.
    pub(crate) fn put(&mut self, told: &Told, is_news: bool) {
        let record = &told.record;
        if record.value.is_some() {
            self.newest.insert(record.key.clone(), told.clone());
        } else {
            self.newest.remove(&record.key);
        }
        if !is_news || record.offset < self.floor {
            return;
        }
        self.recent.push_back(told.clone());
        if self.recent.len() > MOST_RECENT
            && let Some(oldest) = self.recent.pop_front()
        {
            self.floor = oldest.record.offset + 1;
        }
    }

    /// Takes over that all records before an offset are in.
    pub(crate) fn caught_up(&mut self, next: u64, asked: Duration) {
        self.next = Some(next);
        self.asked = Some(asked);
    }

    /// When the newest reading was asked for.
    pub(crate) const fn asked(&self) -> Option<Duration> {
        self.asked
    }

    /// Whether a host that has followed up to an offset gets something new.
    pub(crate) fn has_news(&self, from: Option<u64>) -> bool {
        let Some(from) = from.filter(|from| *from >= self.floor) else {
            return self.next.is_some();
        };
        let last = self.recent.back();
        last.is_some_and(|last| last.record.offset >= from)
    }

    /// What a host gets that has followed up to an offset.
    pub(crate) fn part(&self, from: Option<u64>) -> Option<Part> {
        let next = self.next?;
        let asked = self.asked?;
        let known = from.filter(|from| *from >= self.floor && *from <= next);
        let records = match known {
            Some(from) => {
                let recent = self.recent.iter();
                let news = recent.filter(|one| one.record.offset >= from);
                news.cloned().collect()
            }
            None => self.newest.values().cloned().collect(),
        };
        Some(Part {
            is_whole: known.is_none(),
            records,
            next,
            asked,
        })
    }
}

#[cfg(test)]
#[path = "mirror_test.rs"]
mod test;
