//! An in-memory log that takes fault orders.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use papayayard_platform::bound::Bound;
use papayayard_platform::service::{self, Error, Query};
use papayayard_wire::{id, log as stream};
use tokio::sync::watch;
use tokio::time;

/// Longest wait for records.
const PATIENCE: Duration = Duration::from_hours(1);
/// Time limit of a call, as settings have it by default.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What happens to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code, reason = "the tests of claims use the rest")]
pub(super) enum Fault {
    /// It has no effect, and the client knows.
    Unreachable,
    /// It has effect, and the answer is lost.
    LostAfter,
    /// It has no effect, and the answer is lost.
    LostBefore,
}

/// What happens to all calls while the log is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outage {
    /// No connection can be made, and open calls end.
    Unreachable,
    /// Calls end without an answer.
    Reset,
    /// Calls are answered with this status.
    Refused(u16),
    /// Calls stand still until the log is back.
    Frozen,
    /// Calls are never answered; only those made after the log's return are.
    Silent,
}

#[derive(Default)]
struct Kept {
    first: u64,
    records: Vec<stream::Record>,
}

#[derive(Default)]
struct Inner {
    streams: HashMap<id::Stream, Kept>,
    faults: Vec<Fault>,
    outage: Option<Outage>,
    silences: usize,
    delay: Duration,
    reads: Vec<time::Instant>,
    appends: usize,
    time_ms: u64,
}

/// An in-memory log.
#[derive(Clone)]
pub(super) struct Log {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
}

impl Log {
    pub(super) fn new() -> Self {
        Self {
            inner: Arc::default(),
            changed: watch::channel(0).0,
        }
    }

    /// Stores a record as another client would.
    pub(super) fn put(&self, name: &str, payload: &str) {
        let payload = serde_json::value::RawValue::from_string(payload.to_owned()).unwrap();
        let id = id::Record::from(format!("other{}", self.records(name).len()));
        let records = vec![stream::Draft { id, payload }];
        self.store(&id::Stream::from(name), &stream::Batch { records });
    }

    /// Forgets the records before `first`.
    pub(super) fn forget(&self, name: &str, first: u64) {
        let mut inner = self.inner.lock().unwrap();
        inner
            .streams
            .entry(id::Stream::from(name))
            .or_default()
            .first = first;
    }

    /// Faults of the next appends, in order.
    #[allow(dead_code, reason = "the tests of claims use it")]
    pub(super) fn fail(&self, faults: &[Fault]) {
        self.inner.lock().unwrap().faults = faults.iter().rev().copied().collect();
    }

    /// Ends or restores all service.
    pub(super) fn set_down(&self, is_down: bool) {
        self.set_outage(is_down.then_some(Outage::Unreachable));
    }

    /// Begins or ends an outage.
    pub(super) fn set_outage(&self, outage: Option<Outage>) {
        let mut inner = self.inner.lock().unwrap();
        inner.outage = outage;
        inner.silences += usize::from(outage == Some(Outage::Silent));
        drop(inner);
        self.changed.send_modify(|version| *version += 1);
    }

    /// Sets the time that passes before a call has any effect.
    pub(super) fn set_delay(&self, delay: Duration) {
        self.inner.lock().unwrap().delay = delay;
    }

    /// Reads that began since `from`.
    pub(super) fn reads_since(&self, from: time::Instant) -> usize {
        let inner = self.inner.lock().unwrap();
        inner.reads.iter().filter(|at| **at >= from).count()
    }

    /// Sets the log's clock.
    pub(super) fn set_time(&self, time_ms: u64) {
        self.inner.lock().unwrap().time_ms = time_ms;
    }

    /// Appends that were asked for.
    pub(super) fn appends(&self) -> usize {
        self.inner.lock().unwrap().appends
    }

