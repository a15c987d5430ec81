//! Brings the endpoints of a service to the newest weights, a few at a time.
//!
//! An endpoint that loads weights serves nothing, and loads slow one another
//! down beyond a number. So at most that many load at once, while some more
//! drain: all hosts stop sending to them and their open requests end. One is
//! ordered to load once it is empty, so that no load waits for a long answer. A
//! version that was named meanwhile goes before the one that is being loaded;
//! what has loaded the older one comes last.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use papayayard_wire::id;

/// Time in which hosts learn of an announcement, and reports show it.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(350);
/// Longest time for an endpoint to drain. What is open then may go on for as
/// long as its caller waits, and is broken off.
const MAX_DRAIN: Duration = Duration::from_millis(3500);
/// Time to drain after which no more than [`TYPICAL_DRAIN_MAX_OPEN`] requests are waited for:
/// most answers have ended by then, and what is left may last very long.
const TYPICAL_DRAIN: Duration = Duration::from_secs(2);
/// See [`TYPICAL_DRAIN`].
const TYPICAL_DRAIN_MAX_OPEN: u32 = 1;
/// Time that a load takes at least; only then an endpoint is looked at.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(600);
/// Time between two looks at an endpoint.
const CHECK_PERIOD: Duration = Duration::from_millis(180);
/// Time after which an order counts as lost.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an order that was refused is given again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time for which an endpoint that cannot be reached is left out.
const EXCLUSION: Duration = Duration::from_secs(2);
/// Endpoints that serve nothing for each five that may load at the same time: with
/// more that drain, loads would wait less, but callers more.
const UNAVAILABLE_PER_FIVE_LOADS: usize = 8;
/// Endpoints for each one that loads at the same time.
const ENDPOINTS_PER_LOAD: usize = 5;

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
    /// Orders to give.
    pub orders: Vec<DueOrder>,
    /// Endpoints whose version is to be asked for.
    pub checks: Vec<id::Endpoint>,
}

/// An order that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueOrder {
    /// Endpoint that is to load.
    pub endpoint: id::Endpoint,
    /// Whether its open requests are broken off.
    pub breaks_off: bool,
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
    /// The order was not sent: the leave to give it had ended.
    Unsent,
}

/// The state of one roll-out.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    target: u64,
    /// Most endpoints that the service was seen to have; those that have
    /// crashed do not change what can load at once.
    peak_size: usize,
    /// Endpoints that could not be reached, and until when they are left out.
    excluded: BTreeMap<id::Endpoint, Duration>,
    steps: BTreeMap<id::Endpoint, Step>,
}

/// What an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Version of its weights.
    pub version: u64,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// Requests that run or wait there.
    pub open: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Takes no new requests; looked at from a time on.
    Draining { since: Duration, check: Duration },
    /// To be ordered from a time on.
    Due { at: Duration, breaks_off: bool },
    /// Was ordered; looked at from a time on.
    Ordered {
        at: Duration,
        check: Duration,
        breaks_off: bool,
    },
}

impl Rollout {
    /// Starts or goes on; `true` where the announcement has changed.
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
        // One endpoint at least goes on serving.
        let most = members.len().saturating_sub(1).max(1);
        let unavailable = (limit * UNAVAILABLE_PER_FIVE_LOADS).div_ceil(5).min(most);
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

    /// Endpoints that take no requests for now.
    pub fn unavailable(&self) -> Vec<id::Endpoint> {
        self.steps.keys().cloned().collect()
    }

    /// Version that endpoints are brought to.
    pub const fn target(&self) -> u64 {
        self.target
    }

    /// Whether all endpoints have the version.
    pub fn is_done(&self) -> bool {
        self.steps.is_empty()
    }

    /// What is due now.
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

    /// Notes that an order is on its way; it counts as given until its answer
    /// says otherwise.
    pub fn sent(&mut self, due: &DueOrder, now: Duration) {
        if let Some(step) = self.steps.get_mut(&due.endpoint) {
            *step = Step::ordered(due.breaks_off, now, now + FIRST_CHECK_DELAY);
        }
    }

    /// Takes over the answer to an order.
    pub fn answered(&mut self, due: &DueOrder, answer: Answer, now: Duration) {
        let Some(step) = self.steps.get_mut(&due.endpoint) else {
            return;
        };
        let breaks_off = due.breaks_off;
        *step = match answer {
            Answer::Accepted | Answer::Lost => {
                Step::ordered(breaks_off, now, now + FIRST_CHECK_DELAY)
            }
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

    /// Takes over that an endpoint that has no order gave no report; another
    /// takes its place.
    pub fn unreachable(&mut self, endpoint: &id::Endpoint, now: Duration) {
        let step = self.steps.get(endpoint);
        if step.is_some_and(|step| !step.is_ordered()) {
            self.steps.remove(endpoint);
            self.excluded.insert(endpoint.clone(), now + EXCLUSION);
        }
    }

    /// Takes over that an order was not sent, for its endpoint gave no report.
    pub fn withheld(&mut self, due: &DueOrder, now: Duration) {
        self.answered(due, Answer::Unsent, now);
        self.unreachable(&due.endpoint, now);
    }

    /// Takes over what an endpoint reports.
    pub fn observe(&mut self, endpoint: &id::Endpoint, observation: Observation, now: Duration) {
        let Some(step) = self.steps.get_mut(endpoint) else {
            return;
        };
        match *step {
            Step::Draining { since, .. } => {
                let is_past_typical = since + TYPICAL_DRAIN <= now;
                let max_open = if is_past_typical {
                    TYPICAL_DRAIN_MAX_OPEN
                } else {
                    0
                };
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

    /// The endpoint to announce next: of the zone with the fewest away, one
    /// with the oldest weights.
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

    /// Since when an order is due, and whether it breaks off what is open.
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

/// Loads that do not slow one another down.
fn loads_at_once(members: usize) -> usize {
    (members / ENDPOINTS_PER_LOAD).max(1)
}
