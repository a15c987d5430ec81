//! The platform's append-only log.
//!
//! - `POST /streams/{stream}/records` accepts a [`Batch`] and returns
//!   [`Offsets`]. The log does not deduplicate by record id: a batch that is
//!   sent twice is stored twice.
//! - `GET /streams/{stream}/records?from=N&limit=N&wait_ms=N` returns a
//!   [`Page`]; if there are no records yet, it waits for at most `wait_ms`.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::id;

/// Position of a record in its stream, starting at 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Number of times that a log was restored from an older copy, counted from any start.
/// A restored log has lost its newest records and assigns their offsets again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// Position in a log that may be restored: offsets are comparable only within an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    // Compared first.
    pub era: Era,
    pub offset: Offset,
}

/// Records to append in one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    pub records: Vec<Draft>,
}

/// A record that has no offset yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Draft {
    /// Identifier chosen by the appending process.
    pub id: id::Record,
    /// Content, any JSON value.
    pub payload: Box<RawValue>,
}

/// Offsets assigned to a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offsets {
    /// Offset of the batch's first record; the other records follow consecutively.
    pub first: Offset,
}

/// Records read from a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset that is still retained.
    pub first: Offset,
    /// Offset of the next record to be appended.
    pub end: Offset,
    /// Records in order, none older than `first`.
    pub records: Vec<Record>,
}

/// A record of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    pub offset: Offset,
    /// Identifier chosen by the appending process.
    pub id: id::Record,
    /// Time of the append on the log's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Content, any JSON value.
    pub payload: Box<RawValue>,
}
