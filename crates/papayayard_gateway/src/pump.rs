//! Forwards a stream's events to the caller as they arrive.
//!
//! Only complete events with increasing ids are forwarded. If a stream fails and its route
//! allows it, another endpoint with the same version of the software resumes after the last
//! forwarded event, within the same response; otherwise the response is cut. A resumed
//! stream must have the status and the media type of the head that the caller has; any
//! other response is an error. A stream has an event at least, and does not end where an
//! event has begun.
//!
//! An upstream begins with its first event. If it has not begun before its endpoint's weights
//! may no longer be used, it has failed.
//!
//! Silence is measured between complete events, so that a slow stream continues while one
//! that sends bytes without completing an event is replaced. A sound endpoint may be silent for
//! a moment, so a silent upstream is left only for an endpoint that has just answered and does
//! not fail the request at once; until then its events are still awaited. The task ends when the
//! caller disconnects, which closes its channel.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::response::Parts;
use http_body::Frame;
use http_body_util::BodyExt;
use papayayard_routing::blame::Progress;
use papayayard_routing::placement::{Outcome, Placement};
use papayayard_wire::id;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet};
use tokio::time;

use crate::attempt::{self, Delivery, Failure, Response};
use crate::body::Truncated;
use crate::dispatch::{Permit, Selection};
use crate::ends;
use crate::events::{Events, Splitter};
use crate::exchange::Codec;
use crate::job::Job;
use crate::memory::Share;
use crate::relay::{History, Relay, Replacement};

/// Silence after which a resumable stream moves to another endpoint, in multiples of the
/// route's allowed pause: a healthy endpoint is rarely silent for that long.
const MAX_PAUSES: u32 = 3;
/// The same limit if the route defines no pause.
const DEFAULT_MAX_SILENCE: Duration = Duration::from_millis(1100);
/// Time for which a silent endpoint is kept after the request was sent to another one, which
/// refuses within a round trip. Both must not go on with the stream for longer.
const MAX_OVERLAP: Duration = Duration::from_millis(200);
/// Chunks buffered for a slow caller.
const CHANNEL_CAPACITY: usize = 4;

/// The endpoint that currently produces the stream, and its response.
pub(crate) struct Upstream {
    pub(crate) placement: Placement,
    pub(crate) response: Response,
    pub(crate) permit: Permit,
    /// Tracks the request for crash detection.
    pub(crate) watch: ends::Watch,
    /// How it has ended, if that was seen before its turn.
    pub(crate) end: Option<End>,
}

/// Starts a task that forwards the stream, and returns the receiver of its chunks.
pub(crate) fn start<Platform>(
    relay: Relay<Platform>,
    job: Job,
    upstream: Upstream,
    history: History,
) -> mpsc::Receiver<Result<Bytes, Truncated>>
where
    Platform: Codec,
{
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let share = relay.memory.share(false);
    let pump = Pump {
        share,
        head: upstream.response.head.clone(),
        splitter: Splitter::after(job.resumed_position()),
        is_event_due: job.resumed_position().is_none() && !attempt::has_no_body(&job.method),
        relay,
        job,
        history,
        chunks: sender,
        has_begun: false,
        has_retry: false,
    };
    tokio::spawn(pump.run(upstream));
    receiver
}

struct Pump<Platform> {
    relay: Relay<Platform>,
    job: Job,
    /// Head of the first response, which the caller has.
    head: Parts,
    history: History,
    chunks: mpsc::Sender<Result<Bytes, Truncated>>,
    splitter: Splitter,
    /// Memory of an event that is not complete.
    share: Share,
    has_begun: bool,
    /// Whether a retry was taken from the budget and not used.
    has_retry: bool,
    /// Whether the stream is incomplete without a further event.
    is_event_due: bool,
}

/// Why forwarding from one upstream ended.
pub(crate) enum End {
    Complete,
    CallerLeft,
    DeadlinePassed,
    Failed(Failure),
    /// The upstream is silent, and another endpoint is ready to go on.
    Silent(Box<Replacement>),
}

/// What an upstream has sent; `None` at its end.
type Received = Option<Result<Frame<Bytes>, hyper::Error>>;

/// What was taken from an upstream.
enum Taken {
    Events,
    /// No complete event.
    Nothing,
}

/// What was seen after a stream was sent to another endpoint.
enum Sent {
    /// The head of that endpoint's response, or why there is none.
    Head(Box<Result<Response, Failure>>),
    /// The silent upstream goes on.
    Awake,
}

