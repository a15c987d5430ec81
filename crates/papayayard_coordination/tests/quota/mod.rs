//! Replays of many hosts that share quotas, without a network.

pub mod plan;
pub mod simulation;

pub use plan::{Fault, Plan};
pub use simulation::Simulation;
