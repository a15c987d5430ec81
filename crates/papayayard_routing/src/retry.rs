//! Whether a failed request is sent again.
//!
//! Retries spend a budget that successes fill, for each service and account,
//! so that a fault cannot multiply the load that caused it. A request that may
//! have run is sent again only if it is idempotent.

use std::collections::HashMap;

use papayayard_wire::{id, refusal};

/// Limits on retries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries that one success pays for.
    pub per_success: f64,
    /// Retries that may be saved up, and that a new account starts with.
    pub reserve: f64,
    /// Times that one request is sent at most.
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

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No connection came about.
    Unreachable,
    /// The endpoint refused without running it.
    Refused,
    /// The endpoint's process ended.
    Crashed,
    /// The answer broke off or had no end mark.
    Broken,
    /// The answer bore another request's id or another run's number.
    Mismatched,
    /// No answer came in time.
    TimedOut,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::Unreachable,
        Self::Refused,
        Self::Crashed,
        Self::Broken,
        Self::Mismatched,
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
            Self::TimedOut => "timed_out",
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Whether the endpoint ran it.
    pub ran: refusal::Ran,
    /// Whether running it twice changes nothing.
    pub idempotent: bool,
    /// Times that it was sent so far.
    pub attempts: u32,
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// It was sent as often as allowed.
    Attempts,
    /// The budget is spent.
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
    /// Budgets that all hold their reserve.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            remaining: HashMap::new(),
        }
    }

    /// Counts a request that ended whole.
    pub fn record_success(&mut self, service: &id::Service, account: &id::Account) {
        let Settings {
            per_success,
            reserve,
            ..
        } = self.settings;
        let remaining = self.remaining(service, account);
        *remaining = (*remaining + per_success).min(reserve);
    }

    /// Spends a retry, or tells why there is none.
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
