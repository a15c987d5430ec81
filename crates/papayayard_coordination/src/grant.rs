//! What a host has released of one account, and what it has received.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::id;

use crate::amount::Amount;

/// Grants of one client account.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    /// Limit over all hosts.
    pub(crate) limit: Amount,
    /// Recent demand at this host.
    pub(crate) demand: Amount,
    received: BTreeMap<id::Host, Received>,
    released: BTreeMap<id::Host, Vec<Released>>,
    asked: BTreeMap<id::Host, Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Received {
    amount: Amount,
    until: Duration,
}

/// One answer to a peer; the peer uses the last one that reached it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Released {
    /// What was released.
    pub(crate) amount: Amount,
    /// When the rate comes back.
    pub(crate) rate_until: Duration,
    /// When the open requests come back.
    pub(crate) open_until: Duration,
}

impl Released {
    fn at(&self, now: Duration) -> Amount {
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

/// The most that one peer may still use.
fn most(answers: &[Released], now: Duration) -> Amount {
    let answers = answers.iter();
    answers.fold(Amount::default(), |most, answer| {
        most.component_max(answer.at(now))
    })
}

impl Ledger {
    /// What peers have released to this host.
    pub(crate) fn received(&self, now: Duration) -> Amount {
        let received = self.received.values().filter(|grant| now < grant.until);
        received.fold(Amount::default(), |sum, grant| sum.plus(grant.amount))
    }

    /// What one peer has released to this host.
    pub(crate) fn received_from(&self, peer: &id::Host, now: Duration) -> Amount {
        let grant = self.received.get(peer).filter(|grant| now < grant.until);
        grant.map_or_else(Amount::default, |grant| grant.amount)
    }

    /// Replaces what one peer has released to this host.
    pub(crate) fn receive(&mut self, peer: &id::Host, amount: Amount, until: Duration) {
        self.received
            .insert(peer.clone(), Received { amount, until });
    }

    /// Uses no more than `amount` of one peer's.
    pub(crate) fn lower(&mut self, peer: &id::Host, amount: Amount) {
        if let Some(grant) = self.received.get_mut(peer) {
            grant.amount = grant.amount.component_min(amount);
        }
    }

    /// Uses nothing of one peer's.
    pub(crate) fn drop_from(&mut self, peer: &id::Host) {
        self.received.remove(peer);
    }

    /// What peers may still use of this host's.
    pub(crate) fn released(&self, now: Duration) -> Amount {
        let released = self.released.values();
        released.fold(Amount::default(), |sum, answers| {
            sum.plus(most(answers, now))
        })
    }

    /// What all peers but one may still use of this host's.
    pub(crate) fn released_to_others(&self, peer: &id::Host, now: Duration) -> Amount {
        let others = self.released.iter().filter(|(host, _)| *host != peer);
        others.fold(Amount::default(), |sum, (_, answers)| {
            sum.plus(most(answers, now))
        })
    }

    /// Takes a peer's word that it uses no more than `amount`; the rate comes
    /// back at once, and open requests when the last of them has ended.
    pub(crate) fn returned(&mut self, peer: &id::Host, amount: Amount) {
        for answer in self.released.get_mut(peer).into_iter().flatten() {
            answer.amount.rate = answer.amount.rate.min(amount.rate);
        }
    }

    /// Releases an amount; earlier ones may still be in use, since the answer
    /// may be lost.
    pub(crate) fn release(&mut self, peer: &id::Host, answer: Released) {
        let answers = self.released.entry(peer.clone()).or_default();
        answers.retain(|earlier| !answer.covers(earlier));
        answers.push(answer);
    }

    /// Remembers that a peer asked.
    pub(crate) fn asked(&mut self, peer: &id::Host, wanted: Amount, now: Duration) {
        if wanted.is_zero() {
            self.asked.remove(peer);
        } else {
            self.asked.insert(peer.clone(), now);
        }
    }

    /// Peers that asked within the last `span`.
    pub(crate) fn askers(&self, now: Duration, span: Duration) -> usize {
        let recent = self.asked.values().filter(|at| now < **at + span);
        recent.count()
    }

    /// Forgets grants that are over.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.received.retain(|_, grant| now < grant.until);
        for answers in self.released.values_mut() {
            answers.retain(|answer| !answer.at(now).is_zero());
        }
        self.released.retain(|_, answers| !answers.is_empty());
    }
}
