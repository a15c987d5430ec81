//! Charges of requests to the quotas of their client accounts, before they get a place.
//!
//! A dispatcher charges the requests that it places. A host charges those that it places by
//! itself, and those that its dispatcher did not charge since it is of an older release.

use std::time::Duration;

use papayayard_coordination::quota::{self, Caller, Verdict};
use papayayard_routing::placement::{Availability, RefusalReason};
use papayayard_wire::id;
use serde::{Deserialize, Serialize};

use super::message::{Answer, Decision, Event, Refusal};
use super::{Dispatch, Handler, Link, Selection, permit};
use crate::quota::{self as quotas, Bill};

/// Charge of a placement request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Charge {
    /// Number of the charge on the requesting host; one that is repeated is applied once.
    number: u64,
    #[serde(flatten)]
    content: quota::Charge,
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

    /// Applies the answer to the call, which was sent at a time.
    pub(super) fn accept(&mut self, answer: &mut Answer, sent_at: Duration) {
        if self.offer.take().is_some() {
            let reply = answer.quota.take();
            self.ledger
                .accept(self.dispatcher, answer.run, reply, sent_at);
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

impl Dispatch {
    /// Records whether a dispatcher has charged a request, and charges it here if the dispatcher
    /// decided without it. Returns the refusal of a request that is beyond its quota.
    pub(super) async fn settle(
        &self,
        bill: &Bill,
        answer: &Answer,
        (number, deadline): (u64, Duration),
        link: &Link,
    ) -> Option<Selection> {
        bill.answered(answer.is_charged);
        let placed = match answer.decision.as_ref()? {
            Decision::Placed(_) => self.charge_own(bill, deadline).await,
            Decision::Refused(_) => None,
        };
        if placed.is_some() {
            link.notify(number, Event::Abandoned);
        }
        placed
    }

    /// Charges a request to the pool of this host, if it is still due. Returns the refusal of a
    /// request that is beyond its quota.
    pub(super) async fn charge_own(&self, bill: &Bill, deadline: Duration) -> Option<Selection> {
        let retry_after = bill.charge_own(deadline).await.err()?;
        Some(Selection::Refused {
            reason: RefusalReason::OverQuota,
            retry_after,
            availability: Availability::default(),
            refused_by: permit::OWN.to_owned(),
        })
    }
}

impl Handler {
    /// Charges a request of another host to the pool of this one. Returns whether it is charged.
    pub(super) async fn charge(
        &self,
        caller: Caller<'_>,
        charge: Option<Charge>,
        time_left: Duration,
    ) -> Result<bool, Decision> {
        let Some(Charge { number, content }) = charge else {
            return Ok(false);
        };
        let shared = &self.0.0;
        let deadline = shared.clock.now() + time_left;
        let ledger = &shared.local.quota;
        match ledger.charge(Some(caller), number, content, deadline).await {
            Verdict::Charged => Ok(true),
            Verdict::Refused { retry_after } => {
                let reason = RefusalReason::OverQuota;
                let refusal = Refusal::new(reason, retry_after, Availability::default());
                Err(Decision::Refused(refusal))
            }
        }
    }
}
