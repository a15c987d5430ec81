//! Follows the log's configuration stream and publishes what is in force.

use std::sync::Arc;
use std::time::Duration;

use papayayard_document::document::Document;
use papayayard_platform::service;
use papayayard_wire::configuration::{self, Proposal};
use papayayard_wire::{id, log as stream};
use tokio::sync::watch;
use tokio::time;

use crate::active::Active;

/// The configuration in force, if there is one.
pub(crate) type Current = Option<Arc<Active>>;

/// Most records of one read.
const READ_RECORDS: u32 = 256;
/// Time that a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Pause after a failed read.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// Follows the stream until nobody listens any more.
pub(crate) async fn follow<Log>(log: Log, current: watch::Sender<Current>)
where
    Log: service::Log,
{
    let name = id::Stream::from(configuration::STREAM);
    let mut next = stream::Offset(0);
    while !current.is_closed() {
        let query = service::Query {
            from: next,
            limit: READ_RECORDS,
            wait: READ_WAIT,
        };
        match log.read(&name, &query).await {
            Ok(page) => {
                next = page
                    .records
                    .last()
                    .map_or(page.first.max(next), |record| record.offset.next());
                for record in &page.records {
                    offer(record, &current);
                }
            }
            Err(error) => {
                log::warn!("the configuration stream cannot be read: {error}");
                time::sleep(FAILED_PAUSE).await;
            }
        }
    }
}

fn offer(record: &stream::Record, current: &watch::Sender<Current>) {
    let Ok(proposal) = serde_json::from_str::<Proposal>(record.payload.get()) else {
        return;
    };
    let accepted = current
        .borrow()
        .as_ref()
        .map_or(id::Revision(0), |active| active.revision);
    if proposal.base != accepted {
        return;
    }
    let Ok(document) = Document::parse(&proposal.document) else {
        return;
    };
    let active = Active::new(proposal.revision, proposal.digest, document);
    log::info!(revision = active.revision.0; "configuration in force");
    current.send_replace(Some(Arc::new(active)));
}
