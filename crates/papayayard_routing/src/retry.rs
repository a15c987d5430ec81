//! Decision whether a failed request is retried.
//!
//! Retries use a budget per service and account that successes refill, so that a
//! fault cannot multiply the load that caused it. A request that may have run is
//! retried only if it is idempotent.

use std::collections::HashMap;

use papayayard_wire::{id, refusal};

/// Limits on retries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries that one success adds to the budget.
    pub per_success: f64,
    /// Maximum budget, in retries, and the budget of a new account.
    pub reserve: f64,
    /// Maximum number of attempts per request.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            per_success: 0.1,
            reserve: 10.0,
            attempts: 3,
        }
    }
}

/// Why a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The connection could not be established.
    Unreachable,
    /// The endpoint refused the request without running it.
    Refused,
    /// The endpoint's process ended.
    Crashed,
    /// The answer broke off or had no end mark.
    Broken,
    /// The answer had another request's id or another run's number.
    Mismatched,
    /// The status means that the request did not run, without the endpoint's statement.
    Unconfirmed,
    /// No answer arrived in time.
    TimedOut,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Unreachable,
        Self::Refused,
        Self::Crashed,
        Self::Broken,
        Self::Mismatched,
        Self::Unconfirmed,
        Self::TimedOut,
    ];

    /// Name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Crashed => "crashed",
            Self::Broken => "broken",
            Self::Mismatched => "mismatched",
            Self::Unconfirmed => "unconfirmed",
            Self::TimedOut => "timed_out",
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Whether the endpoint ran the request.
    pub ran: refusal::Ran,
    /// Whether running the request twice has no further effect.
    pub idempotent: bool,
    /// Number of attempts so far.
    pub attempts: u32,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The request may have run and is not idempotent.
    MayHaveRun,
    /// The request has used all its attempts.
    Attempts,
    /// The budget is exhausted.
    Budget,
}

impl Denial {
    /// Name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may_have_run",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
        }
    }
}

/// Budgets of all services and accounts.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    remaining: HashMap<id::Service, HashMap<id::Account, f64>>,
}

impl Budget {
    /// Creates budgets that all hold their reserve.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            remaining: HashMap::new(),
        }
    }

    /// Records a request that completed.
    pub fn record_success(&mut self, service: &id::Service, account: &id::Account) {
        let Settings {
            per_success,
            reserve,
            ..
        } = self.settings;
        let remaining = self.remaining(service, account);
        *remaining = (*remaining + per_success).min(reserve);
    }

    /// Takes one retry from the budget, or returns why the request is not retried.
    pub fn retry(
        &mut self,
        service: &id::Service,
        account: &id::Account,
        failure: Failure,
    ) -> Result<(), Denial> {
        if failure.ran != refusal::Ran::No && !failure.idempotent {
            return Err(Denial::MayHaveRun);
        }
        if failure.attempts >= self.settings.attempts {
            return Err(Denial::Attempts);
        }
        let remaining = self.remaining(service, account);
        if *remaining < 1.0 {
            return Err(Denial::Budget);
        }
        *remaining -= 1.0;
        Ok(())
    }

    fn remaining(&mut self, service: &id::Service, account: &id::Account) -> &mut f64 {
        if !self.remaining.contains_key(service) {
            self.remaining.insert(service.clone(), HashMap::new());
        }
        let accounts = self.remaining.entry(service.clone()).or_default();
        accounts
            .entry(account.clone())
            .or_insert(self.settings.reserve)
    }
}
