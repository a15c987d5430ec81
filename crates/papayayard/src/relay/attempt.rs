//! One attempt at a completion: an endpoint is chosen and asked.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use papayayard_wire::completion::Continuation;
use papayayard_wire::header as names;
use papayayard_wire::{endpoint, id, refusal};
use serde_json::value::RawValue;
use tokio::time;

use crate::controllers::fleet;
use crate::exchange::Completion;
use crate::relay::client::{self, Client, Failure, Outgoing};
use crate::relay::hop;

/// Longest wait for the head of an answer.
pub(crate) const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for a sign of life.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How an endpoint answered.
pub(crate) enum Reply {
    /// The answer has begun.
    Begun(Response<Incoming>),
    /// The endpoint refused the request and did not run it.
    Refused,
    /// The request is at fault; every endpoint would say so.
    Rejected(Response<Incoming>),
    /// There is no answer.
    Failed(Failure),
}

/// Asks an endpoint for a completion.
pub(crate) async fn ask(
    client: &Client,
    completion: &Completion,
    place: &fleet::Place,
    continuation: Option<&Continuation>,
) -> Reply {
    let head = &completion.whole.known.arrival.head;
    let outgoing = Outgoing {
        address: place.address,
        method: Method::POST,
        path: &head.path,
        headers: headers(completion),
        body: body(completion, continuation),
    };
    let sent = client.send(outgoing, HEAD_TIMEOUT);
    match place.lost.run_until_cancelled(sent).await {
        Some(Ok(response)) => classify(completion, place, response),
        Some(Err(failure)) => Reply::Failed(failure),
        None => Reply::Failed(Failure::Lost),
    }
}

fn classify(completion: &Completion, place: &fleet::Place, response: Response<Incoming>) -> Reply {
    let status = response.status();
    let id = completion.whole.known.arrival.id.as_str();
    if text(response.headers(), names::REQUEST_ID) != Some(id) {
        return Reply::Failed(client::reject(&response));
    }
    if status.is_success() {
        let incarnation = text(response.headers(), names::INCARNATION);
        let run = incarnation.and_then(|number| number.parse().ok());
        let same_run = run.is_some_and(|number| place.matches(id::Incarnation(number)));
        if same_run {
            return Reply::Begun(response);
        }
        return Reply::Failed(Failure::Mismatched);
    }
    let promises_not_run = refusal::promises_not_run(status.as_u16());
    if status.is_client_error() && !promises_not_run {
        return Reply::Rejected(response);
    }
    if text(response.headers(), names::RAN) == Some("no") {
        client::retire(&response);
        return Reply::Refused;
    }
    if promises_not_run {
        return Reply::Failed(Failure::Unconfirmed);
    }
    Reply::Failed(Failure::Broken)
}

/// Whether the run that a request was sent to still answers.
pub(crate) async fn alive(client: &Client, place: &fleet::Place) -> bool {
    let outgoing = Outgoing {
        address: place.address,
        method: Method::GET,
        path: "/report",
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let probe = async {
        let response = client.send(outgoing, PROBE_TIMEOUT).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice::<endpoint::Report>(&body).ok()
    };
    let report = time::timeout(PROBE_TIMEOUT, probe).await;
    report
        .ok()
        .flatten()
        .is_some_and(|report| place.matches(report.incarnation))
}

fn headers(completion: &Completion) -> HeaderMap {
    let known = &completion.whole.known;
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    hop::set(&mut headers, names::REQUEST_ID, known.arrival.id.as_str());
    let salt = format!("{:016x}", completion.salt.0);
    hop::set(&mut headers, names::CACHE_SALT, &salt);
    let block_bytes = completion.block_bytes.to_string();
    hop::set(&mut headers, names::BLOCK_SIZE, &block_bytes);
    hop::set(
        &mut headers,
        names::WEIGHTS_VERSION,
        completion.version.as_str(),
    );
    let priority = known.account.priority.to_string();
    hop::set(&mut headers, names::PRIORITY, &priority);
    headers
}

/// The caller's body, with the continuation added; all other fields stay as
/// the caller wrote them.
fn body(completion: &Completion, continuation: Option<&Continuation>) -> Bytes {
    let original = &completion.whole.body;
    let Some(continuation) = continuation else {
        return original.clone();
    };
    let Ok(mut fields) = serde_json::from_slice::<BTreeMap<String, &RawValue>>(original) else {
        return original.clone();
    };
    let Ok(value) = serde_json::value::to_raw_value(continuation) else {
        return original.clone();
    };
    fields.insert("continuation".to_owned(), &value);
    serde_json::to_vec(&fields).map_or_else(|_| original.clone(), Bytes::from)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
