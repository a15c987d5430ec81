//! Crashes of endpoints at which one request, or one part of prompts, was open.

use std::collections::HashMap;
use std::time::Duration;

use super::{Progress, Run, quarantine_time};
use crate::quarantine::Fingerprint;

/// Maximum number of tracked requests, and of tracked parts. Several times what a large
/// deployment runs at the endpoints that crash together.
const MAX_ENTRIES: usize = 8_192;
/// One in this many entries is evicted when the table is full.
const EVICTION_DIVISOR: usize = 4;

#[derive(Debug, Default)]
pub(super) struct Entry {
    pub(super) crashes: Vec<Crash>,
    /// Number of leading crashes that preceded a success and no longer count.
    pub(super) discounted: usize,
    /// When the last crash was received.
    pub(super) last: Duration,
    /// Number of leading crashes of a part that all hosts know to have preceded a success.
    pub(super) reported: usize,
    /// Whether a part is known to be held responsible.
    pub(super) is_announced: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) run: Run,
    pub(super) progress: Progress,
    /// When it was received first; `None` if that was long after the crash.
    pub(super) at: Option<Duration>,
}

impl Entry {
    /// Crashes that count against the subject.
    pub(super) fn counted(&self) -> &[Crash] {
        &self.crashes[self.discounted..]
    }

    pub(super) fn was_open_at(&self, run: &Run) -> bool {
        self.counted().iter().any(|crash| crash.run == *run)
    }

    /// Adds a crash; `false` if it was already recorded.
    pub(super) fn add(&mut self, crash: Crash, now: Duration) -> bool {
        let mut all = self.crashes.iter_mut();
        match all.find(|known| known.run == crash.run) {
            Some(known) if known.progress >= crash.progress => return false,
            Some(known) => known.progress = crash.progress,
            None => self.crashes.push(crash),
        }
        self.last = self.last.max(now);
        true
    }

    /// Whether the last crash is too old to count. After a quarantine, a request stays a suspect
    /// for the same time again, so that another crash quarantines it at once.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        self.last + quarantine_time(self.crashes.len()) * 2 <= now
    }

    /// Sort key for eviction; entries with higher ranks are kept longer.
    fn eviction_rank(&self) -> (usize, Duration) {
        (self.counted().len(), self.last)
    }
}

/// A bounded number of entries.
#[derive(Debug, Default)]
pub(super) struct Entries(HashMap<Fingerprint, Entry>);

impl Entries {
    pub(super) fn get(&self, fingerprint: Fingerprint) -> Option<&Entry> {
        self.0.get(&fingerprint)
    }

    pub(super) fn get_mut(&mut self, fingerprint: Fingerprint) -> Option<&mut Entry> {
        self.0.get_mut(&fingerprint)
    }

    /// Returns an entry, a new one if there is none or the old one has expired.
    pub(super) fn current(&mut self, fingerprint: Fingerprint, now: Duration) -> &mut Entry {
        let entry = self.0.entry(fingerprint).or_default();
        if entry.is_expired(now) {
            *entry = Entry::default();
        }
        entry
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.0.retain(|_, entry| !entry.is_expired(now));
    }

    /// Makes space for a new entry. Evicts those with the fewest crashes that count and, among
    /// these, the oldest. Returns whether entries were removed.
    pub(super) fn make_space(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        if self.0.len() < MAX_ENTRIES || self.0.contains_key(&fingerprint) {
            return false;
        }
        self.remove_expired(now);
        if self.0.len() < MAX_ENTRIES {
            return true;
        }
        let ranks = self.0.values().map(Entry::eviction_rank);
        let mut ranks: Vec<(usize, Duration)> = ranks.collect();
        let (_, bound, _) = ranks.select_nth_unstable(MAX_ENTRIES / EVICTION_DIVISOR);
        let bound = *bound;
        self.0.retain(|_, entry| entry.eviction_rank() > bound);
        true
    }
}
