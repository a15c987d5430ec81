//! Result of applying a record to the configuration state machine.

use papayayard_wire::{id, log};
use snafu::Snafu;

use super::MAX_DOCUMENT_BYTES;

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The proposal became the accepted one.
    Accepted,
    /// The record repeats the accepted proposal.
    Refreshed,
    /// The record anchors this reader, which continues at `resume`.
    Anchored {
        /// Offset to read next.
        resume: log::Offset,
    },
    /// The proposal cannot be decided before an anchor arrives.
    Held,
    /// The record is a proposal that was not accepted.
    Rejected(Rejection),
    /// The record is not a readable proposal, or it has no effect any more.
    Skipped(Skip),
}

impl Verdict {
    /// Value of the metrics label.
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

/// Why a proposal was not accepted.
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
    /// The digest does not match the document.
    #[snafu(display("the digest does not match the document; publish the document again"))]
    Digest,
    /// The document is longer than [`MAX_DOCUMENT_BYTES`].
    #[snafu(display(
        "the document has {bytes} bytes and the limit is {MAX_DOCUMENT_BYTES}; shorten it"
    ))]
    TooLong {
        /// Length of the document.
        bytes: usize,
    },
    /// The document is not valid.
    #[snafu(display("the document is not valid: {reason}; run the check command on it"))]
    Invalid {
        /// Faults of the document.
        reason: String,
    },
}

impl Rejection {
    /// Value of the metrics label.
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

/// Why a record is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Skip {
    /// Not a configuration record.
    Foreign,
    /// A proposal of a format that this version does not read.
    Format,
    /// Longer than any proposal may be.
    Oversized,
    /// At an offset that was already read.
    Repeated,
    /// A refresh entry of a revision that has been replaced.
    Replaced,
}

impl Skip {
    /// Value of the metrics label.
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
