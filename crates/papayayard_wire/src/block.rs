//! Keys of cached blocks.
//!
//! A prompt is divided into blocks. The key of a block is a hash over the key
//! of the previous block and its own bytes, so a key identifies a whole prefix.
//! The parent of the first block is the cache salt, which represents everything
//! that two prompts must have in common before they may share a block.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Key of a cached block and of the prefix that ends with the block.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Key(pub u64);

/// Cache salt, the root of a chain of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Salt(pub u64);

/// Computes the block keys of a prompt that arrives in segments of any length.
pub struct Chain {
    parent: u64,
    hasher: xxh3::Xxh3,
    filled: usize,
    size: usize,
    keys: Vec<Key>,
}

impl Chain {
    /// `size` is the length of a block in bytes.
    pub fn new(salt: Salt, size: usize) -> Self {
        Self {
            parent: salt.0,
            hasher: xxh3::Xxh3::with_seed(salt.0),
            filled: 0,
            size: size.max(1),
            keys: Vec::new(),
        }
    }

    /// Appends bytes of the prompt.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let free = self.size - self.filled;
            let (head, rest) = bytes.split_at(free.min(bytes.len()));
            self.hasher.update(head);
            self.filled += head.len();
            bytes = rest;
            if self.filled == self.size {
                self.finish_block();
            }
        }
    }

    /// Returns the keys; bytes after the last complete block have no key.
    pub fn finish(self) -> Vec<Key> {
        self.keys
    }

    fn finish_block(&mut self) {
        self.parent = self.hasher.digest();
        self.keys.push(Key(self.parent));
        self.hasher = xxh3::Xxh3::with_seed(self.parent);
        self.filled = 0;
    }
}
