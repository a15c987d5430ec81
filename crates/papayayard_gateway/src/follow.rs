//! Follows a topic of the store: first the newest record of each key, then
//! every record that comes.
//!
//! The store can be away, slow or refuse this host alone; what was read stays
//! valid meanwhile, and grows old. Where records have expired before they were
//! read, the newest ones are read again.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_coordination::journal::Backoff;
use tokio::time;

use crate::call::Caller;
use crate::clock::Clock;
use crate::store::{Codec, Error, Record, Topic};

/// Time for an answer beyond the time that the store was asked to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// First wait after a failure.
const FIRST_RETRY: Duration = Duration::from_millis(60);
/// Longest wait after a failure.
const LONGEST_RETRY: Duration = Duration::from_millis(500);

/// What is made of a topic's records.
pub(crate) trait Fold {
    /// Takes over a record; later ones of a key replace earlier ones.
    fn record(&mut self, record: &Record, now: Duration);

    /// A reading has begun that will show all keys.
    fn whole(&mut self, keys: &HashSet<String>, now: Duration);

    /// A reading that was asked for at a time is about to be taken over.
    fn reading(&mut self, _now: Duration) {}

    /// All records up to the time at which the reading was asked for are in.
    fn caught_up(&mut self, asked: Duration, next: u64, now: Duration);
}

/// How often a topic is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Beat {
    /// Time that the store waits for a record to come.
    pub(crate) wait: Duration,
    /// Time between two readings.
    pub(crate) pause: Duration,
}

/// Where the store is, and how it is spoken to.
#[derive(Clone)]
pub(crate) struct Store<Platform> {
    /// Translates.
    pub(crate) codec: Platform,
    /// Address.
    pub(crate) address: SocketAddr,
    /// Clock.
    pub(crate) clock: Clock,
}

impl<Platform> Store<Platform>
where
    Platform: Codec,
{
    /// Reads the newest record of each key.
    pub(crate) async fn newest(
        &self,
        caller: &mut Caller,
        topic: Topic,
    ) -> Result<(Vec<Record>, u64), Error> {
        let mut records = Vec::new();
        let mut after: Option<String> = None;
        let mut end = None;
        loop {
            let request = self.codec.newest(topic, after.as_deref());
            let reply = caller.call(request, ANSWER_TIMEOUT).await.map_err(lost)?;
            let page = self.codec.decode_newest(&reply)?;
            // Pages are no snapshot, so reading goes on from the first one's end.
            end.get_or_insert(page.end);
            after = page.records.last().map(|record| record.key.clone());
            records.extend(page.records);
            if !page.has_more || after.is_none() {
                return Ok((records, end.unwrap_or(0)));
            }
        }
    }

    /// Appends a record.
    pub(crate) async fn append(
        &self,
        caller: &mut Caller,
        topic: Topic,
        at: Option<u64>,
        record: (&str, &[u8]),
    ) -> Result<u64, Error> {
        let request = self.codec.append(topic, at, record.0, record.1);
        let reply = caller.call(request, ANSWER_TIMEOUT).await.map_err(lost)?;
        Ok(self.codec.decode_append(&reply)?.offset)
    }
}

/// Follows a topic for as long as the process runs.
pub(crate) async fn follow<Platform, Target>(
    store: Store<Platform>,
    topic: Topic,
    beat: Beat,
    fold: Target,
) where
    Platform: Codec,
    Target: Fold,
{
    let follower = Follower {
        caller: Caller::new(store.address),
        store,
        topic,
        beat,
        fold,
        offsets: HashMap::new(),
        next: None,
    };
    follower.run().await;
}

struct Follower<Platform, Target> {
    store: Store<Platform>,
    caller: Caller,
    topic: Topic,
    beat: Beat,
    fold: Target,
    offsets: HashMap<String, u64>,
    next: Option<u64>,
}

impl<Platform, Target> Follower<Platform, Target>
where
    Platform: Codec,
    Target: Fold,
{
    async fn run(mut self) {
        let mut backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY);
        loop {
            match self.step().await {
                Ok(()) => {
                    if backoff.failures() > 0 {
                        log::info!(topic = self.topic.as_str(); "store reached again");
                    }
                    backoff.succeed();
                    time::sleep(self.beat.pause).await;
                }
                Err(Error::Expired) => {
                    log::info!(topic = self.topic.as_str(); "records expired; reading the newest");
                    self.next = None;
                }
                Err(error) => {
                    if backoff.failures() == 0 {
                        log::warn!(topic = self.topic.as_str(), error:%; "store lost");
                    }
                    time::sleep(backoff.fail(rand::random())).await;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<(), Error> {
        match self.next {
            None => self.read_newest().await,
            Some(from) => self.read_on(from).await,
        }
    }

    async fn read_newest(&mut self) -> Result<(), Error> {
        let asked = self.store.clock.now();
        let (records, end) = self.store.newest(&mut self.caller, self.topic).await?;
        let now = self.store.clock.now();
        self.fold.reading(now);
        let keys: HashSet<String> = records.iter().map(|one| one.key.clone()).collect();
        for record in &records {
            self.take(record, now);
        }
        self.fold.whole(&keys, now);
        self.fold.caught_up(asked, end, now);
        self.next = Some(end);
        Ok(())
    }

    async fn read_on(&mut self, from: u64) -> Result<(), Error> {
        let asked = self.store.clock.now();
        let request = self.store.codec.read(self.topic, from, self.beat.wait);
        let timeout = self.beat.wait + ANSWER_TIMEOUT;
        let reply = self.caller.call(request, timeout).await.map_err(lost)?;
        let page = self.store.codec.decode_read(from, &reply)?;
        let now = self.store.clock.now();
        self.fold.reading(now);
        for record in &page.records {
            self.take(record, now);
        }
        self.next = Some(page.next);
        self.fold.caught_up(asked, page.next, now);
        Ok(())
    }

    fn take(&mut self, record: &Record, now: Duration) {
        let known = self.offsets.get(&record.key);
        if known.is_some_and(|offset| record.offset <= *offset) {
            return;
        }
        self.offsets.insert(record.key.clone(), record.offset);
        self.fold.record(record, now);
    }
}

fn lost(error: crate::call::Error) -> Error {
    Error::NoAnswer {
        problem: error.to_string(),
    }
}
