//! The state of an engine and its changes.
//!
//! A mutex holds it rather than a task, since an oracle in the same process
//! reads the true cache and queue between two awaits.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::{block, endpoint, id};
use tokio::sync::mpsc;

use super::batch::{Batch, Handle, Job, Offer, Sink};
use super::cache::{Cache, Change};
use super::fault::{Fault, Faults};
use super::feed::Feed;
use super::history::History;
use super::stream::{self, Piece};
use super::{Fencing, Options};
use crate::ledger::{Entry, Outcome};

/// State of one engine.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) state: endpoint::State,
    pub(crate) version: id::Version,
    pub(crate) faults: Faults,
    pub(crate) down: bool,
    /// Number of the last order or crash, which ends older loads.
    pub(crate) epoch: u64,
    fence: id::Fence,
    batch: Batch,
    feed: Feed,
    history: History,
    readers: Readers,
}

/// What waits for the tokens of each request, and what really ran.
#[derive(Debug, Default)]
struct Readers {
    open: HashMap<Handle, Reader>,
    ledger: Vec<Entry>,
    changes: Vec<Change>,
}

#[derive(Debug)]
struct Reader {
    pieces: mpsc::Sender<Piece>,
    entry: usize,
    kills: bool,
}

/// Why an engine does not take a request or an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// It refuses on order.
    Ordered,
    /// It loads or drains.
    NotReady,
    /// It has other weights.
    OtherVersion,
    /// The order's fencing number is older than one seen.
    Fenced,
}

impl Refusal {
    pub(crate) const fn message(self) -> &'static str {
        match self {
            Self::Ordered => "the engine refuses requests on order; send it elsewhere",
            Self::NotReady => "the engine loads weights or drains; send it elsewhere",
            Self::OtherVersion => "the engine has other weights; send it elsewhere",
            Self::Fenced => "the fencing number is older than one seen; take a new lease",
        }
    }
}

/// A request to run.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) job: Job,
    pub(crate) entry: Entry,
    pub(crate) version: Option<String>,
    pub(crate) kills: bool,
}

/// Start of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Begin {
    /// There is nothing to do.
    Idle,
    /// A step of this duration runs.
    Step(Duration),
    /// A request that began to compute crashes the engine.
    Crash,
}

impl Core {
    pub(crate) fn new(options: Options, incarnation: id::Incarnation) -> Self {
        Self {
            batch: empty_batch(&options),
            feed: Feed::new(options.seed, options.event_delay),
            history: History::default(),
            readers: Readers::default(),
            state: endpoint::State::Ready,
            version: options.version.clone(),
            faults: Faults::default(),
            down: false,
            epoch: 0,
            fence: id::Fence::default(),
            incarnation,
            options,
        }
    }

    /// Takes a request, or says why not.
    pub(crate) fn submit(
        &mut self,
        submission: Submission,
        now: Duration,
    ) -> Result<mpsc::Receiver<Piece>, Refusal> {
        self.check(submission.version.as_deref())?;
        let (pieces, receiver) = mpsc::channel(stream::BUFFERED_PIECES);
        let handle = self.batch.push(submission.job);
        let reader = Reader {
            pieces,
            entry: self.readers.ledger.len(),
            kills: submission.kills,
        };
        self.readers.open.insert(handle, reader);
        self.readers.ledger.push(submission.entry);
        self.observe(now);
        Ok(receiver)
    }

    fn check(&self, version: Option<&str>) -> Result<(), Refusal> {
        if self.faults.refuse {
            return Err(Refusal::Ordered);
        }
        if self.state != endpoint::State::Ready {
            return Err(Refusal::NotReady);
        }
        if version.is_some_and(|version| version != self.version.as_str()) {
            return Err(Refusal::OtherVersion);
        }
        Ok(())
    }

    /// Starts a step.
    pub(crate) fn begin(&mut self, now: Duration) -> Begin {
        self.drop_gone();
        let Some(step) = self.batch.begin(now) else {
            return Begin::Idle;
        };
        for start in step.started {
            let Some(reader) = self.readers.open.get(&start.handle) else {
                continue;
            };
            let entry = &mut self.readers.ledger[reader.entry];
            entry.cached_tokens = start.cached_tokens;
            if reader.kills {
                return Begin::Crash;
            }
        }
        self.observe(now);
        Begin::Step(step.duration)
    }

    /// Ends a step.
    pub(crate) fn end(&mut self, now: Duration) {
        self.batch.end(now, &mut self.readers);
        for change in std::mem::take(&mut self.readers.changes) {
            self.publish(change, now);
        }
        self.observe(now);
    }

    /// Loses everything that a crashed process loses.
    pub(crate) fn crash(&mut self) {
        for reader in self.readers.open.values() {
            self.readers.ledger[reader.entry].outcome = Outcome::Crashed;
        }
        self.readers.open.clear();
        self.batch = empty_batch(&self.options);
        self.incarnation.0 += 1;
        let seed = self.options.seed ^ self.incarnation.0;
        self.feed = Feed::new(seed, self.options.event_delay);
        self.history = History::default();
        self.state = endpoint::State::Ready;
        self.fence = id::Fence::default();
        self.epoch += 1;
        self.down = true;
    }

    /// Takes an order; `true` where weights are now to be loaded.
    pub(crate) fn order(&mut self, order: &endpoint::Order) -> Result<bool, Refusal> {
        if self.options.fencing == Fencing::Checked && order.fence < self.fence {
            return Err(Refusal::Fenced);
        }
        self.fence = self.fence.max(order.fence);
        match &order.goal {
            endpoint::Goal::Drain => {
                self.epoch += 1;
                self.state = endpoint::State::Draining;
                Ok(false)
            }
            endpoint::Goal::Load { version, .. } => {
                if self.state == endpoint::State::Ready && *version == self.version {
                    return Ok(false);
                }
                self.epoch += 1;
                self.state = endpoint::State::Loading;
                Ok(true)
            }
        }
    }

