//! Asks whether the run of an endpoint that a request was sent to still lives.
//!
//! A process that has ended refuses connections, but another one may have its address by
//! then, or it may still be about to close its listener. An endpoint's report names its run, so
//! the report decides where the run matters.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_wire::id;
use tokio::time;

use super::{Ending, ProbeOutcome};
use crate::call::{self, Bounds, Caller};
use crate::dial;
use crate::exchange::Codec;

/// Bounds of an answer with a report.
const REPORT_BOUNDS: Bounds = Bounds {
    time: Duration::from_millis(500),
    bytes: call::MAX_REPORT_BYTES,
};
/// Pause before a run that gave no report is asked once more: a process that ends closes all its
/// sockets within less.
const PAUSE: Duration = Duration::from_millis(30);
/// Time in which a sound endpoint that was silent accepts connections again.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// A question to an endpoint.
pub(super) struct Probe<Platform> {
    pub(super) codec: Platform,
    pub(super) address: SocketAddr,
    /// Start of the run that is meant; if it is not stated, any process counts.
    pub(super) started: Option<id::Incarnation>,
    /// How the answers ended; a request whose answer broke off is not kept waiting.
    pub(super) ending: Ending,
}

/// What one connection shows.
enum Seen {
    Known(ProbeOutcome),
    /// It was accepted, and no answer came.
    Unanswered,
}

impl<Platform> Probe<Platform>
where
    Platform: Codec,
{
    pub(super) async fn run(self) -> ProbeOutcome {
        if self.ending == Ending::Broken {
            return connect(self.address).await;
        }
        let attempts = async {
            loop {
                let outcome = self.ask().await;
                if outcome != ProbeOutcome::Inconclusive {
                    return outcome;
                }
                time::sleep(PAUSE).await;
            }
        };
        let outcome = time::timeout(MAX_SILENCE, attempts).await;
        outcome.unwrap_or(ProbeOutcome::Inconclusive)
    }

    async fn ask(&self) -> ProbeOutcome {
        let Some(started) = self.started else {
            return connect(self.address).await;
        };
        if let Seen::Known(outcome) = self.read_report(started).await {
            return outcome;
        }
        time::sleep(PAUSE).await;
        match self.read_report(started).await {
            Seen::Known(outcome) => outcome,
            // A process that takes connections again and again lives; it is full or slow.
            Seen::Unanswered => ProbeOutcome::Accepted,
        }
    }

    async fn read_report(&self, started: id::Incarnation) -> Seen {
        let mut caller = Caller::new(self.address);
        let reply = caller.call(self.codec.report(), REPORT_BOUNDS).await;
        let outcome = match reply {
            Ok(reply) => {
                let report = self.codec.decode_report(&reply);
                let is_other = report
                    .and_then(|report| report.started)
                    .is_some_and(|living| living != started);
                if is_other {
                    ProbeOutcome::Replaced
                } else {
                    ProbeOutcome::Accepted
                }
            }
            Err(call::Error::Unreachable { source, .. }) => unreachable_by(&source),
            Err(error) => {
                log::debug!(address:% = self.address, error:%; "endpoint gives no report");
                return Seen::Unanswered;
            }
        };
        Seen::Known(outcome)
    }
}

/// Opens a connection to the address and closes it at once.
async fn connect(address: SocketAddr) -> ProbeOutcome {
    match dial::connect(address).await {
        Ok(_) => ProbeOutcome::Accepted,
        Err(error) => {
            log::debug!(address:%, error:%; "endpoint probe failed");
            unreachable_by(&error)
        }
    }
}

fn unreachable_by(error: &io::Error) -> ProbeOutcome {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        ProbeOutcome::Refused
    } else {
        ProbeOutcome::Inconclusive
    }
}
