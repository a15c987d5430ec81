//! Traits of the platform's services.

use std::time::Duration;

use papayayard_wire::{directory, id, log};
use snafu::Snafu;

/// Error from a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The connection could not be established, so nothing was sent.
    #[snafu(display(
        "the platform cannot be reached at {address}: {reason}; check the address and the network"
    ))]
    Unreachable {
        /// Address of the service.
        address: String,
        /// Error of the connection.
        reason: String,
    },
    /// The request was sent but its answer was lost; the request may have taken
    /// effect.
    #[snafu(display(
        "the platform's answer was lost: {reason}; look up the record by its id before sending it again"
    ))]
    Lost {
        /// Error of the connection.
        reason: String,
    },
    /// The service returned an error status.
    #[snafu(display("the platform answered with status {status}: {body}; try again later"))]
    Status {
        status: u16,
        /// Start of the body.
        body: String,
    },
    /// The answer could not be decoded.
    #[snafu(display(
        "the platform's answer is malformed: {reason}; check that the address belongs to the log service"
    ))]
    Malformed {
        /// Error of the encoder or decoder.
        reason: String,
    },
}

/// Range of a stream to read.
#[derive(Clone, Debug)]
pub struct Query {
    /// First offset to read.
    pub from: log::Offset,
    /// Maximum number of records.
    pub limit: u32,
    /// Maximum wait if there are no records to read yet.
    pub wait: Duration,
}

/// The append-only log.
pub trait Log: Send + Sync + 'static {
    fn append(
        &self,
        stream: &id::Stream,
        batch: &log::Batch,
    ) -> impl Future<Output = Result<log::Offsets, Error>> + Send;

    /// Reads records from a stream.
    fn read(
        &self,
        stream: &id::Stream,
        query: &Query,
    ) -> impl Future<Output = Result<log::Page, Error>> + Send;
}

/// What was read of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Entries that could be decoded.
    pub list: directory::List,
    /// Number of further entries, which name no host or endpoint to use.
    pub unreadable: usize,
}

/// The platform's list of hosts and endpoints.
pub trait Directory: Send + Sync + 'static {
    /// Reads the whole list.
    fn list(&self) -> impl Future<Output = Result<Listing, Error>> + Send;
}
