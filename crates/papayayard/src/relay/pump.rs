//! Moves a stream's events from endpoints to the caller.
//!
//! The caller's connection pulls the events, so a slow caller holds the
//! endpoint back, and a caller that goes away drops the pump, which closes the
//! connection to the endpoint. Where an endpoint fails, another one continues
//! from what the caller has.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use crate::controllers::fleet;
use crate::exchange::{Admitted, Completion};
use crate::refusal::Refusal;
use crate::relay::attempt::{self, Reply};
use crate::relay::client::Failure;
use crate::relay::completion::Relay;
use crate::relay::sse::{self, Joiner};
use crate::relay::transcript::{Step, Transcript};

/// Longest wait for the next event of a stream.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Event that ends a stream whose last chunk has passed.
const END_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Moves one stream.
pub(crate) struct Pump {
    relay: Relay,
    admitted: Admitted<Completion>,
    query: fleet::Query,
    transcript: Transcript,
    joiner: Joiner,
    source: Option<Source>,
    has_begun: bool,
}

/// An endpoint's answer.
struct Source {
    dispatch: fleet::Dispatch,
    body: Incoming,
    failure: Option<Failure>,
}

impl Source {
    fn new(dispatch: fleet::Dispatch, response: Response<Incoming>) -> Self {
        Self {
            dispatch,
            body: response.into_body(),
            failure: None,
        }
    }

    /// Waits for the next frame.
    async fn frame(&mut self) -> Result<Bytes, Failure> {
        if let Some(failure) = self.failure {
            return Err(failure);
        }
        loop {
            let frame = tokio::select! {
                biased;
                frame = time::timeout(STALL_TIMEOUT, self.body.frame()) => frame,
                () = self.dispatch.place().lost.cancelled() => return Err(Failure::Lost),
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(data);
                    }
                }
                Ok(Some(Err(_)) | None) => return Err(Failure::Broken),
                Err(_) => return Err(Failure::TimedOut),
            }
        }
    }
}

/// Events that fit the stream.
struct Fit {
    bytes: Bytes,
    is_end: bool,
    failure: Option<Failure>,
}

impl Pump {
    /// Makes a pump for an answer that has begun.
    pub(crate) fn new(
        relay: Relay,
        admitted: Admitted<Completion>,
        query: fleet::Query,
        dispatch: fleet::Dispatch,
        response: Response<Incoming>,
    ) -> Self {
        let transcript = Transcript::new(admitted.work.whole.known.arrival.id.as_str());
        Self {
            relay,
            admitted,
            query,
            transcript,
            joiner: Joiner::default(),
            source: Some(Source::new(dispatch, response)),
            has_begun: false,
        }
    }

    /// The next events for the caller; `None` after the last.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        loop {
            let source = self.source.as_mut()?;
            let failure = match source.frame().await {
                Ok(frame) => match self.check(frame) {
                    Some(fit) if fit.bytes.is_empty() && fit.failure.is_none() => continue,
                    Some(fit) => {
                        if let Some(bytes) = self.pass(fit) {
                            return Some(bytes);
                        }
                        continue;
                    }
                    None => Failure::Broken,
                },
                Err(failure) => failure,
            };
            if let Some(last) = self.recover(failure).await {
                return Some(last);
            }
        }
    }

    /// Checks a frame's events against the transcript.
    fn check(&mut self, frame: Bytes) -> Option<Fit> {
        let mut whole = self.joiner.push(frame).ok()?;
        let mut fit = Fit {
            bytes: Bytes::new(),
            is_end: false,
            failure: None,
        };
        let mut length = 0;
        for event in sse::events(&whole) {
            match self.transcript.take(event) {
                Ok(step) => {
                    length += event.len();
                    fit.is_end = step == Step::End;
                }
                Err(mismatch) => {
                    let known = &self.admitted.work.whole.known;
                    log::warn!(
                        request:% = known.arrival.id;
                        "an event does not fit the stream: {mismatch:?}"
                    );
                    fit.failure = Some(Failure::Mismatched);
                    break;
                }
            }
        }
        fit.bytes = whole.split_to(length);
        Some(fit)
    }

    /// Takes down what the events mean; answers those that the caller gets.
    fn pass(&mut self, fit: Fit) -> Option<Bytes> {
        if let Some(source) = &mut self.source {
            source.failure = fit.failure;
        }
        if fit.bytes.is_empty() {
            return None;
        }
        if !self.has_begun {
            self.has_begun = true;
            self.query.begun();
            let received = self.admitted.work.whole.known.arrival.received;
            self.relay.metrics.first_token(received);
        }
        if fit.is_end {
            self.complete();
        }
        Some(fit.bytes)
    }

    fn complete(&mut self) {
        if let Some(usage) = self.transcript.usage() {
            self.relay.metrics.answered(&usage);
        }
        if let Some(source) = self.source.take() {
            source.dispatch.settle(fleet::Outcome::Finished);
        }
    }

    /// Finds an endpoint that goes on; answers the last event where the
    /// stream ends instead.
    async fn recover(&mut self, failure: Failure) -> Option<Bytes> {
        if self.transcript.finished() {
            self.complete();
            return Some(Bytes::from_static(END_EVENT));
        }
        self.joiner.clear();
        let source = self.source.take()?;
        match self.resume(source.dispatch, failure).await {
            Ok(source) => {
                self.source = Some(source);
                None
            }
            Err(refusal) => Some(self.abort(&refusal)),
        }
    }

    async fn resume(
        &mut self,
        failed: fleet::Dispatch,
        failure: Failure,
    ) -> Result<Source, Refusal> {
        let relay = &self.relay;
        relay.failed(&mut self.query, failed, failure).await?;
        loop {
            let dispatch = relay.fleet.choose(&self.query).await?;
            let continuation = self.transcript.continuation();
            let reply = attempt::ask(
                &relay.client,
                &self.admitted.work,
                dispatch.place(),
                continuation.as_ref(),
            );
            match reply.await {
                Reply::Begun(response) => return Ok(Source::new(dispatch, response)),
                Reply::Refused | Reply::Rejected(_) => {
                    relay.refused(&mut self.query, dispatch).await?;
                }
                Reply::Failed(failure) => {
                    relay.failed(&mut self.query, dispatch, failure).await?;
                }
            }
        }
    }

    /// The explicit error event that ends a stream which nothing goes on with.
    fn abort(&self, refusal: &Refusal) -> Bytes {
        self.relay.metrics.refused(refusal.kind);
        Bytes::from(format!("data: {}\n\n", refusal.json()))
    }
}
