//! Messages between entry hosts.
//!
//! Hosts call a single JSON-RPC method, [`METHOD`], with a [`Message`] and receive
//! a [`Message`] in reply. A message carries digests; contents are sent only if
//! digests differ, in the reply or in a second call. Versions differ by optional
//! fields: a message is written in the lower of the two sides' highest versions,
//! and a reader ignores unknown fields.
//!
//! - Version 1: state, configuration, directory, departures, quarantine.
//! - Version 2: adds `fresh`, `wants` and `grants`, which move shares of a
//!   client account's limits between hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{configuration, directory, id};

/// Name of the JSON-RPC method.
pub const METHOD: &str = "exchange";
/// Highest version that this program supports.
pub const VERSION: u32 = 2;
/// Lowest version that this program supports.
pub const MIN_VERSION: u32 = 1;
/// Version that added `fresh`, `wants` and `grants`.
pub const SHARES_VERSION: u32 = 2;

/// State that one host sends to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Version in which the message is written.
    pub version: u32,
    /// Highest version that the sender supports.
    pub speaks: u32,
    /// Whether the sender accepts requests.
    pub state: State,
    /// Zone and address of the sender; omitted once the platform's list contains
    /// the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member: Option<Member>,
    /// Configuration in force at the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Configuration>,
    /// Digest of the sender's copy of the platform's list; `None` before the sender
    /// has received a list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<Digest>,
    /// Digest of the known departures.
    #[serde(default, skip_serializing_if = "Digest::is_empty")]
    pub departures: Digest,
    /// Digest of the quarantined fingerprints.
    #[serde(default, skip_serializing_if = "Digest::is_empty")]
    pub quarantine: Digest,
    /// Contents of the sets whose digests differ.
    #[serde(default, skip_serializing_if = "Contents::is_empty")]
    pub contents: Contents,
    /// Whether the sender has just started and has no record of shares that it
    /// released earlier; the receiver stops using those shares. Since version 2.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub fresh: bool,
    /// Shares that the sender requests from the receiver. Once the message is sent,
    /// the sender uses no more than these of the receiver's shares. Since version 2.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<Share>,
    /// Shares that the sender releases to the receiver. Since version 2.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<Grant>,
}

impl Message {
    /// Returns a message without updates, in the highest version.
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

    /// Returns the message in the version to use with a receiver whose highest
    /// version is `speaks`, without the fields that this version lacks.
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

    /// Whether this program supports the version of the message.
    pub const fn is_readable(&self) -> bool {
        self.version >= MIN_VERSION && self.version <= VERSION && self.speaks >= self.version
    }
}

/// Whether a host accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Waits for its configuration after the start.
    Starting,
    /// Accepts requests.
    Serving,
    /// Finishes its open requests and accepts no new ones.
    Stopping,
    /// Stopped; the host sends no further messages.
    Left,
}

/// Zone and peer address of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub zone: id::Zone,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// Identifies the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    pub revision: id::Revision,
    /// First characters of the document's digest.
    pub digest: String,
}

/// Number of leading characters of a document's digest that a message carries.
pub const DIGEST_PREFIX: usize = 16;

/// Digest of a set; independent of the order in which items are added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl Digest {
    pub const fn is_empty(&self) -> bool {
        self.0 == 0
    }

    /// Adds an item that is not in the set yet; adding an item again removes it.
    pub fn add(&mut self, item: &[u8]) {
        self.0 ^= xxhash_rust::xxh3::xxh3_64(item);
    }
}

/// Contents of the sets whose digests differ between two hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Contents {
    /// The accepted proposal, and how far the sender had read the stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<configuration::Entry>,
    /// The platform's list, for a host that has not received one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<directory::List>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<Departure>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantine: Vec<Quarantine>,
}

impl Contents {
    pub const fn is_empty(&self) -> bool {
        self.configuration.is_none()
            && self.directory.is_none()
            && self.departures.is_empty()
            && self.quarantine.is_empty()
    }
}

/// An endpoint that receives no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    pub endpoint: id::Endpoint,
    /// Run of the endpoint's process; `None` applies to every run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<id::Incarnation>,
    pub cause: Cause,
    /// Time since the departure was first detected, in milliseconds.
    pub age_ms: u64,
}

/// Reason why an endpoint receives no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The platform's list marks the endpoint as leaving.
    Leaving,
    /// The endpoint reports that it is draining.
    Draining,
    /// The endpoint was ordered to drain.
    Ordered,
    /// The endpoint's process crashed or exited.
    Dead,
}

/// A request that crashes the endpoints that run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    pub fingerprint: u64,
    /// Time since the request was quarantined, in milliseconds.
    pub age_ms: u64,
}

/// A share of a client account's limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    pub account: id::Account,
    /// Request rate, in thousandths of a request per second.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rate: u64,
    /// Number of open requests.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub open: u64,
}

/// A share that its owner releases for a limited time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub share: Share,
    /// Duration of the release in milliseconds, starting when the call that
    /// requested the share was sent.
    pub ttl_ms: u64,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}
