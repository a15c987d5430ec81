//! Relays requests to plain services.
//!
//! A request that is not idempotent is sent at most once: after its first
//! byte may have left, it is never sent again.
//!
//! Services need not repeat the request's id. An answer without it is believed
//! only if it is the first on its connection, which is not used again after it.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use papayayard_wire::header as names;
use papayayard_wire::refusal::{Kind, Ran};
use papayayard_wire::{directory, id, refusal};
use tokio::sync::watch;
use tokio::time;

use crate::clock::Clock;
use crate::controllers::claims;
use crate::exchange::{Admitted, Call};
use crate::metrics::Metrics;
use crate::refusal::Refusal;
use crate::relay::client::{self, Client, Failure, Outgoing};
use crate::relay::{Answer, Body, hop};

/// Most bytes of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// When to come back where no endpoint takes the request.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);
/// Endpoints that one request is sent to at most.
const MAX_ATTEMPTS: usize = 4;

/// What the relay of plain services works with.
#[derive(Clone)]
pub(crate) struct Relay {
    /// HTTP client.
    pub(crate) client: Client,
    /// The platform's list of hosts, none before the first.
    pub(crate) list: watch::Receiver<Option<directory::List>>,
    /// Availability zone of this host.
    pub(crate) zone: id::Zone,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// Claims of idempotency keys.
    pub(crate) claims: claims::Handle,
    /// Clock of the deadlines.
    pub(crate) clock: Clock,
}

impl Relay {
    /// Answers a plain service's request.
    pub(crate) async fn serve(&self, admitted: Admitted<Call>) -> Result<Answer, Refusal> {
        if let Some(key) = admitted.work.key.clone() {
            return self.serve_keyed(admitted, &key).await;
        }
        let call = &admitted.work;
        let mut excluded = Vec::new();
        let mut ran = Ran::No;
        loop {
            let Some(endpoint) = self.choose(&call.service, &excluded) else {
                return Err(no_endpoint().ran(ran));
            };
            let failure = match self.send(call, &endpoint).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if failure.may_have_run() && !call.idempotent {
                return Err(unknown());
            }
            if failure.may_have_run() {
                ran = Ran::Unknown;
            }
            self.metrics.retried(failure.reason());
            excluded.push(endpoint.id);
        }
    }

    /// Any live endpoint of the own zone, or of another where it has none.
    pub(super) fn choose(
        &self,
        service: &id::Service,
        excluded: &[id::Endpoint],
    ) -> Option<directory::Endpoint> {
        if excluded.len() >= MAX_ATTEMPTS {
            return None;
        }
        let list = self.list.borrow();
        let listed = list.iter().flat_map(|list| &list.endpoints);
        let mut live: Vec<&directory::Endpoint> = listed
            .filter(|endpoint| endpoint.service == *service)
            .filter(|endpoint| endpoint.state == directory::State::Live)
            .filter(|endpoint| !excluded.contains(&endpoint.id))
            .collect();
        if live.iter().any(|endpoint| endpoint.zone == self.zone) {
            live.retain(|endpoint| endpoint.zone == self.zone);
        }
        if live.is_empty() {
            return None;
        }
        let index = rand::random_range(0..live.len());
        Some(live[index].clone())
    }

    pub(super) async fn send(
        &self,
        call: &Call,
        endpoint: &directory::Endpoint,
    ) -> Result<Answer, Failure> {
        let arrival = &call.whole.known.arrival;
        let outgoing = Outgoing {
            address: endpoint.address,
            method: arrival.head.method.clone(),
            path: &arrival.head.path,
            headers: headers(&arrival.head.headers, &arrival.id),
            body: call.whole.body.clone(),
        };
        let response = self.client.send(outgoing, call.timeout).await?;
        let answer_id = response.headers().get(names::REQUEST_ID);
        let own = answer_id.map(|value| value.as_bytes() == arrival.id.as_str().as_bytes());
        match (is_refusal(&response), own) {
            (_, Some(false)) | (true, None) => return Err(client::reject(&response)),
            (true, Some(true)) => {
                client::retire(&response);
                return Err(Failure::Refused);
            }
            (false, None) if !client::is_first(&response) => {
                return Err(client::reject(&response));
            }
            (false, None) => client::retire(&response),
            (false, Some(true)) => {}
        }
        if refusal::promises_not_run(response.status().as_u16()) {
            return Err(Failure::Unconfirmed);
        }
        time::timeout(call.timeout, collect(response))
            .await
            .unwrap_or(Err(Failure::TimedOut))
    }
}

/// Whether the endpoint's contract says that the request was not run.
fn is_refusal(response: &Response<Incoming>) -> bool {
    let ran = response.headers().get(names::RAN);
    !response.status().is_success() && ran.is_some_and(|ran| ran == "no")
}

async fn collect(response: Response<Incoming>) -> Result<Answer, Failure> {
    let (head, body) = response.into_parts();
    let body: Bytes = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|_| Failure::Broken)?
        .to_bytes();
    let mut headers = head.headers;
    hop::strip(&mut headers);
    Ok(Answer {
        status: head.status,
        headers,
        body: Body::Whole(body),
    })
}

fn headers(original: &HeaderMap, request: &id::Request) -> HeaderMap {
    let mut headers = original.clone();
    hop::strip(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    hop::set(&mut headers, names::REQUEST_ID, request.as_str());
    headers
}

pub(super) fn no_endpoint() -> Refusal {
    Refusal::not_run(
        Kind::NoEndpoint,
        "no endpoint of the service can be reached now; come back later",
    )
    .after(NO_ENDPOINT_RETRY)
}

pub(super) fn unknown() -> Refusal {
    Refusal::not_run(
        Kind::OutcomeUnknown,
        "the answer was lost and the request may have run; check before sending it again",
    )
    .ran(Ran::Unknown)
}
