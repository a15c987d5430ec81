//! Refusals: error responses that state why a request failed and whether it ran.

use serde::{Deserialize, Serialize};

/// Whether a refused request was run by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request did not run.
    No,
    /// It is not known whether the request ran.
    Unknown,
    /// The request ran, at least in part.
    Yes,
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The headers or the body exceed the size limit.
    TooLarge,
    /// The request was not received within the time limit.
    SlowRequest,
    /// The bearer key is missing or belongs to no client account.
    Unauthorized,
    /// The model, service or route does not exist.
    NotFound,
    /// The client account exceeds its request rate.
    RateLimited,
    /// The client account has too many open requests.
    TooManyOpen,
    /// The answer would arrive too late.
    Overloaded,
    DeadlinePassed,
    /// No endpoint can accept the request.
    NoEndpoint,
    /// This host has no configuration yet.
    NotReady,
    Stopping,
    /// The endpoint failed and a retry was not allowed.
    EndpointFailed,
    /// Requests with the same fingerprint crash the endpoints that run them.
    Quarantined,
    /// The platform's log cannot be reached to claim the key.
    ClaimUnavailable,
    /// The key was used with a different request body.
    KeyReused,
    /// The first request with this key is still running.
    KeyInProgress,
    /// The outcome of the first request with this key is not known.
    OutcomeUnknown,
}

impl Kind {
    pub const ALL: [Self; 18] = [
        Self::BadRequest,
        Self::TooLarge,
        Self::SlowRequest,
        Self::Unauthorized,
        Self::NotFound,
        Self::RateLimited,
        Self::TooManyOpen,
        Self::Overloaded,
        Self::DeadlinePassed,
        Self::NoEndpoint,
        Self::NotReady,
        Self::Stopping,
        Self::EndpointFailed,
        Self::Quarantined,
        Self::ClaimUnavailable,
        Self::KeyReused,
        Self::KeyInProgress,
        Self::OutcomeUnknown,
    ];

    /// Name in messages and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::SlowRequest => "slow_request",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::RateLimited => "rate_limited",
            Self::TooManyOpen => "too_many_open",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoEndpoint => "no_endpoint",
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::EndpointFailed => "endpoint_failed",
            Self::Quarantined => "quarantined",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::KeyReused => "key_reused",
            Self::KeyInProgress => "key_in_progress",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }

    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::SlowRequest => 408,
            Self::KeyInProgress => 409,
            Self::TooLarge => 413,
            Self::KeyReused | Self::Quarantined => 422,
            Self::RateLimited | Self::TooManyOpen => 429,
            Self::EndpointFailed | Self::OutcomeUnknown => 502,
            Self::Overloaded
            | Self::NoEndpoint
            | Self::NotReady
            | Self::Stopping
            | Self::ClaimUnavailable => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

/// Whether callers take a status as a promise that the request has not run and never will.
pub const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Body of a refusal: the error object of the callers' protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    pub error: Error,
}

/// Error object of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Problem and suggested action.
    pub message: String,
    /// Kind; the callers' protocol names the field `type`.
    #[serde(rename = "type")]
    pub kind: Kind,
    pub code: u16,
    pub ran: Ran,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
