//! Which hosts ask for the lease of a service, and in which order.

use std::cmp::Reverse;
use std::time::Duration;

use papayayard_wire::{directory, id};
use xxhash_rust::xxh3;

/// Hosts that ask for one lease.
const CANDIDATES: usize = 3;
/// Time by which each candidate asks later than the one before.
const SPACING: Duration = Duration::from_secs(2);

/// How long after a lease seems free this host asks for it; none where other
/// hosts do.
pub(super) fn delay(
    me: &id::Host,
    service: &id::Service,
    list: &directory::List,
) -> Option<Duration> {
    let live = list.hosts.iter();
    let live = live.filter(|host| host.state == directory::State::Live || host.id == *me);
    let mut ranked: Vec<&id::Host> = live.map(|host| &host.id).collect();
    if !ranked.contains(&me) {
        ranked.push(me);
    }
    ranked.sort_by_key(|host| Reverse(weight(host, service)));
    let rank = ranked.iter().position(|host| *host == me)?;
    let spaces = u32::try_from(rank).ok()?;
    (rank < CANDIDATES).then(|| SPACING * spaces)
}

fn weight(host: &id::Host, service: &id::Service) -> u64 {
    let seed = xxh3::xxh3_64(service.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), seed)
}
