//! Relays requests that bear an idempotency key: at most once over all hosts.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use papayayard_coordination::claim::{self, Settlement};
use papayayard_wire::claim::Answer as Outcome;
use papayayard_wire::{id, refusal};

use crate::controllers::claims::{Claimed, Permit};
use crate::exchange::{Admitted, Call};
use crate::refusal::Refusal;
use crate::relay::call::{Relay, no_endpoint, unknown};
use crate::relay::{Answer, Body};

/// Longest wait for a claim, or for the outcome of the key's first request.
const CLAIM_WAIT: Duration = Duration::from_secs(5);
/// Headers of an answer that are kept with its outcome.
const KEPT_HEADERS: [HeaderName; 3] = [header::CONTENT_TYPE, header::ETAG, header::LOCATION];

impl Relay {
    /// Answers a request with an idempotency key.
    pub(super) async fn serve_keyed(
        &self,
        admitted: Admitted<Call>,
        key: &id::Key,
    ) -> Result<Answer, Refusal> {
        let call = &admitted.work;
        let known = &call.whole.known;
        let head = &known.arrival.head;
        let digest = claim::key_digest(&known.account.id, &call.service, key);
        let request = claim::request_digest(head.method.as_str(), &head.path, &call.whole.body);
        let wait = self.clock.now() + CLAIM_WAIT.min(call.timeout);
        let deadline = known.deadline.map_or(wait, |known| known.min(wait));
        match self.claims.claim(digest, request, deadline).await? {
            // Hosts of an older release kept such statuses of requests that had run.
            Claimed::Replay(outcome) if refusal::promises_not_run(outcome.status) => Err(unknown()),
            Claimed::Replay(outcome) => Ok(replayed(outcome)),
            Claimed::Run(permit) => self.run_detached(admitted, permit).await,
        }
    }

    /// Runs the request in a task of its own, so that its outcome is settled
    /// also where the caller goes away.
    async fn run_detached(
        &self,
        admitted: Admitted<Call>,
        permit: Permit,
    ) -> Result<Answer, Refusal> {
        let relay = self.clone();
        let task = tokio::spawn(async move { relay.run(&admitted.work, permit).await });
        task.await.unwrap_or_else(|_| Err(unknown()))
    }

    async fn run(&self, call: &Call, mut permit: Permit) -> Result<Answer, Refusal> {
        let mut excluded = Vec::new();
        loop {
            let Some(endpoint) = self.choose(&call.service, &excluded) else {
                return Err(no_endpoint());
            };
            permit.start();
            match self.send(call, &endpoint).await {
                Ok(answer) => {
                    permit.settle(Settlement::Answered(outcome(&answer)));
                    return Ok(answer);
                }
                Err(failure) if failure.may_have_run() => {
                    permit.settle(Settlement::Unknown);
                    return Err(unknown());
                }
                Err(failure) => {
                    permit.retract();
                    self.metrics.retried(failure.reason());
                    excluded.push(endpoint.id);
                }
            }
        }
    }
}

fn outcome(answer: &Answer) -> Outcome {
    let kept = KEPT_HEADERS.iter().filter_map(|name| {
        let value = answer.headers.get(name)?.to_str().ok()?;
        Some((name.as_str().to_owned(), value.to_owned()))
    });
    Outcome {
        status: answer.status.as_u16(),
        headers: kept.collect(),
        body: match &answer.body {
            Body::Whole(bytes) => Some(bytes.to_vec()),
            Body::Events(_) => None,
        },
    }
}

fn replayed(outcome: Outcome) -> Answer {
    let mut headers = HeaderMap::new();
    for (name, value) in &outcome.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::try_from(value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.insert(name, value);
        }
    }
    Answer {
        status: StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers,
        body: Body::Whole(Bytes::from(outcome.body.unwrap_or_default())),
    }
}
