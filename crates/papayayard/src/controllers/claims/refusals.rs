//! What callers are told of keyed requests that are refused.

use std::time::Duration;

use papayayard_coordination::claim::Reason;
use papayayard_wire::refusal::{Kind, Ran};

use crate::refusal::Refusal;

/// When to come back after a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The refusal where the outcome is no longer kept.
pub(super) fn unreadable() -> Refusal {
    Refusal::not_run(
        Kind::OutcomeUnknown,
        "the first request with this key was answered, and its answer is no longer kept",
    )
    .ran(Ran::Yes)
}

/// The refusal for a reason.
pub(super) fn of(reason: Reason) -> Refusal {
    match reason {
        Reason::Unavailable => Refusal::not_run(
            Kind::ClaimUnavailable,
            "the idempotency key cannot be claimed; come back later with the same key",
        )
        .after(RETRY_AFTER),
        Reason::Reused => Refusal::not_run(
            Kind::KeyReused,
            "the idempotency key belongs to another request; use a new key",
        ),
        Reason::InProgress => Refusal::not_run(
            Kind::KeyInProgress,
            "the first request with this key still runs; come back later with the same key",
        )
        .ran(Ran::Unknown)
        .after(RETRY_AFTER),
        Reason::Unknown => Refusal::not_run(
            Kind::OutcomeUnknown,
            "the outcome of the first request with this key is not known; check before using a new key",
        )
        .ran(Ran::Unknown),
    }
}
