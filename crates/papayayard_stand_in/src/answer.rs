//! Answers of the stand-ins and the reading of requests.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::engine::stream;
use crate::server::Dropped;

/// Most bytes of one request.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// Known bytes.
    Whole(Option<Bytes>),
    /// A streamed completion.
    Completion(stream::Stream),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Dropped;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Dropped>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Completion(stream) => stream
                .poll_bytes(context)
                .map(|bytes| bytes.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                hyper::body::SizeHint::with_exact(length as u64)
            }
            Self::Completion(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// An answer in JSON.
pub fn json<Value>(status: StatusCode, value: &Value) -> Response<Body>
where
    Value: Serialize,
{
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::Whole(Some(Bytes::from(bytes))));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// An answer in JSON with status 200.
pub fn ok<Value>(value: &Value) -> Response<Body>
where
    Value: Serialize,
{
    json(StatusCode::OK, value)
}

/// A request that is not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status.
    pub status: StatusCode,
    /// What is wrong and what to do.
    pub message: String,
}

impl Rejection {
    /// Makes a rejection.
    pub fn new(status: StatusCode, message: &str) -> Self {
        Self {
            status,
            message: message.to_owned(),
        }
    }

    /// The answer that tells it.
    pub fn answer(&self) -> Response<Body> {
        let code = self.status.as_u16();
        let body = serde_json::json!({ "error": { "message": self.message, "code": code } });
        json(self.status, &body)
    }
}

/// The answer of a route that does not exist.
pub fn no_route() -> Response<Body> {
    Rejection::new(StatusCode::NOT_FOUND, "there is no such route").answer()
}

/// The answer after an order was carried out, or the one that rejects it.
pub fn done(result: Result<(), Rejection>) -> Response<Body> {
    match result {
        Ok(()) => ok(&()),
        Err(rejection) => rejection.answer(),
    }
}

/// Reads a whole body.
pub async fn read(request: Request<Incoming>) -> Result<Bytes, Dropped> {
    Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_| Dropped)
}

/// Reads a body of JSON.
pub fn parse<Value>(bytes: &Bytes) -> Result<Value, Rejection>
where
    Value: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|fault| Rejection {
        status: StatusCode::BAD_REQUEST,
        message: format!("the body is not the expected JSON: {fault}; correct it"),
    })
}

/// Value of a query parameter.
pub fn query<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request
        .uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Value of a header, where it is text.
pub fn header_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
