//! Writes this host's crash reports to the platform's log, and writes recent ones again to a
//! log that was restored, since it may have lost them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use papayayard_coordination::journal::Backoff;
use papayayard_wire::id;
use tokio::sync::mpsc;
use tokio::time;

use super::report::Report;
use crate::call::Caller;
use crate::follow::Store;
use crate::store::{Codec, Topic};

/// Delay that groups reports: the requests that were open at one endpoint learn of its
/// crash one after the other.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Bounds of the backoff after a failed write.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of records pending while the log is unavailable; the records with the
/// lowest keys are kept.
const MAX_PENDING: usize = 1_024;

/// Time for which written records are kept, longer than the age of a copy from which the log
/// is restored.
const REWRITE_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of written records kept; the newest are kept.
const MAX_WRITTEN: usize = 128;

/// A record to be written; an empty value removes the key.
struct Append {
    key: String,
    value: Vec<u8>,
}

/// Sending side of the queue of records to be written.
#[derive(Clone)]
pub(super) struct Outbox {
    host: id::Host,
    appends: mpsc::UnboundedSender<Append>,
}

/// Receiving side of the queue of records to be written.
pub(crate) struct Queue(mpsc::UnboundedReceiver<Append>);

impl Outbox {
    /// Creates both sides of the queue.
    pub(super) fn new(host: &id::Host) -> (Self, Queue) {
        let (appends, queue) = mpsc::unbounded_channel();
        let outbox = Self {
            host: host.clone(),
            appends,
        };
        (outbox, Queue(queue))
    }

    /// Queues a report for writing.
    pub(super) fn send(&self, report: &Report) {
        match serde_json::to_vec(report) {
            Ok(value) => self.push(report.key(&self.host), value),
            Err(error) => log::error!(error:%; "a crash report cannot be encoded"),
        }
    }

    /// Queues the removal of a record.
    pub(super) fn drop_record(&self, key: &str) {
        self.push(key.to_owned(), Vec::new());
    }

    fn push(&self, key: String, value: Vec<u8>) {
        if self.appends.send(Append { key, value }).is_err() {
            log::debug!("host shut down before a crash report was written");
        }
    }
}

/// Records written lately, with the times of the writes.
#[derive(Default)]
struct Written(VecDeque<(Duration, Append)>);

impl Written {
    fn push(&mut self, append: Append, now: Duration) {
        let oldest = now.saturating_sub(REWRITE_RETENTION);
        while self.0.len() >= MAX_WRITTEN || self.0.front().is_some_and(|(at, _)| *at < oldest) {
            self.0.pop_front();
        }
        self.0.push_back((now, append));
    }

    /// Moves all records to those to be written, unless there are newer ones of their keys.
    fn restore(&mut self, pending: &mut BTreeMap<String, Vec<u8>>, now: Duration) {
        let oldest = now.saturating_sub(REWRITE_RETENTION);
        while let Some((at, append)) = self.0.pop_back() {
            if at >= oldest {
                pending.entry(append.key).or_insert(append.value);
            }
        }
    }
}

/// Writes queued records for as long as the process runs.
pub(crate) async fn write<Platform>(store: Store<Platform>, mut appends: Queue)
where
    Platform: Codec,
{
    let mut caller = Caller::new(store.address);
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    let mut pending: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    let mut written = Written::default();
    let mut eras = store.eras.subscribe();
    let mut era = *eras.borrow_and_update();
    loop {
        if pending.is_empty() {
            tokio::select! {
                append = appends.0.recv() => {
                    let Some(append) = append else {
                        return;
                    };
                    pending.insert(append.key, append.value);
                    time::sleep(BATCH_DELAY).await;
                }
                Ok(()) = eras.changed() => {}
            }
        }
        let newest = *eras.borrow_and_update();
        if newest > std::mem::replace(&mut era, newest) {
            written.restore(&mut pending, store.clock.now());
        }
        while let Ok(append) = appends.0.try_recv() {
            pending.insert(append.key, append.value);
        }
        while pending.len() > MAX_PENDING {
            if let Some((key, _)) = pending.pop_last() {
                log::warn!(key = key.as_str(); "crash report dropped: the log is unavailable and the queue is full");
            }
        }
        let Some((key, value)) = pending.pop_first() else {
            continue;
        };
        let record = (key.as_str(), value.as_slice());
        match store.append(&mut caller, Topic::Ends, None, record).await {
            Ok(_) => {
                backoff.succeed();
                written.push(Append { key, value }, store.clock.now());
            }
            Err(error) => {
                log::info!(key = key.as_str(), error:%; "an endpoint's end was not told; trying again");
                pending.entry(key).or_insert(value);
                time::sleep(backoff.fail(rand::random())).await;
            }
        }
    }
}
