//! The task that owns the ledger.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use papayayard_coordination::quota::{Ledger, Offer, Settings, Verdict};
use papayayard_routing::table::Table;
use papayayard_wire::id;
use tokio::sync::{mpsc, watch};

use super::{Debit, Handle, Message, Owner, Readiness, quotas};
use crate::clock::Clock;
use crate::metrics::Metrics;

/// Minimum time between calls to the same dispatcher that mention quotas. It is far below the
/// time of a lease, and keeps these messages few on a host with many requests.
const OFFER_PERIOD: Duration = Duration::from_millis(100);

/// Minimum time between two log lines on the parts in the pool.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// The routing tables of configurations.
pub(crate) struct Tables<Configuration> {
    pub(crate) configuration: watch::Receiver<Configuration>,
    /// The table of a configuration, if it has one.
    pub(crate) table: fn(&Configuration) -> Option<Arc<Table>>,
}

impl<Configuration> Tables<Configuration> {
    fn newest(&mut self) -> Option<Arc<Table>> {
        (self.table)(&self.configuration.borrow_and_update())
    }
}

/// Dependencies of the task.
pub(crate) struct Parts<Configuration> {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) tables: Tables<Configuration>,
    /// Number of hosts; its first value is an assumption.
    pub(crate) hosts: watch::Receiver<usize>,
    pub(crate) metrics: Metrics,
}

/// Creates the task and its handle; the task ends when all handles are dropped.
pub(crate) fn start<Configuration>(
    parts: Parts<Configuration>,
) -> (Handle, impl Future<Output = ()> + use<Configuration>) {
    let (messages, receiver) = mpsc::unbounded_channel();
    let run = parts.settings.run;
    let (readiness, readiness_receiver) = watch::channel(Readiness::default());
    let handle = Handle {
        messages,
        readiness: readiness_receiver,
        run,
        next: Arc::new(AtomicU64::new(0)),
        metrics: parts.metrics.clone(),
    };
    let task = Task {
        ledger: Ledger::new(parts.settings, parts.clock.now()),
        clock: parts.clock,
        readiness,
        last_offer: None,
        reported: None,
        logged: None,
        metrics: parts.metrics,
    };
    let running = task.run(receiver, parts.tables, parts.hosts);
    (handle, running)
}

struct Task {
    ledger: Ledger,
    clock: Clock,
    readiness: watch::Sender<Readiness>,
    /// Dispatcher and time of the last call that mentioned quotas.
    last_offer: Option<(id::Host, Duration)>,
    /// Parts that the metrics show.
    reported: Option<u32>,
    /// Parts that were logged last, and when.
    logged: Option<(u32, Duration)>,
    metrics: Metrics,
}

impl Task {
    async fn run<Configuration>(
        mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        mut tables: Tables<Configuration>,
        mut hosts: watch::Receiver<usize>,
    ) {
        self.configure(tables.newest().as_deref());
        loop {
            tokio::select! {
                biased;
                Ok(()) = hosts.changed() => {
                    let number = *hosts.borrow_and_update();
                    self.ledger.set_hosts(number, self.clock.now());
                    self.readiness.send_modify(|readiness| readiness.is_counted = true);
                }
                Ok(()) = tables.configuration.changed() => {
                    self.configure(tables.newest().as_deref());
                }
                message = messages.recv() => match message {
                    Some(message) => {
                        self.handle(message);
                        self.report_parts();
                    }
                    None => return,
                },
            }
        }
    }

    fn configure(&mut self, table: Option<&Table>) {
        let Some(table) = table else {
            return;
        };
        let quotas = quotas(table);
        let now = self.clock.now();
        let has_quotas = !quotas.is_empty();
        self.readiness
            .send_modify(|readiness| readiness.has_quotas = has_quotas);
        self.ledger.configure(table.revision, &quotas, now);
    }

    /// Handles a message; requests whose answer nobody awaits any more are dropped.
    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Offer(dispatcher, reply) => {
                drop(reply.send(self.offer(dispatcher, now)));
            }
            Message::Accept {
                dispatcher,
                run,
                reply,
                sent_at,
            } => {
                let reply = reply.as_ref();
                self.ledger.accept(&dispatcher, run, reply, sent_at, now);
            }
            Message::Prepaid(charge, reply) => {
                let is_spent = self.ledger.spend_prepaid(&charge, now);
                if reply.send(is_spent) == Err(true) {
                    // The caller has disconnected, and its bill does not return the amount.
                    self.ledger.return_prepaid(&charge, now);
                }
            }
            Message::ReturnPrepaid(charge) => self.ledger.return_prepaid(&charge, now),
            Message::ReturnTo(dispatcher, number) => self.ledger.return_to(&dispatcher, number),
            Message::Receive(owner, offer, reply) => {
                let answer = self.ledger.receive(owner.caller(), &offer, now);
                drop(reply.send(answer));
            }
            Message::Charge(debit, reply) => {
                let verdict = self.charge(&debit, now);
                let _ = reply.send(verdict);
            }
            Message::Return(number) => {
                self.ledger.return_charge(None, number, now);
            }
        }
    }

    fn charge(&mut self, debit: &Debit, now: Duration) -> Verdict {
        let Debit {
            owner,
            number,
            charge,
            deadline,
        } = debit;
        let caller = owner.as_ref().map(Owner::caller);
        self.ledger.charge(caller, *number, charge, *deadline, now)
    }

    /// Reports the parts of the quotas that this host's pool holds if they have changed.
    fn report_parts(&mut self) {
        let now = self.clock.now();
        let parts = self.ledger.parts(now);
        if self.reported != Some(parts) {
            self.reported = Some(parts);
            self.metrics.quota_parts(parts);
        }
        let is_logged = self
            .logged
            .is_some_and(|(logged, at)| logged == parts || now < at + LOG_PERIOD);
        if !is_logged {
            self.logged = Some((parts, now));
            log::info!(parts, share = self.ledger.share(now); "parts of the quotas in this host's pool");
        }
    }

    fn offer(&mut self, dispatcher: id::Host, now: Duration) -> Option<Offer> {
        let is_recent =
            |(host, at): &(id::Host, Duration)| *host == dispatcher && now < *at + OFFER_PERIOD;
        if self.last_offer.as_ref().is_some_and(is_recent) {
            return None;
        }
        let offer = self.ledger.offer(&dispatcher, now);
        self.last_offer = Some((dispatcher, now));
        Some(offer)
    }
}
