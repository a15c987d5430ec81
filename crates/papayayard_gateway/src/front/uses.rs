//! Whether a caller's connection is in use, and since when it is not.

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
pub(super) struct Uses(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// Requests at work.
    open: usize,
    /// When the connection was opened, or the last answer ended.
    since: Instant,
}

/// A request at work, until this is dropped.
#[derive(Debug)]
pub(super) struct Use(Uses);

impl Default for Uses {
    fn default() -> Self {
        let state = State {
            open: 0,
            since: Instant::now(),
        };
        Self(Arc::new(Mutex::new(state)))
    }
}

impl Uses {
    /// Notes a request.
    pub(super) fn begin(&self) -> Use {
        self.state().open += 1;
        Use(self.clone())
    }

    /// Time for which the connection was not in use; none while it is.
    pub(super) fn idle_for(&self) -> Option<Duration> {
        let state = self.state();
        (state.open == 0).then(|| state.since.elapsed())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.open -= 1;
        state.since = Instant::now();
    }
}

/// The body of an answer, during which its connection is in use.
#[derive(Debug)]
pub(super) struct Body {
    body: body::Body,
    _used: Use,
}

impl Body {
    /// The body of the answer to a request.
    pub(super) const fn new(body: body::Body, used: Use) -> Self {
        Self { body, _used: used }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = body::Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Broken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
