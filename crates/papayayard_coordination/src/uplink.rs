//! Decides whether a host is detached: whether new connections bring it answers of no endpoint.
//!
//! A host loses its way to one endpoint when the endpoint crashes, and to all of them when its
//! own network fails. Failures at several distinct endpoints, with no success in between, make
//! the host suspect the second case. New connections may fail while open ones go on, and may be
//! accepted before they fail. So an answer speaks for the time at which its connection was opened:
//! failures of new connections count until an answer arrives on one that was opened after them,
//! and all failures together, those of connections that had answered among them, until any answer.
//!
//! Suspicion is verified at once by probes, which ask for something small on a new connection.
//! They go to endpoints of several zones, first to those that have not failed, so that several
//! crashed endpoints detach no host. Any answer ends the suspicion, and the host is detached only
//! if all probes fail. A detached host probes a few endpoints at a time until one answers. Without
//! failures there are no probes.
//!
//! On a congested network all probes may fail, too. Along with them the host therefore connects
//! to other hosts, and is detached only if these can be reached meanwhile: others could not serve
//! its callers, and would only get more work.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

/// Distinct endpoints that must have failed before a host suspects its own network.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Failures that make a host suspect its network although fewer endpoints have failed: requests
/// may go to the same few again and again.
const MIN_FAILURES: u32 = 4;
/// Distinct endpoints among these; a single one may be down.
const MIN_REPEATED_ENDPOINTS: usize = 2;
/// Endpoints probed at once to verify a suspicion.
const VERIFICATION_PROBES: usize = 4;
/// Endpoints whose probes must have failed before a host is detached.
const MIN_FAILED_PROBES: usize = 8;
/// Endpoints probed at once while the host is detached.
const RECOVERY_PROBES: usize = 2;
/// Interval between the probes of a detached host: the minimum, and the range above it. It
/// varies, so that probes do not keep meeting the same phase of a link that flaps.
const MIN_RECOVERY_INTERVAL_MS: u64 = 300;
const RECOVERY_INTERVAL_RANGE_MS: u64 = 200;
/// Minimum time between a success and the next verification.
const VERIFICATION_GAP: Duration = Duration::from_secs(1);

/// An endpoint that can be probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub endpoint: id::Endpoint,
    pub zone: id::Zone,
}

/// What a request has shown about the way to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// No connection could be established.
    Unreachable,
    /// The endpoint has answered, on a connection opened at this time.
    Answered { opened: Duration },
    /// The connection was reset before the head of an answer, or no answer came in time.
    Silent {
        /// Whether the connection had transmitted no answer before.
        is_new: bool,
    },
}

/// A question to be asked on a new connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    pub endpoint: id::Endpoint,
    /// Number of the round of probes.
    round: u64,
}

/// What a host does at once to find out whether it is detached.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    pub probes: Vec<Probe>,
    /// Whether to connect to other hosts as well, for comparison.
    pub compares: bool,
}

/// Outcome of connections to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    Reached,
    Unreachable,
    /// There is no other host.
    Alone,
}

/// Change of the host's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Detached {
        /// Endpoints that have failed, sorted.
        failed: Vec<id::Endpoint>,
        /// Number of probes that verified it.
        probes: u32,
    },
    Attached {
        /// Time for which the host was detached.
        after: Duration,
        /// Number of probes in that time.
        probes: u32,
    },
}

/// One host's view of its way to the endpoints.
#[derive(Clone, Debug)]
pub struct Uplink {
    /// Makes hosts probe different endpoints.
    seed: u64,
    targets: Vec<Target>,
    /// Failures of new connections since an answer on one that was opened after them.
    new: Failures,
    /// All failures since an answer.
    failed: Failures,
    /// Time of the first of the failures of new connections, or of the suspicion since: answers
    /// on older connections say nothing of new ones.
    failing_since: Option<Duration>,
    /// Time of the last failure of endpoints without a success since.
    failed_at: HashMap<id::Endpoint, Duration>,
    state: State,
    /// Time before which no suspicion is verified.
    verify_after: Duration,
    round: u64,
    /// Probes of the current round without an outcome.
    open: HashSet<id::Endpoint>,
    /// Number of probes since the last change, or since the suspicion.
    probes: u32,
}

/// Failures since the last success.
#[derive(Clone, Debug, Default)]
struct Failures {
    endpoints: HashSet<id::Endpoint>,
    number: u32,
}

impl Failures {
    fn record(&mut self, endpoint: &id::Endpoint) {
        self.endpoints.insert(endpoint.clone());
        self.number = self.number.saturating_add(1);
    }

    fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether they are reason to suspect the host's own network, if it knows `targets`
    /// endpoints.
    fn are_suspicious(&self, targets: usize) -> bool {
        let distinct = self.endpoints.len();
        let are_repeated = distinct >= MIN_REPEATED_ENDPOINTS && self.number >= MIN_FAILURES;
        targets > 0 && (are_repeated || distinct >= MIN_FAILED_ENDPOINTS.min(targets))
    }
}

