//! The engine's cache of blocks: bounded, least recently used, short-lived.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use papayayard_wire::block::Key;

/// Cached blocks in order of their last use.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    lifetime: Duration,
    next_stamp: u64,
    blocks: HashMap<Key, Use>,
    order: BTreeMap<u64, Key>,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    stamp: u64,
    at: Duration,
}

/// Keys that a call added and evicted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Added.
    pub stored: Vec<Key>,
    /// Evicted.
    pub removed: Vec<Key>,
}

impl Cache {
    /// Makes an empty cache; blocks go `lifetime` after their last use.
    pub fn new(capacity: usize, lifetime: Duration) -> Self {
        Self {
            capacity,
            lifetime,
            next_stamp: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Length of the cached part of a prefix, in blocks, without using it.
    pub fn peek(&self, keys: &[Key], now: Duration) -> usize {
        keys.iter()
            .take_while(|key| self.is_live(**key, now))
            .count()
    }

    /// Length of the cached part of a prefix, in blocks, and uses it.
    pub fn lookup(&mut self, keys: &[Key], now: Duration) -> usize {
        let found = self.peek(keys, now);
        self.touch(&keys[..found], now);
        found
    }

    /// Adds the blocks of a prefix and evicts what is too much.
    pub fn store(&mut self, keys: &[Key], now: Duration) -> Change {
        let stored = keys
            .iter()
            .copied()
            .filter(|key| !self.blocks.contains_key(key))
            .collect();
        self.touch(keys, now);
        let mut removed = self.expire(now);
        while self.blocks.len() > self.capacity {
            removed.extend(self.evict());
        }
        Change { stored, removed }
    }

    /// Evicts the blocks whose lifetime is over.
    pub fn expire(&mut self, now: Duration) -> Vec<Key> {
        let mut removed = Vec::new();
        while let Some((_, key)) = self.order.first_key_value() {
            if self.is_live(*key, now) {
                break;
            }
            removed.extend(self.evict());
        }
        removed
    }

    fn is_live(&self, key: Key, now: Duration) -> bool {
        self.blocks
            .get(&key)
            .is_some_and(|last| now.saturating_sub(last.at) <= self.lifetime)
    }

    /// Uses blocks from the deepest up, so that a prefix is evicted last.
    fn touch(&mut self, keys: &[Key], now: Duration) {
        for key in keys.iter().rev() {
            let stamp = self.next_stamp;
            self.next_stamp += 1;
            if let Some(last) = self.blocks.insert(*key, Use { stamp, at: now }) {
                self.order.remove(&last.stamp);
            }
            self.order.insert(stamp, *key);
        }
    }

    fn evict(&mut self) -> Option<Key> {
        let (_, key) = self.order.pop_first()?;
        self.blocks.remove(&key);
        Some(key)
    }
}
