//! Network paths from hosts to endpoints, judged by connection failures.
//!
//! A connection failure concerns a host and an endpoint together, and a scheduler that places the
//! requests of many hosts must not take one for the other. A failure counts against an endpoint
//! once the host that had it gets an answer from another endpoint, so that the host itself is
//! connected. A host that fails at several endpoints without an answer has probably lost its own
//! connection; what it reports then is not evidence about endpoints, and its requests are not
//! counted as load, since they do not arrive.
//!
//! A connection may also be accepted and then closed, so the same holds for requests that are cut
//! off or not answered, as long as any host is answered.
//!
//! It also holds for a host that fails at most of its connections while others fail at few: it
//! reaches some endpoints, and the others are not gone.
//!
//! A scheduler that places only its own host's requests has no other evidence, so a failure counts
//! at once and is withdrawn if the host turns out to be detached.

use std::collections::{HashMap, HashSet};
use std::mem;
use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::progress::Placed;
use super::query::BackendKey;
use super::reachability::Reachability;
use crate::ejection;

/// Endpoints at which a host fails without an answer in between from which its own connection is
/// in doubt.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Endpoints whose failures are kept for a host.
const MAX_FAILED_ENDPOINTS: usize = 8;
/// Time without an answer from which a doubtful host was detached. If this host is answered
/// earlier, it has met endpoints that are gone.
const MIN_DETACHED: Duration = Duration::from_millis(500);
/// Consecutive failures of an endpoint that one refused or unanswered connection counts for.
const UNREACHABLE_FAILURES: u32 = 2;
/// Connection failures at one endpoint that count between two answers.
const MAX_COUNTED: u32 = 2;
/// Time after an endpoint's last answer within which another host's connection failure is
/// attributed to that host's network path.
pub(super) const RECENT_ANSWER: Duration = Duration::from_millis(500);

/// The same for the answers of a zone and the failures of another host of the same zone.
const RECENT_ZONE_ANSWER: Duration = Duration::from_secs(1);
/// Age from which the failure of a connection that was accepted says nothing any more.
const MAX_FAILURE_AGE: Duration = Duration::from_secs(2);
/// Time after an answer to a host in doubt for which such hosts' requests probably arrive.
const REACHED_TIME: Duration = Duration::from_secs(2);
/// Time constant of the averages over recent connections.
const RECENT: Duration = Duration::from_secs(1);
/// Recent connections from which a host is compared with others.
const MIN_CONNECTIONS: f64 = 6.0;
/// Recent failures, and fraction of connections that fail, from which a host fails at most.
const MIN_FAILURES: f64 = 3.0;
const HIGH_FAILURE_FRACTION: f64 = 0.5;
/// Fraction of connections that fail up to which a host fails at few.
const LOW_FAILURE_FRACTION: f64 = 0.25;
/// Recent answers of a host whose last one was a time constant ago.
const MIN_ANSWERED: f64 = 0.36;
/// Fraction of hosts that have to fail at few, more than do so by chance.
const MIN_CONNECTED_HOSTS: f64 = 0.1;

/// Host that sends a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sender<'a> {
    /// `None` for this host.
    pub(super) host: Option<&'a id::Host>,
    pub(super) zone: &'a id::Zone,
}

/// Paths of all hosts whose requests a scheduler knows.
#[derive(Clone, Debug, Default)]
pub(super) struct Paths {
    /// Path of this host.
    local: Path,
    /// Paths of the hosts that have had a failure or an answer.
    hosts: HashMap<id::Host, Path>,
    /// Reachability as found by the connected hosts of a zone.
    zones: HashMap<id::Zone, ZonePath>,
}

/// Paths of the hosts of a zone.
#[derive(Clone, Debug, Default)]
struct ZonePath {
    reachability: Reachability,
    /// Time of the last answer, by zone of the endpoint.
    answered_at: HashMap<id::Zone, Duration>,
}

/// Paths of one host.
#[derive(Clone, Debug, Default)]
struct Path {
    /// Zone of the host; `None` before its first connection.
    zone: Option<id::Zone>,
    recent: Recent,
    reachability: Reachability,
    outage: Outage,
    /// Time of the answer with which the last detachment ended.
    reattached_at: Duration,
}

