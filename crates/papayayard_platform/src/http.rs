//! Adapter for a platform with an HTTP and JSON interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use papayayard_wire::{directory, header, id, log, status};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::bound::Bound;
use crate::service::{self, Error};

/// Maximum length of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Maximum number of connections kept between calls: those of a read and of an append.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Maximum number of characters retained from the body of an error response.
const MAX_REASON_CHARS: usize = 200;

/// Client of the platform's log and host list.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    bound: Bound,
    host: Option<HeaderValue>,
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// `timeout` limits each call, its wait for records included.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self {
            address,
            bound: Bound::new(timeout),
            host: None,
            inner: legacy::Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
                .build(connector),
        }
    }

    /// Sends the name of the calling entry host, for the platform's own logs.
    #[must_use]
    pub fn with_host(mut self, host: &id::Host) -> Self {
        self.host = HeaderValue::from_str(host.as_str()).ok();
        self
    }

    async fn call<Answer>(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Error>
    where
        Answer: DeserializeOwned,
    {
        let bytes = self.exchange(method, path, body).await?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Malformed {
            reason: error.to_string(),
        })
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, Error> {
        let uri = format!("http://{}{path}", self.address)
            .parse::<Uri>()
            .map_err(|error| Error::Malformed {
                reason: error.to_string(),
            })?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        if let Some(host) = &self.host {
            request.headers_mut().insert(header::HOST_ID, host.clone());
        }
        let response = self.inner.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Unreachable {
                    address: self.address.to_string(),
                    reason: error.to_string(),
                }
            } else {
                lost(&error.to_string())
            }
        })?;
        let status = response.status();
        if !status::is_final(status.as_u16()) {
            return Err(lost(&format!(
                "no answer has the status {}",
                status.as_u16()
            )));
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| lost(&error.to_string()))?
            .to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        Err(Error::Status {
            status: status.as_u16(),
            body: String::from_utf8_lossy(&body)
                .chars()
                .take(MAX_REASON_CHARS)
                .collect(),
        })
    }
}

impl service::Log for Client {
    async fn append(&self, stream: &id::Stream, batch: &log::Batch) -> Result<log::Offsets, Error> {
        let path = format!("/streams/{stream}/records");
        let body = encode(batch)?;
        let append = |_| self.call(Method::POST, &path, body);
        self.bound.call(Duration::ZERO, append).await
    }

    async fn read(&self, stream: &id::Stream, query: &service::Query) -> Result<log::Page, Error> {
        let read = async |wait: Duration| {
            let path = format!(
                "/streams/{stream}/records?from={}&limit={}&wait_ms={}",
                query.from.0,
                query.limit,
                wait.as_millis()
            );
            self.call(Method::GET, &path, Bytes::new()).await
        };
        self.bound.call(query.wait, read).await
    }
}

impl service::Directory for Client {
    async fn list(&self) -> Result<service::Listing, Error> {
        let list = |_| self.call(Method::GET, "/hosts", Bytes::new());
        let entries: Entries = self.bound.call(Duration::ZERO, list).await?;
        Ok(entries.decode())
    }
}

/// Answer with the list; entries are decoded one by one, so that an odd one does not hide
/// the others.
#[derive(Deserialize)]
struct Entries {
    #[serde(default)]
    hosts: Vec<Box<RawValue>>,
    #[serde(default)]
    endpoints: Vec<Box<RawValue>>,
}

impl Entries {
    fn decode(&self) -> service::Listing {
        let list = directory::List {
            hosts: decode_all(&self.hosts),
            endpoints: decode_all(&self.endpoints),
        };
        let entries = self.hosts.len() + self.endpoints.len();
        service::Listing {
            unreadable: entries - list.hosts.len() - list.endpoints.len(),
            list,
        }
    }
}

fn decode_all<Entry>(entries: &[Box<RawValue>]) -> Vec<Entry>
where
    Entry: DeserializeOwned,
{
    let decoded = entries
        .iter()
        .map(|entry| serde_json::from_str(entry.get()));
    decoded.filter_map(Result::ok).collect()
}

fn encode<Value>(value: &Value) -> Result<Bytes, Error>
where
    Value: Serialize,
{
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|error| Error::Malformed {
            reason: error.to_string(),
        })
}

fn lost(reason: &str) -> Error {
    Error::Lost {
        reason: reason.to_owned(),
    }
}
