//! Stand-in for a plain HTTP service that records what it ran.
//!
//! Any route runs and answers with a [`Receipt`]. `POST /control` takes a
//! [`Fault`] and `GET /ledger` tells what really ran; both are on the control
//! listener only, so that a service's own routes may have any name.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, StatusCode};
use hyper::body::Incoming;
use hyper::{Request, Response};
use papayayard_wire::{directory, header, id};
use serde::{Deserialize, Serialize};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::answer::{self, Body};
use crate::client;
use crate::clock::{self, Clock};
use crate::generate::Digest;
use crate::ledger::{Entry, Ledger, Outcome};
use crate::server::{Dropped, Gate, Handler, Server};

/// Options of a plain service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Name.
    pub endpoint: id::Endpoint,
    /// Service that it is a replica of.
    pub service: id::Service,
    /// Availability zone.
    pub zone: id::Zone,
    /// Factor by which model time is faster than real time.
    pub time_scale: f64,
    /// Model time that a request takes.
    pub work_time: Duration,
    /// Platform that it registers with.
    pub platform: Option<SocketAddr>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            endpoint: "service-0".into(),
            service: "studio-app".into(),
            zone: "bergen-a".into(),
            time_scale: 1.0,
            work_time: Duration::from_millis(5),
            platform: None,
        }
    }
}

/// Body of `POST /control`; times are in milliseconds of model time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Drops all connections and comes back as a new incarnation.
    Crash {
        /// Time until it comes back.
        down_ms: u64,
    },
    /// Exchanges stand still.
    Freeze,
    /// Refuses every request without running it.
    Refuse,
    /// Runs the next requests and drops their answers.
    LoseAnswers {
        /// Number of requests.
        count: u32,
    },
    /// Gives the next answers under another request's id.
    WrongIds {
        /// Number of answers.
        count: u32,
    },
    /// Runs the next requests and answers with another request's refusal.
    StaleRefusals {
        /// Number of requests.
        count: u32,
        /// Id that the refusal names, if any.
        id: Option<String>,
    },
    /// Runs the next requests and answers with a status, as if they had not run.
    UnconfirmedRefusals {
        /// Number of requests.
        count: u32,
        /// Status of these answers.
        status: u16,
    },
    /// Requests take longer.
    Slow {
        /// Added time.
        delay_ms: u64,
    },
    /// Drops requests that bear one of these entry hosts' ids.
    Cut {
        /// Entry hosts.
        hosts: Vec<id::Host>,
    },
    /// Ends every fault.
    Clear,
}

/// Answer of every route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Endpoint that ran the request.
    pub endpoint: id::Endpoint,
    /// Number of the run on this endpoint, from 1.
    pub run: u64,
    /// Digest of the body that was run.
    pub digest: Digest,
}

/// A running service; it stops when it is dropped.
#[derive(Debug)]
pub struct Running {
    shared: Arc<Shared>,
    server: Server,
    control: Server,
    _stop: DropGuard,
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

    /// Brings about a fault.
    pub fn fault(&self, fault: Fault) {
        self.shared.apply(fault);
    }

    /// What really ran.
    pub fn ledger(&self) -> Vec<Entry> {
        self.shared.lock().ledger.clone()
    }
}

/// Starts a service, and registers it where it has a platform.
pub async fn start(options: Options) -> io::Result<Running> {
    let shared = Arc::new(Shared {
        clock: Clock::start(options.time_scale),
        gate: Gate::default(),
        endpoint: options.endpoint.clone(),
        work_time: options.work_time,
        state: Mutex::new(State {
            incarnation: clock::incarnation(),
            ..State::default()
        }),
    });
    let public = Arc::new(Public(shared.clone()));
    let server = Server::start(options.listen, shared.gate.clone(), public).await?;
    let control = Arc::new(Control(shared.clone()));
    let listen = SocketAddr::new(options.listen.ip(), 0);
    let control = Server::start(listen, Gate::default(), control).await?;
    let stop = CancellationToken::new();
    if let Some(platform) = options.platform {
        let entry = directory::Endpoint {
            id: options.endpoint,
            service: options.service,
            zone: options.zone,
            address: server.address(),
            state: directory::State::Live,
        };
        client::register(platform, entry, &stop).await;
    }
    Ok(Running {
        shared,
        server,
        control,
        _stop: stop.drop_guard(),
    })
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    gate: Gate,
    endpoint: id::Endpoint,
    work_time: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    incarnation: id::Incarnation,
    ledger: Vec<Entry>,
    refuse: bool,
    lose_answers: u32,
    wrong_ids: u32,
    stale_refusals: u32,
    /// Id that these refusals name.
    stale_id: Option<String>,
    unconfirmed_refusals: u32,
    /// Status of these refusals.
    unconfirmed_status: u16,
    delay: Duration,
    cut: Vec<id::Host>,
}

struct Public(Arc<Shared>);
struct Control(Arc<Shared>);

impl Handler for Public {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        self.0.gate.pass().await;
        self.0.run(request).await
    }
}

impl Handler for Control {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        let shared = &self.0;
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ledger") => {
                let entries = shared.lock().ledger.clone();
                Ok(answer::ok(&Ledger { entries }))
            }
            (&Method::POST, "/control") => {
                let bytes = answer::read(request).await?;
                let done = answer::parse::<Fault>(&bytes).map(|fault| shared.apply(fault));
                Ok(answer::done(done))
            }
            _ => Ok(answer::no_route()),
        }
    }
}

