//! Bounds that endpoints name in their answers and mean for all hosts together.
//!
//! A stricter bound applies at once. Answers can overtake one another, so that a bound is raised
//! or withdrawn only by an answer to a request that was placed after the bound was last named.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use super::backend::Endpoint;
use crate::rate::Rate;

/// Time for which the bound of an endpoint that is not listed is kept: its record may lapse and
/// come back.
const UNLISTED_TIMEOUT: Duration = Duration::from_mins(2);
/// Age of a bound that another host's list may withdraw: that host may not have heard of a
/// newer one.
const LIST_LAG: Duration = Duration::from_millis(500);

/// A bound that an endpoint has named.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    pub endpoint: id::Endpoint,
    /// Start of the endpoint's process.
    pub started: id::Incarnation,
    pub service: id::Service,
    pub rate: Rate,
}

/// A bound and what this scheduler keeps for it.
#[derive(Clone, Debug)]
pub(super) struct Entry<State> {
    pub(super) limit: Limit,
    pub(super) zone: id::Zone,
    /// When an answer or a list last named the bound.
    pub(super) named_at: Duration,
    pub(super) state: State,
}

impl<State> Entry<State> {
    pub(super) fn is_of(&self, endpoint: &Endpoint) -> bool {
        self.limit.started == endpoint.started
    }
}

/// Bounds of one kind, by endpoint.
#[derive(Clone, Debug)]
pub(super) struct Bounds<State>(HashMap<id::Endpoint, Entry<State>>);

impl<State> Default for Bounds<State> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<State> Bounds<State> {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether an endpoint of a service has named a bound.
    pub(super) fn has(&self, service: &id::Service) -> bool {
        self.0.values().any(|entry| entry.limit.service == *service)
    }

    pub(super) fn get(&self, endpoint: &Endpoint) -> Option<&Entry<State>> {
        let entry = self.0.get(&endpoint.id)?;
        Some(entry).filter(|entry| entry.is_of(endpoint))
    }

    /// The bound of a run of an endpoint, which may not be listed.
    pub(super) fn get_mut(
        &mut self,
        endpoint: &id::Endpoint,
        started: id::Incarnation,
    ) -> Option<&mut Entry<State>> {
        let entry = self.0.get_mut(endpoint)?;
        Some(entry).filter(|entry| entry.limit.started == started)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Entry<State>> {
        self.0.values()
    }

    /// Updates each state with the fraction of a zone's bounds that this scheduler may use.
    pub(super) fn refill<Share, Refill>(&mut self, share_of: Share, refill: Refill)
    where
        Share: Fn(&id::Zone) -> f64,
        Refill: Fn(&mut Entry<State>, f64),
    {
        let mut shares: HashMap<id::Zone, f64> = HashMap::new();
        for entry in self.0.values_mut() {
            let share = shares.entry(entry.zone.clone());
            let share = share.or_insert_with_key(&share_of);
            refill(entry, *share);
        }
    }

    /// Removes old bounds of endpoints for which `is_listed` is false.
    pub(super) fn forget_unlisted<IsListed>(&mut self, is_listed: IsListed, now: Duration)
    where
        IsListed: Fn(&id::Endpoint) -> bool,
    {
        self.0
            .retain(|id, entry| now < entry.named_at + UNLISTED_TIMEOUT || is_listed(id));
    }

    /// Applies what the answer to a request placed at `placed_at` states. `create` returns the
    /// state of a bound that was not known.
    pub(super) fn observe<Create>(
        &mut self,
        endpoint: &Endpoint,
        stated: Option<Rate>,
        (placed_at, now): (Duration, Duration),
        create: Create,
    ) where
        Create: FnOnce() -> State,
    {
        let known = self.get(endpoint);
        let is_newer = known.is_none_or(|known| known.named_at <= placed_at);
        match stated {
            Some(rate) if is_newer || known.is_some_and(|known| rate <= known.limit.rate) => {
                self.set(endpoint, rate, now, create);
            }
            None if is_newer => {
                self.0.remove(&endpoint.id);
            }
            Some(_) | None => {}
        }
    }

    /// Applies the list of all bounds that the dispatcher of this host knew at `listed_at`;
    /// `find` returns a listed endpoint.
    pub(super) fn replace<'a, Find, Create>(
        &mut self,
        list: &[Limit],
        (listed_at, now): (Duration, Duration),
        find: Find,
        create: Create,
    ) where
        Find: Fn(&id::Endpoint) -> Option<&'a Endpoint>,
        Create: Fn(&Endpoint) -> State,
    {
        for limit in list {
            let endpoint = find(&limit.endpoint);
            let Some(endpoint) = endpoint.filter(|endpoint| endpoint.started == limit.started)
            else {
                continue;
            };
            let known = self.get(endpoint);
            if known.is_none_or(|known| known.named_at <= listed_at) {
                self.set(endpoint, limit.rate, now, || create(endpoint));
            }
        }
        self.0.retain(|id, entry| {
            let is_listed = list.iter().any(|limit| limit.endpoint == *id);
            is_listed || entry.named_at + LIST_LAG > listed_at
        });
    }

    /// Bounds of all endpoints that `find` returns, in the order of their names.
    pub(super) fn list<'a, Find>(&self, find: Find) -> Vec<Limit>
    where
        Find: Fn(&id::Endpoint) -> Option<&'a Endpoint>,
    {
        let entries = self.0.values().filter(|entry| {
            let listed = find(&entry.limit.endpoint);
            listed.is_some_and(|endpoint| entry.is_of(endpoint))
        });
        let mut limits: Vec<Limit> = entries.map(|entry| entry.limit.clone()).collect();
        limits.sort_unstable_by(|a, b| a.endpoint.as_str().cmp(b.endpoint.as_str()));
        limits
    }

    fn set<Create>(&mut self, endpoint: &Endpoint, rate: Rate, now: Duration, create: Create)
    where
        Create: FnOnce() -> State,
    {
        if let Some(entry) = self.get_mut(&endpoint.id, endpoint.started) {
            entry.limit.rate = rate;
            entry.named_at = now;
            return;
        }
        let entry = Entry {
            limit: Limit {
                endpoint: endpoint.id.clone(),
                started: endpoint.started,
                service: endpoint.service.clone(),
                rate,
            },
            zone: endpoint.zone.clone(),
            named_at: now,
            state: create(),
        };
        self.0.insert(endpoint.id.clone(), entry);
    }
}
