//! Client side of the platform's log: read position and pending appends.
//!
//! The log may be slow or unavailable for a long time, may remove records
//! before they were read, and may store an append whose answer is lost.
//! [`Reader`] tracks the position and reports gaps. [`Writer`] batches records,
//! looks a batch up in the stream before it retries the batch, and reports each
//! record once. [`Backoff`] spaces attempts. None of them treats an outage as
//! an error: they wait and retry.
//!
//! An append without an answer may still be stored after the look-up, so a
//! stream can hold a record twice. State machines over a stream must therefore
//! ignore a record that they have already counted, as those of configuration
//! and claims do.

mod backoff;
mod reader;
mod writer;

pub use backoff::Backoff;
pub use reader::{Gap, Reader};
pub use writer::{Action, Failure, Full, Limits, Stored, Writer};