impl Shared {
    async fn run(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        let route = format!("{} {}", request.method(), request.uri().path());
        let text = |name| answer::header_text(&request, name).map(str::to_owned);
        let id = text(header::REQUEST_ID);
        let key = text(header::IDEMPOTENCY_KEY);
        let host = text(header::HOST_ID);
        let bytes = answer::read(request).await?;
        let digest = Digest::of_body(&bytes);
        let noted = self.note(route, id.as_deref(), key, host, digest)?;
        let Some((index, delay)) = noted else {
            return Ok(self.refusal(id.as_deref()));
        };
        self.clock.sleep(self.work_time + delay).await;
        self.gate.pass().await;
        let mut response = answer::ok(&Receipt {
            endpoint: self.endpoint.clone(),
            run: index as u64 + 1,
            digest,
        });
        if let Some(stale) = self.stale_refusal() {
            return Ok(stale);
        }
        let id = self.end(index, id)?;
        if let Some(status) = self.unconfirmed_status() {
            *response.status_mut() = status;
        }
        self.mark(&mut response, id.as_deref());
        Ok(response)
    }

    /// Enters a request into the ledger; none where it is refused.
    fn note(
        &self,
        route: String,
        id: Option<&str>,
        key: Option<String>,
        host: Option<String>,
        digest: Digest,
    ) -> Result<Option<(usize, Duration)>, Dropped> {
        let mut state = self.lock();
        if host.is_some_and(|host| state.cut.iter().any(|cut| cut.as_str() == host)) {
            return Err(Dropped);
        }
        if state.refuse {
            return Ok(None);
        }
        let started = self.clock.now().as_millis();
        let entry = Entry {
            request: id.map(id::Request::from),
            key: key.map(id::Key::from),
            route,
            digest,
            incarnation: state.incarnation,
            version: None,
            salt: None,
            started_ms: u64::try_from(started).unwrap_or(u64::MAX),
            from: 0,
            tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            outcome: Outcome::Running,
        };
        state.ledger.push(entry);
        Ok(Some((state.ledger.len() - 1, state.delay)))
    }

    fn refusal(&self, id: Option<&str>) -> Response<Body> {
        let message = "the service refuses requests on order; send it elsewhere";
        let rejection = answer::Rejection::new(StatusCode::SERVICE_UNAVAILABLE, message);
        let mut response = rejection.answer();
        let no = HeaderValue::from_static("no");
        response.headers_mut().insert(header::RAN, no);
        self.mark(&mut response, id);
        response
    }

    /// Ends a run; gives the id that its answer bears.
    fn end(&self, index: usize, id: Option<String>) -> Result<Option<String>, Dropped> {
        let mut state = self.lock();
        let entry = &mut state.ledger[index];
        if entry.outcome != Outcome::Running {
            return Err(Dropped);
        }
        entry.outcome = Outcome::Complete;
        if crate::engine::fault::take(&mut state.lose_answers) {
            return Err(Dropped);
        }
        if crate::engine::fault::take(&mut state.wrong_ids) {
            return Ok(Some("another-request".to_owned()));
        }
        Ok(id)
    }

    /// The refusal of another request, where it is sent instead of the answer.
    fn stale_refusal(&self) -> Option<Response<Body>> {
        let mut state = self.lock();
        let is_due = crate::engine::fault::take(&mut state.stale_refusals);
        let id = state.stale_id.clone();
        drop(state);
        is_due.then(|| self.refusal(id.as_deref()))
    }

    /// Status that takes the place of the answer's, although the request has run.
    fn unconfirmed_status(&self) -> Option<StatusCode> {
        let mut state = self.lock();
        let is_due = crate::engine::fault::take(&mut state.unconfirmed_refusals);
        let status = StatusCode::from_u16(state.unconfirmed_status);
        drop(state);
        status.ok().filter(|_| is_due)
    }

    fn mark(&self, response: &mut Response<Body>, id: Option<&str>) {
        let incarnation = self.lock().incarnation;
        let headers = response.headers_mut();
        let name = HeaderName::from_static(header::INCARNATION);
        headers.insert(name, HeaderValue::from(incarnation.0));
        if let Some(Ok(id)) = id.map(HeaderValue::from_str) {
            headers.insert(HeaderName::from_static(header::REQUEST_ID), id);
        }
    }

    fn apply(self: &Arc<Self>, fault: Fault) {
        let mut state = self.lock();
        match fault {
            Fault::Crash { down_ms } => {
                state.crash();
                self.gate.close();
                tokio::spawn(self.clone().come_back(Duration::from_millis(down_ms)));
            }
            Fault::Freeze => self.gate.freeze(true),
            Fault::Refuse => state.refuse = true,
            Fault::LoseAnswers { count } => state.lose_answers = count,
            Fault::WrongIds { count } => state.wrong_ids = count,
            Fault::StaleRefusals { count, id } => {
                state.stale_refusals = count;
                state.stale_id = id;
            }
            Fault::UnconfirmedRefusals { count, status } => {
                state.unconfirmed_refusals = count;
                state.unconfirmed_status = status;
            }
            Fault::Slow { delay_ms } => state.delay = Duration::from_millis(delay_ms),
            Fault::Cut { hosts } => state.cut = hosts,
            Fault::Clear => {
                state.refuse = false;
                state.lose_answers = 0;
                state.wrong_ids = 0;
                state.stale_refusals = 0;
                state.unconfirmed_refusals = 0;
                state.delay = Duration::ZERO;
                state.cut.clear();
                self.gate.freeze(false);
            }
        }
    }

    async fn come_back(self: Arc<Self>, down: Duration) {
        self.clock.sleep(down).await;
        self.gate.open();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn crash(&mut self) {
        self.incarnation.0 += 1;
        for entry in &mut self.ledger {
            if entry.outcome == Outcome::Running {
                entry.outcome = Outcome::Crashed;
            }
        }
    }
}
