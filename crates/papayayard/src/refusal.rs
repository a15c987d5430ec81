//! Refusals on their way to the caller.

use std::time::Duration;

use papayayard_wire::refusal::{Body, Error, Kind, Ran};

/// When to come back after a host's stop.
const STOPPING_RETRY: Duration = Duration::from_secs(1);

/// Why a request got no answer.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Why.
    pub(crate) kind: Kind,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// When to come back, where that makes sense.
    pub(crate) retry_after: Option<Duration>,
    /// What went wrong and what to do.
    pub(crate) message: String,
}

impl Refusal {
    /// A refusal of a request that was not run.
    pub(crate) fn not_run<Text>(kind: Kind, message: Text) -> Self
    where
        Text: Into<String>,
    {
        Self {
            kind,
            ran: Ran::No,
            retry_after: None,
            message: message.into(),
        }
    }

    /// A refusal because this host is stopping.
    pub(crate) fn stopping() -> Self {
        Self::not_run(
            Kind::Stopping,
            "this host is stopping; send the request to another host",
        )
        .after(STOPPING_RETRY)
    }

    /// Sets when to come back.
    pub(crate) fn after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets whether the request ran.
    pub(crate) fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// The body that the caller gets.
    pub(crate) fn body(&self) -> Body {
        Body {
            error: Error {
                message: self.message.clone(),
                kind: self.kind,
                code: self.kind.status(),
                ran: self.ran,
                retry_after_ms: self.retry_after.map(millis),
            },
        }
    }

    /// The body as JSON text.
    pub(crate) fn json(&self) -> String {
        serde_json::to_string(&self.body()).unwrap_or_default()
    }

    /// Value of the `Retry-After` header, in whole seconds, rounded up.
    pub(crate) fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|delay| millis(delay).div_ceil(1000))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
