//! Which entry hosts there are, and which of them to talk to next.
//!
//! The platform's list lags, so it is joined with direct contact: a host that
//! calls is known before the list names it. A host that does not answer is
//! suspected by this host alone and is called less often; only the list, or
//! the host's own farewell, removes it. Each period one peer is called, mostly
//! in the own zone, in an order shuffled anew for each round, so the load does
//! not grow with the number of hosts and a healed partition causes no burst.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::{directory, id, peer};
use rand::Rng;
use rand::seq::SliceRandom;

use crate::{budget, pace};

/// What is known of one host.
#[derive(Clone, Debug)]
pub struct Member {
    /// Availability zone.
    pub zone: id::Zone,
    /// Address for peers.
    pub peer: SocketAddr,
    /// What the list says; none where it does not name the host.
    pub listed: Option<directory::State>,
    /// What the host said last.
    pub state: Option<peer::State>,
    /// Highest message version that it reads, as far as is known.
    pub speaks: u32,
    /// When it was last heard.
    pub heard_at: Option<Duration>,
    /// Calls in a row that failed.
    pub failures: u32,
    probe_at: Duration,
    unlisted_at: Duration,
}

/// A peer to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub host: id::Host,
    /// Address.
    pub peer: SocketAddr,
    /// Version to write at.
    pub speaks: u32,
}

/// Source of a piece of contact.
#[derive(Clone, Debug)]
pub struct Contact<'a> {
    /// Sender.
    pub host: &'a id::Host,
    /// Where it says that it is.
    pub member: Option<&'a peer::Member>,
    /// Whether it takes requests.
    pub state: peer::State,
    /// Highest message version that it reads.
    pub speaks: u32,
}

/// All other hosts that are known.
#[derive(Debug)]
pub struct Table {
    me: id::Host,
    zone: id::Zone,
    limits: pace::Limits,
    members: BTreeMap<id::Host, Member>,
    list: Option<directory::List>,
    digest: Option<peer::Digest>,
    near: Vec<id::Host>,
    far: Vec<id::Host>,
    turn: u32,
    urgent: u32,
    call_at: Duration,
    budget: budget::Budget,
}

impl Table {
    /// A table that knows nobody yet.
    pub fn new(me: id::Host, zone: id::Zone, limits: pace::Limits, now: Duration) -> Self {
        let budget = budget::Budget::new(limits.bytes_per_second, limits.reserve, now);
        Self {
            me,
            zone,
            limits,
            members: BTreeMap::new(),
            list: None,
            digest: None,
            near: Vec::new(),
            far: Vec::new(),
            turn: 0,
            urgent: 0,
            call_at: now,
            budget,
        }
    }

    /// Takes the platform's list.
    pub fn update(&mut self, list: directory::List, now: Duration) {
        for member in self.members.values_mut() {
            if member.listed.take().is_some() {
                member.unlisted_at = now;
            }
        }
        for host in list.hosts.iter().filter(|host| host.id != self.me) {
            let member = self
                .members
                .entry(host.id.clone())
                .or_insert_with(|| Member::new(host.zone.clone(), host.peer, now));
            member.zone = host.zone.clone();
            member.peer = host.peer;
            member.listed = Some(host.state);
        }
        self.forget(now);
        self.digest = Some(digest(&list));
        self.list = Some(list);
    }

    /// Takes contact with a peer, by its call or by its reply.
    pub fn heard(&mut self, contact: &Contact<'_>, now: Duration) {
        if *contact.host == self.me {
            return;
        }
        if let Some(place) = contact.member {
            let member = self
                .members
                .entry(contact.host.clone())
                .or_insert_with(|| Member::new(place.zone.clone(), place.peer, now));
            // The list knows better where a listed host is.
            if member.listed.is_none() {
                member.zone = place.zone.clone();
                member.peer = place.peer;
                member.unlisted_at = now;
            }
        }
        let Some(member) = self.members.get_mut(contact.host) else {
            return;
        };
        member.state = Some(contact.state);
        member.speaks = contact.speaks.clamp(peer::MIN_VERSION, peer::VERSION);
        member.heard_at = Some(now);
        member.failures = 0;
        member.probe_at = now;
    }

