//! Follows the contents of endpoint caches and of the stores of cached prompts, together
//! called holders.
//!
//! A holder answers a bounded number of readers at once. While all hosts fit within that
//! bound, each host reads for itself. In a larger deployment only hosts that place
//! requests follow the caches, and one of them per zone reads from the holders while the
//! others poll that host.
//!
//! A holder may send an answer too many, after which each answer on the connection would be
//! that of an earlier poll. A connection is closed once an answer cannot be that of the poll.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_coordination::reader::{Scope, Selector, Source as Upstream};
use papayayard_routing::placement::Endpoint;
use papayayard_routing::prompt;
use papayayard_wire::id;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time;

use crate::backoff::Backoffs;
use crate::beliefs::Configuration;
use crate::cache_news::ChangeLog;
use crate::call::{Bounds, Caller};
use crate::clock::Clock;
use crate::dispatch::Dispatch;
use crate::exchange::{Changes, Codec};
use crate::hosts::Neighbours;
use crate::peers;
use crate::runs;
use crate::schedule::{Handle, Holder, Message};
use crate::uplink;

/// Time for which a holder holds a poll open while there is no change.
const POLL_WAIT: Duration = Duration::from_millis(950);
/// The same time while the software of the holder is unknown: the shortest that a holder does not
/// count as a probe.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(200);
/// Pause between two polls, during which changes accumulate.
const POLL_PAUSE: Duration = Duration::from_millis(250);
/// Bounds of an answer with changes; the time includes [`POLL_WAIT`].
const CHANGES_BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(1750),
    bytes: 1 << 20,
};
/// Bounds of an answer with the full contents of a cache.
const CONTENTS_BOUNDS: Bounds = Bounds {
    time: Duration::from_secs(2),
    bytes: 8 << 20,
};
/// Interval at which a host checks whether it still has to read from the holders.
const RECHECK_PERIOD: Duration = Duration::from_secs(2);
/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Consecutive failures after which a store of cached prompts is considered down.
const DOWN_AFTER: u32 = 2;
/// Share of a holder's bound on concurrent readers that hosts may use.
const READERS_SHARE: f64 = 0.8;

/// Dependencies of the pollers.
pub(crate) struct Parts<Platform> {
    pub(crate) codec: Platform,
    pub(crate) host: id::Host,
    pub(crate) clock: Clock,
    pub(crate) endpoints: watch::Receiver<Vec<Endpoint>>,
    pub(crate) configuration: watch::Receiver<Configuration>,
    pub(crate) hosts: watch::Receiver<usize>,
    pub(crate) neighbours: watch::Receiver<Neighbours>,
    pub(crate) dispatch: Dispatch,
    pub(crate) changes: watch::Sender<ChangeLog>,
    pub(crate) backoffs: Backoffs,
    /// Learns which endpoints this host reaches.
    pub(crate) uplink: uplink::Handle,
    /// Learns which endpoints run the software that is listed.
    pub(crate) runs: runs::Tracker,
    pub(crate) schedule: Handle,
}

/// Polls the holders, or the host that does so for the zone, for as long as the process
/// runs.
pub(crate) async fn follow<Platform>(parts: Parts<Platform>)
where
    Platform: Codec,
{
    let mut feeds = Feeds {
        pollers: HashMap::new(),
        choice: Selector::new(parts.host.clone(), Scope::Zone),
        peer: None,
        since: 0,
        parts,
    };
    loop {
        if !feeds.step().await {
            return;
        }
    }
}

struct Feeds<Platform> {
    parts: Parts<Platform>,
    pollers: HashMap<Source, AbortHandle>,
    choice: Selector,
    peer: Option<peers::Client>,
    /// Number up to which the changes of `peer` were read.
    since: u64,
}

