//! Fault orders to the platform.

use papayayard_wire::id;
use serde::{Deserialize, Serialize};

/// Body of `POST /control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Connections are reset.
    Down,
    /// Exchanges stand still.
    Freeze,
    /// Exchanges take longer, in milliseconds of model time.
    Slow {
        /// Added time.
        delay_ms: u64,
    },
    /// The next appends take effect and get no answer.
    LoseAppends {
        /// Number of appends.
        count: u32,
    },
    /// The list shows changes this much later, in milliseconds of model time.
    ListLag {
        /// Lag.
        lag_ms: u64,
    },
    /// Requests that bear one of these entry hosts' ids are dropped.
    Cut {
        /// Entry hosts.
        hosts: Vec<id::Host>,
    },
    /// Ends every fault but the list's lag.
    Clear,
}
