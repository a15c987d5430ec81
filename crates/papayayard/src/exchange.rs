//! One request at each stage of the filter chain.
//!
//! A filter takes one stage and returns the next, so a stage's fields are
//! known to be there once the filters before it have passed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use papayayard_document::document;
use papayayard_routing::quarantine;
use papayayard_wire::{block, id};
use salvo::http::ReqBody;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::active::Active;
use crate::controllers::admission;

/// A request whose head has been read.
pub(crate) struct Arrival {
    /// Identifier.
    pub(crate) id: id::Request,
    /// Time since the host's start.
    pub(crate) received: Duration,
    /// Head.
    pub(crate) head: Head,
    /// Body, not read yet.
    pub(crate) body: ReqBody,
    /// Keeps the host from ending before the request does.
    pub(crate) _open: TaskTrackerToken,
}

/// Head of a request.
pub(crate) struct Head {
    /// Method.
    pub(crate) method: Method,
    /// Path below the service, with its query.
    pub(crate) path: String,
    /// Service that the path names, for plain services.
    pub(crate) service: Option<id::Service>,
    /// Headers.
    pub(crate) headers: HeaderMap,
}

/// A request of a known client account.
pub(crate) struct Known {
    /// The request.
    pub(crate) arrival: Arrival,
    /// Configuration that the request is held to.
    pub(crate) active: Arc<Active>,
    /// Client account.
    pub(crate) account: Arc<document::Account>,
    /// Time by which the answer must begin, since the host's start.
    pub(crate) deadline: Option<Duration>,
}

/// A request whose body has been read.
pub(crate) struct Whole {
    /// The request; its body is empty.
    pub(crate) known: Known,
    /// The body.
    pub(crate) body: Bytes,
}

/// A completion that a model service is to answer.
pub(crate) struct Completion {
    /// The request.
    pub(crate) whole: Whole,
    /// Service.
    pub(crate) service: id::Service,
    /// Weights version that the document asks for.
    pub(crate) version: id::Version,
    /// Cache salt of the request's scope.
    pub(crate) salt: block::Salt,
    /// Length of a cached piece in bytes.
    pub(crate) block_bytes: usize,
    /// Keys of the prompt's pieces.
    pub(crate) keys: Arc<[block::Key]>,
    /// Length of the prompt in bytes.
    pub(crate) prompt_bytes: usize,
    /// Whether tokens are sent as they are generated.
    pub(crate) stream: bool,
    /// Most tokens to generate.
    pub(crate) max_tokens: Option<u32>,
    /// Time to first token that the document asks for.
    pub(crate) first_token: Duration,
    /// Identifies requests with the same content.
    pub(crate) fingerprint: quarantine::Fingerprint,
}

/// A request for a plain service.
pub(crate) struct Call {
    /// The request.
    pub(crate) whole: Whole,
    /// Service.
    pub(crate) service: id::Service,
    /// Whether repeating the request changes nothing.
    pub(crate) idempotent: bool,
    /// Key of a non-idempotent request.
    pub(crate) key: Option<id::Key>,
    /// Time that the request may take.
    pub(crate) timeout: Duration,
}

/// A request that may run.
pub(crate) struct Admitted<Work> {
    /// The request.
    pub(crate) work: Work,
    /// Leave to run, given back at the end.
    pub(crate) _permit: admission::Permit,
}