impl<Platform> Feeds<Platform>
where
    Platform: Codec,
{
    /// Performs one step; returns `false` if the host shuts down.
    async fn step(&mut self) -> bool {
        let zone = self.parts.neighbours.borrow_and_update().zone.clone();
        self.choice.set(zone, Vec::new());
        if self.exceeds_reader_limit() && !self.parts.dispatch.places_requests() {
            self.stop_pollers();
            time::sleep(POLL_PAUSE).await;
            return true;
        }
        let now = self.parts.clock.now();
        match self.choice.source(now) {
            Some(Upstream::Peer { host, address }) if self.exceeds_reader_limit() => {
                self.stop_pollers();
                match self.poll_peer(address).await {
                    Ok(()) => self.choice.answered(&host),
                    Err(problem) => {
                        log::info!(host:%, problem:%; "cannot read cache changes from another host");
                        self.choice.failed(&host, self.parts.clock.now());
                    }
                }
                time::sleep(POLL_PAUSE).await;
                true
            }
            _ => {
                self.update_pollers();
                // After this timeout the loop checks again whether this host still places
                // requests.
                let changed = time::timeout(RECHECK_PERIOD, self.changed()).await;
                changed.unwrap_or(true)
            }
        }
    }

    /// Whether there are more hosts than holders can serve as readers.
    fn exceeds_reader_limit(&self) -> bool {
        let configuration = self.parts.configuration.borrow();
        let Some(table) = &configuration.table else {
            return false;
        };
        let engines = table
            .services
            .values()
            .filter_map(|service| service.engine.as_ref());
        let readers = engines.map(|engine| engine.cache_readers).min();
        let max_hosts = f64::from(readers.unwrap_or(u32::MAX)) * READERS_SHARE;
        let hosts = u32::try_from(*self.parts.hosts.borrow()).unwrap_or(u32::MAX);
        f64::from(hosts) > max_hosts
    }

    async fn poll_peer(&mut self, address: SocketAddr) -> Result<(), String> {
        let connected = self.peer.take().filter(|peer| peer.address() == address);
        let client = if let Some(client) = connected {
            client
        } else {
            self.since = 0;
            peers::Client::new(address, POLL_WAIT)?
        };
        let batch = client.caches(self.since, POLL_WAIT).await?;
        self.peer = Some(client);
        self.since = batch.next;
        batch.apply(&self.parts.schedule);
        Ok(())
    }

    /// Stops all polling of holders.
    fn stop_pollers(&mut self) {
        for (_, poller) in self.pollers.drain() {
            poller.abort();
        }
    }

    /// Starts a polling task for each listed holder and aborts those of holders that are
    /// gone.
    fn update_pollers(&mut self) {
        let wanted = sources(
            &self.parts.endpoints.borrow_and_update(),
            &self.parts.configuration.borrow_and_update(),
        );
        self.pollers.retain(|source, poller| {
            let is_wanted = wanted.contains(source);
            if !is_wanted {
                poller.abort();
            }
            is_wanted
        });
        for source in wanted {
            let parts = &self.parts;
            self.pollers.entry(source).or_insert_with_key(|source| {
                let publisher = Publisher {
                    holder: source.holder.clone(),
                    schedule: parts.schedule.clone(),
                    changes: parts.changes.clone(),
                };
                let poller = Poller {
                    codec: parts.codec.clone(),
                    clock: parts.clock,
                    backoffs: parts.backoffs.clone(),
                    uplink: parts.uplink.clone(),
                    runs: parts.runs.clone(),
                    source: source.clone(),
                    publisher,
                };
                tokio::spawn(poller.run()).abort_handle()
            });
        }
    }

    async fn changed(&mut self) -> bool {
        let changed = tokio::select! {
            changed = self.parts.endpoints.changed() => changed,
            changed = self.parts.configuration.changed() => changed,
            changed = self.parts.hosts.changed() => changed,
            changed = self.parts.neighbours.changed() => changed,
        };
        changed.is_ok()
    }
}

/// A holder to poll; after a restart it counts as a different source.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Source {
    holder: Holder,
    started: id::Incarnation,
    address: SocketAddr,
}

fn sources(endpoints: &[Endpoint], configuration: &Configuration) -> Vec<Source> {
    let Some(table) = &configuration.table else {
        return Vec::new();
    };
    let engines = endpoints.iter().filter(|endpoint| {
        let service = table.services.get(&endpoint.service);
        service.is_some_and(|service| service.engine.is_some())
    });
    let mut sources: Vec<Source> = engines
        .map(|endpoint| Source {
            holder: Holder::Endpoint(endpoint.id.clone()),
            started: endpoint.started,
            address: endpoint.address,
        })
        .collect();
    sources.extend(table.cache_stores().map(|(name, store)| Source {
        holder: Holder::Store(name.clone()),
        started: id::Incarnation::default(),
        address: store.address,
    }));
    sources
}

/// Forwards changes of one holder to the scheduler and to the log for other hosts.
struct Publisher {
    holder: Holder,
    schedule: Handle,
    changes: watch::Sender<ChangeLog>,
}

impl Publisher {
    fn clear(&self) {
        self.schedule.send(Message::Clear(self.holder.clone()));
        self.changes
            .send_modify(|change_log| change_log.clear(&self.holder));
    }

    fn publish(&self, changes: &Changes) {
        if changes.parts.is_empty() {
            return;
        }
        let parts = changes.parts.iter();
        let parts: Vec<(prompt::Key, u32)> = parts
            .map(|change| (prompt::key(&change.salt, &change.part), change.tokens))
            .collect();
        self.changes
            .send_modify(|change_log| change_log.add(&self.holder, &parts));
        self.schedule
            .send(Message::Cached(self.holder.clone(), parts));
    }
}

