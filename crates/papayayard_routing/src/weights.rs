//! Versions of a model's weights that operators have named.
//!
//! Requests should begin on the newest version. An older one is allowed for a
//! bounded time after a newer one was named, so that endpoints can load it in
//! turns; after that requests wait for endpoints that have it.

use std::collections::BTreeMap;
use std::time::Duration;

/// Part of the bound that is used; the rest covers what passes between an
/// operator's naming and this host's reading of it.
const USED_FRACTION: f64 = 0.9;

/// TargetVersions versions of one model, with the time each was learnt of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetVersions {
    versions: BTreeMap<u64, Duration>,
}

impl TargetVersions {
    /// Takes over a version that was named at a time or before; `false` where
    /// that was existing. A host that has just started learns of the time from
    /// others, for its own reading came later.
    pub fn record(&mut self, version: u64, at: Duration) -> bool {
        let existing = self.versions.get(&version);
        if existing.is_some_and(|existing| *existing <= at) {
            return false;
        }
        self.versions.insert(version, at);
        true
    }

    /// Takes over all that another has.
    pub fn merge(&mut self, other: &Self) {
        for (version, at) in &other.versions {
            self.record(*version, *at);
        }
    }

    /// The newest version and the time it was learnt of.
    pub fn newest(&self) -> Option<(u64, Duration)> {
        let (version, at) = self.versions.last_key_value()?;
        Some((*version, *at))
    }

    /// The oldest version that a request may begin on now.
    pub fn oldest_allowed(&self, bound: Duration, now: Duration) -> u64 {
        let bound = bound.mul_f64(USED_FRACTION);
        let newest_due = self
            .versions
            .iter()
            .rev()
            .find(|(_, at)| **at + bound <= now);
        newest_due.map_or(0, |(version, _)| *version)
    }
}
