//! Tracks whether a caller's connection is in use, and how long it has been idle.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::time::Instant;

use crate::body;

/// Request activity of one connection.
#[derive(Clone, Debug)]
pub(super) struct Activity(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// Requests in flight.
    open: usize,
    /// When the connection was opened, or the last response ended.
    idle_since: Instant,
}

/// Marks a request as in flight until dropped.
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
    pub(super) fn begin_request(&self) -> ActiveRequest {
        self.state().open += 1;
        ActiveRequest(self.clone())
    }

    /// How long the connection has been idle; `None` while it is in use.
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

/// Body of a response; its connection is in use until the body is dropped.
#[derive(Debug)]
pub(super) struct Body {
    body: body::Body,
    _request: ActiveRequest,
}

impl Body {
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
