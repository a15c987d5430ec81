//! The dispatcher's side: buckets that are filled by the parts of the hosts that use it.
//!
//! A part leaves at a known time without a message, so the pool first applies all starts
//! and ends of leases up to the present, in their order. The share changes only then,
//! and only then are all buckets visited.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use papayayard_wire::id;

use super::bucket::{self, Bucket, Scale};
use super::hosts::Hosts;
use super::lease::Lease;
use super::message::{Amount, MAX_AMOUNTS, MAX_RETURNED, Offer, Reply};
use super::record::{Paid, Record};
use super::{Caller, Charge, LEASE, Quota, Settings, Verdict, bound};

/// Time in which a host contributes its failover allowance at most once; hosts do so
/// less often.
const ALLOWANCE_PERIOD: Duration = Duration::from_secs(8);
/// Longest time between two checks of all hosts.
const CHECK_PERIOD: Duration = Duration::from_secs(10);
/// Time after which a host without a lease, or an account without a quota, is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// One host that uses this pool.
#[derive(Debug, Default)]
struct Member {
    lease: Lease,
    record: Record,
    called_at: Duration,
    allowance_at: Option<Duration>,
    is_full: bool,
}

/// State of a bucket, for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    pub account: id::Account,
    /// Amount that the bucket holds, in the unit of the quota.
    pub level: f64,
    /// Capacity, in the unit of the quota.
    pub capacity: f64,
    /// Prepaid amounts that hosts may still spend, in the unit of the quota.
    pub prepaid: f64,
}

/// Buckets of all accounts.
#[derive(Debug)]
pub(super) struct Pool {
    settings: Settings,
    /// Time up to which everything is applied.
    now: Duration,
    members: BTreeMap<id::Host, Member>,
    own_record: Record,
    /// Time from which this host's own part is in the pool.
    own_from: Duration,
    /// Parts that came with full buckets.
    full_parts: u32,
    parts: u32,
    share: f64,
    hosts: Hosts,
    /// Time by which the parts of hosts that move to this pool should be in it.
    complete_at: Duration,
    /// A time up to which no lease starts or ends.
    next_event: Duration,
    buckets: BTreeMap<id::Account, Bucket>,
    is_configured: bool,
    /// Ends of the failover allowances that may be used.
    allowances: VecDeque<Duration>,
    expired_allowances: f64,
    last_number: u64,
}

impl Pool {
    pub(super) fn new(settings: Settings, own_from: Duration, now: Duration) -> Self {
        let is_first_start = settings.is_first_start;
        Self {
            settings,
            now,
            members: BTreeMap::new(),
            own_record: Record::default(),
            own_from,
            full_parts: u32::from(is_first_start),
            parts: u32::from(own_from <= now),
            share: 0.0,
            hosts: Hosts::new((!is_first_start).then_some(now)),
            complete_at: now + bound(),
            next_event: now,
            buckets: BTreeMap::new(),
            is_configured: false,
            allowances: VecDeque::new(),
            expired_allowances: 0.0,
            last_number: 0,
        }
    }

    pub(super) fn share(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.share
    }

    pub(super) fn parts(&mut self, now: Duration) -> u32 {
        self.advance(now);
        self.parts
    }

    pub(super) const fn hosts(&self) -> u32 {
        self.hosts.own()
    }

    pub(super) fn readings(&mut self, now: Duration) -> Vec<Reading> {
        let now = self.advance(now);
        let share = self.share;
        let buckets = self.buckets.iter_mut();
        let readings = buckets.map(|(account, bucket)| {
            bucket.settle(share, now);
            bucket.expire_prepaid(now);
            Reading {
                account: account.clone(),
                level: bucket.level(),
                capacity: bucket.quota().burst * share,
                prepaid: bucket.outstanding(),
            }
        });
        readings.collect()
    }

    pub(super) fn configure(
        &mut self,
        revision: id::Revision,
        quotas: &BTreeMap<id::Account, Quota>,
        now: Duration,
    ) {
        let now = self.advance(now);
        self.buckets.retain(|account, bucket| {
            let is_listed = quotas.contains_key(account);
            let is_used = now < bucket.used_at + IDLE_TIMEOUT;
            is_listed || (bucket.revision() > revision && is_used)
        });
        for (account, quota) in quotas {
            self.update(account, *quota, revision);
        }
        if !self.is_configured {
            self.is_configured = true;
            self.fill();
        }
    }

    pub(super) fn set_hosts(&mut self, hosts: u32, now: Duration) {
        let now = self.advance(now);
        let is_first = self.hosts.own() == 0;
        self.hosts.set_own(hosts, now);
        self.check(now);
        if is_first {
            self.fill();
        }
    }

    /// Sets the time from which this host's own part is in the pool.
    pub(super) fn set_own_from(&mut self, from: Duration, now: Duration) {
        let now = self.advance(now);
        if from != self.own_from {
            self.own_from = from;
            self.check(now);
        }
    }