    /// Payloads of a stream.
    pub(super) fn records(&self, name: &str) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let kept = inner.streams.get(&id::Stream::from(name));
        kept.map_or_else(Vec::new, |kept| {
            let payloads = kept.records.iter();
            payloads
                .map(|record| record.payload.get().to_owned())
                .collect()
        })
    }

    /// Waits until a stream has `count` records.
    pub(super) async fn wait_for(&self, name: &str, count: usize) {
        let mut changed = self.changed.subscribe();
        let deadline = time::Instant::now() + PATIENCE;
        while self.records(name).len() < count {
            let wait = time::timeout_at(deadline, changed.changed());
            wait.await.expect("the records are there").unwrap();
        }
    }

    fn store(&self, name: &id::Stream, batch: &stream::Batch) -> stream::Offsets {
        let mut inner = self.inner.lock().unwrap();
        let time_ms = inner.time_ms;
        let kept = inner.streams.entry(name.clone()).or_default();
        let first = stream::Offset(kept.records.len() as u64);
        for draft in &batch.records {
            let offset = stream::Offset(kept.records.len() as u64);
            kept.records.push(stream::Record {
                offset,
                id: draft.id.clone(),
                time_ms,
                payload: draft.payload.clone(),
            });
        }
        drop(inner);
        self.changed.send_modify(|version| *version += 1);
        stream::Offsets { first }
    }

    fn page(&self, name: &id::Stream, query: &Query) -> stream::Page {
        let mut inner = self.inner.lock().unwrap();
        let kept = inner.streams.entry(name.clone()).or_default();
        let from = query.from.0.max(kept.first);
        let records = kept.records.iter().skip(usize::try_from(from).unwrap());
        stream::Page {
            first: stream::Offset(kept.first),
            end: stream::Offset(kept.records.len() as u64),
            records: records.take(query.limit as usize).cloned().collect(),
        }
    }

    fn fault(&self) -> Option<Fault> {
        self.inner.lock().unwrap().faults.pop()
    }

    /// Silences so far, by which a call knows that it gets no answer any more.
    fn silences(&self) -> usize {
        self.inner.lock().unwrap().silences
    }

    async fn delay(&self) {
        let delay = self.inner.lock().unwrap().delay;
        time::sleep(delay).await;
    }

    /// Lets a call pass that began after so many `silences`.
    async fn pass(&self, silences: usize) -> Result<(), Error> {
        let mut changed = self.changed.subscribe();
        loop {
            if self.silences() != silences {
                std::future::pending::<()>().await;
            }
            let outage = self.inner.lock().unwrap().outage;
            match outage {
                None => return Ok(()),
                Some(Outage::Unreachable) => return Err(unreachable()),
                Some(Outage::Reset) => return Err(lost()),
                Some(Outage::Refused(status)) => return Err(refused(status)),
                Some(Outage::Silent) => std::future::pending().await,
                Some(Outage::Frozen) => changed.changed().await.unwrap(),
            }
        }
    }

    async fn append_once(
        &self,
        name: &id::Stream,
        batch: &stream::Batch,
    ) -> Result<stream::Offsets, Error> {
        let silences = self.silences();
        self.inner.lock().unwrap().appends += 1;
        self.delay().await;
        self.pass(silences).await?;
        match self.fault() {
            Some(Fault::Unreachable) => Err(unreachable()),
            Some(Fault::LostBefore) => Err(lost()),
            Some(Fault::LostAfter) => {
                self.store(name, batch);
                Err(lost())
            }
            None => Ok(self.store(name, batch)),
        }
    }

    async fn read_once(
        &self,
        name: &id::Stream,
        query: &Query,
        wait: Duration,
    ) -> Result<stream::Page, Error> {
        let silences = self.silences();
        self.inner.lock().unwrap().reads.push(time::Instant::now());
        self.delay().await;
        let mut changed = self.changed.subscribe();
        let deadline = time::Instant::now() + wait;
        loop {
            self.pass(silences).await?;
            let page = self.page(name, query);
            if !page.records.is_empty() || time::Instant::now() >= deadline {
                return Ok(page);
            }
            // Outages decide on a read that nothing was added for, too.
            let _ = time::timeout_at(deadline, changed.changed()).await;
        }
    }
}

impl service::Log for Log {
    async fn append(
        &self,
        name: &id::Stream,
        batch: &stream::Batch,
    ) -> Result<stream::Offsets, Error> {
        let append = |_| self.append_once(name, batch);
        Bound::new(CALL_TIMEOUT).call(Duration::ZERO, append).await
    }

    async fn read(&self, name: &id::Stream, query: &Query) -> Result<stream::Page, Error> {
        let read = |wait| self.read_once(name, query, wait);
        Bound::new(CALL_TIMEOUT).call(query.wait, read).await
    }
}

fn unreachable() -> Error {
    Error::Unreachable {
        address: "fake".to_owned(),
        reason: "down".to_owned(),
    }
}

fn lost() -> Error {
    Error::Lost {
        reason: "fake".to_owned(),
    }
}

fn refused(status: u16) -> Error {
    Error::Status {
        status,
        body: "away".to_owned(),
    }
}
