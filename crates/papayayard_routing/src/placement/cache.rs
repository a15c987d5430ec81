//! Prompt parts cached at an endpoint or in the store of cached prompts.
//!
//! Endpoints report cache changes late and omit some. A part that this host has sent to an
//! endpoint therefore counts as expected for a while, so that requests for the same part follow
//! the first one instead of having it prefilled again elsewhere. As endpoints evict the least
//! recently used parts, a part counts as reliably present only until a certain number of other
//! tokens have been added.

use std::collections::HashMap;
use std::time::Duration;

use crate::prompt::{Key, KeyState, Part};

/// Time after which an expected part is dropped unless the holder reports it.
const EXPECTATION_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: HashMap<Key, CachedPart, KeyState>,
    /// Tokens added so far.
    filled_tokens: f64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct CachedPart {
    pub(super) tokens: u32,
    /// Value of `filled_tokens` when the part was last reported or used.
    last_used: f64,
    /// Set if the part is only expected because of a request from this host.
    expected: Option<Expected>,
}

#[derive(Clone, Copy, Debug)]
struct Expected {
    from: Duration,
    until: Duration,
}

impl CachedPart {
    /// Whether the part is cached or expected.
    pub(super) fn is_current(&self, now: Duration) -> bool {
        self.expected.is_none_or(|expected| now < expected.until)
    }

    /// Whether the part can be fetched now from a holder to which `filled` tokens were added, if
    /// it keeps parts until `retained` further ones are.
    pub(super) fn is_fetchable(&self, filled: f64, retained: f64, now: Duration) -> bool {
        let is_present = self
            .expected
            .is_none_or(|expected| expected.from <= now && now < expected.until);
        is_present && filled - self.last_used <= retained
    }

    /// Next time at which the part begins or ceases to count.
    pub(super) fn next_change(&self, now: Duration) -> Duration {
        let Some(expected) = self.expected else {
            return Duration::MAX;
        };
        let times = [expected.from, expected.until].into_iter();
        let future = times.filter(|time| now < *time);
        future.min().unwrap_or(Duration::MAX)
    }
}

impl Cache {
    /// A part that is or was cached or expected.
    pub(super) fn part(&self, key: Key) -> Option<CachedPart> {
        self.parts.get(&key).copied()
    }

    /// Tokens added so far.
    pub(super) const fn filled_tokens(&self) -> f64 {
        self.filled_tokens
    }

    /// Next time at which one of the leading parts begins or ceases to count.
    pub(super) fn next_change(&self, keys: &[Key], now: Duration) -> Duration {
        let parts = keys.iter().filter_map(|key| self.parts.get(key));
        let times = parts.map(|part| part.next_change(now));
        times.min().unwrap_or(Duration::MAX)
    }

    /// Counts tokens added to the memory.
    pub fn fill(&mut self, tokens: f64) {
        self.filled_tokens += tokens;
    }

    /// Sets the cached tokens of a part as reported by the holder; 0 tokens remove it.
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

    /// Expects a part to be present from a given time on.
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

    /// Confirms that an expected part is present.
    pub fn confirm(&mut self, key: Key, now: Duration) {
        let cached = self.parts.get_mut(&key);
        if let Some(expected) = cached.and_then(|cached| cached.expected.as_mut()) {
            expected.from = expected.from.min(now);
        }
    }

    /// Removes all parts, as after a restart.
    pub fn clear(&mut self) {
        self.parts.clear();
    }

    /// Removes expected parts that were not reported in time.
    pub fn prune(&mut self, now: Duration) {
        self.parts.retain(|_, cached| cached.is_current(now));
    }

    /// Returns the tokens of the leading parts that are cached or expected.
    pub fn prefix(&self, parts: &[Part], keys: &[Key], now: Duration) -> u32 {
        self.leading_tokens(parts, keys, |cached| cached.is_current(now))
    }

    /// Returns the tokens of the leading parts that can be fetched now, limited to parts after
    /// whose last use at most `retained` tokens have been added.
    pub fn fetchable(&self, parts: &[Part], keys: &[Key], retained: f64, now: Duration) -> u32 {
        self.leading_tokens(parts, keys, |cached| {
            cached.is_fetchable(self.filled_tokens, retained, now)
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
            tokens = cached.tokens.min(part.tokens).saturating_add(tokens);
            if cached.tokens < part.tokens {
                break;
            }
        }
        tokens
    }
}
