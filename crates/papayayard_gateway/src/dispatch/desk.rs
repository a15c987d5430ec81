//! Where other hosts ask this one for endpoints.

use papayayard_routing::placement;
use papayayard_wire::id;
use tokio::time;

use super::Dispatch;
use super::link::HOLD;
use super::message::{Answer, Call, Decision, Denial, Notice, Placed, Question, What};
use crate::schedule::Message;

/// Answers other hosts.
#[derive(Clone)]
pub(crate) struct Desk(Dispatch);

impl Desk {
    pub(super) const fn new(dispatch: Dispatch) -> Self {
        Self(dispatch)
    }

    /// Takes over what a host tells, and decides on its request.
    pub(crate) async fn answer(&self, call: Call) -> Answer {
        let shared = &self.0.0;
        let host = id::Host::from(call.host);
        self.0.state().asked_at = Some(shared.clock.now());
        shared.schedule.tell(Message::Heard(host.clone(), call.run));
        if call.of == shared.run {
            for notice in &call.notices {
                self.take(*notice);
            }
        }
        let decision = match call.question {
            Some(question) => self.decide(question, host).await,
            None => None,
        };
        Answer {
            run: shared.run,
            decision,
        }
    }

    fn take(&self, notice: Notice) {
        let ticket = placement::Ticket::from_number(notice.ticket);
        let message = match notice.what {
            What::Begun => Message::Begun(ticket),
            What::Leaving => Message::Leaving(ticket),
            ended => match ended.outcome() {
                Some(outcome) => Message::Finished(ticket, outcome),
                None => return,
            },
        };
        self.0.0.schedule.tell(message);
    }

    /// The decision, if there is one in time; the host asks again otherwise.
    async fn decide(&self, question: Question, host: id::Host) -> Option<Decision> {
        let shared = &self.0.0;
        let ask = question.ask(host, shared.clock.now());
        let decided = time::timeout(HOLD, shared.schedule.place(ask)).await;
        Some(match decided.ok()? {
            placement::Decision::Placed(placement) => Decision::Placed(Placed::new(placement)),
            placement::Decision::Refused {
                why,
                retry_after,
                seen,
            } => Decision::Refused(Denial::new(why, retry_after, seen)),
        })
    }
}
