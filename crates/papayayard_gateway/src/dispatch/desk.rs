//! Where other hosts ask this one for endpoints.

use std::time::Duration;

use papayayard_routing::placement;
use papayayard_wire::id;
use tokio::time;

use super::Dispatch;
use super::link::HOLD;
use super::message::{Answer, Call, Decision, Denial, Notice, Placed, Question, Running, What};
use crate::schedule::{Message, Told};

/// Answers other hosts.
#[derive(Clone)]
pub(crate) struct Desk(Dispatch);

impl Desk {
    pub(super) const fn new(dispatch: Dispatch) -> Self {
        Self(dispatch)
    }

    /// Takes over what a host tells, and decides on its request, unless another host
    /// places those of this one.
    pub(crate) async fn answer(&self, call: Call) -> Answer {
        let shared = &self.0.0;
        let host = id::Host::from(call.host);
        let zone = id::Zone::from(call.zone);
        let now = shared.clock.now();
        let is_asked = self.0.is_asked(now);
        let elsewhere = if is_asked {
            None
        } else {
            self.0.elsewhere(&host, now)
        };
        if elsewhere.is_none() && call.question.is_some() {
            self.0.asked(now);
        }
        shared.schedule.tell(Message::Heard(host.clone(), call.run));
        for notice in call.notices {
            self.take(&host, &zone, notice, now);
        }
        let decision = match call.question {
            Some(question) if elsewhere.is_none() => self.decide(question, host, zone).await,
            _ => None,
        };
        Answer {
            run: shared.own.run,
            decision,
            is_asked,
            elsewhere,
        }
    }

    fn take(&self, host: &id::Host, zone: &id::Zone, notice: Notice, now: Duration) {
        let told = match notice.what {
            What::Open(running) => Told::Open(open(host, zone, &running, now)),
            What::Begun => Told::Begun,
            What::Leaving => Told::Leaving,
            ended => match ended.outcome() {
                Some(outcome) => Told::Finished(outcome),
                None => return,
            },
        };
        let message = Message::Notice(host.clone(), notice.number, told);
        self.0.0.schedule.tell(message);
    }

    /// The decision, if there is one in time; the host asks again otherwise.
    async fn decide(&self, question: Question, host: id::Host, zone: id::Zone) -> Option<Decision> {
        let shared = &self.0.0;
        let number = question.number;
        let ask = question.ask(host, zone, shared.clock.now());
        let decided = time::timeout(HOLD, shared.schedule.place(ask, number)).await;
        Some(match decided.ok()? {
            placement::Decision::Placed(placement) => Decision::Placed(Placed::new(placement)),
            placement::Decision::Refused {
                reason,
                retry_after,
                availability,
            } => Decision::Refused(Denial::new(reason, retry_after, availability)),
        })
    }
}

fn open(host: &id::Host, zone: &id::Zone, running: &Running, now: Duration) -> placement::InFlight {
    placement::InFlight {
        requesting_host: host.clone(),
        zone: zone.clone(),
        endpoint: id::Endpoint::from(running.endpoint.as_str()),
        unread: running.unread,
        memory: running.memory,
        deadline: now + running.deadline_ms,
    }
}
