//! Messages that papayayard exchanges with callers, endpoints, the platform
//! and peers.
//!
//! The crate contains only types and their encodings. It has no sockets, clocks
//! or tasks, so that both sides of every interface, including the simulators in
//! `papayayard_stand_in`, share one definition of the messages.

pub mod block;
pub mod claim;
pub mod completion;
pub mod configuration;
pub mod directory;
pub mod endpoint;
pub mod header;
pub mod id;
pub mod log;
pub mod peer;
pub mod proof;
pub mod refusal;
pub mod status;
