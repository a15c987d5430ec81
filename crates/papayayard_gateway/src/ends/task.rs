//! The task that investigates failures of requests at endpoints.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_routing::blame::{Progress, Run};
use papayayard_routing::quarantine::Fingerprint;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::attempt::{Attempt, Destination};
use super::cleared::Cleared;
use super::probe::Probe;
use super::report::Report;
use super::runs::Runs;
use super::waiting::Waiting;
use super::{Ending, Message, Parts, ProbeOutcome, Shared};
use crate::exchange::Codec;

/// Time after a failure within which the endpoint list may still reveal a crash: the
/// record of a crashed endpoint expires after some missed heartbeats.
pub(super) const LISTING_WINDOW: Duration = Duration::from_secs(15);

/// Maximum number of parts of prompts in a report; a record holds several times that.
const MAX_REPORTED_PARTS: usize = 2_048;

/// What revealed that a run has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// The endpoint refused a connection.
    Connection,
    /// The endpoint is no longer listed, or is listed with a newer run.
    List,
}

impl Evidence {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::List => "list",
        }
    }
}

/// A crashed run and the requests of this host that were open there.
struct Crash {
    at: Duration,
    /// Whether the list alone revealed the crash; it may have been wrong.
    shown_by_list: bool,
    requests: Vec<(Fingerprint, Progress)>,
    /// Shared parts of their prompts, each once.
    parts: Vec<Fingerprint>,
}

impl Crash {
    fn add_parts(&mut self, parts: &[Fingerprint]) {
        for part in parts {
            if self.parts.len() < MAX_REPORTED_PARTS && !self.parts.contains(part) {
                self.parts.push(*part);
            }
        }
    }
}

/// A request whose connection has closed, while its endpoint is probed.
struct Disconnected {
    attempt: Attempt,
    /// The run that has crashed if it has ended; `None` if its end is no crash.
    run: Option<Run>,
    ending: Ending,
    checked: oneshot::Sender<ProbeOutcome>,
}

impl Disconnected {
    /// Notifies the request that the investigation of its endpoint is done.
    fn release(self, outcome: ProbeOutcome) {
        if self.checked.send(outcome).is_err() {
            log::debug!("the request ended before its endpoint was probed");
        }
    }
}

/// What is asked of an endpoint: whether a run lives, for answers that ended alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question {
    destination: Destination,
    ending: Ending,
}

/// A failed request whose endpoint may have crashed.
struct Suspect {
    run: Run,
    attempt: Attempt,
    until: Duration,
}

pub(super) struct Task<Platform> {
    parts: Parts<Platform>,
    shared: Shared,
    /// Runs that have crashed, as far as this host knows.
    crashes: HashMap<Run, Crash>,
    runs: Runs,
    /// Requests whose connections have closed.
    waiting: Waiting<Question, Disconnected>,
    probes: JoinSet<(Question, ProbeOutcome)>,
    suspects: Vec<Suspect>,
    /// Parts of prompts that are about to be reported as cleared.
    cleared: Option<Cleared>,
}