/// Numbers of recent connections.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    answered: f64,
    failed: f64,
    at: Duration,
}

/// Connection failures of a host since its last answer.
#[derive(Clone, Debug, Default)]
struct Outage {
    /// Time of the first failure.
    since: Duration,
    /// One entry for each of the first endpoints.
    failures: Vec<Failure>,
    /// Zones of all endpoints.
    zones: HashSet<id::Zone>,
}

/// Connection failures at one endpoint.
#[derive(Clone, Debug)]
struct Failure {
    backend: BackendKey,
    endpoint: id::Endpoint,
    zone: id::Zone,
    /// Time of the first and of the last failure.
    at: Duration,
    last: Duration,
    /// Failures that do not count against the endpoint yet.
    uncounted: Number,
    /// Failures that count until the host turns out to be detached.
    provisional: Number,
    /// Health without the provisional failures.
    health_before: Option<ejection::Health>,
}

/// Number of failures at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Number {
    /// Connections that could not be established.
    unreachable: u32,
    /// Requests that were cut off or not answered in time.
    unanswered: u32,
}

/// How a request has failed.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Unreachable,
    Unanswered,
}

impl Paths {
    /// Whether a host may have lost its connection to all or most endpoints.
    pub(super) fn is_doubtful(&self, host: Option<&id::Host>, now: Duration) -> bool {
        let path = self.path(host);
        path.is_some_and(|path| path.outage.is_doubtful()) || self.is_impaired(host, None, now)
    }

    /// Whether a failure at a host is explained by the host's own connection.
    pub(super) fn explains_failure(&self, placed: &Placed, now: Duration) -> bool {
        let host = placed.sender().host;
        let path = self.path(host);
        path.is_some_and(|path| placed.sent <= path.reattached_at) || self.is_doubtful(host, now)
    }

    /// Records that a connection has brought an answer.
    pub(super) fn record_answered(&mut self, sender: Sender<'_>, now: Duration) {
        let recent = &mut self.path_mut(sender).recent;
        recent.settle(now);
        recent.answered += 1.0;
    }

    /// Whether any host was answered lately.
    fn is_any_answered(&self, now: Duration) -> bool {
        let mut paths = self.hosts.values().chain([&self.local]);
        paths.any(|path| path.recent.at(now).answered >= MIN_ANSWERED)
    }

    /// Whether a host fails at most of its connections while other hosts, of a zone if one is
    /// given, fail at few.
    fn is_impaired(&self, host: Option<&id::Host>, zone: Option<&id::Zone>, now: Duration) -> bool {
        let fails = |path: &Path| path.recent.failure_fraction() >= HIGH_FAILURE_FRACTION;
        let path = self.path(host).filter(|path| fails(path));
        if path.is_none_or(|path| path.recent.at(now).failed < MIN_FAILURES) {
            return false;
        }
        let paths = self.hosts.values().chain([&self.local]);
        let compared = paths.filter(|path| {
            let is_of_zone = zone.is_none() || path.zone.as_ref() == zone;
            is_of_zone && path.recent.at(now).number() >= MIN_CONNECTIONS
        });
        let (mut hosts, mut connected) = (0.0, 0.0);
        for path in compared {
            hosts += 1.0;
            if path.recent.failure_fraction() <= LOW_FAILURE_FRACTION {
                connected += 1.0;
            }
        }
        connected > 0.0 && connected >= hosts * MIN_CONNECTED_HOSTS
    }

    /// Whether any zone is currently excluded for a host.
    pub(super) fn excludes_any(&self, sender: Sender<'_>, now: Duration) -> bool {
        self.reachability(sender)
            .any(|reachability| reachability.excludes_any(now))
    }

    /// Whether a zone is currently excluded for a host.
    pub(super) fn excludes(&self, sender: Sender<'_>, zone: &id::Zone, now: Duration) -> bool {
        self.reachability(sender)
            .any(|reachability| reachability.excludes(zone, now))
    }

