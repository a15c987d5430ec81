//! A client's state at the platform's log: where it reads and what it appends.
//!
//! The log may be slow or down for long, may forget records before they were
//! read, and may lose its answer to an append that took effect. [`Reader`]
//! keeps the position and reports what was missed. [`Writer`] batches records,
//! looks a batch up in the stream before it sends it again, and tells the
//! caller about each record once. [`Backoff`] spaces attempts. None of them
//! treats an outage as an error: they wait and go on.
//!
//! A lost append may still take effect after the look-up, so a stream can hold
//! a record twice. Folds over a stream must therefore ignore a record whose
//! effect they have already counted, as the configuration and claim folds do.

mod backoff;
mod reader;
mod writer;

pub use backoff::Backoff;
pub use reader::{Gap, Reader};
pub use writer::{Action, Failure, Full, Limits, Stored, Writer};
