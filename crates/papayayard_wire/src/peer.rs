//! Messages between entry hosts.
//!
//! Hosts call one JSON-RPC method, [`METHOD`], with a [`Message`] and get a
//! [`Message`] back. A message carries digests; contents follow only where the
//! digests differ, in the reply or in a second call. Messages are versioned by
//! adding optional fields: a message is written at the lowest version that
//! both sides speak, and a reader skips fields that it does not know.
//!
//! - Version 1: state, configuration, directory, departures, quarantine.
//! - Version 2: adds `fresh`, `wants` and `grants`, which move shares of a
//!   client account's limits between hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{configuration, directory, id};

/// Name of the JSON-RPC method.
pub const METHOD: &str = "exchange";
/// Highest version that this program reads and writes.
pub const VERSION: u32 = 2;
/// Lowest version that this program reads and writes.
pub const MIN_VERSION: u32 = 1;
/// Version that added `wants` and `grants`.
pub const SHARES_VERSION: u32 = 2;

/// What one host tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Version that the message is written at.
    pub version: u32,
    /// Highest version that the sender reads.
    pub speaks: u32,
    /// Whether the sender takes requests.
    pub state: State,
    /// Where the sender is reached; left out once the list names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member: Option<Member>,
    /// Configuration in force at the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Configuration>,
    /// Digest of the platform's list as the sender has it; none before the
    /// first list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<Digest>,
    /// Digest of the known departures.
    #[serde(default, skip_serializing_if = "Digest::is_empty")]
    pub departures: Digest,
    /// Digest of the quarantined fingerprints.
    #[serde(default, skip_serializing_if = "Digest::is_empty")]
    pub quarantine: Digest,
    /// Contents whose digests differ.
    #[serde(default, skip_serializing_if = "Contents::is_empty")]
    pub contents: Contents,
    /// Whether the sender has just started and knows of no share that it has
    /// released; the receiver stops using those. Since version 2.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub fresh: bool,
    /// Shares that the sender asks the receiver for. From the sending on it
    /// uses no more than these of the receiver's. Since version 2.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<Share>,
    /// Shares that the sender releases to the receiver. Since version 2.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<Grant>,
}

impl Message {
    /// A message with no news, written at the highest version.
    pub fn new(state: State) -> Self {
        Self {
            version: VERSION,
            speaks: VERSION,
            state,
            member: None,
            configuration: None,
            directory: None,
            departures: Digest::default(),
            quarantine: Digest::default(),
            contents: Contents::default(),
            fresh: false,
            wants: Vec::new(),
            grants: Vec::new(),
        }
    }

    /// The message as a receiver reads it that speaks at most `speaks`.
    #[must_use]
    pub fn for_receiver(mut self, speaks: u32) -> Self {
        self.version = self.speaks.min(speaks).max(MIN_VERSION);
        if self.version < SHARES_VERSION {
            self.fresh = false;
            self.wants.clear();
            self.grants.clear();
        }
        self
    }

    /// Whether this program can act on the message.
    pub const fn is_readable(&self) -> bool {
        self.version >= MIN_VERSION && self.version <= VERSION && self.speaks >= self.version
    }
}

/// Whether a host takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Started, and waits for its configuration.
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes its requests and takes none.
    Stopping,
    /// Finished; it will not be heard of again.
    Left,
}

/// Where a host is and how its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Availability zone.
    pub zone: id::Zone,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// Which configuration is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision.
    pub revision: id::Revision,
    /// First characters of the document's digest.
    pub digest: String,
}

/// Characters of a document's digest that a message carries.
pub const DIGEST_PREFIX: usize = 16;

/// Digest of a set; equal sets have equal digests, whatever their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl Digest {
    /// Whether the set is empty.
    pub const fn is_empty(&self) -> bool {
        self.0 == 0
    }

    /// Adds an item that the set does not hold yet.
    pub fn add(&mut self, item: &[u8]) {
        self.0 ^= xxhash_rust::xxh3::xxh3_64(item);
    }
}

/// Contents that follow digests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Contents {
    /// The accepted proposal, and how far the sender had read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<configuration::Entry>,
    /// The platform's list, for a host that has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<directory::List>,
    /// Departures.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<Departure>,
    /// Quarantined fingerprints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantine: Vec<Quarantine>,
}

impl Contents {
    /// Whether there is nothing in it.
    pub const fn is_empty(&self) -> bool {
        self.configuration.is_none()
            && self.directory.is_none()
            && self.departures.is_empty()
            && self.quarantine.is_empty()
    }
}

/// An endpoint that gets no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Run of its process; none where every run is meant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<id::Incarnation>,
    /// Why.
    pub cause: Cause,
    /// Time since the first sign, in milliseconds.
    pub age_ms: u64,
}

/// Why an endpoint gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The platform's list says that it leaves.
    Leaving,
    /// It reports that it drains.
    Draining,
    /// It was ordered to drain.
    Ordered,
    /// Its process ended.
    Dead,
}

/// A request that ends the endpoints that run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Time since it was quarantined, in milliseconds.
    pub age_ms: u64,
}

/// A part of a client account's limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Client account.
    pub account: id::Account,
    /// Rate, in thousandths of a request per second.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rate: u64,
    /// Open requests.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub open: u64,
}

/// A share that its owner does not use for a stated time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// What is released.
    pub share: Share,
    /// Time that it is released for, counted from the sending of the call
    /// that asked for it, in milliseconds.
    pub ttl_ms: u64,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}
