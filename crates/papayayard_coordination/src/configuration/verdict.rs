//! What the fold says about a record.

use papayayard_wire::{id, log};
use snafu::Snafu;

use super::MAX_DOCUMENT_BYTES;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The proposal is now the accepted one.
    Accepted,
    /// The record repeats the accepted proposal.
    Refreshed,
    /// The record anchors this reader, which reads on from `resume`.
    Anchored {
        /// Offset to read next.
        resume: log::Offset,
    },
    /// The proposal can't be judged before an anchor arrives.
    Held,
    /// The record is ours and is not accepted.
    Rejected(Rejection),
    /// The record is not a proposal that this version reads.
    Skipped(Skip),
}

impl Verdict {
    /// Name in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refreshed => "refreshed",
            Self::Anchored { .. } => "anchored",
            Self::Held => "held",
            Self::Rejected(rejection) => rejection.as_str(),
            Self::Skipped(skip) => skip.as_str(),
        }
    }
}

/// Why a proposal is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Rejection {
    /// Another proposal won, or the base was never accepted.
    #[snafu(display(
        "base {} is not the accepted revision {}; read the accepted document and propose again",
        base.0,
        accepted.0
    ))]
    Base {
        /// Base of the proposal.
        base: id::Revision,
        /// Accepted revision.
        accepted: id::Revision,
    },
    /// The revision does not follow its base.
    #[snafu(display(
        "revision {} does not follow base {}; propose the base plus one",
        revision.0,
        base.0
    ))]
    Step {
        /// Base of the proposal.
        base: id::Revision,
        /// Revision of the proposal.
        revision: id::Revision,
    },
    /// The digest is not the document's.
    #[snafu(display("the digest is not the document's; publish the document again"))]
    Digest,
    /// The document is too long.
    #[snafu(display(
        "the document has {bytes} bytes and {MAX_DOCUMENT_BYTES} are allowed; shorten it"
    ))]
    TooLong {
        /// Length of the document.
        bytes: usize,
    },
    /// The document is not valid.
    #[snafu(display("the document is not valid: {reason}; run the check command on it"))]
    Invalid {
        /// What is wrong with it.
        reason: String,
    },
}

impl Rejection {
    /// Name in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Base { .. } => "base",
            Self::Step { .. } => "step",
            Self::Digest => "digest",
            Self::TooLong { .. } => "too_long",
            Self::Invalid { .. } => "invalid",
        }
    }
}

/// Why a record is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Skip {
    /// Not a proposal.
    Foreign,
    /// A proposal of a format that this version does not read.
    Format,
    /// Longer than any proposal may be.
    Oversized,
    /// Before the position that was read to.
    Repeated,
    /// A repetition of a revision that has been replaced.
    Replaced,
}

impl Skip {
    /// Name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Format => "format",
            Self::Oversized => "oversized",
            Self::Repeated => "repeated",
            Self::Replaced => "replaced",
        }
    }
}
