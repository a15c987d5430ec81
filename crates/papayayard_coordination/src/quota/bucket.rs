//! Token bucket of one account in a pool.
//!
//! Rate and capacity are those of the quota, times the pool's share. The bucket is
//! refilled when it is used, and whenever the share changes. While the parts of a pool's
//! hosts are still bound elsewhere, the bucket may also use their failover allowances.

use std::collections::VecDeque;
use std::time::Duration;

use papayayard_wire::id;

use super::room::Room;
use super::{CLOCK_MARGIN, LEASE, PREPAID_DURATION, Quota, Tolerance};

/// Part of the tolerance that all hosts' failover allowances make up together.
const ALLOWANCE_RATIO: f64 = 0.25;
/// Part of the tolerance that prepaid amounts may make up at any time. When parts move,
/// two pools may have that much outstanding.
const PREPAID_RATIO: f64 = 0.125;
/// Difference of two amounts that are taken for equal.
const ROUNDING: f64 = 1e-6;

/// What a bucket needs to know about its pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scale {
    /// Part of each quota that the pool has now.
    pub(super) share: f64,
    /// Share after all known leases have started, and the time until then.
    pub(super) next_share: f64,
    pub(super) next_in: Duration,
    pub(super) hosts: u32,
    /// Failover allowances contributed since the start, and those that have expired.
    pub(super) allowances: f64,
    pub(super) expired_allowances: f64,
    /// Number of the event, above those of all earlier events.
    pub(super) number: u64,
}

/// Bucket of one account.
#[derive(Debug)]
pub(super) struct Bucket {
    quota: Quota,
    revision: id::Revision,
    level: f64,
    settled_at: Duration,
    pub(super) used_at: Duration,
    room: Room,
    /// Number of failover allowances that are spent or have expired.
    used_allowances: f64,
    /// Time up to which what refills is promised to refused requests.
    promised_until: Duration,
    /// Prepaid amounts that hosts may still spend, and when they expire.
    prepaid: VecDeque<(Duration, f64)>,
}

impl Bucket {
    /// Creates an empty bucket.
    pub(super) fn new(quota: Quota, revision: id::Revision, number: u64, now: Duration) -> Self {
        let mut room = Room::default();
        // Charges from before the bucket existed give nothing back.
        room.record(number, 0.0);
        Self {
            quota,
            revision,
            level: 0.0,
            settled_at: now,
            used_at: now,
            room,
            used_allowances: 0.0,
            promised_until: Duration::ZERO,
            prepaid: VecDeque::new(),
        }
    }

    pub(super) const fn quota(&self) -> Quota {
        self.quota
    }

    pub(super) const fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Fills up to a share of the burst.
    pub(super) fn fill(&mut self, share: f64) {
        self.level = self.level.max(self.quota.burst * share);
    }

    /// Adds a part of the burst.
    pub(super) fn add_part(&mut self, part: f64, scale: Scale) {
        let capacity = self.quota.burst * scale.share;
        self.level = (self.level + self.quota.burst * part).min(capacity);
    }

