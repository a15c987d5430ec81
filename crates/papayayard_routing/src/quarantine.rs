//! Requests that crash the endpoints that run them.
//!
//! Each request that ran on an endpoint when it crashed is a suspect. Suspects run
//! again in isolation, no two on one endpoint, so that the request at fault does
//! not affect another suspect. A suspect that completes is cleared. A suspect that
//! was running when a second endpoint crashed is quarantined, and the requests that
//! ran beside it do not become suspects, as the cause is known. If several suspects
//! ran on the crashed endpoint, none is quarantined yet: all run in isolation again.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use papayayard_wire::{block, id};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::fleet;

/// Hash that is the same when a caller retries a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a body within the scope of a cache salt.
    pub fn of(salt: block::Salt, body: &[u8]) -> Self {
        Self(xxh3::xxh3_64_with_seed(body, salt.0))
    }

    /// Fingerprint of an opaque request: the parts that stay the same when its caller
    /// retries it under a new id.
    pub fn of_request(
        account: Option<&id::Account>,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let account = account.map_or("", id::Account::as_str);
        let mut hasher = hasher_of([account, method, target]);
        hasher.update(body);
        Self(hasher.digest())
    }

    /// Fingerprint of a part of a prompt; `isolated` is an account whose parts are its own.
    pub fn of_part(isolated: Option<&id::Account>, model: &id::Model, part: &str) -> Self {
        let account = isolated.map_or("", id::Account::as_str);
        Self(hasher_of([account, model.as_str(), part]).digest())
    }
}

fn hasher_of(texts: [&str; 3]) -> xxh3::Xxh3 {
    let mut hasher = xxh3::Xxh3::new();
    for text in texts {
        hasher.update(text.as_bytes());
        // No name, method or path has this byte, so that adjacent texts can't run together.
        hasher.update(&[0]);
    }
    hasher
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// No crash counts against the request.
    Clear,
    /// The request ran on an endpoint that crashed: run it apart from other suspects.
    Suspect,
    /// The request is not run again.
    Quarantined,
}

/// A quarantined fingerprint, as exchanged between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    pub fingerprint: Fingerprint,
    /// Remaining time in quarantine, in milliseconds.
    pub left_ms: u64,
}

/// Suspects and quarantined fingerprints of one host.
#[derive(Debug, Default)]
pub struct Table {
    running: HashMap<fleet::Key, HashMap<Fingerprint, u32>>,
    suspects: HashMap<Fingerprint, Duration>,
    quarantined: HashMap<Fingerprint, Duration>,
}

const SUSPECT_LIFETIME: Duration = Duration::from_hours(1);
const QUARANTINE_LIFETIME: Duration = Duration::from_hours(1);
const MAX_ENTRIES: usize = 4_096;

impl Table {
    pub fn status(&self, fingerprint: Fingerprint, now: Duration) -> Status {
        if is_current(&self.quarantined, fingerprint, now) {
            Status::Quarantined
        } else if is_current(&self.suspects, fingerprint, now) {
            Status::Suspect
        } else {
            Status::Clear
        }
    }

    /// Endpoints on which a suspect must not run because other suspects run there.
    /// Empty for a request that is not a suspect.
    pub fn excluded_endpoints(&self, fingerprint: Fingerprint, now: Duration) -> Vec<fleet::Key> {
        if self.status(fingerprint, now) != Status::Suspect {
            return Vec::new();
        }
        let shared = self.running.iter().filter(|(_, running)| {
            let mut others = running.keys().filter(|other| **other != fingerprint);
            others.any(|other| is_current(&self.suspects, *other, now))
        });
        shared.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Records a request that was sent.
    pub fn record_start(&mut self, fingerprint: Fingerprint, endpoint: fleet::Key) {
        let running = self.running.entry(endpoint).or_default();
        *running.entry(fingerprint).or_default() += 1;
    }

    /// Records a request that completed, which clears its status.
    pub fn record_success(&mut self, fingerprint: Fingerprint, endpoint: fleet::Key) {
        self.record_abort(fingerprint, endpoint);
        self.suspects.remove(&fingerprint);
        self.quarantined.remove(&fingerprint);
    }

    /// Records a request that ended without an answer while its endpoint is alive.
    pub fn record_abort(&mut self, fingerprint: Fingerprint, endpoint: fleet::Key) {
        let Some(running) = self.running.get_mut(&endpoint) else {
            return;
        };
        if let Some(count) = running.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                running.remove(&fingerprint);
            }
        }
        if running.is_empty() {
            self.running.remove(&endpoint);
        }
    }

    /// Records the crash of an endpoint; returns the fingerprint that is quarantined
    /// for it, if any.
    pub fn record_crash(&mut self, endpoint: fleet::Key, now: Duration) -> Option<Fingerprint> {
        let running = self.running.remove(&endpoint)?;
        let all: HashSet<Fingerprint> = running.into_keys().collect();
        let known = all
            .iter()
            .filter(|fingerprint| is_current(&self.suspects, **fingerprint, now));
        let known: Vec<Fingerprint> = known.copied().collect();
        if let [culprit] = known[..] {
            self.suspects.remove(&culprit);
            insert(&mut self.quarantined, culprit, now + QUARANTINE_LIFETIME);
            return Some(culprit);
        }
        let suspects = if known.is_empty() {
            all.into_iter().collect()
        } else {
            known
        };
        for fingerprint in suspects {
            insert(&mut self.suspects, fingerprint, now + SUSPECT_LIFETIME);
        }
        None
    }

    /// Quarantined fingerprints, for the peers.
    pub fn export(&self, now: Duration) -> Vec<Verdict> {
        let current = self.quarantined.iter().filter(|(_, until)| **until > now);
        let verdicts = current.map(|(fingerprint, until)| Verdict {
            fingerprint: *fingerprint,
            left_ms: u64::try_from(until.saturating_sub(now).as_millis()).unwrap_or(u64::MAX),
        });
        verdicts.collect()
    }

    /// Adds the fingerprints that peers have quarantined.
    pub fn import(&mut self, verdicts: &[Verdict], now: Duration) {
        for verdict in verdicts {
            let left = Duration::from_millis(verdict.left_ms).min(QUARANTINE_LIFETIME);
            self.suspects.remove(&verdict.fingerprint);
            insert(&mut self.quarantined, verdict.fingerprint, now + left);
        }
    }
}

fn is_current(
    table: &HashMap<Fingerprint, Duration>,
    fingerprint: Fingerprint,
    now: Duration,
) -> bool {
    table.get(&fingerprint).is_some_and(|until| *until > now)
}

/// Inserts a fingerprint. A full table first removes the entry that expires first.
fn insert(table: &mut HashMap<Fingerprint, Duration>, fingerprint: Fingerprint, until: Duration) {
    if table.len() >= MAX_ENTRIES && !table.contains_key(&fingerprint) {
        let first = table.iter().min_by_key(|(_, until)| **until);
        if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
            table.remove(&first);
        }
    }
    let known = table.entry(fingerprint).or_insert(until);
    *known = until.max(*known);
}
