//! Reads what endpoints and the stores of cached prompts keep.
//!
//! Holders answer a bounded number of callers at once. While all hosts fit into
//! that, each reads for itself. In a larger deployment only hosts that place
//! requests follow, and of those in a zone one reads and the others ask it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_coordination::reader::{Reach, Readers, Source as Upstream};
use papayayard_routing::placement::Endpoint;
use papayayard_routing::prompt;
use papayayard_wire::id;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time;

use crate::beliefs::Configuration;
use crate::cache_news::ChangeLog;
use crate::call::{Bounds, Caller};
use crate::clock::Clock;
use crate::dispatch::Dispatch;
use crate::exchange::{Changes, Codec};
use crate::hosts::Neighbours;
use crate::peers;
use crate::quiet::Quiet;
use crate::schedule::{Handle, Holder, Message};

/// Time that a holder waits for a change.
const POLL_WAIT: Duration = Duration::from_millis(950);
/// Time between two readings, in which changes add up.
const POLL_PAUSE: Duration = Duration::from_millis(250);
/// Bounds of an answer with changes, the wait included.
const CHANGES_BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(1750),
    bytes: 1 << 20,
};
/// Bounds of a whole list.
const CONTENTS_BOUNDS: Bounds = Bounds {
    time: Duration::from_secs(2),
    bytes: 8 << 20,
};
/// Period in which a host looks whether it still has to read.
const RECHECK_PERIOD: Duration = Duration::from_secs(2);
/// Time to try again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Failures in a row after which a store of cached prompts is taken to be down.
const DOWN_AFTER: u32 = 2;
/// Part of the callers that a holder answers at once which hosts may be.
const READERS_SHARE: f64 = 0.8;

/// What the readers are made of.
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
    pub(crate) quiet: Quiet,
    pub(crate) schedule: Handle,
}

/// Reads, or asks the host that reads, for as long as the process runs.
pub(crate) async fn follow<Platform>(parts: Parts<Platform>)
where
    Platform: Codec,
{
    let mut feeds = Feeds {
        pollers: HashMap::new(),
        choice: Readers::new(parts.host.clone(), Reach::Zone),
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
    choice: Readers,
    peer: Option<peers::Client>,
    /// Number up to which the other host was followed.
    since: u64,
}

impl<Platform> Feeds<Platform>
where
    Platform: Codec,
{
    /// Does one thing; `false` where the host has ended.
    async fn step(&mut self) -> bool {
        let zone = self.parts.neighbours.borrow_and_update().zone.clone();
        self.choice.set(zone, Vec::new());
        if self.exceeds_reader_limit() && !self.parts.dispatch.places() {
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
                        log::info!(host:%, problem:%; "no news of caches from another host");
                        self.choice.failed(&host, self.parts.clock.now());
                    }
                }
                time::sleep(POLL_PAUSE).await;
                true
            }
            _ => {
                self.update_pollers();
                // Whether this host still places requests is looked at again.
                let changed = time::timeout(RECHECK_PERIOD, self.changed()).await;
                changed.unwrap_or(true)
            }
        }
    }

    /// Whether holders cannot answer all hosts.
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

    /// Stops reading from holders.
    fn stop_pollers(&mut self) {
        for (_, poller) in self.pollers.drain() {
            poller.abort();
        }
    }

    /// Reads from each holder in a task.
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
                    quiet: parts.quiet.clone(),
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

/// A holder to read from; a restart makes another one of it.
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

/// Tells what one holder keeps.
struct Publisher {
    holder: Holder,
    schedule: Handle,
    changes: watch::Sender<ChangeLog>,
}

impl Publisher {
    fn clear(&self) {
        self.schedule.tell(Message::Forget(self.holder.clone()));
        self.changes.send_modify(|log| log.clear(&self.holder));
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
            .send_modify(|log| log.add(&self.holder, &parts));
        self.schedule
            .tell(Message::Told(self.holder.clone(), parts));
    }
}

/// Reads from one holder.
struct Poller<Platform> {
    codec: Platform,
    clock: Clock,
    quiet: Quiet,
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
            self.wait_for_backoff().await;
            let request = self.codec.changes(since, POLL_WAIT);
            let reply = match caller.call(request, CHANGES_BOUNDS).await {
                Ok(reply) => reply,
                Err(error) => {
                    log::debug!(address:%, error:%; "no news of a cache");
                    failures += 1;
                    if failures == DOWN_AFTER && self.is_store() {
                        // Engines wait for a source that is down, so none is sent
                        // there until it is read again, from its beginning.
                        log::info!(address:%, failures; "a store of prompts is silent");
                        self.publisher.clear();
                        since = 0;
                    }
                    time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            failures = 0;
            let Some(changes) = self.codec.decode_changes(&reply) else {
                log::debug!(address:%, status = reply.status.as_u16(); "cache not told");
                time::sleep(RETRY_DELAY).await;
                continue;
            };
            if run.is_some_and(|run| run != changes.run) {
                log::info!(address:%; "holder of cached parts has restarted");
                self.publisher.clear();
            }
            // An engine's cache turns over within seconds, so that a gap there
            // closes by itself; a store keeps parts for long.
            let changes = if changes.has_gap && self.is_store() {
                let contents = contents(&self.codec, &mut caller).await;
                contents.unwrap_or(changes)
            } else {
                changes
            };
            run = Some(changes.run);
            // Holders are read at different moments, so that work is spread.
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

    /// Waits for as long as the holder wants to be left alone.
    async fn wait_for_backoff(&self) {
        loop {
            let left = self.quiet.left(self.source.address, self.clock.now());
            if left.is_zero() {
                return;
            }
            time::sleep(left).await;
        }
    }
}

/// All that a holder keeps.
async fn contents<Platform>(codec: &Platform, caller: &mut Caller) -> Option<Changes>
where
    Platform: Codec,
{
    match caller.call(codec.contents(), CONTENTS_BOUNDS).await {
        Ok(reply) => {
            let contents = codec.decode_contents(&reply);
            let parts = contents.as_ref().map_or(0, |contents| contents.parts.len());
            log::info!(parts; "contents of a cache read");
            contents
        }
        Err(error) => {
            log::info!(error:%; "contents of a cache not read");
            None
        }
    }
}
