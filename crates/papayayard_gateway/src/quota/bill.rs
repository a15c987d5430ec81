//! Charge of a request, which is returned unless the request may have run.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_coordination::quota::{Charge, Verdict};
use papayayard_routing::prompt::Prompt;
use papayayard_routing::table::Account;
use papayayard_wire::id;

use super::{Handle, Message, without_unit};
use crate::refusal::millis;

/// Charge of a request; copies refer to the same request. The charge is returned once all copies
/// are dropped, unless the request may have run.
#[derive(Clone, Default)]
pub(crate) struct Bill(Option<Arc<Shared>>);

struct Shared {
    request: id::Request,
    charge: Charge,
    ledger: Handle,
    state: Mutex<State>,
}

struct State {
    payment: Payment,
    /// Number of times that the request was sent and may have run.
    runs: u32,
}

/// Where a request is charged.
#[derive(Debug)]
enum Payment {
    Open,
    /// A dispatcher was asked to charge it and may have done so.
    Requested(id::Host, u64),
    Dispatcher(id::Host, u64),
    /// The pool of this host was asked to charge it and may have done so.
    RequestedOwn(u64),
    /// The pool of this host.
    Own(u64),
    /// The prepaid amount of this host.
    Prepaid,
    /// A host that served the request for this one.
    Elsewhere,
}

impl Handle {
    /// Creates the bill of a request that is not charged yet.
    pub(crate) fn bill(
        &self,
        request: &id::Request,
        account: &Account,
        prompt: Option<&Prompt>,
        revision: id::Revision,
    ) -> Bill {
        let Some(quota) = account.quota else {
            return Bill::default();
        };
        let cost = quota.cost(prompt);
        if cost <= 0.0 {
            return Bill::default();
        }
        let charge = Charge {
            account: account.name.clone(),
            cost,
            quota: without_unit(quota),
            revision,
        };
        let shared = Shared {
            request: request.clone(),
            charge,
            ledger: self.clone(),
            state: Mutex::new(State {
                payment: Payment::Open,
                runs: 0,
            }),
        };
        Bill(Some(Arc::new(shared)))
    }
}

impl Bill {
    /// Whether the request still has to be charged.
    pub(crate) fn is_due(&self) -> bool {
        self.0.as_ref().is_some_and(|shared| shared.is_due())
    }

    /// Whether the request has a quota and is charged already.
    pub(crate) fn is_charged(&self) -> bool {
        self.0.as_ref().is_some_and(|shared| !shared.is_due())
    }

    /// Returns the number and the charge that a dispatcher is asked for with the placement of the
    /// request; `None` if there is nothing to charge.
    pub(crate) fn request(&self, dispatcher: &id::Host) -> Option<(u64, &Charge)> {
        let shared = self.0.as_ref()?;
        // An earlier call may have been given up before its answer.
        self.unanswered();
        let mut state = shared.state();
        if !matches!(state.payment, Payment::Open) {
            return None;
        }
        let number = shared.ledger.number();
        state.payment = Payment::Requested(dispatcher.clone(), number);
        Some((number, &shared.charge))
    }

    /// Records the answer of the dispatcher that was asked to charge the request.
    pub(crate) fn answered(&self, is_charged: bool) {
        let Some(shared) = &self.0 else {
            return;
        };
        let mut state = shared.state();
        if let Payment::Requested(host, number) = &state.payment {
            state.payment = if is_charged {
                Payment::Dispatcher(host.clone(), *number)
            } else {
                Payment::Open
            };
        }
    }

    /// Returns a charge that a dispatcher, or the pool of this host, may have made although its
    /// answer was not read. Another call has another number, so that this return cannot be taken
    /// for that of its charge.
    pub(crate) fn unanswered(&self) {
        let Some(shared) = &self.0 else {
            return;
        };
        let mut state = shared.state();
        match &state.payment {
            Payment::Requested(host, number) => shared.return_to(host, *number),
            Payment::RequestedOwn(number) => shared.ledger.send(Message::Return(*number)),
            _ => return,
        }
        state.payment = Payment::Open;
    }

