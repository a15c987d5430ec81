//! The platform's append-only log.
//!
//! - `POST /streams/{stream}/records` takes a [`Batch`] and answers with
//!   [`Offsets`]. The log does not compare record ids: a batch that is sent
//!   twice is stored twice.
//! - `GET /streams/{stream}/records?from=N&limit=N&wait_ms=N` answers with a
//!   [`Page`], after at most `wait_ms` when there is nothing to read yet.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::id;

/// Position of a record in its stream, from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Records to append together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Records in order.
    pub records: Vec<Draft>,
}

/// A record that has no offset yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Draft {
    /// Identifier that the appending process chose.
    pub id: id::Record,
    /// Content, any JSON value.
    pub payload: Box<RawValue>,
}

/// Where a batch was stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offsets {
    /// Offset of the batch's first record; the others follow it.
    pub first: Offset,
}

/// A part of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset that is still kept.
    pub first: Offset,
    /// Offset that the next append gets.
    pub end: Offset,
    /// Records in order, none older than `first`.
    pub records: Vec<Record>,
}

/// A record of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Position.
    pub offset: Offset,
    /// Identifier that the appending process chose.
    pub id: id::Record,
    /// Time of the append by the log's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Content, any JSON value.
    pub payload: Box<RawValue>,
}
