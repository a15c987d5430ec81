//! Quotas of client accounts over all hosts together.
//!
//! Each host owns an equal part of every quota and pools it with the dispatcher that
//! it uses, for the time of a lease. A pool admits requests from token buckets whose
//! rate and capacity follow the number of parts that it holds.

mod message;

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::id;
use serde::{Deserialize, Serialize};

pub use message::{Amount, MAX_AMOUNTS, MAX_RETURNED, Offer, Reply};

/// Quota of a client account over all hosts, in the account's unit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    pub per_second: f64,
    pub burst: f64,
}

/// By how much what is admitted in a window may exceed a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    pub window: Duration,
    /// Part of the quota of a window.
    pub ratio: f64,
    /// Amount in the unit of the quota.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            ratio: 0.0,
            slack: 0.0,
        }
    }
}

/// Cost of a request, and the quota as the requesting host knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Charge {
    pub account: id::Account,
    pub cost: f64,
    #[serde(flatten)]
    pub quota: Quota,
    pub revision: id::Revision,
}

/// Decision on a charge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Charged,
    Refused { retry_after: Duration },
}

/// Settings of a [`Ledger`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host.
    pub host: id::Host,
    /// Random ID of this host's process.
    pub run: u64,
    pub tolerance: Tolerance,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
}

/// Host that requests a placement.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    pub host: &'a id::Host,
    /// Random ID of the host's process.
    pub run: u64,
}

/// What one host knows about the quotas: its pool, and where its own part is.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
}

impl Ledger {
    /// Creates the ledger of a process that starts at `now`.
    pub fn new(settings: Settings, _now: Duration) -> Self {
        Self { settings }
    }

    /// Sets the quotas of a revision of the configuration; accounts that are not
    /// listed have none.
    pub fn configure(
        &mut self,
        _revision: id::Revision,
        _quotas: &BTreeMap<id::Account, Quota>,
        _now: Duration,
    ) {
    }

    /// Sets the number of hosts that quotas are divided over.
    pub fn set_hosts(&mut self, _hosts: usize, _now: Duration) {}

    /// Returns what this host states in a call to its dispatcher.
    pub fn offer(&mut self, _dispatcher: &id::Host, _now: Duration) -> Offer {
        Offer::default()
    }

    /// Applies the answer to a call; `run` is the ID of the dispatcher's process, and
    /// `reply` is `None` from a dispatcher of a release without quotas.
    pub fn accept(
        &mut self,
        _dispatcher: &id::Host,
        _run: u64,
        _reply: Option<&Reply>,
        _sent_at: Duration,
        _now: Duration,
    ) {
    }

    /// Charges a plain request to the prepaid amount, if that is sufficient.
    pub fn spend_prepaid(&mut self, _charge: &Charge, _now: Duration) -> bool {
        false
    }

    /// Returns the charge of a request that did not run with the next offer.
    pub fn return_to(&mut self, _dispatcher: &id::Host, _number: u64) {}

    /// Pools the part of a host that uses this host as its dispatcher.
    pub fn receive(&mut self, _host: &id::Host, _run: u64, _offer: &Offer, now: Duration) -> Reply {
        let _ = &self.settings;
        Reply {
            token: now,
            grants: Vec::new(),
        }
    }

    /// Charges a request of a host, or of this host if `caller` is `None`. A number is
    /// used for one charge; `deadline` is by the clock of `now`.
    pub fn charge(
        &mut self,
        _caller: Option<Caller<'_>>,
        _number: u64,
        _charge: &Charge,
        _deadline: Duration,
        _now: Duration,
    ) -> Verdict {
        Verdict::Charged
    }

    /// Returns the charge of a request that did not run; this is applied once.
    pub fn return_charge(&mut self, _caller: Option<Caller<'_>>, _number: u64, _now: Duration) {}
}
