//! Follows a topic of the store: first the newest record of each key, then
//! every record that comes.
//!
//! The store can be away, slow or refuse this host alone; what was read stays
//! valid meanwhile, and grows old. Where records have expired before they were
//! read, the newest ones are read again. One host of a zone reads the store and
//! the others ask that host, with the same offsets, so that any of them can
//! take over from it.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_coordination::journal::Backoff;
use papayayard_coordination::reader::{Candidate, Readers, Source};
use papayayard_wire::id;
use tokio::sync::watch;
use tokio::time;

use crate::call::Caller;
use crate::clock::Clock;
use crate::mirror::Mirror;
use crate::peers;
use crate::store::{Codec, Error, Record, Topic};

/// Time for an answer beyond the time that the store was asked to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after its start at which a host counts all hosts: those that start
/// together do so within some hundred milliseconds.
const FIRST_COUNT: Duration = Duration::from_millis(400);
/// Longest time to wait for that count.
const LONGEST_COUNT: Duration = Duration::from_millis(800);
/// First wait after a failure.
const FIRST_RETRY: Duration = Duration::from_millis(60);
/// Longest wait after a failure.
const LONGEST_RETRY: Duration = Duration::from_millis(500);

/// Time beyond two periods after which a reading is old. A reading counts from
/// when it was asked for, and is replaced when the next one ends.
const OLD: Duration = Duration::from_millis(200);
/// Time beyond one period for which another host is given to have read again.
const READ_AGAIN: Duration = Duration::from_millis(150);

/// What is made of a topic's records.
pub(crate) trait Fold {
    /// Takes over a record; later ones of a key replace earlier ones. Tells
    /// whether it says anything new.
    fn record(&mut self, record: &Record, now: Duration) -> bool;

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

impl Beat {
    /// Whether a reading is older than the host that reads would have it.
    pub(crate) fn is_old(&self, asked: Duration, now: Duration) -> bool {
        asked + self.oldest() < now
    }

    /// Age of a reading from which on it is old.
    pub(crate) fn oldest(&self) -> Duration {
        self.period() * 2 + OLD
    }

    /// Time that another host is waited for.
    pub(crate) fn patience(&self) -> Duration {
        self.period() + READ_AGAIN
    }

    fn period(&self) -> Duration {
        self.wait + self.pause
    }
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
            let reply = caller
                .call(request, ANSWER_TIMEOUT)
                .await
                .map_err(|error| lost(&error))?;
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
        let reply = caller
            .call(request, ANSWER_TIMEOUT)
            .await
            .map_err(|error| lost(&error))?;
        Ok(self.codec.decode_append(&reply)?.offset)
    }
}

/// Where a topic's records come from and go to.
pub(crate) struct Links {
    /// This host.
    pub(crate) host: id::Host,
    /// Hosts of the zone; none before the first count.
    pub(crate) zone: watch::Receiver<Option<Vec<Candidate>>>,
    /// What other hosts are told.
    pub(crate) mirror: watch::Sender<Mirror>,
}

/// Follows a topic for as long as the process runs.
pub(crate) async fn follow<Platform, Target>(
    store: Store<Platform>,
    topic: Topic,
    beat: Beat,
    links: Links,
    fold: Target,
) where
    Platform: Codec,
    Target: Fold,
{
    let follower = Follower {
        caller: Caller::new(store.address),
        readers: Readers::new(links.host.clone()),
        peer: None,
        store,
        topic,
        beat,
        links,
        fold,
        offsets: HashMap::new(),
        next: None,
    };
    follower.run().await;
}

