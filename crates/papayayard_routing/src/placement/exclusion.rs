//! Why endpoints were left out for a request that was refused.

use std::fmt;
use std::time::Duration;

use papayayard_wire::id;

use super::backend::Backend;
use super::evaluation::Evaluation;
use super::request::Request;
use super::roster::{Entry, Roster};
use super::usability::Rule;
use super::{Scheduler, from_ms};

/// Endpoints that are named for each reason.
pub(super) const MAX_NAMED: usize = 3;

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

/// Endpoints by reason.
#[derive(Clone, Default)]
pub(super) struct Exclusions {
    all: Vec<Exclusion>,
    /// Index of the last reason, which most endpoints share with the one before.
    last: usize,
}

impl Exclusions {
    pub(super) fn add(&mut self, reason: Reason, entry: &Entry, first_event_ms: f64) {
        let last = self.all.get(self.last);
        if last.is_none_or(|last| last.reason != reason) {
            self.last = self.index(reason);
        }
        let exclusion = &mut self.all[self.last];
        exclusion.number += 1;
        if exclusion.endpoints.len() < MAX_NAMED {
            let is_known = first_event_ms.is_finite();
            exclusion.endpoints.push(Excluded {
                endpoint: entry.id.clone(),
                first_event: is_known.then(|| from_ms(first_event_ms)),
            });
        }
    }

    fn index(&mut self, reason: Reason) -> usize {
        let known = self.all.iter().position(|known| known.reason == reason);
        known.unwrap_or_else(|| {
            self.all.push(Exclusion {
                reason,
                number: 0,
                endpoints: Vec::with_capacity(MAX_NAMED),
            });
            self.all.len() - 1
        })
    }

    /// In the order of the reasons.
    fn into_sorted(mut self) -> Vec<Exclusion> {
        self.all.sort_unstable_by_key(|exclusion| exclusion.reason);
        self.all
    }
}

impl Scheduler {
    /// Returns why each endpoint of the service is left out for a request.
    pub(super) fn exclusions(
        &self,
        request: &Request<'_>,
        roster: &mut Roster,
        evaluation: &Evaluation,
    ) -> Vec<Exclusion> {
        roster.find_reasons(self, request.now);
        let takes_any = request.query.takes_any();
        let general = roster.exclusions.as_ref().filter(|_| takes_any);
        let mut exclusions = general.cloned().unwrap_or_default();
        for (index, entry) in roster.entries.iter().enumerate() {
            let mut reason = roster.reasons[index];
            if takes_any && reason.is_some() {
                continue;
            }
            if !takes_any {
                reason = self.reason(request, entry, reason);
            }
            let first_event_ms = evaluation.first_event_ms[index];
            let reason = reason.unwrap_or_else(|| {
                if evaluation.is_usable[index] {
                    late_reason(request, roster, entry, first_event_ms)
                } else {
                    Reason::UnreachableZone
                }
            });
            exclusions.add(reason, entry, first_event_ms);
        }
        exclusions.into_sorted()
    }

    /// Reason that does not go by the request.
    pub(super) fn general_reason(&self, backend: &Backend, now: Duration) -> Option<Reason> {
        let rule = self.rule(backend, now).map(Reason::Rule);
        let connections = self.connections(&backend.endpoint.service);
        let has_connection = backend.load.local().open + 1.0 <= connections;
        rule.or_else(|| (!has_connection).then_some(Reason::Connections))
    }

    /// Reason that does not go by estimates and reachability, where `general` does not go by the
    /// request.
    fn reason(
        &self,
        request: &Request<'_>,
        entry: &Entry,
        general: Option<Reason>,
    ) -> Option<Reason> {
        let query = request.query;
        if !query.fits(&self.backends[entry.key].endpoint) {
            return Some(Reason::OtherSoftware);
        }
        if query.tried.contains(&entry.id) {
            return Some(Reason::Tried);
        }
        let is_rule = matches!(general, Some(Reason::Rule(_)));
        if !is_rule && query.avoided.contains(&entry.id) {
            return Some(Reason::Avoided);
        }
        general
    }
}

/// Reason at an endpoint to which the request could be sent.
fn late_reason(
    request: &Request<'_>,
    roster: &Roster,
    entry: &Entry,
    first_event_ms: f64,
) -> Reason {
    if !first_event_ms.is_finite() {
        let version = &roster.versions[entry.version];
        let needed = request.query.target_latency;
        return if version.begins_in_time(needed, request.now) {
            Reason::NoCapacity
        } else {
            Reason::OldWeights
        };
    }
    if request.bounds.is_late(first_event_ms) {
        Reason::Late
    } else {
        Reason::KeptForUrgent
    }
}