impl<Platform> Task<Platform>
where
    Platform: Codec,
{
    pub(super) fn new(parts: Parts<Platform>, shared: Shared) -> Self {
        Self {
            parts,
            shared,
            crashes: HashMap::new(),
            runs: Runs::default(),
            waiting: Waiting::default(),
            probes: JoinSet::new(),
            suspects: Vec::new(),
            cleared: None,
        }
    }

    /// Runs until all senders of messages or the endpoint list are dropped.
    pub(super) async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        self.update_list();
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                Some(answer) = self.probes.join_next() => match answer {
                    Ok((question, outcome)) => self.probe_finished(question, outcome),
                    Err(error) => log::error!(error:%; "the task probing an endpoint failed"),
                },
                () = Cleared::wait(self.cleared.as_ref()) => self.report_cleared(),
                changed = self.parts.endpoints.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.update_list();
                }
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Unanswered(attempt) => {
                if let Some(run) = self.runs.may_crash(&attempt.destination) {
                    self.defer(run, attempt);
                }
            }
            Message::Disconnected(attempt, ending, checked) => {
                let run = self.runs.may_crash(&attempt.destination);
                self.probe(Disconnected {
                    attempt,
                    run,
                    ending,
                    checked,
                });
            }
            Message::Cleared { fingerprint, parts } => {
                let cleared = self
                    .cleared
                    .get_or_insert_with(|| Cleared::new(fingerprint));
                cleared.add(parts);
            }
        }
    }

    fn probe(&mut self, request: Disconnected) {
        if let Some(run) = &request.run
            && self.crashes.contains_key(run)
        {
            let attempt = request.attempt.clone();
            self.record_crash(run, vec![attempt], Evidence::Connection);
            request.release(ProbeOutcome::Refused);
            return;
        }
        let question = Question {
            destination: request.attempt.destination.clone(),
            ending: request.ending,
        };
        if self.waiting.add(question.clone(), request) {
            self.ask(question);
        }
    }

    /// Starts a probe. Only an answer that may be complete depends on which run lives.
    fn ask(&mut self, question: Question) {
        let now = self.parts.clock.now();
        let backoff = self
            .parts
            .backoffs
            .remaining(question.destination.address, now);
        let names_run = question.ending == Ending::Closed && backoff.is_zero();
        let probe = Probe {
            codec: self.parts.codec.clone(),
            address: question.destination.address,
            started: question.destination.started.filter(|_| names_run),
            ending: question.ending,
        };
        self.probes
            .spawn(async move { (question, probe.run().await) });
    }

    fn probe_finished(&mut self, question: Question, outcome: ProbeOutcome) {
        // A request whose answer broke off only needs to know whether the run has ended.
        let is_final = outcome.has_ended() || question.ending == Ending::Broken;
        let (waiting, asks_again) = self.waiting.finish(question.clone(), is_final);
        let run = waiting.iter().find_map(|request| request.run.clone());
        log::info!(
            endpoint:% = question.destination.endpoint, shown = outcome.as_str(), requests = waiting.len(),
            may_crash = run.is_some();
            "endpoint asked whether it lives"
        );
        if let Some(run) = run {
            self.blame(&run, &waiting, outcome);
        }
        for request in waiting {
            request.release(outcome);
        }
        if asks_again {
            self.ask(question);
        }
    }

    /// Records the requests that were open at a run if it has crashed, or may have.
    fn blame(&mut self, run: &Run, requests: &[Disconnected], outcome: ProbeOutcome) {
        let requests = requests.iter();
        let requests = requests.filter(|request| request.run.as_ref() == Some(run));
        if outcome == ProbeOutcome::Refused {
            let attempts = requests.map(|request| request.attempt.clone());
            self.record_crash(run, attempts.collect(), Evidence::Connection);
            return;
        }
        let is_open = |request: &&Disconnected| {
            request.ending == Ending::Broken || outcome != ProbeOutcome::Accepted
        };
        for request in requests.filter(is_open) {
            self.defer(run.clone(), request.attempt.clone());
        }
    }

    /// Keeps a failed request until the list shows whether the endpoint has crashed.
    fn defer(&mut self, run: Run, attempt: Attempt) {
        if self.crashes.contains_key(&run) || self.runs.shows_crash(&run) {
            self.record_crash(&run, vec![attempt], Evidence::List);
            return;
        }
        let until = self.parts.clock.now() + LISTING_WINDOW;
        self.suspects.push(Suspect {
            run,
            attempt,
            until,
        });
    }

    fn update_list(&mut self) {
        let now = self.parts.clock.now();
        let list = self.parts.endpoints.borrow_and_update().clone();
        self.runs.update(list, now);
        // Records also expire while an endpoint is merely partitioned from the store, so
        // a listed run that returns has not crashed.
        let runs = &self.runs;
        self.crashes
            .retain(|run, crash| !(crash.shown_by_list && runs.is_listed(run)));
        self.suspects.retain(|suspect| now < suspect.until);
        let crashed = self.suspects.iter().map(|suspect| &suspect.run);
        let crashed: HashSet<Run> = crashed
            .filter(|run| self.runs.shows_crash(run))
            .cloned()
            .collect();
        for run in crashed {
            self.record_crash(&run, Vec::new(), Evidence::List);
        }
    }

    /// Reports cleared parts, unless other hosts have done so meanwhile.
    fn report_cleared(&mut self) {
        if let Some(cleared) = self.cleared.take()
            && let Some(report) = cleared.report(&self.shared.table())
        {
            self.shared.outbox.send(&report);
        }
    }

    /// Records that a run has crashed with the given and the deferred requests open, and
    /// reports it to all hosts.
    fn record_crash(&mut self, run: &Run, mut attempts: Vec<Attempt>, shown_by: Evidence) {
        let now = self.parts.clock.now();
        let of_run = self.suspects.extract_if(.., |suspect| suspect.run == *run);
        attempts.extend(of_run.map(|suspect| suspect.attempt));
        self.crashes
            .retain(|_, crash| now < crash.at + LISTING_WINDOW);
        let metrics = &self.parts.metrics;
        let crash = self.crashes.entry(run.clone()).or_insert_with(|| {
            metrics.crashed(shown_by.as_str());
            Crash {
                at: now,
                shown_by_list: shown_by == Evidence::List,
                requests: Vec::new(),
                parts: Vec::new(),
            }
        });
        for attempt in attempts {
            log::warn!(
                request:% = attempt.request, fingerprint:% = attempt.subjects.request,
                endpoint:% = run.endpoint, run = run.started.0, shown_by = shown_by.as_str(),
                begun = attempt.progress == Progress::Begun, parts:% = attempt.part_names();
                "endpoint ended under a request"
            );
            let fingerprint = attempt.subjects.request;
            self.shared
                .record_crash(fingerprint, run, attempt.progress, now);
            crash.requests.push((fingerprint, attempt.progress));
            crash.add_parts(&attempt.subjects.parts);
        }
        let times = (Some(now), now);
        self.shared.record_part_crashes(&crash.parts, run, times);
        let sound = self.shared.table().sound(&crash.parts, now);
        let report = Report::crash(run, &crash.requests, &crash.parts, sound);
        self.shared.outbox.send(&report);
    }
}
