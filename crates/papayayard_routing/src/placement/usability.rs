//! Rules that keep requests from an endpoint, whatever the request, and their changes.
//!
//! A scheduler compares the rules that hold with those that held when it was last asked. Some of
//! them flip with each request; the changes that are logged are therefore few for each endpoint
//! and rule, while all are counted.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::backend::{Backend, truncate};
use super::query::Ticket;
use crate::rate::Rate;

/// Minimum time between two reported changes of a rule at an endpoint.
const PAUSE: Duration = Duration::from_secs(1);
/// The same for rules that may flip with each request.
const LONG_PAUSE: Duration = Duration::from_secs(10);

/// A rule that keeps requests from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// The endpoint is leaving, by the list or by an answer.
    Leaving,
    /// The endpoint loads weights.
    Loading,
    /// The endpoint has asked for a backoff.
    AskedBackoff,
    /// The endpoint has refused a request.
    RefusalBackoff,
    /// The limit on requests that the endpoint names.
    Limit,
    /// The limit on refusals that the endpoint, or another of its service, names.
    RefusalLimit,
    /// Requests have failed.
    Ejected,
    /// The endpoint was ejected, and takes few requests until it has answered some.
    Probing,
}

impl Rule {
    pub const ALL: [Self; 8] = [
        Self::Leaving,
        Self::Loading,
        Self::Ejected,
        Self::Probing,
        Self::AskedBackoff,
        Self::RefusalBackoff,
        Self::Limit,
        Self::RefusalLimit,
    ];

    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Loading => "loading",
            Self::AskedBackoff => "asked_backoff",
            Self::RefusalBackoff => "refusal_backoff",
            Self::Limit => "limit",
            Self::RefusalLimit => "refusal_limit",
            Self::Ejected => "ejected",
            Self::Probing => "probing",
        }
    }

    /// Minimum time between two reported changes.
    const fn pause(self) -> Duration {
        match self {
            Self::RefusalBackoff | Self::Limit | Self::RefusalLimit => LONG_PAUSE,
            Self::Leaving | Self::Loading | Self::AskedBackoff | Self::Ejected | Self::Probing => {
                PAUSE
            }
        }
    }
}

/// Who has told the scheduler something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reporter {
    /// This host.
    Own,
    Host(id::Host),
    /// A list of endpoints or of orders.
    List,
}

impl Reporter {
    fn of(host: Option<&id::Host>) -> Self {
        host.map_or(Self::Own, |host| Self::Host(host.clone()))
    }

    /// Name in logs.
    pub fn as_str(&self) -> &str {
        match self {
            Self::Own => "own",
            Self::Host(host) => host.as_str(),
            Self::List => "list",
        }
    }
}

/// What a rule goes by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Failures that were held against the endpoint since its last complete answer.
    pub failures: u32,
    /// Refusals since the last answer that was none.
    pub refusals: u32,
    /// Ejections since the endpoint was last healthy.
    pub ejections: u32,
    /// Requests of this scheduler that are open there.
    pub open: u32,
    /// Bound that the endpoint has named.
    pub rate: Option<Rate>,
    /// Time until the rule ends by itself.
    pub left: Option<Duration>,
    /// Who gave the newest input, if it is known.
    pub reporter: Option<Reporter>,
    /// Age of the newest input, if it is known.
    pub age: Option<Duration>,
}

/// A rule that holds at an endpoint from now on, or no longer.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub endpoint: id::Endpoint,
    pub service: id::Service,
    pub rule: Rule,
    pub holds: bool,
    /// Time for which the rule held, if it does no longer.
    pub held: Option<Duration>,
    /// Whether no rule keeps all requests away now.
    pub is_usable: bool,
    pub inputs: Inputs,
    /// Changes since the last reported one that are not reported.
    pub suppressed: u32,
}

/// Changes since the last look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// All changes, by rule and by whether it holds.
    pub counts: BTreeMap<(Rule, bool), u64>,
    /// Those that are to be logged.
    pub reported: Vec<Change>,
}

/// What is kept of the rules at an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Usability {
    /// Failures that were held against the endpoint since its last complete answer.
    failures: u32,
    failure: Option<Report>,
    refusal: Option<Report>,
    backoff: Option<Report>,
    leaving: Option<Reporter>,
    /// When the rules were last looked at.
    looked_at: Option<Duration>,
    tracks: [Track; Rule::ALL.len()],
}