#[derive(Clone, Debug, Default)]
enum State {
    #[default]
    Attached,
    Suspected(Verification),
    Detached {
        since: Duration,
        next_probe: Duration,
    },
}

/// Verification of a suspicion.
#[derive(Clone, Debug, Default)]
struct Verification {
    /// Endpoints whose probes have failed.
    probed: HashSet<id::Endpoint>,
    /// Outcome of the comparison of the current round.
    comparison: Option<Comparison>,
}

impl Uplink {
    /// Creates the view of a host that has seen no failure; `seed` should differ by host.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            targets: Vec::new(),
            new: Failures::default(),
            failed: Failures::default(),
            failing_since: None,
            failed_at: HashMap::new(),
            state: State::Attached,
            verify_after: Duration::ZERO,
            round: 0,
            open: HashSet::new(),
            probes: 0,
        }
    }

    /// Whether the host reaches no endpoint.
    pub const fn is_detached(&self) -> bool {
        matches!(self.state, State::Detached { .. })
    }

    /// Sets the endpoints that can be probed. Failures of others do not count.
    pub fn set_targets(&mut self, targets: Vec<Target>, now: Duration) -> Option<Change> {
        let listed: HashSet<_> = targets.iter().map(|target| &target.endpoint).collect();
        for failures in [&mut self.new, &mut self.failed] {
            failures.endpoints.retain(|failed| listed.contains(failed));
        }
        self.failed_at.retain(|failed, _| listed.contains(failed));
        if let State::Suspected(verification) = &mut self.state {
            let probed = &mut verification.probed;
            probed.retain(|endpoint| listed.contains(endpoint));
        }
        drop(listed);
        self.targets = targets;
        self.assess(now)
    }

    /// Records what a request has shown.
    pub fn record(
        &mut self,
        endpoint: &id::Endpoint,
        evidence: Evidence,
        now: Duration,
    ) -> Option<Change> {
        match evidence {
            Evidence::Answered { opened } if self.is_newer(opened) => {
                return self.answered_anew(endpoint, now);
            }
            Evidence::Answered { .. } => {
                self.failed.clear();
                self.failed_at.remove(endpoint);
            }
            _ if !self.is_listed(endpoint) => return None,
            Evidence::Unreachable | Evidence::Silent { is_new: true } => {
                self.record_new_failure(endpoint, now);
            }
            Evidence::Silent { is_new: false } => self.record_failure(endpoint, now),
        }
        self.assess(now)
    }

    /// Time at which [`Self::probes`] is due, if it is.
    pub fn next_probe(&self) -> Option<Duration> {
        let is_waiting = !self.open.is_empty() || self.targets.is_empty();
        match &self.state {
            State::Suspected(verification)
                if !is_waiting && !self.have_all_failed(verification) =>
            {
                Some(self.verify_after)
            }
            State::Detached { next_probe, .. } if !is_waiting => Some(*next_probe),
            _ => None,
        }
    }

    /// Returns what to start now. The outcome of each probe and of a comparison has to be
    /// reported.
    pub fn probes(&mut self, now: Duration) -> Round {
        if self.next_probe().is_none_or(|due| now < due) {
            return Round::default();
        }
        self.round += 1;
        let chosen = self.choose();
        let interval = self.recovery_interval();
        let compares = match &mut self.state {
            State::Attached => false,
            State::Suspected(verification) => {
                verification.comparison = None;
                true
            }
            State::Detached { next_probe, .. } => {
                *next_probe = now + interval;
                false
            }
        };
        self.probes += u32::try_from(chosen.len()).unwrap_or(u32::MAX);
        self.open.extend(chosen.iter().cloned());
        let round = self.round;
        let probes = chosen.into_iter();
        let probes = probes.map(|endpoint| Probe { endpoint, round });
        Round {
            probes: probes.collect(),
            compares,
        }
    }

    /// Records whether a probe was answered.
    pub fn probed(&mut self, probe: &Probe, is_answered: bool, now: Duration) -> Option<Change> {
        if is_answered {
            return self.answered_anew(&probe.endpoint, now);
        }
        let is_current = probe.round == self.round && self.open.remove(&probe.endpoint);
        if !is_current {
            return None;
        }
        if self.is_listed(&probe.endpoint) {
            self.record_new_failure(&probe.endpoint, now);
            if let State::Suspected(verification) = &mut self.state {
                verification.probed.insert(probe.endpoint.clone());
            }
        }
        self.assess(now)
    }

    /// Records the outcome of a comparison.
    pub fn compared(&mut self, comparison: Comparison, now: Duration) -> Option<Change> {
        if let State::Suspected(verification) = &mut self.state {
            verification.comparison = Some(comparison);
        }
        self.assess(now)
    }

    fn is_listed(&self, endpoint: &id::Endpoint) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| target.endpoint == *endpoint)
    }

    /// Whether a connection opened at this time is newer than the failures of new ones.
    fn is_newer(&self, opened: Duration) -> bool {
        self.failing_since.is_none_or(|since| since <= opened)
    }

    fn record_new_failure(&mut self, endpoint: &id::Endpoint, now: Duration) {
        if self.new.number == 0 {
            self.failing_since = Some(now);
        }
        self.new.record(endpoint);
        self.record_failure(endpoint, now);
    }

    fn record_failure(&mut self, endpoint: &id::Endpoint, now: Duration) {
        self.failed.record(endpoint);
        self.failed_at.insert(endpoint.clone(), now);
    }

    /// Records an answer on a connection that is newer than the failures of new ones.
    fn answered_anew(&mut self, endpoint: &id::Endpoint, now: Duration) -> Option<Change> {
        self.new.clear();
        self.failing_since = None;
        self.failed.clear();
        self.failed_at.remove(endpoint);
        self.attach(now)
    }

    fn attach(&mut self, now: Duration) -> Option<Change> {
        // Late outcomes of this round's probes are no evidence for a later suspicion.
        self.open.clear();
        match std::mem::take(&mut self.state) {
            State::Attached => None,
            State::Suspected(_) => {
                self.verify_after = now + VERIFICATION_GAP;
                None
            }
            State::Detached { since, .. } => {
                self.verify_after = now + VERIFICATION_GAP;
                Some(Change::Attached {
                    after: now.saturating_sub(since),
                    probes: self.probes,
                })
            }
        }
    }

    /// Draws the conclusions from the failures and from the outcomes of probes.
    fn assess(&mut self, now: Duration) -> Option<Change> {
        match &self.state {
            State::Attached if self.is_suspicious() => {
                self.state = State::Suspected(Verification::default());
                self.failing_since = Some(now);
                self.probes = 0;
                None
            }
            State::Suspected(_) if !self.is_suspicious() => self.attach(now),
            State::Suspected(verification) if self.have_all_failed(verification) => {
                match verification.comparison {
                    None => None,
                    Some(Comparison::Reached | Comparison::Alone) => Some(self.detach(now)),
                    Some(Comparison::Unreachable) => self.attach(now),
                }
            }
            _ => None,
        }
    }

    /// Whether enough endpoints have failed since the last success.
    fn is_suspicious(&self) -> bool {
        let targets = self.targets.len();
        self.new.are_suspicious(targets) || self.failed.are_suspicious(targets)
    }

    /// Whether enough probes have failed, and none is open.
    fn have_all_failed(&self, verification: &Verification) -> bool {
        let enough = MIN_FAILED_PROBES.min(self.targets.len());
        self.open.is_empty() && verification.probed.len() >= enough
    }

    fn detach(&mut self, now: Duration) -> Change {
        self.state = State::Detached {
            since: now,
            next_probe: now + self.recovery_interval(),
        };
        let mut failed: Vec<id::Endpoint> = self
            .new
            .endpoints
            .union(&self.failed.endpoints)
            .cloned()
            .collect();
        failed.sort_unstable();
        let probes = std::mem::take(&mut self.probes);
        Change::Detached { failed, probes }
    }

    /// Time from this round of a detached host's probes to the next.
    fn recovery_interval(&self) -> Duration {
        let hash = xxh3::xxh3_64_with_seed(&self.round.to_le_bytes(), self.seed);
        Duration::from_millis(MIN_RECOVERY_INTERVAL_MS + hash % RECOVERY_INTERVAL_RANGE_MS)
    }

    /// Endpoints of the next round, from as many zones as possible.
    fn choose(&self) -> Vec<id::Endpoint> {
        let (number, excluded) = match &self.state {
            State::Attached => return Vec::new(),
            State::Suspected(verification) => (VERIFICATION_PROBES, Some(&verification.probed)),
            State::Detached { .. } => (RECOVERY_PROBES, None),
        };
        let is_excluded =
            |target: &&Target| excluded.is_some_and(|probed| probed.contains(&target.endpoint));
        let targets = self.targets.iter();
        let mut left: Vec<&Target> = targets.filter(|target| !is_excluded(target)).collect();
        let mut zones: HashMap<&id::Zone, usize> = HashMap::new();
        let mut chosen = Vec::new();
        while chosen.len() < number {
            let ranked = left.iter().enumerate().min_by_key(|(_, target)| {
                let zone_uses = zones.get(&target.zone).copied().unwrap_or(0);
                self.preference(target, zone_uses)
            });
            let Some((index, _)) = ranked else {
                break;
            };
            let target = left.swap_remove(index);
            *zones.entry(&target.zone).or_default() += 1;
            chosen.push(target.endpoint.clone());
        }
        chosen
    }

    /// Order in which targets are probed, lowest first. To verify a suspicion, endpoints that
    /// have not failed come first; while detached, those whose last probe is the oldest.
    fn preference(&self, target: &Target, zone_uses: usize) -> (bool, usize, Duration, u64) {
        let failed_at = self.failed_at.get(&target.endpoint).copied();
        let has_failed = failed_at.is_some() && !self.is_detached();
        let hash = xxh3::xxh3_64_with_seed(target.endpoint.as_str().as_bytes(), self.seed);
        (has_failed, zone_uses, failed_at.unwrap_or_default(), hash)
    }
}