    /// Charges the request to the prepaid amount of this host, if that is sufficient.
    pub(crate) async fn spend_prepaid(&self) {
        let Some(shared) = self.0.as_ref().filter(|shared| shared.is_due()) else {
            return;
        };
        if shared.ledger.spend_prepaid(shared.charge.clone()).await {
            shared.state().payment = Payment::Prepaid;
            shared.ledger.metrics.quota_prepaid();
        }
    }

    /// Charges the request to the pool of this host, if it is still due. Returns the time after
    /// which the caller should retry if the request is beyond the quota.
    pub(crate) async fn charge_own(&self, deadline: Duration) -> Result<(), Duration> {
        let Some(shared) = self.0.as_ref().filter(|shared| shared.is_due()) else {
            return Ok(());
        };
        self.unanswered();
        let number = shared.ledger.number();
        // Recorded first, so that the charge is returned if the caller leaves meanwhile.
        shared.state().payment = Payment::RequestedOwn(number);
        let charge = shared.charge.clone();
        match shared.ledger.charge(None, number, charge, deadline).await {
            Verdict::Charged => {
                shared.state().payment = Payment::Own(number);
                Ok(())
            }
            Verdict::Refused { retry_after } => {
                shared.state().payment = Payment::Open;
                Err(retry_after)
            }
        }
    }

    /// Records that the request is sent and may run.
    pub(crate) fn record_sent(&self) {
        if let Some(shared) = &self.0 {
            shared.state().runs += 1;
        }
    }

    /// Records that the request did not run where it was sent.
    pub(crate) fn record_not_run(&self) {
        if let Some(shared) = &self.0 {
            let mut state = shared.state();
            state.runs = state.runs.saturating_sub(1);
        }
    }

    /// Records that another host has served the request, which charges it unless it is told that
    /// the request is charged.
    pub(crate) fn record_served(&self) {
        if let Some(shared) = self.0.as_ref().filter(|shared| shared.is_due()) {
            self.unanswered();
            shared.state().payment = Payment::Elsewhere;
        }
    }

    /// Logs and counts that the request is beyond the quota.
    pub(crate) fn record_refused(&self, retry_after: Duration, by: &str) {
        let Some(shared) = &self.0 else {
            return;
        };
        let Charge {
            account,
            cost,
            quota,
            ..
        } = &shared.charge;
        shared.ledger.metrics.quota_refused();
        let problem = if *cost > quota.burst {
            "the burst is too small for the request"
        } else {
            "the account is over its quota"
        };
        log::info!(
            request:% = shared.request, account:%, cost, burst = quota.burst,
            retry_ms = millis(retry_after), by;
            "refused by quota: {problem}"
        );
    }
}

impl fmt::Debug for Bill {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let charge = self.0.as_ref().map(|shared| &shared.charge);
        formatter.debug_tuple("Bill").field(&charge).finish()
    }
}

impl Shared {
    fn is_due(&self) -> bool {
        matches!(
            self.state().payment,
            Payment::Open | Payment::Requested(..) | Payment::RequestedOwn(_)
        )
    }

    fn return_to(&self, dispatcher: &id::Host, number: u64) {
        self.ledger.return_to(dispatcher, number);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let state = self.state();
        if state.runs > 0 {
            return;
        }
        match &state.payment {
            Payment::Open | Payment::Elsewhere => return,
            Payment::Prepaid => {
                let charge = self.charge.clone();
                self.ledger.send(Message::ReturnPrepaid(charge));
            }
            Payment::Requested(host, number) | Payment::Dispatcher(host, number) => {
                self.return_to(host, *number);
            }
            Payment::RequestedOwn(number) | Payment::Own(number) => {
                self.ledger.send(Message::Return(*number));
            }
        }
        self.ledger.metrics.quota_returned();
    }
}
