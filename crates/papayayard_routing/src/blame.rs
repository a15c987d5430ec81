//! Which requests are counted responsible for the crashes of endpoints.
//!
//! A request may crash each endpoint that begins to run it, and its caller sends it
//! again, under a new id and at any host. Whatever was open at an endpoint as it record_crash
//! may be the cause, and most of it is not. Four things tell them apart: the cause is
//! there each time, so that an crash is explained by the request that has met the most;
//! where two have met the same crashes, neither is quarantined until one more tells; the cause
//! never finishes; and it seldom gives an event, so that a request that had begun to
//! answer takes more crashes to be quarantined. Hosts exchange what they have seen, in any
//! order and more than once: what is known is a set of crashes, and all who know the same
//! crashes judge alike.
//!
//! The load pattern it answers: one request among many, at a full endpoint, that comes
//! back at every host for as long as it is let in, while what ran beside it is sent to
//! the endpoints that remain.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_wire::id;
use serde::{Deserialize, Serialize};

use crate::quarantine::Fingerprint;

/// Ends before any event of an answer after which a request is quarantined, if no other has
/// met the same. One is chance, since everything there has met it.
const CRASHES_BEFORE_OUTPUT: usize = 2;
/// Ends of any kind after which it is quarantined, if no other has met the same.
const TOTAL_CRASHES: usize = 3;
/// Ends after which it is quarantined, whatever others have met.
const UNCONDITIONAL_CRASHES: usize = 4;
/// Time for which a request is quarantined at first; it doubles with each further crash.
const INITIAL_QUARANTINE: Duration = Duration::from_mins(10);
/// Most doublings.
const MAX_DOUBLINGS: u32 = 10;
/// Requests that are kept in mind. Several times what a large deployment runs at the
/// endpoints that crash together.
const MAX_ENTRIES: usize = 8_192;
/// Part of these that gives way once there are too many: one in so many.
const EVICTION_DIVISOR: usize = 4;

/// One run of an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Run {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Start of the process.
    pub started: id::Incarnation,
}

/// How far a request had come as its endpoint record_crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Events of its answer had come, from this endpoint or one before.
    Begun,
    /// Nothing of its answer had come.
    Waiting,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing is counted against it.
    Clear,
    /// Endpoints have record_crash under it, too few to quarantine it.
    Suspect,
    /// It is not run for a time.
    Quarantined {
        /// Time that is left.
        left: Duration,
    },
}

/// What follows from an crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It was known.
    Unchanged,
    /// The request is a suspect.
    Suspected,
    /// It is quarantined from now on.
    Quarantined,
    /// Others quarantine it, who do not know that it has record_success since.
    Disputed,
}

/// Ends of endpoints, by the requests that were open there.
#[derive(Debug, Default)]
pub struct Table {
    entries: HashMap<Fingerprint, Entry>,
    /// Requests that were open at a run as it record_crash.
    runs: HashMap<Run, HashSet<Fingerprint>>,
}

#[derive(Debug, Default)]
struct Entry {
    crashes: Vec<Crash>,
    /// Ends that came before the request record_success somewhere.
    discounted: usize,
    /// When the last crash was learnt of.
    last: Duration,
}

#[derive(Debug)]
struct Crash {
    run: Run,
    progress: Progress,
}

