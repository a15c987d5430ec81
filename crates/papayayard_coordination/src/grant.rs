//! Parts of a client account's limits that a host has released to peers or received from them.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::id;

use crate::amount::Amount;

/// Released and received grants of one client account.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    /// The account's limit over all hosts.
    pub(crate) limit: Amount,
    /// Recent demand at this host.
    pub(crate) demand: Amount,
    received: BTreeMap<id::Host, Received>,
    released: BTreeMap<id::Host, Vec<Released>>,
    requested_at: BTreeMap<id::Host, Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Received {
    amount: Amount,
    until: Duration,
}

/// One grant to a peer, which uses the last grant that reached it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Released {
    pub(crate) amount: Amount,
    /// Time at which the rate returns to this host.
    pub(crate) rate_until: Duration,
    /// Time at which the open requests return to this host.
    pub(crate) open_until: Duration,
}

impl Released {
    fn in_use(&self, now: Duration) -> Amount {
        Amount {
            rate: if now < self.rate_until {
                self.amount.rate
            } else {
                0
            },
            open: if now < self.open_until {
                self.amount.open
            } else {
                0
            },
        }
    }

    fn covers(&self, other: &Self) -> bool {
        let is_later = self.rate_until >= other.rate_until && self.open_until >= other.open_until;
        is_later && self.amount.component_max(other.amount) == self.amount
    }
}

/// Upper bound of what one peer may still use.
fn max_in_use(grants: &[Released], now: Duration) -> Amount {
    let grants = grants.iter();
    grants.fold(Amount::default(), |most, grant| {
        most.component_max(grant.in_use(now))
    })
}

impl Ledger {
    /// Sum of the unexpired grants that this host received.
    pub(crate) fn received(&self, now: Duration) -> Amount {
        let received = self.received.values().filter(|grant| now < grant.until);
        received.fold(Amount::default(), |sum, grant| sum.plus(grant.amount))
    }

    /// Unexpired grant that this host received from one peer.
    pub(crate) fn received_from(&self, peer: &id::Host, now: Duration) -> Amount {
        let grant = self.received.get(peer).filter(|grant| now < grant.until);
        grant.map_or_else(Amount::default, |grant| grant.amount)
    }

    /// Replaces the grant from one peer.
    pub(crate) fn receive(&mut self, peer: &id::Host, amount: Amount, until: Duration) {
        self.received
            .insert(peer.clone(), Received { amount, until });
    }

    /// Limits the use of a peer's grant to `amount`.
    pub(crate) fn cap_received(&mut self, peer: &id::Host, amount: Amount) {
        if let Some(grant) = self.received.get_mut(peer) {
            grant.amount = grant.amount.component_min(amount);
        }
    }

    pub(crate) fn drop_received(&mut self, peer: &id::Host) {
        self.received.remove(peer);
    }

    /// Amount that peers may still use of this host's part.
    pub(crate) fn released(&self, now: Duration) -> Amount {
        let released = self.released.values();
        released.fold(Amount::default(), |sum, grants| {
            sum.plus(max_in_use(grants, now))
        })
    }

    /// Amount that all peers except one may still use of this host's part.
    pub(crate) fn released_to_others(&self, peer: &id::Host, now: Duration) -> Amount {
        let others = self.released.iter().filter(|(host, _)| *host != peer);
        others.fold(Amount::default(), |sum, (_, grants)| {
            sum.plus(max_in_use(grants, now))
        })
    }

    /// Applies a peer's promise to use no more than `amount`. The rate returns to
    /// this host at once; open requests return when the last of them has ended.
    pub(crate) fn reclaim_rate(&mut self, peer: &id::Host, amount: Amount) {
        for grant in self.released.get_mut(peer).into_iter().flatten() {
            grant.amount.rate = grant.amount.rate.min(amount.rate);
        }
    }

    /// Adds a grant. Earlier grants that it does not cover stay counted, since
    /// the peer may still use them if the new one is lost.
    pub(crate) fn release(&mut self, peer: &id::Host, grant: Released) {
        let grants = self.released.entry(peer.clone()).or_default();
        grants.retain(|earlier| !grant.covers(earlier));
        grants.push(grant);
    }

    /// Records that a peer requested a grant; a request for nothing clears the record.
    pub(crate) fn record_request(&mut self, peer: &id::Host, wanted: Amount, now: Duration) {
        if wanted.is_zero() {
            self.requested_at.remove(peer);
        } else {
            self.requested_at.insert(peer.clone(), now);
        }
    }

    /// Number of peers that requested a grant within the last `window`.
    pub(crate) fn requester_count(&self, now: Duration, window: Duration) -> usize {
        let recent = self.requested_at.values().filter(|at| now < **at + window);
        recent.count()
    }

    /// Removes expired grants.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.received.retain(|_, grant| now < grant.until);
        for grants in self.released.values_mut() {
            grants.retain(|grant| !grant.in_use(now).is_zero());
        }
        self.released.retain(|_, grants| !grants.is_empty());
    }
}
