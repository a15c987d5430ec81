//! Prompts that callers declare: parts with their lengths in tokens.
//!
//! Requests whose first parts are the same can share what an engine has
//! computed for them. Cached parts are kept apart by a salt that holds the
//! model, the version of its weights and, for an isolated client account, the
//! account; so nothing is ever found under other weights or across a isolated.

use papayayard_wire::id;
use xxhash_rust::xxh3::Xxh3;

/// A declared prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model.
    pub model: id::Model,
    /// Length of the whole prompt, in tokens.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub max_output: u32,
    /// The caller's estimate of the answer's tokens.
    pub expected_output: Option<u32>,
    /// Parts in their order; the last is the request's own.
    pub parts: Vec<Part>,
}

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Name, the same for the same text.
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

    /// Tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Tokens that no other request has.
    pub fn unshared_tokens(&self) -> u32 {
        self.tokens.saturating_sub(self.shared_tokens())
    }

    /// Tokens of the answer that an engine should have room for.
    pub fn output_tokens(&self) -> u32 {
        let expected = self.expected_output.unwrap_or(self.max_output);
        expected.min(self.max_output)
    }
}

/// Names a set of cached parts that may be shared.
pub type Salt = String;

/// The salt of a model's weights and, for an isolated account, the account.
pub fn salt(model: &id::Model, version: u64, isolated: Option<&id::Account>) -> Salt {
    match isolated {
        Some(account) => format!("{model}/{version}/{account}"),
        None => format!("{model}/{version}"),
    }
}

/// A cached part under its salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u64);

impl Key {
    /// The key as hosts send it to one another.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The key that another host has sent.
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }
}

/// Key of a part under a salt.
pub fn key(salt: &str, part: &str) -> Key {
    let mut hash = Xxh3::new();
    hash.update(salt.as_bytes());
    hash.update(&[0]);
    hash.update(part.as_bytes());
    Key(hash.digest())
}
