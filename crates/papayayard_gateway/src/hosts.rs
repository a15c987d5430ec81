//! How many hosts there are: each writes a record from time to time.
//!
//! Limits over all hosts are divided by this number. A host that has ended
//! counts until its record is old, so that parts are rather too small.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

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
const PERIOD: Duration = Duration::from_secs(10);
/// Time after which the first count follows the first record.
const FIRST_COUNT: Duration = Duration::from_millis(1500);
/// Time to try again after a failure.
const RETRY: Duration = Duration::from_secs(1);
/// Age of a record, against the newest, from which on a host has ended.
const OLDEST: Duration = Duration::from_secs(25);

/// Content of a host's record.
#[derive(Debug, Serialize, Deserialize)]
struct Presence {
    /// Time of writing, in ms since the Unix epoch.
    written_ms: u64,
}

/// Keeps a host's record and counts all of them.
pub(crate) async fn count<Platform>(
    store: Store<Platform>,
    host: id::Host,
    hosts: watch::Sender<usize>,
    schedule: Handle,
) where
    Platform: Codec,
{
    let mut caller = Caller::new(store.address);
    let mut pause = FIRST_COUNT;
    loop {
        if let Err(error) = write(&store, &mut caller, &host).await {
            log::info!(error:%; "this host's record was not written");
            time::sleep(RETRY).await;
            continue;
        }
        time::sleep(pause).await;
        match read(&store, &mut caller).await {
            Ok(number) => {
                let before = hosts.send_replace(number);
                if before != number {
                    log::info!(number; "hosts counted");
                }
                schedule.tell(Message::Hosts(number));
            }
            Err(error) => log::info!(error:%; "hosts were not counted"),
        }
        pause = PERIOD;
    }
}

async fn write<Platform>(
    store: &Store<Platform>,
    caller: &mut Caller,
    host: &id::Host,
) -> Result<(), Error>
where
    Platform: Codec,
{
    let presence = Presence {
        written_ms: unix_ms(),
    };
    let value = serde_json::to_vec(&presence).unwrap_or_default();
    let record = (host.as_str(), value.as_slice());
    store.append(caller, Topic::Hosts, None, record).await?;
    Ok(())
}

async fn read<Platform>(store: &Store<Platform>, caller: &mut Caller) -> Result<usize, Error>
where
    Platform: Codec,
{
    let (records, _) = store.newest(caller, Topic::Hosts).await?;
    let written: Vec<u64> = records
        .iter()
        .filter_map(|record| serde_json::from_slice(record.value.as_ref()?).ok())
        .map(|presence: Presence| presence.written_ms)
        .collect();
    Ok(living(&written))
}

/// Hosts whose records are not much older than the newest.
fn living(written_ms: &[u64]) -> usize {
    let newest = written_ms.iter().max().copied().unwrap_or(0);
    let oldest = newest.saturating_sub(u64::try_from(OLDEST.as_millis()).unwrap_or(u64::MAX));
    written_ms.iter().filter(|at| **at >= oldest).count().max(1)
}

/// Time of day, in ms since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
