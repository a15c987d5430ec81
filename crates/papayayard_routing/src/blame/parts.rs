//! Attribution of endpoint crashes to parts of prompts.
//!
//! A part may crash each endpoint that begins to answer a request with it, whatever else
//! the request holds. All parts that were open at a crash are suspects. An answer that
//! completes clears its parts at once, so that a part that many requests share soon counts
//! few crashes. If several parts have the same crashes, they may be the cause together or
//! each alone: only requests with all of them are refused, and the others separate them.
//! A part that has never completed is the likelier cause than one that has.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::entry::{Crash, Entry};
use super::{Progress, Quarantine, Run, Subjects, Table, quarantine_time};
use crate::quarantine::Fingerprint;

/// Crashes after which a part is held responsible.
const CRASHES: usize = 3;
/// Crashes of a part that has completed lately count once within this time. Such crashes may
/// have one cause outside of the requests, and reports on successes since are under way.
const MOMENT: Duration = Duration::from_secs(2);
/// Crashes, over more than such a time, after which that a part has completed lately no
/// longer counts.
const TURNED_CRASHES: usize = 5;
/// Crashes that hosts without a success of their own may count against a part before the
/// success of another host is reported.
const UNREPORTED_CRASHES: usize = 2;
/// Maximum number of crashes kept of a cleared part, so that they count once.
const MAX_DISCOUNTED: usize = 8;
/// Time for which a completed answer makes a part unlikely as a cause.
const SOUND_TIME: Duration = Duration::from_mins(10);
/// Divisor of the quarantine of a part while nothing shows that requests without it fare
/// better, or if it has completed before.
const UNCONFIRMED_DIVISOR: u32 = 60;
/// Maximum number of parts whose last success is kept.
const MAX_SUCCESSES: usize = 8_192;
/// One in this many successes is evicted when there are too many.
const EVICTION_DIVISOR: usize = 4;

/// Times of completed answers.
#[derive(Debug, Default)]
pub(super) struct Successes {
    by_part: HashMap<Fingerprint, Success>,
    /// The last one of any request, of this host or as another one reports it.
    last: Option<Duration>,
}

/// When requests with a part completed last.
#[derive(Debug, Default)]
struct Success {
    /// On any host, as far as known.
    any: Duration,
    /// On this host.
    own: Option<Duration>,
}

impl Successes {
    fn record(&mut self, part: Fingerprint, now: Duration) -> &mut Success {
        if self.by_part.len() >= MAX_SUCCESSES && !self.by_part.contains_key(&part) {
            let times = self.by_part.values().map(|success| success.any);
            let mut times: Vec<Duration> = times.collect();
            let (_, bound, _) = times.select_nth_unstable(MAX_SUCCESSES / EVICTION_DIVISOR);
            let bound = *bound;
            self.by_part.retain(|_, success| success.any > bound);
        }
        let success = self.by_part.entry(part).or_default();
        success.any = now;
        success
    }

    fn record_own(&mut self, part: Fingerprint, now: Duration) {
        self.record(part, now).own = Some(now);
    }

    /// Whether a request with the part has completed lately.
    fn is_sound(&self, part: Fingerprint, now: Duration) -> bool {
        let success = self.by_part.get(&part);
        success.is_some_and(|success| now < success.any + SOUND_TIME)
    }

    /// Whether such a request of this host has completed lately.
    fn is_own_sound(&self, part: Fingerprint, now: Duration) -> bool {
        let own = self.by_part.get(&part).and_then(|success| success.own);
        own.is_some_and(|own| now < own + SOUND_TIME)
    }
}

impl Table {
    /// Records that an endpoint crashed while it ran a request with a part; `at` is when the
    /// report arrived, or `None` if it may be old.
    pub fn record_part_crash(
        &mut self,
        part: Fingerprint,
        run: &Run,
        at: Option<Duration>,
        now: Duration,
    ) {
        if self.parts.make_space(part, now) {
            self.remove_unused_runs();
        }
        let entry = self.parts.current(part, now);
        let crash = Crash {
            run: run.clone(),
            progress: Progress::Begun,
            at,
        };
        if entry.add(crash, now) {
            let open = self.runs.entry(run.clone()).or_default();
            open.parts.insert(part);
        }
    }