    /// Adds what has refilled since the last call at a constant share.
    pub(super) fn settle(&mut self, share: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.settled_at).as_secs_f64();
        self.settled_at = self.settled_at.max(now);
        let level = self.level + self.quota.per_second * share * elapsed;
        self.level = level.min(self.quota.burst * share);
    }

    /// Changes the share; what exceeds the new capacity is lost.
    pub(super) fn change_share(&mut self, old: f64, new: f64, number: u64, now: Duration) {
        self.settle(old, now);
        self.level = self.level.min(self.quota.burst * new);
        let room = self.quota.burst * old.min(new) - self.level;
        self.room.record(number, room);
    }

    /// Applies a quota unless a newer one is known.
    pub(super) fn update(&mut self, quota: Quota, revision: id::Revision, scale: Scale) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        if quota == self.quota {
            return;
        }
        self.quota = quota;
        self.level = self.level.min(quota.burst * scale.share);
        self.room.record(scale.number, 0.0);
        self.promised_until = Duration::ZERO;
    }

    /// Takes a cost if the bucket holds it; returns what the bucket itself paid.
    pub(super) fn charge(
        &mut self,
        cost: f64,
        tolerance: Tolerance,
        scale: Scale,
        now: Duration,
    ) -> Option<f64> {
        self.settle(scale.share, now);
        self.used_at = now;
        let paid = cost.min(self.level);
        let rest = cost - paid;
        if rest > ROUNDING && !self.use_allowances(rest, tolerance, scale) {
            return None;
        }
        self.take(paid, scale);
        Some(paid)
    }

    /// Takes back the cost of a request that did not run; `number` is that of its charge.
    pub(super) fn give_back(&mut self, number: u64, paid: f64, share: f64, now: Duration) {
        self.settle(share, now);
        let room = self.quota.burst * share - self.level;
        self.level += self.room.take(number, paid, room);
    }

    /// Takes up to `wanted` for the plain requests of a host.
    pub(super) fn prepay(
        &mut self,
        wanted: f64,
        tolerance: Tolerance,
        scale: Scale,
        now: Duration,
    ) -> f64 {
        self.settle(scale.share, now);
        self.used_at = now;
        self.expire_prepaid(now);
        let limit = tolerance.of(self.quota) * PREPAID_RATIO * scale.share;
        let granted = wanted.min(limit - self.outstanding()).min(self.level);
        if granted <= ROUNDING || !granted.is_finite() {
            return 0.0;
        }
        self.take(granted, scale);
        let until = now + PREPAID_DURATION.mul_f64(CLOCK_MARGIN);
        self.prepaid.push_back((until, granted));
        granted
    }

    /// Time after which a refused request has room; what refills until then is promised
    /// to it unless that is after its deadline.
    pub(super) fn refuse(
        &mut self,
        cost: f64,
        scale: Scale,
        deadline: Duration,
        now: Duration,
    ) -> Duration {
        let remaining = deadline.saturating_sub(now);
        let largest_share = scale.share.max(scale.next_share);
        let promised = self.promised_until.saturating_sub(now);
        if largest_share <= 0.0 {
            return LEASE;
        }
        let need = (cost - self.level).max(0.0);
        let present = self.refill_time(need, scale.share);
        let later = self.refill_time(need, scale.next_share);
        let retry_after = present
            .saturating_add(promised)
            .min(later.saturating_add(promised.max(scale.next_in)));
        if cost > self.quota.burst * largest_share + ROUNDING {
            return retry_after.max(remaining);
        }
        if retry_after <= remaining {
            let used = self.refill_time(cost, largest_share);
            self.promised_until = (now + promised).saturating_add(used);
        }
        retry_after
    }

    pub(super) const fn level(&self) -> f64 {
        self.level
    }

    /// Forgets prepaid amounts that may no longer be spent.
    pub(super) fn expire_prepaid(&mut self, now: Duration) {
        while self.prepaid.front().is_some_and(|(until, _)| *until <= now) {
            self.prepaid.pop_front();
        }
    }

    /// Sum of the prepaid amounts that had not expired when this was last checked.
    pub(super) fn outstanding(&self) -> f64 {
        self.prepaid.iter().map(|(_, amount)| amount).sum()
    }

    fn refill_time(&self, amount: f64, share: f64) -> Duration {
        let seconds = amount / (self.quota.per_second * share);
        Duration::try_from_secs_f64(seconds).map_or(MAX_RETRY, |time| time.min(MAX_RETRY))
    }

    fn take(&mut self, amount: f64, scale: Scale) {
        let room = self.quota.burst * scale.share - self.level;
        self.room.record(scale.number, room);
        self.level -= amount;
    }

    fn use_allowances(&mut self, amount: f64, tolerance: Tolerance, scale: Scale) -> bool {
        let unit = allowance(self.quota, tolerance, scale.hosts);
        let used = self.used_allowances.max(scale.expired_allowances);
        let needed = amount / unit;
        if unit <= 0.0 || needed > scale.allowances - used + ROUNDING {
            return false;
        }
        self.used_allowances = used + needed;
        true
    }
}

/// Longest time that a refusal names.
const MAX_RETRY: Duration = Duration::from_hours(1);

/// Failover allowance of one of `hosts` hosts.
pub(super) fn allowance(quota: Quota, tolerance: Tolerance, hosts: u32) -> f64 {
    tolerance.of(quota) * ALLOWANCE_RATIO / f64::from(hosts.max(1))
}
