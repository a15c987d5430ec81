//! The platform's list of hosts, which lags behind the truth.
//!
//! `GET /hosts` answers with a [`List`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// All hosts that the platform knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Entry hosts.
    #[serde(default)]
    pub hosts: Vec<Host>,
    /// Endpoints.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub id: id::Host,
    /// Availability zone.
    pub zone: id::Zone,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Whether it is to leave.
    pub state: State,
}

/// An endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name.
    pub id: id::Endpoint,
    /// Service that it is a replica of.
    pub service: id::Service,
    /// Availability zone.
    pub zone: id::Zone,
    /// Address for requests.
    pub address: SocketAddr,
    /// Whether it is to leave.
    pub state: State,
}

/// What the platform plans for a host or endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// Gets no new work.
    Leaving,
}
