//! Messages that papayayard exchanges with callers, endpoints, the platform
//! and peers.
//!
//! The crate holds types and their encodings only. It has no sockets, clocks
//! or tasks, so that both sides of every interface, the stand-ins included,
//! share one definition of what passes between them.

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
