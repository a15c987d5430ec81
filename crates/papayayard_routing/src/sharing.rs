//! Which requests may share cached parts of prompts.
//!
//! Cached parts outlast the configuration under which they were made: a store of cached
//! prompts never drops them for a new one. When a client account becomes isolated, what it
//! shared before must not be found any more. So accounts that are not isolated form a group
//! which is named after the accounts that are: parts under that name were made by none of
//! them, whatever the order of configurations. Each host derives the names from the
//! configuration alone.

use papayayard_wire::id;
use serde::{Deserialize, Serialize};

/// Separates these digests from those of other uses.
const CONTEXT: &str = "papayayard 2026 cache sharing";

/// Name of a group of requests that may share cached parts with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Group([u64; 2]);

impl Group {
    /// The requests of an isolated account.
    pub fn of_account(account: &id::Account) -> Self {
        Self::digest(b'a', std::iter::once(account))
    }

    /// The requests of all accounts but the isolated ones, in any order.
    pub fn of_others<'a, Isolated>(isolated: Isolated) -> Self
    where
        Isolated: IntoIterator<Item = &'a id::Account>,
    {
        let mut isolated: Vec<&id::Account> = isolated.into_iter().collect();
        isolated.sort_unstable();
        isolated.dedup();
        Self::digest(b'o', isolated.into_iter())
    }

    fn digest<'a, Accounts>(kind: u8, accounts: Accounts) -> Self
    where
        Accounts: Iterator<Item = &'a id::Account>,
    {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        hasher.update(&[kind]);
        for account in accounts {
            let name = account.as_str();
            // The length keeps adjacent names apart.
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        let mut output = hasher.finalize_xof();
        Self([(); 2].map(|()| {
            let mut bytes = [0; 8];
            output.fill(&mut bytes);
            u64::from_le_bytes(bytes)
        }))
    }
}

impl Default for Group {
    /// The requests of all accounts while none is isolated.
    fn default() -> Self {
        Self::of_others([])
    }
}

impl std::fmt::Display for Group {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [first, second] = self.0;
        write!(formatter, "{first:016x}{second:016x}")
    }
}
