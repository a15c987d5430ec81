//! Pure state machines over the platform's log and the peers.
//!
//! This crate uses no sockets, clocks, threads or globals: callers pass in time and
//! randomness, and decisions are returned as values. Other programs can embed the
//! modules and replay them from a seed.

pub mod amount;
pub mod budget;
pub mod claim;
pub mod configuration;
pub mod demand;
pub mod departure;
pub mod detour;
pub mod dispatcher;
pub mod dispatcher_health;
pub mod exchange;
pub mod gossip;
mod grant;
pub mod holder;
pub mod journal;
pub mod leadership;
pub mod lease;
pub mod membership;
pub mod order;
pub mod origin;
pub mod pace;
pub mod presence;
pub mod quota;
pub mod ranking;
pub mod reach;
pub mod reader;
pub mod replay;
pub mod rollout;
pub mod run;
pub mod shedding;
pub mod shutdown;
pub mod stop;
pub mod uplink;
