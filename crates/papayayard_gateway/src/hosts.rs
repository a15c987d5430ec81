//! Which hosts there are: each writes a record from time to time.
//!
//! Limits over all hosts are divided by their number. A host that has ended
//! counts until the others have written some records more, so that parts are
//! rather too small; one that is stopped drops its record. Hosts of one zone ask
//! one another for what they have read, and hosts of all zones where the store
//! does not answer.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_coordination::presence::Census;
use papayayard_coordination::ranking::Candidate;
use papayayard_coordination::shutdown::Stage;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

use crate::call::Caller;
use crate::follow::{Reducer, Store};
use crate::front::Progress;
use crate::metrics::Metrics;
use crate::schedule::{Handle, Message};
use crate::store::{Codec, Error, Record, Topic};

/// Hosts that are assumed until they were counted.
pub(crate) const ASSUMED_COUNT: usize = 9;
/// Time between two records of a host.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(20);
/// First and longest time to try again after a failure: the record is missed only
/// after several periods.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Content of a host's record.
#[derive(Debug, Serialize, Deserialize)]
struct Presence {
    /// Availability zone.
    zone: String,
    /// Where it answers other hosts.
    peers: SocketAddr,
    /// What it can do; see [`Candidate::capacity`].
    capacity: u32,
}

/// This host, as others see it.
#[derive(Clone, Debug)]
pub(crate) struct LocalHost {
    pub(crate) host: id::Host,
    pub(crate) zone: id::Zone,
    pub(crate) peers: SocketAddr,
    pub(crate) capacity: u32,
}

/// Other hosts that can be asked for what they have read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Neighbours {
    /// Whether the hosts were counted; before, `others` are those of the settings.
    pub(crate) are_counted: bool,
    /// Hosts of this zone, this one among them.
    pub(crate) zone: Vec<Candidate>,
    /// Hosts of other zones.
    pub(crate) others: Vec<Candidate>,
}

impl Neighbours {
    /// Hosts that the settings name, of which nothing else is known.
    pub(crate) fn from_seeds(seeds: &[SocketAddr], own: SocketAddr) -> Self {
        let others = seeds.iter().filter(|seed| **seed != own);
        Self {
            are_counted: false,
            zone: Vec::new(),
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

/// Where the counted hosts are last_number.
pub(crate) struct Links {
    /// Number of all hosts.
    pub(crate) number: watch::Sender<usize>,
    /// Hosts that can be asked.
    pub(crate) neighbours: watch::Sender<Neighbours>,
    /// Scheduler.
    pub(crate) schedule: Handle,
    /// Where their number is shown.
    pub(crate) metrics: Metrics,
}

/// Writes this host's record from time to time, and drops it when the host is
/// stopped.
pub(crate) async fn announce<Platform>(
    store: Store<Platform>,
    own: LocalHost,
    mut progress: watch::Receiver<Progress>,
) where
    Platform: Codec,
{
    let mut caller = Caller::new(store.address);
    let value = own.presence();
    let mut retry = INITIAL_BACKOFF;
    loop {
        let pause = match write(&store, &mut caller, &own, &value).await {
            Ok(()) => {
                retry = INITIAL_BACKOFF;
                HEARTBEAT_PERIOD
            }
            Err(error) => {
                log::info!(error:%; "this host's record was not written");
                let pause = retry;
                retry = (retry * 2).min(MAX_BACKOFF);
                pause
            }
        };
        let stopping = progress.wait_for(|progress| progress.stage > Stage::Serving);
        if time::timeout(pause, stopping).await.is_ok() {
            break;
        }
    }
    if let Err(error) = write(&store, &mut caller, &own, &[]).await {
        log::info!(error:%; "this host's record was not dropped");
    }
}

async fn write<Platform>(
    store: &Store<Platform>,
    caller: &mut Caller,
    own: &LocalHost,
    value: &[u8],
) -> Result<(), Error>
where
    Platform: Codec,
{
    let record = (own.host.as_str(), value);
    store.append(caller, Topic::Hosts, None, record).await?;
    Ok(())
}

impl LocalHost {
    /// This host's record.
    fn presence(&self) -> Vec<u8> {
        let presence = Presence {
            zone: self.zone.as_str().to_owned(),
            peers: self.peers,
            capacity: self.capacity,
        };
        // A struct of texts and numbers always has a JSON form.
        serde_json::to_vec(&presence).unwrap_or_default()
    }
}

/// Folds the records of all hosts.
pub(crate) struct Presences {
    own: LocalHost,
    links: Links,
    census: Census,
    hosts: HashMap<id::Host, Presence>,
    last_number: usize,
}

impl Presences {
    /// A fold that no host is known to.
    pub(crate) fn new(own: LocalHost, links: Links) -> Self {
        Self {
            own,
            links,
            census: Census::default(),
            hosts: HashMap::new(),
            last_number: 0,
        }
    }

    fn publish(&mut self, end: u64) {
        let living = self.census.living(end);
        let number = living.len().max(1);
        let neighbours = self.neighbours(&living);
        if number != self.last_number {
            log::info!(number; "hosts counted");
            self.last_number = number;
            self.links.number.send_replace(number);
            self.links.metrics.counted_hosts(number as u64);
            self.links.schedule.tell(Message::Hosts(number));
        }
        self.links.neighbours.send_if_modified(|current| {
            let is_new = *current != neighbours;
            if is_new {
                *current = neighbours;
            }
            is_new
        });
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
            if presence.zone == self.own.zone.as_str() {
                neighbours.zone.push(candidate);
            } else {
                neighbours.others.push(candidate);
            }
        }
        neighbours
    }
}

impl Reducer for Presences {
    fn apply_record(
        &mut self,
        record: &Record,
        _first_seen: Option<Duration>,
        _now: Duration,
    ) -> bool {
        let host = id::Host::from(record.key.as_str());
        let Some(value) = &record.value else {
            self.census.ended(&host);
            return self.hosts.remove(&host).is_some();
        };
        match serde_json::from_slice(value) {
            Ok(presence) => {
                self.census.seen(&host, record.offset);
                self.hosts.insert(host, presence);
                true
            }
            Err(error) => {
                log::warn!(host:%, error:%; "host's record skipped");
                false
            }
        }
    }

    fn retain_keys(&mut self, keys: &HashSet<String>, _now: Duration) {
        self.census.keep_only(|host| keys.contains(host.as_str()));
        self.hosts.retain(|host, _| keys.contains(host.as_str()));
    }

    fn caught_up(&mut self, _requested_at: Duration, next: u64, _now: Duration) {
        self.publish(next);
    }
}

#[cfg(test)]
#[path = "hosts_test.rs"]
mod test;
