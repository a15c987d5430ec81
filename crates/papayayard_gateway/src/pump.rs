//! Passes a stream's events on as they come.
//!
//! Only whole events are passed on. Where a stream breaks off and its route
//! allows it, another endpoint goes on after the last event that was passed
//! on, inside the same answer; otherwise the answer breaks off as well. A stream
//! counts as silent by its events, so that one that is slow goes on and one that
//! sends bytes without an event does not. A silent run is given up only for a place
//! at another endpoint: until there is one, its events are waited for. The task ends
//! with the caller: its channel closes.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use papayayard_routing::blame::Progress;
use papayayard_routing::placement::{Outcome, Placement};
use papayayard_routing::table::Kind;
use papayayard_wire::id;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet};
use tokio::time;

use crate::attempt::{Failure, Open};
use crate::body::Broken;
use crate::dispatch::{Permit, Selection};
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
    pub(crate) watch: ends::Watch,
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
    /// It is silent, and another endpoint has a place.
    Silent(Place),
}

/// A place at another endpoint.
struct Place {
    placement: Box<Placement>,
    permit: Permit,
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
            let (failure, place) = match end {
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
                End::Broken(failure) => (failure, None),
                End::Silent(place) => (Failure::Silent, Some(place)),
            };
            drop(open);
            permit.end(failure.outcome());
            log::info!(
                request:% = self.job.id, endpoint:% = placement.endpoint,
                reason = failure.as_str(), position = self.splitter.position().unwrap_or(0);
                "stream broke off"
            );
            watch.failed(failure).await;
            let Some(next) = self.go_on(&placement.endpoint, place).await else {
                self.break_off().await;
                return;
            };
            run = next;
        }
    }

    /// Passes one run's events on.
    async fn pass(&mut self, run: &mut Run) -> End {
        let longest = self.longest_silence();
        let mut heard = self.relay.clock.now();
        let mut searches = JoinSet::new();
        loop {
            let now = self.relay.clock.now();
            let left = self.job.deadline.saturating_sub(now);
            let silence = (heard + longest).saturating_sub(now);
            let may_search = searches.is_empty() && self.can_go_on();
            let patience = if may_search { silence.min(left) } else { left };
            let frame = tokio::select! {
                () = self.pieces.closed() => return End::Left,
                frame = run.open.body.frame() => frame,
                Some(found) = searches.join_next() => {
                    if let Some(place) = self.place(found) {
                        return End::Silent(place);
                    }
                    heard = self.relay.clock.now();
                    continue;
                }
                () = time::sleep(patience) => {
                    if patience == left {
                        return End::Late;
                    }
                    self.search(&run.placement.endpoint, &mut searches);
                    continue;
                }
            };
            let data = match frame {
                None if self.splitter.is_at_boundary() => return End::Whole,
                None | Some(Err(_)) => return End::Broken(Failure::Broken),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let Ok(events) = self.splitter.push(&data) else {
                return End::Broken(Failure::Foreign);
            };
            if events.is_empty() {
                continue;
            }
            if !searches.is_empty() {
                searches = JoinSet::new();
            }
            heard = self.relay.clock.now();
            if !self.has_begun {
                self.has_begun = true;
                self.relay.first_event(&self.job);
            }
            run.permit.record_event();
            run.watch.mark_begun();
            if self.pieces.send(Ok(events)).await.is_err() {
                return End::Left;
            }
        }
    }

    /// Looks for a place at another endpoint than a silent one.
    fn search(&self, silent: &id::Endpoint, searches: &mut JoinSet<Selection>) {
        log::info!(request:% = self.job.id, endpoint:% = silent; "stream is silent; looking for another endpoint");
        let relay = self.relay.clone();
        let job = self.job.clone();
        let mut tried = self.tried.clone();
        tried.endpoints.push(silent.clone());
        searches.spawn(async move { relay.find(&job, &tried).await });
    }

    /// The place that a search has found, if the stream may go on there.
    fn place(&self, found: Result<Selection, JoinError>) -> Option<Place> {
        let Ok(Selection::Placed(placement, permit)) = found else {
            return None;
        };
        let place = Place { placement, permit };
        (self.may_run() && self.relay.may_repeat(&self.job)).then_some(place)
    }

    /// How far the request has come.
    const fn progress(&self) -> Progress {
        if self.has_begun {
            Progress::Begun
        } else {
            Progress::Waiting
        }
    }

    /// Silence after which a place for another run is looked for.
    fn longest_silence(&self) -> Duration {
        let pause = self.job.route.pause;
        pause.map_or(LONGEST_SILENCE, |pause| pause * LONGEST_PAUSES)
    }

    fn can_go_on(&self) -> bool {
        matches!(self.job.route.kind, Kind::Stream { resumable: true })
            && self.tried.runs < self.job.route.attempts
    }

    /// Whether no more endpoints have ended under the request than are borne.
    fn may_run(&self) -> bool {
        self.relay.check_standing(&self.job).is_ok()
    }

    /// Another run, after the last event that was passed on; at a place that was found,
    /// or at one that is looked for.
    async fn go_on(&mut self, failed: &id::Endpoint, mut place: Option<Place>) -> Option<Run> {
        self.tried.endpoints.push(failed.clone());
        let position = self.splitter.position();
        while self.can_go_on() && self.may_run() {
            let Place { placement, permit } = match place.take() {
                Some(place) => place,
                None => self.next_place().await?,
            };
            let patience = self.relay.patience(&self.job, &placement, &self.tried);
            let watch = self
                .relay
                .ends
                .watch(&self.job, &placement, self.progress());
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

    async fn next_place(&self) -> Option<Place> {
        if !self.relay.may_repeat(&self.job) {
            return None;
        }
        match self.relay.find(&self.job, &self.tried).await {
            Selection::Placed(placement, permit) if self.may_run() => {
                Some(Place { placement, permit })
            }
            _ => None,
        }
    }

    async fn break_off(&self) {
        self.relay.broken(&self.job);
        if self.pieces.send(Err(Broken)).await.is_err() {
            log::debug!(request:% = self.job.id; "the caller has left");
        }
    }
}