    /// Ends a load.
    pub(crate) fn loaded(&mut self, version: id::Version, now: Duration) {
        self.batch = empty_batch(&self.options);
        self.feed.push(endpoint::Change::Cleared, now);
        self.version = version;
        self.state = endpoint::State::Ready;
        self.observe(now);
    }

    /// Whether nothing runs or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.batch.is_empty()
    }

    /// Brings about the faults that need no more than a note.
    pub(crate) fn apply(&mut self, fault: Fault) {
        let faults = &mut self.faults;
        match fault {
            Fault::Refuse => faults.refuse = true,
            Fault::CutStreams {
                count,
                after_tokens,
            } => {
                faults.cut_streams = count;
                faults.cut_after = after_tokens;
            }
            Fault::LoseAnswers { count } => faults.lose_answers = count,
            Fault::WrongIds { count } => faults.wrong_ids = count,
            Fault::StaleRefusals { count, status } => {
                faults.stale_refusals = count;
                faults.stale_status = status;
            }
            Fault::Events { lost, delay_ms } => {
                self.feed.disturb(lost, Duration::from_millis(delay_ms));
            }
            Fault::CrashOn { marker, down_ms } => {
                faults.marker = marker;
                faults.marker_down_ms = down_ms;
            }
            Fault::Cut { hosts } => faults.cut = hosts,
            Fault::Clear => {
                *faults = Faults::default();
                self.feed.disturb(0.0, self.options.event_delay);
            }
            Fault::Crash { .. } | Fault::Freeze => {}
        }
    }

    /// The report that is published now.
    pub(crate) fn report(&mut self, now: Duration) -> endpoint::Report {
        self.observe(now);
        let lag = self.options.report_lag;
        let report = self.history.lagging(now, lag);
        report.unwrap_or_else(|| self.true_report(now))
    }

    /// The report without its lag.
    pub(crate) fn true_report(&self, now: Duration) -> endpoint::Report {
        let rates = self.options.rates;
        endpoint::Report {
            endpoint: self.options.endpoint.clone(),
            incarnation: self.incarnation,
            state: self.state,
            model: self.options.model.clone(),
            version: self.version.clone(),
            running: count(self.batch.running()),
            queued: count(self.batch.queued()),
            pending_tokens: self.batch.pending_tokens(now),
            slots: count(rates.slots),
            prefill_rate: rates.prefill_rate,
            cache_blocks: self.options.cache_blocks as u64,
            sequence: self.feed.sequence(),
            age_ms: 0,
        }
    }

    /// Cache events that are published now.
    pub(crate) fn events(&self, after: u64, now: Duration) -> endpoint::Page {
        endpoint::Page {
            incarnation: self.incarnation,
            events: self.feed.page(after, now),
        }
    }

    /// Blocks of a prefix that are cached.
    pub(crate) fn cached(&self, keys: &[block::Key], now: Duration) -> usize {
        self.batch.cache().peek(keys, now)
    }

    /// What really ran.
    pub(crate) fn ledger(&self) -> &[Entry] {
        &self.readers.ledger
    }

    fn drop_gone(&mut self) {
        let open = self.readers.open.iter();
        let gone: Vec<Handle> = open
            .filter(|(_, reader)| reader.pieces.is_closed())
            .map(|(handle, _)| *handle)
            .collect();
        for handle in gone {
            self.batch.remove(handle);
            self.readers.cancel(handle);
        }
    }

    fn publish(&mut self, change: Change, now: Duration) {
        if !change.stored.is_empty() {
            let keys = change.stored;
            self.feed.push(endpoint::Change::Stored { keys }, now);
        }
        if !change.removed.is_empty() {
            let keys = change.removed;
            self.feed.push(endpoint::Change::Removed { keys }, now);
        }
    }

    fn observe(&mut self, now: Duration) {
        if self.history.is_due(now) || self.batch.is_empty() {
            let report = self.true_report(now);
            self.history.push(report, now);
        }
    }
}

impl Sink for Readers {
    fn offer(&mut self, handle: Handle, position: u64) -> Offer {
        let Some(reader) = self.open.get(&handle) else {
            return Offer::Gone;
        };
        // The last place is kept for the end of the answer.
        if !reader.pieces.is_closed() && reader.pieces.capacity() <= 1 {
            return Offer::Full;
        }
        match reader.pieces.try_send(Piece::Token(position)) {
            Ok(()) => {
                self.ledger[reader.entry].tokens += 1;
                Offer::Taken
            }
            Err(_) => Offer::Gone,
        }
    }

    fn finish(&mut self, handle: Handle) {
        let Some(reader) = self.open.remove(&handle) else {
            return;
        };
        let entry = &mut self.ledger[reader.entry];
        entry.outcome = Outcome::Complete;
        let cached_tokens = entry.cached_tokens;
        let _ = reader.pieces.try_send(Piece::End { cached_tokens });
    }

    fn cancel(&mut self, handle: Handle) {
        if let Some(reader) = self.open.remove(&handle) {
            self.ledger[reader.entry].outcome = Outcome::Cancelled;
        }
    }

    fn change(&mut self, change: Change) {
        self.changes.push(change);
    }
}

fn empty_batch(options: &Options) -> Batch {
    let cache = Cache::new(options.cache_blocks, options.cache_lifetime);
    Batch::new(options.rates, cache)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
