//! Prompts that callers declare as parts with lengths in tokens.
//!
//! Requests with the same leading parts can share what an engine has computed for
//! them. Cached parts are separated by a salt of the model, the version of its
//! weights and the group of requests that may share them. A part is therefore
//! never found under other weights or across the isolation of an account.

use std::hash::{BuildHasher, Hasher, RandomState};

use papayayard_wire::id;
use xxhash_rust::xxh3;

use crate::mix;
use crate::sharing;

/// A declared prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    pub model: id::Model,
    /// Length of the whole prompt, in tokens.
    pub tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_output: u32,
    /// The caller's estimate of the answer's length, in tokens.
    pub expected_output: Option<u32>,
    /// Parts in order; the last one is not shared with other requests.
    pub parts: Vec<Part>,
}

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Name; the same text always has the same name.
    pub name: String,
    /// Length in tokens.
    pub tokens: u32,
}

impl Prompt {
    /// The parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[Part] {
        let end = self.parts.len().saturating_sub(1);
        &self.parts[..end]
    }

    /// Name of the last part that other requests may share.
    pub fn longest_shared(&self) -> Option<&str> {
        self.shared().last().map(|part| part.name.as_str())
    }

    /// Names of the first `limit` parts that other requests may share, separated by commas.
    pub fn shared_names(&self, limit: usize) -> String {
        let names = self.shared().iter().map(|part| part.name.as_str());
        let names: Vec<&str> = names.take(limit).collect();
        names.join(",")
    }

    /// Number of tokens in the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        let lengths = self.shared().iter().map(|part| part.tokens);
        lengths.fold(0, u32::saturating_add)
    }

    /// Number of tokens that no other request shares.
    pub fn unshared_tokens(&self) -> u32 {
        self.tokens.saturating_sub(self.shared_tokens())
    }

    /// Number of tokens of the answer for which an engine should have free capacity.
    pub fn output_tokens(&self) -> u32 {
        let expected = self.expected_output.unwrap_or(self.max_output);
        expected.min(self.max_output)
    }
}

/// Identifies a set of cached parts that may be shared.
pub type Salt = String;

/// The salt of a model's weights and of the group that shares parts. The model comes last,
/// since its name may have any characters.
pub fn salt(model: &id::Model, version: u64, group: sharing::Group) -> Salt {
    format!("{version}/{group}/{model}")
}

/// Key of a cached part under its salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u64);

impl Key {
    /// The number that identifies the key in messages between hosts.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The key with a number from another host.
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }
}

/// Hashes keys for maps, with a secret of the map's own: callers choose the names of parts.
#[derive(Clone, Debug)]
pub(crate) struct KeyState {
    secret: u64,
}

impl Default for KeyState {
    fn default() -> Self {
        Self {
            secret: RandomState::new().hash_one(0_u64),
        }
    }
}

impl BuildHasher for KeyState {
    type Hasher = KeyHasher;

    fn build_hasher(&self) -> KeyHasher {
        KeyHasher(self.secret)
    }
}

/// Hasher of a [`KeyState`].
pub(crate) struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = mix::pair(self.0, number);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// Key of a part under a salt.
pub fn key(salt: &str, part: &str) -> Key {
    let mut hash = xxh3::Xxh3::new();
    hash.update(salt.as_bytes());
    hash.update(&[0]);
    hash.update(part.as_bytes());
    Key(hash.digest())
}

/// Keys of parts under a salt.
pub(crate) fn keys(salt: &str, parts: &[Part]) -> Vec<Key> {
    let mut text = Vec::with_capacity(salt.len() + 64);
    text.extend_from_slice(salt.as_bytes());
    text.push(0);
    let prefix = text.len();
    let keys = parts.iter().map(|part| {
        text.truncate(prefix);
        text.extend_from_slice(part.name.as_bytes());
        Key(xxh3::xxh3_64(&text))
    });
    keys.collect()
}
