//! The one way out: requests that passed the filters go to endpoints here.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

pub(crate) mod attempt;
pub(crate) mod call;
pub(crate) mod client;
pub(crate) mod completion;
mod connector;
pub(crate) mod hop;
mod keyed;
pub(crate) mod pump;
pub(crate) mod sse;
pub(crate) mod transcript;

#[cfg(test)]
mod hop_test;
#[cfg(test)]
mod sse_test;
#[cfg(test)]
mod transcript_test;

/// What the caller gets.
pub(crate) struct Answer {
    /// HTTP status code.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Body,
}

/// Body of an answer.
pub(crate) enum Body {
    /// All of it.
    Whole(Bytes),
    /// Server-sent events as the caller's connection pulls them.
    Events(Box<pump::Pump>),
}
