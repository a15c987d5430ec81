//! Follows a topic of the store: first the newest record of each key, then every new
//! record.
//!
//! The store can be unavailable, be slow, or refuse this host alone. Meanwhile the last
//! reading stays valid and ages. If records expired before they were read, the newest
//! record of each key is read again.
//!
//! One host of a zone reads the store and the others poll that host, using the same
//! offsets, so that any of them can replace it. A host that gets no answer from the store
//! accepts the reading of any other host that is newer than its own, together with the
//! age of that reading. As soon as the store answers one follower of the host again, all
//! of them call it.
//!
//! The store can return from an older copy. It then begins a new era, has lost its newest
//! records and assigns their offsets again, so an offset means nothing without its era. In
//! a new era the newest record of each key is read again, and reducers keep what they know
//! to be newer than the copy.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use papayayard_coordination::journal::Backoff;
use papayayard_coordination::ranking::Candidate;
use papayayard_coordination::reader::{Rank, Scope, Selector, Source};
use papayayard_wire::id;
use papayayard_wire::log::{Era, Offset, Position};
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time;

use crate::call::{Bounds, Caller, Reply};
use crate::clock::Clock;
use crate::era;
use crate::hosts::Neighbours;
use crate::mirror::{Mirror, Part, Received};
use crate::peers;
use crate::recovery::Notifier;
use crate::refusal::millis;
use crate::store::{Codec, Error, MalformedSnafu, Record, Topic};

/// Bounds of an answer of the store; the time is added to the requested wait. Pages hold
/// at most two megabytes and are encoded in base64.
const ANSWER_BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(600),
    bytes: 8 << 20,
};
/// Delay after its start before a host counts all hosts: hosts that start together do so
/// within some hundred milliseconds.
const COUNT_DELAY: Duration = Duration::from_millis(200);
/// Maximum wait for that count.
const MAX_COUNT_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of hosts polled in a row.
const MAX_PEERS: u32 = 3;
/// Maximum number of hosts asked before the first call to the store.
const MAX_FIRST_ASKED: usize = 2;
/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// See [`Polling::slack`].
const SLACK: Duration = Duration::from_millis(200);
/// Time beyond one period that another host gets to finish its next reading.
const PEER_MARGIN: Duration = Duration::from_millis(150);

/// Effect of a record on the state of a reducer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    Changed,
    Unchanged,
    /// None, since the state has newer content of the same key.
    Outdated,
}

/// A reading of a topic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    /// Era of its offsets.
    pub(crate) era: Era,
    /// When it was requested.
    pub(crate) requested_at: Duration,
    /// Whether the store may have been away since the reading before. A gap between readings
    /// alone does not show that: this host may have waited for other hosts.
    pub(crate) may_follow_outage: bool,
}

/// State built from the records of a topic.
pub(crate) trait Reducer {
    /// Applies a record, which replaces earlier ones of its key. `first_seen` is the
    /// earliest time at which some host is known to have had the record, or `None` if the
    /// record may have been in the store for any length of time.
    fn apply_record(
        &mut self,
        record: &Record,
        first_seen: Option<Duration>,
        now: Duration,
    ) -> Effect;

    /// Drops all keys except those given: a full reading contained no others.
    fn retain_keys(&mut self, keys: &HashSet<String>, now: Duration);

    /// Called before the records of a reading are applied. The first reading of an era
    /// contains the newest record of each key of a copy that may be older than the reducer's
    /// state.
    fn begin_reading(&mut self, _reading: Reading, _now: Duration) {}

    /// Called when all records up to the time of the request have been applied; `next` is
    /// the offset after the last one.
    fn caught_up(&mut self, requested_at: Duration, next: u64, now: Duration);
}

/// Amounts by which the first-ranked host of a zone considers a reading stale earlier
/// than the second one, and all others later. The others then find what one of these two
/// has read and need not all read the store at once.
const FIRST_SLACK_CUT: Duration = Duration::from_millis(60);
const OTHER_SLACK_EXTRA: Duration = Duration::from_millis(150);
/// Pause if neither the store nor any host had anything new.
const IDLE_WAIT: Duration = Duration::from_millis(150);

