//! Tests of the scheduler: placement, waiting and refusal of requests.

mod choice;
mod crowd;
mod detached;
mod dispatch;
mod limits;
mod link;
mod plain;
mod prefill;
mod refusal_limits;
mod signals;
mod support;
mod usability;
mod weights;
