//! Sends a request to one endpoint and checks the head of its response.
//!
//! Failures are classified by whether the request may have run: a request that was not
//! sent, or that the endpoint refused in a response of its own, did not run. After any other
//! failure it may have run.
//!
//! All responses of endpoints pass here on their way to callers. To a caller some statuses
//! promise that the request did not run; of an endpoint they say so only with its statement.
//! A response with such a status and no statement is a failure after which the request may
//! have run, and is never forwarded. The same holds for a status that no answer has, whatever the
//! response states.
//!
//! A stream goes on only at the version of the software that began it, and what a host knows of
//! an endpoint may be out of date. A connection belongs to one run of its endpoint; so the
//! endpoint is asked for its run over the same connection before a stream goes on there.
//!
//! A request must begin before its endpoint's weights may no longer be used. It can wait at the
//! endpoint, and the first event of a stream shows that it has begun; a stream that has not by
//! then is given up. Other answers do not show when they began, so they are awaited.
//!
//! A connection transmits requests one at a time until an endpoint refuses one, with or without
//! that statement. Endpoints may send a response twice; a request may come to the same address
//! again, from its caller or under another name of the endpoint, and a copy of its refusal would
//! look like its response. Such a connection is therefore not reused.

use std::error::Error;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use papayayard_routing::placement::{Outcome, Placement};
use papayayard_wire::{refusal, status};

use crate::backoff::Backoffs;
use crate::call::{self, Bounds};
use crate::clock::Clock;
use crate::dial::{self, Connection};
use crate::dispatch::Permit;
use crate::exchange::{Codec, Forwarding, ResponseHead};
use crate::framing;
use crate::job::Job;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::refusal::millis;
use crate::runs;
use crate::uplink;

/// Bounds of an answer that names the run of an endpoint.
const RUN_BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(400),
    bytes: call::MAX_REPORT_BYTES,
};

/// A response whose head was received.
pub(crate) struct Response {
    pub(crate) head: Parts,
    /// Unread body.
    pub(crate) body: Incoming,
    /// Connection that transmits the body.
    pub(crate) connection: Connection,
}

impl Response {
    /// Whether the length of the body is stated.
    pub(crate) fn has_length(&self) -> bool {
        self.head.headers.contains_key(header::CONTENT_LENGTH)
    }

    /// Whether the body has neither a length nor chunks, so that a crash looks like its end.
    pub(crate) fn ends_with_connection(&self, method: &Method) -> bool {
        let Parts {
            status, headers, ..
        } = &self.head;
        !has_no_body(method) && framing::ends_with_connection(*status, headers)
    }
}

/// Why an endpoint returned no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection could be established.
    Unreachable,
    /// The endpoint accepted no connection in time, or did not answer the question for its run;
    /// it may be silent for a moment.
    Unresponsive,
    /// The endpoint reported that it did not run the request.
    Refused,
    /// A different endpoint uses the address, or the endpoint has other weights.
    Mismatched,
    /// The endpoint is not known to run the software that the request needs; nothing was sent.
    Restarted,
    /// The connection closed before the response was complete.
    Broken,
    /// The response belongs to another request, is not from an endpoint, or answers none.
    Foreign,
    /// The status means that the request did not run, but the endpoint does not state it.
    Unconfirmed,
    /// The response is too long, or its memory was needed for others.
    Oversized,
    /// The endpoint acknowledged nothing, or sent no response, in time.
    Silent,
    /// The endpoint's weights may no longer be used; nothing was sent.
    Outdated,
    /// The stream has not begun before the endpoint's weights may no longer be used.
    Overdue,
}

impl Failure {
    /// Label in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable | Self::Unresponsive => "unreachable",
            Self::Refused => "refused",
            Self::Mismatched => "mismatched",
            Self::Restarted => "restarted",
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::Unconfirmed => "unconfirmed",
            Self::Oversized => "oversized",
            Self::Silent => "silent",
            Self::Outdated => "outdated",
            Self::Overdue => "overdue",
        }
    }

    /// Whether the request is certain not to have run.
    pub(crate) const fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable
                | Self::Unresponsive
                | Self::Refused
                | Self::Mismatched
                | Self::Restarted
                | Self::Outdated
        )
    }

    /// Whether the endpoint could not be reached.
    pub(crate) const fn is_unreachable(self) -> bool {
        matches!(self, Self::Unreachable | Self::Unresponsive)
    }

    /// Outcome that is reported to the scheduler.
    pub(crate) const fn outcome(self) -> Outcome {
        match self {
            Self::Unreachable | Self::Unresponsive => Outcome::Unreachable,
            Self::Refused => Outcome::Refused,
            Self::Mismatched => Outcome::Mismatched,
            Self::Restarted | Self::Outdated | Self::Overdue => Outcome::Abandoned,
            Self::Broken | Self::Foreign | Self::Unconfirmed | Self::Oversized | Self::Silent => {
                Outcome::Failed
            }
        }
    }
}

