//! Which waiting requests need another attempt to place them.
//!
//! A request that cannot be placed is evaluated again only after a change at the endpoints of its
//! service, or at a time at which a rule or an estimate may have changed by itself.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use super::reservation::Digest;

/// Counters of changes that may give a place to waiting requests.
#[derive(Debug, Default)]
pub(super) struct Revisions {
    all: u64,
    by_service: HashMap<id::Service, u64>,
    total: u64,
}

impl Revisions {
    /// Counts a change at a service.
    pub(super) fn change(&mut self, service: &id::Service) {
        self.total += 1;
        match self.by_service.get_mut(service) {
            Some(count) => *count += 1,
            None => {
                self.by_service.insert(service.clone(), 1);
            }
        }
    }

    /// Counts a change at all services.
    pub(super) const fn change_all(&mut self) {
        self.total += 1;
        self.all += 1;
    }

    /// Number of changes at a service.
    pub(super) fn of(&self, service: &id::Service) -> u64 {
        let of_service = self.by_service.get(service).copied();
        self.all + of_service.unwrap_or(0)
    }

    /// Number of changes.
    pub(super) const fn total(&self) -> u64 {
        self.total
    }
}

/// An attempt that found no place.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Number of changes at that time.
    pub(super) revision: u64,
    /// Room that was held for other requests.
    pub(super) reserved: Digest,
    pub(super) at: Duration,
    /// Time from which another attempt may find a place without a change.
    pub(super) until: Duration,
}

impl Attempt {
    /// Whether another attempt would find no place either.
    pub(super) fn holds(&self, revision: u64, reserved: Digest, now: Duration) -> bool {
        let is_foreseen = self.at <= now && now < self.until;
        let is_unchanged = revision == self.revision && reserved == self.reserved;
        is_unchanged && (now == self.at || is_foreseen)
    }
}
