//! Passes a stream's events on as they come.
//!
//! Only whole events are passed on. Where a stream breaks off and its route
//! allows it, another endpoint goes on after the last event that was passed
//! on, inside the same answer; otherwise the answer breaks off as well. A stream
//! counts as silent by its events, so that one that is slow goes on and one that
//! sends bytes without an event does not. The task ends with the caller: its
//! channel closes.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use papayayard_routing::blame::Progress;
use papayayard_routing::placement::{Outcome, Placement};
use papayayard_routing::table::Kind;
use papayayard_wire::id;
use tokio::sync::mpsc;
use tokio::time;

use crate::attempt::{Failure, Open};
use crate::body::Broken;
use crate::dispatch::{Found, Permit};
use crate::ends;
use crate::events::Splitter;
use crate::exchange::Codec;
use crate::job::Job;
use crate::relay::{Relay, Tried};

/// Pauses that are still on time after which a stream that can go on elsewhere
/// does so: a sound endpoint is seldom silent for that long.
const LONGEST_PAUSES: u32 = 3;
/// The same time where the route states no pause.
const LONGEST_SILENCE: Duration = Duration::from_millis(1100);
/// Pieces that wait for a slow caller.
const CHANNEL: usize = 4;

/// One run of a stream at an endpoint.
pub(crate) struct Run {
    /// Where it runs.
    pub(crate) placement: Placement,
    /// The answer.
    pub(crate) open: Open,
    /// Leave to use the endpoint.
    pub(crate) permit: Permit,
    /// Watch over the endpoint.
    pub(crate) watch: ends::Open,
}

/// Starts passing on; the receiver gets the pieces.
pub(crate) fn start<Platform>(
    relay: Relay<Platform>,
    job: Job,
    run: Run,
    tried: Tried,
) -> mpsc::Receiver<Result<Bytes, Broken>>
where
    Platform: Codec,
{
    let (sender, receiver) = mpsc::channel(CHANNEL);
    let pump = Pump {
        splitter: Splitter::after(job.position),
        relay,
        job,
        tried,
        pieces: sender,
        has_begun: false,
    };
    tokio::spawn(pump.run(run));
    receiver
}

struct Pump<Platform> {
    relay: Relay<Platform>,
    job: Job,
    tried: Tried,
    pieces: mpsc::Sender<Result<Bytes, Broken>>,
    splitter: Splitter,
    has_begun: bool,
}

/// How one run of a stream ended.
enum End {
    Whole,
    Left,
    Late,
    Broken(Failure),
}

impl<Platform> Pump<Platform>
where
    Platform: Codec,
{
    async fn run(mut self, mut run: Run) {
        loop {
            let end = self.pass(&mut run).await;
            let Run {
                placement,
                open,
                permit,
                watch,
            } = run;
            match end {
                End::Whole => {
                    self.relay
                        .sender
                        .keep(&placement, open.connection, &open.head.headers);
                    permit.end(Outcome::Whole);
                    watch.finished();
                    return;
                }
                End::Left => return,
                End::Late => {
                    log::info!(request:% = self.job.id, endpoint:% = placement.endpoint; "stream cut at its deadline");
                    self.break_off().await;
                    return;
                }
                End::Broken(failure) => {
                    drop(open);
                    permit.end(failure.outcome());
                    log::info!(
                        request:% = self.job.id, endpoint:% = placement.endpoint,
                        reason = failure.as_str(), position = self.splitter.position().unwrap_or(0);
                        "stream broke off"
                    );
                    watch.failed(failure).await;
                    let Some(next) = self.go_on(&placement.endpoint).await else {
                        self.break_off().await;
                        return;
                    };
                    run = next;
                }
            }
        }
    }

    /// Passes one run's events on.
    async fn pass(&mut self, run: &mut Run) -> End {
        let longest = self.longest_silence();
        let mut last_event = self.relay.clock.now();
        loop {
            let now = self.relay.clock.now();
            let left = self.job.deadline.saturating_sub(now);
            let silent_at = longest.map(|longest| last_event + longest);
            let patience = silent_at.map_or(left, |at| at.saturating_sub(now).min(left));
            let frame = tokio::select! {
                () = self.pieces.closed() => return End::Left,
                frame = time::timeout(patience, run.open.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) if patience == left => return End::Late,
                Err(_) => return End::Broken(Failure::Silent),
                Ok(None) if self.splitter.is_at_boundary() => return End::Whole,
                Ok(None | Some(Err(_))) => return End::Broken(Failure::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let Ok(events) = self.splitter.push(&data) else {
                return End::Broken(Failure::Foreign);
            };
            if events.is_empty() {
                continue;
            }
            last_event = self.relay.clock.now();
            if !self.has_begun {
                self.has_begun = true;
                self.relay.first_event(&self.job);
            }
            run.permit.begun();
            run.watch.begun();
            if self.pieces.send(Ok(events)).await.is_err() {
                return End::Left;
            }
        }
    }

    /// How far the request has come.
    const fn progress(&self) -> Progress {
        if self.has_begun {
            Progress::Begun
        } else {
            Progress::Waiting
        }
    }

    /// Silence after which a run is given up, where another one can go on.
    fn longest_silence(&self) -> Option<Duration> {
        let pause = self.job.route.pause;
        let silence = pause.map_or(LONGEST_SILENCE, |pause| pause * LONGEST_PAUSES);
        self.can_go_on().then_some(silence)
    }

    fn can_go_on(&self) -> bool {
        matches!(self.job.route.kind, Kind::Stream { resumable: true })
            && self.tried.runs < self.job.route.attempts
    }

    /// Whether no more endpoints have ended under the request than are borne.
    fn may_run(&self) -> bool {
        self.relay.check_standing(&self.job).is_ok()
    }

    /// Another run, after the last event that was passed on.
    async fn go_on(&mut self, failed: &id::Endpoint) -> Option<Run> {
        self.tried.endpoints.push(failed.clone());
        let position = self.splitter.position();
        while self.can_go_on() && self.may_run() && self.relay.may_repeat(&self.job) {
            let found = self.relay.find(&self.job, &self.tried).await;
            let Found::Place(placement, permit) = found else {
                return None;
            };
            if !self.may_run() {
                return None;
            }
            let patience = self.relay.patience(&self.job, &placement, &self.tried);
            let watch = self.relay.ends.open(&self.job, &placement, self.progress());
            let sent = self
                .relay
                .sender
                .send(&self.job, (&placement, &permit), position, patience);
            let sent = tokio::select! {
                () = self.pieces.closed() => return None,
                sent = sent => sent,
            };
            match sent {
                Ok(open) if open.head.status.is_success() => {
                    self.tried.runs += 1;
                    self.splitter = Splitter::after(position);
                    log::info!(
                        request:% = self.job.id, endpoint:% = placement.endpoint,
                        position = position.unwrap_or(0);
                        "stream goes on elsewhere"
                    );
                    return Some(Run {
                        placement: *placement,
                        open,
                        permit,
                        watch,
                    });
                }
                Ok(_) => {
                    watch.finished();
                    self.tried.runs += 1;
                    self.tried.endpoints.push(placement.endpoint.clone());
                }
                Err(failure) => {
                    if !failure.is_not_run() {
                        self.tried.runs += 1;
                    }
                    self.tried.endpoints.push(placement.endpoint.clone());
                    permit.end(failure.outcome());
                    watch.failed(failure).await;
                }
            }
        }
        None
    }

    async fn break_off(&self) {
        self.relay.broken(&self.job);
        if self.pieces.send(Err(Broken)).await.is_err() {
            log::debug!(request:% = self.job.id; "the caller has left");
        }
    }
}