/// What an endpoint has answered to the question for its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunReport {
    Named,
    /// It names no run.
    Unnamed,
    /// The connection is lost.
    Lost,
}

/// A connection over which a request may be sent.
pub(crate) struct Way {
    connection: Connection,
    is_pooled: bool,
}

/// How a request is sent to an endpoint.
pub(crate) struct Delivery<'a> {
    pub(crate) destination: (&'a Placement, &'a Permit),
    /// Last event that the caller received.
    pub(crate) position: Option<u64>,
    /// Way on which the endpoint has shown that it is ready.
    pub(crate) way: Option<Way>,
    /// Whether the request may be sent elsewhere if the endpoint does not answer.
    pub(crate) may_repeat: bool,
}

/// Sends requests to endpoints.
#[derive(Clone)]
pub(crate) struct Sender<Platform> {
    /// Translates headers of the platform.
    pub(crate) codec: Platform,
    /// Idle connections for reuse.
    pub(crate) pool: Pool,
    /// Backoffs requested by endpoints.
    pub(crate) backoffs: Backoffs,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    /// Learns which endpoints this host reaches.
    pub(crate) uplink: uplink::Handle,
    /// Learns which endpoints run the software that is listed.
    pub(crate) runs: runs::Tracker,
}

impl<Platform> Sender<Platform>
where
    Platform: Codec,
{
    /// Opens a way to an endpoint on which it shows by an answer that it is ready to take a
    /// request.
    pub(crate) async fn prepare(
        &self,
        job: &Job,
        destination: (&Placement, &Permit),
    ) -> Result<Way, Failure> {
        self.open(job, destination, None, true).await
    }

    /// Opens a way to an endpoint, over a pooled connection if there is one. If it must answer,
    /// it is asked for its run.
    async fn open(
        &self,
        job: &Job,
        (placement, permit): (&Placement, &Permit),
        mut pooled: Option<Connection>,
        must_answer: bool,
    ) -> Result<Way, Failure> {
        loop {
            let is_pooled = pooled.is_some();
            let mut connection = match pooled.take() {
                Some(connection) => connection,
                None => self.connect(job, placement).await?,
            };
            if must_answer {
                permit.record_question();
                let report = self.ask_run(placement, &mut connection).await;
                if is_pooled && report != RunReport::Named {
                    // The endpoint had closed the connection, or sent a late answer.
                    continue;
                }
                if report == RunReport::Lost {
                    let past = connection.past();
                    self.uplink.record_silent(&placement.endpoint, past);
                    return Err(Failure::Unresponsive);
                }
            }
            if job.software.is_some() && self.runs.software(&placement.endpoint) != job.software {
                return Err(Failure::Restarted);
            }
            return Ok(Way {
                connection,
                is_pooled,
            });
        }
    }

    /// Sends a request and waits for the head of the response, until the endpoint is given up.
    pub(crate) async fn send<GivenUp>(
        &self,
        job: &Job,
        delivery: Delivery<'_>,
        given_up: GivenUp,
    ) -> Result<Response, Failure>
    where
        GivenUp: Future<Output = ()>,
    {
        let Delivery {
            destination: (placement, permit),
            position,
            mut way,
            may_repeat,
        } = delivery;
        tokio::pin!(given_up);
        let runs_once = !job.route.kind.is_repeatable();
        let mut pooled = match way {
            Some(_) => None,
            None => self.pool.take(placement.address, runs_once),
        };
        loop {
            let Way {
                mut connection,
                is_pooled,
            } = if let Some(way) = way.take() {
                way
            } else {
                let must_answer = job.software.is_some();
                self.open(job, (placement, permit), pooled.take(), must_answer)
                    .await?
            };
            if permit.is_outdated() {
                return Err(Failure::Outdated);
            }
            let request = self.request(job, placement, position);
            connection.bound_unacknowledged(may_repeat);
            let past = connection.past();
            job.bill.record_sent();
            let sent = tokio::select! {
                biased;
                sent = connection.send(request) => sent,
                () = permit.until_outdated(), if job.route.kind.is_stream() => {
                    return Err(Failure::Overdue);
                }
                () = &mut given_up => {
                    self.uplink.record_silent(&placement.endpoint, past);
                    self.pool.forget(placement.address);
                    return Err(Failure::Silent);
                }
            };
            match sent {
                Err(mut error) => match error.take_message() {
                    // The endpoint had closed the pooled connection; the request was not sent.
                    Some(_) if is_pooled => job.bill.record_not_run(),
                    Some(_) => {
                        job.bill.record_not_run();
                        self.uplink.record_silent(&placement.endpoint, past);
                        return Err(Failure::Unreachable);
                    }
                    None => {
                        self.uplink.record_silent(&placement.endpoint, past);
                        self.pool.forget(placement.address);
                        return Err(failure_of(error.error()));
                    }
                },
                Ok(response) => {
                    self.uplink.record_answer(&placement.endpoint, past);
                    let (head, body) = response.into_parts();
                    let response = Response {
                        head,
                        body,
                        connection,
                    };
                    let checked = self.check(job, (placement, permit), response);
                    if checked.as_ref().is_err_and(|failure| failure.is_not_run()) {
                        job.bill.record_not_run();
                    }
                    return checked;
                }
            }
        }
    }

    /// Asks an endpoint over a new connection which run it is.
    pub(crate) async fn check_run(&self, placement: &Placement) {
        match dial::connect(placement.address).await {
            Ok(mut connection) => {
                self.ask_run(placement, &mut connection).await;
            }
            Err(error) => {
                log::debug!(address:% = placement.address, error:%; "cannot ask the endpoint for its run");
            }
        }
    }

    /// Asks an endpoint over a connection which run it is.
    async fn ask_run(&self, placement: &Placement, connection: &mut Connection) -> RunReport {
        let called_at = self.clock.now();
        let request = self.codec.report();
        let address = placement.address;
        let Ok(reply) = call::over(connection, address, request, RUN_BOUNDS).await else {
            return RunReport::Lost;
        };
        let report = self.codec.decode_report(&reply);
        let Some(started) = report.and_then(|report| report.started) else {
            return RunReport::Unnamed;
        };
        self.runs.name(&placement.endpoint, started, called_at);
        RunReport::Named
    }

    async fn connect(&self, job: &Job, placement: &Placement) -> Result<Connection, Failure> {
        dial::connect(placement.address).await.map_err(|error| {
            log::debug!(request:% = job.id, address:% = placement.address, error:%; "cannot connect to the endpoint");
            self.uplink.record_unreachable(&placement.endpoint);
            if error.kind() == io::ErrorKind::ConnectionRefused {
                self.runs.lost(&placement.endpoint);
            }
            self.pool.forget(placement.address);
            if error.kind() == io::ErrorKind::TimedOut {
                Failure::Unresponsive
            } else {
                Failure::Unreachable
            }
        })
    }

    fn request(
        &self,
        job: &Job,
        placement: &Placement,
        position: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = job.headers.clone();
        let now = self.clock.now();
        let forwarding = Forwarding {
            endpoint: &placement.endpoint,
            time_left: job.deadline.saturating_sub(now),
            account: job.account.as_ref().map(|account| &account.name),
            priority: job.priority(),
            version: placement.version,
            salt: placement.salt.as_ref(),
            fetch: placement.fetch,
            save: placement.save,
            position,
        };
        self.codec.forward(request.headers_mut(), &forwarding);
        request
    }

    /// Checks the head of a response.
    fn check(
        &self,
        job: &Job,
        (placement, permit): (&Placement, &Permit),
        response: Response,
    ) -> Result<Response, Failure> {
        check_status(job, placement, response.head.status)?;
        let reported = self
            .codec
            .decode_response_head(response.head.status, &response.head.headers);
        let matches_request = reported.request.as_ref() == Some(&job.id);
        // After another answer on its connection, also to a question of this host, an unnamed
        // response may belong to an earlier request.
        let is_first = response.connection.past().answers == 1;
        let is_own = matches_request || is_first && reported.request.is_none();
        if !is_from_other(&reported, placement) {
            apply_leave_notice(job, (placement, permit), &reported);
            if is_own {
                self.apply_bounds(job, (placement, permit), &reported);
            }
        }
        if reported.not_run && is_own {
            let failure = not_run(&reported, placement, response.head.status);
            log::info!(
                request:% = job.id, endpoint:% = placement.endpoint,
                status = response.head.status.as_u16(), named = matches_request,
                answers_before = response.connection.past().answers.saturating_sub(1);
                "the endpoint refused the request"
            );
            // The endpoint may send the refusal again. On this connection, a copy could not be
            // told from the answer to the same request, so the connection is closed.
            return Err(failure);
        }
        let is_unencoded = !response.head.headers.contains_key(header::CONTENT_ENCODING);
        if matches_request && reported.is_signed && is_unencoded {
            if refusal::promises_not_run(response.head.status.as_u16()) {
                log::warn!(
                    request:% = job.id, endpoint:% = placement.endpoint,
                    status = response.head.status.as_u16();
                    "endpoint does not state that the request did not run, as its status means"
                );
                return Err(Failure::Unconfirmed);
            }
            // Refusals and late copies of other answers do not show that a limit has ended.
            if response.head.status.is_success() {
                clear_limits((placement, permit), &reported);
            }
            return Ok(response);
        }
        log::warn!(
            request:% = job.id, endpoint:% = placement.endpoint,
            status = response.head.status.as_u16(), refusal = reported.not_run,
            own = matches_request, signed = reported.is_signed;
            "response is from another source or belongs to another request"
        );
        Err(Failure::Foreign)
    }

    /// Applies the backoff and the limits that an endpoint names in its response to this
    /// request.
    fn apply_bounds(
        &self,
        job: &Job,
        (placement, permit): (&Placement, &Permit),
        reported: &ResponseHead,
    ) {
        if let Some(time) = reported.backoff {
            log::info!(
                request:% = job.id, endpoint:% = placement.endpoint, quiet_ms = millis(time);
                "the endpoint wants no requests for a time"
            );
            permit.set_backoff(time);
            let until = self.clock.now().saturating_add(time);
            self.backoffs.set(placement.address, until);
        }
        match reported.limit {
            Ok(None) => {}
            Ok(Some(limit)) => {
                log::info!(
                    request:% = job.id, endpoint:% = placement.endpoint, per_second = limit.per_second();
                    "the endpoint limits requests"
                );
                self.metrics.limit_named();
                permit.set_limit(limit);
            }
            Err(ref error) => {
                log::warn!(request:% = job.id, endpoint:% = placement.endpoint, error:%; "limit ignored");
            }
        }
        match reported.refusal_limit {
            Ok(None) => {}
            Ok(Some(limit)) => {
                self.metrics.refusal_limit_named();
                permit.set_refusal_limit(limit);
            }
            Err(ref error) => {
                log::warn!(request:% = job.id, endpoint:% = placement.endpoint, error:%; "limit on refusals ignored");
            }
        }
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn keep(&self, placement: &Placement, connection: Connection, headers: &HeaderMap) {
        self.pool.put(placement.address, connection, headers);
    }
}

/// What a connection that ended before the response says of its endpoint. One that acknowledges
/// nothing is silent.
fn failure_of(error: &hyper::Error) -> Failure {
    let source = error.source().and_then(|source| source.downcast_ref());
    if source.is_some_and(|source: &io::Error| source.kind() == io::ErrorKind::TimedOut) {
        Failure::Silent
    } else {
        Failure::Broken
    }
}

/// Returns an error if no answer has the status.
fn check_status(job: &Job, placement: &Placement, status: StatusCode) -> Result<(), Failure> {
    if status::is_final(status.as_u16()) {
        return Ok(());
    }
    log::warn!(
        request:% = job.id, endpoint:% = placement.endpoint, status = status.as_u16();
        "response has a status that no answer has"
    );
    Err(Failure::Foreign)
}

/// Applies the leave notice that an endpoint gives in any of its responses.
fn apply_leave_notice(
    job: &Job,
    (placement, permit): (&Placement, &Permit),
    reported: &ResponseHead,
) {
    if reported.is_leaving {
        log::info!(request:% = job.id, endpoint:% = placement.endpoint; "the endpoint says that it leaves");
        permit.mark_leaving();
    }
}

/// Ends the limits that an endpoint does not name in a successful response.
fn clear_limits((placement, permit): (&Placement, &Permit), reported: &ResponseHead) {
    if reported.limit == Ok(None) {
        permit.clear_limit(&placement.endpoint);
    }
    if reported.refusal_limit == Ok(None) {
        permit.clear_refusal_limit(&placement.endpoint);
    }
}

/// Whether a different endpoint at the same address responded.
fn is_from_other(reported: &ResponseHead, placement: &Placement) -> bool {
    let endpoint = reported.endpoint.as_ref();
    endpoint.is_some_and(|endpoint| *endpoint != placement.endpoint)
}

fn not_run(reported: &ResponseHead, placement: &Placement, status: StatusCode) -> Failure {
    if is_from_other(reported, placement) || status == StatusCode::MISDIRECTED_REQUEST {
        Failure::Mismatched
    } else {
        Failure::Refused
    }
}

/// Whether a response to this method never has a body, even with a `Content-Length`.
pub(crate) fn has_no_body(method: &Method) -> bool {
    *method == Method::HEAD
}
