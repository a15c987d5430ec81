//! State machine over one claim stream.

use std::collections::{HashMap, VecDeque};

use papayayard_wire::claim::{Attempt, Digest, Entry, Event, FORMAT, Outcome};
use papayayard_wire::log;

/// Limit of the attempts of one key that are remembered as closed.
const MAX_CLOSED: usize = 64;
/// Length limit of a record's JSON.
const MAX_RECORD_BYTES: usize = 64 << 10;

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which a key is remembered after its last claim, by the log's
    /// clock.
    pub key_ttl_ms: u64,
    pub max_keys: usize,
}

/// Why a record is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Skip {
    /// Not a claim record.
    Foreign,
    /// Written in a format that this version does not read.
    Format,
    /// Longer than any claim record may be.
    Oversized,
    /// At an offset that was already read.
    Repeated,
}

impl Skip {
    /// Value of the metrics label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Format => "format",
            Self::Oversized => "oversized",
            Self::Repeated => "repeated",
        }
    }
}

/// A claim record that was applied, and its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    pub key: Digest,
    pub attempt: Attempt,
    pub effect: Effect,
}

/// Effect of a record on its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The record's attempt now holds the key.
    Won,
    /// Another attempt already holds the key.
    Lost,
    /// The holder abandoned the key, which can be claimed again.
    Freed,
    /// The holder's outcome was stored.
    Settled,
    /// The record changed nothing.
    None,
}

/// The attempt that holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    pub attempt: Attempt,
    /// Digest of the attempt's request.
    pub request: Digest,
    /// Time of the claim by the log's clock.
    pub claimed_at_ms: u64,
    pub state: State,
}

/// Progress of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No outcome is stored yet.
    Running,
    /// The stream holds the answer.
    Answered {
        /// Offset of the outcome's record.
        offset: log::Offset,
    },
    /// The holder reported that it does not know the outcome.
    Unknown,
}

#[derive(Debug, Default)]
struct Slot {
    holder: Option<Holder>,
    /// Attempts that lost or were abandoned; later copies of their claims have no effect.
    closed: Vec<Attempt>,
    touched_ms: u64,
}

/// State machine over one claim stream: which attempt holds each key.
#[derive(Debug)]
pub struct Shard {
    limits: Limits,
    slots: HashMap<Digest, Slot>,
    by_age: VecDeque<(u64, Digest)>,
    next: log::Offset,
    clock_ms: u64,
    /// Time from which the stream was read without a gap; `None` if from its start.
    covered_from_ms: Option<u64>,
    /// Set after a gap until the next record's time becomes `covered_from_ms`.
    has_gap: bool,
}

