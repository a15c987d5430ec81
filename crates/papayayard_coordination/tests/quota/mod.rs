//! Replays of many hosts that share quotas, without a network.

mod plan;
mod simulation;

pub(crate) use plan::Plan;
pub(crate) use simulation::Simulation;
