//! The callers' listener: reads a request's head, runs the filter chain, and
//! writes the relay's answer or a refusal.

use std::convert::Infallible;
use std::sync::Arc;

use futures_util::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use papayayard_document::document;
use papayayard_wire::header as names;
use papayayard_wire::id;
use papayayard_wire::refusal::Kind;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::{Depot, FlowCtrl, Request, Response, Router, Server, async_trait};
use salvo::server::ServerHandle;
use serde::Serialize;
use tokio_util::task::TaskTracker;

use crate::active::Active;
use crate::clock::Clock;
use crate::exchange::{Arrival, Head};
use crate::filters::authenticate::Authenticate;
use crate::filters::{Filter, chain};
use crate::metrics::Metrics;
use crate::operators::State;
use crate::readiness::Readiness;
use crate::refusal::Refusal;
use crate::relay::{Answer, Body, call, completion, hop};
use crate::settings;

/// What all callers' routes share.
pub(crate) struct Shared {
    /// Host.
    pub(crate) host: id::Host,
    /// Clock.
    pub(crate) clock: Clock,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// Whether the host can serve.
    pub(crate) readiness: Readiness,
    /// Open requests.
    pub(crate) open: TaskTracker,
    /// Finds the client account.
    pub(crate) authenticate: Authenticate,
    /// Filters of completions.
    pub(crate) completions: chain::Completions,
    /// Filters of plain services' requests.
    pub(crate) calls: chain::Calls,
    /// Relay of completions.
    pub(crate) completion_relay: completion::Relay,
    /// Relay of plain services' requests.
    pub(crate) call_relay: call::Relay,
}

/// Makes the callers' server and its stopping handle.
pub(crate) fn server(
    acceptor: TcpAcceptor,
    limits: &settings::Limits,
) -> (Server<TcpAcceptor>, ServerHandle) {
    let mut fuse = FuseConfig::default();
    fuse.http1_header_timeout = Some(limits.send);
    let mut server = Server::new(acceptor).fuse_config(fuse);
    server.http1_mut().max_buf_size(limits.header_bytes);
    let handle = server.handle();
    (server, handle)
}

/// Routes of the callers' listener.
pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    let route = |kind| Route {
        shared: Arc::clone(shared),
        kind,
    };
    Router::new()
        .push(Router::with_path("v1/completions").post(route(Kinds::Completion)))
        .push(Router::with_path("v1/chat/completions").post(route(Kinds::Completion)))
        .push(Router::with_path("v1/models").get(route(Kinds::Models)))
        .push(Router::with_path("services/{service}/{**rest}").goal(route(Kinds::Call)))
        .push(Router::with_path("healthz").get(route(Kinds::Health)))
        .push(Router::with_path("readyz").get(route(Kinds::Ready)))
        .push(Router::with_path("metrics").get(route(Kinds::Metrics)))
        .push(Router::with_path("{**rest}").goal(route(Kinds::Unknown)))
}

struct Route {
    shared: Arc<Shared>,
    kind: Kinds,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kinds {
    Completion,
    Call,
    Models,
    Health,
    Ready,
    Metrics,
    Unknown,
}

impl Kinds {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Completion => "completion",
            Self::Call => "service",
            Self::Models => "models",
            Self::Health => "health",
            Self::Ready => "ready",
            Self::Metrics => "metrics",
            Self::Unknown => "unknown",
        }
    }
}

#[async_trait]
impl salvo::Handler for Route {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let shared = &self.shared;
        shared.metrics.requested(self.kind.as_str());
        let id = request_id(&shared.host);
        let outcome = self.answer(request, &id).await;
        let headers = response.headers_mut();
        hop::set(headers, names::REQUEST_ID, id.as_str());
        hop::set(headers, names::HOST_ID, shared.host.as_str());
        match outcome {
            Ok(answer) => write(answer, response),
            Err(refusal) => {
                shared.metrics.refused(refusal.kind);
                log::info!(
                    request:% = id,
                    kind = refusal.kind.as_str();
                    "refused: {}", refusal.message
                );
                refuse(&refusal, response);
            }
        }
    }
}