#[derive(Clone, Debug)]
struct Report {
    by: Reporter,
    at: Duration,
}

/// A rule as it was last seen and reported.
#[derive(Clone, Copy, Debug, Default)]
struct Track {
    holds: bool,
    since: Duration,
    /// Time for which the rule held last.
    held: Duration,
    reported: bool,
    reported_at: Option<Duration>,
    /// Changes since the last report.
    flips: u32,
}

impl Report {
    fn new(host: Option<&id::Host>, now: Duration) -> Self {
        Self {
            by: Reporter::of(host),
            at: now,
        }
    }
}

impl Usability {
    /// Records failures that are held against the endpoint.
    pub(super) fn record_failure(&mut self, host: Option<&id::Host>, number: u32, now: Duration) {
        if number > 0 {
            self.failures = self.failures.saturating_add(number);
            self.failure = Some(Report::new(host, now));
        }
    }

    /// Records a complete answer.
    pub(super) const fn record_success(&mut self) {
        self.failures = 0;
    }

    pub(super) fn record_refusal(&mut self, host: Option<&id::Host>, now: Duration) {
        self.refusal = Some(Report::new(host, now));
    }
}

impl Track {
    /// Records what is seen now; returns whether it differs from what was seen before.
    const fn see(&mut self, holds: bool, now: Duration) -> bool {
        if holds == self.holds {
            return false;
        }
        self.holds = holds;
        self.flips = self.flips.saturating_add(1);
        if holds {
            self.since = now;
        } else {
            self.held = now.saturating_sub(self.since);
        }
        true
    }

    /// Returns the number of changes that are passed over if a change is to be reported now.
    fn report(&mut self, rule: Rule, now: Duration) -> Option<u32> {
        let is_due = self.reported_at.is_none_or(|at| at + rule.pause() <= now);
        if self.holds == self.reported || !is_due {
            return None;
        }
        self.reported = self.holds;
        self.reported_at = Some(now);
        let flips = std::mem::take(&mut self.flips);
        Some(flips.saturating_sub(1))
    }
}

impl Scheduler {
    /// Returns the changes of rules at endpoints since the last call. Rules that begin and end in
    /// between do not show, except for backoffs.
    pub fn usability_changes(&mut self, now: Duration) -> Changes {
        let mut changes = Changes::default();
        let keys: Vec<_> = self.backends.keys().collect();
        for key in keys {
            let backend = &self.backends[key];
            let seen = Rule::ALL.map(|rule| self.was_held(backend, rule, now));
            let holding = Rule::ALL.into_iter().zip(seen);
            let is_usable = holding
                .filter(|(rule, _)| *rule != Rule::Probing)
                .all(|(_, holds)| !holds);
            let mut due = Vec::new();
            let usability = &mut self.backends[key].usability;
            usability.looked_at = Some(now);
            let tracks = usability.tracks.iter_mut();
            for ((track, rule), holds) in tracks.zip(Rule::ALL).zip(seen) {
                if track.see(holds, now) {
                    *changes.counts.entry((rule, holds)).or_default() += 1;
                }
                if let Some(suppressed) = track.report(rule, now) {
                    due.push((rule, *track, suppressed));
                }
            }
            let backend = &self.backends[key];
            let reported = due.into_iter().map(|(rule, track, suppressed)| Change {
                endpoint: backend.endpoint.id.clone(),
                service: backend.endpoint.service.clone(),
                rule,
                holds: track.holds,
                held: (!track.holds).then_some(track.held),
                is_usable,
                inputs: self.inputs(backend, rule, now),
                suppressed,
            });
            changes.reported.extend(reported);
        }
        changes
    }

    /// The first rule that keeps requests from an endpoint now.
    pub(super) fn rule(&self, backend: &Backend, now: Duration) -> Option<Rule> {
        let mut rules = Rule::ALL.into_iter();
        rules.find(|rule| self.holds(backend, *rule, now))
    }

