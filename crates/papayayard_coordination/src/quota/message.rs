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
    /// Newest token that the host has from this process of the dispatcher.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub(super) token: Option<Duration>,
    /// How long the host's part is still bound elsewhere, in milliseconds.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(super) free_in_ms: Duration,
    /// Whether the host contributes its failover allowance.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) allowance: bool,
    /// What plain requests of the host have spent recently.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) wants: Vec<Amount>,
    /// Numbers of placement requests whose charges are returned.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) returned: Vec<u64>,
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
