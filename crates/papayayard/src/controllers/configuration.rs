//! Follows the log's configuration stream and the peers, and publishes what is
//! in force.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use papayayard_coordination::configuration::{Adoption, Reducer, Refresh, Snapshot, Verdict};
use papayayard_coordination::journal::Gap;
use papayayard_document::document::Document;
use papayayard_platform::service;
use papayayard_wire::configuration::{Entry, STREAM};
use papayayard_wire::{id, log as stream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::active::Active;
use crate::controllers::journal::Tail;
use crate::metrics::Metrics;

/// The configuration in force, if there is one.
pub(crate) type Current = Option<Arc<Active>>;

/// Proposals of peers that wait.
const BACKLOG: usize = 16;
/// Time that the log keeps a record at least.
const RETENTION: Duration = Duration::from_hours(24);
/// Pause after a repetition was appended.
const REPEAT_PAUSE: Duration = Duration::from_hours(3);
/// Pause after a repetition may not have been appended.
const FAILED_PAUSE: Duration = Duration::from_mins(1);
/// Time to hear of an anchor before this host offers one, or another one; doubled by
/// jitter.
const ANCHOR_WAIT: Duration = Duration::from_secs(5);

/// Ways to the peers' controller.
pub(crate) struct Link {
    /// Gets the accepted proposal.
    pub(crate) accepted: watch::Sender<Option<Entry>>,
    /// Gives proposals that peers have accepted.
    pub(crate) adopt: mpsc::Receiver<Entry>,
}

/// A link, with what the peers' controller follows and tells.
pub(crate) fn link() -> (Link, watch::Receiver<Option<Entry>>, mpsc::Sender<Entry>) {
    let (accepted, accepted_seen) = watch::channel(None);
    let (adopted, adopt) = mpsc::channel(BACKLOG);
    (Link { accepted, adopt }, accepted_seen, adopted)
}

/// Follows the stream and the peers until nobody listens any more.
pub(crate) async fn follow<Log>(
    log: Log,
    current: watch::Sender<Current>,
    link: Link,
    metrics: Metrics,
) where
    Log: service::Log + Clone,
{
    let name = id::Stream::from(STREAM);
    let mut follower = Follower {
        tail: Tail::new(log.clone(), name.clone()),
        log,
        name,
        fold: Reducer::default(),
        refresh: Refresh::new(RETENTION),
        offer_at: None,
        complained: HashSet::new(),
        wall: Wall::start(),
        current,
        link,
        metrics,
    };
    follower.run().await;
}

struct Follower<Log> {
    tail: Tail<Log>,
    log: Log,
    name: id::Stream,
    fold: Reducer<Document>,
    refresh: Refresh,
    offer_at: Option<Duration>,
    complained: HashSet<&'static str>,
    wall: Wall,
    current: watch::Sender<Current>,
    link: Link,
    metrics: Metrics,
}

impl<Log> Follower<Log>
where
    Log: service::Log,
{
    async fn run(&mut self) {
        while !self.current.is_closed() {
            tokio::select! {
                Some(entry) = self.link.adopt.recv() => self.adopt(entry),
                page = self.tail.page() => self.take(&page),
            }
            self.publish();
            if let Some(entry) = self.repetition(self.wall.now()) {
                self.repeat(&entry).await;
            }
        }
    }

    fn take(&mut self, page: &stream::Page) {
        let (gap, records) = self.tail.take(page);
        if let Some(Gap::Missed { to, .. }) = gap {
            self.fold.skip_to(to);
        }
        for record in records {
            let verdict = self.fold.apply(record);
            self.report(record, &verdict);
            if carries(&verdict) {
                let time = Duration::from_millis(record.time_ms);
                self.refresh.observe(time, rand::random());
            }
            if let Verdict::Anchored { resume } = verdict {
                self.tail.reader.seek(resume);
                return;
            }
        }
    }

    fn adopt(&mut self, entry: Entry) {
        let adoption = self.fold.adopt(Snapshot {
            proposal: entry.proposal,
            read_to: entry.read_to,
        });
        match adoption {
            Adoption::Adopted { resume } => {
                if let Some(resume) = resume {
                    self.tail.reader.seek(resume);
                }
                // The age of the record is not known, so it counts as half
                // through its retention.
                let carried = self.wall.now().saturating_sub(RETENTION / 2);
                self.refresh.observe(carried, rand::random());
            }
            Adoption::NotNewer => {}
            Adoption::Conflict => self.complain(
                "conflict",
                "a peer holds another document for the accepted revision; publish a new revision",
            ),
            Adoption::Rejected(rejection) => self.complain(
                rejection.as_str(),
                &format!("a peer's configuration is rejected: {rejection}"),
            ),
        }
    }

    fn publish(&mut self) {
        let (Some(active), Some(snapshot)) = (self.fold.active(), self.fold.snapshot()) else {
            return;
        };
        let proposal = &active.proposal;
        let known = self.current.borrow().as_ref().map(|known| known.revision);
        if known != Some(proposal.revision) {
            let document = active.document.clone();
            let active = Active::new(proposal.revision, proposal.digest.clone(), document);
            log::info!(revision = active.revision.0; "configuration in force");
            self.current.send_replace(Some(Arc::new(active)));
        }
        let entry = Entry {
            proposal: snapshot.proposal,
            read_to: snapshot.read_to,
        };
        self.link.accepted.send_if_modified(|known| {
            let is_changed = known.as_ref() != Some(&entry);
            *known = Some(entry);
            is_changed
        });
    }

    /// What is to be appended at `now`: the accepted proposal before the log
    /// forgets it, or an anchor where nobody else has given one.
    fn repetition(&mut self, now: Duration) -> Option<Entry> {
        if !self.tail.reader.is_caught_up() {
            return None;
        }
        if self.fold.is_anchored() {
            self.offer_at = None;
            return self
                .fold
                .refresh_entry()
                .filter(|_| self.refresh.is_due(now));
        }
        let offer_at = *self.offer_at.get_or_insert_with(|| next_offer(now));
        self.fold.refresh_entry().filter(|_| now >= offer_at)
    }

    async fn repeat(&mut self, entry: &Entry) {
        self.pause(FAILED_PAUSE);
        let Ok(payload) = serde_json::value::to_raw_value(entry) else {
            return;
        };
        let draft = stream::Draft {
            id: id::Record::from(format!("{:032x}", rand::random::<u128>())),
            payload,
        };
        let records = vec![draft];
        match self
            .log
            .append(&self.name, &stream::Batch { records })
            .await
        {
            Ok(_) => {
                self.pause(REPEAT_PAUSE);
                log::info!(revision = entry.proposal.revision.0; "configuration repeated");
            }
            // A repetition that is stored twice changes nothing.
            Err(error) => log::warn!("the configuration cannot be repeated: {error}"),
        }
    }

    fn pause(&mut self, pause: Duration) {
        let now = self.wall.now();
        self.refresh.defer(now, pause);
        self.offer_at = Some(next_offer(now));
    }

    fn report(&mut self, record: &stream::Record, verdict: &Verdict) {
        let offset = record.offset.0;
        self.metrics.recorded(STREAM, verdict.as_str());
        match verdict {
            Verdict::Accepted | Verdict::Refreshed | Verdict::Anchored { .. } | Verdict::Held => {
                log::debug!(offset; "configuration record: {verdict:?}");
            }
            Verdict::Rejected(rejection) => {
                log::info!(offset; "a proposal is rejected: {rejection}");
            }
            Verdict::Skipped(skip) => self.complain(
                skip.as_str(),
                &format!(
                    "the record at offset {offset} is skipped as {}",
                    skip.as_str()
                ),
            ),
        }
    }

    /// Warns about the first case of a kind; the others are for debugging.
    fn complain(&mut self, kind: &'static str, message: &str) {
        if self.complained.insert(kind) {
            log::warn!("{message}");
        } else {
            log::debug!("{message}");
        }
    }
}

fn next_offer(now: Duration) -> Duration {
    now + ANCHOR_WAIT + ANCHOR_WAIT.mul_f64(rand::random())
}

fn carries(verdict: &Verdict) -> bool {
    matches!(
        verdict,
        Verdict::Accepted | Verdict::Refreshed | Verdict::Anchored { .. }
    )
}

/// Time since 1970, to compare with the log's clock.
#[derive(Clone, Copy, Debug)]
struct Wall {
    started: Duration,
    instant: Instant,
}

impl Wall {
    fn start() -> Self {
        Self {
            started: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
            instant: Instant::now(),
        }
    }

    fn now(self) -> Duration {
        self.started + self.instant.elapsed()
    }
}
