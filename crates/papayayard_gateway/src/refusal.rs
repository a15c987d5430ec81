//! Error responses of the router to the caller.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use papayayard_wire::refusal::{Body as Message, Error, Kind, Ran};

use crate::body::Body;

/// Error that the caller receives instead of an endpoint's response.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) kind: Kind,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// Delay after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
    /// Problem, and what the caller can do about it.
    pub(crate) message: &'static str,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub(crate) const fn not_run(kind: Kind, message: &'static str) -> Self {
        Self {
            kind,
            ran: Ran::No,
            retry_after: None,
            message,
        }
    }

    /// Creates a refusal for the failure of a request that may have run.
    pub(crate) const fn unknown(kind: Kind, message: &'static str) -> Self {
        Self {
            kind,
            ran: Ran::Unknown,
            retry_after: None,
            message,
        }
    }

    /// Sets the retry delay.
    pub(crate) const fn after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// HTTP status. Quarantine uses 503: callers of routes take it to mean that the request
    /// did not run and may be retried after the delay, and no other status means both.
    const fn status(&self) -> u16 {
        match self.kind {
            Kind::Quarantined => 503,
            kind => kind.status(),
        }
    }

    /// Builds the HTTP response.
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
            log::error!(error:%; "cannot serialize the body of a refusal");
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

/// Whole milliseconds, for response bodies and logs.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Remaining time for logs, in ms; `-` without a limit.
pub(crate) fn left(remaining: Option<Duration>) -> String {
    remaining.map_or_else(|| "-".to_owned(), |left| left.as_millis().to_string())
}
