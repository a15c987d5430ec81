//! Body of an answer that another host gives to a request which this host passed on.
//!
//! Its pieces go to the caller as they arrive, and a body that breaks off reaches the caller as
//! broken off. Dropping the body ends the connection, so that the other host stops too once
//! the caller leaves.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use papayayard_wire::id;
use tokio::time::{self, Sleep};

use crate::body::Truncated;
use crate::dial::Connection;
use crate::metrics::Metrics;

/// Body of another host's answer.
pub(crate) struct Forwarded {
    body: Incoming,
    /// Connection that transmits the body.
    connection: Connection,
    /// Ends at the deadline of the request.
    deadline: Pin<Box<Sleep>>,
    request: id::Request,
    metrics: Metrics,
}

impl Forwarded {
    /// Creates the body of an answer that must be complete within `left`.
    pub(crate) fn new(
        body: Incoming,
        connection: Connection,
        left: Duration,
        request: id::Request,
        metrics: Metrics,
    ) -> Self {
        Self {
            body,
            connection,
            deadline: Box::pin(time::sleep(left)),
            request,
            metrics,
        }
    }

    fn truncated(&self, reason: &'static str) -> Truncated {
        self.metrics.forwarded("truncated");
        log::info!(request:% = self.request, reason; "answer of another host ends broken");
        Truncated
    }
}

impl Drop for Forwarded {
    fn drop(&mut self) {
        if http_body::Body::is_end_stream(&self.body) {
            self.connection.settle();
        }
    }
}

impl fmt::Debug for Forwarded {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Forwarded")
            .field("request", &self.request)
            .finish_non_exhaustive()
    }
}

impl http_body::Body for Forwarded {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(self.truncated("broken")))),
            Poll::Ready(None) => {
                self.connection.settle();
                Poll::Ready(None)
            }
            Poll::Ready(frame) => Poll::Ready(frame.map(|frame| frame.map_err(|_| Truncated))),
            Poll::Pending => match self.deadline.as_mut().poll(context) {
                Poll::Ready(()) => Poll::Ready(Some(Err(self.truncated("deadline")))),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
