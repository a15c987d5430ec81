//! Serves a request: finds an endpoint, forwards the request, and decides after a failure
//! whether to retry.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use papayayard_routing::blame::Progress;
use papayayard_routing::placement::{Outcome, Placement};
use papayayard_routing::retry_budget;
use papayayard_routing::sharing;
use papayayard_routing::table::Accounts;
use papayayard_wire::id;
use papayayard_wire::refusal::Kind;
use tokio::sync::watch;
use tokio::time;

use crate::attempt::{self, Delivery, Failure, Sender};
use crate::beliefs::{Configuration, LastRead};
use crate::body::{Body, Chunks, Truncated};
use crate::clock::Clock;
use crate::detours::Detours;
use crate::dispatch::{Dispatch, Permit, Selection};
use crate::ends::CrashTracker;
use crate::exchange::Codec;
use crate::front;
use crate::hop;
use crate::job::Job;
use crate::memory::{Memory, Share};
use crate::metrics::Metrics;
use crate::origins;
use crate::pump;
use crate::refusal::{Refusal, left, millis};
use crate::usability;

mod admit;
mod forward;
mod replace;

pub(crate) use forward::Source;
pub(crate) use replace::Replacement;

/// Maximum bytes of a response that is buffered before it is forwarded.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Time for which silent endpoints are awaited that can't be reached: a sound one goes on well
/// within it.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Pause before they are tried again.
const WAIT_STEP: Duration = Duration::from_millis(150);
/// Retry delay sent to callers while this host lacks data that it needs to serve.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(300);

#[derive(Clone)]
pub(crate) struct Relay<Platform> {
    pub(crate) sender: Sender<Platform>,
    pub(crate) clock: Clock,
    pub(crate) dispatch: Dispatch,
    /// Zone of this host.
    pub(crate) zone: id::Zone,
    /// Current configuration.
    pub(crate) configuration: watch::Receiver<Configuration>,
    /// Request time of the newest complete reading of the operators topic.
    pub(crate) last_read: watch::Receiver<LastRead>,
    /// Maximum age of that reading for requests with a key; `None` disables the check.
    pub(crate) revocation: Option<Duration>,
    /// Stage and schedule of a planned stop.
    pub(crate) stop: watch::Receiver<front::StopState>,
    pub(crate) hosts: watch::Receiver<usize>,
    /// Limits retries.
    pub(crate) budget: Arc<Mutex<retry_budget::Budget>>,
    /// Detects endpoint crashes and quarantines requests.
    pub(crate) crashes: CrashTracker,
    /// Knows which version of the endpoints' software began a stream.
    pub(crate) origins: origins::Tracker,
    /// Who sends the requests.
    pub(crate) source: Source,
    /// Whether this host reaches no endpoint.
    pub(crate) detached: watch::Receiver<bool>,
    /// Hosts that may take requests; `None` if this host passes on none.
    pub(crate) detours: Option<Detours>,
    /// Memory for responses that were read in part.
    pub(crate) memory: Memory,
    pub(crate) metrics: Metrics,
}

/// Earlier attempts of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Endpoints that failed the request.
    pub(crate) endpoints: Vec<id::Endpoint>,
    /// Those of them that may be tried again if there is no other one: they were silent or full,
    /// which sound ones may be for a moment.
    pub(crate) revisitable: Vec<id::Endpoint>,
    /// Those that were silent, or accepted no connection in time.
    silent: Vec<id::Endpoint>,
    /// Until when they are awaited, if there is no other one.
    awaited_until: Option<Duration>,
    /// Number of attempts that may have run.
    pub(crate) runs: u32,
    /// Number of attempts whose endpoints could not be reached.
    pub(crate) unreachable: usize,
    /// Whether all attempts failed to reach their endpoints, and there is no place at another.
    pub(crate) has_no_way: bool,
    /// Whether other hosts were asked to take the request.
    pub(crate) was_offered: bool,
}

