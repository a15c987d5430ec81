//! JSON-RPC over HTTP between hosts: hosts read one another's copies of topics and cache
//! changes, and request placements.
//!
//! A read waits for changes or a newer reading, at most for the time given in the call.
//! The answer gives the time at which the reading was requested, relative to the arrival
//! of the call; the caller adds it to the time at which it sent the call. Transit times
//! can therefore only make the reading appear older, never newer.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::{self, ClientT};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use papayayard_wire::log::{Era, Offset, Position};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DurationMilliSeconds, serde_as};
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time;

use crate::cache_news::{Batch, ChangeLog};
use crate::clock::Clock;
use crate::dispatch::{DispatchAnswer, DispatchCall, Handler};
use crate::follow::Polling;
use crate::mirror::{Mirror, Part, Received};
use crate::origins;
use crate::store::{Record, Topic};
use crate::uplink;

/// Method that reads a topic.
const READ: &str = "read";
/// Method that reads cache changes.
const CACHES: &str = "caches";
/// Method that tells of streams that began.
const BEGAN: &str = "began";
/// Method that asks for the version that began a stream.
const ORIGIN: &str = "origin";
/// Method that requests a placement and reports the outcomes of earlier ones.
const DISPATCH: &str = "dispatch";
/// JSON-RPC error code for a topic that was not read yet.
const NOTHING_READ: i32 = -32_002;
/// JSON-RPC error code of a host that reaches no endpoint.
const DETACHED: i32 = -32_003;
/// Maximum number of connections. Each other host has one per topic, and one per request
/// that waits for a placement.
const MAX_CONNECTIONS: u32 = 2048;
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: u32 = 8 << 20;
/// Maximum wait of a call.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time for an answer beyond the wait.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Parameters of a topic read.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Call {
    topic: String,
    /// Offset up to which the caller has followed; `None` for a full read.
    from: Option<u64>,
    /// Era of that offset.
    #[serde(default)]
    era: Era,
    /// Time to wait for changes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    wait_ms: Duration,
    /// Age from which the caller considers a reading stale and polls another host; the
    /// call is answered no later than that.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    oldest_ms: Duration,
}

impl Call {
    /// Position up to which the caller has followed.
    fn position(&self) -> Option<Position> {
        let offset = Offset(self.from?);
        Some(Position {
            era: self.era,
            offset,
        })
    }
}

/// Result of a topic read.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Answer {
    /// Whether these are the newest records of all keys.
    is_whole: bool,
    records: Vec<Entry>,
    /// Era of all offsets.
    #[serde(default)]
    era: Era,
    /// Offset from which to continue.
    next: u64,
    /// When the reading was requested, in ms relative to the arrival of the call; usually
    /// negative.
    asked_ms: i64,
}

#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    offset: u64,
    key: String,
    #[serde_as(as = "Option<Base64>")]
    value: Option<Vec<u8>>,
    /// Time for which the record had been known when the call arrived; `None` if the
    /// record may have been in the store for longer than any host knows.
    #[serde(default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    known_ms: Option<Duration>,
}

/// This host's copies of topics, by topic name.
pub(crate) type Mirrors = HashMap<&'static str, watch::Receiver<Mirror>>;

/// State that other hosts can query.
pub(crate) struct Context {
    /// This host's copies of topics.
    pub(crate) mirrors: Mirrors,
    /// Cache changes read by this host.
    pub(crate) caches: watch::Receiver<ChangeLog>,
    /// Handler of placement requests.
    pub(crate) desk: Handler,
    /// Streams that began on this host and on others.
    pub(crate) origins: origins::Tracker,
    /// Tells whether this host reaches endpoints.
    pub(crate) uplink: uplink::Handle,
    pub(crate) clock: Clock,
}