    fn holds(&self, backend: &Backend, rule: Rule, now: Duration) -> bool {
        match rule {
            Rule::Leaving => backend.is_leaving(),
            Rule::Loading => backend.loading.is_some_and(|loading| now < loading.until),
            Rule::AskedBackoff => now < backend.signals.backoff_until,
            Rule::RefusalBackoff => now < backend.refusal_backoff_until,
            Rule::Limit => !self.limits.permits_at(&backend.endpoint, now),
            Rule::RefusalLimit => !self.has_room(backend, now),
            Rule::Ejected => backend.health.is_ejected(now),
            Rule::Probing => !backend.health.is_ejected(now) && !backend.is_healthy(now),
        }
    }

    /// Whether a rule holds or, for short ones, has held since the last look.
    fn was_held(&self, backend: &Backend, rule: Rule, now: Duration) -> bool {
        let looked_at = backend.usability.looked_at.unwrap_or(now);
        match rule {
            Rule::AskedBackoff => looked_at < backend.signals.backoff_until,
            Rule::RefusalBackoff => looked_at < backend.refusal_backoff_until,
            Rule::Probing => backend.health.is_on_trial() && !backend.health.is_ejected(now),
            _ => self.holds(backend, rule, now),
        }
    }

    fn inputs(&self, backend: &Backend, rule: Rule, now: Duration) -> Inputs {
        let usability = &backend.usability;
        let endpoint = &backend.endpoint;
        let report = match rule {
            Rule::AskedBackoff => usability.backoff.as_ref(),
            Rule::RefusalBackoff => usability.refusal.as_ref(),
            Rule::Ejected | Rule::Probing => usability.failure.as_ref(),
            Rule::Leaving | Rule::Loading | Rule::Limit | Rule::RefusalLimit => None,
        };
        let reporter = match rule {
            Rule::Leaving if endpoint.leaving => Some(Reporter::List),
            Rule::Leaving => usability.leaving.clone(),
            Rule::Loading => Some(Reporter::List),
            _ => report.map(|report| report.by.clone()),
        };
        let named = match rule {
            Rule::Limit => self.limits.named(endpoint),
            Rule::RefusalLimit => {
                let entry = self.refusal_limits.get(endpoint);
                entry.map(|entry| (entry.limit.rate, entry.named_at))
            }
            _ => None,
        };
        let loading = backend.loading.filter(|_| rule == Rule::Loading);
        let at = report
            .map(|report| report.at)
            .or(named.map(|(_, at)| at))
            .or(loading.map(|loading| loading.since));
        let until = match rule {
            Rule::AskedBackoff => Some(backend.signals.backoff_until),
            Rule::RefusalBackoff => Some(backend.refusal_backoff_until),
            Rule::Ejected => backend.health.ejected_until(),
            Rule::Loading => loading.map(|loading| loading.until),
            Rule::Leaving | Rule::Limit | Rule::RefusalLimit | Rule::Probing => None,
        };
        Inputs {
            failures: usability.failures,
            refusals: backend.refusals,
            ejections: backend.health.ejections(),
            open: truncate(backend.load.local().open.round()),
            rate: named.map(|(rate, _)| rate),
            left: until.map(|until| until.saturating_sub(now)),
            reporter,
            age: at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Host whose request has a ticket, and the endpoint's state, unless the endpoint has
    /// restarted.
    fn reported(&mut self, ticket: Ticket) -> Option<(Option<id::Host>, &mut Usability)> {
        let placed = self.tickets.get(ticket)?;
        let (host, started) = (placed.requesting_host.clone(), placed.started);
        let backend = self.backends.get_mut(placed.backend)?;
        let is_same = backend.endpoint.started == started;
        is_same.then_some((host, &mut backend.usability))
    }

    /// Records who told of a backoff that an endpoint asks for.
    pub(super) fn note_backoff(&mut self, ticket: Ticket, now: Duration) {
        if let Some((host, usability)) = self.reported(ticket) {
            usability.backoff = Some(Report::new(host.as_ref(), now));
        }
    }

    /// Records who told that an endpoint is leaving.
    pub(super) fn note_leaving(&mut self, ticket: Ticket) {
        if let Some((host, usability)) = self.reported(ticket) {
            let by = Reporter::of(host.as_ref());
            usability.leaving.get_or_insert(by);
        }
    }
}
