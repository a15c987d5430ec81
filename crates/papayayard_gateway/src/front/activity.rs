//! Tracks what a caller's connection is used for, and for how long it has been idle.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{self, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::time::Instant;

use crate::body;

/// Activity of one connection.
#[derive(Clone, Debug)]
pub(super) struct Activity(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// Requests in flight.
    open: usize,
    /// Whether bytes have arrived since the last request.
    is_arriving: bool,
    /// Whether bytes of a response wait for the caller to take them.
    is_sending: bool,
    /// When the connection was opened, the last response ended, its bytes were last taken, or the
    /// first bytes of a request arrived.
    since: Instant,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// A request is served.
    Serving,
    /// The caller has taken nothing of a response for that long.
    Sending(Duration),
    /// The head of a request has been arriving for that long.
    Arriving(Duration),
    /// The connection has been idle for that long.
    Idle(Duration),
}

/// Marks a request as in flight until dropped.
#[derive(Debug)]
pub(super) struct ActiveRequest(Activity);

impl Default for Activity {
    fn default() -> Self {
        let state = State {
            open: 0,
            is_arriving: false,
            is_sending: false,
            since: Instant::now(),
        };
        Self(Arc::new(Mutex::new(state)))
    }
}

impl Activity {
    /// Records that bytes have arrived. Those that arrive during a request are its body.
    pub(super) fn received(&self) {
        let mut state = self.state();
        if state.open == 0 && !state.is_arriving {
            state.is_arriving = true;
            state.since = Instant::now();
        }
    }

    /// Records that bytes are to be sent, and whether some were taken.
    pub(super) fn sent(&self, is_taken: bool) {
        let mut state = self.state();
        if is_taken || !state.is_sending {
            state.since = Instant::now();
        }
        state.is_sending = true;
    }

    /// Records that all bytes were sent.
    pub(super) fn flushed(&self) {
        let mut state = self.state();
        if state.is_sending {
            state.is_sending = false;
            state.since = Instant::now();
        }
    }

    pub(super) fn begin_request(&self) -> ActiveRequest {
        let mut state = self.state();
        state.open += 1;
        state.is_arriving = false;
        ActiveRequest(self.clone())
    }

    pub(super) fn phase(&self) -> Phase {
        let state = self.state();
        let time = state.since.elapsed();
        match *state {
            State { open: 1.., .. } => Phase::Serving,
            State {
                is_sending: true, ..
            } => Phase::Sending(time),
            State {
                is_arriving: true, ..
            } => Phase::Arriving(time),
            State { .. } => Phase::Idle(time),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.open -= 1;
        state.since = Instant::now();
    }
}

/// Body of a response; its connection is in use until the body is dropped.
///
/// The HTTP library drops what it has not written, even the head, once a body breaks off. The
/// break is therefore told at the second question, before which it writes.
#[derive(Debug)]
pub(super) struct Body {
    inner: body::Body,
    is_broken: bool,
    _request: ActiveRequest,
}

impl Body {
    pub(super) const fn new(body: body::Body, request: ActiveRequest) -> Self {
        Self {
            inner: body,
            is_broken: false,
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
        if self.is_broken {
            return Poll::Ready(Some(Err(body::Truncated)));
        }
        let frame = task::ready!(Pin::new(&mut self.inner).poll_frame(context));
        if let Some(Err(body::Truncated)) = frame {
            self.is_broken = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

#[cfg(test)]
#[path = "activity_test.rs"]
mod test;
