//! Reads the stream of leases.

use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::lease;
use papayayard_platform::service;
use papayayard_wire::{id, log as stream};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

/// Most records of one read.
const READ_RECORDS: u32 = 256;
/// Time that a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Time between the starts of a failed read and the next one.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// Reads until nobody listens any more.
pub(super) async fn follow<Log>(log: Arc<Log>, pages: mpsc::Sender<stream::Page>)
where
    Log: service::Log,
{
    let name = id::Stream::from(lease::STREAM);
    let mut next = stream::Offset(0);
    while !pages.is_closed() {
        let query = service::Query {
            from: next,
            limit: READ_RECORDS,
            wait: READ_WAIT,
        };
        let started = Instant::now();
        match log.read(&name, &query).await {
            Ok(page) => {
                next = page
                    .records
                    .last()
                    .map_or(page.first.max(next), |last| last.offset.next());
                // A task that has ended reads nothing.
                let _ = pages.send(page).await;
            }
            Err(error) => {
                log::debug!("the stream of leases cannot be read: {error}");
                time::sleep_until(started + FAILED_PAUSE).await;
            }
        }
    }
}
