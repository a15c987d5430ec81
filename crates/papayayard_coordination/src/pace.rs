//! How often peers are called, and the cost limits of these calls.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Call rate, and limits on its cost.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Mean time between two calls.
    pub period: Duration,
    /// One call in this many goes to another zone.
    pub other_zone_interval: u32,
    /// Number of peers in the local zone below which every second call goes to another
    /// zone.
    pub small_zone_hosts: usize,
    /// Number of calls made at once for urgent updates.
    pub urgent_calls: u32,
    /// Number of consecutive failed calls after which a peer is suspected.
    pub suspect_after: u32,
    /// Maximum time between two calls to a suspected peer.
    pub max_probe_interval: Duration,
    /// How long a host is still counted after it left the list without a leave notice;
    /// it may be partitioned and still serving.
    pub retention: Duration,
    /// Bytes per second, both directions together.
    pub bytes_per_second: u64,
    /// Bytes that may be spent at once.
    pub burst_bytes: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(1_500),
            other_zone_interval: 4,
            small_zone_hosts: 8,
            urgent_calls: 3,
            suspect_after: 3,
            max_probe_interval: Duration::from_secs(30),
            retention: Duration::from_mins(10),
            bytes_per_second: 1_800,
            burst_bytes: 128 * 1024,
        }
    }
}

/// Bytes of a call and its reply when no set differs.
pub(crate) const CALL_BYTES: usize = 1_200;
/// Maximum number of hosts that all exchange shares with each other.
pub(crate) const FULL_EXCHANGE_HOSTS: usize = 64;
/// Deviation from the mean time between calls, in percent.
const JITTER_PERCENT: u32 = 20;

/// Returns a time near `mean`, so that hosts do not call in step.
pub(crate) fn jitter<Random>(mean: Duration, random: &mut Random) -> Duration
where
    Random: Rng,
{
    let percent = random.random_range(100 - JITTER_PERCENT..=100 + JITTER_PERCENT);
    mean * percent / 100
}
