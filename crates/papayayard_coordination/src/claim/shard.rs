//! The fold over one claim stream.

use std::collections::{HashMap, VecDeque};

use papayayard_wire::claim::{Attempt, Digest, Entry, Event, FORMAT, Outcome};
use papayayard_wire::log;

/// Most tries of a key that are remembered as spent.
const MAX_CLOSED: usize = 64;
/// Most bytes of a record's JSON.
const MAX_RECORD_BYTES: usize = 64 << 10;

/// Bounds of a shard.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time that a key is remembered after its last claim, in milliseconds of
    /// the log's clock.
    pub key_ttl_ms: u64,
    /// Most keys.
    pub max_keys: usize,
}

/// Why a record is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Skip {
    /// Not a record of claims.
    Foreign,
    /// Of a format that this version does not read.
    Format,
    /// Longer than any record of claims.
    Oversized,
    /// Before the position that was read to.
    Repeated,
}

impl Skip {
    /// Name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Format => "format",
            Self::Oversized => "oversized",
            Self::Repeated => "repeated",
        }
    }
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Key of the record.
    pub key: Digest,
    /// Try of the record.
    pub attempt: Attempt,
    /// What it did.
    pub effect: Effect,
}

/// What a record did to its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The try holds the key.
    Won,
    /// Another try holds the key.
    Lost,
    /// The key is free again.
    Freed,
    /// The holder's outcome is there.
    Settled,
    /// Nothing.
    None,
}

/// The try that holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The try.
    pub attempt: Attempt,
    /// Digest of its request.
    pub request: Digest,
    /// Time of its claim by the log's clock, in milliseconds.
    pub claimed_at_ms: u64,
    /// How far it is.
    pub state: State,
}

/// How far a holder is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No outcome yet.
    Running,
    /// The outcome is in the stream.
    Answered {
        /// Offset of the outcome.
        offset: log::Offset,
    },
    /// The holder does not know the outcome.
    Unknown,
}

#[derive(Debug, Default)]
struct Slot {
    holder: Option<Holder>,
    closed: Vec<Attempt>,
    touched_ms: u64,
}

/// The fold over one claim stream.
#[derive(Debug)]
pub struct Shard {
    limits: Limits,
    slots: HashMap<Digest, Slot>,
    by_age: VecDeque<(u64, Digest)>,
    next: log::Offset,
    clock_ms: u64,
    /// Time from which the stream was read; none where it was read whole.
    covered_from_ms: Option<u64>,
    /// Whether the next record tells `covered_from_ms`.
    has_gap: bool,
}

impl Shard {
    /// Makes an empty shard, to be fed from the stream's start.
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

    /// The holder of a key.
    pub fn holder(&self, key: &Digest) -> Option<&Holder> {
        let slot = self.slots.get(key)?;
        let is_live = !self.is_expired(slot);
        slot.holder.as_ref().filter(|_| is_live)
    }

    /// Newest time of the log's clock, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether enough of the stream was read to judge the newest claim.
    pub fn is_covered(&self) -> bool {
        let covered = self.covered_from_ms;
        !self.has_gap && covered.is_none_or(|from| self.clock_ms >= from + self.limits.key_ttl_ms)
    }

    /// Takes note that records before `first` are gone unread.
    pub fn skip_to(&mut self, first: log::Offset) {
        if first > self.next {
            self.next = first;
            self.has_gap = true;
            self.slots.clear();
            self.by_age.clear();
        }
    }

    /// Applies the next record.
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
            // What cannot be remembered cannot be judged: starts over as
            // after a gap, so that memory stays bounded.
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
