//! Claims idempotency keys in the log, one task for each claim stream.
//!
//! A task owns its stream's state and connection. Requests reach it by
//! messages; a request that may run holds a [`Permit`], whose drop settles it.

mod refusals;

use std::collections::HashMap;
use std::time::Duration;

use papayayard_coordination::claim::{
    self, Claimant, Decision, Limits, Options, Reason, Request, Settlement, Ticket,
};
use papayayard_coordination::journal::{self, Action, Failure, Gap};
use papayayard_platform::service;
use papayayard_wire::claim::{Answer, Digest, Entry, Event, Outcome};
use papayayard_wire::{directory, id, log as stream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time;

use crate::clock::Clock;
use crate::controllers::journal::Tail;
use crate::metrics::Metrics;
use crate::refusal::Refusal;

/// Appends a second of all hosts together, below the log's 300.
const APPENDS_PER_SECOND: u32 = 250;
/// Least time between two appends of a host.
const MIN_PERIOD: Duration = Duration::from_millis(5);
/// Time that a key is remembered, which is below the log's retention.
const KEEP: Duration = Duration::from_hours(2);
/// Most keys that are remembered.
const MAX_KEYS: usize = 600_000;
/// Most bytes of an outcome's body that are kept.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Time after which a request without outcome counts as unknown.
const OUTCOME_WITHIN: Duration = Duration::from_mins(2);
/// Most records that wait for the log.
const MAX_WAITING: usize = 4_096;
/// Most records of a batch.
const MAX_BATCH: usize = 512;
/// Wait after the first failed append.
const BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after a failed append.
const BACKOFF_CAP: Duration = Duration::from_secs(1);
/// Parts of the stream that wait.
const FEED: usize = 4;

/// What the claims' tasks work with.
#[derive(Clone)]
pub(crate) struct Sources<Log> {
    /// The platform's log.
    pub(crate) log: Log,
    /// This host.
    pub(crate) host: id::Host,
    /// The platform's list, which gives the number of hosts.
    pub(crate) list: watch::Receiver<Option<directory::List>>,
    /// Hosts that are known without the list.
    pub(crate) known_hosts: usize,
    /// Clock of the deadlines.
    pub(crate) clock: Clock,
    /// Counters.
    pub(crate) metrics: Metrics,
}

/// Way to the claims' tasks; the last one's drop ends them.
#[derive(Clone)]
pub(crate) struct Handle {
    shards: Vec<mpsc::UnboundedSender<Command>>,
}

/// What may be done with a keyed request.
pub(crate) enum Claimed {
    /// Send it, and settle the permit.
    Run(Permit),
    /// Answer with the outcome of the key's first request.
    Replay(Answer),
}

/// Leave to send a keyed request once.
///
/// Dropped before [`Permit::start`] it counts as not run, after it as unknown.
pub(crate) struct Permit {
    ticket: Ticket,
    drop_as: Settlement,
    shard: mpsc::UnboundedSender<Command>,
}

impl Permit {
    /// Notes that the request is about to be sent.
    pub(crate) fn start(&mut self) {
        self.drop_as = Settlement::Unknown;
    }

    /// Notes that nothing was sent after all.
    pub(crate) fn retract(&mut self) {
        self.drop_as = Settlement::NotRun;
    }

    /// Ends the request.
    pub(crate) fn settle(mut self, settlement: Settlement) {
        self.drop_as = settlement;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let settlement = std::mem::replace(&mut self.drop_as, Settlement::Unknown);
        // The task outlives its permits unless the host is ending.
        let _ = self.shard.send(Command::Settle(self.ticket, settlement));
    }
}

enum Command {
    Claim(Request, oneshot::Sender<Result<Claimed, Refusal>>),
    Settle(Ticket, Settlement),
    Flush(oneshot::Sender<()>),
}

impl Handle {
    /// Claims a key; refuses by `deadline` at the latest.
    pub(crate) async fn claim(
        &self,
        key: Digest,
        request: Digest,
        deadline: Duration,
    ) -> Result<Claimed, Refusal> {
        let request = Request {
            key,
            request,
            deadline,
        };
        let (sender, receiver) = oneshot::channel();
        let shard = &self.shards[usize::from(claim::shard(key))];
        let sent = shard.send(Command::Claim(request, sender));
        sent.map_err(|_| refusals::of(Reason::Unavailable))?;
        receiver
            .await
            .unwrap_or_else(|_| Err(refusals::of(Reason::Unavailable)))
    }

    /// Waits until all outcomes are in the log.
    pub(crate) async fn flush(&self) {
        for shard in &self.shards {
            let (sender, receiver) = oneshot::channel();
            if shard.send(Command::Flush(sender)).is_ok() {
                let _ = receiver.await;
            }
        }
    }
}

/// Starts the tasks, which end with the last handle and permit.
pub(crate) fn start<Log>(sources: &Sources<Log>) -> Handle
where
    Log: service::Log + Clone,
{
    let shards = (0..claim::SHARDS)
        .map(|shard| {
            let (sender, commands) = mpsc::unbounded_channel();
            let task = Task::new(sources.clone(), shard, sender.downgrade(), commands);
            tokio::spawn(task.run());
            sender
        })
        .collect();
    Handle { shards }
}

/// A part of the stream, in order.
struct Portion {
    /// Set where the records before it are gone.
    skip_to: Option<stream::Offset>,
    records: Vec<stream::Record>,
    next: stream::Offset,
}

type Appended = Result<stream::Offsets, service::Error>;

enum Done {
    Appended(Appended),
    LookedUp(Result<stream::Page, service::Error>),
}

struct Task<Log> {
    sources: Sources<Log>,
    name: id::Stream,
    claimant: Claimant,
    own: mpsc::WeakUnboundedSender<Command>,
    commands: mpsc::UnboundedReceiver<Command>,
    replies: HashMap<Ticket, oneshot::Sender<Result<Claimed, Refusal>>>,
    calls: JoinSet<Done>,
    flushes: Vec<oneshot::Sender<()>>,
    has_skipped: bool,
}

impl<Log> Task<Log>
where
    Log: service::Log + Clone,
{
    fn new(
        sources: Sources<Log>,
        shard: u8,
        own: mpsc::WeakUnboundedSender<Command>,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Self {
        Self {
            name: claim::stream_name(shard),
            claimant: Claimant::new(options(&sources.host)),
            sources,
            own,
            commands,
            replies: HashMap::new(),
            calls: JoinSet::new(),
            flushes: Vec::new(),
            has_skipped: false,
        }
    }

    async fn run(mut self) {
        let tail = Tail::new(self.sources.log.clone(), self.name.clone());
        let (sender, mut feed) = mpsc::channel(FEED);
        tokio::spawn(read(tail, sender));
        loop {
            let wake = self.pump();
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                Some(portion) = feed.recv() => self.take(&portion),
                Some(Ok(done)) = self.calls.join_next() => self.done(done),
                () = sleep_until(self.sources.clock, wake) => {}
            }
            self.claimant.expire(self.sources.clock.now());
            self.answer();
        }
    }

    /// Starts what the writer wants; gives the next time to look again.
    fn pump(&mut self) -> Option<Duration> {
        let period = self.period();
        let deadline = self.claimant.deadline();
        let writer = self.claimant.writer();
        writer.set_period(period);
        if writer.waiting() == 0 {
            for flush in self.flushes.drain(..) {
                let _ = flush.send(());
            }
        }
        match writer.next(self.sources.clock.now()) {
            Action::Append(batch) => self.append(batch),
            Action::LookUp(from) => self.look_up(from),
            Action::Wait(until) => {
                return Some(deadline.map_or(until, |deadline| deadline.min(until)));
            }
            Action::Idle => {}
        }
        deadline
    }

    /// Time between two appends with which all hosts stay within the budget.
    fn period(&self) -> Duration {
        let list = &self.sources.list;
        let listed = list.borrow().as_ref().map_or(0, |list| list.hosts.len());
        let hosts = listed.max(self.sources.known_hosts).max(1);
        let streams = hosts * usize::from(claim::SHARDS);
        let streams = u32::try_from(streams).unwrap_or(u32::MAX);
        (Duration::from_secs(1) * streams / APPENDS_PER_SECOND).max(MIN_PERIOD)
    }

    fn append(&mut self, batch: stream::Batch) {
        let log = self.sources.log.clone();
        let name = self.name.clone();
        self.calls
            .spawn(async move { Done::Appended(log.append(&name, &batch).await) });
    }

    fn look_up(&mut self, from: stream::Offset) {
        let log = self.sources.log.clone();
        let name = self.name.clone();
        let query = service::Query {
            from,
            limit: 256,
            wait: Duration::ZERO,
        };
        self.calls
            .spawn(async move { Done::LookedUp(log.read(&name, &query).await) });
    }

    fn command(&mut self, command: Command) {
        let now = self.sources.clock.now();
        match command {
            Command::Claim(request, reply) => {
                let ticket = self.claimant.claim(request, now);
                self.replies.insert(ticket, reply);
            }
            Command::Settle(ticket, settlement) => self.claimant.settle(ticket, settlement),
            Command::Flush(reply) => self.flushes.push(reply),
        }
    }

    fn take(&mut self, portion: &Portion) {
        let now = self.sources.clock.now();
        if let Some(first) = portion.skip_to {
            self.claimant.skip_to(first);
        }
        for record in &portion.records {
            if let Err(skip) = self.claimant.apply(record, now) {
                self.skipped(record, skip);
            }
        }
        self.claimant.writer().observe(portion.next);
    }

    fn done(&mut self, done: Done) {
        let now = self.sources.clock.now();
        let writer = self.claimant.writer();
        match done {
            Done::Appended(Ok(offsets)) => {
                writer.appended(&offsets);
            }
            Done::Appended(Err(error)) => {
                if writer.failures() == 0 {
                    log::warn!(stream:% = self.name; "claims cannot be appended: {error}");
                }
                let failure = failure(&error);
                self.sources.metrics.append_failed(failure.as_str());
                writer.failed(failure, now, rand::random());
            }
            Done::LookedUp(Ok(page)) => {
                writer.looked_up(&page);
                if let Some(from) = writer.lookup_offset() {
                    self.look_up(from);
                }
            }
            Done::LookedUp(Err(_)) => writer.look_up_failed(now, rand::random()),
        }
    }

    fn answer(&mut self) {
        while let Some((ticket, decision)) = self.claimant.next_decision() {
            let Some(reply) = self.replies.remove(&ticket) else {
                continue;
            };
            match decision {
                Decision::Run => self.permit(ticket, reply),
                Decision::Replay(offset) => self.replay(offset, reply),
                Decision::Refuse(reason) => {
                    let _ = reply.send(Err(refusals::of(reason)));
                }
            }
        }
    }

    fn permit(&mut self, ticket: Ticket, reply: oneshot::Sender<Result<Claimed, Refusal>>) {
        let Some(shard) = self.own.upgrade() else {
            return;
        };
        let drop_as = Settlement::NotRun;
        // With the caller gone the permit comes back and is dropped.
        let _ = reply.send(Ok(Claimed::Run(Permit {
            ticket,
            drop_as,
            shard,
        })));
    }

    /// Reads an outcome from the log, so that memory need not hold it.
    fn replay(&self, offset: stream::Offset, reply: oneshot::Sender<Result<Claimed, Refusal>>) {
        let log = self.sources.log.clone();
        let name = self.name.clone();
        tokio::spawn(async move {
            let query = service::Query {
                from: offset,
                limit: 1,
                wait: Duration::ZERO,
            };
            let page = log.read(&name, &query).await;
            let answer = page.ok().and_then(|page| outcome(&page, offset));
            let _ = reply.send(answer.map(Claimed::Replay).ok_or_else(refusals::unreadable));
        });
    }

    fn skipped(&mut self, record: &stream::Record, skip: claim::Skip) {
        let offset = record.offset.0;
        self.sources.metrics.recorded("claims", skip.as_str());
        if self.has_skipped {
            log::debug!(stream:% = self.name, offset; "record skipped as {}", skip.as_str());
        } else {
            self.has_skipped = true;
            log::warn!(stream:% = self.name, offset; "record skipped as {}", skip.as_str());
        }
    }
}

/// Reads the stream in a task of its own, so that messages to the claims' task
/// never end a read early.
async fn read<Log>(mut tail: Tail<Log>, feed: mpsc::Sender<Portion>)
where
    Log: service::Log,
{
    while !feed.is_closed() {
        let page = tail.page().await;
        let (gap, records) = tail.take(&page);
        let records = records.to_vec();
        let skip_to = gap.and_then(|gap| match gap {
            Gap::Missed { to, .. } => Some(to),
            Gap::Rewound { .. } => None,
        });
        let portion = Portion {
            skip_to,
            records,
            next: tail.reader.next(),
        };
        if feed.send(portion).await.is_err() {
            return;
        }
    }
}

async fn sleep_until(clock: Clock, wake: Option<Duration>) {
    match wake {
        Some(wake) => time::sleep(wake.saturating_sub(clock.now())).await,
        None => std::future::pending().await,
    }
}

fn options(host: &id::Host) -> Options {
    Options {
        host: host.clone(),
        run: rand::random(),
        limits: Limits {
            key_ttl_ms: u64::try_from(KEEP.as_millis()).unwrap_or(u64::MAX),
            max_keys: MAX_KEYS / usize::from(claim::SHARDS),
        },
        writer: journal::Limits {
            batch: MAX_BATCH,
            queue: MAX_WAITING,
            period: MIN_PERIOD,
            backoff: BACKOFF,
            backoff_cap: BACKOFF_CAP,
        },
        outcome_timeout: OUTCOME_WITHIN,
        mark_interval: (KEEP / 4).mul_f64(1.0 + rand::random::<f64>()),
        max_body_bytes: MAX_BODY_BYTES,
    }
}

fn failure(error: &service::Error) -> Failure {
    match error {
        service::Error::Unreachable { .. } | service::Error::Status { status: 429, .. } => {
            Failure::NotSent
        }
        service::Error::Status {
            status: 400..500, ..
        } => Failure::Refused,
        service::Error::Lost { .. }
        | service::Error::Malformed { .. }
        | service::Error::Status { .. } => Failure::Lost,
    }
}

fn outcome(page: &stream::Page, offset: stream::Offset) -> Option<Answer> {
    let record = page.records.first()?;
    let entry: Entry = serde_json::from_str(record.payload.get()).ok()?;
    match entry.event {
        Event::Outcome(Outcome::Answered(answer)) if record.offset == offset => {
            answer.body.is_some().then_some(answer)
        }
        _ => None,
    }
}
