//! Rolls a service's endpoints out to the newest weights, a few at a time.
//!
//! An endpoint serves nothing while it loads weights, and beyond a certain number
//! concurrent loads slow one another down. At most that many endpoints load at once,
//! while some more drain: all hosts stop sending to them and their open requests end.
//! An endpoint is ordered to load once it is empty, so that no load waits for a long
//! answer. An endpoint that leaves orders unanswered, and does not execute them either,
//! serves on until it does; meanwhile others are ordered. If a new target version arrives
//! during a roll-out, it replaces the one being loaded; endpoints that already have the
//! older one load the new one last.

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
/// Unanswered orders in a row after which an endpoint serves again until it executes one;
/// the first one suffices while other endpoints wait.
const MAX_LOST: u32 = 2;
/// Time after which such an endpoint may be ordered again.
const LOST_DELAY: Duration = Duration::from_secs(1);
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
    Due {
        at: Duration,
        breaks_off: bool,
        /// Unanswered orders so far.
        lost: u32,
    },
    /// An order was sent; next checked at `check`.
    Ordered {
        at: Duration,
        check: Duration,
        breaks_off: bool,
        /// Unanswered orders so far, this one included.
        lost: u32,
    },
    /// Serves requests; orders that were not answered may be executed at any time.
    Unanswered { since: Duration, check: Duration },
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
        self.yield_to_waiting(members, now);
        self.peak_size = self.peak_size.max(members.len());
        let limit = loads_at_once(self.peak_size);
        // At least one endpoint keeps serving.
        let max_unavailable = members.len().saturating_sub(1).max(1);
        let unavailable = (limit * UNAVAILABLE_PER_FIVE_LOADS)
            .div_ceil(5)
            .min(max_unavailable);
        while self.unavailable_ids().count() < unavailable {
            let Some(next) = self.next_endpoint(members, now) else {
                break;
            };
            self.steps.insert(next, self.first_step(now));
        }
        self.unavailable() != before
    }

    /// First step of an endpoint. While orders are left unanswered, nobody knows when the
    /// next one is executed, so it does not wait for open requests to end.
    fn first_step(&self, now: Duration) -> Step {
        let mut steps = self.steps.values();
        let at = now + ANNOUNCEMENT_DELAY;
        if steps.any(|step| step.is_serving() || step.lost() > 0) {
            return Step::Due {
                at,
                breaks_off: false,
                lost: 0,
            };
        }
        Step::Draining {
            since: now,
            check: at,
        }
    }

    /// Lets endpoints that left an order unanswered serve again while others have not been
    /// ordered at all.
    fn yield_to_waiting(&mut self, members: &[Member], now: Duration) {
        let is_waiting = |member: &Member| {
            self.may_be_ordered(member) && !self.steps.contains_key(&member.endpoint)
        };
        if !members.iter().any(is_waiting) {
            return;
        }
        for step in self.steps.values_mut() {
            if matches!(step, Step::Due { lost: 1.., .. }) {
                *step = Step::unanswered(now);
            }
        }
    }

    /// Endpoints that currently accept no requests.
    pub fn unavailable(&self) -> Vec<id::Endpoint> {
        self.unavailable_ids().cloned().collect()
    }

    fn unavailable_ids(&self) -> impl Iterator<Item = &id::Endpoint> {
        let unavailable = self.steps.iter().filter(|(_, step)| !step.is_serving());
        unavailable.map(|(id, _)| id)
    }

    /// Whether a member has older weights and is reachable.
    fn may_be_ordered(&self, member: &Member) -> bool {
        member.version < self.target && !self.excluded.contains_key(&member.endpoint)
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
        let loading = self.steps.values().filter(|step| step.may_load()).count();
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
            *step = Step::ordered(due.breaks_off, step.lost(), now, now + CHECK_DELAY);
        }
    }

    /// Applies the answer to an order.
    pub fn answered(&mut self, due: &DueOrder, answer: Answer, now: Duration) {
        let Some(step) = self.steps.get_mut(&due.endpoint) else {
            return;
        };
        let breaks_off = due.breaks_off;
        let lost = step.lost();
        *step = match answer {
            Answer::Accepted => Step::ordered(breaks_off, 0, now, now + CHECK_DELAY),
            Answer::Lost => Step::ordered(breaks_off, lost + 1, now, now + CHECK_DELAY),
            Answer::Holds => Step::ordered(breaks_off, 0, now, now),
            Answer::Busy | Answer::Gone => Step::Due {
                at: now + RETRY_DELAY,
                breaks_off,
                lost,
            },
            Answer::Unsent => Step::Due {
                at: now,
                breaks_off,
                lost,
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
        let has_target = !observation.is_busy && observation.version >= self.target;
        match *step {
            Step::Draining { .. } | Step::Unanswered { .. } if observation.is_busy => {
                *step = Step::ordered(false, 0, now, now + CHECK_PERIOD);
            }
            Step::Ordered {
                breaks_off,
                lost: 1..,
                ..
            } if observation.is_busy => {
                *step = Step::ordered(breaks_off, 0, now, now + CHECK_PERIOD);
            }
            Step::Draining { since, .. } => {
                let is_late = since + TYPICAL_DRAIN <= now;
                let max_open = if is_late { MAX_OPEN } else { 0 };
                if observation.open <= max_open {
                    *step = Step::Due {
                        at: now,
                        breaks_off: observation.open > 0,
                        lost: 0,
                    };
                }
            }
            Step::Ordered { .. } | Step::Unanswered { .. } if has_target => {
                self.steps.remove(endpoint);
            }
            Step::Ordered {
                breaks_off, lost, ..
            } if !observation.is_busy => {
                *step = if lost >= MAX_LOST {
                    Step::unanswered(now)
                } else {
                    Step::Due {
                        at: now,
                        breaks_off,
                        lost,
                    }
                };
            }
            Step::Ordered { .. } | Step::Due { .. } | Step::Unanswered { .. } => {}
        }
    }

    /// The endpoint to announce next: one with the oldest weights, in the zone with the
    /// fewest unavailable endpoints. Endpoints without an unanswered order go first.
    fn next_endpoint(&self, members: &[Member], now: Duration) -> Option<id::Endpoint> {
        let mut unavailable: HashMap<&id::Zone, usize> = HashMap::new();
        for member in members {
            let step = self.steps.get(&member.endpoint);
            if step.is_some_and(|step| !step.is_serving()) {
                *unavailable.entry(&member.zone).or_default() += 1;
            }
        }
        let waiting = members.iter().filter_map(|member| {
            let unanswered_since = match self.steps.get(&member.endpoint) {
                None => None,
                Some(Step::Unanswered { since, .. }) if *since + LOST_DELAY <= now => Some(*since),
                Some(_) => return None,
            };
            self.may_be_ordered(member)
                .then_some((unanswered_since, member))
        });
        let (_, next) = waiting.min_by_key(|(unanswered_since, member)| {
            let zone = unavailable.get(&member.zone).copied().unwrap_or(0);
            (*unanswered_since, zone, member.version, &member.endpoint)
        })?;
        Some(next.endpoint.clone())
    }
}

impl Step {
    fn is_ordered(self) -> bool {
        matches!(self, Self::Ordered { .. })
    }

    /// Whether the endpoint may be loading weights: it may execute an unanswered order at
    /// once, but hardly the last of several.
    fn may_load(self) -> bool {
        self.is_ordered() && self.lost() < MAX_LOST
    }

    /// Whether hosts send requests to the endpoint.
    fn is_serving(self) -> bool {
        matches!(self, Self::Unanswered { .. })
    }

    /// Unanswered orders so far.
    const fn lost(self) -> u32 {
        match self {
            Self::Due { lost, .. } | Self::Ordered { lost, .. } => lost,
            Self::Draining { .. } | Self::Unanswered { .. } => 0,
        }
    }

    const fn ordered(breaks_off: bool, lost: u32, at: Duration, check: Duration) -> Self {
        Self::Ordered {
            at,
            check,
            breaks_off,
            lost,
        }
    }

    fn unanswered(now: Duration) -> Self {
        Self::Unanswered {
            since: now,
            check: now + CHECK_PERIOD,
        }
    }

    /// Since when an order is due, and whether it breaks off open requests.
    fn due(self, now: Duration) -> Option<(Duration, bool)> {
        match self {
            Self::Draining { since, .. } if since + MAX_DRAIN <= now => Some((since, true)),
            Self::Due { at, breaks_off, .. } if at <= now => Some((at, breaks_off)),
            _ => None,
        }
    }

    fn check(&mut self, now: Duration) -> bool {
        let (Self::Draining { check, .. }
        | Self::Ordered { check, .. }
        | Self::Unanswered { check, .. }) = self
        else {
            return false;
        };
        if now < *check {
            return false;
        }
        *check = now + CHECK_PERIOD;
        true
    }

    fn time_out(&mut self, now: Duration) {
        let Self::Ordered {
            at,
            breaks_off,
            lost,
            ..
        } = *self
        else {
            return;
        };
        if at + ORDER_TIMEOUT <= now {
            *self = Self::Due {
                at: now,
                breaks_off,
                lost,
            };
        }
    }
}

/// Number of concurrent loads that do not slow one another down.
fn loads_at_once(members: usize) -> usize {
    (members / ENDPOINTS_PER_LOAD).max(1)
}
