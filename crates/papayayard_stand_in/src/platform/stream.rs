//! One stream of the log: records with offsets and bounded retention.

use std::collections::VecDeque;

use papayayard_wire::log::{Batch, Offset, Offsets, Page, Record};

/// A stream's records.
#[derive(Debug, Default)]
pub struct Stream {
    first: Offset,
    records: VecDeque<Record>,
}

/// How long records are kept.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Most records of a stream.
    pub records: usize,
    /// Most age, in milliseconds.
    pub age_ms: u64,
}

impl Stream {
    /// Offset that the next append gets.
    pub fn end(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    /// Stores a batch.
    pub fn append(&mut self, batch: Batch, now_ms: u64, retention: Retention) -> Offsets {
        let first = self.end();
        for draft in batch.records {
            let offset = self.end();
            self.records.push_back(Record {
                offset,
                id: draft.id,
                time_ms: now_ms,
                payload: draft.payload,
            });
        }
        self.expire(now_ms, retention);
        Offsets { first }
    }

    /// Drops the records that are too many or too old.
    pub fn expire(&mut self, now_ms: u64, retention: Retention) {
        while let Some(oldest) = self.records.front() {
            let old = now_ms.saturating_sub(oldest.time_ms) > retention.age_ms;
            if !old && self.records.len() <= retention.records {
                return;
            }
            self.records.pop_front();
            self.first = self.first.next();
        }
    }

    /// Reads from an offset on, or from the oldest that is kept.
    pub fn read(&self, from: Offset, limit: usize) -> Page {
        let skip = from.0.saturating_sub(self.first.0);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        Page {
            first: self.first,
            end: self.end(),
            records: self
                .records
                .iter()
                .skip(skip)
                .take(limit)
                .cloned()
                .collect(),
        }
    }
}
