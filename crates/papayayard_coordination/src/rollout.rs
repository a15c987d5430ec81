//! Rolls a service's endpoints out to the newest weights, a few at a time.
//!
//! An endpoint serves nothing while it loads weights, and beyond a certain number
//! concurrent loads slow one another down. At most that many endpoints load at once,
//! while some more drain: all hosts stop sending to them and their open requests end.
//! An endpoint is ordered to load once it is empty, so that no load waits for a long
//! answer. If a new target version arrives during a roll-out, it replaces the one being
//! loaded; endpoints that already have the older one load the new one last.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use papayayard_wire::id;

/// Time for hosts to learn of an announcement and for reports to show its effect.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(350);
/// Maximum time for an endpoint to drain. Requests that are open then may last as long
/// as their callers wait, so they are broken off.
const MAX_DRAIN: Duration = Duration::from_millis(3500);
/// Drain time after which at most [`MAX_OPEN`] open requests no longer
/// delay the load: most answers have ended by then, and the remaining ones may last
/// very long.
const TYPICAL_DRAIN: Duration = Duration::from_secs(2);
/// See [`TYPICAL_DRAIN`].
const MAX_OPEN: u32 = 1;
/// Minimum duration of a load; an ordered endpoint is first checked after this time.
const CHECK_DELAY: Duration = Duration::from_millis(600);
/// Time between two checks of an endpoint.
const CHECK_PERIOD: Duration = Duration::from_millis(180);
/// Time after which an order counts as lost.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a refused order is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long an unreachable endpoint is excluded from the roll-out.
const EXCLUSION: Duration = Duration::from_secs(2);
/// Unavailable endpoints allowed for every five concurrent loads. With more draining
/// endpoints, loads would wait less but callers more.
const UNAVAILABLE_PER_FIVE_LOADS: usize = 8;
/// Number of endpoints per concurrent load.
const ENDPOINTS_PER_LOAD: usize = 5;

/// An endpoint of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub endpoint: id::Endpoint,
    /// Availability zone.
    pub zone: id::Zone,
    /// Last known version of its weights.
    pub version: u64,
}

/// Actions that are due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Orders to send.
    pub orders: Vec<DueOrder>,
    /// Endpoints to ask for their version.
    pub checks: Vec<id::Endpoint>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueOrder {
    /// Endpoint to load the weights.
    pub endpoint: id::Endpoint,
    /// Whether the endpoint's open requests are broken off.
    pub breaks_off: bool,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The endpoint is executing the order.
    Accepted,
    /// The endpoint already has the version.
    Holds,
    /// The endpoint is executing another order, or received one in between.
    Busy,
    /// No answer; the order may be executed at any time.
    Lost,
    /// The endpoint is unreachable, or its address now belongs to another endpoint.
    Gone,
    /// The order was not sent because the permit had expired.
    Unsent,
}

/// State of one roll-out.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    target: u64,
    /// Largest number of endpoints observed; crashed endpoints do not change how many
    /// may load at once.
    peak_size: usize,
    /// Unreachable endpoints, with the time when their exclusion ends.
    excluded: BTreeMap<id::Endpoint, Duration>,
    steps: BTreeMap<id::Endpoint, Step>,
}

/// State that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Version of its weights.
    pub version: u64,
    /// Whether it is executing an order.
    pub is_busy: bool,
    /// Requests that are running or queued.
    pub open: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Accepts no new requests; next checked at `check`.
    Draining { since: Duration, check: Duration },
    /// An order is due at `at`.
    Due { at: Duration, breaks_off: bool },
    /// An order was sent; next checked at `check`.
    Ordered {
        at: Duration,
        check: Duration,
        breaks_off: bool,
    },
}

impl Rollout {
    /// Starts or continues the roll-out; returns whether the announcement has changed.
    pub fn plan(&mut self, members: &[Member], target: u64, now: Duration) -> bool {
        let before = self.unavailable();
        self.target = target;
        let versions: HashMap<&id::Endpoint, u64> = members
            .iter()
            .map(|member| (&member.endpoint, member.version))
            .collect();
        self.steps
            .retain(|id, _| versions.get(id).is_some_and(|version| *version < target));
        self.excluded.retain(|_, until| now < *until);
        for step in self.steps.values_mut() {
            step.time_out(now);
        }
        self.peak_size = self.peak_size.max(members.len());
        let limit = loads_at_once(self.peak_size);
        // At least one endpoint keeps serving.
        let max_unavailable = members.len().saturating_sub(1).max(1);
        let unavailable = (limit * UNAVAILABLE_PER_FIVE_LOADS)
            .div_ceil(5)
            .min(max_unavailable);
        while self.steps.len() < unavailable {
            let Some(next) = self.next_endpoint(members, target) else {
                break;
            };
            let step = Step::Draining {
                since: now,
                check: now + ANNOUNCEMENT_DELAY,
            };
            self.steps.insert(next, step);
        }
        self.unavailable() != before
    }

    /// Endpoints that currently accept no requests.
    pub fn unavailable(&self) -> Vec<id::Endpoint> {
        self.steps.keys().cloned().collect()
    }

    /// Target version of the roll-out.
    pub const fn target(&self) -> u64 {
        self.target
    }