/// How often a topic is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Polling {
    /// Time for which the store holds a read open until a record arrives.
    pub(crate) wait: Duration,
    /// Pause between two readings.
    pub(crate) pause: Duration,
    /// Time beyond two periods after which a reading is stale. The age of a reading
    /// counts from its request, and a reading is replaced when the next one ends.
    pub(crate) slack: Duration,
    /// Maximum pause between calls to a store that does not answer, while no other host
    /// has newer data; `None` for the default.
    pub(crate) max_outage_pause: Option<Duration>,
    /// Whether a host that starts asks other hosts before the store.
    pub(crate) asks_hosts_first: bool,
}

impl Polling {
    pub(crate) const fn new(wait: Duration, pause: Duration) -> Self {
        Self {
            wait,
            pause,
            slack: SLACK,
            max_outage_pause: None,
            asks_hosts_first: false,
        }
    }

    /// Lets a host that starts ask other hosts before the store.
    pub(crate) const fn with_hosts_first(self) -> Self {
        Self {
            asks_hosts_first: true,
            ..self
        }
    }

    /// Sets the maximum pause between calls to a store that does not answer.
    pub(crate) const fn with_max_outage_pause(self, pause: Duration) -> Self {
        Self {
            max_outage_pause: Some(pause),
            ..self
        }
    }

    /// Adjusts the slack to a host's rank in its zone.
    pub(crate) const fn for_rank(self, rank: Rank) -> Self {
        let slack = match rank {
            Rank::First => SLACK.saturating_sub(FIRST_SLACK_CUT),
            Rank::Second => SLACK,
            Rank::Other => SLACK.saturating_add(OTHER_SLACK_EXTRA),
        };
        Self { slack, ..self }
    }

    /// Whether a reading is older than a working reader would let it become.
    pub(crate) fn is_stale(&self, requested_at: Duration, now: Duration) -> bool {
        requested_at + self.max_age() < now
    }

    /// Age after which a reading is stale.
    pub(crate) fn max_age(&self) -> Duration {
        self.period() * 2 + self.slack
    }

    /// Maximum wait for an answer of another host.
    pub(crate) fn max_wait(&self) -> Duration {
        self.period() + PEER_MARGIN
    }

    fn period(&self) -> Duration {
        self.wait + self.pause
    }
}

/// Connection parameters of the store.
#[derive(Clone)]
pub(crate) struct Store<Platform> {
    pub(crate) codec: Platform,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Clock,
    /// Notifies all tasks when the store answers again.
    pub(crate) recovery: Notifier,
    /// Notifies all tasks when the store was restored from an older copy.
    pub(crate) eras: era::Newest,
}

impl<Platform> Store<Platform>
where
    Platform: Codec,
{
    /// Calls the store, and returns its answer with the era of the store.
    async fn call(
        &self,
        caller: &mut Caller,
        request: http::Request<Bytes>,
        bounds: Bounds,
    ) -> Result<(Reply, Era), Error> {
        let reply = caller.call(request, bounds).await;
        let reply = reply.map_err(|error| no_answer(&error))?;
        let era = self.codec.era(&reply);
        self.eras.observe(era);
        Ok((reply, era))
    }

    /// Reads the newest record of each key, and returns the records with the position from
    /// which to continue.
    pub(crate) async fn newest(
        &self,
        caller: &mut Caller,
        topic: Topic,
    ) -> Result<(Vec<Record>, Position), Error> {
        let mut records = Vec::new();
        let mut after: Option<String> = None;
        let mut end = None;
        loop {
            let request = self.codec.newest(topic, after.as_deref());
            let (reply, era) = self.call(caller, request, ANSWER_BOUNDS).await?;
            let page = self.codec.decode_newest(&reply)?;
            warn_of_unreadable(topic, page.unreadable);
            // Pages are not a consistent snapshot, so reading continues from the end
            // offset of the first page.
            let end = *end.get_or_insert(position(era, page.end));
            if end.era != era {
                return Err(Error::Restored);
            }
            let last = page.records.last().map(|record| record.key.clone());
            records.extend(page.records);
            if !page.has_more {
                return Ok((records, end));
            }
            if last <= after {
                return MalformedSnafu {
                    problem: "no key from which to continue",
                }
                .fail();
            }
            after = last;
        }
    }

    /// Appends a record and returns its position. If `at` is given, the append succeeds
    /// only at that offset.
    pub(crate) async fn append(
        &self,
        caller: &mut Caller,
        topic: Topic,
        at: Option<u64>,
        record: (&str, &[u8]),
    ) -> Result<Position, Error> {
        let request = self.codec.append(topic, at, record.0, record.1);
        let (reply, era) = self.call(caller, request, ANSWER_BOUNDS).await?;
        let appended = self.codec.decode_append(&reply)?;
        Ok(position(era, appended.offset))
    }
}

