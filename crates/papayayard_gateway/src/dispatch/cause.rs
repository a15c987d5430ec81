//! Why a request is not placed.

use papayayard_routing::placement::RefusalReason;
use papayayard_wire::refusal::Kind;

/// Why a request is not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// A scheduler has decided so.
    Decision(RefusalReason),
    /// The host that places the request has too many requests to decide in time.
    BusyDispatcher,
}

impl Cause {
    /// The client account is over its quota.
    pub(super) const OVER_QUOTA: Self = Self::Decision(RefusalReason::OverQuota);

    pub(crate) const fn is_over_quota(self) -> bool {
        matches!(self, Self::Decision(RefusalReason::OverQuota))
    }

    /// Name in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Decision(reason) => reason.as_str(),
            Self::BusyDispatcher => "busy_dispatcher",
        }
    }

    /// Kind of the refusal, and its message for the caller.
    pub(crate) const fn refusal(self) -> (Kind, &'static str) {
        match self {
            Self::Decision(RefusalReason::NoEndpoint) => {
                (Kind::NoEndpoint, "the service has no endpoint")
            }
            Self::Decision(RefusalReason::Overloaded) => {
                (Kind::Overloaded, "all endpoints are full")
            }
            Self::Decision(RefusalReason::AllTried) => (Kind::Overloaded, "all endpoints refused"),
            Self::Decision(RefusalReason::OverQuota) => {
                (Kind::RateLimited, "the client account is over its quota")
            }
            Self::BusyDispatcher => (
                Kind::Overloaded,
                "the host that places requests has too many of them; send the request again",
            ),
        }
    }
}
