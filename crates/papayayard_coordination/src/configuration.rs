//! State machine over the `configuration` stream, which yields the active
//! configuration.
//!
//! Every host applies the same function to the same records, so all hosts
//! agree on every prefix of the stream without exchanging messages. A proposal
//! is accepted if it is well formed, its document is valid and its base is the
//! accepted revision; if two operators race, the first proposal in offset order
//! wins on every host.
//!
//! The log removes old records. A reader that has read the whole stream, or
//! that started from the state of such a reader, is *anchored* and decides
//! proposals. A reader whose oldest records are gone cannot know whether a
//! proposal won its race, so it holds all proposals until an anchor arrives:
//! a refresh entry of an anchored host ([`Entry::read_to`](configuration::Entry))
//! or a peer's [`Snapshot`]. It then continues from the anchor's position, which
//! reproduces the state of an anchored reader exactly.
//!
//! The accepted revision never decreases: revisions are compared before any
//! state is adopted.

mod content;
mod refresh;
mod verdict;

pub use content::Content;
pub use refresh::Refresh;
pub use verdict::{Rejection, Skip, Verdict};

use std::sync::Arc;

use papayayard_wire::{configuration, id, log};
use verdict::{DigestSnafu, InvalidSnafu, StepSnafu, TooLongSnafu};

/// Length limit of a document.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Length limit of a record's JSON; escapes may lengthen a document sixfold.
const MAX_RECORD_BYTES: usize = 6 * MAX_DOCUMENT_BYTES + 4096;

/// An accepted proposal and its parsed document.
#[derive(Debug)]
pub struct Active<Document> {
    /// The proposal as it was appended.
    pub proposal: configuration::Proposal,
    pub document: Document,
}

/// A reader's state as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The accepted proposal.
    pub proposal: configuration::Proposal,
    /// Offset that the reader reads next; `None` if the reader is not anchored.
    pub read_to: Option<log::Offset>,
}

/// Result of adopting a peer's snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The snapshot was adopted; the caller continues reading at `resume`, if given.
    Adopted {
        /// Offset to read next.
        resume: Option<log::Offset>,
    },
    /// The snapshot is older than this state, or adds nothing to it.
    NotNewer,
    /// The snapshot has a different document for the accepted revision.
    Conflict,
    /// The snapshot's proposal is not valid.
    Rejected(Rejection),
}

/// State machine over the stream.
#[derive(Debug)]
pub struct Reducer<Document> {
    active: Option<Arc<Active<Document>>>,
    provisional: Option<configuration::Proposal>,
    anchored: bool,
    start: log::Offset,
    next: log::Offset,
}

impl<Document> Default for Reducer<Document> {
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

impl<Document> Reducer<Document>
where
    Document: Content,
{
    /// The accepted proposal.
    pub fn active(&self) -> Option<&Arc<Active<Document>>> {
        self.active.as_ref()
    }

    /// The accepted revision, or 0 before the first.
    pub fn revision(&self) -> id::Revision {
        self.active
            .as_ref()
            .map_or_else(id::Revision::default, |active| active.proposal.revision)
    }

    /// Offset to read next.
    pub fn next(&self) -> log::Offset {
        self.next
    }

    /// Whether this reader can decide proposals.
    pub fn is_anchored(&self) -> bool {
        self.anchored
    }

    /// The state to send to peers, once a proposal is accepted.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let active = self.active.as_ref()?;
        Some(Snapshot {
            proposal: active.proposal.clone(),
            read_to: self.anchored.then_some(self.next),
        })
    }

    /// Skips records before `first`, which the log removed before they were read.
    pub fn skip_to(&mut self, first: log::Offset) {
        if first <= self.next {
            return;
        }
        self.anchored = false;
        self.provisional = None;
        self.start = first;
        self.next = first;
    }

    /// Applies the next record of the stream.
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
            Some(read_to) => self.apply_refresh(&entry.proposal, read_to, record.offset),
            None => self.apply_proposal(entry.proposal),
        }
    }

    /// Adopts a peer's state unless it is older than this one.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Adoption {
        let accepted = self.revision();
        let offered = snapshot.proposal.revision;
        if offered < accepted {
            return Adoption::NotNewer;
        }
        if offered == accepted {
            return self.adopt_same_revision(&snapshot);
        }
        match validate(snapshot.proposal) {
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

    /// Entry to append so that the log does not remove the accepted proposal.
    ///
    /// An unanchored reader at the end of the stream offers its provisional
    /// proposal; the first refresh entry in offset order anchors all readers.
    pub fn refresh_entry(&self) -> Option<configuration::Entry> {
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

    fn apply_proposal(&mut self, proposal: configuration::Proposal) -> Verdict {
        if self.anchored && self.is_active(&proposal) {
            return Verdict::Refreshed;
        }
        let accepted = match &self.provisional {
            Some(provisional) if !self.anchored => provisional.revision,
            _ => self.revision(),
        };
        let base = proposal.base;
        let is_base_unknown = !self.anchored && self.provisional.is_none() && base >= accepted;
        if base != accepted && !is_base_unknown {
            return Verdict::Rejected(Rejection::Base { base, accepted });
        }
        let active = match validate(proposal) {
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

    fn apply_refresh(
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
            return self.check_refresh(proposal);
        }
        if read_to < self.start || read_to > offset {
            return Verdict::Held;
        }
        if proposal.revision > accepted {
            match validate(proposal.clone()) {
                Ok(active) => self.active = Some(Arc::new(active)),
                Err(rejection) => return Verdict::Rejected(rejection),
            }
        } else if !self.is_active(proposal) {
            return self.check_refresh(proposal);
        }
        let resume = self.anchor(read_to);
        Verdict::Anchored { resume }
    }

    fn check_refresh(&self, proposal: &configuration::Proposal) -> Verdict {
        if self.is_active(proposal) {
            return Verdict::Refreshed;
        }
        Verdict::Rejected(Rejection::Base {
            base: proposal.base,
            accepted: self.revision(),
        })
    }

    fn adopt_same_revision(&mut self, snapshot: &Snapshot) -> Adoption {
        if !self.is_active(&snapshot.proposal) {
            return Adoption::Conflict;
        }
        match snapshot.read_to {
            Some(read_to) if !self.anchored => Adoption::Adopted {
                resume: Some(self.anchor(read_to)),
            },
            _ => Adoption::NotNewer,
        }
    }

    fn anchor(&mut self, read_to: log::Offset) -> log::Offset {
        self.anchored = true;
        self.provisional = None;
        self.start = read_to;
        self.next = read_to;
        read_to
    }

    fn is_active(&self, proposal: &configuration::Proposal) -> bool {
        self.active.as_ref().is_some_and(|active| {
            let accepted = &active.proposal;
            accepted.revision == proposal.revision
                && accepted.digest == proposal.digest
                && accepted.document == proposal.document
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

/// Parses the document of a proposal after the checks that need no stream state.
pub fn validate<Document>(proposal: configuration::Proposal) -> Result<Active<Document>, Rejection>
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
