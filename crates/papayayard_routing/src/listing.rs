//! The list of endpoints, built from the records that they write.
//!
//! A record is valid until its key is removed. While the record store is
//! unavailable, records expire there although their endpoints are alive, and are
//! rewritten soon after its return. Records that are missing right after an
//! outage are therefore kept for a short grace period.
//!
//! The store can also return from an older copy, which begins a new era. The copy
//! lacks newer records and contains older ones: of endpoints that have left since,
//! and of some that have announced it. Within an era the store decides which record
//! is newer. What is known from another era stays until an endpoint's record is newer
//! by its start and its heartbeats.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;
use papayayard_wire::log::Era;

use crate::placement::Endpoint;

/// Time without a read that counts as an outage of the store, if it may have been one.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time within which an expired record is rewritten after an outage.
const REWRITE_GRACE: Duration = Duration::from_millis(1800);
/// Time for which removed endpoints are remembered, in case the store returns from a
/// copy that still lists them.
const REMOVED_RETENTION: Duration = Duration::from_mins(10);

/// Record of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    pub endpoint: Endpoint,
    /// Number of the endpoint's heartbeat, counted from its start.
    pub heartbeat: u64,
}

/// Effect of a record on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    Changed,
    Unchanged,
    /// None, since a newer record is known.
    Outdated,
}

/// A read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    pub era: Era,
    pub requested_at: Duration,
    /// Whether the store may have been unavailable since the read before. A gap between reads
    /// alone does not show that.
    pub may_follow_outage: bool,
}

/// Records of endpoints, by their keys.
#[derive(Debug, Default)]
pub struct Listing {
    endpoints: HashMap<id::Endpoint, Listed>,
    /// Endpoints that were removed lately.
    removed: HashMap<id::Endpoint, Removed>,
    read_at: Option<Duration>,
    /// Era of the newest read.
    era: Option<Era>,
    grace_until: Duration,
}

#[derive(Debug)]
struct Listed {
    endpoint: Endpoint,
    age: Age,
    /// Era in which the record was read.
    era: Option<Era>,
    expires_at: Option<Duration>,
}

#[derive(Debug)]
struct Removed {
    age: Age,
    era: Option<Era>,
    at: Duration,
}

/// Orders the records of one endpoint across eras.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Age {
    // Compared first.
    started: id::Incarnation,
    heartbeat: u64,
}

impl Listing {
    /// Records a read of the store. Call before its records are applied.
    pub fn record_read(&mut self, read: Read, now: Duration) {
        let Read {
            era,
            requested_at,
            may_follow_outage,
        } = read;
        let is_restored = self.era.is_some_and(|before| before != era);
        let is_late = self
            .read_at
            .is_some_and(|at| at + OUTAGE_THRESHOLD < requested_at);
        let is_outage = is_late && may_follow_outage;
        if is_outage || is_restored {
            self.grace_until = now + REWRITE_GRACE;
        }
        self.era = Some(era);
        self.read_at = Some(requested_at);
    }

    /// Applies a record.
    pub fn put(&mut self, registration: Registration) -> Put {
        let Registration {
            endpoint,
            heartbeat,
        } = registration;
        let age = Age {
            started: endpoint.started,
            heartbeat,
        };
        let id = endpoint.id.clone();
        if let Some(known) = self.endpoints.get_mut(&id)
            && known.era != self.era
            && age < known.age
        {
            known.expires_at = None;
            return Put::Outdated;
        }
        if let Some(removed) = self.removed.get(&id)
            && removed.era != self.era
            && age <= removed.age
        {
            return Put::Outdated;
        }
        self.removed.remove(&id);
        let known = self.endpoints.get(&id);
        let is_changed =
            known.is_none_or(|known| known.expires_at.is_some() || known.endpoint != endpoint);
        let listed = Listed {
            endpoint,
            age,
            era: self.era,
            expires_at: None,
        };
        self.endpoints.insert(id, listed);
        if is_changed {
            Put::Changed
        } else {
            Put::Unchanged
        }
    }

    /// Removes the record of an endpoint, after the grace period of an outage.
    pub fn remove_record(&mut self, id: &id::Endpoint, now: Duration) {
        if now >= self.grace_until {
            self.remove(id, now);
        } else if let Some(listed) = self.endpoints.get_mut(id) {
            listed.expires_at.get_or_insert(self.grace_until);
        }
    }

    /// Removes each record that a complete read did not contain.
    pub fn remove_missing<IsPresent>(&mut self, is_present: IsPresent, now: Duration)
    where
        IsPresent: Fn(&id::Endpoint) -> bool,
    {
        let missing: Vec<id::Endpoint> = self
            .endpoints
            .keys()
            .filter(|id| !is_present(id))
            .cloned()
            .collect();
        for id in &missing {
            self.remove_record(id, now);
        }
    }

    /// The endpoints that are currently listed, including those in their grace period.
    pub fn endpoints(&mut self, now: Duration) -> Vec<Endpoint> {
        let is_expired = |listed: &Listed| listed.expires_at.is_some_and(|at| at <= now);
        let listed = self.endpoints.iter();
        let expired: Vec<id::Endpoint> = listed
            .filter(|(_, listed)| is_expired(listed))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(id, now);
        }
        self.removed
            .retain(|_, removed| now < removed.at + REMOVED_RETENTION);
        let listed = self.endpoints.values();
        listed.map(|listed| listed.endpoint.clone()).collect()
    }

    fn remove(&mut self, id: &id::Endpoint, now: Duration) {
        let Some(listed) = self.endpoints.remove(id) else {
            return;
        };
        let removed = Removed {
            age: listed.age,
            era: self.era,
            at: now,
        };
        self.removed.insert(id.clone(), removed);
    }
}