impl Shard {
    /// Creates an empty shard. The caller must apply the stream from its start.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            slots: HashMap::new(),
            by_age: VecDeque::new(),
            next: log::Offset::default(),
            clock_ms: 0,
            covered_from_ms: None,
            has_gap: false,
        }
    }

    pub fn holder(&self, key: &Digest) -> Option<&Holder> {
        let slot = self.slots.get(key)?;
        let is_live = !self.is_expired(slot);
        slot.holder.as_ref().filter(|_| is_live)
    }

    /// Newest time of the log's clock in any record read.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Number of remembered keys.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether the part of the stream read without a gap spans the lifetime of a key,
    /// so that the newest claim can be decided.
    pub fn is_covered(&self) -> bool {
        let covered = self.covered_from_ms;
        !self.has_gap && covered.is_none_or(|from| self.clock_ms >= from + self.limits.key_ttl_ms)
    }

    /// Skips records before `first`, which the log removed before they were read.
    pub fn skip_to(&mut self, first: log::Offset) {
        if first > self.next {
            self.next = first;
            self.has_gap = true;
            self.slots.clear();
            self.by_age.clear();
        }
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, record: &log::Record) -> Result<Applied, Skip> {
        if record.offset < self.next {
            return Err(Skip::Repeated);
        }
        self.next = record.offset.next();
        self.clock_ms = self.clock_ms.max(record.time_ms);
        if self.has_gap {
            self.has_gap = false;
            self.covered_from_ms = Some(self.clock_ms);
        }
        self.evict();
        let entry = decode(record.payload.get())?;
        let effect = match &entry.event {
            Event::Claim { request, .. } => self.claim(entry.key, entry.attempt, *request),
            Event::Abandon => self.abandon(entry.key, entry.attempt),
            Event::Outcome(outcome) => self.settle(&entry, outcome, record.offset),
            Event::Mark => Effect::None,
        };
        Ok(Applied {
            key: entry.key,
            attempt: entry.attempt,
            effect,
        })
    }

    fn claim(&mut self, key: Digest, attempt: Attempt, request: Digest) -> Effect {
        let claimed_at_ms = self.clock_ms;
        let slot = self.touch(key);
        if slot.closed.contains(&attempt) {
            return Effect::None;
        }
        match &slot.holder {
            Some(holder) if holder.attempt == attempt => Effect::None,
            Some(_) => {
                slot.close(attempt);
                Effect::Lost
            }
            None => {
                slot.holder = Some(Holder {
                    attempt,
                    request,
                    claimed_at_ms,
                    state: State::Running,
                });
                Effect::Won
            }
        }
    }

    fn abandon(&mut self, key: Digest, attempt: Attempt) -> Effect {
        let slot = self.touch(key);
        match &slot.holder {
            Some(holder) if holder.attempt == attempt => {
                if holder.state != State::Running {
                    return Effect::None;
                }
                slot.holder = None;
                slot.close(attempt);
                Effect::Freed
            }
            _ => {
                slot.close(attempt);
                Effect::None
            }
        }
    }

    fn settle(&mut self, entry: &Entry, outcome: &Outcome, offset: log::Offset) -> Effect {
        let Some(slot) = self.slots.get_mut(&entry.key) else {
            return Effect::None;
        };
        let Some(holder) = &mut slot.holder else {
            return Effect::None;
        };
        if holder.attempt != entry.attempt || holder.state != State::Running {
            return Effect::None;
        }
        holder.state = match outcome {
            Outcome::Answered(_) => State::Answered { offset },
            Outcome::Unknown => State::Unknown,
        };
        Effect::Settled
    }

    fn touch(&mut self, key: Digest) -> &mut Slot {
        let now = self.clock_ms;
        if self.slots.len() >= self.limits.max_keys && !self.slots.contains_key(&key) {
            // Claims on forgotten keys cannot be decided, so the shard starts over
            // as after a gap, which keeps memory bounded.
            self.slots.clear();
            self.by_age.clear();
            self.covered_from_ms = Some(now);
        }
        if self
            .slots
            .get(&key)
            .is_some_and(|slot| self.is_expired(slot))
        {
            self.slots.insert(key, Slot::default());
        }
        let by_age = &mut self.by_age;
        let slot = self.slots.entry(key).or_insert_with(|| {
            by_age.push_back((now, key));
            Slot::default()
        });
        slot.touched_ms = now;
        slot
    }

    fn evict(&mut self) {
        while let Some(&(time_ms, key)) = self.by_age.front() {
            if self.clock_ms <= time_ms + self.limits.key_ttl_ms {
                return;
            }
            self.by_age.pop_front();
            let Some(slot) = self.slots.get(&key) else {
                continue;
            };
            if self.is_expired(slot) {
                self.slots.remove(&key);
            } else {
                self.by_age.push_back((slot.touched_ms, key));
            }
        }
    }

    fn is_expired(&self, slot: &Slot) -> bool {
        self.clock_ms > slot.touched_ms + self.limits.key_ttl_ms
    }
}

impl Slot {
    fn close(&mut self, attempt: Attempt) {
        if self.closed.contains(&attempt) {
            return;
        }
        if self.closed.len() >= MAX_CLOSED {
            self.closed.remove(0);
        }
        self.closed.push(attempt);
    }
}

fn decode(payload: &str) -> Result<Entry, Skip> {
    if payload.len() > MAX_RECORD_BYTES {
        return Err(Skip::Oversized);
    }
    let entry: Entry = serde_json::from_str(payload).map_err(|_| Skip::Foreign)?;
    if entry.format != FORMAT {
        return Err(Skip::Format);
    }
    Ok(entry)
}