impl History {
    /// Records that an endpoint failed the request.
    pub(crate) fn record_failed(&mut self, endpoint: id::Endpoint, failure: Option<Failure>) {
        if failure == Some(Failure::Silent) {
            self.revisitable.push(endpoint.clone());
        }
        self.silent.retain(|silent| *silent != endpoint);
        if matches!(failure, Some(Failure::Silent | Failure::Unresponsive)) {
            self.silent.push(endpoint.clone());
        }
        self.endpoints.push(endpoint);
    }

    /// Whether a failure tells nothing that the request has not met before.
    fn is_known(&self, endpoint: &id::Endpoint, failure: Failure) -> bool {
        failure == Failure::Unresponsive && self.silent.contains(endpoint)
    }

    /// Outcome that is reported to the scheduler.
    pub(crate) fn outcome(&self, endpoint: &id::Endpoint, failure: Failure) -> Outcome {
        if self.is_known(endpoint, failure) {
            Outcome::Abandoned
        } else {
            failure.outcome()
        }
    }

    /// Waits before a further attempt at silent endpoints. Returns whether there are any, and time
    /// is left for them. A request that has not run is refused instead, so that its caller asks
    /// another host.
    pub(crate) async fn wait(&mut self, now: Duration, deadline: Duration) -> bool {
        if self.runs == 0 || self.silent.is_empty() {
            return false;
        }
        let end = *self.awaited_until.get_or_insert(now + MAX_WAIT);
        if now + WAIT_STEP >= end.min(deadline) {
            return false;
        }
        time::sleep(WAIT_STEP).await;
        let silent = &self.silent;
        self.endpoints.retain(|endpoint| !silent.contains(endpoint));
        true
    }

    /// Records that an endpoint has answered, so that a later silence is another one.
    pub(crate) fn record_answered(&mut self) {
        self.awaited_until = None;
    }

    /// Records that an endpoint did not take the request while another one may go on with it.
    pub(crate) fn record_not_taken(&mut self, endpoint: id::Endpoint) {
        self.revisitable.push(endpoint.clone());
        self.endpoints.push(endpoint);
    }

    /// Allows a further attempt at endpoints that may be tried again. Returns whether there are
    /// any.
    pub(crate) fn revisit(&mut self) -> bool {
        let revisitable = std::mem::take(&mut self.revisitable);
        self.endpoints
            .retain(|endpoint| !revisitable.contains(endpoint));
        !revisitable.is_empty()
    }
}

/// Why a request has no place.
struct NoPlace {
    refusal: Refusal,
    /// Whether all attempts failed to reach their endpoints, so that another host may be better
    /// off.
    is_unreachable: bool,
}

enum AttemptResult {
    /// Response for the caller.
    Answer(Response<Body>),
    /// The endpoint returned no usable response.
    Failed(Failure),
    /// The endpoint did not answer, and another one is ready to take the request.
    Replaced(Replacement),
    /// The endpoint ran the request and returned an error.
    Error(Response<Body>),
}

