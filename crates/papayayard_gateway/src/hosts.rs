//! Discovery of hosts: each host writes a heartbeat record to the store.
//!
//! Limits across all hosts are divided by the number of hosts. A crashed host is counted
//! until the others have written several more records, so shares are too small rather
//! than too large. A host that is stopped removes its record. Hosts of one zone poll one
//! another's readings, and hosts of all zones do so while the store does not answer.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_coordination::detour::Peer;
use papayayard_coordination::presence::Tracker;
use papayayard_coordination::ranking::Candidate;
use papayayard_coordination::shutdown::Stage;
use papayayard_routing::placement::HostCounts;
use papayayard_wire::id;
use papayayard_wire::log::Era;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

use crate::call::Caller;
use crate::follow::{Effect, Reading, Reducer, Store};
use crate::front::StopState;
use crate::metrics::Metrics;
use crate::schedule::{Handle, Message};
use crate::store::{self, Codec, Error, Record, Topic};

/// Number of hosts assumed until they were counted.
pub(crate) const ASSUMED_COUNT: usize = 9;
/// Time between two heartbeats of a host.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(20);
/// Bounds of the retry delay after a failed write: a host is considered gone only after
/// several periods without a record.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Time over which hosts spread the writes of their records to a restored store.
const REWRITE_SPREAD: Duration = Duration::from_secs(1);

/// Content of a host's record.
#[derive(Debug, Serialize, Deserialize)]
struct Presence {
    /// Availability zone.
    zone: String,
    /// Address for calls of other hosts.
    peers: SocketAddr,
    /// Relative capacity; see [`Candidate::capacity`].
    capacity: u32,
    /// Address for requests that other hosts pass on, if the host takes any; older releases
    /// state none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    forwarded: Option<SocketAddr>,
}

/// Properties of this host that are published to other hosts.
#[derive(Clone, Debug)]
pub(crate) struct LocalHost {
    pub(crate) host: id::Host,
    pub(crate) zone: id::Zone,
    pub(crate) peers: SocketAddr,
    pub(crate) capacity: u32,
    /// Address for requests that other hosts pass on.
    pub(crate) forwarded: Option<SocketAddr>,
}

/// Other hosts whose readings can be polled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Neighbours {
    /// Whether the hosts were counted; until then `others` holds the seeds from the
    /// settings.
    pub(crate) are_counted: bool,
    /// Hosts of this zone, including this host.
    pub(crate) zone: Vec<Candidate>,
    /// Hosts of other zones.
    pub(crate) others: Vec<Candidate>,
    /// Other hosts of all zones that take requests which this host passes on.
    pub(crate) takers: Vec<Peer>,
}

impl Neighbours {
    /// Creates the initial list from the seeds in the settings; only their addresses are
    /// known.
    pub(crate) fn from_seeds(seeds: &[SocketAddr], own: SocketAddr) -> Self {
        let others = seeds.iter().filter(|seed| **seed != own);
        Self {
            are_counted: false,
            zone: Vec::new(),
            takers: Vec::new(),
            others: others
                .map(|seed| Candidate {
                    host: id::Host::from(seed.to_string()),
                    address: *seed,
                    capacity: 0,
                })
                .collect(),
        }
    }
}

/// Receivers of the host count and of the list of hosts.
pub(crate) struct Links {
    /// Number of all hosts.
    pub(crate) number: watch::Sender<usize>,
    /// Hosts that can be polled.
    pub(crate) neighbours: watch::Sender<Neighbours>,
    pub(crate) schedule: Handle,
    pub(crate) metrics: Metrics,
}

/// Writes this host's record periodically, as soon as the store answers again if that
/// failed, and to a restored store, which may have lost it. Removes it when the host is
/// stopped.
pub(crate) async fn announce<Platform>(
    store: Store<Platform>,
    own: LocalHost,
    mut stop_state: watch::Receiver<StopState>,
) where
    Platform: Codec,
{
    let mut caller = Caller::new(store.address);
    let value = own.presence();
    let mut recoveries = store.recovery.subscribe();
    let mut eras = store.eras.subscribe();
    let mut era = None;
    let mut retry = INITIAL_BACKOFF;
    loop {
        recoveries.disregard();
        let written = write(&store, &mut caller, &own, &value).await;
        let is_missing = written.is_err();
        let pause = match written {
            Ok(written_in) => {
                era = Some(written_in);
                retry = INITIAL_BACKOFF;
                HEARTBEAT_PERIOD
            }
            Err(error) => {
                log::info!(error:%; "writing this host's record failed");
                let pause = retry;
                retry = (retry * 2).min(MAX_BACKOFF);
                pause
            }
        };
        tokio::select! {
            _ = stop_state.wait_for(|stop_state| stop_state.stage > Stage::Serving) => break,
            () = recoveries.next(), if is_missing => {}
            () = restored(&mut eras, era) => {}
            () = time::sleep(pause) => {}
        }
    }
    if let Err(error) = write(&store, &mut caller, &own, &[]).await {
        log::info!(error:%; "removing this host's record failed");
    }
}