    pub(super) fn is_own_held(&mut self, now: Duration) -> bool {
        let now = self.advance(now);
        self.own_from <= now
    }

    pub(super) fn has_members(&self) -> bool {
        let is_recent = |member: &Member| self.now < member.called_at + LEASE;
        self.members.values().any(is_recent)
    }

    /// Adds a failover allowance.
    pub(super) fn add_allowance(&mut self, now: Duration) {
        self.allowances.push_back(now + LEASE);
    }

    pub(super) fn receive(&mut self, caller: Caller<'_>, offer: &Offer, now: Duration) -> Reply {
        let now = self.advance(now);
        let run = self.settings.run;
        let member = self.members.entry(caller.host.clone()).or_default();
        if now >= member.called_at + LEASE {
            self.complete_at = now + bound();
        }
        member.called_at = now;
        if offer.hosts > 0 {
            self.hosts.observe(offer.hosts, now);
            self.update_share(now);
        }
        let token = offer.token.filter(|token| token.run == run);
        let until = token.filter(|token| token.ms <= now && now < token.ms + LEASE);
        if let Some(until) = until.map(|token| token.ms + LEASE) {
            self.pool_part(caller.host, offer, until, now);
        }
        for number in offer.returned.iter().take(MAX_RETURNED) {
            self.return_charge(Some(caller), *number, now);
        }
        let wants = offer.wants.iter().take(MAX_AMOUNTS);
        let grants = wants.filter_map(|want| self.grant(want, now));
        Reply {
            grants: grants.collect(),
            token: Duration::from_millis(u64::try_from(now.as_millis()).unwrap_or(0)),
        }
    }

    pub(super) fn charge(
        &mut self,
        caller: Option<Caller<'_>>,
        number: u64,
        charge: &Charge,
        deadline: Duration,
        now: Duration,
    ) -> Verdict {
        let now = self.advance(now);
        let key = (
            caller.map_or(self.settings.run, |caller| caller.run),
            number,
        );
        let is_charged = self
            .record(caller)
            .is_some_and(|record| record.is_charged(key));
        if is_charged {
            return Verdict::Charged;
        }
        self.update(&charge.account, charge.quota, charge.revision);
        let scale = self.scale();
        let tolerance = self.settings.tolerance;
        let Some(bucket) = self.buckets.get_mut(&charge.account) else {
            return Verdict::Charged;
        };
        let cost = if charge.cost.is_nan() {
            0.0
        } else {
            charge.cost.max(0.0)
        };
        let Some(amount) = bucket.charge(cost, tolerance, scale, now) else {
            let scale = self.scale_with_next();
            let bucket = self.buckets.get_mut(&charge.account);
            let retry_after = bucket.map(|bucket| bucket.refuse(cost, scale, deadline, now));
            return Verdict::Refused {
                retry_after: retry_after.unwrap_or_default(),
            };
        };
        let paid = Paid {
            account: charge.account.clone(),
            amount,
            number: scale.number,
        };
        match caller {
            None => self.own_record.add(key, paid, now),
            Some(caller) => {
                let member = self.members.entry(caller.host.clone()).or_default();
                member.record.add(key, paid, now);
            }
        }
        Verdict::Charged
    }

    pub(super) fn return_charge(
        &mut self,
        caller: Option<Caller<'_>>,
        number: u64,
        now: Duration,
    ) -> bool {
        let now = self.advance(now);
        let key = (
            caller.map_or(self.settings.run, |caller| caller.run),
            number,
        );
        let share = self.share;
        let Some(paid) = self.record(caller).and_then(|record| record.take(key, now)) else {
            return false;
        };
        if let Some(bucket) = self.buckets.get_mut(&paid.account) {
            bucket.give_back(paid.number, paid.amount, share, now);
        }
        true
    }

    fn record(&mut self, caller: Option<Caller<'_>>) -> Option<&mut Record> {
        let Some(caller) = caller else {
            return Some(&mut self.own_record);
        };
        let member = self.members.get_mut(caller.host)?;
        Some(&mut member.record)
    }

