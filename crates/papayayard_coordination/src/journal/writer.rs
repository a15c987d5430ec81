//! Batched appends to a stream.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use papayayard_wire::{id, log};
use snafu::Snafu;

use super::Backoff;

#[derive(Clone, Debug)]
pub struct Limits {
    /// Limit of the records in a batch.
    pub batch: usize,
    /// Limit of the records that are queued or in flight.
    pub queue: usize,
    /// Minimum time between two batches.
    pub period: Duration,
    /// Wait after the first failure.
    pub backoff: Duration,
    /// Maximum wait after a failure.
    pub backoff_cap: Duration,
}

/// Error of a push to a full queue.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{waiting} records are waiting for the log; retry when the log answers"))]
pub struct Full {
    /// Number of records that are queued or in flight.
    pub waiting: usize,
}

/// Why an append returned no offsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was stored.
    NotSent,
    /// The records may have been stored.
    Lost,
    /// Nothing was stored, and a retry would fail as well.
    Refused,
}

impl Failure {
    /// Value of the metrics label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
            Self::Refused => "refused",
        }
    }
}

/// Next action of the owner of the log connection.
#[derive(Debug)]
pub enum Action {
    Append(log::Batch),
    /// Read the stream from this offset to its end and pass each page to
    /// [`Writer::looked_up`].
    LookUp(log::Offset),
    /// Do nothing before this time.
    Wait(Duration),
    /// Do nothing until a record is pushed or an answer arrives.
    Idle,
}

/// A record that was found or stored in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    pub id: id::Record,
    /// Offset of the first copy that was found.
    pub offset: log::Offset,
}

#[derive(Debug)]
enum State {
    Ready,
    Appending { from: log::Offset },
    Unconfirmed { from: log::Offset },
    LookingUp { from: log::Offset },
}

/// Appends records in batches and reports each stored record once.
#[derive(Debug)]
pub struct Writer {
    limits: Limits,
    queue: VecDeque<log::Draft>,
    in_flight: Vec<log::Draft>,
    state: State,
    not_before: Duration,
    known_end: log::Offset,
    backoff: Backoff,
}

impl Writer {
    pub fn new(limits: Limits) -> Self {
        let backoff = Backoff::new(limits.backoff, limits.backoff_cap);
        Self {
            limits,
            queue: VecDeque::new(),
            in_flight: Vec::new(),
            state: State::Ready,
            not_before: Duration::ZERO,
            known_end: log::Offset::default(),
            backoff,
        }
    }

    /// Changes the minimum time between two batches.
    pub fn set_period(&mut self, period: Duration) {
        self.limits.period = period;
    }

    /// Number of records that are queued or in flight.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.in_flight.len()
    }

    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Notes the end of the stream, from which the look-up of a later batch starts.
    pub fn observe(&mut self, end: log::Offset) {
        self.known_end = self.known_end.max(end);
    }

    pub fn push(&mut self, draft: log::Draft) -> Result<(), Full> {
        let waiting = self.waiting();
        if waiting >= self.limits.queue {
            return FullSnafu { waiting }.fail();
        }
        self.queue.push_back(draft);
        Ok(())
    }

    /// Removes a record from the queue; returns false if the record may have been sent.
    pub fn withdraw(&mut self, id: &id::Record) -> bool {
        let before = self.queue.len();
        self.queue.retain(|draft| draft.id != *id);
        self.queue.len() < before
    }

    pub fn next(&mut self, now: Duration) -> Action {
        if matches!(
            self.state,
            State::Appending { .. } | State::LookingUp { .. }
        ) {
            return Action::Idle;
        }
        if self.waiting() == 0 {
            return Action::Idle;
        }
        if now < self.not_before {
            return Action::Wait(self.not_before);
        }
        if let State::Unconfirmed { from } = self.state {
            self.state = State::LookingUp { from };
            return Action::LookUp(from);
        }
        self.not_before = now + self.limits.period;
        Action::Append(self.start_batch())
    }

    /// Handles a stored batch and returns its records.
    pub fn appended(&mut self, offsets: &log::Offsets) -> Vec<Stored> {
        self.backoff.succeed();
        self.state = State::Ready;
        let mut offset = offsets.first;
        let mut stored = Vec::with_capacity(self.in_flight.len());
        for draft in self.in_flight.drain(..) {
            stored.push(Stored {
                id: draft.id,
                offset,
            });
            offset = offset.next();
        }
        self.observe(offset);
        stored
    }

    /// Handles a batch that was not stored or may not have been.
    ///
    /// Returns the records that the log refused permanently. `jitter` is random,
    /// 0 to 1.
    pub fn failed(&mut self, failure: Failure, now: Duration, jitter: f64) -> Vec<id::Record> {
        self.not_before = self.not_before.max(now + self.backoff.fail(jitter));
        match failure {
            Failure::NotSent => {
                self.state = State::Ready;
                Vec::new()
            }
            Failure::Lost => {
                if let State::Appending { from } = self.state {
                    self.state = State::Unconfirmed { from };
                }
                Vec::new()
            }
            Failure::Refused => {
                self.state = State::Ready;
                self.in_flight.drain(..).map(|draft| draft.id).collect()
            }
        }
    }

    /// Handles a page of the look-up and returns the records found in it.
    ///
    /// Records that are not found up to the stream's end are sent again. Until
    /// then, [`Writer::lookup_offset`] returns the offset to read next.
    pub fn looked_up(&mut self, page: &log::Page) -> Vec<Stored> {
        let State::LookingUp { from } = self.state else {
            return Vec::new();
        };
        let mut stored = Vec::new();
        let mut found = HashSet::new();
        for record in &page.records {
            let is_in_flight = self.in_flight.iter().any(|draft| draft.id == record.id);
            if is_in_flight && found.insert(record.id.clone()) {
                stored.push(Stored {
                    id: record.id.clone(),
                    offset: record.offset,
                });
            }
        }
        self.in_flight.retain(|draft| !found.contains(&draft.id));
        let read_to = page
            .records
            .last()
            .map_or(page.first, |record| record.offset.next())
            .max(from);
        if read_to >= page.end || self.in_flight.is_empty() {
            self.backoff.succeed();
            self.state = State::Ready;
        } else {
            self.state = State::LookingUp { from: read_to };
        }
        self.observe(read_to);
        stored
    }

    /// Handles a failed read of the look-up; `jitter` is random, 0 to 1.
    pub fn look_up_failed(&mut self, now: Duration, jitter: f64) {
        if let State::LookingUp { from } = self.state {
            self.not_before = now + self.backoff.fail(jitter);
            self.state = State::Unconfirmed { from };
        }
    }

    /// Offset to read next if a look-up is in progress.
    pub fn lookup_offset(&self) -> Option<log::Offset> {
        match self.state {
            State::LookingUp { from } => Some(from),
            _ => None,
        }
    }

    /// Builds the next batch; records of an unstored batch go first.
    fn start_batch(&mut self) -> log::Batch {
        let free_capacity = self.limits.batch.saturating_sub(self.in_flight.len());
        let count = free_capacity.min(self.queue.len());
        self.in_flight.extend(self.queue.drain(..count));
        self.state = State::Appending {
            from: self.known_end,
        };
        log::Batch {
            records: self.in_flight.clone(),
        }
    }
}
