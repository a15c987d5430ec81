//! What a host tells a peer, and what it takes from what a peer tells.
//!
//! A call carries digests. The reply carries the replier's digests, and its
//! contents where the two differ; where the caller then holds something that
//! the replier lacks, one further call carries it. Contents are left out while
//! the byte budget has no room for them, so a large change spreads more slowly
//! and costs no more. News that peers need at once brings the next calls
//! forward.

use std::time::Duration;

use papayayard_wire::{configuration, directory, id, peer};
use rand::Rng;

use crate::{demand, departure, gossip, membership};

/// Time that a fingerprint stays quarantined.
pub const QUARANTINE_TTL: Duration = Duration::from_hours(1);
/// Most fingerprints that are kept.
const QUARANTINE_CAPACITY: usize = 4_096;
/// Most items of a set in one message.
const ITEMS: usize = 64;
/// Bytes of an item in a message.
const ITEM_BYTES: usize = 100;
/// Bytes of a host or endpoint of the list in a message.
const ENTRY_BYTES: usize = 130;
/// Time after the start in which a host says where it is.
const INTRODUCTION: Duration = Duration::from_mins(1);

/// Fingerprint of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl gossip::Item for Fingerprint {
    fn bytes(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }
}

/// Something that a peer told and that this host did not know.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A configuration that may be newer.
    Configuration(configuration::Entry),
    /// The platform's list, for a host that has none.
    Directory(directory::List),
    /// Endpoints that get no new work.
    Departures,
    /// Quarantined fingerprints.
    Quarantine(Vec<peer::Quarantine>),
    /// Shares of limits.
    Shares,
}

/// Who a host is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name.
    pub host: id::Host,
    /// Zone and address.
    pub member: peer::Member,
    /// Highest message version that it may use.
    pub speaks: u32,
}

