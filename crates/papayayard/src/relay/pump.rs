//! Moves a stream's events from endpoints to the caller.
//!
//! A pump is a task of its own. It ends when the stream is complete, when no
//! endpoint can go on, or when the caller goes away, which closes the channel.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time;

use crate::controllers::fleet;
use crate::exchange::{Admitted, Completion};
use crate::refusal::Refusal;
use crate::relay::attempt::{self, Reply};
use crate::relay::client::Failure;
use crate::relay::completion::Relay;
use crate::relay::sse::Splitter;
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
    events: mpsc::Sender<Bytes>,
    transcript: Transcript,
}

/// How the events of one endpoint ended.
enum End {
    /// The stream is complete.
    Complete,
    /// The caller went away.
    CallerGone,
    /// The endpoint failed.
    Failed(Failure),
}

impl Pump {
    /// Makes a pump.
    pub(crate) fn new(
        relay: Relay,
        admitted: Admitted<Completion>,
        query: fleet::Query,
        events: mpsc::Sender<Bytes>,
    ) -> Self {
        let transcript = Transcript::new(admitted.work.whole.known.arrival.id.as_str());
        Self {
            relay,
            admitted,
            query,
            events,
            transcript,
        }
    }

    /// Moves events until the stream ends one way or the other.
    pub(crate) async fn run(mut self, mut dispatch: fleet::Dispatch, response: Response<Incoming>) {
        let mut response = response;
        loop {
            let failure = match self.drain(dispatch.place(), response).await {
                End::Complete => return self.complete(dispatch),
                End::CallerGone => return dispatch.settle(fleet::Outcome::Cancelled),
                End::Failed(failure) => failure,
            };
            match self.resume(dispatch, failure).await {
                Ok(Some(next)) => (dispatch, response) = next,
                Ok(None) => return,
                Err(refusal) => return self.abort(refusal).await,
            }
        }
    }

    fn complete(&self, dispatch: fleet::Dispatch) {
        if let Some(usage) = self.transcript.usage() {
            self.relay.metrics.answered(&usage);
        }
        dispatch.settle(fleet::Outcome::Finished);
    }

    async fn drain(&mut self, place: &fleet::Place, response: Response<Incoming>) -> End {
        let mut body = response.into_body();
        let mut splitter = Splitter::default();
        let mut first = true;
        loop {
            let frame = tokio::select! {
                () = self.events.closed() => return End::CallerGone,
                () = place.lost.cancelled() => return End::Failed(Failure::Lost),
                frame = time::timeout(STALL_TIMEOUT, body.frame()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) => return End::Failed(Failure::Broken),
                Err(_) => return End::Failed(Failure::TimedOut),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if splitter.push(data).is_err() {
                return End::Failed(Failure::Broken);
            }
            while let Some(event) = splitter.next() {
                let step = match self.transcript.take(&event) {
                    Ok(step) => step,
                    Err(mismatch) => {
                        log::warn!(
                            request:% = self.admitted.work.whole.known.arrival.id,
                            endpoint:% = place.endpoint;
                            "an event does not fit the stream: {mismatch:?}"
                        );
                        return End::Failed(Failure::Mismatched);
                    }
                };
                if self.events.send(event).await.is_err() {
                    return End::CallerGone;
                }
                if step == Step::End {
                    return End::Complete;
                }
                if first {
                    first = false;
                    self.first_token();
                }
            }
        }
    }

    fn first_token(&mut self) {
        self.query.begun();
        let received = self.admitted.work.whole.known.arrival.received;
        self.relay.metrics.first_token(received);
    }

    /// Finds an endpoint that goes on from what the caller has.
    async fn resume(
        &mut self,
        failed: fleet::Dispatch,
        failure: Failure,
    ) -> Result<Option<(fleet::Dispatch, Response<Incoming>)>, Refusal> {
        if self.transcript.finished() {
            self.complete(failed);
            let end = Bytes::from_static(END_EVENT);
            // A caller that has gone needs no end mark.
            let _ = self.events.send(end).await;
            return Ok(None);
        }
        self.relay.failed(&mut self.query, failed, failure).await?;
        loop {
            let dispatch = self.relay.fleet.choose(&self.query).await?;
            let continuation = self.transcript.continuation();
            let reply = attempt::ask(
                &self.relay.client,
                &self.admitted.work,
                dispatch.place(),
                continuation.as_ref(),
            );
            match reply.await {
                Reply::Begun(response) => return Ok(Some((dispatch, response))),
                Reply::Refused | Reply::Rejected(_) => {
                    self.relay.refused(&mut self.query, dispatch).await?;
                }
                Reply::Failed(failure) => {
                    self.relay
                        .failed(&mut self.query, dispatch, failure)
                        .await?;
                }
            }
        }
    }

    /// Ends the stream with an explicit error event.
    async fn abort(&self, refusal: Refusal) {
        self.relay.metrics.refused(refusal.kind);
        let event = format!("data: {}\n\n", refusal.json());
        // A caller that has gone needs no error event.
        let _ = self.events.send(Bytes::from(event)).await;
    }
}