impl Route {
    async fn answer(&self, request: &mut Request, id: &id::Request) -> Result<Answer, Refusal> {
        let shared = &self.shared;
        match self.kind {
            Kinds::Completion => {
                let arrival = shared.arrive(request, id, None)?;
                let completion = shared.completions.apply(arrival).await?;
                shared.completion_relay.serve(completion).await
            }
            Kinds::Call => {
                let service = request.param::<String>("service").unwrap_or_default();
                let arrival = shared.arrive(request, id, Some(service))?;
                let call = shared.calls.apply(arrival).await?;
                shared.call_relay.serve(call).await
            }
            Kinds::Models => {
                let arrival = shared.arrive(request, id, None)?;
                let known = shared.authenticate.apply(arrival).await?;
                Ok(models(&known.active))
            }
            Kinds::Health => Ok(text(StatusCode::OK, b"ok".to_vec())),
            Kinds::Ready => Ok(shared.show_readiness()),
            Kinds::Metrics => Ok(text(StatusCode::OK, shared.metrics.text())),
            Kinds::Unknown => Err(Refusal::not_run(
                Kind::NotFound,
                "no such route; see the list in docs/ARCHITECTURE.md",
            )),
        }
    }
}

impl Shared {
    fn arrive(
        &self,
        request: &mut Request,
        id: &id::Request,
        service: Option<String>,
    ) -> Result<Arrival, Refusal> {
        if self.readiness.state() == State::Stopping {
            return Err(Refusal::stopping());
        }
        let path = request
            .uri()
            .path_and_query()
            .map(http::uri::PathAndQuery::as_str)
            .unwrap_or_default();
        let path = match &service {
            Some(name) => below_service(path, name).ok_or_else(encoded_name)?,
            None => path,
        };
        Ok(Arrival {
            id: id.clone(),
            received: self.clock.now(),
            head: Head {
                method: request.method().clone(),
                path: path.to_owned(),
                service: service.map(id::Service::from),
                headers: request.headers().clone(),
            },
            body: request.take_body(),
            _open: self.open.token(),
        })
    }

    fn show_readiness(&self) -> Answer {
        if self.readiness.state() == State::Serving {
            text(StatusCode::OK, b"ready".to_vec())
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, b"not ready".to_vec())
        }
    }
}

/// The models that a client account may ask for.
fn models(active: &Active) -> Answer {
    let mut data = Vec::new();
    for service in &active.document.services {
        if let document::Kind::Model(model) = &service.kind {
            data.push(Model::new(model.name.as_str().to_owned()));
            for adapter in &model.adapters {
                data.push(Model::new(format!("{}:{adapter}", model.name)));
            }
        }
    }
    let list = Models {
        object: "list",
        data,
    };
    let body = serde_json::to_vec(&list).unwrap_or_default();
    let mut answer = text(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    answer.headers.insert(header::CONTENT_TYPE, json);
    answer
}

#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

impl Model {
    fn new(id: String) -> Self {
        Self {
            id,
            object: "model",
            owned_by: "papayayard",
        }
    }
}

/// The path below a service; `None` where the name stands there encoded.
fn below_service<'a>(path: &'a str, service: &str) -> Option<&'a str> {
    let rest = path.strip_prefix("/services/")?.strip_prefix(service)?;
    match rest {
        "" => Some("/"),
        rest => rest.starts_with('/').then_some(rest),
    }
}

fn encoded_name() -> Refusal {
    Refusal::not_run(
        Kind::BadRequest,
        "the service's name stands encoded in the path; send it as it is, followed by `/`",
    )
}

fn request_id(host: &id::Host) -> id::Request {
    id::Request::from(format!("{host}-{:016x}", rand::random::<u64>()))
}

fn write(answer: Answer, response: &mut Response) {
    response.status_code(answer.status);
    for (name, value) in &answer.headers {
        response.headers_mut().append(name, value.clone());
    }
    match answer.body {
        Body::Whole(body) => {
            response.body(body);
        }
        Body::Events(pump) => {
            let events = stream::unfold(pump, |mut pump| async move {
                let events = pump.next().await?;
                Some((events, pump))
            });
            response.stream(events.map(Ok::<_, Infallible>));
        }
    }
}

fn refuse(refusal: &Refusal, response: &mut Response) {
    let status = StatusCode::from_u16(refusal.kind.status());
    response.status_code(status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some(seconds) = refusal.retry_after_seconds() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response.body(refusal.json());
}

fn text(status: StatusCode, body: Vec<u8>) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    Answer {
        status,
        headers,
        body: Body::Whole(body.into()),
    }
}