impl<Platform> Relay<Platform>
where
    Platform: Codec,
{
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let sender = request.headers().get(hop::FORWARDED_BY).cloned();
        let mut response = self.respond(request).await;
        if self.source == Source::Hosts {
            let sender = sender.unwrap_or(HeaderValue::from_static("-"));
            self.complete_head(&sender, &mut response);
        }
        response
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let received = self.clock.now();
        let (head, body) = request.into_parts();
        let request_head = match self.sender.codec.decode_request_head(&head.headers) {
            Ok(request_head) => request_head,
            Err(error) => {
                log::info!(error:%; "cannot parse the request headers");
                let refusal = Refusal::not_run(
                    Kind::BadRequest,
                    "a header is invalid; send it in the documented format",
                );
                return self.refuse(None, &refusal);
            }
        };
        let id = request_head.id.clone();
        let job = match self.admit(head, body, request_head, received).await {
            Ok(job) => job,
            Err(refusal) => return self.refuse(id.as_ref(), &refusal),
        };
        let mut history = History::default();
        // The host that serves a stream finds out what may continue it.
        if let Some(response) = self.divert_at_once(&job, &mut history).await {
            return response;
        }
        match self.resolve_origin(job).await {
            Ok(job) => self.run(job, history).await,
            Err(refusal) => self.refuse(id.as_ref(), &refusal),
        }
    }

    /// Finds out which version of the software may continue the stream that a caller resumes.
    async fn resolve_origin(&self, job: Job) -> Result<Job, Refusal> {
        if job.resumed_position().is_none() {
            return Ok(job);
        }
        let software = self.origins.find(&job).await;
        let resumes = job.resumes.as_ref().map_or("", id::Request::as_str);
        let found = software.as_ref().map_or("", id::Software::as_str);
        log::info!(
            request:% = job.id, resumes, software = found, position = job.position;
            "stream resumed by its caller"
        );
        if software.is_some() {
            return Ok(Job { software, ..job });
        }
        let message = "the stream cannot go on, since the version that began it is not known; \
                       send the request without a position";
        let left = job.deadline.saturating_sub(self.clock.now());
        Err(Refusal::not_run(Kind::NoEndpoint, message).after(left))
    }

    async fn run(&self, job: Job, mut history: History) -> Response<Body> {
        let mut error = None;
        let mut replacement = None;
        loop {
            if job.account.is_some()
                && let Err(refusal) = self.check_last_read()
            {
                return self.give_up(&job, &history, error, &refusal);
            }
            if let Err(refusal) = self.check_quarantine(&job) {
                return self.give_up(&job, &history, error, &refusal);
            }
            if let Some(response) = self.divert(&job, &mut history).await {
                return response;
            }
            let placed = if let Some(replacement) = replacement.take() {
                Ok(replacement)
            } else {
                tokio::select! {
                    placed = self.place(&job, &history) => placed.map(Replacement::from),
                    () = self.until_diverted(&history) => continue,
                }
            };
            let place = match placed {
                Ok(place) => place,
                Err(NoPlace {
                    refusal,
                    is_unreachable,
                }) => {
                    if history.revisit() {
                        log::info!(request:% = job.id; "no other endpoint; trying one again");
                        continue;
                    }
                    history.has_no_way = is_unreachable;
                    if let Some(response) = self.divert(&job, &mut history).await {
                        return response;
                    }
                    if history.wait(self.clock.now(), job.deadline).await {
                        continue;
                    }
                    return self.give_up(&job, &history, error, &refusal);
                }
            };
            // The request may have been quarantined while it waited for a place.
            if let Err(refusal) = self.check_quarantine(&job) {
                return self.give_up(&job, &history, error, &refusal);
            }
            let endpoint = place.placement.endpoint.clone();
            let result = self.attempt(&job, place, &history).await;
            let mut is_known = false;
            let failure = match result {
                AttemptResult::Answer(response) => {
                    self.record_reach(&job, &history, None);
                    return response;
                }
                AttemptResult::Error(response) => {
                    history.runs += 1;
                    error = Some(response);
                    None
                }
                AttemptResult::Failed(failure) => {
                    if !failure.is_not_run() {
                        history.runs += 1;
                    }
                    is_known = history.is_known(&endpoint, failure);
                    history.unreachable += usize::from(failure.is_unreachable() && !is_known);
                    Some(failure)
                }
                AttemptResult::Replaced(next) => {
                    history.runs += 1;
                    replacement = Some(next);
                    Some(Failure::Silent)
                }
            };
            log::info!(
                request:% = job.id, endpoint:% = endpoint, reason = reason(failure);
                "attempt failed"
            );
            history.record_failed(endpoint, failure);
            if !is_known {
                self.record_reach(&job, &history, failure);
            }
            if replacement.is_some() {
                self.metrics.retried(reason(failure));
            } else if !self.may_retry(&job, &history, failure) {
                let refusal = Refusal::not_run(Kind::Overloaded, "the endpoints refused")
                    .after(NOT_READY_RETRY_DELAY);
                return self.give_up(&job, &history, error, &refusal);
            }
        }
    }

    /// Waits for a place at an endpoint. A place is given up if the configuration has changed
    /// meanwhile which cached prompts the request may share.
    pub(crate) async fn find(&self, job: &Job, history: &History) -> Selection {
        loop {
            let group = self.sharing_group(job);
            let query = job.query(&self.zone, &history.endpoints, group);
            match self.dispatch.place_charged(query, &job.bill).await {
                Selection::Placed(_, permit) if self.sharing_group(job) != group => {
                    log::info!(request:% = job.id; "placed again, since accounts were isolated or freed");
                    permit.end(Outcome::Abandoned);
                }
                selection => return selection,
            }
        }
    }

    /// The requests with which this one may share cached prompts, by the configuration in force.
    fn sharing_group(&self, job: &Job) -> sharing::Group {
        let configuration = self.configuration.borrow();
        let table = configuration.table.as_ref();
        let account = job.account.as_deref();
        table.map_or_else(
            || Accounts::default().group(account),
            |table| table.accounts.group(account),
        )
    }

    async fn place(&self, job: &Job, history: &History) -> Result<(Placement, Permit), NoPlace> {
        match self.find(job, history).await {
            Selection::Placed(placement, permit) => {
                let source = placement.fetch;
                let source = source.map_or_else(|| "-".to_owned(), |source| source.to_string());
                let prompt = job.prompt.as_ref();
                let shared = prompt.and_then(|prompt| prompt.longest_shared());
                let shared = shared.unwrap_or("-");
                log::info!(
                    request:% = job.id, fingerprint:% = job.subjects.request,
                    service:% = job.service, endpoint:% = placement.endpoint,
                    version = placement.version.unwrap_or(0),
                    weights_left_ms:% = left(permit.weights_remaining()),
                    expected_ms = millis(placement.first_event),
                    cached = placement.cached, unread = placement.unread, reread = placement.reread,
                    parts = prompt.map_or(0, |prompt| prompt.tokens),
                    shared,
                    fetch:% = source, save = placement.save.is_some(), trial = placement.is_trial,
                    by = permit.placed_by(), attempt = history.endpoints.len();
                    "placed"
                );
                Ok((*placement, permit))
            }
            Selection::Refused {
                reason: why,
                retry_after,
                availability: seen,
                refused_by,
            } => {
                log::info!(
                    request:% = job.id, service:% = job.service, reason = why.as_str(),
                    usable = seen.usable, with_room = seen.with_capacity,
                    first_event_ms = millis(seen.first_event), left_out:% = usability::left_out(&seen),
                    by = refused_by.as_str(), attempt = history.endpoints.len();
                    "no place"
                );
                if why.is_over_quota() {
                    job.bill.record_refused(retry_after, &refused_by);
                }
                let (kind, message) = why.refusal();
                let tried = history.endpoints.len();
                Err(NoPlace {
                    refusal: Refusal::not_run(kind, message).after(retry_after),
                    is_unreachable: tried > 0 && history.unreachable == tried,
                })
            }
        }
    }

    /// Whether the request may be retried; takes the retry from the budget.
    fn may_retry(&self, job: &Job, history: &History, failure: Option<Failure>) -> bool {
        let may_run_again = history.runs == 0
            || (job.route.kind.is_repeatable() && history.runs < job.allowance.runs);
        let is_in_time = self.clock.now() < job.deadline;
        // Nothing was sent, so the next attempt is not a retry.
        let was_not_sent = matches!(
            failure,
            Some(
                Failure::Unreachable
                    | Failure::Unresponsive
                    | Failure::Restarted
                    | Failure::Outdated
            )
        );
        let retries = may_run_again && is_in_time && (was_not_sent || self.take_retry(job));
        if retries {
            self.metrics.retried(reason(failure));
        }
        retries
    }

    /// Takes a retry from the budget; returns whether one was left.
    pub(crate) fn take_retry(&self, job: &Job) -> bool {
        let hosts = *self.hosts.borrow();
        let now = self.clock.now();
        let allowed = self.lock_budget().take_retry(&job.service, hosts, now);
        if !allowed {
            log::info!(request:% = job.id, service:% = job.service; "no repeat is left");
        }
        allowed
    }

    /// Whether the budget has a retry left.
    fn has_retry(&self, job: &Job) -> bool {
        let hosts = *self.hosts.borrow();
        let now = self.clock.now();
        self.lock_budget().has_retry(&job.service, hosts, now)
    }

    fn lock_budget(&self) -> std::sync::MutexGuard<'_, retry_budget::Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Builds the final response after all attempts: an endpoint's own error takes
    /// precedence, and a request is reported as not run only if that is certain.
    fn give_up(
        &self,
        job: &Job,
        history: &History,
        error: Option<Response<Body>>,
        refusal: &Refusal,
    ) -> Response<Body> {
        if let Some(response) = error {
            return response;
        }
        if history.runs == 0 {
            return self.refuse(Some(&job.id), refusal);
        }
        self.fail(job)
    }

    /// Answers a request that may have run and has no other answer.
    fn fail(&self, job: &Job) -> Response<Body> {
        let failed = if self.clock.now() < job.deadline {
            Refusal::unknown(Kind::EndpointFailed, "the endpoint failed")
        } else {
            Refusal::unknown(Kind::DeadlinePassed, "no answer came in time")
        };
        self.refuse(Some(&job.id), &failed)
    }

    async fn attempt(&self, job: &Job, place: Replacement, history: &History) -> AttemptResult {
        let Replacement {
            placement,
            permit,
            way,
        } = place;
        let mut watch = self.crashes.watch(job, &placement, Progress::Waiting);
        let delivery = Delivery {
            destination: (&placement, &permit),
            position: job.position,
            way,
            may_repeat: self.may_be_replaced(job, history),
        };
        let mut replacement = None;
        let given_up = self.until_given_up(job, &placement, history, &mut replacement);
        let response = match self.sender.send(job, delivery, given_up).await {
            Ok(response) => response,
            Err(failure) => {
                self.record_failure(&placement, failure);
                permit.end(history.outcome(&placement.endpoint, failure));
                watch.failed(failure).await;
                return replacement.map_or(AttemptResult::Failed(failure), AttemptResult::Replaced);
            }
        };
        if job.route.kind.is_stream() && response.head.status == StatusCode::OK {
            let upstream = pump::Upstream {
                placement: *placement,
                response,
                permit,
                watch,
                end: None,
            };
            return AttemptResult::Answer(self.stream(job, upstream, history).await);
        }
        let ends_with_connection = response.ends_with_connection(&job.method);
        match self.read_response(job, &placement, response).await {
            Ok(_) if ends_with_connection && !watch.confirm().await => {
                permit.end(Failure::Broken.outcome());
                AttemptResult::Failed(Failure::Broken)
            }
            Ok(response) => {
                let status = response.status();
                let is_error = status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT;
                permit.end(Outcome::Whole);
                if status.is_success() {
                    watch.succeeded();
                } else {
                    watch.finished();
                }
                if is_error && job.route.kind.is_repeatable() {
                    return AttemptResult::Error(response);
                }
                AttemptResult::Answer(response)
            }
            Err(failure) => {
                self.record_failure(&placement, failure);
                permit.end(failure.outcome());
                watch.failed(failure).await;
                AttemptResult::Failed(failure)
            }
        }
    }

    /// Answers with a stream. A caller gets the head together with the first event, since a stream
    /// that fails before it can still be answered with an error.
    async fn stream(
        &self,
        job: &Job,
        upstream: pump::Upstream,
        history: &History,
    ) -> Response<Body> {
        let status = upstream.response.head.status;
        let mut headers = upstream.response.head.headers.clone();
        hop::strip(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        self.name_leaving(&upstream.placement, &upstream.response.head, &mut headers);
        let mut history = history.clone();
        history.runs += 1;
        let waited = self.clock.now().saturating_sub(job.received());
        let job = Job {
            allowance: job.allowance.of_stream(waited),
            ..job.clone()
        };
        let mut rest = pump::start(self.clone(), job.clone(), upstream, history);
        let first = match self.source {
            Source::Callers => rest.recv().await,
            // The host that passed the request on allows a time until the head.
            Source::Hosts => None,
        };
        let first = match first {
            Some(Err(Truncated)) => return self.fail(&job),
            Some(Ok(first)) => Some(first),
            None => None,
        };
        let mut response = Response::new(Body::Chunks(Chunks { first, rest }));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Buffers a complete response before any of it is forwarded, so that the request can
    /// still be retried elsewhere if the response is cut.
    async fn read_response(
        &self,
        job: &Job,
        placement: &Placement,
        reply: attempt::Response,
    ) -> Result<Response<Body>, Failure> {
        let remaining = job.deadline.saturating_sub(self.clock.now());
        let share = self.memory.share(reply.has_length());
        let body = time::timeout(remaining, read_whole(reply.body, share));
        let body = body.await.unwrap_or(Err(Failure::Silent))?;
        let mut headers = reply.head.headers.clone();
        self.sender.keep(placement, reply.connection, &headers);
        hop::strip(&mut headers);
        self.name_leaving(placement, &reply.head, &mut headers);
        if !attempt::has_no_body(&job.method) {
            headers.remove(header::CONTENT_LENGTH);
        }
        let mut response = Response::new(Body::Whole(body));
        *response.status_mut() = reply.head.status;
        *response.headers_mut() = headers;
        self.metrics.answered(reply.head.status);
        Ok(response)
    }

    pub(crate) fn record_first_event(&self, job: &Job, weights_left: Option<Duration>) {
        let time = self.clock.now().saturating_sub(job.received());
        self.metrics.first_event(time);
        log::info!(
            request:% = job.id, first_event_ms = millis(time), weights_left_ms:% = left(weights_left);
            "first event"
        );
    }

    /// Version of the software that a placed request runs on, if it is known.
    pub(crate) fn software(&self, placement: &Placement) -> Option<id::Software> {
        let known = self.sender.runs.software(&placement.endpoint)?;
        (placement.software.as_ref() == Some(&known)).then_some(known)
    }

    /// Records that an attempt failed.
    pub(crate) fn record_failure(&self, placement: &Placement, failure: Failure) {
        self.sender.runs.failed(&placement.endpoint, failure);
    }

    /// Records a stream that was cut before its end, and why no endpoint goes on with it. A caller
    /// whose stream has not begun gets an error, which counts by itself.
    pub(crate) fn record_truncated(&self, job: &Job, reason: &'static str, has_begun: bool) {
        if has_begun || self.source == Source::Hosts {
            self.metrics.refused(Kind::EndpointFailed);
        }
        let left = job.deadline.saturating_sub(self.clock.now());
        log::info!(request:% = job.id, reason, left_ms = millis(left); "stream ends broken");
    }

    fn refuse(&self, request: Option<&id::Request>, refusal: &Refusal) -> Response<Body> {
        self.metrics.refused(refusal.kind);
        let request = request.map_or("", id::Request::as_str);
        let retry_ms = refusal.retry_after.map_or(0, millis);
        log::info!(request, kind = refusal.kind.as_str(), retry_ms; "refused: {}", refusal.message);
        let mut response = refusal.response();
        self.state_not_taken(refusal, &mut response);
        response
    }
}

/// Reads a body to its end, within the memory for responses. Its bytes are copied, since frames
/// may be small parts of larger buffers.
async fn read_whole(mut body: Incoming, mut share: Share) -> Result<Bytes, Failure> {
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = share.evicted() => return Err(Failure::Oversized),
        };
        let data = match frame {
            None => return Ok(whole.freeze()),
            Some(Err(_)) => return Err(Failure::Broken),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let length = whole.len() + data.len();
        if length > MAX_RESPONSE_BYTES || share.hold(length).is_err() {
            return Err(Failure::Oversized);
        }
        whole.extend_from_slice(&data);
    }
}

/// Label of the failure in logs and metrics; `None` represents an error response of
/// the endpoint.
fn reason(failure: Option<Failure>) -> &'static str {
    failure.map_or("error", Failure::as_str)
}
