//! Serves a caller's request through another host, if this host reaches no endpoint for it.
//!
//! A request is passed on once: a host that takes it serves it like its own callers' requests,
//! or states that it did not take it. Only such a statement, a connection that did not come
//! about, or a request that was not sent means that the request did not run; after any other
//! failure it may have run.
//!
//! A host that is silent is left only once another one has taken the request; see [`handover`].
//!
//! With the request goes how often the other host may run it. These runs are used up once the
//! request may have run, and only what is left of them goes to a host after it.

use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use papayayard_coordination::detour::{MAX_TRIES, Peer};
use papayayard_routing::placement::Placement;
use papayayard_wire::refusal::{Kind, Ran};
use papayayard_wire::{id, refusal, status};
use tokio::time;

use super::{History, NOT_READY_RETRY_DELAY, Relay};
use crate::allowance::Allowance;
use crate::attempt::{self, Failure};
use crate::body::Body;
use crate::detours::Detours;
use crate::dial;
use crate::exchange::Codec;
use crate::forwarded::Forwarded;
use crate::held::{self, Gate, Hold};
use crate::hop;
use crate::job::Job;
use crate::refusal::Refusal;

mod handover;

use handover::{Event, Handover, Outcome};

/// Attempts at endpoints that could not be reached after which a request is passed on.
const MAX_UNREACHABLE: usize = 2;
/// Maximum number of hosts that are asked to take a request of a host that is not detached.
const MAX_FALLBACK_TRIES: usize = 2;
/// Part of the time that is left in which a host must begin to answer, as a divisor, until another
/// one is asked, if the request may be sent there.
const PATIENCE_DIVISOR: u32 = 2;
/// Time for the head of an answer to get from one host to another.
const ANSWER_TRANSIT: Duration = Duration::from_millis(500);
/// Value of [`hop::NOT_TAKEN`] of a host that can take no request now.
const ANY_REQUEST: HeaderValue = HeaderValue::from_static("any");
/// Value of [`hop::NOT_TAKEN`] of a host that reached no endpoint for this request.
const THIS_REQUEST: HeaderValue = HeaderValue::from_static("this");

/// Who sends requests to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Callers,
    /// Other hosts, which pass on requests of their callers.
    Hosts,
}

/// What another host is handed over with a request.
#[derive(Clone, Copy, Debug)]
struct Share {
    allowance: Allowance,
    /// Time after which another host is asked to take the request; `None` if none may be.
    patience: Option<Duration>,
}

/// A request that other hosts are asked to serve.
struct Offer<Answer> {
    /// The host that has the request but is silent; its runs are counted.
    silent: Option<Handover<Answer>>,
    /// Newest answer of a host that used its runs in vain.
    error: Option<Response<Body>>,
}

/// What follows after a host was asked.
enum Step {
    Answered(Response<Body>),
    /// Another host is asked.
    Next,
    /// No other host is asked.
    Stop,
}

/// What the outcome at another host means for a request.
enum Assessment {
    /// Answer for the caller.
    Final(Response<Body>),
    /// The request did not run at this host.
    NotRun,
    /// It may have run; `None` if the host has answered.
    Failed(Option<Failure>),
}

/// What another host's answer means for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Final,
    /// The host used its runs in vain.
    Failed,
    /// The request did not run at this host, but may have run at another one before.
    NotRun,
}

impl History {
    /// Whether the attempts show that this host does not reach the service.
    const fn is_out_of_reach(&self) -> bool {
        self.has_no_way || self.unreachable >= MAX_UNREACHABLE
    }
}

