//! Follows a topic of the store: first the newest record of each key, then
//! every record that comes.
//!
//! The store can be away, slow or refuse this host alone; what was read stays
//! valid meanwhile, and grows old. Where records have expired before they were
//! read, the newest ones are read again. One host of a zone reads the store and
//! the others ask that host, with the same offsets, so that any of them can
//! take over from it. A host that gets nothing from the store takes over what
//! any other has, if that is newer than its own, and keeps its age.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_coordination::journal::Backoff;
use papayayard_coordination::reader::{Rank, Reach, Readers, Source};
use papayayard_wire::id;
use tokio::sync::watch;
use tokio::time;

use crate::call::{Bounds, Caller};
use crate::clock::Clock;
use crate::hosts::Neighbours;
use crate::mirror::{Mirror, Part, Received};
use crate::peers;
use crate::store::{Codec, Error, Record, Topic};

/// Bounds of an answer of the store beyond the time that it was asked to wait; its
/// pages have at most two megabytes, and are written in base64.
const ANSWER_BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(600),
    bytes: 8 << 20,
};
/// Time after its start at which a host counts all hosts: those that start
/// together do so within some hundred milliseconds.
const COUNT_DELAY: Duration = Duration::from_millis(200);
/// Longest time to wait for that count.
const MAX_COUNT_WAIT: Duration = Duration::from_millis(500);
/// Hosts that are asked in a row.
const MAX_PEERS: u32 = 3;
/// Time for the answer of a store that has given none before.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// First wait after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Longest wait after a failure.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// See [`Polling::slack`].
const SLACK: Duration = Duration::from_millis(200);
/// Time beyond one period for which another host is given to have read again.
const PEER_MARGIN: Duration = Duration::from_millis(150);

/// What is made of a topic's records.
pub(crate) trait Reducer {
    /// Takes over a record; later ones of a key replace earlier ones. `first_seen` is
    /// the first time at which some host is known to have had it, or `None` where
    /// it may have lain in the store for any time. Tells whether it says anything
    /// new.
    fn apply_record(
        &mut self,
        record: &Record,
        first_seen: Option<Duration>,
        now: Duration,
    ) -> bool;

    /// A reading has begun that will show all keys.
    fn retain_keys(&mut self, keys: &HashSet<String>, now: Duration);

    /// A reading that was asked for at a time is about to be taken over.
    fn begin_reading(&mut self, _requested_at: Duration, _now: Duration) {}

    /// All records up to the time at which the reading was asked for are in.
    fn caught_up(&mut self, requested_at: Duration, next: u64, now: Duration);
}

/// Time by which the host that reads for its zone takes a reading for old sooner than
/// the second one does, and by which all others do so later: they find what one of
/// these two has read, and need not all read the store at once.
const FIRST_SLACK_CUT: Duration = Duration::from_millis(60);
const OTHER_SLACK_EXTRA: Duration = Duration::from_millis(150);
/// Wait where neither the store nor any host has had anything new.
const IDLE_WAIT: Duration = Duration::from_millis(150);

/// How often a topic is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Polling {
    /// Time that the store waits for a record to come.
    pub(crate) wait: Duration,
    /// Time between two readings.
    pub(crate) pause: Duration,
    /// Time beyond two periods after which a reading is old. A reading counts from
    /// when it was asked for, and is replaced when the next one ends.
    pub(crate) slack: Duration,
}

impl Polling {
    /// A polling of a wait and a pause.
    pub(crate) const fn new(wait: Duration, pause: Duration) -> Self {
        Self {
            wait,
            pause,
            slack: SLACK,
        }
    }

    /// The polling of a host by its place in its zone.
    pub(crate) const fn for_rank(self, rank: Rank) -> Self {
        let slack = match rank {
            Rank::First => SLACK.saturating_sub(FIRST_SLACK_CUT),
            Rank::Second => SLACK,
            Rank::Other => SLACK.saturating_add(OTHER_SLACK_EXTRA),
        };
        Self { slack, ..self }
    }

    /// Whether a reading is older than the host that reads would have it.
    pub(crate) fn is_stale(&self, requested_at: Duration, now: Duration) -> bool {
        requested_at + self.max_age() < now
    }

    /// Age of a reading from which on it is old.
    pub(crate) fn max_age(&self) -> Duration {
        self.period() * 2 + self.slack
    }

