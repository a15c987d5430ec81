//! Link to a dispatcher.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_coordination::dispatcher::ANSWER_TIMEOUT;
use papayayard_coordination::dispatcher_health::{self, Health, State};
use papayayard_coordination::ranking::Candidate;
use papayayard_routing::placement::Query;
use papayayard_routing::rate::Rate;
use papayayard_wire::id;
use tokio::sync::Notify;

use super::charging::{Charge, Offered};
use super::message::{Answer, Call, Event, NamedLimit, Notice, Request};
use super::register::Register;
use crate::clock::Clock;
use crate::peers::{self, DispatchError};
use crate::quota;

/// Maximum number of queued notices; a dispatcher that accepts none has crashed.
const MAX_NOTICES: usize = 4096;
/// Minimum time between two log lines on a busy dispatcher.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// This host, as described to dispatchers.
#[derive(Clone)]
pub(super) struct Local {
    pub(super) host: id::Host,
    pub(super) zone: id::Zone,
    pub(super) clock: Clock,
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

/// A call that got no answer.
pub(super) struct Failure {
    /// State of the dispatcher.
    pub(super) state: State,
    pub(super) problem: DispatchError,
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
    health: Health,
    /// Calls that timed out at a busy dispatcher since the last log line, and its time.
    timeouts: u64,
    reported_at: Option<Duration>,
}

impl Link {
    pub(super) fn new(candidate: &Candidate, local: Local) -> Result<Self, String> {
        Ok(Self {
            candidate: candidate.clone(),
            local,
            client: peers::Client::with_timeout(candidate.address, ANSWER_TIMEOUT)?,
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

    /// Sends a placement request, with the queued notices. `is_repeated` states whether an
    /// earlier call with the request got no answer.
    pub(super) async fn request_placement(
        &self,
        number: u64,
        query: &Query,
        charge: Option<Charge>,
        now: Duration,
        is_repeated: bool,
    ) -> Result<Answer, Failure> {
        let request = Request::new(number, query, now).with_charge(charge);
        let timeout = if is_repeated {
            self.outbox().health.retry_timeout(ANSWER_TIMEOUT, now)
        } else {
            ANSWER_TIMEOUT
        };
        self.call(Some(request), true, now, timeout).await
    }

    /// Sends the queued notices, if any, without a placement request. `is_used` states
    /// whether this host requests its placements there.
    pub(super) async fn send_heartbeat(
        &self,
        is_used: bool,
        now: Duration,
    ) -> Result<Answer, Failure> {
        self.call(None, is_used, now, ANSWER_TIMEOUT).await
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

    /// Logs that calls time out although the dispatcher answers others, at most once in
    /// [`LOG_PERIOD`].
    pub(super) fn report_timeout(&self) {
        let now = self.local.clock.now();
        let mut outbox = self.outbox();
        outbox.timeouts += 1;
        if outbox.reported_at.is_some_and(|at| now < at + LOG_PERIOD) {
            return;
        }
        outbox.reported_at = Some(now);
        let calls = std::mem::take(&mut outbox.timeouts);
        drop(outbox);
        log::info!(host:% = self.host(), calls; "the dispatcher is busy; calls to it time out");
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
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let kind = if request.is_some() {
            dispatcher_health::Call::Placement
        } else {
            dispatcher_health::Call::Heartbeat
        };
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
        let unanswered = Unanswered {
            link: self,
            outcomes: outcomes(&call.notices),
        };
        let answer = self.client.dispatch(call, timeout).await;
        let ended_at = self.local.clock.now();
        let mut answer = match answer {
            Ok(answer) => answer,
            Err(problem) => {
                let mut outbox = self.outbox();
                let state = outbox.record_failure(&problem, kind, now, ended_at);
                return Err(Failure { state, problem });
            }
        };
        unanswered.accept();
        let mut outbox = self.outbox();
        offered.accept(answer.run, answer.quota.take(), now);
        outbox.health.record_answer(kind, now, ended_at);
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

/// Outcomes in a call, which are queued again if it gets no answer or its future is dropped.
struct Unanswered<'a> {
    link: &'a Link,
    outcomes: Vec<Notice>,
}

impl Unanswered<'_> {
    /// Records that the call is answered.
    fn accept(mut self) {
        self.outcomes.clear();
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.outcomes.is_empty() {
            let outcomes = std::mem::take(&mut self.outcomes);
            self.link.outbox().queue_again(outcomes);
        }
    }
}

impl Outbox {
    fn record_failure(
        &mut self,
        problem: &DispatchError,
        call: dispatcher_health::Call,
        sent_at: Duration,
        now: Duration,
    ) -> State {
        match problem {
            DispatchError::TimedOut => self.health.record_timeout(call, sent_at, now),
            DispatchError::Failed { .. } => {
                self.health.reset();
                State::Gone
            }
        }
    }

    /// Queues outcomes again that were in a call without an answer.
    fn queue_again(&mut self, mut outcomes: Vec<Notice>) {
        outcomes.append(&mut self.notices);
        outcomes.truncate(MAX_NOTICES);
        self.notices = outcomes;
    }
}

/// Outcomes among notices. The dispatcher may get them twice: a request that has finished is
/// not known to it any more. Other notices are not sent again, since an older one could then
/// come after a newer one.
fn outcomes(notices: &[Notice]) -> Vec<Notice> {
    let outcomes = notices
        .iter()
        .filter(|notice| notice.what.outcome().is_some());
    outcomes.cloned().collect()
}

fn push<Notice>(queue: &mut Vec<Notice>, notice: Notice) {
    if queue.len() < MAX_NOTICES {
        queue.push(notice);
    }
}
