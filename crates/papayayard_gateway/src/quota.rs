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
pub(crate) use task::{Parts, start};

/// Retry delay of a request that the ledger did not decide on, since the host stops.
const STOPPED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Request to charge the pool of this host.
pub(crate) struct Debit {
    /// Requesting host and the ID of its process; `None` for requests of this host.
    caller: Option<(id::Host, u64)>,
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
    /// Return of a charge to the dispatcher that has it.
    ReturnTo(id::Host, u64),
    /// Call of another host that uses this one as its dispatcher.
    Receive {
        host: id::Host,
        run: u64,
        offer: Offer,
        reply: oneshot::Sender<Reply>,
    },
    /// Charge to the pool of this host.
    Charge(Debit, oneshot::Sender<Verdict>),
    /// Return of a charge of this host to its own pool.
    Return(u64),
}

/// Sends messages to the task that owns the ledger.
#[derive(Clone)]
pub(crate) struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    /// Whether the configuration in force has any quota.
    has_quotas: watch::Receiver<bool>,
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

    /// Returns what a call to the dispatcher says about quotas.
    pub(crate) async fn offer(&self, dispatcher: &id::Host) -> Option<Offer> {
        if !*self.has_quotas.borrow() {
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

    /// Pools the part of a host that uses this host as its dispatcher.
    pub(crate) async fn receive(&self, host: &id::Host, run: u64, offer: Offer) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Receive {
            host: host.clone(),
            run,
            offer,
            reply,
        });
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
            caller: caller.map(|caller| (caller.host.clone(), caller.run)),
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

/// Quotas of a routing table, without their units.
fn quotas(table: &Table) -> BTreeMap<id::Account, Quota> {
    let accounts = table.accounts.iter();
    let limited = accounts.filter_map(|account| {
        let quota = account.quota?;
        let quota = Quota {
            per_second: quota.per_second(),
            burst: quota.burst(),
        };
        Some((account.name.clone(), quota))
    });
    limited.collect()
}

#[cfg(test)]
#[path = "quota_test.rs"]
pub(crate) mod test;