    /// Time that another host is waited for.
    pub(crate) fn max_wait(&self) -> Duration {
        self.period() + PEER_MARGIN
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
                .call(request, ANSWER_BOUNDS)
                .await
                .map_err(|error| no_answer(&error))?;
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
            .call(request, ANSWER_BOUNDS)
            .await
            .map_err(|error| no_answer(&error))?;
        Ok(self.codec.decode_append(&reply)?.offset)
    }
}

/// Where a topic's records come from and go to.
pub(crate) struct Links {
    /// This host.
    pub(crate) host: id::Host,
    /// Other hosts.
    pub(crate) hosts: watch::Receiver<Neighbours>,
    /// What other hosts are received.
    pub(crate) mirror: watch::Sender<Mirror>,
}

/// Follows a topic for as long as the process runs.
pub(crate) async fn follow<Platform, Target>(
    store: Store<Platform>,
    topic: Topic,
    polling: Polling,
    links: Links,
    reducer: Target,
) where
    Platform: Codec,
    Target: Reducer,
{
    let follower = Follower {
        caller: Caller::new(store.address),
        readers: Readers::new(links.host.clone(), Reach::All),
        peer: None,
        store,
        topic,
        polling,
        links,
        reducer,
        offsets: HashMap::new(),
        next: None,
        requested_at: None,
        is_unavailable: false,
    };
    follower.run().await;
}

struct Follower<Platform, Target> {
    store: Store<Platform>,
    caller: Caller,
    readers: Readers,
    peer: Option<peers::Client>,
    topic: Topic,
    polling: Polling,
    links: Links,
    reducer: Target,
    offsets: HashMap<String, u64>,
    next: Option<u64>,
    /// When the newest reading that was taken over was asked for.
    requested_at: Option<Duration>,
    /// Whether the store has given no answer since it did last.
    is_unavailable: bool,
}

