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
pub const PATIENCE: Duration = Duration::from_secs(5);

/// Time after a change of the lease in which no loads begin, so that those of
/// the earlier holder show in the reports.
pub const HANDOVER: Duration = Duration::from_secs(1);

/// What a service's endpoints should be like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// Model.
    pub model: id::Model,
    /// Version of the weights.
    pub version: id::Version,
    /// Endpoints that load weights at once, at most.
    pub loads_at_once: u32,
}

/// An endpoint as it is seen.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    /// Name.
    pub endpoint: &'a id::Endpoint,
    /// What the platform plans for it.
    pub plan: directory::State,
    /// Its last report; none where it has not been heard.
    pub report: Option<&'a endpoint::Report>,
}

/// An order to give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Given {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Order.
    pub order: endpoint::Order,
}

#[derive(Clone, Debug)]
struct Sent {
    goal: endpoint::Goal,
    incarnation: id::Incarnation,
    at: Duration,
}

/// Orders of one model service.
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    sent: BTreeMap<id::Endpoint, Sent>,
    fence: id::Fence,
    loads_from: Duration,
}

impl Reconciler {
    /// The orders to give now under the fencing number `fence`.
    pub fn reconcile(
        &mut self,
        wanted: &Wanted,
        seen: &[Seen<'_>],
        fence: id::Fence,
        now: Duration,
    ) -> Vec<Given> {
        if fence != self.fence {
            // What an earlier lease sent may or may not have been taken.
            self.sent.clear();
            self.fence = fence;
            self.loads_from = now + HANDOVER;
        }
        self.settle(wanted, seen, now);
        let mut free = self.free(wanted, seen, now);
        let mut given = Vec::new();
        for one in seen {
            let Some(report) = one.report else {
                continue;
            };
            let Some(goal) = missing(wanted, one.plan, report) else {
                continue;
            };
            let is_pending = self.sent.contains_key(one.endpoint);
            let is_load = matches!(goal, endpoint::Goal::Load { .. });
            if is_pending || (is_load && free == 0) {
                continue;
            }
            if is_load {
                free -= 1;
            }
            let sent = Sent {
                goal: goal.clone(),
                incarnation: report.incarnation,
                at: now,
            };
            self.sent.insert(one.endpoint.clone(), sent);
            given.push(Given {
                endpoint: one.endpoint.clone(),
                order: endpoint::Order { fence, goal },
            });
        }
        given
    }

    /// Takes down that an endpoint refused an order, so that it is not waited
    /// for.
    pub fn refused(&mut self, endpoint: &id::Endpoint) {
        self.sent.remove(endpoint);
    }

    /// Forgets orders that were carried out, that another run got, or whose
    /// time is over.
    fn settle(&mut self, wanted: &Wanted, seen: &[Seen<'_>], now: Duration) {
        self.sent.retain(|endpoint, sent| {
            let report = seen
                .iter()
                .find(|one| one.endpoint == endpoint)
                .and_then(|one| one.report);
            let Some(report) = report else {
                return false;
            };
            let is_same_run = report.incarnation == sent.incarnation;
            let is_done = done(&sent.goal, report);
            let is_wanted = match &sent.goal {
                endpoint::Goal::Load { version, .. } => *version == wanted.version,
                endpoint::Goal::Drain => true,
            };
            is_same_run && !is_done && is_wanted && now < sent.at + PATIENCE
        });
    }

    /// Loads that may begin now.
    fn free(&self, wanted: &Wanted, seen: &[Seen<'_>], now: Duration) -> u32 {
        if now < self.loads_from {
            return 0;
        }
        let is_loading = |one: &&Seen<'_>| {
            let is_reported = one
                .report
                .is_some_and(|report| report.state == endpoint::State::Loading);
            let is_sent = self.sent.get(one.endpoint).is_some_and(|sent| {
                matches!(sent.goal, endpoint::Goal::Load { .. }) && now < sent.at + PATIENCE
            });
            is_reported || is_sent
        };
        let loading = seen.iter().filter(is_loading).count();
        let loading = u32::try_from(loading).unwrap_or(u32::MAX);
        wanted.loads_at_once.saturating_sub(loading)
    }
}

/// What is still to be ordered of an endpoint.
fn missing(
    wanted: &Wanted,
    plan: directory::State,
    report: &endpoint::Report,
) -> Option<endpoint::Goal> {
    if plan == directory::State::Leaving {
        let is_draining = report.state == endpoint::State::Draining;
        return (!is_draining).then_some(endpoint::Goal::Drain);
    }
    let goal = endpoint::Goal::Load {
        model: wanted.model.clone(),
        version: wanted.version.clone(),
    };
    let is_current = report.model == wanted.model && report.version == wanted.version;
    match report.state {
        // It loads something; what it is shows when it is ready.
        endpoint::State::Loading => None,
        endpoint::State::Draining => Some(goal),
        endpoint::State::Ready => (!is_current).then_some(goal),
    }
}

fn done(goal: &endpoint::Goal, report: &endpoint::Report) -> bool {
    match goal {
        endpoint::Goal::Load { model, version } => {
            let is_loaded = report.model == *model && report.version == *version;
            is_loaded && report.state == endpoint::State::Ready
        }
        endpoint::Goal::Drain => report.state == endpoint::State::Draining,
    }
}
