//! Prepaid amounts of one host, from which it admits plain requests without a call.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use papayayard_wire::id;

use super::message::{Amount, MAX_AMOUNTS};
use super::{Charge, PREPAID_DURATION, Quota};

/// Time over which recent demand is measured, and for which amounts are requested.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Time between two requests for an account's amount. Calls overlap, and each would
/// otherwise request the same amount.
const REQUEST_PERIOD: Duration = Duration::from_millis(150);
/// Maximum number of remembered payments of an account.
const MAX_PAYMENTS: usize = 64;

/// An amount, and the time until which it may be spent.
#[derive(Clone, Copy, Debug)]
struct Grant {
    amount: f64,
    until: Duration,
}

/// Prepaid amounts and demand of one account.
#[derive(Debug, Default)]
struct Purse {
    quota: Option<Quota>,
    /// In the order of their ends.
    grants: VecDeque<Grant>,
    /// Payments whose amount may be given back.
    payments: VecDeque<Grant>,
    /// Demand in the present and the previous period.
    demand: f64,
    last_demand: f64,
    period_from: Duration,
    requested_at: Option<Duration>,
}

impl Purse {
    fn observe(&mut self, cost: f64, now: Duration) {
        self.turn(now);
        self.demand += cost;
    }

    fn turn(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.period_from);
        if elapsed < DEMAND_PERIOD {
            return;
        }
        let is_next = elapsed < DEMAND_PERIOD * 2;
        self.last_demand = if is_next { self.demand } else { 0.0 };
        self.demand = 0.0;
        self.period_from = now;
    }

    fn expire(&mut self, now: Duration) {
        while self.grants.front().is_some_and(|grant| grant.until <= now) {
            self.grants.pop_front();
        }
        self.payments.retain(|paid| paid.until > now);
    }

    fn add(&mut self, grant: Grant) {
        let at = self
            .grants
            .partition_point(|other| other.until <= grant.until);
        self.grants.insert(at, grant);
    }

    fn available(&self) -> f64 {
        self.grants.iter().map(|grant| grant.amount).sum()
    }

    /// Pays a cost from the grants that end first.
    fn pay(&mut self, cost: f64) {
        let mut rest = cost;
        while let Some(grant) = self.grants.front_mut() {
            let amount = grant.amount.min(rest);
            let until = grant.until;
            grant.amount -= amount;
            rest -= amount;
            if amount > 0.0 {
                self.payments.push_back(Grant { amount, until });
            }
            if rest <= 0.0 {
                break;
            }
            self.grants.pop_front();
        }
        while self.payments.len() > MAX_PAYMENTS {
            self.payments.pop_front();
        }
    }

    /// Gives back a cost, to be spent until the payments' grants would have ended.
    fn give_back(&mut self, cost: f64) {
        let mut rest = cost;
        while rest > 0.0
            && let Some(mut paid) = self.payments.pop_front()
        {
            let amount = paid.amount.min(rest);
            rest -= amount;
            self.add(Grant {
                amount,
                until: paid.until,
            });
            paid.amount -= amount;
            if paid.amount > 0.0 {
                self.payments.push_front(paid);
            }
        }
    }

    fn want(&self) -> f64 {
        self.demand.max(self.last_demand) - self.available()
    }

    fn is_idle(&self) -> bool {
        self.demand <= 0.0 && self.last_demand <= 0.0 && self.grants.is_empty()
    }
}

/// Prepaid amounts of all accounts.
#[derive(Debug, Default)]
pub(super) struct Prepaid(BTreeMap<id::Account, Purse>);

impl Prepaid {
    /// Drops the amounts of accounts whose quota has changed.
    pub(super) fn configure(&mut self, quotas: &BTreeMap<id::Account, Quota>) {
        self.0
            .retain(|account, purse| quotas.get(account).copied() == purse.quota);
    }

    pub(super) fn spend(&mut self, charge: &Charge, now: Duration) -> bool {
        let purse = self.0.entry(charge.account.clone()).or_default();
        if purse.quota != Some(charge.quota) {
            purse.quota = Some(charge.quota);
            purse.grants.clear();
            purse.payments.clear();
        }
        purse.observe(charge.cost, now);
        purse.expire(now);
        if purse.available() < charge.cost {
            return false;
        }
        purse.pay(charge.cost);
        true
    }

    pub(super) fn give_back(&mut self, charge: &Charge, now: Duration) {
        if let Some(purse) = self.0.get_mut(&charge.account) {
            purse.expire(now);
            purse.give_back(charge.cost);
        }
    }

    /// Amounts to request, the largest ones if there are too many.
    pub(super) fn wants(&mut self, now: Duration) -> Vec<Amount> {
        for purse in self.0.values_mut() {
            purse.turn(now);
            purse.expire(now);
        }
        self.0.retain(|_, purse| !purse.is_idle());
        let is_due = |purse: &Purse| {
            let requested_at = purse.requested_at;
            requested_at.is_none_or(|at| at + REQUEST_PERIOD <= now)
        };
        let due = self.0.iter().filter(|(_, purse)| is_due(purse));
        let wants = due.map(|(account, purse)| Amount {
            account: account.clone(),
            amount: purse.want(),
        });
        let mut wants: Vec<Amount> = wants.filter(|want| want.amount > 0.0).collect();
        wants.sort_by(|one, other| other.amount.total_cmp(&one.amount));
        wants.truncate(MAX_AMOUNTS);
        for want in &wants {
            if let Some(purse) = self.0.get_mut(&want.account) {
                purse.requested_at = Some(now);
            }
        }
        wants
    }

    /// Adds the grants of an answer to a call sent at `sent_at`.
    pub(super) fn accept(&mut self, grants: &[Amount], sent_at: Duration, now: Duration) {
        let until = sent_at + PREPAID_DURATION;
        if until <= now {
            return;
        }
        for grant in grants.iter().take(MAX_AMOUNTS) {
            let purse = self.0.get_mut(&grant.account);
            let Some(purse) = purse.filter(|_| grant.amount > 0.0) else {
                continue;
            };
            purse.add(Grant {
                amount: grant.amount,
                until,
            });
        }
    }
}