/// Serves other hosts until the returned future is dropped.
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
            changes(&context, &call).await
        })
        .expect("a new module has no method of this name");
    module
        .register_async_method(DISPATCH, |params, context, _| async move {
            let call = params.one::<DispatchCall>()?;
            let answer = context.desk.answer(call).await;
            answer.map_err(|error| detached(&error))
        })
        .expect("a new module has no method of this name");
    module
        .register_async_method(BEGAN, |params, context, _| async move {
            context.origins.told(params.one::<Vec<origins::Origin>>()?);
            Ok::<_, ErrorObjectOwned>(())
        })
        .expect("a new module has no method of this name");
    module
        .register_async_method(ORIGIN, |params, context, _| async move {
            let question = params.one::<origins::Question>()?;
            Ok::<_, ErrorObjectOwned>(context.origins.answer(&question))
        })
        .expect("a new module has no method of this name");
    let handle: ServerHandle = server.start(module);
    Ok(handle.stopped())
}

async fn answer(context: &Context, call: &Call) -> Result<Answer, ErrorObjectOwned> {
    let mirror = context.mirrors.get(call.topic.as_str());
    let mut mirror = mirror.cloned().ok_or_else(nothing_read)?;
    let arrived = context.clock.now();
    let from = call.position();
    let newest = mirror.borrow().requested_at();
    // The caller gets an answer no later than when the reading becomes stale for it.
    let until_stale =
        newest.map(|requested_at| (requested_at + call.oldest_ms).saturating_sub(arrived));
    let wait = call.wait_ms.min(MAX_WAIT);
    let wait = until_stale.map_or(wait, |until_stale| wait.min(until_stale));
    let is_stale = newest.is_some_and(|requested_at| requested_at + call.oldest_ms < arrived);
    let is_of_older_era = from.is_some_and(|from| mirror.borrow().era() < from.era);
    let is_useless = is_stale || is_of_older_era;
    let changed = mirror.wait_for(|mirror| {
        is_useless || mirror.has_changes(from) || mirror.requested_at() > newest
    });
    if let Ok(Err(_)) = time::timeout(wait, changed).await {
        return Err(nothing_read());
    }
    let part = mirror.borrow().part(from).ok_or_else(nothing_read)?;
    Ok(Answer {
        is_whole: part.is_whole,
        records: part
            .records
            .into_iter()
            .map(|received| Entry::new(received, arrived))
            .collect(),
        era: part.era,
        next: part.next,
        asked_ms: millis(part.requested_at) - millis(arrived),
    })
}

/// Parameters of a read of cache changes.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CachesCall {
    /// Number from which to continue.
    since: u64,
    /// Time to wait for a change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    wait_ms: Duration,
}

/// Waits for cache changes. A detached host reads none, so its callers ask another host.
async fn changes(context: &Context, call: &CachesCall) -> Result<Batch, ErrorObjectOwned> {
    let mut caches = context.caches.clone();
    let mut is_detached = context.uplink.subscribe();
    let wait = call.wait_ms.min(MAX_WAIT);
    let changed = caches.wait_for(|change_log| change_log.next_number() != call.since);
    tokio::select! {
        biased;
        Ok(_) = is_detached.wait_for(|is_detached| *is_detached) => {
            return Err(detached(&uplink::Detached));
        }
        // After a timeout the answer contains no changes.
        _ = time::timeout(wait, changed) => {}
    }
    Ok(caches.borrow().since(call.since))
}

fn nothing_read() -> ErrorObjectOwned {
    let message = "nothing was read of the topic yet; ask another host";
    ErrorObjectOwned::owned(NOTHING_READ, message, None::<()>)
}

fn detached(error: &uplink::Detached) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(DETACHED, error.to_string(), None::<()>)
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

    /// Converts the entry to a record for the host that sent the call at the given time.
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

/// Why a call for a placement failed.
#[derive(Debug, Snafu)]
pub(crate) enum DispatchError {
    #[snafu(display("it did not answer in time"))]
    TimedOut,
    /// No connection, or an error as the answer.
    #[snafu(display("{source}"))]
    Failed { source: client::Error },
}

