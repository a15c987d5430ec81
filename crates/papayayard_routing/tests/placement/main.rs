//! Tests of the scheduler: placement, waiting and refusal of requests.

mod choice;
mod crowd;
mod detached;
mod dispatch;
mod faults;
mod limits;
mod link;
mod overload;
mod plain;
mod prefill;
mod recovery;
mod reevaluation;
mod refusal_limits;
mod shares;
mod signals;
mod site;
mod support;
mod usability;
mod weights;
