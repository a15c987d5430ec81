//! Identifiers, each with a distinct type.
//!
//! Text identifiers use an `Arc`, so that a clone only increments a counter.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// An entry host, which runs one `papayayard` process.
    Host
);
text_id!(
    /// An availability zone.
    Zone
);
text_id!(
    /// A client account.
    Account
);
text_id!(
    /// An endpoint, which is one replica of a service.
    Endpoint
);
text_id!(
    /// A model service or a plain service.
    Service
);
text_id!(
    /// A model's public name.
    Model
);
text_id!(
    /// An adapter of a model.
    Adapter
);
text_id!(
    /// A version of a model's weights.
    Version
);
text_id!(
    /// A version of an endpoint's software; versions have no order.
    Software
);
text_id!(
    /// A caller's idempotency key.
    Key
);
text_id!(
    /// A request; unique across all hosts.
    Request
);
text_id!(
    /// A record of the log; chosen by the process that appends the record.
    Record
);
text_id!(
    /// A stream of the platform's log.
    Stream
);

/// One run of an endpoint's process; each restart gets a new number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A revision of the configuration; the first accepted document has revision 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A fencing number: the log offset of the lease under which an order is given.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);
