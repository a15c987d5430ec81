//! What the task takes from this host and gives to it.

use std::time::Duration;

use papayayard_coordination::{departure, exchange};
use papayayard_routing::admission as routing;
use papayayard_wire::endpoint;

use super::task::Task;
use crate::controllers::admission;

/// Between looks at this host's own demand and endpoints.
pub(super) const PERIOD: Duration = Duration::from_millis(500);

impl Task {
    /// Takes this host's own demand, endpoints and quarantine.
    pub(super) async fn observe(&mut self) {
        self.measure().await;
        let now = self.clock.now();
        let mut is_news = false;
        for status in self.links.fleet.status().await {
            if let Some(report) = status.report {
                is_news |= self.watch(&report, now);
            }
        }
        for verdict in self.links.fleet.verdicts().await {
            let left = Duration::from_millis(verdict.left_ms);
            let age = exchange::QUARANTINE_TTL.saturating_sub(left);
            is_news |= self.node.quarantine(verdict.fingerprint.0, age, now);
        }
        if is_news || self.node.shares.has_unmet_demand(now) {
            self.hurry();
        }
    }

    /// Takes an endpoint's report; a new run tells that the last one ended.
    fn watch(&mut self, report: &endpoint::Report, now: Duration) -> bool {
        let last = self
            .runs
            .insert(report.endpoint.clone(), report.incarnation);
        let mut is_news = self.node.departures.apply_report(report, now);
        if let Some(last) = last.filter(|last| *last != report.incarnation) {
            is_news |= self
                .node
                .departures
                .record_crash(&report.endpoint, last, now);
        }
        is_news
    }

    async fn measure(&mut self) {
        let now = self.clock.now();
        for (account, used) in self.links.admission.uses().await {
            let share = self.node.shares.share(&account, now);
            let demand = self.meter.sample(&account, used, share, PERIOD);
            self.node.shares.observe(&account, demand);
        }
    }

    /// Gives shares and departures to those that act on them.
    pub(super) async fn publish(&mut self) {
        let now = self.clock.now();
        let departing = self.departing(now);
        if departing != self.departing {
            self.links.fleet.departing(departing.clone()).await;
            self.departing = departing;
        }
        // Without the list it is not known how many hosts share the limits.
        if self.node.members.list().is_none() {
            return;
        }
        let (hosts, partners) = (self.node.members.counted(), self.node.members.partners());
        self.node.shares.set_hosts(hosts, partners);
        let Some(active) = self.links.active.borrow().clone() else {
            return;
        };
        let accounts = active.document.accounts.iter();
        let shares = accounts.map(|account| {
            let share = self.node.shares.share(&account.id, now);
            let share = routing::Share {
                per_second: share.requests_per_second(),
                open: share.open_requests(),
                weight: account.weight,
            };
            (account.id.clone(), share)
        });
        let shares: admission::Shares = shares.collect();
        self.links.shares.send_if_modified(|known| {
            let is_changed = *known != shares;
            *known = shares;
            is_changed
        });
    }

    fn departing(&self, now: Duration) -> Vec<departure::Signal> {
        self.node.departures.iter(now).cloned().collect()
    }
}
