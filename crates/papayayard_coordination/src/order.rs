//! Reconciles the weights of a service's endpoints with the configuration.
//!
//! Orders state the desired goal, and an order is complete only when the
//! endpoint reports the goal. Each pass compares the reports with the target
//! version and sends the missing orders, so a lost order is sent again, and the
//! current leaseholder reverses the effect of a stale order of an earlier one.
//! The reconciler stores nothing but the orders that it recently sent.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::{directory, endpoint, id};

/// Time after which an order without a reported effect is sent again.
pub const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Time after a change of the lease in which no loads start, so that loads
/// ordered by the earlier holder show in the reports first.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// Desired state of a service's endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub model: id::Model,
    /// Version of the weights.
    pub version: id::Version,
    /// Limit of the endpoints that load weights at the same time.
    pub loads_at_once: u32,
}

/// Observed state of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    pub endpoint: &'a id::Endpoint,
    /// State that the platform plans for the endpoint.
    pub plan: directory::State,
    /// Last report; `None` if no report has arrived.
    pub report: Option<&'a endpoint::Report>,
}

/// An order and the endpoint to send it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    pub endpoint: id::Endpoint,
    pub order: endpoint::Order,
}

#[derive(Clone, Debug)]
struct Pending {
    goal: endpoint::Goal,
    incarnation: id::Incarnation,
    sent_at: Duration,
}

/// Produces the orders of one model service.
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    pending: BTreeMap<id::Endpoint, Pending>,
    fence: id::Fence,
    loads_allowed_from: Duration,
}

impl Reconciler {
    /// Returns the orders to send now under the fencing number `fence`.
    pub fn reconcile(
        &mut self,
        target: &Target,
        observations: &[Observation<'_>],
        fence: id::Fence,
        now: Duration,
    ) -> Vec<Dispatch> {
        if fence != self.fence {
            // Orders sent under an earlier lease may or may not have taken effect.
            self.pending.clear();
            self.fence = fence;
            self.loads_allowed_from = now + HANDOVER_DELAY;
        }
        self.prune(target, observations, now);
        let mut free_load_slots = self.free_load_slots(target, observations, now);
        let mut dispatches = Vec::new();
        for observation in observations {
            let Some(report) = observation.report else {
                continue;
            };
            let Some(goal) = next_goal(target, observation.plan, report) else {
                continue;
            };
            let is_pending = self.pending.contains_key(observation.endpoint);
            let is_load = matches!(goal, endpoint::Goal::Load { .. });
            if is_pending || (is_load && free_load_slots == 0) {
                continue;
            }
            if is_load {
                free_load_slots -= 1;
            }
            let pending = Pending {
                goal: goal.clone(),
                incarnation: report.incarnation,
                sent_at: now,
            };
            self.pending.insert(observation.endpoint.clone(), pending);
            dispatches.push(Dispatch {
                endpoint: observation.endpoint.clone(),
                order: endpoint::Order { fence, goal },
            });
        }
        dispatches
    }

    /// Forgets an order that its endpoint refused, so that it can be sent again
    /// at once.
    pub fn refused(&mut self, endpoint: &id::Endpoint) {
        self.pending.remove(endpoint);
    }

    /// Forgets orders that are complete or obsolete, that an earlier run of the
    /// endpoint received, or that have waited for [`RESEND_INTERVAL`], and orders
    /// of endpoints without a report.
    fn prune(&mut self, target: &Target, observations: &[Observation<'_>], now: Duration) {
        self.pending.retain(|endpoint, pending| {
            let report = observations
                .iter()
                .find(|observation| observation.endpoint == endpoint)
                .and_then(|observation| observation.report);
            let Some(report) = report else {
                return false;
            };
            let is_same_run = report.incarnation == pending.incarnation;
            let is_done = is_reached(&pending.goal, report);
            let is_still_targeted = match &pending.goal {
                endpoint::Goal::Load { version, .. } => *version == target.version,
                endpoint::Goal::Drain => true,
            };
            is_same_run && !is_done && is_still_targeted && now < pending.sent_at + RESEND_INTERVAL
        });
    }

    /// Number of loads that may start now.
    fn free_load_slots(
        &self,
        target: &Target,
        observations: &[Observation<'_>],
        now: Duration,
    ) -> u32 {
        if now < self.loads_allowed_from {
            return 0;
        }
        let is_loading = |observation: &&Observation<'_>| {
            let is_reported = observation
                .report
                .is_some_and(|report| report.state == endpoint::State::Loading);
            let is_sent = self
                .pending
                .get(observation.endpoint)
                .is_some_and(|pending| {
                    matches!(pending.goal, endpoint::Goal::Load { .. })
                        && now < pending.sent_at + RESEND_INTERVAL
                });
            is_reported || is_sent
        };
        let loading = observations.iter().filter(is_loading).count();
        let loading = u32::try_from(loading).unwrap_or(u32::MAX);
        target.loads_at_once.saturating_sub(loading)
    }
}

/// Goal to order for an endpoint, or `None` if its report needs no change.
fn next_goal(
    target: &Target,
    plan: directory::State,
    report: &endpoint::Report,
) -> Option<endpoint::Goal> {
    if plan == directory::State::Leaving {
        let is_draining = report.state == endpoint::State::Draining;
        return (!is_draining).then_some(endpoint::Goal::Drain);
    }
    let goal = endpoint::Goal::Load {
        model: target.model.clone(),
        version: target.version.clone(),
    };
    let is_current = report.model == target.model && report.version == target.version;
    match report.state {
        // The report does not show which version is loading until it is ready.
        endpoint::State::Loading => None,
        endpoint::State::Draining => Some(goal),
        endpoint::State::Ready => (!is_current).then_some(goal),
    }
}

fn is_reached(goal: &endpoint::Goal, report: &endpoint::Report) -> bool {
    match goal {
        endpoint::Goal::Load { model, version } => {
            let is_loaded = report.model == *model && report.version == *version;
            is_loaded && report.state == endpoint::State::Ready
        }
        endpoint::Goal::Drain => report.state == endpoint::State::Draining,
    }
}