    /// Records an answer that completed. Returns the parts that other hosts may count crashes
    /// against, so that the success has to be reported to them.
    pub fn record_part_successes(
        &mut self,
        parts: &[Fingerprint],
        now: Duration,
    ) -> Vec<Fingerprint> {
        self.successes.last = Some(now);
        for part in parts {
            self.successes.record_own(*part, now);
            if let Some(entry) = self.parts.get_mut(*part) {
                entry.clear();
            }
        }
        self.unreported(parts)
    }

    /// Records that another host has seen a part complete, and that all hosts know.
    pub fn record_part_cleared(&mut self, part: Fingerprint, now: Duration) {
        self.successes.last = Some(now);
        self.successes.record(part, now);
        if let Some(entry) = self.parts.get_mut(part) {
            entry.clear();
            entry.reported = entry.crashes.len();
        }
    }

    /// Records that requests with a part had lately completed on another host when an
    /// endpoint crashed.
    pub fn record_part_sound(&mut self, part: Fingerprint, now: Duration) {
        self.successes.record(part, now);
    }

    /// Those of the parts with which requests of this host have lately completed.
    pub fn sound(&self, parts: &[Fingerprint], now: Duration) -> Vec<Fingerprint> {
        let is_sound = |part: &&Fingerprint| {
            self.successes.is_own_sound(**part, now) && self.is_sound(**part, now)
        };
        parts.iter().filter(is_sound).copied().collect()
    }

    /// Those of the parts whose success other hosts may not know and should.
    pub fn unreported(&self, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        let is_unreported = |part: &&Fingerprint| {
            self.parts.get(**part).is_some_and(|entry| {
                let known = entry.reported + UNREPORTED_CRASHES;
                entry.discounted >= known
            })
        };
        parts.iter().filter(is_unreported).copied().collect()
    }

    /// Returns the quarantine of a request, by itself or by one of its parts.
    pub fn quarantine(&self, subjects: &Subjects, now: Duration) -> Option<Quarantine> {
        let own = self.left(subjects.request, now);
        let own = own.map(|left| Quarantine { left, part: None });
        let of_parts = subjects.parts.iter().filter_map(|part| {
            let left = self.part_left(*part, subjects, now)?;
            let part = Some(*part);
            Some(Quarantine { left, part })
        });
        own.into_iter()
            .chain(of_parts)
            .max_by_key(|quarantine| quarantine.left)
    }

    /// Returns the parts that are held responsible from now on, in groups with the same
    /// crashes.
    pub fn announce(&mut self, parts: &[Fingerprint], now: Duration) -> Vec<Vec<Fingerprint>> {
        let mut groups: BTreeMap<Vec<Run>, Vec<Fingerprint>> = BTreeMap::new();
        for part in parts {
            let entry = self.parts.get(*part);
            let is_new = |entry: &&Entry| !entry.is_announced && entry.counted().len() >= CRASHES;
            let Some(entry) = entry.filter(is_new) else {
                continue;
            };
            let crashes = self.unexplained_of_part(*part, entry, now);
            if self.weight(*part, &crashes, now) >= CRASHES {
                let mut runs: Vec<Run> = crashes.iter().map(|crash| crash.run.clone()).collect();
                runs.sort_unstable();
                groups.entry(runs).or_default().push(*part);
            }
        }
        for part in groups.values().flatten() {
            if let Some(entry) = self.parts.get_mut(*part) {
                entry.is_announced = true;
            }
        }
        groups.into_values().collect()
    }

