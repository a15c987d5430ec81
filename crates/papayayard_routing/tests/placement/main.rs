//! Where requests are placed, how they wait and when they are turned away.

mod choice;
mod crowd;
mod dispatch;
mod link;
mod pace;
mod stated;
mod support;
mod weights;
