//! Serves routes: forwards requests and answers between callers and endpoints without
//! inspecting their content.
//!
//! The route is selected by host name and path, and the endpoint by the needs of the
//! request and the known load and caches of the endpoints. The decisions are made in
//! `papayayard_routing` and `papayayard_coordination`; this crate contains the tasks that
//! own sockets and state. Two codecs, [`store::Codec`] and [`exchange::Codec`], hide the
//! headers, records and calls of the platform.

pub mod call;
pub mod exchange;
pub mod exposition;
pub mod hop;
pub mod host;
pub mod listen;

pub mod settings;
pub mod store;
pub mod upload;

mod acknowledgement;
mod allowance;
mod announcement;
mod attempt;
mod backoff;
mod beliefs;
mod body;
mod cache_news;
mod clock;
mod detours;
mod dial;
mod dispatch;
mod ends;
mod era;
mod events;
mod feeds;
mod follow;
mod forwarded;
mod framing;
mod front;
mod held;
mod hosts;
mod job;
mod memory;
mod meter;
mod metrics;
mod mirror;
mod operators;
mod orders;
mod origins;
mod overload;
mod peers;
mod pool;
mod pump;
mod quota;
mod recovery;
mod refusal;
mod relay;
mod runs;
mod schedule;
mod socket;
mod targets;
mod uplink;
mod usability;
