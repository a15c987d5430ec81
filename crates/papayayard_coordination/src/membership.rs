//! Tracks the entry hosts, and selects which of them to call next.
//!
//! The platform's list lags, so it is combined with direct contact: a host that calls
//! is known before the list contains it. A host that does not reply is suspected by
//! this host alone and is called less often; only the list, or the host's own leave
//! notice, removes it. Each period one peer is called, mostly in the local zone, in an
//! order that is shuffled for each round. The load therefore does not grow with the
//! number of hosts, and a healed partition causes no burst.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::{directory, id, peer};
use rand::Rng;
use rand::seq::SliceRandom;

use crate::{budget, pace};

/// State of one other host.
#[derive(Clone, Debug)]
pub struct Member {
    /// Availability zone.
    pub zone: id::Zone,
    /// Address for peers.
    pub peer: SocketAddr,
    /// State in the platform's list; `None` if the list does not contain the host.
    pub listed: Option<directory::State>,
    /// State that the host sent last.
    pub state: Option<peer::State>,
    /// Highest message version that the host is known to read.
    pub speaks: u32,
    /// Time of the last contact.
    pub heard_at: Option<Duration>,
    /// Number of consecutive failed calls.
    pub failures: u32,
    probe_at: Duration,
    unlisted_at: Duration,
}

/// A peer to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub host: id::Host,
    pub peer: SocketAddr,
    /// Message version to use.
    pub speaks: u32,
}

/// Sender details of a call or reply.
#[derive(Clone, Debug)]
pub struct Contact<'a> {
    pub host: &'a id::Host,
    /// Zone and address that the sender gives for itself.
    pub member: Option<&'a peer::Member>,
    /// Whether the sender accepts requests.
    pub state: peer::State,
    /// Highest message version that the sender reads.
    pub speaks: u32,
}

/// All other known hosts.
#[derive(Debug)]
pub struct Table {
    local_host: id::Host,
    zone: id::Zone,
    limits: pace::Limits,
    members: BTreeMap<id::Host, Member>,
    list: Option<directory::List>,
    digest: Option<peer::Digest>,
    same_zone: Vec<id::Host>,
    other_zones: Vec<id::Host>,
    pick_count: u32,
    pending_calls: u32,
    next_call_at: Duration,
    budget: budget::Budget,
}

impl Table {
    /// Creates a table without members.
    pub fn new(local_host: id::Host, zone: id::Zone, limits: pace::Limits, now: Duration) -> Self {
        let budget = budget::Budget::new(limits.bytes_per_second, limits.burst_bytes, now);
        Self {
            local_host,
            zone,
            limits,
            members: BTreeMap::new(),
            list: None,
            digest: None,
            same_zone: Vec::new(),
            other_zones: Vec::new(),
            pick_count: 0,
            pending_calls: 0,
            next_call_at: now,
            budget,
        }
    }

    /// Applies the platform's list.
    pub fn update(&mut self, list: directory::List, now: Duration) {
        for member in self.members.values_mut() {
            if member.listed.take().is_some() {
                member.unlisted_at = now;
            }
        }
        for host in list.hosts.iter().filter(|host| host.id != self.local_host) {
            let member = self
                .members
                .entry(host.id.clone())
                .or_insert_with(|| Member::new(host.zone.clone(), host.peer, now));
            member.zone = host.zone.clone();
            member.peer = host.peer;
            member.listed = Some(host.state);
        }
        self.remove_expired(now);
        self.digest = Some(digest(&list));
        self.list = Some(list);
    }