    /// Whether all endpoints have the target version.
    pub fn is_done(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the actions that are due.
    pub fn actions(&mut self, now: Duration) -> Actions {
        let mut actions = Actions::default();
        let loading = self.steps.values().filter(|step| step.is_ordered()).count();
        let mut free = loads_at_once(self.peak_size).saturating_sub(loading);
        let mut due: Vec<(Duration, &id::Endpoint, bool)> = self
            .steps
            .iter()
            .filter_map(|(id, step)| step.due(now).map(|(at, breaks_off)| (at, id, breaks_off)))
            .collect();
        due.sort_unstable();
        for (_, id, breaks_off) in due {
            if free == 0 {
                break;
            }
            free -= 1;
            actions.orders.push(DueOrder {
                endpoint: id.clone(),
                breaks_off,
            });
        }
        for (id, step) in &mut self.steps {
            if step.check(now) {
                actions.checks.push(id.clone());
            }
        }
        actions
    }

    /// Records that an order was sent; it counts as accepted until its answer arrives.
    pub fn sent(&mut self, due: &DueOrder, now: Duration) {
        if let Some(step) = self.steps.get_mut(&due.endpoint) {
            *step = Step::ordered(due.breaks_off, now, now + CHECK_DELAY);
        }
    }

    /// Applies the answer to an order.
    pub fn answered(&mut self, due: &DueOrder, answer: Answer, now: Duration) {
        let Some(step) = self.steps.get_mut(&due.endpoint) else {
            return;
        };
        let breaks_off = due.breaks_off;
        *step = match answer {
            Answer::Accepted | Answer::Lost => Step::ordered(breaks_off, now, now + CHECK_DELAY),
            Answer::Holds => Step::ordered(breaks_off, now, now),
            Answer::Busy | Answer::Gone => Step::Due {
                at: now + RETRY_DELAY,
                breaks_off,
            },
            Answer::Unsent => Step::Due {
                at: now,
                breaks_off,
            },
        };
    }

    /// Records that an endpoint without an order gave no report; another endpoint
    /// replaces it.
    pub fn unreachable(&mut self, endpoint: &id::Endpoint, now: Duration) {
        let step = self.steps.get(endpoint);
        if step.is_some_and(|step| !step.is_ordered()) {
            self.steps.remove(endpoint);
            self.excluded.insert(endpoint.clone(), now + EXCLUSION);
        }
    }

    /// Records that an order was not sent because its endpoint gave no report.
    pub fn withheld(&mut self, due: &DueOrder, now: Duration) {
        self.answered(due, Answer::Unsent, now);
        self.unreachable(&due.endpoint, now);
    }

    /// Applies an endpoint's report.
    pub fn observe(&mut self, endpoint: &id::Endpoint, observation: Observation, now: Duration) {
        let Some(step) = self.steps.get_mut(endpoint) else {
            return;
        };
        match *step {
            Step::Draining { since, .. } => {
                let is_late = since + TYPICAL_DRAIN <= now;
                let max_open = if is_late { MAX_OPEN } else { 0 };
                if observation.open <= max_open {
                    *step = Step::Due {
                        at: now,
                        breaks_off: observation.open > 0,
                    };
                }
            }
            Step::Ordered { .. } if !observation.is_busy && observation.version >= self.target => {
                self.steps.remove(endpoint);
            }
            Step::Ordered { breaks_off, .. } if !observation.is_busy => {
                *step = Step::Due {
                    at: now,
                    breaks_off,
                };
            }
            Step::Ordered { .. } | Step::Due { .. } => {}
        }
    }

    /// The endpoint to announce next: one with the oldest weights, in the zone with the
    /// fewest unavailable endpoints.
    fn next_endpoint(&self, members: &[Member], target: u64) -> Option<id::Endpoint> {
        let mut unavailable: HashMap<&id::Zone, usize> = HashMap::new();
        for member in members {
            if self.steps.contains_key(&member.endpoint) {
                *unavailable.entry(&member.zone).or_default() += 1;
            }
        }
        let waiting = members.iter().filter(|member| {
            member.version < target
                && !self.steps.contains_key(&member.endpoint)
                && !self.excluded.contains_key(&member.endpoint)
        });
        let next = waiting.min_by_key(|member| {
            let zone = unavailable.get(&member.zone).copied().unwrap_or(0);
            (zone, member.version, &member.endpoint)
        })?;
        Some(next.endpoint.clone())
    }
}

impl Step {
    fn is_ordered(self) -> bool {
        matches!(self, Self::Ordered { .. })
    }

    const fn ordered(breaks_off: bool, at: Duration, check: Duration) -> Self {
        Self::Ordered {
            at,
            check,
            breaks_off,
        }
    }

    /// Since when an order is due, and whether it breaks off open requests.
    fn due(self, now: Duration) -> Option<(Duration, bool)> {
        match self {
            Self::Draining { since, .. } if since + MAX_DRAIN <= now => Some((since, true)),
            Self::Due { at, breaks_off } if at <= now => Some((at, breaks_off)),
            _ => None,
        }
    }

    fn check(&mut self, now: Duration) -> bool {
        let (Self::Draining { check, .. } | Self::Ordered { check, .. }) = self else {
            return false;
        };
        if now < *check {
            return false;
        }
        *check = now + CHECK_PERIOD;
        true
    }

    fn time_out(&mut self, now: Duration) {
        let Self::Ordered { at, breaks_off, .. } = *self else {
            return;
        };
        if at + ORDER_TIMEOUT <= now {
            *self = Self::Due {
                at: now,
                breaks_off,
            };
        }
    }
}

/// Number of concurrent loads that do not slow one another down.
fn loads_at_once(members: usize) -> usize {
    (members / ENDPOINTS_PER_LOAD).max(1)
}
