//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::forwarded::Forwarded;

/// The response was cut; the caller detects that it is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the response is incomplete; retry the request if it is repeatable"))]
pub(crate) struct Truncated;

/// The chunks of a body, which ends when their channel closes.
#[derive(Debug)]
pub(crate) struct Chunks {
    /// Chunk that was taken from the channel before.
    pub(crate) first: Option<Bytes>,
    pub(crate) rest: mpsc::Receiver<Result<Bytes, Truncated>>,
}

impl Chunks {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(first))),
            None => self.rest.poll_recv(context),
        }
    }
}

#[derive(Debug)]
pub(crate) enum Body {
    /// The complete body.
    Whole(Bytes),
    /// Chunks in the order of arrival.
    Chunks(Chunks),
    /// The body of another host's answer, as it arrives.
    Forwarded(Box<Forwarded>),
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Chunks(chunks) => chunks
                .poll(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            Self::Forwarded(forwarded) => Pin::new(forwarded.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Chunks(_) => false,
            Self::Forwarded(forwarded) => forwarded.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Chunks(_) => SizeHint::default(),
            Self::Forwarded(forwarded) => forwarded.size_hint(),
        }
    }
}
