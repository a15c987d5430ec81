//! Relays completions, and asks another endpoint where one fails.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use papayayard_routing::retry;
use papayayard_wire::completion::{Answer as Whole, Usage};
use papayayard_wire::refusal::Kind;
use tokio::time;

use crate::controllers::fleet;
use crate::exchange::{Admitted, Completion};
use crate::metrics::Metrics;
use crate::refusal::Refusal;
use crate::relay::attempt::{self, Reply};
use crate::relay::client::{Client, Failure};
use crate::relay::pump::Pump;
use crate::relay::{Answer, Body};

/// Most bytes of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Longest wait for an answer that is not streamed.
const WHOLE_TIMEOUT: Duration = Duration::from_mins(5);
/// When to come back after an endpoint failed.
const FAILED_RETRY: Duration = Duration::from_secs(1);

/// What the relay of completions works with.
#[derive(Clone)]
pub(crate) struct Relay {
    /// HTTP client.
    pub(crate) client: Client,
    /// Chooses endpoints.
    pub(crate) fleet: fleet::Handle,
    /// Counters.
    pub(crate) metrics: Metrics,
}

impl Relay {
    /// Answers a completion.
    pub(crate) async fn serve(&self, admitted: Admitted<Completion>) -> Result<Answer, Refusal> {
        let completion = &admitted.work;
        let mut query = fleet::Query::new(completion);
        loop {
            let dispatch = self.fleet.choose(&query).await?;
            match attempt::ask(&self.client, completion, dispatch.place(), None).await {
                Reply::Begun(response) if completion.stream => {
                    return Ok(self.stream(admitted, query, dispatch, response));
                }
                Reply::Begun(response) => match whole(dispatch.place(), response).await {
                    Ok((body, usage)) => {
                        self.metrics.answered(&usage);
                        dispatch.settle(fleet::Outcome::Finished);
                        return Ok(json(body));
                    }
                    Err(failure) => self.failed(&mut query, dispatch, failure).await?,
                },
                Reply::Rejected(response) => {
                    dispatch.settle(fleet::Outcome::Refused);
                    return rejected(response).await;
                }
                Reply::Refused => self.refused(&mut query, dispatch).await?,
                Reply::Failed(failure) => self.failed(&mut query, dispatch, failure).await?,
            }
        }
    }

    fn stream(
        &self,
        admitted: Admitted<Completion>,
        query: fleet::Query,
        dispatch: fleet::Dispatch,
        response: Response<Incoming>,
    ) -> Answer {
        let pump = Pump::new(self.clone(), admitted, query, dispatch, response);
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        Answer {
            status: StatusCode::OK,
            headers,
            body: Body::Events(Box::new(pump)),
        }
    }

    /// Settles an attempt that the endpoint refused without running it.
    pub(crate) async fn refused(
        &self,
        query: &mut fleet::Query,
        dispatch: fleet::Dispatch,
    ) -> Result<(), Refusal> {
        let leave = dispatch.fail(fleet::Outcome::Refused, query).await;
        self.retry(query, leave, retry::Reason::Refused)
    }

    /// Settles a failed attempt; refuses the request where no other may follow.
    pub(crate) async fn failed(
        &self,
        query: &mut fleet::Query,
        dispatch: fleet::Dispatch,
        failure: Failure,
    ) -> Result<(), Refusal> {
        let outcome = match failure {
            Failure::Unreachable => fleet::Outcome::Unreachable,
            Failure::Refused => fleet::Outcome::Refused,
            Failure::Mismatched | Failure::Unconfirmed => fleet::Outcome::Broken,
            Failure::TimedOut => fleet::Outcome::Stalled,
            Failure::Broken | Failure::Lost => {
                if attempt::alive(&self.client, dispatch.place()).await {
                    fleet::Outcome::Broken
                } else {
                    fleet::Outcome::Died
                }
            }
        };
        let leave = dispatch.fail(outcome, query).await;
        self.retry(query, leave, failure.reason())
    }

    fn retry(
        &self,
        query: &fleet::Query,
        leave: Result<(), retry::Denial>,
        reason: retry::Reason,
    ) -> Result<(), Refusal> {
        match leave {
            Ok(()) => {
                self.metrics.retried(reason);
                Ok(())
            }
            Err(denial) => {
                self.metrics.denied(denial);
                Err(query.refusal(
                    Kind::EndpointFailed,
                    "the endpoint failed and no further retry is allowed; come back later",
                    FAILED_RETRY,
                ))
            }
        }
    }
}

async fn whole(
    place: &fleet::Place,
    response: Response<Incoming>,
) -> Result<(Bytes, Usage), Failure> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
    let body = time::timeout(WHOLE_TIMEOUT, place.lost.run_until_cancelled(body));
    let body = body
        .await
        .map_err(|_| Failure::TimedOut)?
        .ok_or(Failure::Lost)?
        .map_err(|_| Failure::Broken)?
        .to_bytes();
    let answer: Whole<'_> = serde_json::from_slice(&body).map_err(|_| Failure::Broken)?;
    let usage = answer.usage;
    Ok((body, usage))
}

async fn rejected(response: Response<Incoming>) -> Result<Answer, Refusal> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let text = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let message = String::from_utf8_lossy(&text);
    Err(Refusal::not_run(
        Kind::BadRequest,
        format!("the endpoint rejected the request with status {status}: {message}"),
    ))
}

fn json(body: Bytes) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    Answer {
        status: StatusCode::OK,
        headers,
        body: Body::Whole(body),
    }
}
