//! The router daemon: thin tasks around the pure decisions.
//!
//! Tasks own their sockets and their state and talk by messages. Requests
//! pass a chain of filters and leave at one relay; controllers keep the state
//! that filters read.

pub mod host;
pub mod logging;
pub mod operators;
pub mod settings;

mod active;
mod callers;
mod clock;
mod controllers;
mod exchange;
mod filters;
mod metrics;
mod readiness;
mod refusal;
mod relay;
