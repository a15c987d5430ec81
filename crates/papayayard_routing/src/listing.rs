//! The list of endpoints, folded from the records that they write.
//!
//! A record stands until its key is dropped. While the store of records is
//! away, records lapse there although their endpoints live, and are written
//! again soon after its return; so what is missing right after an outage is
//! kept for a moment before it counts as gone.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use crate::placement::Endpoint;

/// Time without a reading after which a missing record may be back soon.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time within which a lapsed record is written again.
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
    /// Notes a reading that the store was requested_at for at a time, before its
    /// records are taken over.
    pub fn record_read(&mut self, requested_at: Duration, now: Duration) {
        let outage = self
            .read_at
            .is_some_and(|at| at + OUTAGE_THRESHOLD < requested_at);
        if outage {
            self.grace_until = now + REWRITE_GRACE;
        }
        self.read_at = Some(requested_at);
    }

    /// Takes over a record; `false` where it says what was known.
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

    /// Takes over that a key has no record any more.
    pub fn remove_record(&mut self, id: &id::Endpoint, now: Duration) {
        if now >= self.grace_until {
            self.endpoints.remove(id);
        } else if let Some(listed) = self.endpoints.get_mut(id) {
            listed.expires_at.get_or_insert(self.grace_until);
        }
    }

    /// Drops every key that a whole reading did not show.
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

    /// The endpoints that count as there.
    pub fn endpoints(&mut self, now: Duration) -> Vec<Endpoint> {
        self.endpoints
            .retain(|_, listed| listed.expires_at.is_none_or(|at| now < at));
        let listed = self.endpoints.values();
        listed.map(|listed| listed.endpoint.clone()).collect()
    }
}
