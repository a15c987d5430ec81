//! Reads a stream of the log from page to page, for as long as it takes.

use std::time::Duration;

use papayayard_coordination::journal::{Backoff, Gap, Reader};
use papayayard_platform::service;
use papayayard_wire::{id, log as stream};
use tokio::time::{self, Instant};

/// Most records of one read.
const READ_RECORDS: u32 = 256;
/// Time that a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Time between the starts of a first failed read and the next one.
const BACKOFF: Duration = Duration::from_millis(100);
/// Longest time between the starts of a failed read and the next one.
const BACKOFF_CAP: Duration = Duration::from_secs(1);

/// A stream and the position in it.
pub(crate) struct Tail<Log> {
    log: Log,
    name: id::Stream,
    backoff: Backoff,
    /// Position.
    pub(crate) reader: Reader,
}

impl<Log> Tail<Log>
where
    Log: service::Log,
{
    /// Starts at the stream's beginning.
    pub(crate) fn new(log: Log, name: id::Stream) -> Self {
        Self {
            log,
            name,
            backoff: Backoff::new(BACKOFF, BACKOFF_CAP),
            reader: Reader::default(),
        }
    }

    /// The next page, which may be empty. Waits through outages.
    ///
    /// The position moves only when the page is taken, so the call can be
    /// given up at any time.
    pub(crate) async fn page(&mut self) -> stream::Page {
        loop {
            let query = service::Query {
                from: self.reader.next(),
                limit: READ_RECORDS,
                wait: READ_WAIT,
            };
            let started = Instant::now();
            match self.log.read(&self.name, &query).await {
                Ok(page) => {
                    self.recovered();
                    return page;
                }
                Err(error) => self.failed(&error, started).await,
            }
        }
    }

    /// Takes a page in and reports what is missing before it.
    pub(crate) fn take<'a>(
        &mut self,
        page: &'a stream::Page,
    ) -> (Option<Gap>, &'a [stream::Record]) {
        let (gap, records) = self.reader.take(page);
        if let Some(gap) = gap {
            self.report(gap);
        }
        (gap, records)
    }

    fn report(&self, gap: Gap) {
        match gap {
            Gap::Missed { from, to } => log::warn!(
                stream:% = self.name, from = from.0, to = to.0;
                "records were removed from the log before they were read"
            ),
            Gap::Rewound { end, next } => log::warn!(
                stream:% = self.name, end = end.0, next = next.0;
                "the stream ends before the position read to; restart this host if the log was replaced"
            ),
        }
    }

    fn recovered(&mut self) {
        if self.backoff.failures() > 0 {
            log::info!(stream:% = self.name; "the log answers again");
        }
        self.backoff.succeed();
    }

    async fn failed(&mut self, error: &service::Error, started: Instant) {
        if self.backoff.failures() == 0 {
            log::warn!(stream:% = self.name; "the stream cannot be read: {error}");
        }
        let pause = self.backoff.fail(rand::random());
        time::sleep_until(started + pause).await;
    }
}