/// What became of an attempt to go on at another endpoint.
enum Attempt {
    /// The stream goes on there.
    Resumed(Upstream),
    /// The silent upstream is still there: it goes on, or the endpoint failed at once.
    Kept(Upstream),
    /// The attempt failed; another endpoint may be ready.
    Failed(Option<Replacement>),
}

/// Why no endpoint goes on with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    CallerLeft,
    DeadlinePassed,
    /// The route does not allow it.
    NotResumable,
    /// The version of the software that began the stream is not known.
    UnknownSoftware,
    /// The stream has run as often as its route allows.
    NoRunLeft,
    Quarantined,
    /// The budget has no retry left.
    NoRetryLeft,
    NoPlace,
}

impl Stop {
    /// Label in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller left",
            Self::DeadlinePassed => "deadline",
            Self::NotResumable => "not resumable",
            Self::UnknownSoftware => "unknown software",
            Self::NoRunLeft => "no run left",
            Self::Quarantined => "quarantined",
            Self::NoRetryLeft => "no retry left",
            Self::NoPlace => "no place",
        }
    }
}

impl<Platform> Pump<Platform>
where
    Platform: Codec,
{
    async fn run(mut self, mut upstream: Upstream) {
        loop {
            let next = match self.forward(&mut upstream).await {
                End::Complete
                    if upstream.response.ends_with_connection(&self.job.method)
                        && !upstream.watch.confirm().await =>
                {
                    Box::pin(self.replace(upstream, Failure::Broken)).await
                }
                End::Complete => return self.complete(upstream),
                End::CallerLeft => return,
                End::DeadlinePassed => {
                    log::info!(request:% = self.job.id, endpoint:% = upstream.placement.endpoint; "stream cut at its deadline");
                    Err(Stop::DeadlinePassed)
                }
                End::Failed(failure) => Box::pin(self.replace(upstream, failure)).await,
                End::Silent(replacement) => Box::pin(self.hand_over(upstream, *replacement)).await,
            };
            upstream = match next {
                Ok(next) => next,
                Err(Stop::CallerLeft) => return,
                Err(stop) => return self.truncate(stop).await,
            };
        }
    }

    /// Ends a stream that its upstream has completed.
    fn complete(self, upstream: Upstream) {
        let Upstream {
            placement,
            response,
            permit,
            watch,
            end: _,
        } = upstream;
        self.relay
            .sender
            .keep(&placement, response.connection, &response.head.headers);
        permit.end(Outcome::Whole);
        watch.succeeded();
    }

    /// Goes on elsewhere after an upstream has failed.
    async fn replace(&mut self, failed: Upstream, failure: Failure) -> Result<Upstream, Stop> {
        self.leave(failed, failure).await;
        self.resume(None).await
    }

    /// Goes on at an endpoint that is ready, or at the silent upstream if that is kept.
    async fn hand_over(
        &mut self,
        silent: Upstream,
        replacement: Replacement,
    ) -> Result<Upstream, Stop> {
        match self.attempt(replacement, Some(silent)).await? {
            Attempt::Resumed(upstream) | Attempt::Kept(upstream) => Ok(upstream),
            Attempt::Failed(next) => self.resume(next).await,
        }
    }

    /// Gives up an upstream.
    async fn leave(&mut self, upstream: Upstream, failure: Failure) {
        let Upstream {
            placement,
            response,
            permit,
            watch,
            end: _,
        } = upstream;
        drop(response);
        self.is_event_due |= failure == Failure::Foreign || !self.splitter.is_at_boundary();
        self.relay.record_failure(&placement, failure);
        let is_origin_unsettled = self.is_origin_unsettled();
        if is_origin_unsettled {
            permit.record_question();
        }
        permit.end(failure.outcome());
        log::info!(
            request:% = self.job.id, endpoint:% = placement.endpoint,
            reason = failure.as_str(), position = self.splitter.position().unwrap_or(0);
            "stream broke off"
        );
        watch.failed(failure).await;
        if is_origin_unsettled {
            self.settle_origin(&placement).await;
        }
        self.history
            .record_failed(placement.endpoint, Some(failure));
    }

    /// Forwards the events of one upstream until it ends.
    async fn forward(&mut self, upstream: &mut Upstream) -> End {
        if let Some(end) = upstream.end.take() {
            return end;
        }
        let max_silence = self.max_silence();
        let mut last_event_at = self.relay.clock.now();
        let mut searches = JoinSet::new();
        loop {
            let now = self.relay.clock.now();
            let remaining = self.job.deadline.saturating_sub(now);
            let silence = (last_event_at + max_silence).saturating_sub(now);
            let may_search = searches.is_empty() && self.check_resumable().is_ok();
            let timeout = if may_search {
                silence.min(remaining)
            } else {
                remaining
            };
            let frame = tokio::select! {
                () = self.chunks.closed() => return End::CallerLeft,
                frame = upstream.response.body.frame() => frame,
                () = self.share.evicted() => return End::Failed(Failure::Oversized),
                () = upstream.permit.until_outdated() => return End::Failed(Failure::Overdue),
                Some(found) = searches.join_next() => {
                    if let Some(replacement) = self.accept(found) {
                        return End::Silent(Box::new(replacement));
                    }
                    last_event_at = self.relay.clock.now();
                    continue;
                }
                () = time::sleep(timeout) => {
                    if timeout == remaining {
                        return End::DeadlinePassed;
                    }
                    self.search(&upstream.placement.endpoint, &mut searches);
                    continue;
                }
            };
            match self.take(upstream, frame).await {
                Ok(Taken::Events) => {
                    if !searches.is_empty() {
                        searches = JoinSet::new();
                    }
                    last_event_at = self.relay.clock.now();
                }
                Ok(Taken::Nothing) => {}
                Err(end) => return end,
            }
        }
    }

    /// Takes what an upstream has sent, and forwards the events that are complete with it.
    async fn take(&mut self, upstream: &mut Upstream, frame: Received) -> Result<Taken, End> {
        let data = match frame {
            None if self.is_complete() => return Err(End::Complete),
            None | Some(Err(_)) => return Err(End::Failed(Failure::Broken)),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let position = self.splitter.position();
        let Events { bytes, fault } = self.splitter.push(&data);
        self.is_event_due &= self.splitter.position() == position;
        let is_exhausted = self.share.hold(self.splitter.pending()).is_err();
        let has_events = !bytes.is_empty();
        if has_events {
            self.pass(upstream, bytes).await?;
        }
        if is_exhausted {
            return Err(End::Failed(Failure::Oversized));
        }
        if let Some(fault) = fault {
            log::warn!(
                request:% = self.job.id, endpoint:% = upstream.placement.endpoint;
                "endpoint sends no stream: {fault}"
            );
            return Err(End::Failed(Failure::Foreign));
        }
        Ok(if has_events {
            Taken::Events
        } else {
            Taken::Nothing
        })
    }

    /// Whether the stream is complete if its upstream ends now.
    fn is_complete(&self) -> bool {
        self.splitter.is_at_boundary() && !self.is_event_due
    }

    /// Forwards complete events to the caller.
    async fn pass(&mut self, upstream: &mut Upstream, events: Bytes) -> Result<(), End> {
        self.record_origin(&upstream.placement);
        if !self.has_begun {
            self.has_begun = true;
            let weights_left = upstream.permit.weights_remaining();
            self.relay.record_first_event(&self.job, weights_left);
        }
        upstream.permit.record_event();
        upstream.watch.mark_begun();
        let sent = self.chunks.send(Ok(events)).await;
        sent.map_err(|_| End::CallerLeft)
    }

    /// Records the version that began the stream, with its first event or once it is known. A
    /// stream that its caller resumes has one before.
    fn record_origin(&mut self, placement: &Placement) {
        let was_known = self.job.software.is_some();
        if !was_known {
            self.job.software = self.relay.software(placement);
        }
        if !self.has_begun || self.job.software.is_some() != was_known {
            let software = self.job.software.as_ref();
            self.relay.origins.record(&self.job, software);
        }
    }

    /// Whether the version that began the stream is needed and unknown.
    fn is_origin_unsettled(&self) -> bool {
        self.has_begun && self.job.software.is_none() && self.job.is_resumable()
    }

    /// Asks the endpoint that began the stream for its run: if it still is the listed one, it has
    /// been all the while.
    async fn settle_origin(&mut self, placement: &Placement) {
        self.relay.sender.check_run(placement).await;
        self.record_origin(placement);
    }

    /// Starts to look for a place at an endpoint other than the silent one.
    fn search(&self, silent: &id::Endpoint, searches: &mut JoinSet<Option<Replacement>>) {
        log::info!(request:% = self.job.id, endpoint:% = silent; "stream is silent; looking for another endpoint");
        let relay = self.relay.clone();
        let job = self.job.clone();
        let mut history = self.history.clone();
        history.endpoints.push(silent.clone());
        searches.spawn(async move { relay.find_ready(&job, &history).await });
    }

    /// Returns what a search found, if the stream may resume there.
    fn accept(&self, found: Result<Option<Replacement>, JoinError>) -> Option<Replacement> {
        let replacement = found.ok()??;
        self.relay.may_replace(&self.job).then_some(replacement)
    }

    /// Whether events were forwarded, for the record of a crash.
    const fn progress(&self) -> Progress {
        if self.has_begun {
            Progress::Begun
        } else {
            Progress::Waiting
        }
    }

    /// Silence after which a place at another endpoint is looked for.
    fn max_silence(&self) -> Duration {
        let pause = self.job.route.pause;
        pause.map_or(DEFAULT_MAX_SILENCE, |pause| pause * MAX_PAUSES)
    }

    /// Returns an error if the stream may not go on elsewhere.
    fn check_resumable(&self) -> Result<(), Stop> {
        if !self.job.is_resumable() {
            return Err(Stop::NotResumable);
        }
        // Nothing tells what may continue a stream that an unknown version has begun.
        if self.has_begun && self.job.software.is_none() {
            return Err(Stop::UnknownSoftware);
        }
        if self.history.runs >= self.job.allowance.runs {
            return Err(Stop::NoRunLeft);
        }
        Ok(())
    }

    /// Returns an error if the request is quarantined for endpoint crashes.
    fn check_quarantine(&self) -> Result<(), Stop> {
        let allowed = self.relay.check_quarantine(&self.job);
        allowed.map_err(|_| Stop::Quarantined)
    }

    /// Resumes the stream after the last forwarded event, at an endpoint that is ready or else
    /// at a newly found one.
    async fn resume(&mut self, mut ready: Option<Replacement>) -> Result<Upstream, Stop> {
        loop {
            self.check_resumable()?;
            self.check_quarantine()?;
            let replacement = match ready.take() {
                Some(replacement) => replacement,
                None => self.find_replacement().await?,
            };
            match self.attempt(replacement, None).await? {
                Attempt::Resumed(upstream) | Attempt::Kept(upstream) => return Ok(upstream),
                Attempt::Failed(next) => ready = next,
            }
        }
    }

    /// Sends the request to another endpoint, to go on after the last forwarded event. A silent
    /// upstream is kept if it goes on first, or if that endpoint fails at once.
    async fn attempt(
        &mut self,
        replacement: Replacement,
        mut silent: Option<Upstream>,
    ) -> Result<Attempt, Stop> {
        let Replacement {
            placement,
            permit,
            way,
        } = replacement;
        let position = self.splitter.position();
        let relay = self.relay.clone();
        let job = self.job.clone();
        let mut history = self.history.clone();
        history.endpoints.extend(
            silent
                .as_ref()
                .map(|silent| silent.placement.endpoint.clone()),
        );
        let watch = relay.crashes.watch(&job, &placement, self.progress());
        let delivery = Delivery {
            destination: (&placement, &permit),
            position,
            way,
            may_repeat: relay.may_be_replaced(&job, &history),
        };
        self.has_retry = false;
        let mut next = None;
        let given_up = relay.until_given_up(&job, &placement, &history, &mut next);
        let sending = Box::pin(relay.sender.send(&job, delivery, given_up));
        let sent = match self.send(sending, &mut silent).await? {
            Sent::Head(sent) => *sent,
            Sent::Awake => {
                log::info!(
                    request:% = job.id, endpoint:% = placement.endpoint;
                    "stream stays where it was silent"
                );
                self.history.runs += 1;
                return Ok(silent.map_or(Attempt::Failed(None), Attempt::Kept));
            }
        };
        let response = match sent {
            Ok(response) if continues(&self.head, &response.head) => response,
            Ok(response) => {
                log::info!(
                    request:% = job.id, endpoint:% = placement.endpoint,
                    status = response.head.status.as_u16(), kept = silent.is_some();
                    "response does not continue the stream"
                );
                watch.finished();
                self.history.runs += 1;
                self.history.record_failed(placement.endpoint, None);
                return Ok(silent.map_or(Attempt::Failed(None), Attempt::Kept));
            }
            Err(failure) => {
                log::info!(
                    request:% = job.id, endpoint:% = placement.endpoint,
                    reason = failure.as_str(), kept = silent.is_some();
                    "attempt to go on failed"
                );
                relay.record_failure(&placement, failure);
                permit.end(self.history.outcome(&placement.endpoint, failure));
                self.has_retry = failure == Failure::Unresponsive;
                if silent.is_some() && failure.is_not_run() {
                    self.history.record_not_taken(placement.endpoint);
                } else {
                    self.history.runs += u32::from(!failure.is_not_run());
                    self.history
                        .record_failed(placement.endpoint, Some(failure));
                }
                let Some(silent) = silent else {
                    watch.failed(failure).await;
                    return Ok(Attempt::Failed(next));
                };
                // The silent upstream may go on while the other endpoint is probed.
                tokio::spawn(watch.failed(failure));
                return Ok(Attempt::Kept(silent));
            }
        };
        self.history.runs += 1;
        self.history.record_answered();
        self.splitter = Splitter::after(position);
        self.share = relay.memory.share(false);
        log::info!(
            request:% = job.id, endpoint:% = placement.endpoint,
            position = position.unwrap_or(0);
            "stream goes on elsewhere"
        );
        Ok(Attempt::Resumed(Upstream {
            placement: *placement,
            response,
            permit,
            watch,
            end: None,
        }))
    }

    /// Waits for the head of another endpoint's response. The silent upstream is left unless it
    /// goes on, or that endpoint fails the request, within [`MAX_OVERLAP`].
    async fn send<Sending>(
        &mut self,
        mut sending: Sending,
        silent: &mut Option<Upstream>,
    ) -> Result<Sent, Stop>
    where
        Sending: Future<Output = Result<Response, Failure>> + Unpin,
    {
        let position = self.splitter.position();
        let overlap = time::sleep(MAX_OVERLAP);
        tokio::pin!(overlap);
        while let Some(upstream) = silent {
            let frame = tokio::select! {
                () = self.chunks.closed() => return Err(Stop::CallerLeft),
                sent = &mut sending => {
                    if self.is_continued(&sent) {
                        self.leave_silent(silent, Failure::Silent).await;
                    }
                    return Ok(Sent::Head(Box::new(sent)));
                }
                frame = upstream.response.body.frame() => frame,
                () = &mut overlap => {
                    self.leave_silent(silent, Failure::Silent).await;
                    break;
                }
            };
            match self.take(upstream, frame).await {
                Ok(Taken::Nothing) => {}
                Ok(Taken::Events) => return Ok(Sent::Awake),
                // The other endpoint goes on after the events that were there before.
                Err(End::Failed(failure)) if self.splitter.position() == position => {
                    self.leave_silent(silent, failure).await;
                }
                Err(end) => {
                    upstream.end = Some(end);
                    return Ok(Sent::Awake);
                }
            }
        }
        tokio::select! {
            () = self.chunks.closed() => Err(Stop::CallerLeft),
            sent = sending => Ok(Sent::Head(Box::new(sent))),
        }
    }

    async fn leave_silent(&mut self, silent: &mut Option<Upstream>, failure: Failure) {
        if let Some(upstream) = silent.take() {
            self.leave(upstream, failure).await;
        }
    }

    /// Whether the stream goes on with the response of another endpoint.
    fn is_continued(&self, sent: &Result<Response, Failure>) -> bool {
        let response = sent.as_ref();
        response.is_ok_and(|response| continues(&self.head, &response.head))
    }

    async fn find_replacement(&mut self) -> Result<Replacement, Stop> {
        if !self.has_retry && !self.relay.take_retry(&self.job) {
            return Err(Stop::NoRetryLeft);
        }
        self.has_retry = true;
        loop {
            match self.relay.find(&self.job, &self.history).await {
                Selection::Placed(placement, permit) => {
                    self.check_quarantine()?;
                    return Ok(Replacement {
                        placement,
                        permit,
                        way: None,
                    });
                }
                Selection::Refused { .. } if self.history.revisit() => {
                    log::info!(request:% = self.job.id; "no other endpoint; trying one again");
                }
                Selection::Refused { .. } => {
                    let now = self.relay.clock.now();
                    let is_waiting = tokio::select! {
                        is_waiting = self.history.wait(now, self.job.deadline) => is_waiting,
                        () = self.chunks.closed() => return Err(Stop::CallerLeft),
                    };
                    if !is_waiting {
                        return Err(Stop::NoPlace);
                    }
                }
            }
        }
    }

    async fn truncate(&self, stop: Stop) {
        self.relay
            .record_truncated(&self.job, stop.as_str(), self.has_begun);
        if self.chunks.send(Err(Truncated)).await.is_err() {
            log::debug!(request:% = self.job.id; "caller disconnected before the stream ended");
        }
    }
}

/// Whether a response has the status and the media type of the stream's first one.
fn continues(first: &Parts, next: &Parts) -> bool {
    next.status == first.status && media_type(next) == media_type(first)
}

/// Media type of a body, without its parameters.
fn media_type(head: &Parts) -> Option<String> {
    let text = head.headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let essence = text.split(';').next().unwrap_or_default();
    Some(essence.trim().to_ascii_lowercase())
}
