//! The operators' listener, which only reads.

use papayayard_wire::{directory, id};
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::header;
use salvo::prelude::{Depot, FlowCtrl, Request, Response, Router, Server, async_trait};
use serde::{Deserialize, Serialize};
use tokio_util::task::TaskTracker;

use crate::controllers::fleet;
use crate::readiness::Readiness;

/// Answer of `GET /status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Host.
    pub host: id::Host,
    /// Availability zone.
    pub zone: id::Zone,
    /// Whether the host takes new requests.
    pub state: State,
    /// Revision in force, 0 where there is none.
    pub revision: id::Revision,
    /// Digest of the document in force, in hexadecimal.
    pub digest: String,
    /// Requests that are not answered yet.
    pub open_requests: usize,
    /// Model endpoints as this host sees them.
    pub endpoints: Vec<Endpoint>,
}

/// What a host does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Has no configuration or no list of endpoints yet.
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Stopping,
}

/// A model endpoint as a host sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// Endpoint.
    pub id: id::Endpoint,
    /// Service.
    pub service: id::Service,
    /// Availability zone.
    pub zone: id::Zone,
    /// What the platform plans for it.
    pub plan: directory::State,
    /// Whether it gets new work.
    pub eligible: bool,
    /// Requests of this host that it runs.
    pub in_flight: u32,
    /// Version of its weights, as last reported.
    pub version: Option<id::Version>,
    /// Run of its process, as last reported.
    pub incarnation: Option<id::Incarnation>,
}

/// What the listener reads.
#[derive(Clone)]
pub(crate) struct View {
    /// Host.
    pub(crate) host: id::Host,
    /// Availability zone.
    pub(crate) zone: id::Zone,
    /// Whether the host can serve.
    pub(crate) readiness: Readiness,
    /// Open requests.
    pub(crate) open: TaskTracker,
    /// Model endpoints.
    pub(crate) fleet: fleet::Handle,
}

impl View {
    async fn status(&self) -> Status {
        let active = self.readiness.active.borrow().clone();
        let endpoints = self.fleet.status().await;
        Status {
            host: self.host.clone(),
            zone: self.zone.clone(),
            state: self.readiness.state(),
            revision: active.as_ref().map(|a| a.revision).unwrap_or_default(),
            digest: active.map(|a| a.digest.clone()).unwrap_or_default(),
            open_requests: self.open.len(),
            endpoints: endpoints.into_iter().map(Endpoint::from).collect(),
        }
    }
}

impl From<fleet::Status> for Endpoint {
    fn from(status: fleet::Status) -> Self {
        Self {
            id: status.endpoint,
            service: status.service,
            zone: status.zone,
            plan: status.plan,
            eligible: status.eligible,
            in_flight: status.in_flight,
            version: status.report.as_ref().map(|report| report.version.clone()),
            incarnation: status.report.map(|report| report.incarnation),
        }
    }
}

/// Serves operators until the process ends.
pub(crate) async fn serve(acceptor: TcpAcceptor, view: View) {
    let router = Router::with_path("status").get(view);
    Server::new(acceptor).serve(router).await;
}

#[async_trait]
impl salvo::Handler for View {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let status = self.status().await;
        let body = serde_json::to_vec(&status).unwrap_or_default();
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response.body(body);
    }
}