    /// Removes the paths of hosts for which `is_known` is false.
    pub(super) fn forget_unknown<IsKnown>(&mut self, is_known: IsKnown)
    where
        IsKnown: Fn(&id::Host) -> bool,
    {
        self.hosts.retain(|host, _| is_known(host));
    }

    /// Reachability as found by a host itself and by the hosts of its zone.
    fn reachability(&self, sender: Sender<'_>) -> impl Iterator<Item = &Reachability> {
        let own = self.path(sender.host).map(|path| &path.reachability);
        let of_zone = self.zones.get(sender.zone);
        let of_zone = of_zone.map(|path| &path.reachability);
        own.into_iter().chain(of_zone)
    }

    /// Whether connections of a host or of its zone have failed since their last answer.
    fn has_failures(&self, sender: Sender<'_>) -> bool {
        let path = self.path(sender.host);
        let has_outage = path.is_some_and(|path| !path.outage.zones.is_empty());
        let mut reachability = self.reachability(sender);
        has_outage || reachability.any(Reachability::has_failures)
    }

    fn path(&self, host: Option<&id::Host>) -> Option<&Path> {
        host.map_or(Some(&self.local), |host| self.hosts.get(host))
    }

    fn path_mut(&mut self, sender: Sender<'_>) -> &mut Path {
        let path = match sender.host {
            None => &mut self.local,
            Some(host) => self.hosts.entry(host.clone()).or_default(),
        };
        if path.zone.as_ref() != Some(sender.zone) {
            path.zone = Some(sender.zone.clone());
        }
        path
    }

    /// Ends a host's outage with an answer from a zone, and returns the failures that say
    /// something of endpoints.
    fn reconnect(&mut self, sender: Sender<'_>, zone: &id::Zone, now: Duration) -> Vec<Failure> {
        let is_impaired = self.is_impaired(sender.host, None, now);
        let is_impaired_in_zone = self.is_impaired(sender.host, Some(sender.zone), now);
        let zone_path = self.zones.entry(sender.zone.clone()).or_default();
        zone_path.record_answer(zone, now);
        let path = self.path_mut(sender);
        path.reachability.record_answer(zone);
        let outage = mem::take(&mut path.outage);
        let was_detached = outage.was_detached(now);
        if was_detached && outage.zones.contains(zone) {
            path.reattached_at = now;
            // No zone answered, so the other zones did not fail for themselves.
            path.reachability = Reachability::default();
            return Vec::new();
        }
        let zone_path = self.zones.entry(sender.zone.clone()).or_default();
        if sender.host.is_some() && !is_impaired_in_zone {
            for failure in &outage.failures {
                zone_path.record_failure(failure, now);
            }
        }
        // Of other hosts there are enough failures that leave no doubt.
        let is_doubtful = sender.host.is_some() && outage.is_doubtful();
        if was_detached || is_doubtful || is_impaired {
            return Vec::new();
        }
        outage.failures
    }
}

impl ZonePath {
    /// Records the failure of a host that is connected to another zone, unless hosts of its zone
    /// were answered from there.
    fn record_failure(&mut self, failure: &Failure, now: Duration) {
        let answered_at = self.answered_at.get(&failure.zone);
        if answered_at.is_none_or(|at| *at + RECENT_ZONE_ANSWER <= failure.at) {
            self.reachability
                .record_failure(&failure.zone, &failure.endpoint, now);
        }
    }

    fn record_answer(&mut self, zone: &id::Zone, now: Duration) {
        self.reachability.record_answer(zone);
        match self.answered_at.get_mut(zone) {
            Some(at) => *at = now,
            None => {
                self.answered_at.insert(zone.clone(), now);
            }
        }
    }
}

impl Recent {
    fn at(self, now: Duration) -> Self {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let weight = (-elapsed / RECENT.as_secs_f64()).exp();
        Self {
            answered: self.answered * weight,
            failed: self.failed * weight,
            at: now,
        }
    }

    fn settle(&mut self, now: Duration) {
        *self = self.at(now);
    }

    fn number(self) -> f64 {
        self.answered + self.failed
    }

