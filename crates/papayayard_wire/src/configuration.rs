//! Records of the log's `configuration` stream.

use serde::{Deserialize, Serialize};

use crate::{id, log};

/// Name of the stream that operators publish configuration on.
pub const STREAM: &str = "configuration";
/// Format of [`Proposal`] that this version writes.
pub const FORMAT: u32 = 1;

/// A document that is to replace the accepted one.
///
/// It is accepted where `base` is the accepted revision and `revision` follows
/// it. A record whose `revision` and `digest` are those already accepted
/// repeats them, so that they outlive the log's retention.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Format of this record, [`FORMAT`].
    pub format: u32,
    /// Revision that the document replaces; 0 where there is none.
    pub base: id::Revision,
    /// Revision that the document gets, `base` + 1.
    pub revision: id::Revision,
    /// BLAKE3 digest of `document`, in hexadecimal.
    pub digest: String,
    /// The document's bytes, YAML.
    pub document: String,
}

/// Content of a record of the stream: a proposal, or a repetition of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What is proposed or repeated.
    #[serde(flatten)]
    pub proposal: Proposal,
    /// On a repetition by a host: offset before which the host had read the
    /// whole stream when `proposal` was the accepted one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_to: Option<log::Offset>,
}