impl<Platform> Relay<Platform>
where
    Platform: Codec,
{
    /// Returns the same relay for requests that other hosts pass on.
    pub(crate) fn for_hosts(&self) -> Self {
        Self {
            source: Source::Hosts,
            ..self.clone()
        }
    }

    /// Passes on a request that this host cannot send to an endpoint, and that certainly has
    /// not run; declines it if another host passed it on.
    pub(super) async fn divert(&self, job: &Job, history: &mut History) -> Option<Response<Body>> {
        if history.runs > 0 || !(self.is_detached() || history.is_out_of_reach()) {
            return None;
        }
        self.pass_on(job, history).await
    }

    /// Passes on or declines a request before any attempt, if this host reaches no endpoint or
    /// hardly any of the service.
    pub(super) async fn divert_at_once(
        &self,
        job: &Job,
        history: &mut History,
    ) -> Option<Response<Body>> {
        let detours = self.detours.as_ref();
        if !self.is_detached() && !detours?.is_passed_on(&job.service) {
            return None;
        }
        self.pass_on(job, history).await
    }

    /// Records whether a request has reached its service, once an attempt has shown it.
    pub(super) fn record_reach(&self, job: &Job, history: &History, failure: Option<Failure>) {
        let is_reached = match failure {
            Some(Failure::Unreachable | Failure::Unresponsive)
                if history.unreachable == MAX_UNREACHABLE =>
            {
                false
            }
            Some(
                Failure::Unreachable
                | Failure::Unresponsive
                | Failure::Silent
                | Failure::Broken
                | Failure::Outdated
                | Failure::Overdue,
            ) => return,
            Some(_) | None => true,
        };
        if let Some(detours) = &self.detours {
            detours.record(&job.service, is_reached);
        }
    }

    async fn pass_on(&self, job: &Job, history: &mut History) -> Option<Response<Body>> {
        let is_detached = self.is_detached();
        match self.source {
            Source::Hosts if is_detached => Some(self.decline(job, ANY_REQUEST)),
            Source::Hosts => Some(self.decline(job, THIS_REQUEST)),
            Source::Callers if history.was_offered => None,
            Source::Callers => self.offer(job, history).await,
        }
    }

    /// Waits until a request should be passed on, since this host has become detached.
    pub(super) async fn until_diverted(&self, history: &History) {
        let may_divert = match self.source {
            Source::Callers => self.detours.is_some() && !history.was_offered,
            Source::Hosts => true,
        };
        let mut detached = self.detached.clone();
        if may_divert && history.runs == 0 && detached.wait_for(|detached| *detached).await.is_ok()
        {
            return;
        }
        std::future::pending::<()>().await;
    }

    /// Completes the head of an answer to a request that another host passed on.
    pub(super) fn complete_head(&self, sender: &HeaderValue, response: &mut Response<Body>) {
        let is_taken = !response.headers().contains_key(hop::NOT_TAKEN);
        self.metrics.received_from_host(is_taken);
        log::info!(
            host = sender.to_str().unwrap_or("-"), taken = is_taken,
            status = response.status().as_u16();
            "request passed on by another host"
        );
        if let Some(detours) = &self.detours
            && let Ok(host) = HeaderValue::from_str(detours.host().as_str())
        {
            response.headers_mut().insert(hop::ANSWERED_BY, host);
        }
    }

    /// States in a refusal for another host that this host can take no requests now.
    pub(super) fn state_not_taken(&self, refusal: &Refusal, response: &mut Response<Body>) {
        let is_unable = matches!(refusal.kind, Kind::NotReady | Kind::Stopping);
        let is_not_run = matches!(refusal.ran, Ran::No);
        if self.source == Source::Hosts && is_unable && is_not_run {
            response.headers_mut().insert(hop::NOT_TAKEN, ANY_REQUEST);
        }
    }

    /// Names the endpoint that gave a leave notice, so that the host which passed on the
    /// request keeps to it too.
    pub(super) fn name_leaving(
        &self,
        placement: &Placement,
        reply: &http::response::Parts,
        headers: &mut HeaderMap,
    ) {
        let codec = &self.sender.codec;
        if self.source == Source::Hosts
            && codec
                .decode_response_head(reply.status, &reply.headers)
                .is_leaving
            && let Ok(endpoint) = HeaderValue::from_str(placement.endpoint.as_str())
        {
            headers.insert(hop::LEAVING_ENDPOINT, endpoint);
        }
    }

    fn is_detached(&self) -> bool {
        *self.detached.borrow()
    }

    fn decline(&self, job: &Job, scope: HeaderValue) -> Response<Body> {
        let mut response = self.refuse(Some(&job.id), &no_way());
        response.headers_mut().insert(hop::NOT_TAKEN, scope);
        response
    }

    /// Asks other hosts in turn to serve a request. Returns nothing if none took it and this
    /// host may still reach an endpoint itself.
    async fn offer(&self, job: &Job, history: &mut History) -> Option<Response<Body>> {
        let detours = self
            .detours
            .as_ref()
            .filter(|detours| detours.has_peers())?;
        if let Err(refusal) = self.check_quarantine(job) {
            return Some(self.refuse(Some(&job.id), &refusal));
        }
        history.was_offered = true;
        let max_tries = if self.is_detached() {
            MAX_TRIES
        } else {
            MAX_FALLBACK_TRIES
        };
        let mut tried = Vec::new();
        let mut offer = Offer {
            silent: None,
            error: None,
        };
        while tried.len() < max_tries && self.time_left(job) > Duration::ZERO {
            let Some(peer) = detours.choose(&tried) else {
                break;
            };
            tried.push(peer.host.clone());
            let is_last = tried.len() == max_tries || detours.choose(&tried).is_none();
            let share = self.share(job, history, is_last);
            let newest = self.hand_over(job, detours, peer, share, offer.silent.is_some());
            match self.follow(job, detours, history, &mut offer, newest).await {
                Step::Answered(response) => return Some(response),
                Step::Next => {}
                Step::Stop => break,
            }
        }
        if let Some(mut silent) = offer.silent.take() {
            let outcome = silent.end().await;
            history.runs = history.runs.saturating_sub(silent.runs);
            let outcome = (silent.runs, outcome);
            let assessed = self.assess(job, history, &mut offer.error, outcome);
            if let Assessment::Final(response) = assessed {
                return Some(response);
            }
        }
        let is_detached = self.is_detached();
        if !is_detached && history.runs == 0 {
            return None;
        }
        Some(self.give_up(job, history, offer.error, &no_way()))
    }

    /// Follows a request at the host that was asked last, and at a silent one before it.
    async fn follow<Answer>(
        &self,
        job: &Job,
        detours: &Detours,
        history: &mut History,
        offer: &mut Offer<Answer>,
        mut newest: Handover<Answer>,
    ) -> Step
    where
        Answer: Future<Output = Outcome>,
    {
        loop {
            match newest.next_event(offer.silent.as_mut()).await {
                Event::Earlier(outcome) => {
                    let runs = offer.silent.take().map_or(0, |silent| silent.runs);
                    history.runs = history.runs.saturating_sub(runs);
                    let outcome = (runs, outcome);
                    let assessed = self.assess(job, history, &mut offer.error, outcome);
                    if let Assessment::Final(response) = assessed {
                        self.leave(job, newest);
                        return Step::Answered(response);
                    }
                }
                Event::Taken => {
                    if let Some(silent) = offer.silent.take() {
                        self.leave(job, silent);
                    }
                }
                Event::Ended(outcome) => {
                    let outcome = (newest.runs, outcome);
                    let assessed = self.assess(job, history, &mut offer.error, outcome);
                    return match assessed {
                        Assessment::Final(response) => Step::Answered(response),
                        Assessment::NotRun => Step::Next,
                        Assessment::Failed(failure) => self.next_step(job, history, failure),
                    };
                }
                Event::Silent => {
                    record_silence(job, detours, &newest.host);
                    history.runs += newest.runs;
                    if let Some(earlier) = offer.silent.replace(newest) {
                        self.leave(job, earlier);
                    }
                    return self.next_step(job, history, Some(Failure::Silent));
                }
                Event::Unasked => {
                    record_silence(job, detours, &newest.host);
                    self.leave(job, newest);
                    return Step::Next;
                }
            }
        }
    }

    /// Determines whether another host is asked after a failure.
    fn next_step(&self, job: &Job, history: &History, failure: Option<Failure>) -> Step {
        if self.may_retry(job, history, failure) {
            Step::Next
        } else {
            Step::Stop
        }
    }

    /// Ends a request at a host that has not answered.
    fn leave<Answer>(&self, job: &Job, handover: Handover<Answer>) {
        self.metrics.forwarded("left");
        log::info!(
            request:% = job.id, host:% = handover.host;
            "a host that was passed the request is left"
        );
        drop(handover);
    }

    /// Starts to hand a request over to a host. If another host has it, this one has to ask for
    /// its body.
    fn hand_over<'a>(
        &'a self,
        job: &'a Job,
        detours: &'a Detours,
        peer: Peer,
        share: Share,
        is_held: bool,
    ) -> Handover<impl Future<Output = Outcome> + use<'a, Platform>> {
        let (gate, hold) = if is_held {
            let (gate, hold) = held::hold();
            (gate, Some(hold))
        } else {
            (Gate::open(), None)
        };
        let host = peer.host.clone();
        let answer = async move { self.forward(job, detours, &peer, share, hold).await };
        Handover::new(host, share.allowance.runs, share.patience, gate, answer)
    }

    /// Has a request served by another host, and logs the outcome.
    async fn forward(
        &self,
        job: &Job,
        detours: &Detours,
        peer: &Peer,
        share: Share,
        hold: Option<Hold>,
    ) -> Outcome {
        let result = self.exchange(job, detours, peer, share, hold).await;
        let outcome = result
            .as_ref()
            .map_or_else(|failure| failure.as_str(), |_| "answered");
        let status = result
            .as_ref()
            .map_or(0, |response| response.status().as_u16());
        self.metrics.forwarded(outcome);
        log::info!(
            request:% = job.id, host:% = peer.host, runs = share.allowance.runs, outcome, status;
            "request passed on"
        );
        match result {
            Ok(_) => detours.restore(&peer.host),
            // A host that did not take the request has stated whether it takes others.
            Err(Failure::Refused) => {}
            Err(failure) => detours.pass_over(&peer.host, failure.as_str()),
        }
        result
    }

    async fn exchange(
        &self,
        job: &Job,
        detours: &Detours,
        peer: &Peer,
        share: Share,
        hold: Option<Hold>,
    ) -> Outcome {
        let mut connection = dial::connect(peer.address).await.map_err(|error| {
            log::debug!(request:% = job.id, host:% = peer.host, error:%; "cannot connect to the host");
            Failure::Unreachable
        })?;
        let request = self.forwarded_request(job, detours.host(), share);
        let request = match hold {
            Some(hold) => hold.apply(request),
            None => request.map(held::Body::from),
        };
        // A silent host is awaited even if another one is asked meanwhile.
        connection.bound_unacknowledged(false);
        job.bill.record_sent();
        let sent = time::timeout(self.time_left(job), connection.send(request)).await;
        let (head, body) = match sent.map_err(|_| Failure::Silent)? {
            Ok(response) => response.into_parts(),
            Err(mut error) => {
                log::debug!(request:% = job.id, host:% = peer.host, error:% = error.error(); "the host does not answer");
                let was_sent = error.take_message().is_none();
                return Err(if was_sent {
                    Failure::Broken
                } else {
                    job.bill.record_not_run();
                    Failure::Unreachable
                });
            }
        };
        let response = attempt::Response {
            head,
            body,
            connection,
        };
        let headers = &response.head.headers;
        let is_of_host = headers.contains_key(hop::ANSWERED_BY);
        let is_final = status::is_final(response.head.status.as_u16());
        if !is_of_host || !is_final || response.ends_with_connection(&job.method) {
            log::warn!(
                request:% = job.id, host:% = peer.host, status = response.head.status.as_u16();
                "answer is not from a host, has a status that no answer has, or no length"
            );
            return Err(Failure::Foreign);
        }
        if let Some(scope) = headers.get(hop::NOT_TAKEN) {
            if *scope != THIS_REQUEST {
                detours.pass_over(&peer.host, "not taken");
            }
            job.bill.record_not_run();
            return Err(Failure::Refused);
        }
        self.record_charge(job, &response);
        Ok(self.pass_back(job, response))
    }

    /// Records what another host's answer says of the charge of a request: a host that ran it
    /// has charged it, unless this one did.
    fn record_charge(&self, job: &Job, response: &attempt::Response) {
        let Parts {
            status, headers, ..
        } = &response.head;
        let is_of_endpoint = self
            .sender
            .codec
            .decode_response_head(*status, headers)
            .is_signed;
        if refusal::promises_not_run(status.as_u16()) && !is_of_endpoint {
            job.bill.record_not_run();
        } else {
            job.bill.record_served();
        }
    }

    fn forwarded_request(&self, job: &Job, host: &id::Host, share: Share) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = job.headers.clone();
        let headers = request.headers_mut();
        self.sender
            .codec
            .set_time_left(headers, self.time_left(job));
        headers.insert(hop::RUNS, share.allowance.encode());
        if job.bill.is_charged() {
            headers.insert(hop::CHARGED, HeaderValue::from_static("1"));
        }
        // The settings allow only names that can stand in a header.
        if let Ok(host) = HeaderValue::from_str(host.as_str()) {
            headers.insert(hop::FORWARDED_BY, host);
        }
        request
    }

    /// Builds the answer to the caller from another host's answer.
    fn pass_back(&self, job: &Job, response: attempt::Response) -> Response<Body> {
        let mut headers = response.head.headers;
        if let Some(endpoint) = headers.get(hop::LEAVING_ENDPOINT)
            && let Ok(endpoint) = endpoint.to_str()
        {
            log::info!(request:% = job.id, endpoint; "another host says that the endpoint leaves");
            self.dispatch.mark_leaving(id::Endpoint::from(endpoint));
        }
        hop::strip(&mut headers);
        let forwarded = Forwarded::new(
            response.body,
            response.connection,
            self.time_left(job),
            job.id.clone(),
            self.metrics.clone(),
        );
        let mut answer = Response::new(Body::Forwarded(Box::new(forwarded)));
        *answer.status_mut() = response.head.status;
        *answer.headers_mut() = headers;
        answer
    }

    /// Determines what the next host is handed over: a single run while another one may be
    /// needed for a host after it, else all that are left.
    fn share(&self, job: &Job, history: &History, is_last: bool) -> Share {
        let time_left = self.time_left(job);
        let is_repeatable = job.route.kind.is_repeatable();
        let left = if is_repeatable {
            job.allowance.runs.saturating_sub(history.runs).max(1)
        } else {
            1
        };
        if left == 1 || is_last || !self.has_retry(job) {
            return Share {
                allowance: Allowance::all(left),
                patience: None,
            };
        }
        let patience = time_left / PATIENCE_DIVISOR;
        // A host that is left before its answer arrives must not have gone on with the stream.
        let stream_within = patience.saturating_sub(ANSWER_TRANSIT);
        Share {
            allowance: Allowance::single(left, stream_within),
            patience: Some(patience),
        }
    }

    /// Determines what an outcome at a host with `runs` means, and counts them if they are used.
    /// An answer that may be given to the caller in the end is kept as `error`.
    fn assess(
        &self,
        job: &Job,
        history: &mut History,
        error: &mut Option<Response<Body>>,
        (runs, outcome): (u32, Outcome),
    ) -> Assessment {
        let failure = match outcome {
            Ok(response) => match self.judge(job, history, &response) {
                Verdict::Final => return Assessment::Final(response),
                Verdict::NotRun => return Assessment::NotRun,
                Verdict::Failed => {
                    *error = Some(response);
                    None
                }
            },
            Err(failure) if failure.is_not_run() => return Assessment::NotRun,
            Err(failure) => Some(failure),
        };
        history.runs += runs;
        Assessment::Failed(failure)
    }

    /// Determines whether the caller gets another host's answer, or a third host is asked.
    fn judge(&self, job: &Job, history: &History, response: &Response<Body>) -> Verdict {
        let status = response.status();
        let is_error = status.is_server_error();
        let is_not_run = status == StatusCode::SERVICE_UNAVAILABLE;
        let has_time = status != StatusCode::GATEWAY_TIMEOUT;
        if is_error && !is_not_run && has_time && job.route.kind.is_repeatable() {
            return Verdict::Failed;
        }
        let codec = &self.sender.codec;
        let reported = codec.decode_response_head(status, response.headers());
        let is_refusal = !reported.is_signed && (!is_error || is_not_run);
        if is_refusal && history.runs > 0 {
            Verdict::NotRun
        } else {
            Verdict::Final
        }
    }

    fn time_left(&self, job: &Job) -> Duration {
        job.deadline.saturating_sub(self.clock.now())
    }
}

fn no_way() -> Refusal {
    let message = "this host reaches no endpoint; send the request to another host";
    Refusal::not_run(Kind::NoEndpoint, message).after(NOT_READY_RETRY_DELAY)
}

/// Passes a host over that does not answer in time.
fn record_silence(job: &Job, detours: &Detours, host: &id::Host) {
    log::info!(request:% = job.id, host:%; "a host that was passed the request is silent");
    detours.pass_over(host, Failure::Silent.as_str());
}
