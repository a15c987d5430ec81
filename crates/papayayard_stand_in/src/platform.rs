//! Stand-in for the platform: log streams, list of hosts and weight store.
//!
//! Beside the published routes, `POST /control/hosts` and
//! `POST /control/endpoints` add or change entries of the list,
//! `POST /control/remove` takes one out, and `POST /control` takes a
//! [`Fault`].

pub mod fault;
pub mod hosts;
pub mod stream;
pub mod weights;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::Method;
use hyper::body::Incoming;
use hyper::{Request, Response};
use papayayard_wire::{directory, header, id, log};
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};
use tokio::sync::watch;

use crate::answer::{self, Body};
use crate::clock::Clock;
use crate::server::{Dropped, Gate, Handler, Server};

pub use fault::Fault;

/// Most records that one read gives.
const MAX_READ_RECORDS: usize = 10_000;
/// Longest wait of a read.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Options of a platform.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Factor by which model time is faster than real time.
    pub time_scale: f64,
    /// How long records are kept.
    pub retention: stream::Retention,
    /// Model time of one load of weights.
    pub weights_time: Duration,
    /// Loads at once before they slow each other down.
    pub weights_at_once: u32,
    /// Lag of the list of hosts, in model time.
    pub list_lag: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            time_scale: 1.0,
            retention: stream::Retention {
                records: 1_000_000,
                age_ms: 24 * 60 * 60 * 1000,
            },
            weights_time: Duration::from_millis(1300),
            weights_at_once: 3,
            list_lag: Duration::ZERO,
        }
    }
}

/// A running platform.
#[derive(Debug)]
pub struct Running {
    shared: Arc<Shared>,
    server: Server,
    control: Server,
}

impl Running {
    /// Address for requests.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Address for control, which no fault touches.
    pub const fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Adds or changes an entry host.
    pub fn put_host(&self, host: directory::Host) {
        self.shared.put_host(host);
    }

    /// Adds or changes an endpoint.
    pub fn put_endpoint(&self, endpoint: directory::Endpoint) {
        self.shared.put_endpoint(endpoint);
    }

    /// Adds an entry, any JSON value, to the hosts and endpoints of the list.
    pub fn add_odd_entry(&self, entry: Box<RawValue>) {
        self.shared.lock().odd_entries.push(entry);
    }

    /// Takes a host or endpoint out of the list.
    pub fn remove(&self, name: &str) {
        self.shared.remove(name);
    }

    /// Brings about a fault.
    pub fn fault(&self, fault: Fault) {
        self.shared.apply(fault);
    }

    /// Reads that wait for the next append.
    pub fn waiting_reads(&self) -> usize {
        self.shared.appended.receiver_count()
    }

    /// Records of a stream that are kept, without faults.
    pub fn records(&self, stream: &str) -> Vec<log::Record> {
        let state = self.shared.lock();
        let page = state
            .streams
            .get(stream)
            .map(|stream| stream.read(log::Offset(0), usize::MAX));
        page.map(|page| page.records).unwrap_or_default()
    }
}

/// Starts a platform.
pub async fn start(options: Options) -> io::Result<Running> {
    let clock = Clock::start(options.time_scale);
    let shared = Arc::new(Shared {
        clock,
        retention: options.retention,
        gate: Gate::default(),
        weights: weights::Store::new(options.weights_time, options.weights_at_once),
        appended: watch::Sender::new(0),
        state: Mutex::new(State {
            list_lag: options.list_lag,
            ..State::default()
        }),
    });
    let server = Server::start(
        options.listen,
        shared.gate.clone(),
        Arc::new(Public(shared.clone())),
    )
    .await?;
    let listen = SocketAddr::new(options.listen.ip(), 0);
    let control = Server::start(listen, Gate::default(), Arc::new(Control(shared.clone()))).await?;
    Ok(Running {
        shared,
        server,
        control,
    })
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    retention: stream::Retention,
    gate: Gate,
    weights: weights::Store,
    appended: watch::Sender<u64>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    streams: HashMap<String, stream::Stream>,
    hosts: hosts::Hosts,
    /// Entries of another writer, which need not be sound.
    odd_entries: Vec<Box<RawValue>>,
    list_lag: Duration,
    delay: Duration,
    lose_appends: u32,
    cut: Vec<id::Host>,
}

/// Answer of `GET /weights/{model}/{version}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// Model.
    pub model: id::Model,
    /// Version of the weights.
    pub version: id::Version,
}

/// Body of `POST /control/remove`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Name of a host or endpoint.
    pub id: String,
}

/// Answer of `GET /hosts`.
#[derive(Serialize)]
struct ShownList {
    hosts: Vec<Box<RawValue>>,
    endpoints: Vec<Box<RawValue>>,
}

/// The odd entries, followed by the sound ones.
fn with_odd<Entry>(sound: &[Entry], odd: &[Box<RawValue>]) -> Vec<Box<RawValue>>
where
    Entry: Serialize,
{
    let sound = sound.iter().map(to_raw_value).filter_map(Result::ok);
    odd.iter().cloned().chain(sound).collect()
}

struct Public(Arc<Shared>);
struct Control(Arc<Shared>);

