//! Which configuration is in force, as a fold over the `configuration` stream.
//!
//! Every host applies the same function to the same records, so all hosts
//! agree on every prefix of the stream without talking to each other. A
//! proposal is accepted where it is well formed, its document is valid and its
//! base is the accepted revision; of two racing operators the first in offset
//! order wins on every host.
//!
//! The log forgets old records. A reader that has the whole stream, or that
//! starts from the state of one that had, is *anchored* and judges proposals.
//! A reader whose oldest records are gone can't know whether a proposal won
//! its race, so it holds all proposals until an anchor arrives: a repetition
//! by an anchored host ([`Entry::read_to`](configuration::Entry)), or a peer's
//! [`Snapshot`]. It then reads on from the anchor's position, which gives the
//! state of an anchored reader exactly.
//!
//! The accepted revision never falls: every way of taking a state in compares
//! revisions first.

mod content;
mod refresh;

pub use content::Content;
pub use refresh::Refresh;

use std::sync::Arc;

use papayayard_wire::{configuration, id, log};
use snafu::Snafu;

/// Most bytes of a document.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Most bytes of a record's JSON; escapes may lengthen a document sixfold.
const MAX_RECORD_BYTES: usize = 6 * MAX_DOCUMENT_BYTES + 4096;

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

/// An accepted proposal and its document.
#[derive(Debug)]
pub struct Active<Document> {
    /// The proposal as it was appended.
    pub proposal: configuration::Proposal,
    /// Its document, read.
    pub document: Document,
}

/// A reader's state as it is handed to peers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The accepted proposal.
    pub proposal: configuration::Proposal,
    /// Offset read to, where the reader is anchored.
    pub read_to: Option<log::Offset>,
}

/// What became of a peer's snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// Its revision is now the accepted one; read on from `resume`, if given.
    Adopted {
        /// Offset to read next.
        resume: Option<log::Offset>,
    },
    /// It holds nothing newer.
    Known,
    /// It names another document for the accepted revision.
    Conflict,
    /// It is malformed.
    Rejected(Rejection),
}

/// The fold over the stream.
#[derive(Debug)]
pub struct Fold<Document> {
    active: Option<Arc<Active<Document>>>,
    provisional: Option<configuration::Proposal>,
    anchored: bool,
    start: log::Offset,
    next: log::Offset,
}

impl<Document> Default for Fold<Document> {
    fn default() -> Self {
        Self {
            active: None,
            provisional: None,
            anchored: true,
            start: log::Offset::default(),
            next: log::Offset::default(),
        }
    }
}

