//! A small JSON client for control routes, ledgers and registration.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use papayayard_wire::directory;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No answer came.
    #[snafu(display("{address} does not answer: {reason}; check that the stand-in runs"))]
    NoAnswer {
        /// Address that was called.
        address: SocketAddr,
        /// What the connection reported.
        reason: String,
    },
    /// The answer says no.
    #[snafu(display("{address} answered with status {status}: {body}; correct the call"))]
    Status {
        /// Address that was called.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// The body.
        body: String,
    },
}

/// Client of one stand-in.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Makes a client for the stand-in at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            inner: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a JSON value and reads one.
    pub async fn post<Value, Answer>(&self, path: &str, value: &Value) -> Result<Answer, Error>
    where
        Value: Serialize,
        Answer: DeserializeOwned,
    {
        let body = serde_json::to_vec(value).map_err(|error| self.lost(&error))?;
        self.call(Method::POST, path, Bytes::from(body)).await
    }

    /// Reads a JSON value.
    pub async fn get<Answer>(&self, path: &str) -> Result<Answer, Error>
    where
        Answer: DeserializeOwned,
    {
        self.call(Method::GET, path, Bytes::new()).await
    }

    async fn call<Answer>(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Error>
    where
        Answer: DeserializeOwned,
    {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| self.lost(&error))?;
        let response = self
            .inner
            .request(request)
            .await
            .map_err(|error| self.lost(&error))?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| self.lost(&error))?
            .to_bytes();
        if !status.is_success() {
            return Err(Error::Status {
                address: self.address,
                status: status.as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            });
        }
        serde_json::from_slice(&body).map_err(|error| self.lost(&error))
    }

    fn lost<Reason>(&self, reason: &Reason) -> Error
    where
        Reason: ToString,
    {
        Error::NoAnswer {
            address: self.address,
            reason: reason.to_string(),
        }
    }
}

/// Pause before a stand-in tries to register again.
const REGISTER_PAUSE: Duration = Duration::from_millis(100);

/// Puts an endpoint into the platform's list; goes on in the background where
/// the platform does not answer yet.
pub(crate) async fn register(
    platform: SocketAddr,
    entry: directory::Endpoint,
    stop: &CancellationToken,
) {
    let client = Client::new(platform);
    let path = "/control/endpoints";
    let Err(error) = client.post::<_, ()>(path, &entry).await else {
        return;
    };
    log::warn!(error:% = error; "not registered yet; trying again");
    let retry = async move {
        while client.post::<_, ()>(path, &entry).await.is_err() {
            time::sleep(REGISTER_PAUSE).await;
        }
    };
    tokio::spawn(stop.clone().run_until_cancelled_owned(retry));
}
