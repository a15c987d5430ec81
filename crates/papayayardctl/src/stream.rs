//! The configuration stream as an operator's command sees it.
//!
//! A command folds the stream as the hosts do, so it knows what they accept.
//! A proposal is appended once. Where the answer is lost, its record is looked
//! up by id; what the fold says of that record is its verdict.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_coordination::configuration::{Reducer, Rejection, Verdict};
use papayayard_coordination::journal::{Backoff, Gap, Reader};
use papayayard_document::document::Document;
use papayayard_platform::service::{Error, Log, Query};
use papayayard_wire::configuration::{FORMAT, Proposal, STREAM};
use papayayard_wire::{id, log};
use serde_json::value::RawValue;
use tokio::time::{self, Instant};

use crate::failure::Failure;

/// Most records of one read.
const READ_RECORDS: u32 = 256;
/// Longest wait of one read for news.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Wait after the first failed call.
const RETRY_BASE: Duration = Duration::from_millis(100);
/// Longest wait after a failed call.
const RETRY_CAP: Duration = Duration::from_secs(2);

/// An accepted proposal and its record.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    /// Record.
    pub(crate) record: id::Record,
    /// Position of the record.
    pub(crate) offset: log::Offset,
    /// Proposal.
    pub(crate) proposal: Proposal,
}

/// What the hosts make of a proposal.
type Judgement = Result<Accepted, Rejection>;

/// Folds the stream of one platform.
pub(crate) struct Stream<Platform> {
    platform: Platform,
    name: id::Stream,
    deadline: Instant,
    reader: Reader,
    fold: Reducer<Document>,
    latest: Option<Accepted>,
    winners: HashMap<id::Revision, id::Record>,
}

