//! Approximate index of which endpoint holds which cached blocks.
//!
//! Engines evict within seconds, and their events arrive late and with gaps, so
//! the index is a cache of hints in a fixed amount of memory. Each pair of block
//! and endpoint is one cell in a pool; the cells of a hash bucket are chained.
//! A cell is valid only while its `generation` is the current one of its
//! endpoint, so that a crash clears an endpoint's entries by assigning a new
//! number. A gap in the events increments the endpoint's `epoch`: older cells
//! remain, but are uncertain until they are confirmed.

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

/// A block that an endpoint probably holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    pub slot: Slot,
    /// Whether events about the block may have been lost.
    pub uncertain: bool,
}

/// No cell. Positions in chains start at 1, so that unused memory stays
/// untouched.
const NONE: u32 = 0;
const LIFETIME_SECONDS: u32 = 120;
const MAX_HOLDERS: usize = 32;
const VICTIM_CANDIDATES: usize = 8;
const MAX_CELLS: usize = u32::MAX as usize - 1;

/// One pair of block and endpoint.
#[derive(Clone, Copy, Debug)]
struct Cell {
    key: block::Key,
    generation: u32,
    next: u32,
    stamp: u32,
    slot: Slot,
    epoch: u16,
}

const FREE: Cell = Cell {
    key: block::Key(0),
    generation: 0,
    next: NONE,
    stamp: 0,
    slot: Slot(0),
    epoch: 0,
};

#[derive(Clone, Copy, Debug, Default)]
struct EndpointState {
    generation: u32,
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
    clock_hand: usize,
    endpoint_states: Vec<EndpointState>,
    vacant: Vec<Slot>,
    generations: u32,
}

impl Index {
    /// Creates an index of at most `blocks` pairs of block and endpoint.
    pub fn new(blocks: usize) -> Self {
        let capacity = blocks.clamp(1, MAX_CELLS);
        Self {
            heads: vec![NONE; capacity],
            cells: Vec::with_capacity(capacity),
            capacity,
            free: NONE,
            clock_hand: 0,
            endpoint_states: Vec::new(),
            vacant: Vec::new(),
            generations: 0,
        }
    }

    /// Allocates a slot for an endpoint. Endpoints beyond the last slot share one
    /// that is never filled.
    pub fn allocate(&mut self) -> Slot {
        let slot = self.vacant.pop().unwrap_or_else(|| {
            self.endpoint_states.push(EndpointState::default());
            Slot(u16::try_from(self.endpoint_states.len() - 1).unwrap_or(u16::MAX))
        });
        self.clear(slot);
        slot
    }

    /// Frees a slot.
    pub fn deallocate(&mut self, slot: Slot) {
        self.clear(slot);
        self.vacant.push(slot);
    }

    /// Removes all entries of an endpoint, in constant time.
    pub fn clear(&mut self, slot: Slot) {
        self.generations = self.generations.wrapping_add(1);
        self.endpoint_states[slot.index()] = EndpointState {
            generation: self.generations,
            ..EndpointState::default()
        };
    }

    /// Memory of a full index, in bytes.
    pub const fn capacity_bytes(&self) -> usize {
        self.capacity * (size_of::<Cell>() + size_of::<u32>())
    }

    /// Number of cells that have been used so far.
    pub const fn used(&self) -> usize {
        self.cells.len()
    }

    /// Number of slots that have been created so far.
    pub fn slots(&self) -> usize {
        self.endpoint_states.len()
    }

    /// Applies a page of events of the endpoint's current run. Of events with an
    /// earlier sequence number, only removals are applied: they are harmless.
    pub fn events(&mut self, slot: Slot, page: &endpoint::Page, now: Duration) {
        for event in &page.events {
            let next = self.advance(slot, event.sequence);
            match &event.change {
                endpoint::Change::Removed { keys } => self.remove(slot, keys),
                endpoint::Change::Stored { keys } if next => self.confirm(slot, keys, now),
                endpoint::Change::Cleared if next => self.clear_cache(slot),
                endpoint::Change::Stored { .. } | endpoint::Change::Cleared => {}
            }
        }
    }

    /// Records blocks that an endpoint holds or is about to compute.
    pub fn confirm(&mut self, slot: Slot, keys: &[block::Key], now: Duration) {
        for &key in keys {
            self.insert(slot, key, seconds(now));
        }
    }

    /// Marks blocks of an endpoint as uncertain.
    pub fn mark_uncertain(&mut self, slot: Slot, keys: &[block::Key]) {
        let EndpointState {
            generation, epoch, ..
        } = self.endpoint_states[slot.index()];
        for &key in keys {
            if let Some(at) = self.find(slot, key, generation) {
                self.cells[offset(at)].epoch = epoch.wrapping_sub(1);
            }
        }
    }

    /// Passes each endpoint that holds `key` to `take`.
    pub fn holders<Take>(&self, key: block::Key, now: Duration, mut take: Take)
    where
        Take: FnMut(Holder),
    {
        let stamp = seconds(now);
        let mut at = self.heads[self.bucket(key)];
        let mut found = 0;
        while at != NONE && found < MAX_HOLDERS {
            let cell = &self.cells[offset(at)];
            if cell.key == key && self.is_live(cell, stamp) {
                found += 1;
                take(Holder {
                    slot: cell.slot,
                    uncertain: cell.epoch != self.endpoint_states[cell.slot.index()].epoch,
                });
            }
            at = cell.next;
        }
    }

