//! The platform's list of hosts and endpoints, which may be out of date.
//!
//! `GET /hosts` returns a [`List`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// All hosts and endpoints registered with the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    #[serde(default)]
    pub hosts: Vec<Host>,
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    pub id: id::Host,
    pub zone: id::Zone,
    /// Address for peers.
    pub peer: SocketAddr,
    pub state: State,
}

/// An endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    pub id: id::Endpoint,
    /// Service that the endpoint is a replica of.
    pub service: id::Service,
    pub zone: id::Zone,
    /// Address for requests.
    pub address: SocketAddr,
    pub state: State,
}

/// Lifecycle state that the platform assigns to a host or endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// Scheduled for removal; receives no new requests.
    Leaving,
}
