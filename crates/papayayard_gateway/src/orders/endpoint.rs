//! Calls to one endpoint: its report, and an order.
//!
//! An order must not arrive after this host's turn: another holder may have given
//! a later one by then, and not every endpoint would notice. So the leave is
//! looked at once more when the connection stands, and an order without an
//! answer is cut off together with its connection when the leave ends.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use papayayard_coordination::rollout::Answer;
use papayayard_coordination::turn::Leave;

use crate::call::{self, Bounds};
use crate::clock::Clock;
use crate::exchange::{Codec, OrderReply, Report};

/// Bounds of a report.
const REPORT_BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(700),
    bytes: 256 << 10,
};
/// Most bytes of the answer to an order.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
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
    match call::once(address, codec.report(), REPORT_BOUNDS).await {
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
    leave: Leave,
    clock: Clock,
) -> Outcome
where
    Platform: Codec,
{
    let bounds = || {
        let now = clock.now();
        leave.permits(now).then(|| Bounds {
            time: leave.end.saturating_sub(now),
            bytes: MAX_ANSWER_BYTES,
        })
    };
    match call::punctual(address, request, bounds).await {
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
            log::info!(error:%; "an order's answer is lost");
            Outcome::Step(Answer::Lost)
        }
    }
}