impl<Platform, Target> Follower<Platform, Target>
where
    Platform: Codec,
    Target: Reducer,
{
    async fn run(mut self) {
        self.wait_for_count().await;
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        loop {
            match self.poll().await {
                Ok(None) => time::sleep(IDLE_WAIT).await,
                Ok(Some(Source::Peer { .. })) => backoff.succeed(),
                Ok(Some(Source::Store | Source::Probe)) => {
                    backoff.succeed();
                    time::sleep(self.polling.pause).await;
                }
                Err(Error::Expired) => {
                    log::info!(topic = self.topic.as_str(); "records expired; reading the newest");
                    self.next = None;
                }
                Err(error) => {
                    if !self.is_unavailable {
                        self.is_unavailable = true;
                        log::warn!(topic = self.topic.as_str(), error:%; "store lost");
                    }
                    self.readers.store_failed(self.store.clock.now());
                    if self.readers.is_alone() {
                        time::sleep(backoff.fail(rand::random())).await;
                    }
                }
            }
        }
    }

    /// Lets all hosts that start together write their records, so that most
    /// begin with asking another one.
    async fn wait_for_count(&mut self) {
        if self.topic == Topic::Hosts {
            time::sleep(COUNT_DELAY).await;
            return;
        }
        let counted = self.links.hosts.wait_for(|hosts| hosts.are_counted);
        if time::timeout(MAX_COUNT_WAIT, counted).await.is_err() {
            log::info!(topic = self.topic.as_str(); "hosts are not counted yet");
        }
    }

    /// Reads once, and tells from where; from nowhere if there is nobody to ask now.
    async fn poll(&mut self) -> Result<Option<Source>, Error> {
        self.update_hosts();
        let mut attempts = 0;
        let source = loop {
            let Some(source) = self.readers.source(self.store.clock.now()) else {
                return Ok(None);
            };
            let Source::Peer { host, address } = &source else {
                break source;
            };
            if attempts == MAX_PEERS {
                return Ok(None);
            }
            attempts += 1;
            match self.poll_peer(*address).await {
                Ok(()) => {
                    self.readers.answered(host);
                    return Ok(Some(source));
                }
                Err(problem) => {
                    let topic = self.topic.as_str();
                    log::info!(topic, host:%, problem:%; "another host has nothing new");
                    self.readers.failed(host, self.store.clock.now());
                }
            }
        };
        let is_probe = source == Source::Probe;
        match self.next {
            None => self.read_newest().await?,
            Some(from) => self.read_from(from, is_probe).await?,
        }
        self.readers.store_answered();
        if std::mem::take(&mut self.is_unavailable) {
            log::info!(topic = self.topic.as_str(); "store reached again");
        }
        Ok(Some(source))
    }

    fn update_hosts(&mut self) {
        if !self.links.hosts.has_changed().unwrap_or(false) && !self.readers.is_alone() {
            return;
        }
        let hosts = self.links.hosts.borrow_and_update().clone();
        if hosts.are_counted {
            self.readers.set(hosts.zone, hosts.others);
        } else {
            self.readers.set_unknown(hosts.others);
        }
    }

    /// Asks another host. What it has is taken over if it is newer than what this
    /// host knows; it is an error all the same if it is old.
    async fn poll_peer(&mut self, address: SocketAddr) -> Result<(), String> {
        let clock = self.store.clock;
        let connected = self.peer.take().filter(|peer| peer.address() == address);
        let client = match connected {
            Some(client) => client,
            None => peers::Client::new(address, self.polling.max_wait())?,
        };
        let polling = self.polling.for_rank(self.readers.rank());
        let part = client.read(self.topic, self.next, polling, clock).await?;
        self.peer = Some(client);
        let now = clock.now();
        if self
            .requested_at
            .is_none_or(|newest| newest < part.requested_at)
        {
            self.apply_part(&part, now);
        }
        if polling.is_stale(part.requested_at, now) {
            return Err("its reading is old".to_owned());
        }
        Ok(())
    }

    fn apply_part(&mut self, part: &Part, now: Duration) {
        self.reducer.begin_reading(part.requested_at, now);
        if part.is_whole {
            self.apply_all(&part.records, part.next, now);
        } else {
            for received in &part.records {
                self.apply(received, now);
            }
        }
        self.caught_up(part.requested_at, part.next, now);
    }

    async fn read_newest(&mut self) -> Result<(), Error> {
        let requested_at = self.store.clock.now();
        let (records, end) = self.store.newest(&mut self.caller, self.topic).await?;
        let now = self.store.clock.now();
        self.reducer.begin_reading(requested_at, now);
        let records: Vec<Received> = records.into_iter().map(Received::undated).collect();
        self.apply_all(&records, end, now);
        self.caught_up(requested_at, end, now);
        Ok(())
    }

    async fn read_from(&mut self, from: u64, is_probe: bool) -> Result<(), Error> {
        let requested_at = self.store.clock.now();
        let (wait, time) = if is_probe {
            (Duration::ZERO, PROBE_TIMEOUT)
        } else {
            (self.polling.wait, self.polling.wait + ANSWER_BOUNDS.time)
        };
        let request = self.store.codec.read(self.topic, from, wait);
        let bounds = Bounds {
            time,
            ..ANSWER_BOUNDS
        };
        let reply = self
            .caller
            .call(request, bounds)
            .await
            .map_err(|error| no_answer(&error))?;
        let page = self.store.codec.decode_read(from, &reply)?;
        let now = self.store.clock.now();
        self.reducer.begin_reading(requested_at, now);
        for record in page.records {
            self.apply(&Received::at(record, now), now);
        }
        self.caught_up(requested_at, page.next, now);
        Ok(())
    }

    /// Takes over the newest records of all keys.
    fn apply_all(&mut self, records: &[Received], end: u64, now: Duration) {
        self.links.mirror.send_modify(|mirror| mirror.restart(end));
        // As they were written: one may take back what another one says.
        let mut in_order: Vec<&Received> = records.iter().collect();
        in_order.sort_unstable_by_key(|received| received.record.offset);
        for received in in_order {
            self.apply(received, now);
        }
        let keys = records.iter().map(|received| received.record.key.clone());
        let keys: HashSet<String> = keys.collect();
        self.reducer.retain_keys(&keys, now);
    }

    fn apply(&mut self, received: &Received, now: Duration) {
        let record = &received.record;
        let applied = self.offsets.get(&record.key);
        let is_applied = applied.is_some_and(|offset| record.offset <= *offset);
        let is_change = !is_applied && self.reducer.apply_record(record, received.first_seen, now);
        if !is_applied {
            self.offsets.insert(record.key.clone(), record.offset);
        }
        self.links.mirror.send_if_modified(|mirror| {
            mirror.put(received, is_change);
            // Hosts that wait are woken once all of a reading is in.
            false
        });
    }

    fn caught_up(&mut self, requested_at: Duration, next: u64, now: Duration) {
        self.next = Some(next);
        self.requested_at = Some(requested_at);
        self.links
            .mirror
            .send_modify(|mirror| mirror.caught_up(next, requested_at));
        self.reducer.caught_up(requested_at, next, now);
    }
}

fn no_answer(error: &crate::call::Error) -> Error {
    Error::NoAnswer {
        problem: error.to_string(),
    }
}

#[cfg(test)]
#[path = "follow_test.rs"]
mod test;
