//! Target versions of a model's weights, as set by operators.
//!
//! Requests should start on the newest version. An older version is allowed for a
//! bounded time after a newer one was set, so that endpoints can load it one after
//! another. After that, requests wait for endpoints with the newer version.
//!
//! A version that was there when a host first read may have been set at any time before. Until
//! another host tells its age, no older version is allowed.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Fraction of the bound that is used; the rest covers the delay between an
/// operator setting a version and this host reading it.
const USED_FRACTION: f64 = 0.9;

/// Target versions of one model, with the earliest known time of each; `None` if it may have been
/// set at any time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetVersions {
    versions: BTreeMap<u64, Option<Duration>>,
}

impl TargetVersions {
    /// Records a version that was set shortly before `at`, or at any time; `false` if that adds
    /// nothing to what is recorded. Hosts learn of a version at different times, of which the
    /// earliest counts.
    pub fn record(&mut self, version: u64, at: Option<Duration>) -> bool {
        let adds = match (self.versions.get(&version), at) {
            (None, _) | (Some(None), Some(_)) => true,
            (Some(Some(existing)), Some(at)) => at < *existing,
            (Some(_), None) => false,
        };
        if adds {
            self.versions.insert(version, at);
        }
        adds
    }

    /// Adds all versions of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (version, at) in &other.versions {
            self.record(*version, *at);
        }
    }

    /// The newest version and the earliest known time of it.
    pub fn newest(&self) -> Option<(u64, Option<Duration>)> {
        let (version, at) = self.versions.last_key_value()?;
        Some((*version, *at))
    }

    /// The earliest known time of a version.
    pub fn time(&self, version: u64) -> Option<Duration> {
        self.versions.get(&version).copied().flatten()
    }

    /// Time from which no request may start on `version`; `None` while no newer one is set.
    pub fn usable_until(&self, version: u64, bound: Duration) -> Option<Duration> {
        let newer = (Bound::Excluded(version), Bound::Unbounded);
        let times = self.versions.range(newer).map(|(_, at)| *at);
        let until = |at: Option<Duration>| {
            at.map_or(Duration::ZERO, |at| at + bound.mul_f64(USED_FRACTION))
        };
        times.map(until).min()
    }
}
