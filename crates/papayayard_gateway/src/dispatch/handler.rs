//! Handles calls of other hosts that use this host as dispatcher.

use std::time::Duration;

use papayayard_coordination::dispatcher::HOLD_TIMEOUT;
use papayayard_coordination::quota::{self, Caller};
use papayayard_routing::placement::{self, Availability, RefusalReason};
use papayayard_wire::id;
use tokio::time;

use super::Dispatch;
use super::charging::Charge;
use super::message::{
    Answer, Call, Decision, Event, Limits, Notice, Placed, Refusal, Request, Running,
};
use crate::overload::Verdict;
use crate::schedule::{Message, Progress};
use crate::uplink;

#[derive(Clone)]
pub(crate) struct Handler(Dispatch);

impl Handler {
    pub(super) const fn new(dispatch: Dispatch) -> Self {
        Self(dispatch)
    }

    /// Records a host's notices and decides on its placement request, unless this host
    /// uses another dispatcher itself or reaches no endpoint.
    pub(crate) async fn answer(&self, call: Call) -> Result<Answer, uplink::Detached> {
        let shared = &self.0.0;
        let host = id::Host::from(call.host);
        let zone = id::Zone::from(call.zone);
        let now = shared.clock.now();
        let is_detached = shared.uplink.is_detached();
        let is_asked = self.0.is_dispatcher(now);
        let elsewhere = if is_asked || is_detached {
            None
        } else {
            self.0.redirect(&host, now)
        };
        let is_dispatching = elsewhere.is_none() && !is_detached;
        if is_dispatching && call.question.is_some() {
            self.0.record_request(now);
        }
        shared
            .schedule
            .send(Message::Contact(host.clone(), call.run));
        if is_dispatching && call.is_used {
            shared
                .schedule
                .send(Message::Use(host.clone(), zone.clone()));
        }
        for named in call.named {
            let progress = Progress::Limit(named.limit);
            shared
                .schedule
                .send(Message::Notice(host.clone(), named.number, progress));
        }
        for named in call.named_refusals {
            let progress = Progress::RefusalLimit(named.limit);
            shared
                .schedule
                .send(Message::Notice(host.clone(), named.number, progress));
        }
        for number in call.asked {
            let message = Message::Notice(host.clone(), number, Progress::Asked);
            shared.schedule.send(message);
        }
        for notice in call.notices {
            self.record(&host, &zone, notice, now);
        }
        if is_detached {
            return Err(uplink::Detached);
        }
        let caller = Caller {
            host: &host,
            run: call.run,
        };
        let quota = match call.quota {
            Some(offer) if is_dispatching && call.is_used => {
                shared.local.quota.receive(caller, offer).await
            }
            _ => None,
        };
        let (decision, is_charged) = match call.question {
            Some(request) if is_dispatching => self.charge_and_decide(caller, request, zone).await,
            _ => (None, false),
        };
        let limits = shared.schedule.limits();
        let is_current = call.limits_revision == Some(limits.revision);
        let limits = (!is_current && is_dispatching).then(|| Limits::new(&limits));
        Ok(Answer {
            run: shared.local.run,
            decision,
            is_asked,
            elsewhere,
            limits,
            quota,
            is_charged,
        })
    }

    fn record(&self, host: &id::Host, zone: &id::Zone, notice: Notice, now: Duration) {
        let progress = match notice.what {
            Event::Open(running) => Progress::InFlight(in_flight(host, zone, &running, now)),
            Event::Begun => Progress::Begun,
            Event::Leaving => Progress::Leaving,
            finished => match finished.outcome() {
                Some(outcome) => Progress::Finished(outcome),
                None => return,
            },
        };
        let message = Message::Notice(host.clone(), notice.number, progress);
        self.0.0.schedule.send(message);
    }

    /// Returns the decision on a request of another host, if there is one in time, and whether
    /// the request is charged to the pool of this host.
    async fn charge_and_decide(
        &self,
        caller: Caller<'_>,
        mut request: Request,
        zone: id::Zone,
    ) -> (Option<Decision>, bool) {
        let charge = request.charge.take();
        match self.charge(caller, charge, request.time_left()).await {
            Ok(is_charged) => {
                let decision = self.decide(request, caller.host.clone(), zone).await;
                (decision, is_charged)
            }
            Err(refusal) => (Some(refusal), false),
        }
    }

    /// Charges a request of another host to the pool of this one. Returns whether it is charged.
    async fn charge(
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
            quota::Verdict::Charged => Ok(true),
            quota::Verdict::Refused { retry_after } => {
                let reason = RefusalReason::OverQuota;
                let refusal = Refusal::new(reason, retry_after, Availability::default());
                Err(Decision::Refused(refusal))
            }
        }
    }

    /// Waits up to [`HOLD_TIMEOUT`] for a decision; without one the host sends its
    /// request again.
    async fn decide(&self, request: Request, host: id::Host, zone: id::Zone) -> Option<Decision> {
        let shared = &self.0.0;
        let number = request.number;
        let mut query = request.into_query(host, zone, shared.clock.now());
        query.avoided.extend(self.0.restarted(&query));
        let decided = time::timeout(HOLD_TIMEOUT, shared.schedule.place(query, number)).await;
        let decision = match decided.ok()? {
            Verdict::Shed(retry_after) => {
                return Some(Decision::Refused(Refusal::undecided(retry_after)));
            }
            Verdict::Decided(decision) => *decision,
        };
        Some(match decision {
            placement::Decision::Placed(placement) => {
                Decision::Placed(Placed::new(self.0.name_software(placement)))
            }
            placement::Decision::Refused {
                reason,
                retry_after,
                availability,
            } => Decision::Refused(Refusal::new(reason, retry_after, availability)),
        })
    }
}

fn in_flight(
    host: &id::Host,
    zone: &id::Zone,
    running: &Running,
    now: Duration,
) -> placement::InFlight {
    placement::InFlight {
        requesting_host: host.clone(),
        zone: zone.clone(),
        endpoint: id::Endpoint::from(running.endpoint.as_str()),
        unread: running.unread,
        memory: running.memory,
        deadline: now + running.deadline_ms,
    }
}
