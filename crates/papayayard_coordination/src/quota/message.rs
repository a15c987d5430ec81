//! Content of the messages between a host and its dispatcher.

use std::time::Duration;

use papayayard_wire::id;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Maximum number of accounts in one message.
pub const MAX_AMOUNTS: usize = 8;
/// Maximum number of returned charges in one message.
pub const MAX_RETURNED: usize = 256;

/// What a host states about its part of the quotas in a call to its dispatcher.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Newest token that the host has from the dispatcher.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) token: Option<Token>,
    /// How long the host's part is still bound elsewhere, in milliseconds.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(super) free_in_ms: Duration,
    /// Whether the host contributes its failover allowance.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) allowance: bool,
    /// Whether the part comes with full buckets, as the deployment starts for the
    /// first time.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) is_full: bool,
    /// Number of hosts that the requesting host divides quotas over.
    #[serde(default)]
    pub(super) hosts: u32,
    /// Amounts requested for plain requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) wants: Vec<Amount>,
    /// Numbers of placement requests whose charges are returned.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) returned: Vec<u64>,
}

impl Offer {
    /// Numbers of placement requests whose charges are returned.
    pub fn returned(&self) -> &[u64] {
        &self.returned
    }
}

/// Reading of the clock of a dispatcher's process.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Token {
    /// Random ID of the process; clocks of two processes may not be compared.
    pub(super) run: u64,
    /// Reading, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(super) ms: Duration,
}

/// Answer of a dispatcher to an [`Offer`].
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Reading of the dispatcher's clock, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(super) token: Duration,
    /// Amounts that the host may spend on plain requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) grants: Vec<Amount>,
}

/// An amount of an account's quota, in the unit of the quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    pub account: id::Account,
    pub amount: f64,
}