/// Connections of a follower to the other hosts.
pub(crate) struct Links {
    pub(crate) host: id::Host,
    /// Hosts that can be polled instead of the store.
    pub(crate) hosts: watch::Receiver<Neighbours>,
    /// Copy of the topic that is served to other hosts.
    pub(crate) mirror: watch::Sender<Mirror>,
}

/// Reason why another host is of no use as a source.
#[derive(Debug, Snafu)]
enum PeerError {
    #[snafu(display("its reading is stale"))]
    Outdated,
    #[snafu(display("{problem}"))]
    NoAnswer { problem: String },
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
    let mut readers = Selector::new(links.host.clone(), Scope::All);
    if let Some(pause) = polling.max_outage_pause {
        readers = readers.with_max_pause(pause);
    }
    let follower = Follower {
        caller: Caller::new(store.address),
        readers,
        peer: None,
        store,
        topic,
        polling,
        links,
        reducer,
        offsets: HashMap::new(),
        era: None,
        next: None,
        requested_at: None,
        failed_at: None,
        is_unavailable: false,
        is_notified: false,
    };
    follower.run().await;
}

struct Follower<Platform, Target> {
    store: Store<Platform>,
    caller: Caller,
    readers: Selector,
    peer: Option<peers::Client>,
    topic: Topic,
    polling: Polling,
    links: Links,
    reducer: Target,
    /// Offset of the last applied record of each key, in the current era.
    offsets: HashMap<String, u64>,
    /// Era of the newest applied reading; `None` before the first one.
    era: Option<Era>,
    next: Option<Position>,
    /// When the newest applied reading was requested.
    requested_at: Option<Duration>,
    /// When the store last failed to answer this host.
    failed_at: Option<Duration>,
    /// Whether the store has not answered since its last success.
    is_unavailable: bool,
    /// Whether it has answered another task since this one called it in vain.
    is_notified: bool,
}

