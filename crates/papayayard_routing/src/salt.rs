//! Cache salts.
//!
//! Block keys form a chain that starts at the salt. Two requests can share a block
//! only if all fields of their scopes are equal, so that no answer uses another
//! client account's state or older weights.

use papayayard_wire::{block, id};

/// All that two prompts must have in common to share a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope<'a> {
    pub account: &'a id::Account,
    pub service: &'a id::Service,
    pub model: &'a id::Model,
    /// Adapter, if the request names one.
    pub adapter: Option<&'a id::Adapter>,
    /// Version of the weights.
    pub version: &'a id::Version,
}

const CONTEXT: &str = "papayayard 2026 cache salt";

pub fn compute(scope: &Scope<'_>) -> block::Salt {
    let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
    write(&mut hasher, scope.account.as_str());
    write(&mut hasher, scope.service.as_str());
    write(&mut hasher, scope.model.as_str());
    hasher.update(&[u8::from(scope.adapter.is_some())]);
    write(&mut hasher, scope.adapter.map_or("", id::Adapter::as_str));
    write(&mut hasher, scope.version.as_str());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    block::Salt(u64::from_le_bytes(bytes))
}

/// Hashes the length before the text, so that adjacent fields cannot run together.
fn write(hasher: &mut blake3::Hasher, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}
