//! An in-memory log that takes fault orders.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use papayayard_platform::service::{self, Error, Query};
use papayayard_wire::{id, log as stream};
use tokio::sync::watch;
use tokio::time;

/// Longest wait for records.
const PATIENCE: Duration = Duration::from_hours(1);

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

#[derive(Default)]
struct Kept {
    first: u64,
    records: Vec<stream::Record>,
}

#[derive(Default)]
struct Inner {
    streams: HashMap<id::Stream, Kept>,
    faults: Vec<Fault>,
    is_down: bool,
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
        self.inner.lock().unwrap().is_down = is_down;
        self.changed.send_modify(|version| *version += 1);
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

    fn page(&self, name: &id::Stream, query: &Query) -> Result<stream::Page, Error> {
        let mut inner = self.inner.lock().unwrap();
        if inner.is_down {
            return Err(unreachable());
        }
        let kept = inner.streams.entry(name.clone()).or_default();
        let from = query.from.0.max(kept.first);
        let records = kept.records.iter().skip(usize::try_from(from).unwrap());
        Ok(stream::Page {
            first: stream::Offset(kept.first),
            end: stream::Offset(kept.records.len() as u64),
            records: records.take(query.limit as usize).cloned().collect(),
        })
    }

    fn fault(&self) -> Option<Fault> {
        let mut inner = self.inner.lock().unwrap();
        inner.appends += 1;
        if inner.is_down {
            return Some(Fault::Unreachable);
        }
        inner.faults.pop()
    }
}

impl service::Log for Log {
    async fn append(
        &self,
        name: &id::Stream,
        batch: &stream::Batch,
    ) -> Result<stream::Offsets, Error> {
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

    async fn read(&self, name: &id::Stream, query: &Query) -> Result<stream::Page, Error> {
        let mut changed = self.changed.subscribe();
        let deadline = time::Instant::now() + query.wait;
        loop {
            let page = self.page(name, query)?;
            if !page.records.is_empty() || time::Instant::now() >= deadline {
                return Ok(page);
            }
            if time::timeout_at(deadline, changed.changed()).await.is_err() {
                return Ok(page);
            }
        }
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