    /// Fraction of the connections that failed; 0 without connections.
    fn failure_fraction(self) -> f64 {
        self.failed / self.number().max(f64::MIN_POSITIVE)
    }
}

impl Outage {
    fn is_doubtful(&self) -> bool {
        self.failures.len() >= MIN_FAILED_ENDPOINTS
    }

    fn was_detached(&self, now: Duration) -> bool {
        self.is_doubtful() && self.since + MIN_DETACHED <= now
    }

    /// Records a failure at an endpoint, unless enough other endpoints have failed.
    fn record(&mut self, placed: &Placed, zone: &id::Zone, kind: Kind, now: Duration) {
        if self.zones.is_empty() {
            self.since = now;
        }
        self.zones.insert(zone.clone());
        if let Some(failure) = self.failure_at(placed.backend) {
            failure.uncounted.add(kind);
            failure.last = now;
        } else if self.failures.len() < MAX_FAILED_ENDPOINTS {
            let mut uncounted = Number::default();
            uncounted.add(kind);
            self.failures.push(Failure {
                backend: placed.backend,
                endpoint: placed.endpoint.clone(),
                zone: zone.clone(),
                at: now,
                last: now,
                uncounted,
                provisional: Number::default(),
                health_before: None,
            });
        }
    }

    fn failure_at(&mut self, backend: BackendKey) -> Option<&mut Failure> {
        let mut failures = self.failures.iter_mut();
        failures.find(|failure| failure.backend == backend)
    }

    /// Withdraws provisional failures; returns the endpoints' health without them.
    fn withdraw(&mut self) -> Vec<(BackendKey, ejection::Health)> {
        let failures = self.failures.iter_mut().filter_map(|failure| {
            let provisional = mem::take(&mut failure.provisional);
            failure.uncounted = failure.uncounted.plus(provisional);
            let health = failure.health_before.take()?;
            Some((failure.backend, health))
        });
        failures.collect()
    }
}

impl Failure {
    /// Counts the failures against the endpoint until they are withdrawn.
    fn count_provisionally(&mut self, health: &mut ejection::Health, now: Duration) {
        self.health_before.get_or_insert(*health);
        self.provisional = self.provisional.plus(self.uncounted);
        self.count(health, now);
    }

    /// Drops failures that answers of the endpoint refute, to whichever host, and those that are
    /// old. An answer that is not complete may still be cut off.
    fn refute(&mut self, answered_at: Duration, completed_at: Duration, now: Duration) {
        if self.at < answered_at + RECENT_ANSWER {
            self.uncounted.unreachable = 0;
        }
        if self.last <= completed_at || self.last + MAX_FAILURE_AGE <= now {
            self.uncounted.unanswered = 0;
        }
    }

    /// Counts the failures against the endpoint.
    fn count(&mut self, health: &mut ejection::Health, now: Duration) {
        for _ in 0..mem::take(&mut self.uncounted).consecutive() {
            health.record_failure(now);
        }
    }
}

impl Number {
    fn add(&mut self, kind: Kind) {
        match kind {
            Kind::Unreachable => self.unreachable = (self.unreachable + 1).min(MAX_COUNTED),
            Kind::Unanswered => self.unanswered = self.unanswered.saturating_add(1),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            unreachable: self.unreachable + other.unreachable,
            unanswered: self.unanswered.saturating_add(other.unanswered),
        }
    }

    /// Consecutive failures of an endpoint that these count for.
    const fn consecutive(self) -> u32 {
        self.unanswered
            .saturating_add(self.unreachable * UNREACHABLE_FAILURES)
    }
}

impl Scheduler {
    /// Records that the connection of a request failed.
    pub(super) fn record_unreachable(&mut self, placed: &Placed, now: Duration) {
        let Some(backend) = self.backends.get(placed.backend) else {
            return;
        };
        self.revisions.change_all();
        let path = self.paths.path_mut(placed.sender());
        path.recent.settle(now);
        path.recent.failed += 1.0;
        if placed.sent <= path.reattached_at {
            return;
        }
        let zone = &backend.endpoint.zone;
        path.reachability
            .record_failure(zone, &placed.endpoint, now);
        self.record_lost(placed, Kind::Unreachable, now);
    }

