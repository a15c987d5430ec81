//! Hosts of a zone ask one another for what they have read.
//!
//! JSON-RPC over HTTP. A call waits for news or a newer reading at most for the time
//! that it names. The answer tells when the reading was asked for, against the
//! arrival of the call, and the caller counts from the moment it called: however
//! long call and answer were on their way, the reading is not older than that.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::watch;
use tokio::time;

use crate::cache_news::{Batch, ChangeLog};
use crate::clock::Clock;
use crate::dispatch::{Desk, DeskAnswer, DeskCall};
use crate::follow::Polling;
use crate::mirror::{Mirror, Part, Received};
use crate::store::{Record, Topic};

/// Method that reads a topic.
const READ: &str = "read";
/// Method that reads changes of caches.
const CACHES: &str = "caches";
/// Method that asks for an endpoint, and tells what came of others.
const DISPATCH: &str = "dispatch";
/// JSON-RPC error code where nothing was read yet.
const NOTHING_READ: i32 = -32_002;
/// Most connections of other hosts; each has one for each topic, and one for each
/// request that waits for an endpoint.
const MAX_CONNECTIONS: u32 = 2048;
/// Most bytes of an answer.
const MAX_ANSWER_BYTES: u32 = 8 << 20;
/// Longest time that a call may wait.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time for an answer beyond the wait.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// What a host asks for.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Call {
    /// Name of the topic.
    topic: String,
    /// Offset up to which the caller has followed.
    from: Option<u64>,
    /// Time to wait for news.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    wait_ms: Duration,
    /// Age of a reading from which on the caller asks another host, so that it
    /// is told at once.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    oldest_ms: Duration,
}

/// What a host answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Answer {
    /// Whether these are the newest records of all keys.
    is_whole: bool,
    /// Records.
    records: Vec<Entry>,
    /// Offset to go on from.
    next: u64,
    /// When the reading was asked for, in ms after the call's arrival; mostly
    /// before it, and then negative.
    asked_ms: i64,
}

#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    offset: u64,
    key: String,
    #[serde_as(as = "Option<Base64>")]
    value: Option<Vec<u8>>,
    /// Time for which it was known when the call arrived; none where it may have
    /// been there for longer than any host knows.
    #[serde(default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    known_ms: Option<Duration>,
}

/// What this host has read, by the names of topics.
pub(crate) type Mirrors = HashMap<&'static str, watch::Receiver<Mirror>>;

/// What other hosts can ask for.
pub(crate) struct Context {
    /// What this host has read of topics.
    pub(crate) mirrors: Mirrors,
    /// What it has read of caches.
    pub(crate) caches: watch::Receiver<ChangeLog>,
    /// Where endpoints are asked for.
    pub(crate) desk: Desk,
    /// Clock.
    pub(crate) clock: Clock,
}

/// Answers other hosts until the handle is dropped.
pub(crate) fn serve(
    listener: std::net::TcpListener,
    context: Context,
) -> io::Result<impl Future<Output = ()> + use<>> {
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(MAX_CONNECTIONS)
        .max_response_body_size(MAX_ANSWER_BYTES)
        .build();
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(listener)?;
    let mut module = RpcModule::new(context);
    module
        .register_async_method(READ, |params, context, _| async move {
            let call = params.one::<Call>()?;
            answer(&context, &call).await
        })
        .expect("a new module has no method of this name");
    module
        .register_async_method(CACHES, |params, context, _| async move {
            let call = params.one::<CachesCall>()?;
            Ok::<_, ErrorObjectOwned>(changes(&context, &call).await)
        })
        .expect("a new module has no method of this name");
    module
        .register_async_method(DISPATCH, |params, context, _| async move {
            let call = params.one::<DeskCall>()?;
            Ok::<_, ErrorObjectOwned>(context.desk.answer(call).await)
        })
        .expect("a new module has no method of this name");
    let handle: ServerHandle = server.start(module);
    Ok(handle.stopped())
}