    /// Records the sequence number of an event; returns whether it is new.
    fn advance(&mut self, slot: Slot, sequence: u64) -> bool {
        let state = &mut self.endpoint_states[slot.index()];
        if sequence <= state.sequence {
            return false;
        }
        if sequence > state.sequence + 1 {
            state.epoch = state.epoch.wrapping_add(1);
        }
        state.sequence = sequence;
        true
    }

    fn clear_cache(&mut self, slot: Slot) {
        let sequence = self.endpoint_states[slot.index()].sequence;
        self.clear(slot);
        self.endpoint_states[slot.index()].sequence = sequence;
    }

    fn insert(&mut self, slot: Slot, key: block::Key, stamp: u32) {
        let state = self.endpoint_states[slot.index()];
        let cell = Cell {
            key,
            generation: state.generation,
            next: NONE,
            stamp,
            slot,
            epoch: state.epoch,
        };
        match self.find_replaceable(slot, key, stamp) {
            Some(at) => {
                let next = self.cells[offset(at)].next;
                self.cells[offset(at)] = Cell { next, ..cell };
            }
            None => self.link(cell),
        }
    }

    /// A cell in the key's bucket to overwrite: the cell of the same pair, or else
    /// an invalid one, or else the oldest of a key with the maximum of holders.
    fn find_replaceable(&self, slot: Slot, key: block::Key, stamp: u32) -> Option<u32> {
        let mut at = self.heads[self.bucket(key)];
        let mut dead = None;
        let mut oldest = None;
        let mut holders = 0;
        while at != NONE {
            let cell = &self.cells[offset(at)];
            if !self.is_live(cell, stamp) {
                dead = Some(at);
            } else if cell.key == key && cell.slot == slot {
                return Some(at);
            } else if cell.key == key {
                holders += 1;
                let age = (cell.stamp, at);
                oldest = Some(oldest.map_or(age, |known: (u32, u32)| known.min(age)));
            }
            at = cell.next;
        }
        let full = holders >= MAX_HOLDERS;
        dead.or(oldest.filter(|_| full).map(|(_, at)| at))
    }

    fn link(&mut self, cell: Cell) {
        let at = self.take(cell.stamp);
        let bucket = self.bucket(cell.key);
        let next = self.heads[bucket];
        self.cells[offset(at)] = Cell { next, ..cell };
        self.heads[bucket] = at;
    }

    fn remove(&mut self, slot: Slot, keys: &[block::Key]) {
        let generation = self.endpoint_states[slot.index()].generation;
        for &key in keys {
            if let Some(at) = self.find(slot, key, generation) {
                self.unlink(at);
                self.release(at);
            }
        }
    }

    fn find(&self, slot: Slot, key: block::Key, generation: u32) -> Option<u32> {
        let mut at = self.heads[self.bucket(key)];
        while at != NONE {
            let cell = &self.cells[offset(at)];
            if cell.key == key && cell.slot == slot && cell.generation == generation {
                return Some(at);
            }
            at = cell.next;
        }
        None
    }

    /// A cell to fill: a free one, or else the oldest of a few at the clock hand.
    fn take(&mut self, stamp: u32) -> u32 {
        if self.free != NONE {
            let at = self.free;
            self.free = self.cells[offset(at)].next;
            return at;
        }
        if self.cells.len() < self.capacity {
            self.cells.push(FREE);
            return position(self.cells.len() - 1);
        }
        let at = self.victim(stamp);
        self.unlink(at);
        at
    }

    fn victim(&mut self, stamp: u32) -> u32 {
        let mut best = self.clock_hand;
        for _ in 0..VICTIM_CANDIDATES {
            let at = self.clock_hand;
            self.clock_hand = (self.clock_hand + 1) % self.capacity;
            if !self.is_live(&self.cells[at], stamp) {
                return position(at);
            }
            if self.cells[at].stamp < self.cells[best].stamp {
                best = at;
            }
        }
        position(best)
    }

    fn release(&mut self, at: u32) {
        self.cells[offset(at)] = Cell {
            next: self.free,
            ..FREE
        };
        self.free = at;
    }

    fn unlink(&mut self, at: u32) {
        let Cell { key, next, .. } = self.cells[offset(at)];
        let bucket = self.bucket(key);
        if self.heads[bucket] == at {
            self.heads[bucket] = next;
            return;
        }
        let mut before = self.heads[bucket];
        while before != NONE {
            let cell = &mut self.cells[offset(before)];
            if cell.next == at {
                cell.next = next;
                return;
            }
            before = cell.next;
        }
    }

    fn is_live(&self, cell: &Cell, stamp: u32) -> bool {
        cell.generation == self.endpoint_states[cell.slot.index()].generation
            && stamp.saturating_sub(cell.stamp) <= LIFETIME_SECONDS
    }

    /// Hash bucket from the high bits of the key: keys are hashes already.
    fn bucket(&self, key: block::Key) -> usize {
        let wide = u128::from(key.0) * self.heads.len() as u128;
        usize::try_from(wide >> 64).unwrap_or(0)
    }
}

fn seconds(now: Duration) -> u32 {
    u32::try_from(now.as_secs()).unwrap_or(u32::MAX)
}

fn position(index: usize) -> u32 {
    u32::try_from(index + 1).unwrap_or(NONE)
}

const fn offset(position: u32) -> usize {
    position as usize - 1
}
