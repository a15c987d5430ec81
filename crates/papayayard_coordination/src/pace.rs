//! How often peers are called, and what that may cost.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Pace of the contacts and bounds of their cost.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Mean time between two calls.
    pub period: Duration,
    /// One call in so many goes to another zone.
    pub other_zone_interval: u32,
    /// Peers in the own zone below which every second call goes to another.
    pub small_zone_hosts: usize,
    /// Calls made at once when there is urgent news.
    pub urgent_calls: u32,
    /// Failed calls in a row after which a peer is suspected.
    pub suspect_after: u32,
    /// Longest time between two calls to a suspected peer.
    pub max_probe_interval: Duration,
    /// Time that a host is still counted after it left the list without a
    /// farewell; it may be cut off and go on serving.
    pub retention: Duration,
    /// Bytes per second, both ways together.
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

/// Bytes that a call and its reply cost when nothing differs.
pub(crate) const CALL_BYTES: usize = 1_200;
/// Hosts up to which shares are exchanged with all of them.
pub(crate) const FULL_EXCHANGE_HOSTS: usize = 64;
/// Share of a period by which calls are spread, in percent.
const JITTER_PERCENT: u32 = 20;

/// A time near `mean`, so that hosts do not call in step.
pub(crate) fn jitter<Random>(mean: Duration, random: &mut Random) -> Duration
where
    Random: Rng,
{
    let percent = random.random_range(100 - JITTER_PERCENT..=100 + JITTER_PERCENT);
    mean * percent / 100
}
