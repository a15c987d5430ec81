//! Body of a request that is held back until the other side has asked for it.
//!
//! A request does not run without its body. So its head can ask a host whether it takes the
//! request, by `Expect: 100-continue`, before the request is handed over.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::Full;
use hyper::ext;
use snafu::Snafu;
use tokio::sync::{Notify, oneshot};

/// The request was given up before its body was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the body was held back until the request was given up"))]
pub(crate) struct Withheld;

/// Body of a request, held back or not.
#[derive(Debug)]
pub(crate) struct Body {
    whole: Full<Bytes>,
    /// Releases the body; `None` once it was released.
    release: Option<oneshot::Receiver<()>>,
}

/// Releases the body of one request.
#[derive(Debug)]
pub(crate) struct Gate {
    /// Notified once the other side has asked for the body.
    asked: Arc<Notify>,
    /// Releases the body; `None` once it was released.
    release: Option<oneshot::Sender<()>>,
}

/// Holds back the body of a request.
#[derive(Debug)]
pub(crate) struct Hold {
    asked: Arc<Notify>,
    release: oneshot::Receiver<()>,
}

/// Creates a hold and the gate that ends it.
pub(crate) fn hold() -> (Gate, Hold) {
    let asked = Arc::new(Notify::new());
    let (sender, receiver) = oneshot::channel();
    let gate = Gate {
        asked: Arc::clone(&asked),
        release: Some(sender),
    };
    let hold = Hold {
        asked,
        release: receiver,
    };
    (gate, hold)
}

impl Gate {
    /// Creates the gate of a request whose body is not held back.
    pub(crate) fn open() -> Self {
        Self {
            asked: Arc::default(),
            release: None,
        }
    }

    pub(crate) const fn is_open(&self) -> bool {
        self.release.is_none()
    }

    /// Waits until the other side has asked for the body.
    pub(crate) async fn until_asked(&self) {
        self.asked.notified().await;
    }

    /// Releases the body.
    pub(crate) fn release(&mut self) {
        if let Some(release) = self.release.take()
            && release.send(()).is_err()
        {
            log::debug!("a body was released after its request had ended");
        }
    }
}

impl Hold {
    /// Lets a request ask the other side for leave to send its body.
    pub(crate) fn apply(self, request: Request<Full<Bytes>>) -> Request<Body> {
        let mut request = request.map(|whole| Body {
            whole,
            release: Some(self.release),
        });
        let is_empty = request.body().whole.is_end_stream();
        let headers = request.headers_mut();
        headers.insert(header::EXPECT, HeaderValue::from_static("100-continue"));
        if is_empty {
            // The end of the request has to be something that can be held back.
            headers.remove(header::CONTENT_LENGTH);
            headers.insert(
                header::TRANSFER_ENCODING,
                HeaderValue::from_static("chunked"),
            );
        }
        ext::on_informational(&mut request, move |response| {
            if response.status() == StatusCode::CONTINUE {
                self.asked.notify_one();
            }
        });
        request
    }
}

impl From<Full<Bytes>> for Body {
    fn from(whole: Full<Bytes>) -> Self {
        Self {
            whole,
            release: None,
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Withheld;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Withheld>>> {
        if let Some(release) = &mut self.release {
            let released = ready!(Pin::new(release).poll(context));
            self.release = None;
            if released.is_err() {
                return Poll::Ready(Some(Err(Withheld)));
            }
        }
        let frame = ready!(Pin::new(&mut self.whole).poll_frame(context));
        Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
    }

    fn is_end_stream(&self) -> bool {
        self.release.is_none() && self.whole.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.whole.is_end_stream() && self.release.is_some() {
            SizeHint::default()
        } else {
            self.whole.size_hint()
        }
    }
}