/// What one host knows and shares with its peers.
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
    /// A host that starts at `now`.
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

    /// Sets whether this host takes requests.
    pub fn set_state(&mut self, state: peer::State) {
        self.state = state;
    }

    /// Sets the configuration in force; whether its revision is new.
    pub fn set_configuration(&mut self, entry: configuration::Entry) -> bool {
        let is_new = entry.proposal.revision > self.revision();
        self.configuration = Some(entry);
        is_new
    }

    /// Adds a quarantined fingerprint; whether it is new.
    pub fn quarantine(&mut self, fingerprint: u64, age: Duration, now: Duration) -> bool {
        self.quarantine.insert(Fingerprint(fingerprint), age, now)
    }

    /// A call to a peer.
    pub fn call(&mut self, target: &membership::Target, now: Duration) -> peer::Message {
        let mut message = self.digests(now);
        if target.speaks >= peer::SHARES_VERSION && self.identity.speaks >= peer::SHARES_VERSION {
            message.fresh = self.shares.is_fresh(now);
            message.wants = self.shares.wants(&target.host, now);
        }
        message.for_receiver(target.speaks)
    }

    /// A call to a peer of which only the address is known.
    pub fn greet(&mut self, now: Duration) -> peer::Message {
        self.digests(now).for_receiver(peer::MIN_VERSION)
    }

    /// Takes a peer's call and answers it; `order` grows from each call of the
    /// peer to the next.
    pub fn answer<Random>(
        &mut self,
        from: &id::Host,
        call: &peer::Message,
        order: u64,
        now: Duration,
        random: &mut Random,
    ) -> (peer::Message, Vec<News>)
    where
        Random: Rng,
    {
        let news = self.take(from, call, now);
        let mut reply = self.digests(now);
        reply.contents = self.contents(call, now, random);
        if call.fresh {
            self.shares.forget(from, now);
        }
        if call.version >= peer::SHARES_VERSION {
            reply.grants = self.shares.release(from, &call.wants, order, now);
        }
        self.spread(&news, now, random);
        (reply.for_receiver(call.speaks), news)
    }

    /// Takes the reply to a call that was sent at `sent_at`; where the peer
    /// lacks something, also gives the call that brings it.
    pub fn learn<Random>(
        &mut self,
        from: &id::Host,
        call: &peer::Message,
        sent_at: Duration,
        reply: &peer::Message,
        now: Duration,
        random: &mut Random,
    ) -> (Option<peer::Message>, Vec<News>)
    where
        Random: Rng,
    {
        let mut news = self.take(from, reply, now);
        if call.fresh {
            self.shares.confirm(from);
        }
        if !reply.grants.is_empty() {
            self.shares.accept(from, &reply.grants, sent_at);
            news.push(News::Shares);
        }
        self.spread(&news, now, random);
        let is_further = !call.contents.is_empty();
        let contents = self.contents(reply, now, random);
        if is_further || contents.is_empty() {
            return (None, news);
        }
        let mut further = self.digests(now);
        further.contents = contents;
        (Some(further.for_receiver(reply.speaks)), news)
    }

    fn revision(&self) -> id::Revision {
        let entry = self.configuration.as_ref();
        entry.map_or(id::Revision(0), |entry| entry.proposal.revision)
    }

    fn digests(&mut self, now: Duration) -> peer::Message {
        let mut message = peer::Message::new(self.state);
        message.speaks = self.identity.speaks;
        let is_new = now < self.started_at + INTRODUCTION;
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
        theirs: &peer::Message,
        now: Duration,
        random: &mut Random,
    ) -> peer::Contents
    where
        Random: Rng,
    {
        let mut contents = peer::Contents::default();
        let mut room = self.members.room(now);
        let known = theirs.configuration.as_ref();
        let known = known.map_or(id::Revision(0), |known| known.revision);
        if let Some(entry) = self.configuration.as_ref()
            && known < entry.proposal.revision
            && entry.proposal.document.len() <= room
        {
            room -= entry.proposal.document.len();
            contents.configuration = Some(entry.clone());
        }
        if theirs.directory.is_none()
            && let Some(zone) = theirs.member.as_ref().map(|member| &member.zone)
        {
            let list = self.members.excerpt(zone);
            let cost =
                |list: &directory::List| (list.hosts.len() + list.endpoints.len()) * ENTRY_BYTES;
            contents.directory = list.filter(|list| cost(list) <= room);
            room -= contents.directory.as_ref().map_or(0, cost);
        }
        if theirs.departures != self.departures.digest(now) {
            let limit = ITEMS.min(room / ITEM_BYTES);
            contents.departures = self.departures.part(limit, now, random);
            room -= contents.departures.len() * ITEM_BYTES;
        }
        if theirs.quarantine != self.quarantine.digest(now) {
            let limit = ITEMS.min(room / ITEM_BYTES);
            let part = self.quarantine.part(limit, now, random).into_iter();
            contents.quarantine = part.map(told).collect();
        }
        contents
    }

    fn take(&mut self, from: &id::Host, message: &peer::Message, now: Duration) -> Vec<News> {
        let contact = membership::Contact {
            host: from,
            member: message.member.as_ref(),
            state: message.state,
            speaks: message.speaks,
        };
        self.members.heard(&contact, now);
        let mut news = Vec::new();
        let contents = &message.contents;
        if let Some(entry) = contents.configuration.as_ref()
            && entry.proposal.revision > self.revision()
        {
            news.push(News::Configuration(entry.clone()));
        }
        if let Some(list) = contents.directory.as_ref()
            && self.members.list().is_none()
        {
            self.members.update(list.clone(), now);
            news.push(News::Directory(list.clone()));
        }
        if self.departures.heard(&contents.departures, now) {
            news.push(News::Departures);
        }
        let quarantine = self.hear_quarantine(&contents.quarantine, now);
        if !quarantine.is_empty() {
            news.push(News::Quarantine(quarantine));
        }
        news
    }

    fn hear_quarantine(
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

    fn spread<Random>(&mut self, news: &[News], now: Duration, random: &mut Random)
    where
        Random: Rng,
    {
        let is_urgent = |item: &News| !matches!(item, News::Shares | News::Directory(_));
        if news.iter().any(is_urgent) {
            self.members.hurry(now, random);
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

fn told((fingerprint, age): (Fingerprint, Duration)) -> peer::Quarantine {
    peer::Quarantine {
        fingerprint: fingerprint.0,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}