    /// Takes a call that had no reply.
    pub fn failed<Random>(&mut self, host: &id::Host, now: Duration, random: &mut Random)
    where
        Random: Rng,
    {
        let limits = &self.limits;
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        member.failures = member.failures.saturating_add(1);
        // A peer that was replaced by an older version may fail to read ours.
        member.speaks = peer::MIN_VERSION;
        let doublings = member.failures.min(10);
        let wait = limits.probe_max.min(limits.period * (1 << doublings));
        member.probe_at = now + pace::jitter(wait, random);
    }

    /// Asks for calls soon, because there is news that peers need at once.
    pub fn hurry<Random>(&mut self, now: Duration, random: &mut Random)
    where
        Random: Rng,
    {
        self.urgent = self.limits.urgent_calls;
        let soon = pace::jitter(self.limits.period / 10, random);
        self.call_at = self.call_at.min(now + soon);
    }

    /// Asks for calls to all partners now, because this host has just started.
    pub fn introduce(&mut self, now: Duration) {
        let partners = u32::try_from(self.partners().len()).unwrap_or(u32::MAX);
        // Calls alternate between zones, so one zone takes half of them.
        self.urgent = partners.saturating_mul(2);
        self.call_at = now;
    }

    /// When [`Self::tick`] is to be called next.
    pub const fn next_at(&self) -> Duration {
        self.call_at
    }

    /// Chooses the peers to call now.
    pub fn tick<Random>(&mut self, now: Duration, random: &mut Random) -> Vec<Target>
    where
        Random: Rng,
    {
        if now < self.call_at {
            return Vec::new();
        }
        self.call_at = now + pace::jitter(self.limits.period, random);
        self.forget(now);
        let calls = self.urgent.max(1);
        self.urgent = 0;
        let mut targets: Vec<Target> = Vec::new();
        for _ in 0..calls {
            if self.budget.room(now) < pace::CALL_BYTES * (targets.len() + 1) {
                break;
            }
            let Some(target) = self.pick(now, random) else {
                break;
            };
            if !targets.contains(&target) {
                targets.push(target);
            }
        }
        targets
    }

    /// Takes bytes sent to or received from peers.
    pub fn charge(&mut self, bytes: usize, now: Duration) {
        self.budget.charge(bytes, now);
    }

    /// Bytes that may be spent on contents now.
    pub fn room(&mut self, now: Duration) -> usize {
        self.budget.room(now)
    }

    /// What is known of a host.
    pub fn get(&self, host: &id::Host) -> Option<&Member> {
        self.members.get(host)
    }

    /// All other hosts.
    pub fn members(&self) -> impl Iterator<Item = (&id::Host, &Member)> {
        self.members.iter()
    }

    /// Hosts that may be serving, this one included, in order: those that
    /// limits are divided over.
    pub fn counted(&self) -> Vec<id::Host> {
        let mut hosts: Vec<id::Host> = self
            .members
            .iter()
            .filter(|(_, member)| member.state != Some(peer::State::Left))
            .map(|(host, _)| host.clone())
            .collect();
        hosts.push(self.me.clone());
        hosts.sort();
        hosts
    }

    /// Hosts that shares of limits are exchanged with: all where they are few,
    /// else those of the own zone.
    pub fn partners(&self) -> Vec<id::Host> {
        let is_small = self.members.len() < pace::PARTNERS;
        let members = self.members.iter();
        let partners = members.filter(|(_, member)| is_small || member.zone == self.zone);
        let partners = partners.filter(|(_, member)| member.state != Some(peer::State::Left));
        partners.map(|(host, _)| host.clone()).collect()
    }

    /// Whether this host, on its own, takes the peer to be out of reach.
    pub fn is_suspected(&self, host: &id::Host) -> bool {
        self.members
            .get(host)
            .is_some_and(|member| member.failures >= self.limits.suspect_after)
    }