/// Polls one holder.
struct Poller<Platform> {
    codec: Platform,
    clock: Clock,
    backoffs: Backoffs,
    uplink: uplink::Handle,
    runs: runs::Tracker,
    source: Source,
    publisher: Publisher,
}

impl<Platform> Poller<Platform>
where
    Platform: Codec,
{
    async fn run(self) {
        let address = self.source.address;
        let mut caller = Caller::new(address);
        let mut run = None;
        let mut since = 0;
        let mut failures = 0;
        loop {
            self.wait_until_wanted().await;
            let called_at = self.clock.now();
            let request = self.codec.changes(since, self.poll_wait());
            let outcome = caller.call(request, CHANGES_BOUNDS).await;
            if let Holder::Endpoint(endpoint) = &self.source.holder {
                self.uplink.record_call(endpoint, &caller, &outcome);
                if outcome.is_err() {
                    self.runs.lost(endpoint);
                }
            }
            let reply = match outcome {
                Ok(reply) => reply,
                Err(error) => {
                    log::debug!(address:%, error:%; "cannot read cache changes");
                    failures += 1;
                    if failures == DOWN_AFTER && self.is_store() {
                        // Engines wait for a store that is down. Clearing its contents
                        // keeps requests from fetching there until the store is read
                        // again, from the beginning.
                        log::info!(address:%, failures; "store of cached prompts does not answer");
                        self.publisher.clear();
                        since = 0;
                    }
                    time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            failures = 0;
            let Some(changes) = self.codec.decode_changes(&reply) else {
                log::debug!(address:%, status = reply.status.as_u16(); "cache changes cannot be decoded");
                caller.disconnect();
                time::sleep(RETRY_DELAY).await;
                continue;
            };
            if caller.is_reused() && !continues(&changes, since) {
                log::info!(address:%, since, next = changes.next; "cache changes answer an earlier poll");
                caller.disconnect();
                time::sleep(POLL_PAUSE).await;
                continue;
            }
            self.record_run(changes.started, called_at);
            if run.is_some_and(|run| run != changes.run) {
                log::info!(address:%; "holder of cached prompts has restarted");
                self.publisher.clear();
            }
            // An engine's cache turns over within seconds, so a gap in its changes closes
            // by itself. A store keeps parts for long, so it is read in full.
            let changes = if changes.has_gap && self.is_store() {
                let contents = contents(&self.codec, &mut caller).await;
                contents.unwrap_or(changes)
            } else {
                changes
            };
            run = Some(changes.run);
            // The first pause is random, so that polls of different holders are spread
            // over time.
            let pause = if since == 0 {
                POLL_PAUSE.mul_f64(rand::random())
            } else {
                POLL_PAUSE
            };
            since = changes.next;
            self.publisher.publish(&changes);
            time::sleep(pause).await;
        }
    }

    fn is_store(&self) -> bool {
        matches!(self.source.holder, Holder::Store(_))
    }

    /// How long the holder may hold the next poll; an endpoint whose software is unknown is to
    /// name its run soon.
    fn poll_wait(&self) -> Duration {
        match &self.source.holder {
            Holder::Endpoint(endpoint) if self.runs.software(endpoint).is_none() => SHORT_POLL_WAIT,
            Holder::Endpoint(_) | Holder::Store(_) => POLL_WAIT,
        }
    }

    /// Records the run that the holder named in the answer to a poll of the given time.
    fn record_run(&self, started: Option<id::Incarnation>, called_at: Duration) {
        if let (Holder::Endpoint(endpoint), Some(started)) = (&self.source.holder, started) {
            self.runs.follow(endpoint, started, called_at);
        }
    }

    /// Waits for as long as the holder has requested a backoff or limits requests: polls would
    /// take the place of callers' requests.
    async fn wait_until_wanted(&self) {
        loop {
            if let Holder::Endpoint(endpoint) = &self.source.holder {
                self.publisher.schedule.until_unlimited(endpoint).await;
            }
            let left = self
                .backoffs
                .remaining(self.source.address, self.clock.now());
            if left.is_zero() {
                return;
            }
            time::sleep(left).await;
        }
    }
}

/// Whether changes may answer a poll for those after `since`.
fn continues(changes: &Changes, since: u64) -> bool {
    changes.next >= since && changes.first.is_none_or(|first| first > since)
}

/// Reads the full contents of a holder.
async fn contents<Platform>(codec: &Platform, caller: &mut Caller) -> Option<Changes>
where
    Platform: Codec,
{
    match caller.call(codec.contents(), CONTENTS_BOUNDS).await {
        Ok(reply) => {
            let contents = codec.decode_contents(&reply);
            let parts = contents.as_ref().map_or(0, |contents| contents.parts.len());
            log::info!(parts; "cache contents read");
            contents
        }
        Err(error) => {
            log::info!(error:%; "cannot read cache contents");
            None
        }
    }
}
