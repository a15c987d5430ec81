//! Which hosts there are: each writes a record from time to time.
//!
//! Limits over all hosts are divided by their number. A host that has ended
//! counts until its record is old, so that parts are rather too small. Hosts of
//! one zone ask one another for what they have read.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use papayayard_coordination::reader::Candidate;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

use crate::call::Caller;
use crate::follow::{Fold, Store};
use crate::schedule::{Handle, Message};
use crate::store::{Codec, Error, Record, Topic};

/// Hosts that are assumed until they were counted.
pub(crate) const ASSUMED: usize = 9;
/// Time between two records of a host.
const PERIOD: Duration = Duration::from_secs(20);
/// Time to try again after a failure.
const RETRY: Duration = Duration::from_secs(1);
/// Age of a record, against the newest, from which on a host has ended.
const OLDEST: Duration = Duration::from_secs(45);

/// Content of a host's record.
#[derive(Debug, Serialize, Deserialize)]
struct Presence {
    /// Time of writing, in ms since the Unix epoch.
    written_ms: u64,
    /// Availability zone.
    zone: String,
    /// Where it answers other hosts.
    peers: SocketAddr,
    /// What it can do; see [`Candidate::capacity`].
    capacity: u32,
}

/// This host, as others see it.
#[derive(Clone, Debug)]
pub(crate) struct Own {
    pub(crate) host: id::Host,
    pub(crate) zone: id::Zone,
    pub(crate) peers: SocketAddr,
    pub(crate) capacity: u32,
}

/// Where the counted hosts are told.
pub(crate) struct Links {
    /// Number of all hosts.
    pub(crate) number: watch::Sender<usize>,
    /// Hosts of this zone; none before the first count.
    pub(crate) zone: watch::Sender<Option<Vec<Candidate>>>,
    /// Scheduler.
    pub(crate) schedule: Handle,
}

/// Writes this host's record from time to time.
pub(crate) async fn announce<Platform>(store: Store<Platform>, own: Own)
where
    Platform: Codec,
{
    let mut caller = Caller::new(store.address);
    loop {
        match write(&store, &mut caller, &own).await {
            Ok(()) => time::sleep(PERIOD).await,
            Err(error) => {
                log::info!(error:%; "this host's record was not written");
                time::sleep(RETRY).await;
            }
        }
    }
}

async fn write<Platform>(
    store: &Store<Platform>,
    caller: &mut Caller,
    own: &Own,
) -> Result<(), Error>
where
    Platform: Codec,
{
    let presence = Presence {
        written_ms: unix_ms(),
        zone: own.zone.as_str().to_owned(),
        peers: own.peers,
        capacity: own.capacity,
    };
    let value = serde_json::to_vec(&presence).unwrap_or_default();
    let record = (own.host.as_str(), value.as_slice());
    store.append(caller, Topic::Hosts, None, record).await?;
    Ok(())
}

/// Folds the records of all hosts.
pub(crate) struct Presences {
    own: Own,
    links: Links,
    hosts: BTreeMap<id::Host, Presence>,
    told: usize,
}

impl Presences {
    /// A fold that no host is known to.
    pub(crate) fn new(own: Own, links: Links) -> Self {
        Self {
            own,
            links,
            hosts: BTreeMap::new(),
            told: 0,
        }
    }

    fn tell(&mut self) {
        keep_living(&mut self.hosts);
        let number = self.hosts.len().max(1);
        if number != self.told {
            log::info!(number; "hosts counted");
            self.told = number;
            self.links.number.send_replace(number);
            self.links.schedule.tell(Message::Hosts(number));
        }
        let in_zone = self.hosts.iter();
        let in_zone = in_zone.filter(|(_, one)| one.zone == self.own.zone.as_str());
        let zone: Vec<Candidate> = in_zone
            .map(|(host, one)| Candidate {
                host: host.clone(),
                address: one.peers,
                capacity: one.capacity,
            })
            .collect();
        self.links.zone.send_if_modified(|known| {
            let is_new = known.as_ref() != Some(&zone);
            if is_new {
                *known = Some(zone);
            }
            is_new
        });
    }
}

impl Fold for Presences {
    fn record(&mut self, record: &Record, _now: Duration) -> bool {
        let host = id::Host::from(record.key.as_str());
        let Some(value) = &record.value else {
            return self.hosts.remove(&host).is_some();
        };
        match serde_json::from_slice(value) {
            Ok(presence) => {
                self.hosts.insert(host, presence);
                true
            }
            Err(error) => {
                log::warn!(host:%, error:%; "host's record skipped");
                false
            }
        }
    }

    fn whole(&mut self, keys: &HashSet<String>, _now: Duration) {
        self.hosts.retain(|host, _| keys.contains(host.as_str()));
    }

    fn caught_up(&mut self, _asked: Duration, _next: u64, _now: Duration) {
        self.tell();
    }
}

/// Drops hosts whose records are much older than the newest.
fn keep_living(hosts: &mut BTreeMap<id::Host, Presence>) {
    let newest = hosts.values().map(|one| one.written_ms).max();
    let longest = u64::try_from(OLDEST.as_millis()).unwrap_or(u64::MAX);
    let oldest = newest.unwrap_or(0).saturating_sub(longest);
    hosts.retain(|_, one| one.written_ms >= oldest);
}

/// Time of day, in ms since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