    /// Whether the platform's list names this host.
    pub fn is_listed(&self) -> bool {
        let list = self.list.as_ref();
        list.is_some_and(|list| list.hosts.iter().any(|host| host.id == self.me))
    }

    /// The platform's list as it was last read.
    pub const fn list(&self) -> Option<&directory::List> {
        self.list.as_ref()
    }

    /// Digest of the platform's list.
    pub const fn digest(&self) -> Option<peer::Digest> {
        self.digest
    }

    /// The list as a host in `zone` needs it to start: all entry hosts, and
    /// the zone's endpoints.
    pub fn excerpt(&self, zone: &id::Zone) -> Option<directory::List> {
        let list = self.list.as_ref()?;
        let endpoints = list.endpoints.iter();
        Some(directory::List {
            hosts: list.hosts.clone(),
            endpoints: endpoints
                .filter(|endpoint| endpoint.zone == *zone)
                .cloned()
                .collect(),
        })
    }

    fn pick<Random>(&mut self, now: Duration, random: &mut Random) -> Option<Target>
    where
        Random: Rng,
    {
        self.turn = self.turn.wrapping_add(1);
        let is_far = self.turn.is_multiple_of(self.far_every());
        self.take(is_far, now, random)
            .or_else(|| self.take(!is_far, now, random))
    }

    /// Zones of few hosts call the others as often as their own.
    fn far_every(&self) -> u32 {
        let near = self
            .members
            .values()
            .filter(|member| member.zone == self.zone);
        if near.count() < self.limits.few {
            2
        } else {
            self.limits.far_every.max(1)
        }
    }

    /// Takes the next peer of a round that may be called, and starts a new
    /// round when the old one has none left.
    fn take<Random>(&mut self, is_far: bool, now: Duration, random: &mut Random) -> Option<Target>
    where
        Random: Rng,
    {
        for is_new_round in [false, true] {
            if is_new_round {
                self.shuffle(is_far, random);
            }
            while let Some(host) = self.round(is_far).pop() {
                if let Some(target) = self.target(&host, now) {
                    return Some(target);
                }
            }
        }
        None
    }

    const fn round(&mut self, is_far: bool) -> &mut Vec<id::Host> {
        if is_far {
            &mut self.far
        } else {
            &mut self.near
        }
    }

    fn shuffle<Random>(&mut self, is_far: bool, random: &mut Random)
    where
        Random: Rng,
    {
        let members = self.members.iter();
        let mut round: Vec<id::Host> = members
            .filter(|(_, member)| (member.zone != self.zone) == is_far)
            .map(|(host, _)| host.clone())
            .collect();
        round.shuffle(random);
        *self.round(is_far) = round;
    }

    fn target(&self, host: &id::Host, now: Duration) -> Option<Target> {
        let member = self.members.get(host)?;
        let is_gone = member.state == Some(peer::State::Left);
        let is_waiting = member.failures > 0 && now < member.probe_at;
        if is_gone || is_waiting {
            return None;
        }
        Some(Target {
            host: host.clone(),
            peer: member.peer,
            speaks: member.speaks,
        })
    }

    fn forget(&mut self, now: Duration) {
        let retain = self.limits.retain;
        self.members.retain(|_, member| {
            let is_kept = now < member.unlisted_at + retain;
            member.listed.is_some() || is_kept
        });
    }
}

impl Member {
    const fn new(zone: id::Zone, peer: SocketAddr, now: Duration) -> Self {
        Self {
            zone,
            peer,
            listed: None,
            state: None,
            speaks: peer::MIN_VERSION,
            heard_at: None,
            failures: 0,
            probe_at: now,
            unlisted_at: now,
        }
    }
}

/// Digest of the platform's list, whatever its order.
pub fn digest(list: &directory::List) -> peer::Digest {
    let mut digest = peer::Digest::default();
    for host in &list.hosts {
        digest.add(format!("host {} {:?}", host.id, host.state).as_bytes());
    }
    for endpoint in &list.endpoints {
        digest.add(format!("endpoint {} {:?}", endpoint.id, endpoint.state).as_bytes());
    }
    digest
}
