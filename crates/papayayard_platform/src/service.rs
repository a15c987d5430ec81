//! Traits of the platform's services.

use std::time::Duration;

use papayayard_wire::{directory, id, log};
use snafu::Snafu;

/// Why a call to the platform has no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The connection could not be made, so nothing was sent.
    #[snafu(display(
        "the platform cannot be reached at {address}: {reason}; check the address and the network"
    ))]
    Unreachable {
        /// Address of the service.
        address: String,
        /// What the connection reported.
        reason: String,
    },
    /// The request was sent and its answer was lost; it may have had effect.
    #[snafu(display(
        "the platform's answer was lost: {reason}; look the record up by its id before sending it again"
    ))]
    Lost {
        /// What the connection reported.
        reason: String,
    },
    /// The service answered with an error.
    #[snafu(display("the platform answered with status {status}: {body}; try again later"))]
    Status {
        /// HTTP status code.
        status: u16,
        /// Start of the body.
        body: String,
    },
    /// The answer could not be read.
    #[snafu(display(
        "the platform's answer is malformed: {reason}; check that the address is the log service's"
    ))]
    Malformed {
        /// What the decoder reported.
        reason: String,
    },
}

/// What to read of a stream.
#[derive(Clone, Debug)]
pub struct Query {
    /// First offset wanted.
    pub from: log::Offset,
    /// Most records.
    pub limit: u32,
    /// Time to wait when there is nothing to read yet.
    pub wait: Duration,
}

/// The append-only log.
pub trait Log: Send + Sync + 'static {
    /// Appends a batch to a stream.
    fn append(
        &self,
        stream: &id::Stream,
        batch: &log::Batch,
    ) -> impl Future<Output = Result<log::Offsets, Error>> + Send;

    /// Reads a part of a stream.
    fn read(
        &self,
        stream: &id::Stream,
        query: &Query,
    ) -> impl Future<Output = Result<log::Page, Error>> + Send;
}

/// The list of hosts.
pub trait Directory: Send + Sync + 'static {
    /// Reads the whole list.
    fn list(&self) -> impl Future<Output = Result<directory::List, Error>> + Send;
}
