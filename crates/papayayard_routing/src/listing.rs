//! The list of endpoints, built from the records that they write.
//!
//! A record is valid until its key is removed. While the record store is
//! unavailable, records expire there although their endpoints are alive, and are
//! rewritten soon after its return. Records that are missing right after an
//! outage are therefore kept for a short grace period.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use crate::placement::Endpoint;

/// Time without a read that counts as an outage of the store.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time within which an expired record is rewritten after an outage.
const REWRITE_GRACE: Duration = Duration::from_millis(1800);

/// Records of endpoints, by their keys.
#[derive(Debug, Default)]
pub struct Listing {
    endpoints: HashMap<id::Endpoint, Listed>,
    read_at: Option<Duration>,
    grace_until: Duration,
}

#[derive(Debug)]
struct Listed {
    endpoint: Endpoint,
    expires_at: Option<Duration>,
}

impl Listing {
    /// Records a read of the store that was requested at `requested_at`. Call before
    /// the records of the read are applied.
    pub fn record_read(&mut self, requested_at: Duration, now: Duration) {
        let outage = self
            .read_at
            .is_some_and(|at| at + OUTAGE_THRESHOLD < requested_at);
        if outage {
            self.grace_until = now + REWRITE_GRACE;
        }
        self.read_at = Some(requested_at);
    }

    /// Applies a record; `false` if it is unchanged.
    pub fn put(&mut self, endpoint: Endpoint) -> bool {
        let known = self.endpoints.get(&endpoint.id);
        let is_changed =
            known.is_none_or(|known| known.expires_at.is_some() || known.endpoint != endpoint);
        let listed = Listed {
            endpoint,
            expires_at: None,
        };
        self.endpoints.insert(listed.endpoint.id.clone(), listed);
        is_changed
    }

    /// Removes the record of an endpoint, after the grace period of an outage.
    pub fn remove_record(&mut self, id: &id::Endpoint, now: Duration) {
        if now >= self.grace_until {
            self.endpoints.remove(id);
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
        self.endpoints
            .retain(|_, listed| listed.expires_at.is_none_or(|at| now < at));
        let listed = self.endpoints.values();
        listed.map(|listed| listed.endpoint.clone()).collect()
    }
}