struct Follower<Platform, Target> {
    store: Store<Platform>,
    caller: Caller,
    readers: Readers,
    peer: Option<peers::Client>,
    topic: Topic,
    beat: Beat,
    links: Links,
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
        self.begin().await;
        let mut backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY);
        loop {
            match self.step().await {
                Ok(Source::Peer { .. }) => backoff.succeed(),
                Ok(Source::Store) => {
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

    /// Lets all hosts that start together write their records, so that most
    /// begin with asking another one.
    async fn begin(&mut self) {
        if self.topic == Topic::Hosts {
            time::sleep(FIRST_COUNT).await;
            return;
        }
        let counted = self.links.zone.wait_for(Option::is_some);
        if time::timeout(LONGEST_COUNT, counted).await.is_err() {
            log::info!(topic = self.topic.as_str(); "hosts are not counted yet");
        }
    }

    /// Reads once, and tells from where.
    async fn step(&mut self) -> Result<Source, Error> {
        let zone = self.links.zone.borrow_and_update().clone();
        self.readers.set(zone.unwrap_or_default());
        loop {
            let source = self.readers.source(self.store.clock.now());
            let Source::Peer { host, address } = &source else {
                break;
            };
            match self.ask(*address).await {
                Ok(()) => {
                    self.readers.answered(host);
                    return Ok(source);
                }
                Err(problem) => {
                    let topic = self.topic.as_str();
                    log::info!(topic, host:%, problem:%; "another host has nothing new");
                    self.readers.failed(host, self.store.clock.now());
                }
            }
        }
        match self.next {
            None => self.read_newest().await?,
            Some(from) => self.read_on(from).await?,
        }
        Ok(Source::Store)
    }

    /// Asks another host of the zone.
    async fn ask(&mut self, address: SocketAddr) -> Result<(), String> {
        let clock = self.store.clock;
        let kept = self.peer.take().filter(|peer| peer.address() == address);
        let client = match kept {
            Some(client) => client,
            None => peers::Client::new(address, self.beat.patience())?,
        };
        let part = client.read(self.topic, self.next, self.beat, clock).await?;
        self.peer = Some(client);
        let now = clock.now();
        if self.beat.is_old(part.asked, now) {
            return Err("its reading is old".to_owned());
        }
        self.fold.reading(now);
        if part.is_whole {
            self.take_whole(&part.records, part.next, now);
        } else {
            for record in &part.records {
                self.take(record, now);
            }
        }
        self.caught_up(part.asked, part.next, now);
        Ok(())
    }

    async fn read_newest(&mut self) -> Result<(), Error> {
        let asked = self.store.clock.now();
        let (records, end) = self.store.newest(&mut self.caller, self.topic).await?;
        let now = self.store.clock.now();
        self.fold.reading(now);
        self.take_whole(&records, end, now);
        self.caught_up(asked, end, now);
        Ok(())
    }

    async fn read_on(&mut self, from: u64) -> Result<(), Error> {
        let asked = self.store.clock.now();
        let request = self.store.codec.read(self.topic, from, self.beat.wait);
        let timeout = self.beat.wait + ANSWER_TIMEOUT;
        let reply = self
            .caller
            .call(request, timeout)
            .await
            .map_err(|error| lost(&error))?;
        let page = self.store.codec.decode_read(from, &reply)?;
        let now = self.store.clock.now();
        self.fold.reading(now);
        for record in &page.records {
            self.take(record, now);
        }
        self.caught_up(asked, page.next, now);
        Ok(())
    }

    /// Takes over the newest records of all keys.
    fn take_whole(&mut self, records: &[Record], end: u64, now: Duration) {
        self.links.mirror.send_modify(|mirror| mirror.restart(end));
        for record in records {
            self.take(record, now);
        }
        let keys: HashSet<String> = records.iter().map(|one| one.key.clone()).collect();
        self.fold.whole(&keys, now);
    }

    fn take(&mut self, record: &Record, now: Duration) {
        let known = self.offsets.get(&record.key);
        let is_known = known.is_some_and(|offset| record.offset <= *offset);
        let is_news = !is_known && self.fold.record(record, now);
        if !is_known {
            self.offsets.insert(record.key.clone(), record.offset);
        }
        self.links.mirror.send_if_modified(|mirror| {
            mirror.put(record, is_news);
            // Hosts that wait are woken once all of a reading is in.
            false
        });
    }

    fn caught_up(&mut self, asked: Duration, next: u64, now: Duration) {
        self.next = Some(next);
        self.links
            .mirror
            .send_modify(|mirror| mirror.caught_up(next, asked));
        self.fold.caught_up(asked, next, now);
    }
}

fn lost(error: &crate::call::Error) -> Error {
    Error::NoAnswer {
        problem: error.to_string(),
    }
}

#[cfg(test)]
#[path = "follow_test.rs"]
mod test;
