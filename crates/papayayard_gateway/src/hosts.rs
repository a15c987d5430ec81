//! Which hosts there are: each writes a record from time to time.
//!
//! Limits over all hosts are divided by their number. A host that has ended
//! counts until its record is old, so that parts are rather too small. Hosts of
//! one zone ask one another for what they have read.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use papayayard_coordination::reader::Candidate;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

use crate::call::Caller;
use crate::follow::Store;
use crate::schedule::{Handle, Message};
use crate::store::{Codec, Error, Topic};

/// Hosts that are assumed until they were counted.
pub(crate) const ASSUMED: usize = 9;
/// Time between two records of a host.
const PERIOD: Duration = Duration::from_secs(15);
/// Time after which the first count follows the first record.
const FIRST_COUNT: Duration = Duration::from_millis(1500);
/// Time to try again after a failure.
const RETRY: Duration = Duration::from_secs(1);
/// Age of a record, against the newest, from which on a host has ended.
const OLDEST: Duration = Duration::from_secs(35);

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
    /// Hosts of this zone.
    pub(crate) zone: watch::Sender<Vec<Candidate>>,
    /// Scheduler.
    pub(crate) schedule: Handle,
}

/// Keeps a host's record and counts all of them.
pub(crate) async fn count<Platform>(store: Store<Platform>, own: Own, links: Links)
where
    Platform: Codec,
{
    let mut caller = Caller::new(store.address);
    let mut pause = FIRST_COUNT;
    loop {
        if let Err(error) = write(&store, &mut caller, &own).await {
            log::info!(error:%; "this host's record was not written");
            time::sleep(RETRY).await;
            continue;
        }
        time::sleep(pause).await;
        match read(&store, &mut caller).await {
            Ok(hosts) => tell(&hosts, &own, &links),
            Err(error) => log::info!(error:%; "hosts were not counted"),
        }
        pause = PERIOD;
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

async fn read<Platform>(
    store: &Store<Platform>,
    caller: &mut Caller,
) -> Result<Vec<(id::Host, Presence)>, Error>
where
    Platform: Codec,
{
    let (records, _) = store.newest(caller, Topic::Hosts).await?;
    let mut hosts = Vec::new();
    for record in &records {
        let Some(value) = &record.value else {
            continue;
        };
        match serde_json::from_slice(value) {
            Ok(presence) => hosts.push((id::Host::from(record.key.as_str()), presence)),
            Err(error) => log::warn!(host = record.key.as_str(), error:%; "host's record skipped"),
        }
    }
    keep_living(&mut hosts);
    Ok(hosts)
}

/// Drops hosts whose records are much older than the newest.
fn keep_living(hosts: &mut Vec<(id::Host, Presence)>) {
    let newest = hosts.iter().map(|(_, one)| one.written_ms).max();
    let longest = u64::try_from(OLDEST.as_millis()).unwrap_or(u64::MAX);
    let oldest = newest.unwrap_or(0).saturating_sub(longest);
    hosts.retain(|(_, one)| one.written_ms >= oldest);
}

fn tell(hosts: &[(id::Host, Presence)], own: &Own, links: &Links) {
    let number = hosts.len().max(1);
    let before = links.number.send_replace(number);
    if before != number {
        log::info!(number; "hosts counted");
    }
    links.schedule.tell(Message::Hosts(number));
    let in_zone = hosts
        .iter()
        .filter(|(_, one)| one.zone == own.zone.as_str());
    let zone = in_zone.map(|(host, one)| Candidate {
        host: host.clone(),
        address: one.peers,
        capacity: one.capacity,
    });
    links.zone.send_replace(zone.collect());
}

/// Time of day, in ms since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
