//! Where requests are placed, how they wait and when they are turned away.

mod choice;
mod crowd;
mod dispatch;
mod link;
mod prefill;
mod signals;
mod support;
mod weights;
