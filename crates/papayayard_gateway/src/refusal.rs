//! Refusals on their way to the caller.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use papayayard_wire::refusal::{Body as Message, Error, Kind, Ran};

use crate::body::Body;

/// Why a request gets no endpoint's answer.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Why.
    pub(crate) kind: Kind,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
    /// What went wrong and what to do.
    pub(crate) message: &'static str,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub(crate) const fn not_run(kind: Kind, message: &'static str) -> Self {
        Self {
            kind,
            ran: Ran::No,
            retry_after: None,
            message,
        }
    }

    /// A failure of a request that may have run.
    pub(crate) const fn unknown(kind: Kind, message: &'static str) -> Self {
        Self {
            kind,
            ran: Ran::Unknown,
            retry_after: None,
            message,
        }
    }

    /// Sets when to come back.
    pub(crate) const fn after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Status. Callers of routes take 503 for the promise that the request did not run
    /// and for the time to come back, and know no other status that says both.
    const fn status(&self) -> u16 {
        match self.kind {
            Kind::Quarantined => 503,
            kind => kind.status(),
        }
    }

    /// The answer that the caller gets.
    pub(crate) fn response(&self) -> Response<Body> {
        let message = Message {
            error: Error {
                message: self.message.to_owned(),
                kind: self.kind,
                code: self.status(),
                ran: self.ran,
                retry_after_ms: self.retry_after.map(millis),
            },
        };
        let text = serde_json::to_vec(&message).unwrap_or_else(|error| {
            log::error!(error:%; "a refusal's message cannot be written");
            Vec::new()
        });
        let mut response = Response::new(Body::Whole(Bytes::from(text)));
        *response.status_mut() =
            StatusCode::from_u16(self.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Whole milliseconds, for messages and logs.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
