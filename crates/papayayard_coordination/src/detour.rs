//! Selects the host through which a detached host, which reaches no endpoint, serves its
//! callers.
//!
//! Hosts of the own zone come first, since an answer through another zone takes longer. The
//! choice among them is drawn, so that the callers of several detached hosts spread over the
//! others. A host that took no request is passed over for a moment. After it, one try of a
//! request at most shows whether the host takes requests again, so that none is lost to
//! several such hosts in a row.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;

/// Maximum number of hosts that are asked to take one request.
pub const MAX_TRIES: usize = 4;
/// Time for which a host that took no request is passed over.
const PASS_OVER_TIME: Duration = Duration::from_secs(1);

/// A host that may take requests of another host's callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    pub host: id::Host,
    /// Address for requests that other hosts pass on.
    pub address: SocketAddr,
    /// Whether it is in the zone of this host.
    pub is_local: bool,
}

/// Hosts that took no request lately.
#[derive(Clone, Debug, Default)]
pub struct Detour {
    /// Until when hosts are passed over; kept until they take a request again.
    until: HashMap<id::Host, Duration>,
}

impl Detour {
    /// Chooses a host for a request that the hosts `tried` did not take; `draw` is uniformly
    /// random.
    pub fn choose<'a>(
        &self,
        peers: &'a [Peer],
        tried: &[id::Host],
        draw: u64,
        now: Duration,
    ) -> Option<&'a Peer> {
        let is_eligible =
            |peer: &&Peer| !tried.contains(&peer.host) && !self.is_passed_over(&peer.host, now);
        let mut eligible: Vec<&Peer> = peers.iter().filter(is_eligible).collect();
        if !tried.is_empty() {
            prefer(&mut eligible, |peer| !self.until.contains_key(&peer.host));
        }
        prefer(&mut eligible, |peer| peer.is_local);
        let number = u64::try_from(eligible.len()).ok()?;
        let index = usize::try_from(draw.checked_rem(number)?).ok()?;
        eligible.get(index).copied()
    }

    /// Whether a host took no request a moment ago.
    pub fn is_passed_over(&self, host: &id::Host, now: Duration) -> bool {
        self.until.get(host).is_some_and(|until| now < *until)
    }

    /// Records that a host cannot take requests now; returns whether it could before.
    pub fn pass_over(&mut self, host: &id::Host, now: Duration) -> bool {
        let until = now + PASS_OVER_TIME;
        self.until.insert(host.clone(), until).is_none()
    }

    /// Records that a host takes requests; returns whether it could not before.
    pub fn restore(&mut self, host: &id::Host) -> bool {
        self.until.remove(host).is_some()
    }

    /// Forgets hosts that are no longer there.
    pub fn retain(&mut self, peers: &[Peer]) {
        let is_there = |host: &id::Host| peers.iter().any(|peer| peer.host == *host);
        self.until.retain(|host, _| is_there(host));
    }
}

/// Drops the hosts that are not preferred, if some are.
fn prefer<Preferred>(peers: &mut Vec<&Peer>, is_preferred: Preferred)
where
    Preferred: Fn(&Peer) -> bool,
{
    if peers.iter().any(|peer| is_preferred(peer)) {
        peers.retain(|peer| is_preferred(peer));
    }
}
