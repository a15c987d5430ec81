//! Attribution of endpoint crashes to requests.
//!
//! A request may crash each endpoint that starts to run it, while its caller retries
//! it under a new id and at any host. Any request that was open at an endpoint when it
//! crashed may be the cause, and most are not. Four observations identify the cause:
//! it is open at every crash, so a crash is attributed to the request with the most
//! crashes; if two requests have the same crashes, neither is quarantined until another
//! crash separates them; the cause never completes; and it rarely produces an event, so
//! a request that had started to answer needs more crashes to be quarantined. Hosts
//! exchange their observations in any order and more than once. The state is a set of
//! crashes, so all hosts with the same crashes reach the same verdicts.
//!
//! The load pattern this handles is a single request among many at a full endpoint that
//! returns at every host as long as it is admitted, while the other requests of the
//! crashed endpoint move to the remaining endpoints.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_wire::id;
use serde::{Deserialize, Serialize};

use crate::quarantine::Fingerprint;

mod entry;
mod parts;
mod subjects;

pub use subjects::Subjects;

use entry::{Crash, Entries, Entry};
use parts::Successes;

/// Crashes before any event of an answer after which a request is quarantined, if no
/// other request has the same crashes. A single crash may be coincidence, since all
/// requests open at the endpoint have it.
const CRASHES_BEFORE_OUTPUT: usize = 2;
/// Crashes of any kind after which a request is quarantined, if no other request has the
/// same crashes.
const TOTAL_CRASHES: usize = 3;
/// Crashes after which a request is quarantined, whatever crashes other requests have.
const UNCONDITIONAL_CRASHES: usize = 4;
/// Duration of the first quarantine; doubles with each further crash.
const INITIAL_QUARANTINE: Duration = Duration::from_mins(10);
/// Maximum number of doublings of the quarantine duration.
const MAX_DOUBLINGS: u32 = 10;

/// One run of an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    pub endpoint: id::Endpoint,
    /// Start of the process.
    pub started: id::Incarnation,
}

/// Progress of a request when its endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Events of its answer had arrived, from this endpoint or a previous one.
    Begun,
    /// No event of its answer had arrived.
    Waiting,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// No crash counts against the request.
    Clear,
    /// Endpoints crashed while running the request, too few to quarantine it.
    Suspect,
    /// The request is not run for a time.
    Quarantined {
        /// Remaining time.
        left: Duration,
    },
}

/// Effect of a recorded crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The crash was already recorded.
    Unchanged,
    /// The request is a suspect, or was already quarantined.
    Suspected,
    /// The request is quarantined from now on.
    Quarantined,
    /// Other hosts quarantine the request because they have not received its later success.
    Disputed,
}

/// Time for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Remaining time.
    pub left: Duration,
    /// Part of its prompt that is held responsible; `None` is the request itself.
    pub part: Option<Fingerprint>,
}

/// Endpoint crashes, by the requests and parts of prompts that were open there.
#[derive(Debug, Default)]
pub struct Table {
    requests: Entries,
    parts: Entries,
    /// Subjects that were open at a run when it crashed.
    runs: HashMap<Run, Open>,
    successes: Successes,
}

#[derive(Debug, Default)]
struct Open {
    requests: HashSet<Fingerprint>,
    parts: HashSet<Fingerprint>,
}

impl Table {
    /// Whether a request may run.
    pub fn status(&self, fingerprint: Fingerprint, now: Duration) -> Status {
        let Some(entry) = self.requests.get(fingerprint) else {
            return Status::Clear;
        };
        let quarantined_until = entry.last + quarantine_time(entry.counted().len());
        let unexplained = self.unexplained(fingerprint, entry);
        let is_enough = entry.counted().len() >= UNCONDITIONAL_CRASHES
            || self.is_enough(fingerprint, &unexplained);
        if is_enough && now < quarantined_until {
            let left = quarantined_until.saturating_sub(now);
            return Status::Quarantined { left };
        }
        if unexplained.is_empty() || entry.is_expired(now) {
            return Status::Clear;
        }
        Status::Suspect
    }

    /// Records that an endpoint crashed while it ran a request.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        run: &Run,
        progress: Progress,
        now: Duration,
    ) -> Effect {
        if self.requests.make_space(fingerprint, now) {
            self.remove_unused_runs();
        }
        let was_quarantined = self.is_quarantined(fingerprint, now);
        let entry = self.requests.current(fingerprint, now);
        let crash = Crash {
            run: run.clone(),
            progress,
            at: Some(now),
        };
        if !entry.add(crash, now) {
            return Effect::Unchanged;
        }
        let has_discounted = entry.discounted > 0;
        let all = entry.crashes.len();
        let open = self.runs.entry(run.clone()).or_default();
        open.requests.insert(fingerprint);
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

    /// Records that a request completed, so that it did not cause the recorded crashes.
    /// Returns whether it was quarantined and other hosts have to be notified.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let was_quarantined = self.is_quarantined(fingerprint, now);
        if let Some(entry) = self.requests.get_mut(fingerprint) {
            entry.discounted = entry.crashes.len();
        }
        was_quarantined
    }

    fn is_quarantined(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        self.left(fingerprint, now).is_some()
    }

    /// Remaining time of a request in quarantine.
    fn left(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        match self.status(fingerprint, now) {
            Status::Quarantined { left } => Some(left),
            Status::Clear | Status::Suspect => None,
        }
    }

    /// Crashes that count against a request and are not attributed to another request with
    /// more crashes.
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

    /// Whether another request was open at all of the same crashes.
    fn is_ambiguous(&self, fingerprint: Fingerprint, crashes: &[&Crash]) -> bool {
        let Some(first) = crashes.first() else {
            return false;
        };
        self.others(&first.run, fingerprint)
            .any(|other| crashes.iter().all(|crash| other.was_open_at(&crash.run)))
    }

    /// Other requests that were open at a run when it crashed.
    fn others(&self, run: &Run, fingerprint: Fingerprint) -> impl Iterator<Item = &Entry> {
        let all = self.runs.get(run).into_iter();
        let others = all
            .flat_map(|open| &open.requests)
            .filter(move |request| **request != fingerprint);
        others.filter_map(|request| self.requests.get(*request))
    }

    /// Removes expired entries.
    pub fn remove_expired(&mut self, now: Duration) {
        self.requests.remove_expired(now);
        self.parts.remove_expired(now);
        self.remove_unused_runs();
    }

    fn remove_unused_runs(&mut self) {
        let (requests, parts) = (&self.requests, &self.parts);
        self.runs.retain(|run, open| {
            open.requests.retain(|one| requests.get(*one).is_some());
            let counts = |part: Fingerprint| {
                let entry = parts.get(part);
                entry.is_some_and(|entry| entry.was_open_at(run))
            };
            open.parts.retain(|one| counts(*one));
            !open.requests.is_empty() || !open.parts.is_empty()
        });
    }
}

/// Duration of the quarantine after this number of crashes.
fn quarantine_time(crashes: usize) -> Duration {
    let doublings =
        u32::try_from(crashes.saturating_sub(CRASHES_BEFORE_OUTPUT)).unwrap_or(u32::MAX);
    INITIAL_QUARANTINE * 2_u32.pow(doublings.min(MAX_DOUBLINGS))
}

#[cfg(test)]
#[path = "blame_test.rs"]
mod test;
