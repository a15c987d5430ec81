//! Follows the log's configuration stream and publishes what is in force.

use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::configuration::{Fold, Snapshot};
use papayayard_document::document::Document;
use papayayard_platform::service;
use papayayard_wire::configuration::{Entry, STREAM};
use papayayard_wire::{id, log as stream};
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::active::Active;

/// The configuration in force, if there is one.
pub(crate) type Current = Option<Arc<Active>>;

/// Proposals of peers that wait.
const BACKLOG: usize = 16;
/// Most records of one read.
const READ_RECORDS: u32 = 256;
/// Time that a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Pause after a failed read.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// Ways to the peers' controller.
pub(crate) struct Link {
    /// Gets the accepted proposal.
    pub(crate) accepted: watch::Sender<Option<Entry>>,
    /// Gives proposals that peers have accepted.
    pub(crate) adopt: mpsc::Receiver<Entry>,
}

/// A link, with what the peers' controller follows and tells.
pub(crate) fn link() -> (Link, watch::Receiver<Option<Entry>>, mpsc::Sender<Entry>) {
    let (accepted, accepted_seen) = watch::channel(None);
    let (adopted, adopt) = mpsc::channel(BACKLOG);
    (Link { accepted, adopt }, accepted_seen, adopted)
}

/// Follows the stream and the peers until nobody listens any more.
pub(crate) async fn follow<Log>(log: Log, current: watch::Sender<Current>, mut link: Link)
where
    Log: service::Log,
{
    let name = id::Stream::from(STREAM);
    let mut fold: Fold<Document> = Fold::default();
    while !current.is_closed() {
        let query = service::Query {
            from: fold.next(),
            limit: READ_RECORDS,
            wait: READ_WAIT,
        };
        tokio::select! {
            Some(entry) = link.adopt.recv() => adopt(&mut fold, entry),
            page = log.read(&name, &query) => match page {
                Ok(page) => apply(&mut fold, &page),
                Err(error) => {
                    log::warn!("the configuration stream cannot be read: {error}");
                    pause(&mut fold, &mut link).await;
                }
            }
        }
        publish(&fold, &current, &link);
    }
}

/// Waits before the next read; a peer's proposal ends the wait.
async fn pause(fold: &mut Fold<Document>, link: &mut Link) {
    tokio::select! {
        Some(entry) = link.adopt.recv() => adopt(fold, entry),
        () = time::sleep(FAILED_PAUSE) => {}
    }
}

fn apply(fold: &mut Fold<Document>, page: &stream::Page) {
    fold.skip_to(page.first);
    for record in &page.records {
        let verdict = fold.apply(record);
        log::debug!(offset = record.offset.0; "configuration record: {verdict:?}");
    }
}

fn adopt(fold: &mut Fold<Document>, entry: Entry) {
    let adoption = fold.adopt(Snapshot {
        proposal: entry.proposal,
        read_to: entry.read_to,
    });
    log::debug!("configuration of a peer: {adoption:?}");
}

fn publish(fold: &Fold<Document>, current: &watch::Sender<Current>, link: &Link) {
    let (Some(active), Some(snapshot)) = (fold.active(), fold.snapshot()) else {
        return;
    };
    let proposal = &active.proposal;
    let known = current.borrow().as_ref().map(|active| active.revision);
    if known != Some(proposal.revision) {
        let document = active.document.clone();
        let active = Active::new(proposal.revision, proposal.digest.clone(), document);
        log::info!(revision = active.revision.0; "configuration in force");
        current.send_replace(Some(Arc::new(active)));
    }
    let entry = Entry {
        proposal: snapshot.proposal,
        read_to: snapshot.read_to,
    };
    link.accepted.send_if_modified(|known| {
        let is_changed = known.as_ref() != Some(&entry);
        *known = Some(entry);
        is_changed
    });
}