/// Waits until the store is restored after the era of a write, and for a part of the time
/// over which hosts spread their writes.
async fn restored(eras: &mut watch::Receiver<Option<Era>>, written_in: Option<Era>) {
    let is_newer = |newest: &Option<Era>| written_in.is_some() && *newest > written_in;
    if eras.wait_for(is_newer).await.is_err() {
        // Nobody calls the store any more.
        std::future::pending::<()>().await;
    }
    time::sleep(REWRITE_SPREAD.mul_f64(rand::random())).await;
}

/// Writes a value for this host, and returns the era of the store.
async fn write<Platform>(
    store: &Store<Platform>,
    caller: &mut Caller,
    own: &LocalHost,
    value: &[u8],
) -> Result<Era, Error>
where
    Platform: Codec,
{
    let record = (own.host.as_str(), value);
    let position = store.append(caller, Topic::Hosts, None, record).await?;
    Ok(position.era)
}

impl LocalHost {
    /// Encodes this host's record.
    fn presence(&self) -> Vec<u8> {
        let presence = Presence {
            zone: self.zone.as_str().to_owned(),
            peers: self.peers,
            capacity: self.capacity,
            forwarded: self.forwarded,
        };
        // A struct of strings and numbers can always be encoded as JSON.
        serde_json::to_vec(&presence).unwrap_or_default()
    }
}

/// Reducer for the records of all hosts.
pub(crate) struct Presences {
    own: LocalHost,
    links: Links,
    census: Tracker,
    hosts: HashMap<id::Host, Presence>,
    last_number: usize,
    last_counts: Option<HostCounts>,
    /// Era of the newest reading.
    era: Option<Era>,
    /// Whether the current reading is the first one of a restored store.
    is_restored: bool,
}

impl Presences {
    pub(crate) fn new(own: LocalHost, links: Links) -> Self {
        Self {
            own,
            links,
            census: Tracker::default(),
            hosts: HashMap::new(),
            last_number: 0,
            last_counts: None,
            era: None,
            is_restored: false,
        }
    }

    fn publish(&mut self, end: u64) {
        let living = self.census.live_hosts(end);
        let number = living.len().max(1);
        let neighbours = self.neighbours(&living);
        let counts = self.counts(&living);
        if self.last_counts.as_ref() != Some(&counts) {
            self.last_counts = Some(counts.clone());
            self.links.schedule.send(Message::HostCounts(counts));
        }
        if number != self.last_number {
            log::info!(number; "hosts counted");
            self.last_number = number;
            self.links.number.send_replace(number);
            self.links.metrics.counted_hosts(number as u64);
            self.links.schedule.send(Message::Hosts(number));
        }
        self.links.neighbours.send_if_modified(|current| {
            let is_new = *current != neighbours;
            if is_new {
                *current = neighbours;
            }
            is_new
        });
    }

    fn counts(&self, living: &[&id::Host]) -> HostCounts {
        let mut by_zone = HashMap::new();
        let known = living.iter().filter_map(|host| self.hosts.get(*host));
        for presence in known {
            let zone = id::Zone::from(presence.zone.as_str());
            *by_zone.entry(zone).or_default() += 1;
        }
        HostCounts {
            local: self.own.zone.clone(),
            by_zone,
        }
    }

    fn neighbours(&self, living: &[&id::Host]) -> Neighbours {
        let mut neighbours = Neighbours {
            are_counted: true,
            ..Neighbours::default()
        };
        for host in living {
            let Some(presence) = self.hosts.get(*host) else {
                continue;
            };
            let candidate = Candidate {
                host: (*host).clone(),
                address: presence.peers,
                capacity: presence.capacity,
            };
            let is_local = presence.zone == self.own.zone.as_str();
            if let Some(address) = presence.forwarded.filter(|_| **host != self.own.host) {
                neighbours.takers.push(Peer {
                    host: (*host).clone(),
                    address,
                    is_local,
                });
            }
            if is_local {
                neighbours.zone.push(candidate);
            } else {
                neighbours.others.push(candidate);
            }
        }
        neighbours
    }
}

impl Reducer for Presences {
    fn begin_reading(&mut self, reading: Reading, _now: Duration) {
        self.is_restored = self.era.is_some_and(|before| before != reading.era);
        self.era = Some(reading.era);
    }

    fn apply_record(
        &mut self,
        record: &Record,
        _first_seen: Option<Duration>,
        _now: Duration,
    ) -> Effect {
        let host = id::Host::from(record.key.as_str());
        let Some(value) = &record.value else {
            self.census.remove(&host);
            return match self.hosts.remove(&host) {
                Some(_) => Effect::Changed,
                None => Effect::Unchanged,
            };
        };
        match store::decode(value) {
            Ok(presence) => {
                self.census.observe(&host, record.offset);
                self.hosts.insert(host, presence);
                Effect::Changed
            }
            Err(error) => {
                log::warn!(host:%, error:%; "malformed host record skipped");
                Effect::Unchanged
            }
        }
    }

    fn retain_keys(&mut self, keys: &HashSet<String>, _now: Duration) {
        if self.is_restored {
            // Hosts that are missing write their records again.
            return;
        }
        self.census.retain(|host| keys.contains(host.as_str()));
        self.hosts.retain(|host, _| keys.contains(host.as_str()));
    }

    fn caught_up(&mut self, _requested_at: Duration, next: u64, _now: Duration) {
        if self.is_restored {
            self.census.restore(next);
        }
        self.publish(next);
    }
}

#[cfg(test)]
#[path = "hosts_test.rs"]
mod test;