    /// Records contact with a peer, by its call or its reply.
    pub fn record_contact(&mut self, contact: &Contact<'_>, now: Duration) {
        if *contact.host == self.local_host {
            return;
        }
        if let Some(location) = contact.member {
            let member = self
                .members
                .entry(contact.host.clone())
                .or_insert_with(|| Member::new(location.zone.clone(), location.peer, now));
            // The list takes precedence for the location of a listed host.
            if member.listed.is_none() {
                member.zone = location.zone.clone();
                member.peer = location.peer;
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

    /// Records a call without a reply.
    pub fn record_failure<Random>(&mut self, host: &id::Host, now: Duration, random: &mut Random)
    where
        Random: Rng,
    {
        let limits = &self.limits;
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        member.failures = member.failures.saturating_add(1);
        // A peer that was replaced by an older version may be unable to read the
        // current one.
        member.speaks = peer::MIN_VERSION;
        let doublings = member.failures.min(10);
        let wait = limits
            .max_probe_interval
            .min(limits.period * (1 << doublings));
        member.probe_at = now + pace::jitter(wait, random);
    }

    /// Brings the next calls forward because there are updates that peers need at once.
    pub fn expedite_calls<Random>(&mut self, now: Duration, random: &mut Random)
    where
        Random: Rng,
    {
        self.pending_calls = self.limits.urgent_calls;
        let soon = pace::jitter(self.limits.period / 10, random);
        self.next_call_at = self.next_call_at.min(now + soon);
    }

    /// Schedules immediate calls to all partners, because this host has just started.
    pub fn schedule_introductions(&mut self, now: Duration) {
        let partners = u32::try_from(self.partners().len()).unwrap_or(u32::MAX);
        // Calls alternate between zones, so one zone takes half of them.
        self.pending_calls = partners.saturating_mul(2);
        self.next_call_at = now;
    }

    /// When [`Self::tick`] is next due.
    pub const fn next_at(&self) -> Duration {
        self.next_call_at
    }

    /// Selects the peers to call now.
    pub fn tick<Random>(&mut self, now: Duration, random: &mut Random) -> Vec<Target>
    where
        Random: Rng,
    {
        if now < self.next_call_at {
            return Vec::new();
        }
        self.next_call_at = now + pace::jitter(self.limits.period, random);
        self.remove_expired(now);
        let calls = self.pending_calls.max(1);
        self.pending_calls = 0;
        let mut targets: Vec<Target> = Vec::new();
        for _ in 0..calls {
            if self.budget.available_bytes(now) < pace::CALL_BYTES * (targets.len() + 1) {
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

    /// Charges bytes sent to or received from peers.
    pub fn charge(&mut self, bytes: usize, now: Duration) {
        self.budget.charge(bytes, now);
    }

    /// Bytes that may be spent on contents now.
    pub fn available_bytes(&mut self, now: Duration) -> usize {
        self.budget.available_bytes(now)
    }

    pub fn get(&self, host: &id::Host) -> Option<&Member> {
        self.members.get(host)
    }

    /// All other hosts.
    pub fn members(&self) -> impl Iterator<Item = (&id::Host, &Member)> {
        self.members.iter()
    }

    /// Hosts that may be serving, including this one, in sorted order. Limits are
    /// divided over them.
    pub fn counted(&self) -> Vec<id::Host> {
        let mut hosts: Vec<id::Host> = self
            .members
            .iter()
            .filter(|(_, member)| member.state != Some(peer::State::Left))
            .map(|(host, _)| host.clone())
            .collect();
        hosts.push(self.local_host.clone());
        hosts.sort();
        hosts
    }

    /// Hosts to exchange shares of limits with: all hosts of a small deployment,
    /// otherwise those of the local zone.
    pub fn partners(&self) -> Vec<id::Host> {
        let is_small = self.members.len() < pace::FULL_EXCHANGE_HOSTS;
        let members = self.members.iter();
        let partners = members.filter(|(_, member)| is_small || member.zone == self.zone);
        let partners = partners.filter(|(_, member)| member.state != Some(peer::State::Left));
        partners.map(|(host, _)| host.clone()).collect()
    }

    /// All partners, as targets of a leave notice: also those that owe a reply, and
    /// whatever the budget, since there is no later call.
    pub fn leave_targets(&self) -> Vec<Target> {
        let partners = self.partners().into_iter();
        let targets = partners.filter_map(|host| {
            let member = self.members.get(&host)?;
            Some(member.target(host))
        });
        targets.collect()
    }

    /// Whether this host alone considers the peer unreachable.
    pub fn is_suspected(&self, host: &id::Host) -> bool {
        self.members
            .get(host)
            .is_some_and(|member| member.failures >= self.limits.suspect_after)
    }

    /// Whether the platform's list contains this host.
    pub fn is_listed(&self) -> bool {
        let list = self.list.as_ref();
        list.is_some_and(|list| list.hosts.iter().any(|host| host.id == self.local_host))
    }

    /// The platform's list as last read.
    pub const fn list(&self) -> Option<&directory::List> {
        self.list.as_ref()
    }

    /// Digest of the platform's list.
    pub const fn digest(&self) -> Option<peer::Digest> {
        self.digest
    }

    /// The part of the list that a host in `zone` needs to start: all entry hosts, and
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
        self.pick_count = self.pick_count.wrapping_add(1);
        let is_other_zone = self.pick_count.is_multiple_of(self.other_zone_interval());
        self.next_target(is_other_zone, now, random)
            .or_else(|| self.next_target(!is_other_zone, now, random))
    }

    /// In a small zone, every second call goes to another zone.
    fn other_zone_interval(&self) -> u32 {
        let same_zone = self
            .members
            .values()
            .filter(|member| member.zone == self.zone);
        if same_zone.count() < self.limits.small_zone_hosts {
            2
        } else {
            self.limits.other_zone_interval.max(1)
        }
    }

    /// Returns the next peer of a round that may be called; starts a new round when no
    /// peer is left.
    fn next_target<Random>(
        &mut self,
        is_other_zone: bool,
        now: Duration,
        random: &mut Random,
    ) -> Option<Target>
    where
        Random: Rng,
    {
        for is_new_round in [false, true] {
            if is_new_round {
                self.shuffle(is_other_zone, random);
            }
            while let Some(host) = self.current_round(is_other_zone).pop() {
                if let Some(target) = self.target(&host, now) {
                    return Some(target);
                }
            }
        }
        None
    }

    const fn current_round(&mut self, is_other_zone: bool) -> &mut Vec<id::Host> {
        if is_other_zone {
            &mut self.other_zones
        } else {
            &mut self.same_zone
        }
    }

    fn shuffle<Random>(&mut self, is_other_zone: bool, random: &mut Random)
    where
        Random: Rng,
    {
        let members = self.members.iter();
        let mut round: Vec<id::Host> = members
            .filter(|(_, member)| (member.zone != self.zone) == is_other_zone)
            .map(|(host, _)| host.clone())
            .collect();
        round.shuffle(random);
        *self.current_round(is_other_zone) = round;
    }

    fn target(&self, host: &id::Host, now: Duration) -> Option<Target> {
        let member = self.members.get(host)?;
        let has_left = member.state == Some(peer::State::Left);
        let is_backed_off = member.failures > 0 && now < member.probe_at;
        if has_left || is_backed_off {
            return None;
        }
        Some(member.target(host.clone()))
    }

    fn remove_expired(&mut self, now: Duration) {
        let retention = self.limits.retention;
        self.members.retain(|_, member| {
            let is_kept = now < member.unlisted_at + retention;
            member.listed.is_some() || is_kept
        });
    }
}

impl Member {
    const fn target(&self, host: id::Host) -> Target {
        Target {
            host,
            peer: self.peer,
            speaks: self.speaks,
        }
    }

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

/// Digest of the platform's list, independent of its order.
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
