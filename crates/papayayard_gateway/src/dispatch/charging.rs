//! What calls to dispatchers say about the quotas of client accounts.

use std::time::Duration;

use papayayard_coordination::quota;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};

use crate::quota::{self as quotas, Bill};

/// Charge of a placement request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Charge {
    /// Number of the charge on the requesting host; one that is repeated is applied once.
    pub(super) number: u64,
    #[serde(flatten)]
    pub(super) content: quota::Charge,
}

impl Charge {
    /// Creates the charge that a dispatcher is asked for; `None` if there is nothing to charge.
    pub(super) fn new(bill: &Bill, dispatcher: &id::Host) -> Option<Self> {
        let (number, content) = bill.request(dispatcher)?;
        Some(Self {
            number,
            content: content.clone(),
        })
    }
}

/// What a call to a dispatcher says about quotas. Charges that it returns are returned again with
/// a later call if it gets no answer.
pub(super) struct Offered<'a> {
    ledger: &'a quotas::Handle,
    dispatcher: &'a id::Host,
    /// `None` if the call says nothing, or once it is answered.
    offer: Option<quota::Offer>,
}

impl<'a> Offered<'a> {
    /// Creates what a call says; only calls to a dispatcher that is used say anything.
    pub(super) async fn new(
        ledger: &'a quotas::Handle,
        dispatcher: &'a id::Host,
        is_used: bool,
    ) -> Self {
        let offer = if is_used {
            ledger.offer(dispatcher).await
        } else {
            None
        };
        Self {
            ledger,
            dispatcher,
            offer,
        }
    }

    pub(super) fn offer(&self) -> Option<quota::Offer> {
        self.offer.clone()
    }

    /// Applies the answer of a process to the call, which was sent at a time.
    pub(super) fn accept(&mut self, run: u64, reply: Option<quota::Reply>, sent_at: Duration) {
        if self.offer.take().is_some() {
            self.ledger.accept(self.dispatcher, run, reply, sent_at);
        }
    }
}

impl Drop for Offered<'_> {
    fn drop(&mut self) {
        let returned = self.offer.iter().flat_map(quota::Offer::returned);
        for number in returned {
            self.ledger.return_to(self.dispatcher, *number);
        }
    }
}
