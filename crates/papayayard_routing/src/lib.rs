//! Routing and admission decisions as pure functions of their inputs.
//!
//! This crate uses no sockets, clocks, threads or globals: callers pass in the
//! time and random numbers, and decisions are returned as values. Times are
//! durations since an epoch that the caller keeps for the life of the process.

pub mod admission;
pub mod blame;
pub mod bucket;
pub mod buffers;
pub mod choice;
pub mod ejection;
pub mod fairness;
pub mod fleet;
pub mod index;
pub mod listing;
pub mod load;
pub mod mix;
pub mod placement;
pub mod prompt;
pub mod quarantine;
pub mod quota;
pub mod rate;
pub mod retry;
pub mod retry_budget;
pub mod run;
pub mod salt;
pub mod sharing;
pub mod table;
pub mod weights;
