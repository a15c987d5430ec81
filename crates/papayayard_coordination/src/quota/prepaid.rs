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
struct Balance {
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

impl Balance {
    fn observe(&mut self, cost: f64, now: Duration) {
        self.rotate(now);
        self.demand += cost;
    }

    fn rotate(&mut self, now: Duration) {
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
pub(super) struct Prepaid(BTreeMap<id::Account, Balance>);

impl Prepaid {
    /// Drops the amounts of accounts whose quota has changed.
    pub(super) fn configure(&mut self, quotas: &BTreeMap<id::Account, Quota>) {
        self.0
            .retain(|account, balance| quotas.get(account).copied() == balance.quota);
    }

    pub(super) fn spend(&mut self, charge: &Charge, now: Duration) -> bool {
        let balance = self.0.entry(charge.account.clone()).or_default();
        if balance.quota != Some(charge.quota) {
            balance.quota = Some(charge.quota);
            balance.grants.clear();
            balance.payments.clear();
        }
        balance.observe(charge.cost, now);
        balance.expire(now);
        if balance.available() < charge.cost {
            return false;
        }
        balance.pay(charge.cost);
        true
    }

    pub(super) fn give_back(&mut self, charge: &Charge, now: Duration) {
        if let Some(balance) = self.0.get_mut(&charge.account) {
            balance.expire(now);
            balance.give_back(charge.cost);
        }
    }

    /// Amounts to request, the largest ones if there are too many.
    pub(super) fn wants(&mut self, now: Duration) -> Vec<Amount> {
        for balance in self.0.values_mut() {
            balance.rotate(now);
            balance.expire(now);
        }
        self.0.retain(|_, balance| !balance.is_idle());
        let is_due = |balance: &Balance| {
            let requested_at = balance.requested_at;
            requested_at.is_none_or(|at| at + REQUEST_PERIOD <= now)
        };
        let due = self.0.iter().filter(|(_, balance)| is_due(balance));
        let wants = due.map(|(account, balance)| Amount {
            account: account.clone(),
            amount: balance.want(),
        });
        let mut wants: Vec<Amount> = wants.filter(|want| want.amount > 0.0).collect();
        wants.sort_by(|one, other| other.amount.total_cmp(&one.amount));
        wants.truncate(MAX_AMOUNTS);
        for want in &wants {
            if let Some(balance) = self.0.get_mut(&want.account) {
                balance.requested_at = Some(now);
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
            let balance = self.0.get_mut(&grant.account);
            let Some(balance) = balance.filter(|_| grant.amount > 0.0) else {
                continue;
            };
            balance.add(Grant {
                amount: grant.amount,
                until,
            });
        }
    }
}
