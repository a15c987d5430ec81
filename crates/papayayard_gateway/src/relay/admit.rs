//! Checks that a request must pass before it is placed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::header;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use papayayard_routing::blame::{Quarantine, Subjects};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_routing::table::{Account, Limits, Table};
use papayayard_wire::refusal::Kind;
use tokio::time;

use super::{NOT_READY_RETRY_DELAY, Relay, Source};
use crate::allowance::Allowance;
use crate::exchange::{Codec, RequestHead};
use crate::hop;
use crate::job::Job;
use crate::quota::Bill;
use crate::refusal::{Refusal, millis};

/// Retry delay sent while this host stops; short, since other hosts serve the request.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Fraction of the revocation bound after which keys are refused if the operators topic
/// was not read; the rest covers the time until the request reaches the endpoint.
const LAST_READ_FRACTION: f64 = 0.86;

impl<Platform> Relay<Platform>
where
    Platform: Codec,
{
    /// Reads a request and resolves its route, client account and service.
    pub(super) async fn admit(
        &self,
        head: http::request::Parts,
        body: Incoming,
        request_head: RequestHead,
        received: Duration,
    ) -> Result<Job, Refusal> {
        let Some(id) = request_head.id else {
            return Err(Refusal::not_run(Kind::BadRequest, "the request has no id"));
        };
        let table = self.table()?;
        let host = head
            .headers
            .get(header::HOST)
            .and_then(|value| value.to_str().ok())
            .or_else(|| head.uri.host())
            .unwrap_or_default();
        let route = table.route(host, head.uri.path()).cloned();
        let route = route.ok_or(Refusal::not_run(Kind::NotFound, "no route for this path"))?;
        let account = if route.public {
            None
        } else {
            self.account(&table, request_head.key.as_deref())?
        };
        let service = route.service(&id).cloned();
        let service = service.ok_or(Refusal::not_run(
            Kind::NoEndpoint,
            "the route sends to no service",
        ))?;
        let timeout = request_head.timeout.unwrap_or(route.timeout);
        let deadline = received + timeout.min(route.timeout);
        self.check_stop(deadline)?;
        let limit = table.limits.body_bytes;
        let body = read_body(body, limit, route.timeout).await?;
        // The host that the caller sent the request to has counted it.
        if self.source == Source::Callers {
            self.lock_budget().record_request(&service, received);
            self.metrics.requested(&route.name);
        }
        let allowance = match self.source {
            Source::Callers => Allowance::all(route.attempts),
            Source::Hosts => Allowance::decode(head.headers.get(hop::RUNS), route.attempts),
        };
        // The host that passed the request on has charged it, or another one that it asked.
        let is_charged = self.source == Source::Hosts && head.headers.contains_key(hop::CHARGED);
        let mut headers = head.headers;
        hop::strip(&mut headers);
        headers.remove(header::EXPECT);
        let uri = origin_form(&head.uri);
        let name = account.as_ref().map(|account| &account.name);
        let method = head.method.as_str();
        let fingerprint = Fingerprint::of_request(name, method, &uri.to_string(), &body);
        let prompt = request_head.prompt.as_ref();
        let isolated = account.as_ref().filter(|account| account.isolated);
        let isolated = isolated.map(|account| &account.name);
        let subjects = Arc::new(Subjects::of(fingerprint, prompt, isolated));
        let limited = account.as_deref().filter(|account| account.quota.is_some());
        if limited.is_some() {
            self.check_quotas()?;
        }
        let bill = match limited.filter(|_| !is_charged) {
            Some(account) => {
                let quota = self.dispatch.quota();
                quota.bill(&id, account, prompt, table.revision)
            }
            None => Bill::default(),
        };
        Ok(Job {
            id,
            method: head.method,
            uri,
            headers,
            body,
            subjects,
            service,
            account,
            bill,
            prompt: request_head.prompt.map(Arc::new),
            position: request_head.position,
            resumes: request_head.resumes,
            software: None,
            target: received + route.target_latency,
            deadline,
            allowance,
            route,
        })
    }

    /// Configured limits on callers' requests and connections.
    pub(crate) fn limits(&self) -> Limits {
        let configuration = self.configuration.borrow();
        let table = configuration.table.as_ref();
        table.map_or_else(Limits::default, |table| table.limits)
    }

    fn table(&self) -> Result<Arc<Table>, Refusal> {
        let table = self.configuration.borrow().table.clone();
        table.ok_or(
            Refusal::not_run(Kind::NotReady, "this host has no configuration yet")
                .after(NOT_READY_RETRY_DELAY),
        )
    }

    fn account(&self, table: &Table, key: Option<&str>) -> Result<Option<Arc<Account>>, Refusal> {
        if !table.accounts.are_required() {
            return Ok(None);
        }
        self.check_last_read()?;
        let account = key.and_then(|key| table.accounts.find(key));
        let account = account.ok_or(Refusal::not_run(
            Kind::Unauthorized,
            "no client account has this key",
        ))?;
        Ok(Some(Arc::clone(account)))
    }

    /// Refuses requests of accounts with a quota while this host can admit none: it must know
    /// how many hosts there are.
    fn check_quotas(&self) -> Result<(), Refusal> {
        if self.dispatch.quota().is_ready() {
            return Ok(());
        }
        let message = "this host does not know its part of the quota yet; try another host";
        Err(Refusal::not_run(Kind::NotReady, message).after(NOT_READY_RETRY_DELAY))
    }

    /// Refuses requests that a stop of this host might cut.
    fn check_stop(&self, deadline: Duration) -> Result<(), Refusal> {
        let shutdown = self.stop.borrow().shutdown;
        let is_accepted = match self.source {
            Source::Callers => {
                shutdown.is_none_or(|shutdown| shutdown.accepts(deadline, self.clock.now()))
            }
            Source::Hosts => shutdown.is_none(),
        };
        if is_accepted {
            return Ok(());
        }
        let message = "this host is stopping; send the request to another host";
        Err(Refusal::not_run(Kind::Stopping, message).after(STOPPING_RETRY_DELAY))
    }

    /// Refuses requests with a key while a revocation of the key may have been missed.
    pub(super) fn check_last_read(&self) -> Result<(), Refusal> {
        let Some(bound) = self.revocation else {
            return Ok(());
        };
        let bound = bound.mul_f64(LAST_READ_FRACTION);
        let is_fresh = self
            .last_read
            .borrow()
            .is_some_and(|last_read| self.clock.now() < last_read + bound);
        if is_fresh {
            return Ok(());
        }
        let message = "this host cannot tell whether the key still holds; try another host";
        Err(Refusal::not_run(Kind::NotReady, message).after(NOT_READY_RETRY_DELAY))
    }

    /// Refuses requests that are quarantined because endpoints crashed while running them, or
    /// others with a part of their prompts.
    pub(crate) fn check_quarantine(&self, job: &Job) -> Result<(), Refusal> {
        let Some(Quarantine { left, part }) = self.crashes.quarantine(&job.subjects) else {
            return Ok(());
        };
        let shown = part.map_or_else(|| "-".to_owned(), |part| part.to_string());
        log::info!(
            request:% = job.id, fingerprint:% = job.subjects.request, part:% = shown,
            left_ms = millis(left);
            "refused as quarantined"
        );
        let message = if part.is_some() {
            "endpoints have ended under a part of this prompt; leave it out, or come back later"
        } else {
            "endpoints have ended under this request; change it, or come back later"
        };
        Err(Refusal::not_run(Kind::Quarantined, message).after(left))
    }
}

async fn read_body(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Refusal> {
    let whole = Limited::new(body, limit).collect().map(|outcome| {
        outcome
            .map(http_body_util::Collected::to_bytes)
            .map_err(|error| {
                if error.is::<http_body_util::LengthLimitError>() {
                    Refusal::not_run(Kind::TooLarge, "the body is too large")
                } else {
                    Refusal::not_run(Kind::BadRequest, "the body is incomplete")
                }
            })
    });
    match time::timeout(time, whole).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Refusal::not_run(
            Kind::SlowRequest,
            "the body took too long; send it faster",
        )),
    }
}

/// Origin form of a URI: path and query only, as in requests to endpoints.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(http::Uri::default, http::Uri::from)
}