    /// Counts a host's part until the end of its lease.
    fn pool_part(&mut self, host: &id::Host, offer: &Offer, until: Duration, now: Duration) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        let was_held = member.lease.is_held();
        let from = now + offer.free_in_ms.min(IDLE_TIMEOUT);
        member.lease.extend(from, until, now);
        if let Some(next) = member.lease.next() {
            self.next_event = self.next_event.min(next);
        }
        let is_allowed = member
            .allowance_at
            .is_none_or(|at| at + ALLOWANCE_PERIOD <= now);
        let is_contributed = offer.allowance && is_allowed;
        if is_contributed {
            member.allowance_at = Some(now);
        }
        let is_new = offer.is_full && !member.is_full;
        member.is_full |= is_new;
        if member.lease.is_held() && !was_held {
            self.parts += 1;
            self.update_share(now);
        }
        if is_contributed {
            self.add_allowance(now);
        }
        if is_new {
            self.add_full_part();
        }
    }

    fn grant(&mut self, want: &Amount, now: Duration) -> Option<Amount> {
        let scale = self.scale();
        let bucket = self.buckets.get_mut(&want.account)?;
        let amount = bucket.prepay(want.amount, self.settings.tolerance, scale, now);
        (amount > 0.0).then(|| Amount {
            account: want.account.clone(),
            amount,
        })
    }

    fn update(&mut self, account: &id::Account, quota: Quota, revision: id::Revision) {
        if !quota.is_valid() {
            return;
        }
        let scale = self.scale();
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.settle(scale.share, self.now);
            bucket.update(quota, revision, scale);
            return;
        }
        let bucket = Bucket::new(quota, revision, scale.number, self.now);
        self.buckets.insert(account.clone(), bucket);
    }

    /// Fills the buckets with the parts that came full. This is done once, when the
    /// quotas and the number of hosts are first known.
    fn fill(&mut self) {
        let hosts = self.hosts.count(self.now);
        if !self.is_configured || hosts == 0 || self.full_parts == 0 {
            return;
        }
        let part = f64::from(self.full_parts) / f64::from(hosts);
        let share = part.min(self.share);
        for bucket in self.buckets.values_mut() {
            bucket.fill(share);
        }
    }

    fn add_full_part(&mut self) {
        self.full_parts += 1;
        let hosts = self.hosts.count(self.now);
        if hosts == 0 {
            return;
        }
        let scale = self.scale();
        for bucket in self.buckets.values_mut() {
            bucket.add_part(1.0 / f64::from(hosts), scale);
        }
    }

    /// Applies all starts and ends of leases up to `now`.
    fn advance(&mut self, now: Duration) -> Duration {
        while self.next_event <= now {
            let at = self.next_event.max(self.now);
            self.now = at;
            self.check(at);
        }
        self.now = self.now.max(now);
        while self.allowances.front().is_some_and(|end| *end <= self.now) {
            self.allowances.pop_front();
            self.expired_allowances += 1.0;
        }
        self.now
    }

    /// Counts the parts at a time, and finds the time of the next start or end.
    fn check(&mut self, at: Duration) {
        let mut next = at + CHECK_PERIOD;
        let mut parts = u32::from(self.own_from <= at);
        if self.own_from > at {
            next = next.min(self.own_from);
        }
        for member in self.members.values_mut() {
            member.lease.advance(at);
            parts += u32::from(member.lease.is_held());
            if let Some(event) = member.lease.next() {
                next = next.min(event);
            }
            member.record.expire(at);
        }
        self.members.retain(|_, member| {
            let is_used = at < member.called_at + IDLE_TIMEOUT;
            is_used || !member.lease.is_empty() || !member.record.is_empty()
        });
        self.next_event = next;
        self.parts = parts;
        self.update_share(at);
    }

    fn update_share(&mut self, at: Duration) {
        let old = self.share;
        let new = self.hosts.share(self.parts, at);
        if (old - new).abs() <= f64::EPSILON {
            return;
        }
        self.share = new;
        self.last_number += 1;
        for bucket in self.buckets.values_mut() {
            bucket.change_share(old, new, self.last_number, at);
        }
    }

    fn scale(&mut self) -> Scale {
        self.last_number += 1;
        let usable = u32::try_from(self.allowances.len()).unwrap_or(u32::MAX);
        Scale {
            share: self.share,
            next_share: self.share,
            next_in: Duration::ZERO,
            hosts: self.hosts.count(self.now),
            allowances: self.expired_allowances + f64::from(usable),
            expired_allowances: self.expired_allowances,
            number: self.last_number,
        }
    }

    /// Scale with the share after the starts that are known. While hosts move to this
    /// pool, all are expected to.
    fn scale_with_next(&mut self) -> Scale {
        let mut scale = self.scale();
        let mut parts = self.parts;
        let mut next_at = self.now;
        if self.own_from > self.now {
            parts += 1;
            next_at = self.own_from;
        }
        for member in self.members.values() {
            if let Some(start) = member.lease.starts_at() {
                parts += u32::from(!member.lease.is_held());
                next_at = next_at.max(start);
            }
        }
        scale.next_share = self.hosts.share(parts, self.now);
        if self.now < self.complete_at {
            scale.next_share = 1.0;
            next_at = next_at.max(self.complete_at);
        }
        scale.next_in = next_at.saturating_sub(self.now);
        scale
    }

    /// Whether one failover allowance suffices for a cost.
    pub(super) fn covers(&self, charge: &Charge) -> bool {
        let hosts = self.hosts.count(self.now);
        bucket::allowance(charge.quota, self.settings.tolerance, hosts) >= charge.cost
    }
}
