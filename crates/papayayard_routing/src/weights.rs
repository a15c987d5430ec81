//! Target versions of a model's weights, as set by operators.
//!
//! Requests should start on the newest version. An older version is allowed for a
//! bounded time after a newer one was set, so that endpoints can load it one after
//! another. After that, requests wait for endpoints with the newer version.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Fraction of the bound that is used; the rest covers the delay between an
/// operator setting a version and this host reading it.
const USED_FRACTION: f64 = 0.9;

/// Target versions of one model, with the earliest known time of each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetVersions {
    versions: BTreeMap<u64, Duration>,
}

impl TargetVersions {
    /// Records a version that was set at `at` or before; `false` if this or an earlier
    /// time is already recorded. A host that has just started receives the earlier
    /// time from other hosts, as its own read of the version came later.
    pub fn record(&mut self, version: u64, at: Duration) -> bool {
        let existing = self.versions.get(&version);
        if existing.is_some_and(|existing| *existing <= at) {
            return false;
        }
        self.versions.insert(version, at);
        true
    }

    /// Adds all versions of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (version, at) in &other.versions {
            self.record(*version, *at);
        }
    }

    /// The newest version and the earliest known time of it.
    pub fn newest(&self) -> Option<(u64, Duration)> {
        let (version, at) = self.versions.last_key_value()?;
        Some((*version, *at))
    }

    /// Time from which no request may start on `version`; `None` while no newer one is set.
    pub fn usable_until(&self, version: u64, bound: Duration) -> Option<Duration> {
        let newer = (Bound::Excluded(version), Bound::Unbounded);
        let first = self.versions.range(newer).map(|(_, at)| *at).min()?;
        Some(first + bound.mul_f64(USED_FRACTION))
    }
}
