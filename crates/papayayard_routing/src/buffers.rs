//! Shares a host's memory for responses that have not arrived completely.
//!
//! Each response is bounded by itself, but not their sum. When the memory is used up, the
//! response that holds the most of it is given up, and first among those that state no
//! length: an endless response fills the memory and never says how long it is, while a sound
//! long one mostly does.

use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Key of a response that holds memory.
    pub struct Holder;
}

/// Memory that a response holds.
#[derive(Clone, Copy, Debug)]
struct Share {
    bytes: usize,
    /// Whether the response states its length.
    has_length: bool,
}

/// Memory for responses, in bytes.
#[derive(Debug)]
pub struct Buffers {
    limit: usize,
    used: usize,
    shares: SlotMap<Holder, Share>,
}

/// Result of a response's need for more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The response has the memory; the others here must release theirs.
    Granted { evicted: Vec<Holder> },
    /// The response must release its memory, and so must the others here.
    Refused { evicted: Vec<Holder> },
}

impl Buffers {
    /// Creates memory of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            shares: SlotMap::with_key(),
        }
    }

    /// Adds a response that holds nothing yet.
    pub fn open(&mut self, has_length: bool) -> Holder {
        self.shares.insert(Share {
            bytes: 0,
            has_length,
        })
    }

    /// Sets what a response holds. Others are evicted for it, those without a length first and
    /// of these the largest.
    pub fn hold(&mut self, holder: Holder, bytes: usize) -> Growth {
        let Some(share) = self.shares.get_mut(holder) else {
            return Growth::Refused {
                evicted: Vec::new(),
            };
        };
        self.used = self.used - share.bytes + bytes;
        share.bytes = bytes;
        let mut evicted = Vec::new();
        while self.used > self.limit {
            match self.largest() {
                Some(largest) if largest != holder => {
                    self.close(largest);
                    evicted.push(largest);
                }
                _ => {
                    self.close(holder);
                    return Growth::Refused { evicted };
                }
            }
        }
        Growth::Granted { evicted }
    }

    /// Removes a response, if it is there.
    pub fn close(&mut self, holder: Holder) {
        if let Some(share) = self.shares.remove(holder) {
            self.used -= share.bytes;
        }
    }

    /// Bytes that all responses hold.
    pub const fn used(&self) -> usize {
        self.used
    }

    fn largest(&self) -> Option<Holder> {
        let shares = self.shares.iter().filter(|(_, share)| share.bytes > 0);
        let largest = shares.max_by_key(|(_, share)| (!share.has_length, share.bytes));
        largest.map(|(holder, _)| holder)
    }
}
