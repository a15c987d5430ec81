//! A caller for tests: one request on a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// An answer that was read to its end.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Sends a request and reads the answer to its end; `None` where it broke.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Reply> {
    let response = begin(address, method, path, headers, body).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Sends a request and waits for the head of its answer; `None` where none
/// came, or where the request is malformed.
pub async fn begin(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response<Incoming>> {
    let client: legacy::Client<HttpConnector, Full<Bytes>> =
        legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    client.request(request.body(body).ok()?).await.ok()
}
