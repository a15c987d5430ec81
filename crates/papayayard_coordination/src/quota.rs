//! Quotas of client accounts over all hosts together.
//!
//! Each host owns an equal part of every quota and pools it with the dispatcher that it
//! uses. A pool admits requests from token buckets whose rate and capacity follow the
//! number of parts that it holds. A part is counted by one pool at a time, so that all
//! pools together stay within the quota, whichever hosts are cut off or restarted.
//!
//! All times are readings of this host's monotonic clock. Amounts are in the unit of the
//! account's quota.

mod bucket;
mod hosts;
mod lease;
mod member;
mod message;
mod pool;
mod prepaid;
mod record;
mod room;

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::id;
use serde::{Deserialize, Serialize};

use member::Member;
use pool::Pool;
use prepaid::Prepaid;

pub use message::{Amount, MAX_AMOUNTS, MAX_RETURNED, Offer, Reply};
pub use pool::Reading;

/// How long a pool counts a part after it read its clock for the token. An idle host
/// calls once a second and repeats a token that is one call old; with 2 s its lease
/// would end before its next call arrives.
pub const LEASE: Duration = Duration::from_millis(2_500);
/// Factor by which a host waits longer than another host's clock says: 1.04 / 0.96, for
/// two clocks of which one is 4 % fast and one 4 % slow, rounded up.
const CLOCK_MARGIN: f64 = 1.09;
/// How long a host may spend a prepaid amount after it sent the call.
const PREPAID_DURATION: Duration = Duration::from_secs(2);

/// Time for which a part is bound after its host received the token that it repeats.
fn bound() -> Duration {
    LEASE.mul_f64(CLOCK_MARGIN)
}

/// Quota of a client account over all hosts, in the account's unit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    pub per_second: f64,
    pub burst: f64,
}

impl Quota {
    /// Whether both numbers are positive and finite; others set no limit.
    pub fn is_valid(self) -> bool {
        let is_positive = |number: f64| number.is_finite() && number > 0.0;
        is_positive(self.per_second) && is_positive(self.burst)
    }
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

impl Tolerance {
    /// Amount by which a window may exceed a quota.
    fn of(self, quota: Quota) -> f64 {
        let allowed = quota.per_second * self.window.as_secs_f64() + quota.burst;
        self.ratio * allowed + self.slack
    }
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
    pool: Pool,
    member: Member,
    prepaid: Prepaid,
}

impl Ledger {
    /// Creates the ledger of a process that starts at `now`.
    pub fn new(settings: Settings, now: Duration) -> Self {
        let is_first_start = settings.is_first_start;
        let member = Member::new(is_first_start, settings.tolerance, now);
        let pool = Pool::new(settings, member.free_from(), now);
        Self {
            pool,
            member,
            prepaid: Prepaid::default(),
        }
    }

    /// Sets the quotas of a revision of the configuration; accounts that are not
    /// listed have none.
    pub fn configure(
        &mut self,
        revision: id::Revision,
        quotas: &BTreeMap<id::Account, Quota>,
        now: Duration,
    ) {
        self.pool.configure(revision, quotas, now);
        self.prepaid.configure(quotas);
    }

    /// Sets the number of hosts that quotas are divided over: all that may run, whether
    /// or not they can be reached. Nothing is admitted before it is known.
    pub fn set_hosts(&mut self, hosts: usize, now: Duration) {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        self.pool.set_hosts(hosts, now);
    }

    /// Returns what this host states in a call to the dispatcher that it uses.
    pub fn offer(&mut self, dispatcher: &id::Host, now: Duration) -> Offer {
        let mut offer = self.member.offer(dispatcher, self.pool.hosts(), now);
        offer.wants = self.prepaid.wants(now);
        self.pool.set_own_from(self.member.free_from(), now);
        offer
    }

    /// Applies the answer to a call; `run` is the ID of the dispatcher's process, and
    /// `reply` is `None` from a dispatcher of a release without quotas.
    pub fn accept(
        &mut self,
        dispatcher: &id::Host,
        run: u64,
        reply: Option<&Reply>,
        sent_at: Duration,
        now: Duration,
    ) {
        let is_present = self.member.accept(dispatcher, run, reply, sent_at, now);
        self.pool.set_own_from(self.member.free_from(), now);
        if let Some(reply) = reply.filter(|_| is_present) {
            self.prepaid.accept(&reply.grants, sent_at, now);
        }
    }

    /// Charges a plain request to the prepaid amount, if that is sufficient.
    pub fn spend_prepaid(&mut self, charge: &Charge, now: Duration) -> bool {
        self.prepaid.spend(charge, now)
    }

    /// Returns the cost of a plain request that was charged to the prepaid amount and
    /// did not run.
    pub fn return_prepaid(&mut self, charge: &Charge, now: Duration) {
        self.prepaid.give_back(charge, now);
    }

    /// Returns the charge of a request that did not run with the next offer.
    pub fn return_to(&mut self, dispatcher: &id::Host, number: u64) {
        self.member.return_to(dispatcher, number);
    }

    /// Pools the part of a host that uses this host as its dispatcher.
    pub fn receive(&mut self, caller: Caller<'_>, offer: &Offer, now: Duration) -> Reply {
        self.pool.receive(caller, offer, now)
    }

    /// Charges a request of a host, or of this host if `caller` is `None`. A number is
    /// used for one charge; a repeated call is charged once. `deadline` is by the clock
    /// of `now`.
    pub fn charge(
        &mut self,
        caller: Option<Caller<'_>>,
        number: u64,
        charge: &Charge,
        deadline: Duration,
        now: Duration,
    ) -> Verdict {
        let verdict = self.pool.charge(caller, number, charge, deadline, now);
        if verdict == Verdict::Charged {
            self.member.use_own();
            return verdict;
        }
        if !self.contribute(charge, now) {
            return verdict;
        }
        self.pool.charge(caller, number, charge, deadline, now)
    }

    /// Returns the charge of a request that did not run. Returns whether there was one;
    /// this is applied once.
    pub fn return_charge(
        &mut self,
        caller: Option<Caller<'_>>,
        number: u64,
        now: Duration,
    ) -> bool {
        self.pool.return_charge(caller, number, now)
    }

    /// Number of parts in this host's pool.
    pub fn parts(&mut self, now: Duration) -> u32 {
        self.pool.parts(now)
    }

    /// Part of each quota that this host's pool may use, 0 to 1.
    pub fn share(&mut self, now: Duration) -> f64 {
        self.pool.share(now)
    }

    /// Buckets of this host's pool.
    pub fn readings(&mut self, now: Duration) -> Vec<Reading> {
        self.pool.readings(now)
    }

    /// Contributes this host's failover allowance to its own pool while its part is
    /// bound elsewhere.
    fn contribute(&mut self, charge: &Charge, now: Duration) -> bool {
        if self.pool.is_own_held(now) {
            return false;
        }
        let is_useful = self.pool.has_members() || self.pool.covers(charge);
        if !is_useful || !self.member.take_allowance(now) {
            return false;
        }
        self.pool.add_allowance(now);
        true
    }
}