impl Table {
    /// Whether a request may run.
    pub fn status(&self, fingerprint: Fingerprint, now: Duration) -> Status {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Status::Clear;
        };
        let until = entry.last + quarantine_time(entry.counted().len());
        let unexplained = self.unexplained(fingerprint, entry);
        let is_enough = entry.counted().len() >= UNCONDITIONAL_CRASHES
            || self.is_enough(fingerprint, &unexplained);
        if is_enough && now < until {
            let left = until.saturating_sub(now);
            return Status::Quarantined { left };
        }
        if unexplained.is_empty() || entry.is_expired(now) {
            return Status::Clear;
        }
        Status::Suspect
    }

    /// Takes over that an endpoint record_crash under a request.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        run: &Run,
        progress: Progress,
        now: Duration,
    ) -> Effect {
        self.evict_if_full(fingerprint, now);
        let was_quarantined = self.is_quarantined(fingerprint, now);
        let entry = self.entries.entry(fingerprint).or_default();
        if entry.is_expired(now) {
            *entry = Entry::default();
        }
        if !entry.add(run, progress) {
            return Effect::Unchanged;
        }
        entry.last = entry.last.max(now);
        let has_discounted = entry.discounted > 0;
        let all = entry.crashes.len();
        self.runs
            .entry(run.clone())
            .or_default()
            .insert(fingerprint);
        if self.is_quarantined(fingerprint, now) {
            return if was_quarantined {
                Effect::Suspected
            } else {
                Effect::Quarantined
            };
        }
        if has_discounted && all >= CRASHES_BEFORE_OUTPUT {
            Effect::Disputed
        } else {
            Effect::Suspected
        }
    }

    /// Takes over that a request has record_success: it was not the cause of the crashes that
    /// are known. Tells whether others have to learn of it, who may quarantine it.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let was_quarantined = self.is_quarantined(fingerprint, now);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.discounted = entry.crashes.len();
        }
        was_quarantined
    }

    fn is_quarantined(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        matches!(self.status(fingerprint, now), Status::Quarantined { .. })
    }

    /// Ends that are counted against a request, and that no other one explains that has
    /// met more.
    fn unexplained<'a>(&self, fingerprint: Fingerprint, entry: &'a Entry) -> Vec<&'a Crash> {
        let counted = entry.counted();
        let is_explained = |crash: &Crash| {
            self.others(&crash.run, fingerprint)
                .any(|other| other.counted().len() > counted.len())
        };
        counted
            .iter()
            .filter(|crash| !is_explained(crash))
            .collect()
    }

    /// Whether crashes suffice to quarantine a request.
    fn is_enough(&self, fingerprint: Fingerprint, crashes: &[&Crash]) -> bool {
        let waiting = crashes
            .iter()
            .filter(|crash| crash.progress == Progress::Waiting);
        let is_likely = waiting.count() >= CRASHES_BEFORE_OUTPUT || crashes.len() >= TOTAL_CRASHES;
        is_likely && !self.is_ambiguous(fingerprint, crashes)
    }

    /// Whether another request has met the same crashes.
    fn is_ambiguous(&self, fingerprint: Fingerprint, crashes: &[&Crash]) -> bool {
        let Some(first) = crashes.first() else {
            return false;
        };
        self.others(&first.run, fingerprint)
            .any(|other| crashes.iter().all(|crash| other.was_open_at(&crash.run)))
    }

    /// Other requests that were open at a run as it record_crash.
    fn others(&self, run: &Run, fingerprint: Fingerprint) -> impl Iterator<Item = &Entry> {
        let all = self.runs.get(run).into_iter().flatten();
        let others = all.filter(move |request| **request != fingerprint);
        others.filter_map(|request| self.entries.get(request))
    }

    /// Forgets what is over.
    pub fn remove_expired(&mut self, now: Duration) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
        self.remove_unused_runs();
    }

    fn remove_unused_runs(&mut self) {
        let entries = &self.entries;
        self.runs.retain(|_, requests| {
            requests.retain(|request| entries.contains_key(request));
            !requests.is_empty()
        });
    }

    /// Makes room for a request that is not known: those that have met the fewest
    /// crashes, and those long ago, give way.
    fn evict_if_full(&mut self, fingerprint: Fingerprint, now: Duration) {
        if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(&fingerprint) {
            return;
        }
        self.remove_expired(now);
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let ranks = self.entries.values().map(Entry::eviction_rank);
        let mut ranks: Vec<(usize, Duration)> = ranks.collect();
        let (_, bound, _) = ranks.select_nth_unstable(MAX_ENTRIES / EVICTION_DIVISOR);
        let bound = *bound;
        self.entries
            .retain(|_, entry| entry.eviction_rank() > bound);
        self.remove_unused_runs();
    }
}

impl Entry {
    /// Ends that are counted against the request.
    fn counted(&self) -> &[Crash] {
        &self.crashes[self.discounted..]
    }

    fn was_open_at(&self, run: &Run) -> bool {
        self.counted().iter().any(|crash| crash.run == *run)
    }

    /// What is kept longer comes later.
    fn eviction_rank(&self) -> (usize, Duration) {
        (self.counted().len(), self.last)
    }

    /// Adds an crash; `false` where it was known.
    fn add(&mut self, run: &Run, progress: Progress) -> bool {
        let known = self.crashes.iter_mut().find(|crash| crash.run == *run);
        match known {
            Some(crash) if crash.progress >= progress => false,
            Some(crash) => {
                crash.progress = progress;
                true
            }
            None => {
                self.crashes.push(Crash {
                    run: run.clone(),
                    progress,
                });
                true
            }
        }
    }

    /// Whether all of it was too long ago to count. A quarantine that is over leaves a request
    /// suspect for as long again, so that it is quarantined at once where it goes on.
    fn is_expired(&self, now: Duration) -> bool {
        self.last + quarantine_time(self.crashes.len()) * 2 <= now
    }
}

/// Time for which a request with so many crashes is quarantined.
fn quarantine_time(crashes: usize) -> Duration {
    let doublings =
        u32::try_from(crashes.saturating_sub(CRASHES_BEFORE_OUTPUT)).unwrap_or(u32::MAX);
    INITIAL_QUARANTINE * 2_u32.pow(doublings.min(MAX_DOUBLINGS))
}