impl Handler for Public {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        self.0.gate.pass().await;
        let delay = self.0.lock().delay;
        self.0.clock.sleep(delay).await;
        self.0.check_cut(&request)?;
        self.0.route(request).await
    }
}

impl Handler for Control {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        self.0.route(request).await
    }
}

impl Shared {
    async fn route(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (Method::POST, ["streams", stream, "records"]) => self.append(stream, request).await,
            (Method::GET, ["streams", stream, "records"]) => Ok(self.read(stream, &request).await),
            (Method::GET, ["hosts"]) => Ok(answer::ok(&self.shown_list())),
            (Method::GET, ["weights", model, version]) => Ok(self.load(model, version).await),
            (Method::POST, ["control", ..]) => self.control(&parts[1..], request).await,
            _ => Ok(answer::no_route()),
        }
    }

    async fn append(
        &self,
        stream: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Dropped> {
        let bytes = answer::read(request).await?;
        let batch: log::Batch = match answer::parse(&bytes) {
            Ok(batch) => batch,
            Err(rejection) => return Ok(rejection.answer()),
        };
        let (offsets, lost) = {
            let mut state = self.lock();
            let lost = state.lose_appends > 0;
            state.lose_appends = state.lose_appends.saturating_sub(1);
            let stream = state.streams.entry(stream.to_owned()).or_default();
            (stream.append(batch, now_ms(), self.retention), lost)
        };
        self.appended.send_modify(|count| *count += 1);
        if lost {
            return Err(Dropped);
        }
        Ok(answer::ok(&offsets))
    }

    async fn read(&self, stream: &str, request: &Request<Incoming>) -> Response<Body> {
        let number = |name| answer::query(request, name).and_then(|text| text.parse::<u64>().ok());
        let from = log::Offset(number("from").unwrap_or(0));
        let limit = number("limit").and_then(|limit| usize::try_from(limit).ok());
        let limit = limit.unwrap_or(MAX_READ_RECORDS).min(MAX_READ_RECORDS);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        let mut appended = self.appended.subscribe();
        loop {
            appended.mark_unchanged();
            let page = self.page(stream, from, limit);
            if !page.records.is_empty() {
                return answer::ok(&page);
            }
            let news = tokio::time::timeout_at(deadline, appended.changed()).await;
            if news.is_err() {
                return answer::ok(&page);
            }
        }
    }

    fn page(&self, stream: &str, from: log::Offset, limit: usize) -> log::Page {
        let mut state = self.lock();
        let stream = state.streams.entry(stream.to_owned()).or_default();
        stream.expire(now_ms(), self.retention);
        stream.read(from, limit)
    }

    fn list(&self) -> directory::List {
        let now = self.clock.now();
        let mut state = self.lock();
        let lag = state.list_lag;
        state.hosts.lagging(now, lag)
    }

    fn shown_list(&self) -> ShownList {
        let list = self.list();
        let odd = self.lock().odd_entries.clone();
        ShownList {
            hosts: with_odd(&list.hosts, &odd),
            endpoints: with_odd(&list.endpoints, &odd),
        }
    }

    async fn load(&self, model: &str, version: &str) -> Response<Body> {
        self.weights.load(&self.clock).await;
        answer::ok(&Weights {
            model: model.into(),
            version: version.into(),
        })
    }

    async fn control(
        &self,
        parts: &[&str],
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Dropped> {
        let bytes = answer::read(request).await?;
        let done = match parts {
            [] => answer::parse(&bytes).map(|fault| self.apply(fault)),
            ["hosts"] => answer::parse(&bytes).map(|host| self.put_host(host)),
            ["endpoints"] => answer::parse(&bytes).map(|endpoint| self.put_endpoint(endpoint)),
            ["remove"] => answer::parse(&bytes).map(|gone: Removal| self.remove(&gone.id)),
            _ => return Ok(answer::no_route()),
        };
        Ok(answer::done(done))
    }

    fn apply(&self, fault: Fault) {
        let mut state = self.lock();
        match fault {
            Fault::Down => self.gate.close(),
            Fault::Freeze => self.gate.freeze(true),
            Fault::Slow { delay_ms } => state.delay = Duration::from_millis(delay_ms),
            Fault::LoseAppends { count } => state.lose_appends = count,
            Fault::ListLag { lag_ms } => state.list_lag = Duration::from_millis(lag_ms),
            Fault::Cut { hosts } => state.cut = hosts,
            Fault::Clear => {
                state.delay = Duration::ZERO;
                state.lose_appends = 0;
                state.cut.clear();
                self.gate.freeze(false);
                self.gate.open();
            }
        }
    }

    fn check_cut(&self, request: &Request<Incoming>) -> Result<(), Dropped> {
        let Some(host) = answer::header_text(request, header::HOST_ID) else {
            return Ok(());
        };
        let cut = self.lock().cut.iter().any(|cut| cut.as_str() == host);
        if cut { Err(Dropped) } else { Ok(()) }
    }

    fn put_host(&self, host: directory::Host) {
        self.lock().hosts.put_host(host, self.clock.now());
    }

    fn put_endpoint(&self, endpoint: directory::Endpoint) {
        self.lock().hosts.put_endpoint(endpoint, self.clock.now());
    }

    fn remove(&self, name: &str) {
        self.lock().hosts.remove(name, self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
