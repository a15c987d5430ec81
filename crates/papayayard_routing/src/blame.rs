//! Which requests are held responsible for the ends of endpoints.
//!
//! A request may end each endpoint that begins to run it, and its caller sends it
//! again, under a new id and at any host. Whatever was open at an endpoint as it ended
//! may be the cause, and most of it is not. Four things tell them apart: the cause is
//! there each time, so that an end is explained by the request that has met the most;
//! where two have met the same ends, neither is quarantined until one more tells; the cause
//! never finishes; and it seldom gives an event, so that a request that had begun to
//! answer takes more ends to be quarantined. Hosts exchange what they have seen, in any
//! order and more than once: what is known is a set of ends, and all who know the same
//! ends judge alike.
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
const ENDS_WAITING: usize = 2;
/// Ends of any kind after which it is quarantined, if no other has met the same.
const ENDS: usize = 3;
/// Ends after which it is quarantined, whatever others have met.
const MOST_ENDS: usize = 4;
/// Time for which a request is quarantined at first; it doubles with each further end.
const FIRST_QUARANTINE: Duration = Duration::from_mins(10);
/// Most doublings.
const MOST_DOUBLINGS: u32 = 10;
/// Requests that are kept in mind. Several times what a large deployment runs at the
/// endpoints that end together.
const MOST_ENTRIES: usize = 8_192;
/// Part of these that gives way once there are too many: one in so many.
const GIVE_WAY: usize = 4;

/// One run of an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Run {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Start of the process.
    pub started: id::Incarnation,
}

/// How far a request had come as its endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Events of its answer had come, from this endpoint or one before.
    Begun,
    /// Nothing of its answer had come.
    Waiting,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// Endpoints have ended under it, too few to quarantine it.
    Suspect,
    /// It is not run for a time.
    Quarantined {
        /// Time that is left.
        left: Duration,
    },
}

/// What follows from an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It was known.
    Nothing,
    /// The request is a suspect.
    Suspected,
    /// It is quarantined from now on.
    Quarantined,
    /// Others quarantine it, who do not know that it has finished since.
    Disputed,
}

/// Ends of endpoints, by the requests that were open there.
#[derive(Debug, Default)]
pub struct Table {
    entries: HashMap<Fingerprint, Entry>,
    /// Requests that were open at a run as it ended.
    runs: HashMap<Run, HashSet<Fingerprint>>,
}

#[derive(Debug, Default)]
struct Entry {
    ends: Vec<End>,
    /// Ends that came before the request finished somewhere.
    disproved: usize,
    /// When the last end was learnt of.
    last: Duration,
}

#[derive(Debug)]
struct End {
    run: Run,
    progress: Progress,
}

