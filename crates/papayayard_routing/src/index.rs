//! Which endpoint holds which cached blocks, as well as this host can know.
//!
//! Engines evict within seconds and their events come late and with gaps, so
//! the index is a cache of hints in a fixed amount of memory. Each pair of
//! block and endpoint is one cell in a pool; cells of one bucket are chained.
//! A cell counts only while its `life` is the endpoint's current one, so that
//! a crash clears an endpoint's entries by taking a new number. A gap in the
//! events takes a new `epoch`: older cells stay, but are doubtful until they
//! are confirmed.

use std::time::Duration;

use papayayard_wire::{block, endpoint};

/// Position of an endpoint in the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Slot(u16);

impl Slot {
    /// Position in a table of all slots.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A block that an endpoint is thought to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The endpoint.
    pub slot: Slot,
    /// Whether events that might have said otherwise were lost.
    pub doubtful: bool,
}

const NONE: u32 = u32::MAX;
const LIFETIME_SECONDS: u32 = 120;
const MAX_HOLDERS: usize = 32;
const MAX_CELLS: usize = NONE as usize - 1;

/// One pair of block and endpoint.
#[derive(Clone, Copy, Debug)]
struct Cell {
    key: block::Key,
    life: u32,
    next: u32,
    stamp: u32,
    slot: Slot,
    epoch: u16,
}

const FREE: Cell = Cell {
    key: block::Key(0),
    life: 0,
    next: NONE,
    stamp: 0,
    slot: Slot(0),
    epoch: 0,
};

/// What is kept for each endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Source {
    life: u32,
    epoch: u16,
    sequence: u64,
}

/// Hints on cached blocks.
#[derive(Debug)]
pub struct Index {
    heads: Vec<u32>,
    cells: Vec<Cell>,
    capacity: usize,
    free: u32,
    hand: usize,
    sources: Vec<Source>,
    vacant: Vec<Slot>,
    lives: u32,
}

impl Index {
    /// An index of at most `blocks` pairs of block and endpoint.
    pub fn new(blocks: usize) -> Self {
        let capacity = blocks.clamp(1, MAX_CELLS);
        Self {
            heads: vec![NONE; capacity],
            cells: Vec::with_capacity(capacity),
            capacity,
            free: NONE,
            hand: 0,
            sources: Vec::new(),
            vacant: Vec::new(),
            lives: 0,
        }
    }

    /// Takes a slot for an endpoint; slots past the last share one that is
    /// never filled.
    pub fn open(&mut self) -> Slot {
        let slot = self.vacant.pop().unwrap_or_else(|| {
            self.sources.push(Source::default());
            Slot(u16::try_from(self.sources.len() - 1).unwrap_or(u16::MAX))
        });
        self.clear(slot);
        slot
    }

    /// Gives a slot back.
    pub fn close(&mut self, slot: Slot) {
        self.clear(slot);
        self.vacant.push(slot);
    }

    /// Drops all entries of an endpoint, in constant time.
    pub fn clear(&mut self, slot: Slot) {
        self.lives = self.lives.wrapping_add(1);
        self.sources[slot.index()] = Source {
            life: self.lives,
            ..Source::default()
        };
    }

    /// Number of slots given out so far.
    pub fn slots(&self) -> usize {
        self.sources.len()
    }

    /// Takes a page of events of the endpoint's current run.
    pub fn events(&mut self, slot: Slot, page: &endpoint::Page, now: Duration) {
        for event in &page.events {
            self.sequence(slot, event.sequence);
            match &event.change {
                endpoint::Change::Stored { keys } => self.expect(slot, keys, now),
                endpoint::Change::Removed { keys } => {
                    for &key in keys {
                        self.remove(slot, key);
                    }
                }
                endpoint::Change::Cleared => self.empty(slot),
            }
        }
    }

    /// Notes blocks that an endpoint holds or is about to compute.
    pub fn expect(&mut self, slot: Slot, keys: &[block::Key], now: Duration) {
        for &key in keys {
            self.insert(slot, key, now);
        }
    }

    /// Takes an answer's word: of `keys` the first `blocks` were cached. All
    /// of them are now; where fewer were than was thought, others that were
    /// stored at the same time are doubtful.
    pub fn confirm(&mut self, slot: Slot, keys: &[block::Key], blocks: usize, now: Duration) {
        let blocks = blocks.min(keys.len());
        self.expect(slot, &keys[..blocks], now);
    }

