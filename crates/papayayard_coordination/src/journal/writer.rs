//! Batched appends to a stream.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use papayayard_wire::{id, log};
use snafu::Snafu;

use super::Backoff;

/// Bounds of a writer.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most records of a batch.
    pub batch: usize,
    /// Most records that wait.
    pub queue: usize,
    /// Least time between two batches.
    pub period: Duration,
    /// Wait after the first failure.
    pub backoff: Duration,
    /// Longest wait after a failure.
    pub backoff_cap: Duration,
}

/// The queue is full.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{waiting} records wait for the log; try again when it answers"))]
pub struct Full {
    /// Records that wait.
    pub waiting: usize,
}

/// Why an append has no offsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It had no effect.
    NotSent,
    /// It may have had effect.
    Lost,
    /// It had no effect and would not if sent again.
    Refused,
}

impl Failure {
    /// Name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
            Self::Refused => "refused",
        }
    }
}

/// What the owner of the connection does next.
#[derive(Debug)]
pub enum Action {
    /// Append this batch.
    Append(log::Batch),
    /// Read the stream from here to its end and pass the pages back.
    LookUp(log::Offset),
    /// Nothing before this time.
    Wait(Duration),
    /// Nothing before a record is pushed or an answer arrives.
    Idle,
}

/// A record that is in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Identifier.
    pub id: id::Record,
    /// Offset at which it was found first.
    pub offset: log::Offset,
}

#[derive(Debug)]
enum State {
    Ready,
    Appending { from: log::Offset },
    Unconfirmed { from: log::Offset },
    LookingUp { from: log::Offset },
}

/// Appends records in batches and tells about each of them once.
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
    /// Makes a writer.
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

    /// Changes the least time between two batches.
    pub fn set_period(&mut self, period: Duration) {
        self.limits.period = period;
    }

    /// Records that are not known to be stored.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.in_flight.len()
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Takes note of an end of the stream; a look-up starts from it.
    pub fn observe(&mut self, end: log::Offset) {
        self.known_end = self.known_end.max(end);
    }

    /// Queues a record.
    pub fn push(&mut self, draft: log::Draft) -> Result<(), Full> {
        let waiting = self.waiting();
        if waiting >= self.limits.queue {
            return FullSnafu { waiting }.fail();
        }
        self.queue.push_back(draft);
        Ok(())
    }

    /// Takes a record back; false where it may have been sent.
    pub fn withdraw(&mut self, id: &id::Record) -> bool {
        let before = self.queue.len();
        self.queue.retain(|draft| draft.id != *id);
        self.queue.len() < before
    }

    /// What to do next.
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

    /// The batch was stored.
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

    /// The batch was not stored, or nobody knows; `draw` lies in 0 to 1.
    ///
    /// Gives back the records that the log refuses for good.
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

    /// A page of the look-up arrived.
    ///
    /// Records found are stored; those not found by the stream's end are sent
    /// again. Until then [`Writer::looking_up`] says where to read on.
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

    /// A read of the look-up failed; `draw` lies in 0 to 1.
    pub fn look_up_failed(&mut self, now: Duration, jitter: f64) {
        if let State::LookingUp { from } = self.state {
            self.not_before = now + self.backoff.fail(jitter);
            self.state = State::Unconfirmed { from };
        }
    }

    /// Offset to read next for the look-up under way.
    pub fn lookup_offset(&self) -> Option<log::Offset> {
        match self.state {
            State::LookingUp { from } => Some(from),
            _ => None,
        }
    }

    /// Moves records into flight; what came back unstored goes first.
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
