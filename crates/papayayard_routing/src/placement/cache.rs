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
const EXPECTATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Parts that are kept.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: HashMap<Key, CachedPart>,
    /// Tokens that have gone in so far.
    filled_tokens: f64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    /// Tokens that had gone in when the part was last told of or used.
    last_used: f64,
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
        self.filled_tokens += tokens;
    }

    /// Takes over what the holder says of a part; 0 tokens drop it.
    pub fn set(&mut self, key: Key, tokens: u32) {
        if tokens == 0 {
            self.parts.remove(&key);
            return;
        }
        let cached = CachedPart {
            tokens,
            last_used: self.filled_tokens,
            expected: None,
        };
        self.parts.insert(key, cached);
    }

    /// Notes a part that will be there at a time.
    pub fn expect(&mut self, key: Key, tokens: u32, from: Duration) {
        let expected = Some(Expected {
            from,
            until: from + EXPECTATION_TIMEOUT,
        });
        let cached = CachedPart {
            tokens,
            last_used: self.filled_tokens,
            expected,
        };
        let entry = self.parts.entry(key).or_insert(cached);
        if entry.expected.is_some() || entry.tokens < tokens {
            *entry = cached;
        }
        entry.last_used = cached.last_used;
    }

    /// Notes that a part that was expected is there.
    pub fn confirm(&mut self, key: Key, now: Duration) {
        let cached = self.parts.get_mut(&key);
        if let Some(expected) = cached.and_then(|cached| cached.expected.as_mut()) {
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
            .retain(|_, cached| cached.expected.is_none_or(|expected| now < expected.until));
    }

    /// Tokens of the leading parts that are kept or on their way.
    pub fn prefix(&self, parts: &[Part], keys: &[Key], now: Duration) -> u32 {
        self.leading_tokens(parts, keys, |cached| {
            cached.expected.is_none_or(|expected| now < expected.until)
        })
    }

    /// Tokens of the leading parts that can be fetched now, of those since whose
    /// last use not more than so many tokens have gone in.
    pub fn fetchable(&self, parts: &[Part], keys: &[Key], retained: f64, now: Duration) -> u32 {
        self.leading_tokens(parts, keys, |cached| {
            let is_present = cached
                .expected
                .is_none_or(|expected| expected.from <= now && now < expected.until);
            is_present && self.filled_tokens - cached.last_used <= retained
        })
    }

    fn leading_tokens<Accept>(&self, parts: &[Part], keys: &[Key], accept: Accept) -> u32
    where
        Accept: Fn(&CachedPart) -> bool,
    {
        let mut tokens = 0;
        for (part, key) in parts.iter().zip(keys) {
            let Some(cached) = self.parts.get(key).filter(|cached| accept(cached)) else {
                break;
            };
            tokens += cached.tokens.min(part.tokens);
            if cached.tokens < part.tokens {
                break;
            }
        }
        tokens
    }
}
