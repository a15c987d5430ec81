//! Records of the log's `configuration` stream.

use serde::{Deserialize, Serialize};

use crate::{id, log};

/// Name of the stream to which operators publish configuration.
pub const STREAM: &str = "configuration";
/// Format of [`Proposal`] that this version writes.
pub const FORMAT: u32 = 1;

/// A document proposed to replace the accepted one.
///
/// A proposal is accepted if `base` is the accepted revision and `revision` is
/// the next one. A record with the `revision` and `digest` already accepted
/// republishes that proposal, so that it outlives the log's retention.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Format of this record, [`FORMAT`].
    pub format: u32,
    /// Revision that the document replaces; 0 if there is none.
    pub base: id::Revision,
    /// Revision of the document, `base` + 1.
    pub revision: id::Revision,
    /// BLAKE3 digest of `document`, in hexadecimal.
    pub digest: String,
    /// Text of the document, in YAML.
    pub document: String,
}

/// Content of a stream record: a new or a republished proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    #[serde(flatten)]
    pub proposal: Proposal,
    /// Set only if a host republishes the proposal: the host had read all records
    /// before this offset when `proposal` was the accepted one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_to: Option<log::Offset>,
}
