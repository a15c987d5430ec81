//! Each host's share of the client accounts' limits.
//!
//! A limit is divided evenly over the counted hosts. A host that needs more asks its
//! peers for shares, and a peer that needs less releases a part of its own for a
//! limited time: it stops using the part when it replies, and uses it again after that
//! time by its own clock. The requesting host counts the time from when it sent the
//! call, less a margin, so it stops first even if the reply was slow. A network
//! partition at any moment therefore leaves the sum of all shares at or below the
//! limit. A restarted host loses its record of what it released, so it uses only the
//! part that it never releases until each peer has dropped the shares granted before
//! the restart.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use papayayard_wire::{id, peer};

use crate::amount::Amount;
use crate::grant;

/// Limits on the exchange of shares.
#[derive(Clone, Debug)]
pub struct Limits {
    /// How long a share is released for.
    pub ttl: Duration,
    /// Part of the TTL that the requesting host leaves unused, in percent, to allow for
    /// clocks that run at different rates.
    pub margin_percent: u32,
    /// Maximum time that a request stays open; released open requests are reclaimed
    /// this much later than the rate.
    pub max_request_duration: Duration,
    /// Part of a host's even share that is never released, in percent.
    pub keep_percent: u64,
    /// What a host requests above its recent demand, in percent of that demand.
    pub headroom_percent: u64,
    /// Maximum number of accounts in one message.
    pub max_accounts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(30),
            margin_percent: 10,
            max_request_duration: Duration::from_mins(2),
            keep_percent: 10,
            headroom_percent: 25,
            max_accounts: 8,
        }
    }
}

/// This host's shares of all client accounts.
#[derive(Debug)]
pub struct Table {
    local_host: id::Host,
    limits: Limits,
    hosts: Vec<id::Host>,
    accounts: BTreeMap<id::Account, grant::Ledger>,
    partners: Vec<id::Host>,
    started_at: Duration,
    confirmed: BTreeSet<id::Host>,
    dropped_at: BTreeMap<id::Host, Duration>,
    last_sequences: BTreeMap<id::Host, u64>,
}

impl Table {
    /// Creates the table of a host that starts at `now`.
    pub fn new(local_host: id::Host, limits: Limits, now: Duration) -> Self {
        Self {
            hosts: vec![local_host.clone()],
            local_host,
            limits,
            accounts: BTreeMap::new(),
            partners: Vec::new(),
            started_at: now,
            confirmed: BTreeSet::new(),
            dropped_at: BTreeMap::new(),
            last_sequences: BTreeMap::new(),
        }
    }

    /// Sets the accounts' limits; accounts that are not listed are removed.
    pub fn configure(&mut self, limits: &BTreeMap<id::Account, Amount>) {
        self.accounts
            .retain(|account, _| limits.contains_key(account));
        for (account, limit) in limits {
            self.accounts.entry(account.clone()).or_default().limit = *limit;
        }
    }

    /// Sets the hosts that limits are divided over, in sorted order, and the subset
    /// that this host exchanges shares with.
    pub fn set_hosts(&mut self, hosts: Vec<id::Host>, partners: Vec<id::Host>) {
        self.hosts = hosts;
        self.partners = partners;
    }

    /// Records recent demand of an account, including requests that were not admitted.
    pub fn observe(&mut self, account: &id::Account, demand: Amount) {
        if let Some(ledger) = self.accounts.get_mut(account) {
            ledger.demand = demand;
        }
    }

    /// The part of an account's limits that this host may use.
    pub fn share(&self, account: &id::Account, now: Duration) -> Amount {
        let Some(ledger) = self.accounts.get(account) else {
            return Amount::default();
        };
        let share = self.own_share(account, ledger, now);
        share.plus(ledger.received(now))
    }

    /// Whether a peer may still use shares that this host released before it restarted.
    pub fn is_fresh(&self, now: Duration) -> bool {
        let until = self.started_at + self.limits.ttl + self.limits.max_request_duration;
        let is_confirmed =
            |host: &id::Host| *host == self.local_host || self.confirmed.contains(host);
        now < until && !self.partners.iter().all(is_confirmed)
    }

    /// Whether any account's demand is above its share.
    pub fn has_unmet_demand(&self, now: Duration) -> bool {
        self.accounts
            .iter()
            .any(|(account, ledger)| !ledger.demand.minus(self.share(account, now)).is_zero())
    }

    /// Returns the shares to request from a peer. This host immediately stops using
    /// more than the requested amount of that peer's shares.
    pub fn share_requests(&mut self, peer: &id::Host, now: Duration) -> Vec<peer::Share> {
        let mut wants: Vec<(id::Account, Amount, bool)> = Vec::new();
        for (account, ledger) in &self.accounts {
            let held = ledger.received_from(peer, now);
            let remaining = self.share(account, now).minus(held);
            let target = ledger.demand.percent(100 + self.limits.headroom_percent);
            let want = target.minus(remaining);
            if !want.is_zero() || !held.is_zero() {
                wants.push((account.clone(), want, held.is_zero()));
            }
        }
        // Renewals and returns come first: a share that the message leaves out stays
        // held.
        wants.sort_by_key(|(_, want, is_new)| (*is_new, std::cmp::Reverse(*want)));
        wants.truncate(self.limits.max_accounts);
        for (account, want, _) in &wants {
            if let Some(ledger) = self.accounts.get_mut(account) {
                ledger.cap_received(peer, *want);
            }
        }
        let wants = wants.into_iter();
        wants
            .map(|(account, want, _)| want.to_share(account))
            .collect()
    }

