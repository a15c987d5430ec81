//! Link to a dispatcher.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_coordination::ranking::Candidate;
use papayayard_routing::placement::Query;
use papayayard_routing::rate::Rate;
use papayayard_wire::id;
use tokio::sync::Notify;

use super::charging::{Charge, Offered};
use super::message::{Answer, Call, Event, NamedLimit, Notice, Request};
use super::register::Register;
use crate::{peers, quota};

/// Maximum time for which a dispatcher holds a request that it cannot place yet.
pub(super) const HOLD_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for an answer beyond [`HOLD_TIMEOUT`]: the round trip and the time until the
/// dispatcher's process is scheduled.
const ANSWER_MARGIN: Duration = Duration::from_millis(120);
/// Maximum number of queued notices; a dispatcher that accepts none has crashed.
const MAX_NOTICES: usize = 4096;

/// This host, as described to dispatchers.
#[derive(Clone)]
pub(super) struct Local {
    pub(super) host: id::Host,
    pub(super) zone: id::Zone,
    /// Random ID of this host's process.
    pub(super) run: u64,
    /// This host's requests in flight.
    pub(super) register: Register,
    /// Notified when a notice was queued.
    pub(super) wakeup: Arc<Notify>,
    /// Quotas of client accounts.
    pub(super) quota: quota::Handle,
}

pub(super) struct Link {
    /// The dispatcher.
    candidate: Candidate,
    local: Local,
    client: peers::Client,
    outbox: Mutex<Outbox>,
}

/// Notices to send, and the state of earlier calls.
#[derive(Default)]
struct Outbox {
    notices: Vec<Notice>,
    named: Vec<NamedLimit>,
    named_refusals: Vec<NamedLimit>,
    asked: Vec<u64>,
    /// Revision of the limits in the last answer that had any.
    limits_revision: Option<u64>,
    /// Random process ID in the dispatcher's last answer.
    run: Option<u64>,
    /// Time of the last call.
    called_at: Duration,
}

impl Link {
    pub(super) fn new(candidate: &Candidate, local: Local) -> Result<Self, String> {
        Ok(Self {
            candidate: candidate.clone(),
            local,
            client: peers::Client::with_timeout(candidate.address, HOLD_TIMEOUT + ANSWER_MARGIN)?,
            outbox: Mutex::default(),
        })
    }

    /// Name of the dispatcher.
    pub(super) const fn host(&self) -> &id::Host {
        &self.candidate.host
    }

    /// The dispatcher and its address.
    pub(super) const fn candidate(&self) -> &Candidate {
        &self.candidate
    }

    /// Sends a placement request, with the queued notices.
    pub(super) async fn request_placement(
        &self,
        number: u64,
        query: &Query,
        charge: Option<Charge>,
        now: Duration,
    ) -> Result<Answer, String> {
        let request = Request::new(number, query, now).with_charge(charge);
        self.call(Some(request), true, now).await
    }

    /// Sends the queued notices, if any, without a placement request. `is_used` states
    /// whether this host requests its placements there.
    pub(super) async fn send_heartbeat(
        &self,
        is_used: bool,
        now: Duration,
    ) -> Result<Answer, String> {
        self.call(None, is_used, now).await
    }

    /// Queues a notice for the next call.
    pub(super) fn notify(&self, number: u64, event: Event) {
        let mut outbox = self.outbox();
        if outbox.notices.len() < MAX_NOTICES {
            outbox.notices.push(Notice {
                number,
                what: event,
            });
        }
        drop(outbox);
        self.local.wakeup.notify_one();
    }

    /// Queues the limit that the answer to a request names for the next call.
    pub(super) fn notify_limit(&self, number: u64, limit: Option<Rate>) {
        push(&mut self.outbox().named, NamedLimit { number, limit });
        self.local.wakeup.notify_one();
    }

    /// Queues the limit on refusals that the answer to a request names for the next call.
    pub(super) fn notify_refusal_limit(&self, number: u64, limit: Option<Rate>) {
        push(
            &mut self.outbox().named_refusals,
            NamedLimit { number, limit },
        );
        self.local.wakeup.notify_one();
    }

    /// Queues for the next call that the endpoint of a request is asked for its run.
    pub(super) fn notify_question(&self, number: u64) {
        push(&mut self.outbox().asked, number);
        self.local.wakeup.notify_one();
    }

    pub(super) fn has_notices(&self) -> bool {
        let outbox = self.outbox();
        !outbox.notices.is_empty()
            || !outbox.named.is_empty()
            || !outbox.named_refusals.is_empty()
            || !outbox.asked.is_empty()
    }

    /// Time of the last call.
    pub(super) fn called_at(&self) -> Duration {
        self.outbox().called_at
    }

    async fn call(
        &self,
        request: Option<Request>,
        is_used: bool,
        now: Duration,
    ) -> Result<Answer, String> {
        let mut offered = Offered::new(&self.local.quota, self.host(), is_used).await;
        let call = {
            let mut outbox = self.outbox();
            outbox.called_at = now;
            Call {
                host: self.local.host.as_str().to_owned(),
                run: self.local.run,
                zone: self.local.zone.as_str().to_owned(),
                notices: std::mem::take(&mut outbox.notices),
                named: std::mem::take(&mut outbox.named),
                named_refusals: std::mem::take(&mut outbox.named_refusals),
                asked: std::mem::take(&mut outbox.asked),
                is_used,
                limits_revision: outbox.limits_revision,
                quota: offered.offer(),
                question: request,
            }
        };
        let mut answer = self.client.dispatch(call).await?;
        offered.accept(answer.run, answer.quota.take(), now);
        let mut outbox = self.outbox();
        if outbox.run != Some(answer.run) {
            outbox.run = Some(answer.run);
            outbox.limits_revision = None;
            outbox.notices.extend(self.local.register.notices(now));
            self.local.wakeup.notify_one();
        }
        if let Some(limits) = &answer.limits {
            outbox.limits_revision = Some(limits.revision);
        }
        drop(outbox);
        Ok(answer)
    }

    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn push<Notice>(queue: &mut Vec<Notice>, notice: Notice) {
    if queue.len() < MAX_NOTICES {
        queue.push(notice);
    }
}