impl<Platform, Target> Follower<Platform, Target>
where
    Platform: Codec,
    Target: Reducer,
{
    async fn run(mut self) {
        self.wait_for_count().await;
        if self.polling.asks_hosts_first {
            self.ask_hosts().await;
        }
        let mut recoveries = self.store.recovery.subscribe();
        let mut eras = self.store.eras.subscribe();
        // Era that other tasks have seen and this one has been told of.
        let mut told = None;
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        loop {
            let known = self.era.max(told);
            if !self.readers.is_store_away() {
                recoveries.disregard();
            }
            tokio::select! {
                () = self.round(&mut backoff) => {}
                () = recoveries.next() => {
                    self.is_notified = true;
                    self.readers.store_recovered();
                }
                Ok(newest) = eras.wait_for(|newest| known.is_some() && *newest > known) => {
                    told = *newest;
                    self.next = None;
                }
            }
        }
    }

    /// Reads once, and waits until the next reading.
    async fn round(&mut self, backoff: &mut Backoff) {
        match self.poll().await {
            Ok(None) => time::sleep(IDLE_WAIT).await,
            Ok(Some(Source::Peer { .. })) => backoff.succeed(),
            Ok(Some(Source::Store | Source::Probe)) => {
                backoff.succeed();
                time::sleep(self.polling.pause).await;
            }
            Err(Error::Expired) => {
                log::info!(topic = self.topic.as_str(); "records expired; reading the newest of each key");
                self.next = None;
            }
            Err(Error::Restored) => self.next = None,
            Err(error) => {
                self.store_failed(&error);
                if self.readers.is_alone() {
                    time::sleep(backoff.fail(rand::random())).await;
                }
            }
        }
    }

    fn store_failed(&mut self, error: &Error) {
        self.is_notified = false;
        self.failed_at = Some(self.store.clock.now());
        if !self.is_unavailable {
            self.is_unavailable = true;
            log::warn!(topic = self.topic.as_str(), error:%; "store lost");
        }
        let pause = self.readers.store_failed(self.store.clock.now());
        log::info!(
            topic = self.topic.as_str(), error:%, pause_ms = millis(pause),
            reading_ms = self.reading_age().map_or(0, millis);
            "store does not answer; calling it again after the pause"
        );
    }

    /// Age of the newest applied reading; `None` before the first one.
    fn reading_age(&self) -> Option<Duration> {
        let requested_at = self.requested_at?;
        Some(self.store.clock.now().saturating_sub(requested_at))
    }

    /// Waits until hosts that start together have written their records, so that most of
    /// them begin by polling another host.
    async fn wait_for_count(&mut self) {
        if self.topic == Topic::Hosts {
            time::sleep(COUNT_DELAY).await;
            return;
        }
        let counted = self.links.hosts.wait_for(|hosts| hosts.are_counted);
        if time::timeout(MAX_COUNT_WAIT, counted).await.is_err() {
            log::info!(topic = self.topic.as_str(); "hosts are not counted yet; reading without the count");
        }
    }

    /// Reads once and returns the source, or `None` if there is no host to poll at the
    /// moment.
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
            match self.poll_peer(*address, self.peer_wait()).await {
                Ok(()) => {
                    self.readers.answered(host);
                    return Ok(Some(source));
                }
                Err(problem) => {
                    let topic = self.topic.as_str();
                    log::info!(topic, host:%, problem:%; "another host has nothing new");
                    let now = self.store.clock.now();
                    match problem {
                        PeerError::Outdated => self.readers.outdated(host, now),
                        PeerError::NoAnswer { .. } => self.readers.failed(host, now),
                    }
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
            if !self.is_notified {
                self.store.recovery.notify();
            }
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
            self.readers.set_unranked(hosts.others);
        }
    }

    /// Asks other hosts for what they have before the first call to the store, which may
    /// have been restored from a copy that is older.
    async fn ask_hosts(&mut self) {
        self.update_hosts();
        let known = self.readers.fallbacks().iter().take(MAX_FIRST_ASKED);
        let known: Vec<Candidate> = known.cloned().collect();
        for host in known {
            if let Err(problem) = self.poll_peer(host.address, Duration::ZERO).await {
                log::info!(
                    topic = self.topic.as_str(), host:% = host.host, problem:%;
                    "another host has nothing new"
                );
            }
        }
    }

    /// Polls another host, which may wait for a newer reading. Its reading is applied if it
    /// is newer than this host's, but a stale reading is still reported as an error.
    async fn poll_peer(&mut self, address: SocketAddr, wait: Duration) -> Result<(), PeerError> {
        let clock = self.store.clock;
        let connected = self.peer.take().filter(|peer| peer.address() == address);
        let client = match connected {
            Some(client) => client,
            None => peers::Client::new(address, self.polling.max_wait())
                .map_err(|problem| PeerError::NoAnswer { problem })?,
        };
        let polling = self.polling.for_rank(self.readers.rank());
        let part = client
            .read(self.topic, self.next, polling, wait, clock)
            .await
            .map_err(|problem| PeerError::NoAnswer { problem })?;
        self.peer = Some(client);
        let now = clock.now();
        let era = Some(part.era);
        self.store.eras.observe(part.era);
        if !part.is_whole && era != self.era {
            return Err(PeerError::Outdated);
        }
        if (era, Some(part.requested_at)) > (self.era, self.requested_at) {
            self.apply_part(&part, now);
        }
        let is_of_older_era = era < self.store.eras.get();
        if is_of_older_era || polling.is_stale(part.requested_at, now) {
            return Err(PeerError::Outdated);
        }
        Ok(())
    }

    /// Time that another host has for a newer reading: the store must be probed in time.
    fn peer_wait(&self) -> Duration {
        let max_wait = self.polling.max_wait();
        let now = self.store.clock.now();
        let probe = self.readers.next_probe();
        probe.map_or(max_wait, |probe| probe.saturating_sub(now).min(max_wait))
    }

    fn apply_part(&mut self, part: &Part, now: Duration) {
        let reading = Reading {
            era: part.era,
            requested_at: part.requested_at,
            // The other host does not tell whether the store had answered it all the while.
            may_follow_outage: true,
        };
        self.begin_reading(reading, now);
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
        self.check_era(end.era)?;
        let now = self.store.clock.now();
        self.begin_reading(self.own_reading(end.era, requested_at), now);
        let records: Vec<Received> = records.into_iter().map(Received::undated).collect();
        self.apply_all(&records, end.offset.0, now);
        self.caught_up(requested_at, end.offset.0, now);
        Ok(())
    }

    async fn read_from(&mut self, from: Position, is_probe: bool) -> Result<(), Error> {
        let requested_at = self.store.clock.now();
        let wait = if is_probe {
            Duration::ZERO
        } else {
            self.polling.wait
        };
        let request = self.store.codec.read(self.topic, from.offset.0, wait);
        let bounds = Bounds {
            time: wait + ANSWER_BOUNDS.time,
            ..ANSWER_BOUNDS
        };
        let (reply, era) = self.store.call(&mut self.caller, request, bounds).await?;
        let page = self.store.codec.decode_read(from.offset.0, &reply);
        if era > from.era && matches!(page, Ok(_) | Err(Error::Expired)) {
            return Err(Error::Restored);
        }
        let page = page?;
        self.check_era(era)?;
        warn_of_unreadable(self.topic, page.unreadable);
        let now = self.store.clock.now();
        self.begin_reading(self.own_reading(era, requested_at), now);
        for record in page.records {
            self.apply(&Received::at(record, now), now);
        }
        self.caught_up(requested_at, page.next, now);
        Ok(())
    }

    /// Checks that an answer of the store is not of an older era than earlier ones.
    fn check_era(&self, era: Era) -> Result<(), Error> {
        if Some(era) < self.era {
            let problem = "the store's era is lower than before";
            return MalformedSnafu { problem }.fail();
        }
        Ok(())
    }

    /// A reading that the store gave to this host.
    fn own_reading(&self, era: Era, requested_at: Duration) -> Reading {
        Reading {
            era,
            requested_at,
            may_follow_outage: self.failed_at.is_some() && self.failed_at > self.requested_at,
        }
    }

    fn begin_reading(&mut self, reading: Reading, now: Duration) {
        let era = reading.era;
        if self.era != Some(era) {
            log::info!(
                topic = self.topic.as_str(), era = era.0, before = self.era.map(|era| era.0);
                "first reading of the store's era"
            );
            self.era = Some(era);
            self.offsets.clear();
        }
        self.reducer.begin_reading(reading, now);
    }

    /// Applies the newest records of all keys.
    fn apply_all(&mut self, records: &[Received], end: u64, now: Duration) {
        let era = self.era.unwrap_or_default();
        let end = position(era, end);
        self.links.mirror.send_modify(|mirror| mirror.restart(end));
        // Records are applied in write order, since one may revoke the content of
        // another.
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
        let effect = if applied.is_some_and(|offset| record.offset <= *offset) {
            log::info!(
                topic = self.topic.as_str(), key = record.key.as_str(), offset = record.offset,
                applied = applied.copied();
                "record skipped; a later one of its key was applied"
            );
            Effect::Unchanged
        } else {
            self.offsets.insert(record.key.clone(), record.offset);
            self.reducer.apply_record(record, received.first_seen, now)
        };
        self.links.mirror.send_if_modified(|mirror| {
            match effect {
                Effect::Outdated => mirror.put_outdated(received),
                Effect::Changed | Effect::Unchanged => {
                    mirror.put(received, effect == Effect::Changed);
                }
            }
            // Hosts that wait for changes are woken after the whole reading was applied.
            false
        });
    }

    fn caught_up(&mut self, requested_at: Duration, next: u64, now: Duration) {
        self.next = self.era.map(|era| position(era, next));
        self.requested_at = Some(requested_at);
        self.links
            .mirror
            .send_modify(|mirror| mirror.caught_up(next, requested_at));
        self.reducer.caught_up(requested_at, next, now);
    }
}

const fn position(era: Era, offset: u64) -> Position {
    Position {
        era,
        offset: Offset(offset),
    }
}

fn warn_of_unreadable(topic: Topic, records: usize) {
    if records > 0 {
        log::warn!(topic = topic.as_str(), records; "unreadable records skipped");
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