    /// Releases requested shares that this host does not need. `sequence` increases
    /// with each call from the peer.
    pub fn release(
        &mut self,
        peer: &id::Host,
        wants: &[peer::Share],
        sequence: u64,
        now: Duration,
    ) -> Vec<peer::Grant> {
        // A delayed call must not lower an amount that a later call has raised.
        let last = self.last_sequences.entry(peer.clone()).or_insert(0);
        if sequence <= *last || !self.partners.contains(peer) {
            return Vec::new();
        }
        *last = sequence;
        let wants = wants.iter().take(self.limits.max_accounts);
        let released: Vec<Option<peer::Grant>> = wants
            .map(|want| self.release_share(peer, want, now))
            .collect();
        released.into_iter().flatten().collect()
    }

    /// Applies the grants in a peer's reply to a call sent at `sent_at`.
    pub fn accept(&mut self, peer: &id::Host, grants: &[peer::Grant], sent_at: Duration) {
        let dropped_at = self.dropped_at.get(peer);
        if dropped_at.is_some_and(|at| sent_at <= *at) {
            return;
        }
        for grant in grants.iter().take(self.limits.max_accounts) {
            let Some(ledger) = self.accounts.get_mut(&grant.share.account) else {
                continue;
            };
            let ttl = Duration::from_millis(grant.ttl_ms).min(self.limits.ttl);
            let used = ttl * (100 - self.limits.margin_percent) / 100;
            ledger.receive(peer, Amount::from_share(&grant.share), sent_at + used);
        }
    }

    /// Stops using shares from a restarted peer, which has lost its record of releasing
    /// them.
    pub fn drop_grants_from(&mut self, peer: &id::Host, now: Duration) {
        for ledger in self.accounts.values_mut() {
            ledger.drop_received(peer);
        }
        self.dropped_at.insert(peer.clone(), now);
    }

    /// Records that a peer replied to a call in which this host declared itself fresh.
    pub fn confirm(&mut self, peer: &id::Host) {
        self.confirmed.insert(peer.clone());
    }

    fn release_share(
        &mut self,
        peer: &id::Host,
        want: &peer::Share,
        now: Duration,
    ) -> Option<peer::Grant> {
        let base = self.even_share(&want.account, self.accounts.get(&want.account)?.limit);
        let is_fresh = self.is_fresh(now);
        let ledger = self.accounts.get_mut(&want.account)?;
        let wanted = Amount::from_share(want);
        ledger.expire(now);
        ledger.reclaim_rate(peer, wanted);
        ledger.record_request(peer, wanted, now);
        let kept = base.minus(base.percent(100 - self.limits.keep_percent));
        let needed = ledger.demand.percent(100 + self.limits.headroom_percent);
        let idle = base.minus(kept.component_max(needed));
        let part = idle.div_ceil(ledger.requester_count(now, self.limits.ttl));
        let part = part.component_min(idle.minus(ledger.released_to_others(peer, now)));
        let amount = if is_fresh {
            Amount::default()
        } else {
            wanted.component_min(part)
        };
        if amount.is_zero() {
            return None;
        }
        let until = now + self.limits.ttl;
        let released = grant::Released {
            amount,
            rate_until: until,
            open_until: until + self.limits.max_request_duration,
        };
        ledger.release(peer, released);
        Some(peer::Grant {
            share: amount.to_share(want.account.clone()),
            ttl_ms: u64::try_from(self.limits.ttl.as_millis()).unwrap_or(u64::MAX),
        })
    }

    fn own_share(&self, account: &id::Account, ledger: &grant::Ledger, now: Duration) -> Amount {
        let base = self.even_share(account, ledger.limit);
        let mut share = base.minus(ledger.released(now));
        if self.is_fresh(now) {
            let kept = base.minus(base.percent(100 - self.limits.keep_percent));
            let is_rate_back = now >= self.started_at + self.limits.ttl;
            share.rate = if is_rate_back { share.rate } else { kept.rate };
            share.open = kept.open;
        }
        share
    }

    /// This host's part of an even division whose parts add up to the limit.
    fn even_share(&self, account: &id::Account, limit: Amount) -> Amount {
        let count = self.hosts.len() as u64;
        let Some(position) = self.hosts.iter().position(|host| *host == self.local_host) else {
            return Amount::default();
        };
        // The starting host differs by account, which spreads the remainders.
        let mut digest = peer::Digest::default();
        digest.add(account.as_str().as_bytes());
        let rank = (position as u64 + digest.0 % count) % count;
        limit.nth_part(rank, count)
    }
}
