//! Brings the endpoints of a service to the newest weights, a few at a time.
//!
//! An endpoint that loads weights serves nothing, and loads slow one another
//! down beyond a number. So at most that many load at once. The next ones are
//! announced shortly before a load ends: all hosts stop sending to them and
//! their open requests end, while no more endpoints than needed are idle. A version that was named meanwhile goes before the one
//! that is being loaded; what has loaded the older one comes last.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use papayayard_wire::id;

/// Time between an announcement and the order, in which hosts learn of it and
/// short answers end.
const NOTICE: Duration = Duration::from_millis(450);
/// Time that a load is taken to last before one was seen.
const USUAL_LOAD: Duration = Duration::from_millis(1400);
/// Weight of the newest load in the average.
const NEWEST_PART: f64 = 0.3;
/// Time that a load takes at least; only then an endpoint is looked at.
const FIRST_CHECK: Duration = Duration::from_millis(600);
/// Time between two looks at an endpoint that loads.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time after which an order counts as lost.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an order that was refused is given again.
const RETRY: Duration = Duration::from_millis(300);
/// Endpoints for each one that loads at the same time.
const ENDPOINTS_PER_LOAD: usize = 6;
/// Fewest endpoints that load at the same time, where there are enough.
const FEWEST_LOADS: usize = 2;

/// An endpoint of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identifier.
    pub endpoint: id::Endpoint,
    /// Availability zone.
    pub zone: id::Zone,
    /// Version of its weights, as far as is known.
    pub version: u64,
}

/// What is to be done now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Endpoints to order the version at.
    pub order: Vec<id::Endpoint>,
    /// Endpoints whose version is to be asked for.
    pub check: Vec<id::Endpoint>,
}

/// How an order was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is being carried out.
    Accepted,
    /// The endpoint has the version already.
    Holds,
    /// Another order is being carried out, or came between.
    Busy,
    /// No answer; it may be carried out at any time.
    Lost,
    /// The endpoint cannot be reached, or is another one.
    Gone,
}

/// The state of one roll-out.
#[derive(Clone, Debug)]
pub struct Rollout {
    target: u64,
    load: Duration,
    steps: BTreeMap<id::Endpoint, Step>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Announced { at: Duration },
    Due { at: Duration },
    Ordered { at: Duration, checked: Duration },
}

impl Default for Rollout {
    fn default() -> Self {
        Self {
            target: 0,
            load: USUAL_LOAD,
            steps: BTreeMap::new(),
        }
    }
}

impl Rollout {
    /// Starts or goes on; `true` where the announcement has changed.
    pub fn plan(&mut self, members: &[Member], target: u64, now: Duration) -> bool {
        let before = self.away();
        self.target = target;
        let versions: HashMap<&id::Endpoint, u64> = members
            .iter()
            .map(|member| (&member.endpoint, member.version))
            .collect();
        self.steps
            .retain(|id, _| versions.get(id).is_some_and(|version| *version < target));
        for step in self.steps.values_mut() {
            step.time_out(now);
        }
        let limit = loads_at_once(members.len());
        let most = members.len().saturating_sub(1).max(1);
        while self.occupied(now) < limit && self.steps.len() < most {
            let Some(next) = self.next(members, target) else {
                break;
            };
            self.steps.insert(next, Step::Announced { at: now });
        }
        self.away() != before
    }

    /// Steps that will not have ended when an endpoint that is announced now
    /// could load.
    fn occupied(&self, now: Duration) -> usize {
        let ends_soon = |step: &&Step| match step {
            Step::Ordered { at, .. } => *at + self.load <= now + NOTICE,
            Step::Announced { .. } | Step::Due { .. } => false,
        };
        self.steps.len() - self.steps.values().filter(ends_soon).count()
    }

    /// Endpoints that take no requests for now.
    pub fn away(&self) -> Vec<id::Endpoint> {
        self.steps.keys().cloned().collect()
    }

    /// Whether all endpoints have the version.
    pub fn is_done(&self) -> bool {
        self.steps.is_empty()
    }

    /// What is due now; `members` counts the service's endpoints.
    pub fn actions(&mut self, members: usize, now: Duration) -> Actions {
        let mut actions = Actions::default();
        let loading = self.steps.values().filter(|step| step.is_ordered()).count();
        let mut free = loads_at_once(members).saturating_sub(loading);
        let mut due: Vec<(Duration, &id::Endpoint)> = self
            .steps
            .iter()
            .filter_map(|(id, step)| step.due(now).map(|at| (at, id)))
            .collect();
        due.sort_unstable();
        for (_, id) in due {
            if free == 0 {
                break;
            }
            free -= 1;
            actions.order.push(id.clone());
        }
        for (id, step) in &mut self.steps {
            if step.check(now) {
                actions.check.push(id.clone());
            }
        }
        actions
    }

    /// Takes over the answer to an order.
    pub fn answered(&mut self, endpoint: &id::Endpoint, answer: Answer, now: Duration) {
        let Some(step) = self.steps.get_mut(endpoint) else {
            return;
        };
        *step = match answer {
            Answer::Accepted | Answer::Lost => Step::Ordered {
                at: now,
                checked: now,
            },
            Answer::Busy | Answer::Gone => Step::Due { at: now + RETRY },
            Answer::Holds => Step::Ordered {
                at: now,
                checked: Duration::ZERO,
            },
        };
    }

    /// Takes over that an endpoint reports a version and carries out no order.
    pub fn idle(&mut self, endpoint: &id::Endpoint, version: u64, now: Duration) {
        if version >= self.target {
            if let Some(Step::Ordered { at, .. }) = self.steps.remove(endpoint) {
                let load = now.saturating_sub(at);
                self.load = self.load.mul_f64(1.0 - NEWEST_PART) + load.mul_f64(NEWEST_PART);
            }
        } else if let Some(step) = self.steps.get_mut(endpoint) {
            *step = Step::Due { at: now };
        }
    }

    /// The endpoint to announce next: of the zone with the fewest away, one
    /// with the oldest weights.
    fn next(&self, members: &[Member], target: u64) -> Option<id::Endpoint> {
        let mut away: HashMap<&id::Zone, usize> = HashMap::new();
        for member in members {
            if self.steps.contains_key(&member.endpoint) {
                *away.entry(&member.zone).or_default() += 1;
            }
        }
        let waiting = members
            .iter()
            .filter(|member| member.version < target && !self.steps.contains_key(&member.endpoint));
        let next = waiting.min_by_key(|member| {
            let zone = away.get(&member.zone).copied().unwrap_or(0);
            (zone, member.version, &member.endpoint)
        })?;
        Some(next.endpoint.clone())
    }
}

impl Step {
    fn is_ordered(self) -> bool {
        matches!(self, Self::Ordered { .. })
    }

    fn due(self, now: Duration) -> Option<Duration> {
        match self {
            Self::Announced { at } if at + NOTICE <= now => Some(at),
            Self::Due { at } if at <= now => Some(at),
            _ => None,
        }
    }

    fn check(&mut self, now: Duration) -> bool {
        let Self::Ordered { at, checked } = self else {
            return false;
        };
        if now < *at + FIRST_CHECK || now < *checked + CHECK_PERIOD {
            return false;
        }
        *checked = now;
        true
    }

    fn time_out(&mut self, now: Duration) {
        if matches!(self, Self::Ordered { at, .. } if *at + ORDER_TIMEOUT <= now) {
            *self = Self::Due { at: now };
        }
    }
}

/// Loads that do not slow one another down.
fn loads_at_once(members: usize) -> usize {
    members.div_ceil(ENDPOINTS_PER_LOAD).max(FEWEST_LOADS)
}
