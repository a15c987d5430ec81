//! Calls to one endpoint: reading its report and sending an order.
//!
//! An order must not arrive after this host's leadership has ended: another leader may
//! have sent a later one by then, and not every endpoint compares fencing numbers. The
//! permission to send is therefore checked again once the connection is established, and
//! an unanswered order is aborted together with its connection when the permission ends.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use papayayard_coordination::leadership::Permit;
use papayayard_coordination::rollout::Answer;
use papayayard_wire::id;

use crate::call::{self, Bounds, Caller};
use crate::clock::Clock;
use crate::exchange::{Codec, OrderReply, Report};
use crate::uplink;

/// Bounds of an answer with a report.
const REPORT_BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(700),
    bytes: call::MAX_REPORT_BYTES,
};
/// Maximum size of the answer to an order.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The answer to be applied to the rollout.
    Step(Answer),
    /// The endpoint has accepted orders from a later leader.
    Fenced,
}

/// Reads an endpoint's report.
pub(super) async fn report<Platform>(
    codec: &Platform,
    (endpoint, address): (&id::Endpoint, SocketAddr),
    uplink: &uplink::Handle,
) -> Option<Report>
where
    Platform: Codec,
{
    let mut caller = Caller::new(address);
    let outcome = caller.call(codec.report(), REPORT_BOUNDS).await;
    uplink.record_call(endpoint, &caller, &outcome);
    match outcome {
        Ok(reply) => codec.decode_report(&reply),
        Err(error) => {
            log::info!(error:%; "reading an endpoint's report failed");
            None
        }
    }
}

/// Sends an order for as long as `leave` permits it.
pub(super) async fn order<Platform>(
    codec: &Platform,
    address: SocketAddr,
    request: http::Request<Bytes>,
    leave: Permit,
    clock: Clock,
) -> Outcome
where
    Platform: Codec,
{
    let bounds = || {
        let now = clock.now();
        leave.allows_sending(now).then(|| Bounds {
            time: leave.end.saturating_sub(now),
            bytes: MAX_ANSWER_BYTES,
        })
    };
    match call::once_or_reset(address, request, bounds).await {
        Ok(reply) => match codec.decode_order(reply.status) {
            OrderReply::Accepted => Outcome::Step(Answer::Accepted),
            OrderReply::Holds => Outcome::Step(Answer::Holds),
            OrderReply::Busy | OrderReply::Rejected => Outcome::Step(Answer::Busy),
            OrderReply::Mismatched => Outcome::Step(Answer::Gone),
            OrderReply::Fenced => Outcome::Fenced,
        },
        Err(call::Error::Unreachable { .. }) => Outcome::Step(Answer::Gone),
        Err(call::Error::Withheld { .. }) => Outcome::Step(Answer::Unsent),
        Err(error) => {
            log::info!(error:%; "no answer to an order");
            Outcome::Step(Answer::Lost)
        }
    }
}
