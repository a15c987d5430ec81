//! Brings each endpoint of a model service to the document's weights.
//!
//! Orders state what is wanted, and only what endpoints report counts as done.
//! At each look the reconciler compares reports with the wanted version and
//! gives the orders that are missing, so a lost order is given again, and what
//! a stale order of an earlier holder did is undone by the present one. It
//! needs no memory of its own beyond the orders of the last moments.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::{directory, endpoint, id};

/// Time after which an order that shows no effect is given again.
pub const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Time after a change of the lease in which no loads begin, so that those of
/// the earlier holder show in the reports.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// What a service's endpoints should be like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Model.
    pub model: id::Model,
    /// Version of the weights.
    pub version: id::Version,
    /// Endpoints that load weights at once, at most.
    pub loads_at_once: u32,
}

/// An endpoint as it is seen.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Name.
    pub endpoint: &'a id::Endpoint,
    /// What the platform plans for it.
    pub plan: directory::State,
    /// Its last report; none where it has not been heard.
    pub report: Option<&'a endpoint::Report>,
}

/// An order to give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Order.
    pub order: endpoint::Order,
}

#[derive(Clone, Debug)]
struct Pending {
    goal: endpoint::Goal,
    incarnation: id::Incarnation,
    sent_at: Duration,
}

/// Orders of one model service.
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    pending: BTreeMap<id::Endpoint, Pending>,
    fence: id::Fence,
    loads_allowed_from: Duration,
}

impl Reconciler {
    /// The orders to give now under the fencing number `fence`.
    pub fn reconcile(
        &mut self,
        target: &Target,
        observations: &[Observation<'_>],
        fence: id::Fence,
        now: Duration,
    ) -> Vec<Dispatch> {
        if fence != self.fence {
            // What an earlier lease sent may or may not have been taken.
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

    /// Takes down that an endpoint refused an order, so that it is not waited
    /// for.
    pub fn refused(&mut self, endpoint: &id::Endpoint) {
        self.pending.remove(endpoint);
    }

    /// Forgets orders that were carried out, that another run got, or whose
    /// time is over.
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

    /// Loads that may begin now.
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

/// What is still to be ordered of an endpoint.
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
        // It loads something; what it is shows when it is ready.
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
