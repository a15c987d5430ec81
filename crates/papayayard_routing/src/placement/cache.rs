//! Which parts of prompts an endpoint or the store of cached prompts keeps.
//!
//! Endpoints tell of changes late and leave some out. So a part that this host
//! has sent there counts as expected for a while: requests for the same part
//! follow the first one rather than read it a second time elsewhere. And since the
//! least recently used parts yield, a part counts as surely there only until so
//! much else has gone into the memory.

use std::collections::HashMap;
use std::time::Duration;

use crate::prompt::{Key, Part};

/// Time within which an expected part has to be told of.
const EXPECTED_FOR: Duration = Duration::from_secs(5);

/// Parts that are kept.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: HashMap<Key, Kept>,
    /// Tokens that have gone in so far.
    filled: f64,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    /// Tokens that had gone in when the part was last told of or used.
    used: f64,
    /// Set where only this host's own request speaks for it.
    expected: Option<Expected>,
}

#[derive(Clone, Copy, Debug)]
struct Expected {
    from: Duration,
    until: Duration,
}

impl Cache {
    /// Notes tokens that go in.
    pub fn fill(&mut self, tokens: f64) {
        self.filled += tokens;
    }

    /// Takes over what the holder says of a part; 0 tokens drop it.
    pub fn told(&mut self, key: Key, tokens: u32) {
        if tokens == 0 {
            self.parts.remove(&key);
            return;
        }
        let kept = Kept {
            tokens,
            used: self.filled,
            expected: None,
        };
        self.parts.insert(key, kept);
    }

    /// Notes a part that will be there at a time.
    pub fn expect(&mut self, key: Key, tokens: u32, from: Duration) {
        let expected = Some(Expected {
            from,
            until: from + EXPECTED_FOR,
        });
        let kept = Kept {
            tokens,
            used: self.filled,
            expected,
        };
        let entry = self.parts.entry(key).or_insert(kept);
        if entry.expected.is_some() || entry.tokens < tokens {
            *entry = kept;
        }
        entry.used = kept.used;
    }

    /// Notes that a part that was expected is there.
    pub fn confirm(&mut self, key: Key, now: Duration) {
        let kept = self.parts.get_mut(&key);
        if let Some(expected) = kept.and_then(|kept| kept.expected.as_mut()) {
            expected.from = expected.from.min(now);
        }
    }

    /// Forgets everything, as after a restart.
    pub fn clear(&mut self) {
        self.parts.clear();
    }

    /// Drops expectations that came to nothing.
    pub fn prune(&mut self, now: Duration) {
        self.parts
            .retain(|_, kept| kept.expected.is_none_or(|one| now < one.until));
    }

    /// Tokens of the leading parts that are kept or on their way.
    pub fn prefix(&self, parts: &[Part], keys: &[Key], now: Duration) -> u32 {
        self.leading(parts, keys, |kept| {
            kept.expected.is_none_or(|one| now < one.until)
        })
    }

    /// Tokens of the leading parts that can be fetched now, of those since whose
    /// last use not more than so many tokens have gone in.
    pub fn fetchable(&self, parts: &[Part], keys: &[Key], room: f64, now: Duration) -> u32 {
        self.leading(parts, keys, |kept| {
            let is_there = kept
                .expected
                .is_none_or(|one| one.from <= now && now < one.until);
            is_there && self.filled - kept.used <= room
        })
    }

    fn leading<Accept>(&self, parts: &[Part], keys: &[Key], accept: Accept) -> u32
    where
        Accept: Fn(&Kept) -> bool,
    {
        let mut tokens = 0;
        for (part, key) in parts.iter().zip(keys) {
            let Some(kept) = self.parts.get(key).filter(|kept| accept(kept)) else {
                break;
            };
            tokens += kept.tokens.min(part.tokens);
            if kept.tokens < part.tokens {
                break;
            }
        }
        tokens
    }
}