impl<Platform> Stream<Platform>
where
    Platform: Log,
{
    /// Starts at the beginning of the stream; no call goes on after `deadline`.
    pub(crate) fn new(platform: Platform, deadline: Instant) -> Self {
        Self {
            platform,
            name: id::Stream::from(STREAM),
            deadline,
            reader: Reader::default(),
            fold: Reducer::default(),
            latest: None,
            winners: HashMap::new(),
        }
    }

    /// Reads to the end of the stream and gives what is accepted there.
    pub(crate) async fn accepted(&mut self) -> Result<Option<Accepted>, Failure> {
        loop {
            self.step(None, Duration::ZERO).await?;
            if self.reader.is_caught_up() && self.fold.is_anchored() {
                return Ok(self.latest.clone());
            }
            if self.reader.is_caught_up() {
                self.wait_for_anchor().await?;
            }
        }
    }

    /// Appends a document that replaces `base`, and waits for its verdict.
    pub(crate) async fn propose(
        &mut self,
        record: &id::Record,
        base: id::Revision,
        document: &str,
    ) -> Result<Accepted, Failure> {
        let proposal = Proposal {
            format: FORMAT,
            base,
            revision: id::Revision(base.0 + 1),
            digest: blake3::hash(document.as_bytes()).to_hex().to_string(),
            document: document.to_owned(),
        };
        let draft = log::Draft {
            id: record.clone(),
            payload: encode(&proposal)?,
        };
        self.append(draft).await?;
        self.verdict(record, base).await
    }

    /// Appends a record once; an answer that may be lost counts as an answer.
    async fn append(&self, draft: log::Draft) -> Result<(), Failure> {
        let batch = log::Batch {
            records: vec![draft],
        };
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
        loop {
            match self.platform.append(&self.name, &batch).await {
                Ok(_) | Err(Error::Lost { .. } | Error::Malformed { .. }) => return Ok(()),
                Err(Error::Status { status, .. }) if status >= 500 => return Ok(()),
                Err(source @ Error::Status { .. }) => return Err(Failure::Platform { source }),
                Err(source) => self.pause(&mut backoff, source).await?,
            }
        }
    }

    /// Reads on until the fold has judged a record.
    async fn verdict(
        &mut self,
        record: &id::Record,
        base: id::Revision,
    ) -> Result<Accepted, Failure> {
        loop {
            let unknown = || Failure::Unknown {
                record: record.clone(),
            };
            let found = self.step(Some(record), READ_WAIT).await;
            match found.map_err(|failure| unseen(failure, unknown))? {
                Some(Ok(accepted)) => return Ok(accepted),
                Some(Err(Rejection::Base { .. })) => return Err(self.raced(record, base)),
                Some(Err(source)) => {
                    return Err(Failure::Rejected {
                        record: record.clone(),
                        source,
                    });
                }
                None => {}
            }
            if self.reader.is_caught_up() && self.fold.revision() > base {
                return Err(self.raced(record, base));
            }
            if Instant::now() >= self.deadline {
                return Err(unknown());
            }
        }
    }

    /// Reads one page; gives the verdict on `wanted` where the page has it.
    async fn step(
        &mut self,
        wanted: Option<&id::Record>,
        wait: Duration,
    ) -> Result<Option<Judgement>, Failure> {
        let page = self.read(wait).await?;
        let (gap, records) = self.reader.take(&page);
        match gap {
            Some(Gap::Missed { to, .. }) => self.fold.skip_to(to),
            Some(Gap::Rewound { .. }) => return Err(Failure::Rewound),
            None => {}
        }
        let mut found = None;
        for record in records {
            let verdict = self.fold.apply(record);
            if matches!(verdict, Verdict::Accepted | Verdict::Anchored { .. }) {
                self.note(record);
            }
            if let Verdict::Anchored { resume } = verdict {
                self.reader.seek(resume);
                break;
            }
            if wanted == Some(&record.id) {
                found = self.judgement(verdict);
            }
        }
        Ok(found)
    }

    /// Takes down what the fold accepted with this record.
    fn note(&mut self, record: &log::Record) {
        let Some(active) = self.fold.active() else {
            return;
        };
        let proposal = active.proposal.clone();
        self.winners.insert(proposal.revision, record.id.clone());
        self.latest = Some(Accepted {
            record: record.id.clone(),
            offset: record.offset,
            proposal,
        });
    }

    fn judgement(&self, verdict: Verdict) -> Option<Judgement> {
        match verdict {
            Verdict::Accepted | Verdict::Refreshed => self.latest.clone().map(Ok),
            Verdict::Rejected(rejection) => Some(Err(rejection)),
            Verdict::Anchored { .. } | Verdict::Held | Verdict::Skipped(_) => None,
        }
    }

    async fn read(&self, wait: Duration) -> Result<log::Page, Failure> {
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
        loop {
            let query = Query {
                from: self.reader.next(),
                limit: READ_RECORDS,
                wait: wait.min(self.deadline.saturating_duration_since(Instant::now())),
            };
            match self.platform.read(&self.name, &query).await {
                Ok(page) => return Ok(page),
                Err(source) => self.pause(&mut backoff, source).await?,
            }
        }
    }

    async fn wait_for_anchor(&mut self) -> Result<(), Failure> {
        if Instant::now() >= self.deadline {
            return Err(Failure::Forgotten);
        }
        self.step(None, READ_WAIT).await.map(|_| ())
    }

    async fn pause(&self, backoff: &mut Backoff, source: Error) -> Result<(), Failure> {
        let pause = backoff.fail(rand::random());
        if Instant::now() + pause >= self.deadline {
            return Err(Failure::Platform { source });
        }
        time::sleep(pause).await;
        Ok(())
    }

    fn raced(&self, record: &id::Record, base: id::Revision) -> Failure {
        let revision = id::Revision(base.0 + 1);
        let winner = self.winners.get(&revision).cloned();
        Failure::Raced {
            record: record.clone(),
            winner: winner.unwrap_or_else(|| id::Record::from("of another operator")),
            revision,
        }
    }
}

/// After an append, a platform that stays silent leaves the outcome open.
fn unseen<Unknown>(failure: Failure, unknown: Unknown) -> Failure
where
    Unknown: FnOnce() -> Failure,
{
    match failure {
        Failure::Platform { .. } => unknown(),
        other => other,
    }
}

fn encode(proposal: &Proposal) -> Result<Box<RawValue>, Failure> {
    serde_json::value::to_raw_value(proposal).map_err(|error| Failure::Platform {
        source: Error::Malformed {
            reason: error.to_string(),
        },
    })
}