impl<Document> Fold<Document>
where
    Document: Content,
{
    /// The accepted proposal.
    pub fn active(&self) -> Option<&Arc<Active<Document>>> {
        self.active.as_ref()
    }

    /// The accepted revision; 0 where there is none.
    pub fn revision(&self) -> id::Revision {
        self.active
            .as_ref()
            .map_or_else(id::Revision::default, |active| active.proposal.revision)
    }

    /// Offset to read next.
    pub fn next(&self) -> log::Offset {
        self.next
    }

    /// Whether proposals can be judged.
    pub fn is_anchored(&self) -> bool {
        self.anchored
    }

    /// The state as it is handed to peers.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let active = self.active.as_ref()?;
        Some(Snapshot {
            proposal: active.proposal.clone(),
            read_to: self.anchored.then_some(self.next),
        })
    }

    /// Takes note that records before `first` are gone unread.
    pub fn skip_to(&mut self, first: log::Offset) {
        if first <= self.next {
            return;
        }
        self.anchored = false;
        self.provisional = None;
        self.start = first;
        self.next = first;
    }

    /// Applies the next record.
    pub fn apply(&mut self, record: &log::Record) -> Verdict {
        if record.offset < self.next {
            return Verdict::Skipped(Skip::Repeated);
        }
        self.next = record.offset.next();
        let entry = match decode(record.payload.get()) {
            Ok(entry) => entry,
            Err(skip) => return Verdict::Skipped(skip),
        };
        match entry.read_to {
            Some(read_to) => self.repeat(&entry.proposal, read_to, record.offset),
            None => self.propose(entry.proposal),
        }
    }

    /// Takes in a peer's state; an older one changes nothing.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Adoption {
        let ours = self.revision();
        let theirs = snapshot.proposal.revision;
        if theirs < ours {
            return Adoption::Known;
        }
        if theirs == ours {
            return self.confirm(&snapshot);
        }
        match read(snapshot.proposal) {
            Ok(active) => {
                self.active = Some(Arc::new(active));
                self.provisional = None;
                let resume = snapshot.read_to.map(|read_to| self.anchor(read_to));
                if resume.is_none() {
                    self.anchored = false;
                }
                Adoption::Adopted { resume }
            }
            Err(rejection) => Adoption::Rejected(rejection),
        }
    }

    /// The repetition to append so that the accepted proposal is kept.
    ///
    /// An unanchored reader at the end of the stream offers what the records
    /// it has suggest; the first repetition in offset order anchors all.
    pub fn repetition(&self) -> Option<configuration::Entry> {
        let proposal = match (&self.provisional, &self.active) {
            (Some(provisional), _) if !self.anchored => provisional.clone(),
            (_, Some(active)) => active.proposal.clone(),
            (_, None) => return None,
        };
        Some(configuration::Entry {
            proposal,
            read_to: Some(self.next),
        })
    }

    fn propose(&mut self, proposal: configuration::Proposal) -> Verdict {
        if self.anchored && self.holds(&proposal) {
            return Verdict::Refreshed;
        }
        let accepted = match &self.provisional {
            Some(provisional) if !self.anchored => provisional.revision,
            _ => self.revision(),
        };
        let base = proposal.base;
        let unlinked = !self.anchored && self.provisional.is_none() && base >= accepted;
        if base != accepted && !unlinked {
            return Verdict::Rejected(Rejection::Base { base, accepted });
        }
        let active = match read(proposal) {
            Ok(active) => active,
            Err(rejection) => return Verdict::Rejected(rejection),
        };
        if !self.anchored {
            self.provisional = Some(active.proposal);
            return Verdict::Held;
        }
        self.active = Some(Arc::new(active));
        Verdict::Accepted
    }

    fn repeat(
        &mut self,
        proposal: &configuration::Proposal,
        read_to: log::Offset,
        offset: log::Offset,
    ) -> Verdict {
        let accepted = self.revision();
        if proposal.revision < accepted {
            return Verdict::Skipped(Skip::Replaced);
        }
        if self.anchored {
            return self.recognise(proposal);
        }
        if read_to < self.start || read_to > offset {
            return Verdict::Held;
        }
        if proposal.revision > accepted {
            match read(proposal.clone()) {
                Ok(active) => self.active = Some(Arc::new(active)),
                Err(rejection) => return Verdict::Rejected(rejection),
            }
        } else if !self.holds(proposal) {
            return self.recognise(proposal);
        }
        let resume = self.anchor(read_to);
        Verdict::Anchored { resume }
    }

    fn recognise(&self, proposal: &configuration::Proposal) -> Verdict {
        if self.holds(proposal) {
            return Verdict::Refreshed;
        }
        Verdict::Rejected(Rejection::Base {
            base: proposal.base,
            accepted: self.revision(),
        })
    }

    fn confirm(&mut self, snapshot: &Snapshot) -> Adoption {
        if !self.holds(&snapshot.proposal) {
            return Adoption::Conflict;
        }
        match snapshot.read_to {
            Some(read_to) if !self.anchored => Adoption::Adopted {
                resume: Some(self.anchor(read_to)),
            },
            _ => Adoption::Known,
        }
    }

    fn anchor(&mut self, read_to: log::Offset) -> log::Offset {
        self.anchored = true;
        self.provisional = None;
        self.start = read_to;
        self.next = read_to;
        read_to
    }

    fn holds(&self, proposal: &configuration::Proposal) -> bool {
        self.active.as_ref().is_some_and(|active| {
            let held = &active.proposal;
            held.revision == proposal.revision
                && held.digest == proposal.digest
                && held.document == proposal.document
        })
    }
}

fn decode(payload: &str) -> Result<configuration::Entry, Skip> {
    if payload.len() > MAX_RECORD_BYTES {
        return Err(Skip::Oversized);
    }
    let entry: configuration::Entry = serde_json::from_str(payload).map_err(|_| Skip::Foreign)?;
    if entry.proposal.format != configuration::FORMAT {
        return Err(Skip::Format);
    }
    Ok(entry)
}

/// Checks a proposal as far as that needs no stream, and reads its document.
pub fn read<Document>(proposal: configuration::Proposal) -> Result<Active<Document>, Rejection>
where
    Document: Content,
{
    let base = proposal.base;
    let revision = proposal.revision;
    if base.0.checked_add(1) != Some(revision.0) {
        return StepSnafu { base, revision }.fail();
    }
    let bytes = proposal.document.len();
    if bytes > MAX_DOCUMENT_BYTES {
        return TooLongSnafu { bytes }.fail();
    }
    if digest(&proposal.document) != proposal.digest {
        return DigestSnafu.fail();
    }
    match Document::parse(&proposal.document) {
        Ok(document) => Ok(Active { proposal, document }),
        Err(reason) => InvalidSnafu { reason }.fail(),
    }
}

/// Digest of a document, in hexadecimal.
pub fn digest(document: &str) -> String {
    blake3::hash(document.as_bytes()).to_hex().to_string()
}
