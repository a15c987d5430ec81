//! Quotas of client accounts in the path of requests.
//!
//! A task owns the ledger of this host, which is a pure state machine; see
//! `papayayard_coordination::quota`. Requests reach it by messages. Only requests of accounts
//! with a quota do so, and calls between hosts mention quotas only while the configuration
//! has any.
//!
//! A request is charged once, by the host that places it, before it gets a place. Its [`Bill`]
//! returns the charge unless the request may have run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use papayayard_coordination::quota::{Caller, Charge, Offer, Quota, Reply, Verdict};
use papayayard_routing::table::Table;
use papayayard_wire::id;
use tokio::sync::{mpsc, oneshot, watch};

use crate::metrics::Metrics;

mod bill;
mod task;

pub(crate) use bill::Bill;
pub(crate) use task::{Parts, Tables, start};

/// Retry delay of a request that the ledger did not decide on, since the host stops.
const STOPPED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A host and the random ID of its process.
pub(crate) struct Owner {
    host: id::Host,
    run: u64,
}

/// Request to charge the pool of this host.
pub(crate) struct Debit {
    /// Requesting host; `None` for requests of this host.
    owner: Option<Owner>,
    /// Number of the charge on the requesting host.
    number: u64,
    charge: Charge,
    deadline: Duration,
}

/// Message to the task that owns the ledger.
pub(crate) enum Message {
    /// Call to the dispatcher; the answer is `None` if it need not mention quotas.
    Offer(id::Host, oneshot::Sender<Option<Offer>>),
    /// Answer to a call that was sent at a time, by a process of a dispatcher.
    Accept {
        dispatcher: id::Host,
        run: u64,
        reply: Option<Reply>,
        sent_at: Duration,
    },
    /// Plain request; answered with whether the prepaid amount is sufficient.
    Prepaid(Charge, oneshot::Sender<bool>),
    /// Return of the charge of a plain request to the prepaid amount.
    ReturnPrepaid(Charge),
    /// Return of a charge to the dispatcher that has it.
    ReturnTo(id::Host, u64),
    /// Call of another host that uses this one as its dispatcher.
    Receive(Owner, Offer, oneshot::Sender<Reply>),
    /// Charge to the pool of this host.
    Charge(Debit, oneshot::Sender<Verdict>),
    /// Return of a charge of this host to its own pool.
    Return(u64),
}

/// What the task knows of the configuration in force and of the other hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Readiness {
    /// Whether the configuration has any quota.
    has_quotas: bool,
    /// Whether the hosts are counted, without which nothing is admitted.
    is_counted: bool,
}

/// Sends messages to the task that owns the ledger.
#[derive(Clone)]
pub(crate) struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    readiness: watch::Receiver<Readiness>,
    /// Random ID of this host's process.
    run: u64,
    /// Number of the next charge.
    next: Arc<AtomicU64>,
    metrics: Metrics,
}

impl Handle {
    /// Random ID of this host's process, in calls and in answers to them.
    pub(crate) const fn run(&self) -> u64 {
        self.run
    }

    /// Whether requests of accounts with a quota can be admitted.
    pub(crate) fn is_ready(&self) -> bool {
        let readiness = self.readiness.borrow();
        readiness.is_counted || !readiness.has_quotas
    }

    /// Returns what a call to the dispatcher says about quotas.
    pub(crate) async fn offer(&self, dispatcher: &id::Host) -> Option<Offer> {
        if !self.readiness.borrow().has_quotas {
            return None;
        }
        let (reply, offer) = oneshot::channel();
        self.send(Message::Offer(dispatcher.clone(), reply));
        offer.await.ok().flatten()
    }

    /// Applies the answer to a call that had an offer.
    pub(crate) fn accept(
        &self,
        dispatcher: &id::Host,
        run: u64,
        reply: Option<Reply>,
        sent_at: Duration,
    ) {
        self.send(Message::Accept {
            dispatcher: dispatcher.clone(),
            run,
            reply,
            sent_at,
        });
    }

    /// Returns the charge of a request that did not run with a call to the dispatcher that has it.
    pub(crate) fn return_to(&self, dispatcher: &id::Host, number: u64) {
        self.send(Message::ReturnTo(dispatcher.clone(), number));
    }

    /// Pools the part of a host that uses this host as its dispatcher.
    pub(crate) async fn receive(&self, caller: Caller<'_>, offer: Offer) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Receive(Owner::from(caller), offer, reply));
        answer.await.ok()
    }

    /// Charges a request of a host, or of this one, to the pool of this host.
    pub(crate) async fn charge(
        &self,
        caller: Option<Caller<'_>>,
        number: u64,
        charge: Charge,
        deadline: Duration,
    ) -> Verdict {
        let debit = Debit {
            owner: caller.map(Owner::from),
            number,
            charge,
            deadline,
        };
        let (reply, verdict) = oneshot::channel();
        self.send(Message::Charge(debit, reply));
        verdict.await.unwrap_or(Verdict::Refused {
            retry_after: STOPPED_RETRY_DELAY,
        })
    }

    async fn spend_prepaid(&self, charge: Charge) -> bool {
        let (reply, is_spent) = oneshot::channel();
        self.send(Message::Prepaid(charge, reply));
        is_spent.await.unwrap_or(false)
    }

    fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    fn send(&self, message: Message) {
        if self.messages.send(message).is_err() {
            log::error!("the task of the quotas has ended; restart the host");
        }
    }
}

impl From<Caller<'_>> for Owner {
    fn from(caller: Caller<'_>) -> Self {
        Self {
            host: caller.host.clone(),
            run: caller.run,
        }
    }
}

impl Owner {
    const fn caller(&self) -> Caller<'_> {
        Caller {
            host: &self.host,
            run: self.run,
        }
    }
}

/// Quotas of a routing table, without their units.
fn quotas(table: &Table) -> BTreeMap<id::Account, Quota> {
    let accounts = table.accounts.iter();
    let limited = accounts.filter_map(|account| {
        let quota = account.quota?;
        Some((account.name.clone(), without_unit(quota)))
    });
    limited.collect()
}

const fn without_unit(quota: papayayard_routing::quota::Quota) -> Quota {
    Quota {
        per_second: quota.per_second(),
        burst: quota.burst(),
    }
}

#[cfg(test)]
#[path = "quota_test.rs"]
pub(crate) mod test;