impl Table {
    /// Whether a request may run.
    pub fn standing(&self, fingerprint: Fingerprint, now: Duration) -> Standing {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Standing::Clear;
        };
        let until = entry.last + quarantine(entry.held().len());
        let unexplained = self.unexplained(fingerprint, entry);
        let is_enough =
            entry.held().len() >= MOST_ENDS || self.is_enough(fingerprint, &unexplained);
        if is_enough && now < until {
            let left = until.saturating_sub(now);
            return Standing::Quarantined { left };
        }
        if unexplained.is_empty() || entry.is_over(now) {
            return Standing::Clear;
        }
        Standing::Suspect
    }

    /// Takes over that an endpoint ended under a request.
    pub fn ended(
        &mut self,
        fingerprint: Fingerprint,
        run: &Run,
        progress: Progress,
        now: Duration,
    ) -> Effect {
        self.make_room(fingerprint, now);
        let was_quarantined = self.is_quarantined(fingerprint, now);
        let entry = self.entries.entry(fingerprint).or_default();
        if entry.is_over(now) {
            *entry = Entry::default();
        }
        if !entry.add(run, progress) {
            return Effect::Nothing;
        }
        entry.last = entry.last.max(now);
        let is_disproved = entry.disproved > 0;
        let all = entry.ends.len();
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
        if is_disproved && all >= ENDS_WAITING {
            Effect::Disputed
        } else {
            Effect::Suspected
        }
    }

    /// Takes over that a request has finished: it was not the cause of the ends that
    /// are known. Tells whether others have to learn of it, who may quarantine it.
    pub fn finished(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let was_quarantined = self.is_quarantined(fingerprint, now);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.disproved = entry.ends.len();
        }
        was_quarantined
    }

    fn is_quarantined(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        matches!(
            self.standing(fingerprint, now),
            Standing::Quarantined { .. }
        )
    }

    /// Ends that are held against a request, and that no other one explains that has
    /// met more.
    fn unexplained<'a>(&self, fingerprint: Fingerprint, entry: &'a Entry) -> Vec<&'a End> {
        let held = entry.held();
        let is_explained = |end: &End| {
            self.others(&end.run, fingerprint)
                .any(|other| other.held().len() > held.len())
        };
        held.iter().filter(|end| !is_explained(end)).collect()
    }

    /// Whether ends suffice to quarantine a request.
    fn is_enough(&self, fingerprint: Fingerprint, ends: &[&End]) -> bool {
        let waiting = ends.iter().filter(|end| end.progress == Progress::Waiting);
        let is_likely = waiting.count() >= ENDS_WAITING || ends.len() >= ENDS;
        is_likely && !self.has_twin(fingerprint, ends)
    }

    /// Whether another request has met the same ends.
    fn has_twin(&self, fingerprint: Fingerprint, ends: &[&End]) -> bool {
        let Some(first) = ends.first() else {
            return false;
        };
        self.others(&first.run, fingerprint)
            .any(|other| ends.iter().all(|end| other.has_met(&end.run)))
    }

    /// Other requests that were open at a run as it ended.
    fn others(&self, run: &Run, fingerprint: Fingerprint) -> impl Iterator<Item = &Entry> {
        let all = self.runs.get(run).into_iter().flatten();
        let others = all.filter(move |one| **one != fingerprint);
        others.filter_map(|one| self.entries.get(one))
    }

    /// Forgets what is over.
    pub fn forget(&mut self, now: Duration) {
        self.entries.retain(|_, entry| !entry.is_over(now));
        self.forget_runs();
    }

    fn forget_runs(&mut self) {
        let entries = &self.entries;
        self.runs.retain(|_, requests| {
            requests.retain(|one| entries.contains_key(one));
            !requests.is_empty()
        });
    }

    /// Makes room for a request that is not known: those that have met the fewest
    /// ends, and those long ago, give way.
    fn make_room(&mut self, fingerprint: Fingerprint, now: Duration) {
        if self.entries.len() < MOST_ENTRIES || self.entries.contains_key(&fingerprint) {
            return;
        }
        self.forget(now);
        if self.entries.len() < MOST_ENTRIES {
            return;
        }
        let ranks = self.entries.values().map(Entry::rank);
        let mut ranks: Vec<(usize, Duration)> = ranks.collect();
        let (_, bound, _) = ranks.select_nth_unstable(MOST_ENTRIES / GIVE_WAY);
        let bound = *bound;
        self.entries.retain(|_, entry| entry.rank() > bound);
        self.forget_runs();
    }
}

impl Entry {
    /// Ends that are held against the request.
    fn held(&self) -> &[End] {
        &self.ends[self.disproved..]
    }

    fn has_met(&self, run: &Run) -> bool {
        self.held().iter().any(|end| end.run == *run)
    }

    /// What is kept longer comes later.
    fn rank(&self) -> (usize, Duration) {
        (self.held().len(), self.last)
    }

    /// Adds an end; `false` where it was known.
    fn add(&mut self, run: &Run, progress: Progress) -> bool {
        let known = self.ends.iter_mut().find(|end| end.run == *run);
        match known {
            Some(end) if end.progress >= progress => false,
            Some(end) => {
                end.progress = progress;
                true
            }
            None => {
                self.ends.push(End {
                    run: run.clone(),
                    progress,
                });
                true
            }
        }
    }

    /// Whether all of it was too long ago to count. A quarantine that is over leaves a request
    /// suspect for as long again, so that it is quarantined at once where it goes on.
    fn is_over(&self, now: Duration) -> bool {
        self.last + quarantine(self.ends.len()) * 2 <= now
    }
}

/// Time for which a request with so many ends is quarantined.
fn quarantine(ends: usize) -> Duration {
    let doublings = u32::try_from(ends.saturating_sub(ENDS_WAITING)).unwrap_or(u32::MAX);
    FIRST_QUARANTINE * 2_u32.pow(doublings.min(MOST_DOUBLINGS))
}