    /// Passes the endpoints that hold `key` to `take`.
    pub fn holders<Take>(&self, key: block::Key, now: Duration, mut take: Take)
    where
        Take: FnMut(Holder),
    {
        let stamp = seconds(now);
        let mut at = self.heads[self.bucket(key)];
        let mut found = 0;
        while at != NONE && found < MAX_HOLDERS {
            let cell = &self.cells[at as usize];
            if cell.key == key && self.live(cell, stamp) {
                found += 1;
                take(Holder {
                    slot: cell.slot,
                    doubtful: cell.epoch != self.sources[cell.slot.index()].epoch,
                });
            }
            at = cell.next;
        }
    }

    fn sequence(&mut self, slot: Slot, sequence: u64) {
        let source = &mut self.sources[slot.index()];
        if source.sequence != 0 && sequence > source.sequence + 1 {
            source.epoch = source.epoch.wrapping_add(1);
        }
        source.sequence = source.sequence.max(sequence);
    }

    fn empty(&mut self, slot: Slot) {
        let sequence = self.sources[slot.index()].sequence;
        self.clear(slot);
        self.sources[slot.index()].sequence = sequence;
    }

    fn insert(&mut self, slot: Slot, key: block::Key, now: Duration) {
        let source = self.sources[slot.index()];
        let stamp = seconds(now);
        if let Some(at) = self.find(slot, key, source.life) {
            let cell = &mut self.cells[at as usize];
            cell.stamp = stamp;
            cell.epoch = source.epoch;
            return;
        }
        let at = self.take();
        let bucket = self.bucket(key);
        self.cells[at as usize] = Cell {
            key,
            life: source.life,
            next: self.heads[bucket],
            stamp,
            slot,
            epoch: source.epoch,
        };
        self.heads[bucket] = at;
    }

    fn remove(&mut self, slot: Slot, key: block::Key) {
        let life = self.sources[slot.index()].life;
        if let Some(at) = self.find(slot, key, life) {
            self.unlink(at);
            self.release(at);
        }
    }

    fn find(&self, slot: Slot, key: block::Key, life: u32) -> Option<u32> {
        let mut at = self.heads[self.bucket(key)];
        while at != NONE {
            let cell = &self.cells[at as usize];
            if cell.key == key && cell.slot == slot && cell.life == life {
                return Some(at);
            }
            at = cell.next;
        }
        None
    }

    /// A cell to fill: a free one, or else that under the hand.
    fn take(&mut self) -> u32 {
        if self.free != NONE {
            let at = self.free;
            self.free = self.cells[at as usize].next;
            return at;
        }
        if self.cells.len() < self.capacity {
            self.cells.push(FREE);
            return position(self.cells.len() - 1);
        }
        let at = position(self.hand);
        self.hand = (self.hand + 1) % self.capacity;
        self.unlink(at);
        at
    }

    fn release(&mut self, at: u32) {
        self.cells[at as usize] = Cell {
            next: self.free,
            ..FREE
        };
        self.free = at;
    }

    fn unlink(&mut self, at: u32) {
        let Cell { key, next, .. } = self.cells[at as usize];
        let bucket = self.bucket(key);
        if self.heads[bucket] == at {
            self.heads[bucket] = next;
            return;
        }
        let mut before = self.heads[bucket];
        while before != NONE {
            let cell = &mut self.cells[before as usize];
            if cell.next == at {
                cell.next = next;
                return;
            }
            before = cell.next;
        }
    }

    fn live(&self, cell: &Cell, stamp: u32) -> bool {
        cell.life == self.sources[cell.slot.index()].life
            && stamp.saturating_sub(cell.stamp) <= LIFETIME_SECONDS
    }

    /// Buckets by the key's high bits: keys are hashes already.
    fn bucket(&self, key: block::Key) -> usize {
        let wide = u128::from(key.0) * self.heads.len() as u128;
        usize::try_from(wide >> 64).unwrap_or(0)
    }
}

fn seconds(now: Duration) -> u32 {
    u32::try_from(now.as_secs()).unwrap_or(u32::MAX)
}

fn position(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(NONE)
}
