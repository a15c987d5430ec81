//! Whether a caller's connection is in use, and idle_since when it is not.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::time::Instant;

use crate::body;

/// Requests of a connection.
#[derive(Clone, Debug)]
pub(super) struct Activity(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// Requests at work.
    open: usize,
    /// When the connection was opened, or the last answer ended.
    idle_since: Instant,
}

/// A request at work, until this is dropped.
#[derive(Debug)]
pub(super) struct ActiveRequest(Activity);

impl Default for Activity {
    fn default() -> Self {
        let state = State {
            open: 0,
            idle_since: Instant::now(),
        };
        Self(Arc::new(Mutex::new(state)))
    }
}

impl Activity {
    /// Notes a request.
    pub(super) fn begin_request(&self) -> ActiveRequest {
        self.state().open += 1;
        ActiveRequest(self.clone())
    }

    /// Time for which the connection was not in use; none while it is.
    pub(super) fn idle_for(&self) -> Option<Duration> {
        let state = self.state();
        (state.open == 0).then(|| state.idle_since.elapsed())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.open -= 1;
        state.idle_since = Instant::now();
    }
}

/// The body of an answer, during which its connection is in use.
#[derive(Debug)]
pub(super) struct Body {
    body: body::Body,
    _request: ActiveRequest,
}

impl Body {
    /// The body of the answer to a request.
    pub(super) const fn new(body: body::Body, request: ActiveRequest) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = body::Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Truncated>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
