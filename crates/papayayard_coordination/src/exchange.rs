//! The anti-entropy exchange between a host and its peers.
//!
//! A call carries digests of the caller's sets. The reply carries the replier's
//! digests, and contents for each set whose digests differ; if the caller holds items
//! that the replier lacks, it sends them in one follow-up call. Contents are left out
//! while the byte budget has no free capacity for them, so a large change spreads more
//! slowly without raising the cost. Updates that peers need at once bring the next
//! calls forward.

use std::time::Duration;

use papayayard_wire::{configuration, directory, id, peer};
use rand::Rng;

use crate::{demand, departure, gossip, membership};

/// How long a fingerprint stays quarantined.
pub const QUARANTINE_TTL: Duration = Duration::from_hours(1);
/// Maximum number of fingerprints kept.
const QUARANTINE_CAPACITY: usize = 4_096;
/// Maximum number of items of one set in a message.
const MAX_ITEMS: usize = 64;
/// Estimated bytes of one item in a message.
const ITEM_BYTES: usize = 100;
/// Estimated bytes of one host or endpoint of the platform's list in a message.
const ENTRY_BYTES: usize = 130;
/// Time after the start during which a host includes its zone and address in messages.
const INTRODUCTION_PERIOD: Duration = Duration::from_mins(1);

/// Fingerprint of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl gossip::Item for Fingerprint {
    fn bytes(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }
}

/// Information from a peer that is new to this host.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// A configuration with a higher revision.
    Configuration(configuration::Entry),
    /// The platform's list, for a host that has none.
    Directory(directory::List),
    /// Endpoints that get no new work.
    Departures,
    /// Newly quarantined fingerprints.
    Quarantine(Vec<peer::Quarantine>),
    /// Granted shares of limits.
    Shares,
}

/// Identity of a host.
#[derive(Clone, Debug)]
pub struct Identity {
    pub host: id::Host,
    /// Zone and address.
    pub member: peer::Member,
    /// Highest message version that the host may use.
    pub speaks: u32,
}

/// The state that one host shares with its peers.
#[derive(Debug)]
pub struct Node {
    /// The other hosts.
    pub members: membership::Table,
    /// Leaving endpoints.
    pub departures: departure::Table,
    /// Shares of limits.
    pub shares: demand::Table,
    identity: Identity,
    state: peer::State,
    quarantine: gossip::Set<Fingerprint>,
    configuration: Option<configuration::Entry>,
    started_at: Duration,
}

impl Node {
    /// Creates the node of a host that starts at `now`.
    pub fn new(
        identity: Identity,
        members: membership::Table,
        shares: demand::Table,
        now: Duration,
    ) -> Self {
        Self {
            members,
            departures: departure::Table::default(),
            shares,
            identity,
            state: peer::State::Starting,
            quarantine: gossip::Set::new(QUARANTINE_TTL, QUARANTINE_CAPACITY),
            configuration: None,
            started_at: now,
        }
    }

    /// Sets whether this host accepts requests.
    pub fn set_state(&mut self, state: peer::State) {
        self.state = state;
    }

    /// Sets the configuration in force; returns whether its revision is new.
    pub fn set_configuration(&mut self, entry: configuration::Entry) -> bool {
        let is_new = entry.proposal.revision > self.revision();
        self.configuration = Some(entry);
        is_new
    }

    /// Adds a quarantined fingerprint; returns whether it is new.
    pub fn quarantine(&mut self, fingerprint: u64, age: Duration, now: Duration) -> bool {
        self.quarantine.insert(Fingerprint(fingerprint), age, now)
    }

    /// Builds a call to a peer.
    pub fn call(&mut self, target: &membership::Target, now: Duration) -> peer::Message {
        let mut message = self.digests(now);
        if target.speaks >= peer::SHARES_VERSION && self.identity.speaks >= peer::SHARES_VERSION {
            message.fresh = self.shares.is_fresh(now);
            message.wants = self.shares.share_requests(&target.host, now);
        }
        message.for_receiver(target.speaks)
    }

    /// Builds a call to a peer of which only the address is known.
    pub fn greet(&mut self, now: Duration) -> peer::Message {
        self.digests(now).for_receiver(peer::MIN_VERSION)
    }

    /// Applies a peer's call and returns the reply. `sequence` increases with each call
    /// from the peer.
    pub fn handle_call<Random>(
        &mut self,
        from: &id::Host,
        call: &peer::Message,
        sequence: u64,
        now: Duration,
        random: &mut Random,
    ) -> (peer::Message, Vec<Update>)
    where
        Random: Rng,
    {
        let updates = self.merge(from, call, now);
        let mut reply = self.digests(now);
        reply.contents = self.contents(call, now, random);
        if call.fresh {
            self.shares.drop_grants_from(from, now);
        }
        if call.version >= peer::SHARES_VERSION {
            reply.grants = self.shares.release(from, &call.wants, sequence, now);
        }
        self.expedite_urgent(&updates, now, random);
        (reply.for_receiver(call.speaks), updates)
    }