async fn answer(context: &Context, call: &Call) -> Result<Answer, ErrorObjectOwned> {
    let mirror = context.mirrors.get(call.topic.as_str());
    let mut mirror = mirror.cloned().ok_or_else(nothing_read)?;
    let arrived = context.clock.now();
    let newest = mirror.borrow().requested_at();
    // The caller is told at the moment at which the reading gets old for it.
    let until_stale =
        newest.map(|requested_at| (requested_at + call.oldest_ms).saturating_sub(arrived));
    let wait = call.wait_ms.min(MAX_WAIT);
    let wait = until_stale.map_or(wait, |until_stale| wait.min(until_stale));
    let is_stale = newest.is_some_and(|requested_at| requested_at + call.oldest_ms < arrived);
    let changed = mirror.wait_for(|mirror| {
        is_stale || mirror.has_changes(call.from) || mirror.requested_at() > newest
    });
    if let Ok(Err(_)) = time::timeout(wait, changed).await {
        return Err(nothing_read());
    }
    let part = mirror.borrow().part(call.from).ok_or_else(nothing_read)?;
    Ok(Answer {
        is_whole: part.is_whole,
        records: part
            .records
            .into_iter()
            .map(|received| Entry::new(received, arrived))
            .collect(),
        next: part.next,
        asked_ms: millis(part.requested_at) - millis(arrived),
    })
}

/// Asks for changes of caches.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CachesCall {
    /// Number to go on from.
    since: u64,
    /// Time to wait for a change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    wait_ms: Duration,
}

async fn changes(context: &Context, call: &CachesCall) -> Batch {
    let mut caches = context.caches.clone();
    let wait = call.wait_ms.min(MAX_WAIT);
    let changed = caches.wait_for(|log| log.next_number() != call.since);
    // Without a change in time the answer has none.
    let _ = time::timeout(wait, changed).await;
    caches.borrow().since(call.since)
}

fn nothing_read() -> ErrorObjectOwned {
    let message = "nothing was read of the topic yet; ask another host";
    ErrorObjectOwned::owned(NOTHING_READ, message, None::<()>)
}

impl Entry {
    fn new(received: Received, arrived: Duration) -> Self {
        let record = received.record;
        Self {
            offset: record.offset,
            key: record.key,
            value: record.value.map(|value| value.to_vec()),
            known_ms: received
                .first_seen
                .map(|first_seen| arrived.saturating_sub(first_seen)),
        }
    }

    /// The record, for a host that made the call at a time.
    fn into_received(self, called: Duration) -> Received {
        Received {
            record: Record {
                offset: self.offset,
                key: self.key,
                value: self.value.map(Bytes::from),
            },
            first_seen: self.known_ms.map(|known| called.saturating_sub(known)),
        }
    }
}

/// Asks one host.
pub(crate) struct Client {
    address: SocketAddr,
    client: HttpClient,
}

impl Client {
    /// A client for calls that wait at most for a time.
    pub(crate) fn new(address: SocketAddr, wait: Duration) -> Result<Self, String> {
        Self::with_timeout(address, wait + ANSWER_TIMEOUT)
    }

    /// A client for calls that are answered within a time.
    pub(crate) fn with_timeout(address: SocketAddr, timeout: Duration) -> Result<Self, String> {
        let client = HttpClientBuilder::new()
            .request_timeout(timeout)
            .max_response_size(MAX_ANSWER_BYTES)
            .build(format!("http://{address}"))
            .map_err(|error| error.to_string())?;
        Ok(Self { address, client })
    }

    /// Address of the host.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for an endpoint, and tells what came of others.
    pub(crate) async fn dispatch(&self, call: DeskCall) -> Result<DeskAnswer, String> {
        let answer = self.client.request(DISPATCH, rpc_params![call]).await;
        answer.map_err(|error| error.to_string())
    }

    /// Asks for changes of caches since a number.
    pub(crate) async fn caches(&self, since: u64, wait: Duration) -> Result<Batch, String> {
        let call = CachesCall {
            since,
            wait_ms: wait,
        };
        let answer = self.client.request(CACHES, rpc_params![call]).await;
        answer.map_err(|error| error.to_string())
    }

    /// Asks for what came since an offset.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        from: Option<u64>,
        polling: Polling,
        clock: Clock,
    ) -> Result<Part, String> {
        let call = Call {
            topic: topic.as_str().to_owned(),
            from,
            wait_ms: polling.max_wait(),
            oldest_ms: polling.max_age(),
        };
        let called = clock.now();
        let answer: Answer = self
            .client
            .request(READ, rpc_params![call])
            .await
            .map_err(|error| error.to_string())?;
        Ok(Part {
            is_whole: answer.is_whole,
            records: answer
                .records
                .into_iter()
                .map(|entry| entry.into_received(called))
                .collect(),
            next: answer.next,
            requested_at: shifted(called, answer.asked_ms),
        })
    }
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}

/// A moment so many milliseconds after another, or before it.
fn shifted(moment: Duration, ms: i64) -> Duration {
    let by = Duration::from_millis(ms.unsigned_abs());
    if ms < 0 {
        moment.saturating_sub(by)
    } else {
        moment + by
    }
}