    /// Records a request that was cut off or not answered in time. A connection that is accepted
    /// and closed may be the fault of the host's network, too, and a detached host loses its open
    /// connections.
    pub(super) fn record_unanswered(&mut self, placed: &Placed, now: Duration) {
        self.revisions.change_all();
        let is_any_answered = self.paths.is_any_answered(now);
        let path = self.paths.path_mut(placed.sender());
        path.recent.settle(now);
        if !placed.has_begun {
            path.recent.failed += 1.0;
        }
        if placed.sent <= path.reattached_at {
            return;
        }
        if is_any_answered {
            self.record_lost(placed, Kind::Unanswered, now);
        } else if let Some(backend) = self.backends.get_mut(placed.backend) {
            // No host shows that the endpoints are well.
            backend.count_failures(placed.requesting_host.as_ref(), 1, now);
        }
    }

    /// Adds a failure to the outage of the host that had it.
    fn record_lost(&mut self, placed: &Placed, kind: Kind, now: Duration) {
        let sender = placed.sender();
        let is_only_sender = self.is_only_sender(sender);
        let is_impaired = self.paths.is_impaired(sender.host, None, now);
        let Some(backend) = self.backends.get_mut(placed.backend) else {
            return;
        };
        let path = self.paths.path_mut(sender);
        path.outage
            .record(placed, &backend.endpoint.zone, kind, now);
        if path.outage.is_doubtful() {
            for (backend, health) in path.outage.withdraw() {
                if let Some(backend) = self.backends.get_mut(backend) {
                    backend.health = health;
                }
            }
            return;
        }
        let Some(failure) = path.outage.failure_at(placed.backend) else {
            return;
        };
        let is_on_trial =
            backend.health.is_on_trial() && backend.answered_at + RECENT_ANSWER <= now;
        let number = failure.uncounted.consecutive();
        if is_only_sender {
            backend.usability.record_failure(sender.host, number, now);
            failure.count_provisionally(&mut backend.health, now);
        } else if is_on_trial && !is_impaired {
            // The next request would be sent there at once.
            backend.usability.record_failure(sender.host, number, now);
            failure.count(&mut backend.health, now);
        }
    }

    /// Records that an answer has arrived at a host.
    pub(super) fn record_connected(
        &mut self,
        sender: Sender<'_>,
        answering: BackendKey,
        now: Duration,
    ) {
        let is_only_sender = self.is_only_sender(sender);
        let is_doubtful = self.paths.is_doubtful(sender.host, now);
        let Some(backend) = self.backends.get_mut(answering) else {
            return;
        };
        backend.answered_at = now;
        backend.witnesses.record_answer(sender.host, now);
        if is_doubtful {
            backend.reached_in_doubt_at = Some(now);
        }
        if self.paths.has_failures(sender) {
            self.revisions.change_all();
        }
        let zone = &backend.endpoint.zone;
        for mut failure in self.paths.reconnect(sender, zone, now) {
            let Some(backend) = self.backends.get_mut(failure.backend) else {
                continue;
            };
            if !is_only_sender {
                failure.refute(backend.answered_at, backend.completed_at, now);
                if self.paths.excludes(sender, &failure.zone, now) {
                    failure.uncounted.unreachable = 0;
                }
            } else if failure.at < backend.answered_at {
                failure.uncounted = Number::default();
            }
            backend.count_failures(sender.host, failure.uncounted.consecutive(), now);
        }
    }

    /// Whether a request of a host probably arrives at an endpoint.
    pub(super) fn arrives(&self, sender: Sender<'_>, backend: BackendKey, now: Duration) -> bool {
        let reached_at = self.backends[backend].reached_in_doubt_at;
        reached_at.is_some_and(|at| now < at + REACHED_TIME)
            || !self.paths.is_doubtful(sender.host, now)
    }

    /// Whether this scheduler knows the requests of its own host only.
    fn is_only_sender(&self, sender: Sender<'_>) -> bool {
        sender.host.is_none() && !self.has_requesting_hosts()
    }
}

#[cfg(test)]
#[path = "path_test.rs"]
mod test;
