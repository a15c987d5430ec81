//! Controllers: tasks that keep the state which filters and relays read.

pub(crate) mod admission;
pub(crate) mod claims;
pub(crate) mod configuration;
pub(crate) mod directory;
pub(crate) mod fleet;
pub(crate) mod journal;
pub(crate) mod observer;
pub(crate) mod orders;
pub(crate) mod peers;

#[cfg(test)]
mod claims_test;
#[cfg(test)]
mod configuration_test;
#[cfg(test)]
mod directory_test;
#[cfg(test)]
mod fake_log_test;
#[cfg(test)]
mod orders_test;
#[cfg(test)]
mod outage_test;
#[cfg(test)]
mod peer_net_test;
#[cfg(test)]
mod peers_test;