    /// Remaining time for which requests with these subjects are refused because of a part.
    fn part_left(&self, part: Fingerprint, subjects: &Subjects, now: Duration) -> Option<Duration> {
        let entry = self.parts.get(part)?;
        if entry.counted().len() < CRASHES {
            return None;
        }
        let crashes = self.unexplained_of_part(part, entry, now);
        let weight = self.weight(part, &crashes, now);
        if weight < CRASHES || self.has_rival(part, &crashes, subjects, now) {
            return None;
        }
        let mut time = quarantine_time(weight);
        if !self.is_confirmed(part, entry, now) {
            time /= UNCONFIRMED_DIVISOR;
        }
        let left = (entry.last + time).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether other requests have completed since the crashes of a part began, and none with
    /// the part lately.
    fn is_confirmed(&self, part: Fingerprint, entry: &Entry, now: Duration) -> bool {
        let first = entry.counted().first();
        let others_complete = first.is_some_and(|first| self.successes.last > first.at);
        others_complete && !self.is_sound(part, now)
    }

    /// Whether requests with a part have completed lately, and not too many endpoints have
    /// crashed under it since.
    fn is_sound(&self, part: Fingerprint, now: Duration) -> bool {
        let entry = self.parts.get(part);
        self.successes.is_sound(part, now) && !entry.is_some_and(|entry| self.has_turned(entry))
    }

    /// Whether a part that completed before has become deadly: endpoints crash under it for a
    /// time in which other requests complete.
    fn has_turned(&self, entry: &Entry) -> bool {
        let counted = entry.counted();
        let (Some(first), Some(last)) = (counted.first(), counted.last()) else {
            return false;
        };
        let has_lasted = first.at.is_some() && last.at >= first.at.map(|at| at + MOMENT);
        counted.len() >= TURNED_CRASHES && has_lasted && self.successes.last > first.at
    }

    /// Number of crashes that count. Of a part that has completed lately these are separate
    /// moments, where all old crashes count as one.
    fn weight(&self, part: Fingerprint, crashes: &[&Crash], now: Duration) -> usize {
        if !self.is_sound(part, now) {
            return crashes.len();
        }
        let mut times: Vec<Duration> = crashes.iter().filter_map(|crash| crash.at).collect();
        times.sort_unstable();
        let is_old = |crash: &&&Crash| crash.at.is_none();
        let mut count = crashes.iter().filter(is_old).count().min(1);
        let mut next = Duration::ZERO;
        for at in times {
            if at >= next {
                count += 1;
                next = at + MOMENT;
            }
        }
        count
    }

    /// Crashes of a part that are not attributed to another subject with more crashes.
    fn unexplained_of_part<'a>(
        &self,
        part: Fingerprint,
        entry: &'a Entry,
        now: Duration,
    ) -> Vec<&'a Crash> {
        let counted = entry.counted();
        let is_explained = |crash: &Crash| {
            let mut others = self.suspects(&crash.run, part, now);
            others.any(|(_, other)| {
                other.counted().len() > counted.len() && other.was_open_at(&crash.run)
            })
        };
        let crashes = counted.iter();
        crashes.filter(|crash| !is_explained(crash)).collect()
    }

    /// Whether a subject that the request lacks was open at all of the crashes.
    fn has_rival(
        &self,
        part: Fingerprint,
        crashes: &[&Crash],
        subjects: &Subjects,
        now: Duration,
    ) -> bool {
        let Some(first) = crashes.first() else {
            return false;
        };
        self.suspects(&first.run, part, now)
            .filter(|(other, _)| match other {
                Subject::Request(request) => *request != subjects.request,
                Subject::Part(part) => !subjects.parts.contains(part),
            })
            .any(|(_, other)| crashes.iter().all(|crash| other.was_open_at(&crash.run)))
    }

    /// Other subjects that were open at a run when it crashed and are as likely as the part.
    fn suspects(
        &self,
        run: &Run,
        part: Fingerprint,
        now: Duration,
    ) -> impl Iterator<Item = (Subject, &Entry)> {
        let is_sound = self.is_sound(part, now);
        let open = self.runs.get(run);
        let requests = open.into_iter().flat_map(|open| &open.requests);
        let requests = requests
            .filter_map(|request| Some((Subject::Request(*request), self.requests.get(*request)?)));
        let parts = open.into_iter().flat_map(|open| &open.parts);
        let parts = parts
            .filter(move |other| **other != part)
            .filter(move |other| is_sound || !self.is_sound(**other, now))
            .filter_map(|other| Some((Subject::Part(*other), self.parts.get(*other)?)));
        requests.chain(parts)
    }
}

impl Entry {
    /// Discounts the crashes so far.
    fn clear(&mut self) {
        let surplus = self.crashes.len().saturating_sub(MAX_DISCOUNTED);
        self.crashes.drain(..surplus);
        self.reported = self.reported.saturating_sub(surplus);
        self.discounted = self.crashes.len();
        self.is_announced = false;
    }
}

/// What may be the cause of a crash.
#[derive(Clone, Copy, Debug)]
enum Subject {
    Request(Fingerprint),
    Part(Fingerprint),
}
