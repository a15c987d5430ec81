//! An address on the command line.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::str::FromStr;

/// IP number and port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Address(pub(crate) SocketAddr);

/// The option parser fills a required option with this until it is read.
impl Default for Address {
    fn default() -> Self {
        Self(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0).into())
    }
}

impl FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| {
            format!("{text:?} is no address; write an IP number and a port, such as 10.0.0.1:9090")
        })
    }
}

impl fmt::Display for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
