//! Why endpoints were left out for a request that was refused.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use papayayard_wire::id;

use super::backend::Backend;
use super::query::{BackendKey, Query};
use super::select::{Bounds, Candidate};
use super::usability::Rule;
use super::{Scheduler, from_ms};

/// Endpoints that are named for each reason.
const MAX_NAMED: usize = 3;

/// Why an endpoint was left out for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// A rule that holds for all requests.
    Rule(Rule),
    /// The stream needs another version of the software.
    OtherSoftware,
    /// The request has failed there.
    Tried,
    /// The sending host does not reach the endpoint, or was asked for a backoff.
    Avoided,
    /// This scheduler has its share of connections there.
    Connections,
    /// The sending host does not reach the endpoint's zone.
    UnreachableZone,
    /// The endpoint's weights may no longer be used, or hardly until the request would start.
    OldWeights,
    /// The endpoint lacks a slot or memory.
    NoCapacity,
    /// The first event would come too late.
    Late,
    /// The request would keep more urgent ones waiting.
    KeptForUrgent,
    /// A reason that this release does not know.
    Unknown,
}

impl Reason {
    const OF_REQUESTS: [Self; 9] = [
        Self::OtherSoftware,
        Self::Tried,
        Self::Avoided,
        Self::Connections,
        Self::UnreachableZone,
        Self::OldWeights,
        Self::NoCapacity,
        Self::Late,
        Self::KeptForUrgent,
    ];

    /// Name in logs and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Rule(rule) => rule.as_str(),
            Self::OtherSoftware => "other_software",
            Self::Tried => "tried",
            Self::Avoided => "avoided",
            Self::Connections => "connections",
            Self::UnreachableZone => "unreachable_zone",
            Self::OldWeights => "old_weights",
            Self::NoCapacity => "no_capacity",
            Self::Late => "late",
            Self::KeptForUrgent => "kept_for_urgent",
            Self::Unknown => "unknown",
        }
    }

    /// Reason by its name.
    pub fn from_name(name: &str) -> Self {
        let mut all = Self::all();
        let found = all.find(|reason| reason.as_str() == name);
        found.unwrap_or(Self::Unknown)
    }

    /// All known reasons.
    pub fn all() -> impl Iterator<Item = Self> {
        let rules = Rule::ALL.into_iter().map(Self::Rule);
        rules.chain(Self::OF_REQUESTS)
    }
}

/// Endpoints that were left out for the same reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exclusion {
    pub reason: Reason,
    pub number: usize,
    /// The first few of them.
    pub endpoints: Vec<Excluded>,
}

/// An endpoint that was left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Excluded {
    pub endpoint: id::Endpoint,
    /// Expected time to the first event, if it was estimated.
    pub first_event: Option<Duration>,
}

impl fmt::Display for Exclusion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}={}(", self.reason.as_str(), self.number)?;
        for (index, excluded) in self.endpoints.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{}", excluded.endpoint)?;
            if let Some(first_event) = excluded.first_event {
                write!(formatter, ":{}ms", first_event.as_millis())?;
            }
        }
        let rest = if self.number > self.endpoints.len() {
            ",…"
        } else {
            ""
        };
        write!(formatter, "{rest})")
    }
}

/// Shortest time to the first event at each endpoint with capacity, in ms.
fn soonest(candidates: &[Candidate]) -> HashMap<BackendKey, f64> {
    let mut soonest = HashMap::new();
    for candidate in candidates {
        let first_event_ms = candidate.estimate.first_event_ms;
        let known = soonest.entry(candidate.key).or_insert(first_event_ms);
        *known = first_event_ms.min(*known);
    }
    soonest
}

impl Scheduler {
    /// Returns why each endpoint of the service is left out for a request.
    pub(super) fn exclusions(&self, query: &Query, draw: f64, now: Duration) -> Vec<Exclusion> {
        let available = self.available(query, now, |backend| backend.is_healthy(now));
        let usable: HashSet<BackendKey> = available.iter().map(|(key, _)| *key).collect();
        let soonest = soonest(&self.candidates(query, draw, available, now));
        let bounds = self.bounds(query, now);
        let mut exclusions: BTreeMap<Reason, Exclusion> = BTreeMap::new();
        for (key, backend) in &self.backends {
            if backend.endpoint.service != query.service {
                continue;
            }
            let first_event_ms = soonest.get(&key).copied();
            let general = self.general_reason(query, backend, now);
            let reason = general.unwrap_or_else(|| {
                if usable.contains(&key) {
                    self.late_reason(query, backend, &bounds, first_event_ms, now)
                } else {
                    Reason::UnreachableZone
                }
            });
            let exclusion = exclusions.entry(reason).or_insert_with(|| Exclusion {
                reason,
                number: 0,
                endpoints: Vec::new(),
            });
            exclusion.number += 1;
            if exclusion.endpoints.len() < MAX_NAMED {
                exclusion.endpoints.push(Excluded {
                    endpoint: backend.endpoint.id.clone(),
                    first_event: first_event_ms.map(from_ms),
                });
            }
        }
        exclusions.into_values().collect()
    }

    /// Reason that does not go by estimates and reachability.
    fn general_reason(&self, query: &Query, backend: &Backend, now: Duration) -> Option<Reason> {
        let endpoint = &backend.endpoint;
        if !query.fits(endpoint) {
            return Some(Reason::OtherSoftware);
        }
        if query.tried.contains(&endpoint.id) {
            return Some(Reason::Tried);
        }
        let rule = self.rule(backend, now).map(Reason::Rule);
        if rule.is_none() && query.avoided.contains(&endpoint.id) {
            return Some(Reason::Avoided);
        }
        let has_connection = backend.load.local().open + 1.0 <= self.connections(query);
        rule.or_else(|| (!has_connection).then_some(Reason::Connections))
    }

    /// Reason at an endpoint to which the request could be sent.
    fn late_reason(
        &self,
        query: &Query,
        backend: &Backend,
        bounds: &Bounds,
        first_event_ms: Option<f64>,
        now: Duration,
    ) -> Reason {
        let Some(first_event_ms) = first_event_ms else {
            let has_weights = query.prompt.as_ref().is_none_or(|prompt| {
                self.begins_in_time(backend, prompt, query.target_latency, now)
            });
            return if has_weights {
                Reason::NoCapacity
            } else {
                Reason::OldWeights
            };
        };
        if bounds.is_late(first_event_ms) {
            Reason::Late
        } else {
            Reason::KeptForUrgent
        }
    }
}
