//! Settings of one host: who it is, where it listens and whom it talks to.
//!
//! Settings differ between hosts and stay as they are while the process
//! runs. Everything that hosts must agree on is in the configuration
//! document instead.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use papayayard_document::{fault, file, reader};
use papayayard_routing::choice;
use papayayard_wire::id;
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

mod decode;

/// Settings of a host.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// Name of the host.
    pub host: id::Host,
    /// Availability zone that the host is in.
    pub zone: id::Zone,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Addresses of other hosts' peer listeners, to start from.
    pub peers: Vec<SocketAddr>,
    /// Secret that all hosts of a deployment share.
    pub peer_secret: Secret,
    /// How endpoints are chosen.
    pub policy: choice::Name,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    /// Periods of the controllers.
    pub periods: Periods,
    /// Time between the start of a planned stop and the end of listening.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stop_grace_ms")]
    pub stop_grace: Duration,
}

impl Settings {
    /// Time between the start of a planned stop and the end of listening.
    const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(2);

    /// Reads settings and checks them whole; on failure lists every fault.
    pub fn parse(text: &str) -> Result<Self, Vec<fault::Fault>> {
        reader::Reader::read(text, decode::settings)
    }
}

/// A secret, which is never shown.
#[derive(Clone, Serialize)]
#[serde(transparent)]
pub struct Secret(pub String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Secret")
    }
}

/// Addresses to listen on; port 0 takes any free port.
#[derive(Clone, Debug, Serialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For operators; this listener only reads.
    pub operators: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Serialize)]
pub struct Platform {
    /// Log service.
    pub log: SocketAddr,
    /// List of hosts.
    pub directory: SocketAddr,
}

/// Bounds on what a caller may send.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct Limits {
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// Most bytes of a request's headers.
    pub header_bytes: usize,
    /// Time to send a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "send_ms")]
    pub send: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 16 << 20,
            header_bytes: 32 << 10,
            send: Duration::from_secs(10),
        }
    }
}

/// Periods of the controllers.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct Periods {
    /// Between reads of the list of hosts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "directory_ms")]
    pub directory: Duration,
    /// Between reads of an endpoint's report.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "report_ms")]
    pub report: Duration,
    /// Between reads of an endpoint's cache events.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "events_ms")]
    pub events: Duration,
    /// Between exchanges with peers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "peers_ms")]
    pub peers: Duration,
    /// Bound on one call to the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platform_timeout_ms")]
    pub platform_timeout: Duration,
}

impl Default for Periods {
    fn default() -> Self {
        Self {
            directory: Duration::from_millis(500),
            report: Duration::from_millis(250),
            events: Duration::from_millis(250),
            peers: Duration::from_millis(1_500),
            platform_timeout: Duration::from_secs(2),
        }
    }
}

/// Reads settings from a YAML file.
pub fn read(path: &Path) -> Result<Settings, file::Error> {
    file::read(path, Settings::parse)
}