    /// Applies the reply to a call that was sent at `sent_at`. If the peer lacks items,
    /// also returns the follow-up call that carries them.
    pub fn handle_reply<Random>(
        &mut self,
        from: &id::Host,
        call: &peer::Message,
        sent_at: Duration,
        reply: &peer::Message,
        now: Duration,
        random: &mut Random,
    ) -> (Option<peer::Message>, Vec<Update>)
    where
        Random: Rng,
    {
        let mut updates = self.merge(from, reply, now);
        if call.fresh {
            self.shares.confirm(from);
        }
        if !reply.grants.is_empty() {
            self.shares.accept(from, &reply.grants, sent_at);
            updates.push(Update::Shares);
        }
        self.expedite_urgent(&updates, now, random);
        let is_follow_up = !call.contents.is_empty();
        let contents = self.contents(reply, now, random);
        if is_follow_up || contents.is_empty() {
            return (None, updates);
        }
        let mut follow_up = self.digests(now);
        follow_up.contents = contents;
        (Some(follow_up.for_receiver(reply.speaks)), updates)
    }

    fn revision(&self) -> id::Revision {
        let entry = self.configuration.as_ref();
        entry.map_or(id::Revision(0), |entry| entry.proposal.revision)
    }

    fn digests(&mut self, now: Duration) -> peer::Message {
        let mut message = peer::Message::new(self.state);
        message.speaks = self.identity.speaks;
        let is_new = now < self.started_at + INTRODUCTION_PERIOD;
        if is_new || !self.members.is_listed() {
            message.member = Some(self.identity.member.clone());
        }
        message.configuration = self.configuration.as_ref().map(summary);
        message.directory = self.members.digest();
        message.departures = self.departures.digest(now);
        message.quarantine = self.quarantine.digest(now);
        message
    }

    fn contents<Random>(
        &mut self,
        remote: &peer::Message,
        now: Duration,
        random: &mut Random,
    ) -> peer::Contents
    where
        Random: Rng,
    {
        let mut contents = peer::Contents::default();
        let mut free_bytes = self.members.available_bytes(now);
        let remote_revision = remote.configuration.as_ref();
        let remote_revision =
            remote_revision.map_or(id::Revision(0), |configuration| configuration.revision);
        if let Some(entry) = self.configuration.as_ref()
            && remote_revision < entry.proposal.revision
            && entry.proposal.document.len() <= free_bytes
        {
            free_bytes -= entry.proposal.document.len();
            contents.configuration = Some(entry.clone());
        }
        if remote.directory.is_none()
            && let Some(zone) = remote.member.as_ref().map(|member| &member.zone)
        {
            let list = self.members.excerpt(zone);
            let cost =
                |list: &directory::List| (list.hosts.len() + list.endpoints.len()) * ENTRY_BYTES;
            contents.directory = list.filter(|list| cost(list) <= free_bytes);
            free_bytes -= contents.directory.as_ref().map_or(0, cost);
        }
        if remote.departures != self.departures.digest(now) {
            let limit = MAX_ITEMS.min(free_bytes / ITEM_BYTES);
            contents.departures = self.departures.sample(limit, now, random);
            free_bytes -= contents.departures.len() * ITEM_BYTES;
        }
        if remote.quarantine != self.quarantine.digest(now) {
            let limit = MAX_ITEMS.min(free_bytes / ITEM_BYTES);
            let sample = self.quarantine.sample(limit, now, random).into_iter();
            contents.quarantine = sample.map(to_wire).collect();
        }
        contents
    }

    fn merge(&mut self, from: &id::Host, message: &peer::Message, now: Duration) -> Vec<Update> {
        let contact = membership::Contact {
            host: from,
            member: message.member.as_ref(),
            state: message.state,
            speaks: message.speaks,
        };
        self.members.record_contact(&contact, now);
        let mut updates = Vec::new();
        let contents = &message.contents;
        if let Some(entry) = contents.configuration.as_ref()
            && entry.proposal.revision > self.revision()
        {
            updates.push(Update::Configuration(entry.clone()));
        }
        if let Some(list) = contents.directory.as_ref()
            && self.members.list().is_none()
        {
            self.members.update(list.clone(), now);
            updates.push(Update::Directory(list.clone()));
        }
        if self.departures.merge(&contents.departures, now) {
            updates.push(Update::Departures);
        }
        let quarantine = self.merge_quarantine(&contents.quarantine, now);
        if !quarantine.is_empty() {
            updates.push(Update::Quarantine(quarantine));
        }
        updates
    }

    fn merge_quarantine(
        &mut self,
        items: &[peer::Quarantine],
        now: Duration,
    ) -> Vec<peer::Quarantine> {
        let mut new = Vec::new();
        for item in items {
            let age = Duration::from_millis(item.age_ms);
            if self.quarantine(item.fingerprint, age, now) {
                new.push(item.clone());
            }
        }
        new
    }

    fn expedite_urgent<Random>(&mut self, updates: &[Update], now: Duration, random: &mut Random)
    where
        Random: Rng,
    {
        let is_urgent = |item: &Update| !matches!(item, Update::Shares | Update::Directory(_));
        if updates.iter().any(is_urgent) {
            self.members.expedite_calls(now, random);
        }
    }
}

fn summary(entry: &configuration::Entry) -> peer::Configuration {
    let digest = entry.proposal.digest.chars().take(peer::DIGEST_PREFIX);
    peer::Configuration {
        revision: entry.proposal.revision,
        digest: digest.collect(),
    }
}

fn to_wire((fingerprint, age): (Fingerprint, Duration)) -> peer::Quarantine {
    peer::Quarantine {
        fingerprint: fingerprint.0,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}
