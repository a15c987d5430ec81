//! Refusals: why a request got no answer, and whether it ran.

use serde::{Deserialize, Serialize};

/// Whether a refused request was run by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It was not run.
    No,
    /// Nobody knows.
    Unknown,
    /// It was run, at least in part.
    Yes,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// Headers or body are over the limit.
    TooLarge,
    /// The request took too long to arrive.
    SlowRequest,
    /// No key, or a key of no client account.
    Unauthorized,
    /// No such model, service or route.
    NotFound,
    /// The client account is over its rate.
    RateLimited,
    /// The client account has too many open requests.
    TooManyOpen,
    /// The answer would come too late.
    Overloaded,
    /// The deadline has passed.
    DeadlinePassed,
    /// No endpoint can take the request.
    NoEndpoint,
    /// This host has no configuration yet.
    NotReady,
    /// This host is stopping.
    Stopping,
    /// The endpoint failed and a retry was not allowed.
    EndpointFailed,
    /// Requests like this one end the endpoints that run them.
    Quarantined,
    /// The platform's log cannot be reached to claim the key.
    ClaimUnavailable,
    /// The key was used with another body.
    KeyReused,
    /// The first request with this key is still running.
    KeyInProgress,
    /// The outcome of the first request with this key is not known.
    OutcomeUnknown,
}

impl Kind {
    /// All kinds.
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

    /// HTTP status code.
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

/// Body of a refusal: the callers' protocol's error object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The error.
    pub error: Error,
}

/// A refusal as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// What went wrong and what to do.
    pub message: String,
    /// Kind, under the name that the callers' protocol uses.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// HTTP status code.
    pub code: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