impl From<client::Error> for DispatchError {
    fn from(source: client::Error) -> Self {
        match source {
            client::Error::RequestTimeout => Self::TimedOut,
            source => Self::Failed { source },
        }
    }
}

/// Client for calls to one host.
pub(crate) struct Client {
    address: SocketAddr,
    client: HttpClient,
}

impl Client {
    /// Creates a client for calls that wait at most for `wait`.
    pub(crate) fn new(address: SocketAddr, wait: Duration) -> Result<Self, String> {
        Self::with_timeout(address, wait + ANSWER_TIMEOUT)
    }

    /// Creates a client with a timeout for whole calls.
    pub(crate) fn with_timeout(address: SocketAddr, timeout: Duration) -> Result<Self, String> {
        let client = HttpClientBuilder::new()
            .request_timeout(timeout)
            .max_response_size(MAX_ANSWER_BYTES)
            .build(format!("http://{address}"))
            .map_err(|error| error.to_string())?;
        Ok(Self { address, client })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests a placement and reports the outcomes of earlier ones; waits at most for
    /// `timeout`, or for the client's own time-out if that is shorter.
    pub(crate) async fn dispatch(
        &self,
        call: DispatchCall,
        timeout: Duration,
    ) -> Result<DispatchAnswer, DispatchError> {
        let answer = self.client.request(DISPATCH, rpc_params![call]);
        let answer = time::timeout(timeout, answer).await;
        let answer = answer.unwrap_or(Err(client::Error::RequestTimeout));
        answer.map_err(DispatchError::from)
    }

    /// Tells the host of streams that began.
    pub(crate) async fn began(&self, batch: &[origins::Origin]) -> Result<(), String> {
        let answer = self.client.request(BEGAN, rpc_params![batch]).await;
        answer.map_err(|error| error.to_string())
    }

    /// Asks for the version that began a stream.
    pub(crate) async fn origin(
        &self,
        question: origins::Question,
    ) -> Result<origins::Answer, String> {
        let answer = self.client.request(ORIGIN, rpc_params![question]).await;
        answer.map_err(|error| error.to_string())
    }

    /// Reads cache changes since a number.
    pub(crate) async fn caches(&self, since: u64, wait: Duration) -> Result<Batch, String> {
        let call = CachesCall {
            since,
            wait_ms: wait,
        };
        let answer = self.client.request(CACHES, rpc_params![call]).await;
        answer.map_err(|error| error.to_string())
    }

    /// Reads the records of a topic since a position, and waits for a newer reading for at
    /// most `wait`.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        from: Option<Position>,
        polling: Polling,
        wait: Duration,
        clock: Clock,
    ) -> Result<Part, String> {
        let call = Call {
            topic: topic.as_str().to_owned(),
            from: from.map(|from| from.offset.0),
            era: from.map_or_else(Era::default, |from| from.era),
            wait_ms: wait,
            oldest_ms: polling.max_age(),
        };
        let called = clock.now();
        let answer = self.client.request(READ, rpc_params![call]);
        let answer: Answer = time::timeout(wait + ANSWER_TIMEOUT, answer)
            .await
            .map_err(|_| "it did not answer in time".to_owned())?
            .map_err(|error| error.to_string())?;
        Ok(Part {
            is_whole: answer.is_whole,
            records: answer
                .records
                .into_iter()
                .map(|entry| entry.into_received(called))
                .collect(),
            era: answer.era,
            next: answer.next,
            requested_at: shifted(called, answer.asked_ms),
        })
    }
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}

/// Shifts a point in time by milliseconds, which may be negative.
fn shifted(moment: Duration, ms: i64) -> Duration {
    let by = Duration::from_millis(ms.unsigned_abs());
    if ms < 0 {
        moment.saturating_sub(by)
    } else {
        moment + by
    }
}

#[cfg(test)]
#[path = "peers_test.rs"]
mod test;
