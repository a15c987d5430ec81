//! Calls to one endpoint: its report, and an order.
//!
//! An order must not arrive after this host's turn: another holder may have given
//! a later one by then, and not every endpoint would notice. So the leave is
//! looked at once more when the connection stands, and an order without an
//! answer is cut off together with its connection when the leave ends.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use papayayard_coordination::leadership::Permit;
use papayayard_coordination::rollout::Answer;

use crate::call::{self, Bounds};
use crate::clock::Clock;
use crate::exchange::{Codec, OrderReply, Report};

/// Bounds of a report.
const REPORT: Bounds = Bounds {
    time: Duration::from_millis(700),
    bytes: 256 << 10,
};
/// Most bytes of the answer to an order.
const ANSWER_BYTES: usize = 64 << 10;

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answered {
    /// What follows for the roll-out.
    Step(Answer),
    /// A later holder has given orders.
    Fenced,
}

/// Asks for a report.
pub(super) async fn report<Platform>(codec: &Platform, address: SocketAddr) -> Option<Report>
where
    Platform: Codec,
{
    match call::once(address, codec.report(), REPORT).await {
        Ok(reply) => codec.decode_report(&reply),
        Err(error) => {
            log::info!(error:%; "no report");
            None
        }
    }
}

/// Gives an order while there is leave.
pub(super) async fn order<Platform>(
    codec: &Platform,
    address: SocketAddr,
    request: http::Request<Bytes>,
    leave: Permit,
    clock: Clock,
) -> Answered
where
    Platform: Codec,
{
    let bounds = || {
        let now = clock.now();
        leave.allows_sending(now).then(|| Bounds {
            time: leave.end.saturating_sub(now),
            bytes: ANSWER_BYTES,
        })
    };
    match call::punctual(address, request, bounds).await {
        Ok(reply) => match codec.decode_order(reply.status) {
            OrderReply::Accepted => Answered::Step(Answer::Accepted),
            OrderReply::Holds => Answered::Step(Answer::Holds),
            OrderReply::Busy | OrderReply::Rejected => Answered::Step(Answer::Busy),
            OrderReply::Mismatched => Answered::Step(Answer::Gone),
            OrderReply::Fenced => Answered::Fenced,
        },
        Err(call::Error::Unreachable { .. }) => Answered::Step(Answer::Gone),
        Err(call::Error::Withheld { .. }) => Answered::Step(Answer::Unsent),
        Err(error) => {
            log::info!(error:%; "an order's answer is lost");
            Answered::Step(Answer::Lost)
        }
    }
}
