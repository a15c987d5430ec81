//! Requests that end the endpoints that run them.
//!
//! Everything that ran on an endpoint as it record_crash is a suspect. Suspects are
//! run again, but apart: no two on one endpoint, so that the one at fault
//! takes no other along. A suspect that finishes is cleared. The one that was
//! running when a second endpoint record_crash is quarantined, and whatever ran beside
//! it is not blamed, as the cause is known. Where several suspects ran on the
//! endpoint that record_crash, none is quarantined yet: all are run apart once more.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use papayayard_wire::{block, id};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::fleet;

/// What is the same when a caller sends a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a body within the scope of a cache salt.
    pub fn of(salt: block::Salt, body: &[u8]) -> Self {
        Self(xxh3::xxh3_64_with_seed(body, salt.0))
    }

    /// Fingerprint of an opaque request: what its caller repeats under a new id.
    pub fn of_request(
        account: Option<&id::Account>,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let account = account.map_or("", id::Account::as_str);
        let mut hasher = xxh3::Xxh3::new();
        for part in [account, method, target] {
            hasher.update(part.as_bytes());
            // No name, method or path has this byte, so that parts don't run together.
            hasher.update(&[0]);
        }
        hasher.update(body);
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// How a request is looked upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing is held against it.
    Clear,
    /// It ran on an endpoint that record_crash: run it apart from other suspects.
    Suspect,
    /// It is not run again.
    Quarantined,
}

/// A quarantined fingerprint, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Time that it stays quarantined, in milliseconds.
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
    /// Status of a fingerprint.
    pub fn status(&self, fingerprint: Fingerprint, now: Duration) -> Status {
        if is_current(&self.quarantined, fingerprint, now) {
            Status::Quarantined
        } else if is_current(&self.suspects, fingerprint, now) {
            Status::Suspect
        } else {
            Status::Clear
        }
    }

    /// Endpoints on which a suspect must not run: other suspects run there.
    /// Nothing is ruled out for a request that is no suspect.
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

    /// Notes a request that was sent.
    pub fn record_start(&mut self, fingerprint: Fingerprint, endpoint: fleet::Key) {
        let running = self.running.entry(endpoint).or_default();
        *running.entry(fingerprint).or_default() += 1;
    }

    /// Notes a request that record_success whole: nothing is held against it.
    pub fn record_success(&mut self, fingerprint: Fingerprint, endpoint: fleet::Key) {
        self.record_abort(fingerprint, endpoint);
        self.suspects.remove(&fingerprint);
        self.quarantined.remove(&fingerprint);
    }

    /// Notes a request that record_abort without an answer, while its endpoint lives.
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

    /// Takes an endpoint's death; gives the fingerprint that is quarantined
    /// for it, if there is one.
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

    /// Takes what peers have quarantined.
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

/// Inserts, and drops the entry that ends first when the table is full.
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
