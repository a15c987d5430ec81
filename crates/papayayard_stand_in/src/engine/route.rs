//! The routes of an engine.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use hyper::body::Incoming;
use hyper::{Request, Response};
use papayayard_wire::{block, completion, header, id};
use tokio::sync::mpsc;

use super::batch::Job;
use super::core::{Core, Submission};
use super::fault;
use super::stream::{Piece, Shape, Stream};
use super::{Fault, Shared};
use crate::answer::{self, Body, Rejection};
use crate::generate::{self, Digest};
use crate::ledger::{Entry, Ledger, Outcome};
use crate::server::{Dropped, Handler};

/// Tokens of an answer where the request does not say.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Request id of an answer that bears another request's.
const WRONG_ID: &str = "another-request";

pub(crate) struct Public(pub(crate) Arc<Shared>);
pub(crate) struct Control(pub(crate) Arc<Shared>);

impl Handler for Public {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        let shared = &self.0;
        shared.gate.pass().await;
        shared.check_cut(&request)?;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/completions") => shared.complete(request, false).await,
            (&Method::POST, "/v1/chat/completions") => shared.complete(request, true).await,
            (&Method::GET, "/report") => {
                let now = shared.clock.now();
                Ok(answer::ok(&shared.lock().report(now)))
            }
            (&Method::GET, "/events") => {
                let after = answer::query(&request, "after").and_then(|text| text.parse().ok());
                let now = shared.clock.now();
                Ok(answer::ok(&shared.lock().events(after.unwrap_or(0), now)))
            }
            (&Method::POST, "/orders") => shared.take_order(request).await,
            _ => shared.observe(request).await,
        }
    }
}

impl Handler for Control {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Dropped> {
        self.0.observe(request).await
    }
}

impl Shared {
    async fn observe(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Dropped> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ledger") => {
                let entries = self.lock().ledger().to_vec();
                Ok(answer::ok(&Ledger { entries }))
            }
            (&Method::POST, "/control") => {
                let bytes = answer::read(request).await?;
                let done = answer::parse::<Fault>(&bytes).map(|fault| self.apply(fault));
                Ok(answer::done(done))
            }
            _ => Ok(answer::no_route()),
        }
    }

    async fn take_order(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Dropped> {
        let bytes = answer::read(request).await?;
        let order = match answer::parse(&bytes) {
            Ok(order) => order,
            Err(rejection) => return Ok(rejection.answer()),
        };
        Ok(match self.order(order) {
            Ok(()) => answer::ok(&serde_json::json!({})),
            Err(refusal) => Rejection::new(StatusCode::CONFLICT, refusal.message()).answer(),
        })
    }

    fn check_cut(&self, request: &Request<Incoming>) -> Result<(), Dropped> {
        let core = self.lock();
        let host = answer::header_text(request, header::HOST_ID);
        let cut = &core.faults.cut;
        if core.down || host.is_some_and(|host| cut.iter().any(|cut| cut.as_str() == host)) {
            return Err(Dropped);
        }
        Ok(())
    }

    async fn complete(
        self: &Arc<Self>,
        request: Request<Incoming>,
        chat: bool,
    ) -> Result<Response<Body>, Dropped> {
        let head = Head::read(&request);
        let bytes = answer::read(request).await?;
        let (accepted, incarnation) = {
            let mut core = self.lock();
            let accepted = accept(&mut core, &head, &bytes, chat, self.clock.now());
            (accepted, core.incarnation)
        };
        self.work.notify_one();
        let mut response = match accepted {
            Err(rejection) => {
                let mut response = rejection.answer();
                let no = HeaderValue::from_static("no");
                response.headers_mut().insert(header::RAN, no);
                response
            }
            Ok(accepted) => accepted.answer().await?,
        };
        mark(&mut response, &head, incarnation);
        Ok(response)
    }
}

/// What the headers of a request say.
struct Head {
    request: Option<String>,
    key: Option<String>,
    salt: block::Salt,
    block_bytes: Option<usize>,
    priority: u8,
    version: Option<String>,
}

impl Head {
    fn read(request: &Request<Incoming>) -> Self {
        let text = |name| answer::header_text(request, name);
        let salt = text(header::CACHE_SALT).and_then(|text| u64::from_str_radix(text, 16).ok());
        Self {
            request: text(header::REQUEST_ID).map(str::to_owned),
            key: text(header::IDEMPOTENCY_KEY).map(str::to_owned),
            salt: block::Salt(salt.unwrap_or(0)),
            block_bytes: text(header::BLOCK_SIZE).and_then(|text| text.parse().ok()),
            priority: text(header::PRIORITY)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            version: text(header::WEIGHTS_VERSION).map(str::to_owned),
        }
    }
}

/// A request that the engine runs.
struct Accepted {
    shape: Shape,
    pieces: mpsc::Receiver<Piece>,
    from: u64,
    stream: bool,
    lost: bool,
    wrong_id: bool,
    /// Status of another request's refusal that is sent instead.
    stale: Option<StatusCode>,
}

impl Accepted {
    async fn answer(mut self) -> Result<Response<Body>, Dropped> {
        if let Some(status) = self.stale {
            self.wait().await?;
            return Ok(stale_refusal(status));
        }
        let mut response = if self.stream && !self.lost {
            let stream = Stream::new(self.shape, self.pieces);
            let mut response = Response::new(Body::Completion(stream));
            let kind = HeaderValue::from_static("text/event-stream");
            response
                .headers_mut()
                .insert(http::header::CONTENT_TYPE, kind);
            response
        } else {
            let cached_tokens = self.wait().await?;
            if self.lost {
                return Err(Dropped);
            }
            answer::ok(&self.shape.whole(self.from, cached_tokens))
        };
        if self.wrong_id {
            let id = HeaderValue::from_static(WRONG_ID);
            response.headers_mut().insert(header::REQUEST_ID, id);
        }
        Ok(response)
    }

    async fn wait(&mut self) -> Result<u64, Dropped> {
        loop {
            match self.pieces.recv().await {
                Some(Piece::Token(_)) => {}
                Some(Piece::End { cached_tokens }) => return Ok(cached_tokens),
                None => return Err(Dropped),
            }
        }
    }
}

/// Submits a request, or says why not.
fn accept(
    core: &mut Core,
    head: &Head,
    bytes: &Bytes,
    chat: bool,
    now: std::time::Duration,
) -> Result<Accepted, Rejection> {
    if core.down {
        return Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    let request: completion::Request<'_> = serde_json::from_slice(bytes).map_err(|fault| {
        let message = format!("the body is not a completion request: {fault}; correct it");
        Rejection::new(StatusCode::BAD_REQUEST, &message)
    })?;
    let model = request.model.split(':').next().unwrap_or_default();
    if model != core.options.model.as_str() {
        let message = "the engine has no such model; send the request elsewhere";
        return Err(Rejection::new(StatusCode::NOT_FOUND, message));
    }
    let digest = Digest::of_prompt(&request);
    let max_tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let until = u64::from(max_tokens);
    let from = start_position(&request, digest)?;
    let prompt_tokens = generate::tokens(request.prompt_len());
    let submission = Submission {
        job: job(core, head, &request, from, until),
        entry: entry(core, head, digest, chat, from, prompt_tokens, now),
        version: head.version.clone(),
        kills: kills(core.faults.marker.as_deref(), &request),
    };
    let pieces = core
        .submit(submission, now)
        .map_err(|refusal| Rejection::new(StatusCode::SERVICE_UNAVAILABLE, refusal.message()))?;
    let faults = &mut core.faults;
    let wrong_id = fault::take(&mut faults.wrong_ids);
    let stale = fault::take(&mut faults.stale_refusals).then_some(faults.stale_status);
    let cut = request.stream && fault::take(&mut faults.cut_streams);
    let id = head.request.clone().unwrap_or_else(|| "cmpl".to_owned());
    let shape = Shape {
        id: if wrong_id { WRONG_ID.to_owned() } else { id },
        model: request.model.into_owned(),
        chat,
        digest,
        prompt_tokens,
        until,
        cut_at: cut.then_some(from + faults.cut_after),
    };
    Ok(Accepted {
        shape,
        pieces,
        from,
        stream: request.stream,
        lost: fault::take(&mut faults.lose_answers),
        wrong_id,
        stale: stale.and_then(|status| StatusCode::from_u16(status).ok()),
    })
}

/// The refusal of another request.
fn stale_refusal(status: StatusCode) -> Response<Body> {
    let message = "the engine refuses another request; send it elsewhere";
    let mut response = Rejection::new(status, message).answer();
    let headers = response.headers_mut();
    headers.insert(header::RAN, HeaderValue::from_static("no"));
    headers.insert(header::REQUEST_ID, HeaderValue::from_static(WRONG_ID));
    response
}

fn start_position(request: &completion::Request<'_>, digest: Digest) -> Result<u64, Rejection> {
    let Some(continuation) = &request.continuation else {
        return Ok(0);
    };
    if continuation.text == generate::text(digest, 0, continuation.position) {
        return Ok(continuation.position);
    }
    let message = "the continuation is not this answer's start; send the text of its tokens";
    Err(Rejection::new(StatusCode::UNPROCESSABLE_ENTITY, message))
}

fn job(core: &Core, head: &Head, request: &completion::Request<'_>, from: u64, until: u64) -> Job {
    let block_bytes = head.block_bytes.unwrap_or(core.options.block_bytes).max(1);
    let mut chain = block::Chain::new(head.salt, block_bytes);
    request.for_each_segment(|segment| chain.push(segment));
    Job {
        keys: chain.finish(),
        block_tokens: generate::tokens(block_bytes),
        prompt_tokens: generate::tokens(request.prompt_len()) + from,
        priority: head.priority,
        from,
        until,
    }
}

fn entry(
    core: &Core,
    head: &Head,
    digest: Digest,
    chat: bool,
    from: u64,
    prompt_tokens: u64,
    now: std::time::Duration,
) -> Entry {
    let route = if chat {
        "POST /v1/chat/completions"
    } else {
        "POST /v1/completions"
    };
    Entry {
        request: head.request.as_deref().map(id::Request::from),
        key: head.key.as_deref().map(id::Key::from),
        route: route.to_owned(),
        digest,
        incarnation: core.incarnation,
        version: Some(core.version.clone()),
        salt: Some(head.salt),
        started_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        from,
        tokens: 0,
        prompt_tokens: prompt_tokens + from,
        cached_tokens: 0,
        outcome: Outcome::Running,
    }
}

fn kills(marker: Option<&str>, request: &completion::Request<'_>) -> bool {
    let Some(marker) = marker else {
        return false;
    };
    let mut found = false;
    request.for_each_segment(|segment| {
        found |= std::str::from_utf8(segment).is_ok_and(|text| text.contains(marker));
    });
    found
}

fn mark(response: &mut Response<Body>, head: &Head, incarnation: id::Incarnation) {
    let headers = response.headers_mut();
    let name = HeaderName::from_static(header::INCARNATION);
    headers.insert(name, HeaderValue::from(incarnation.0));
    let id = head.request.as_deref();
    if let Some(Ok(id)) = id.map(HeaderValue::from_str) {
        let name = HeaderName::from_static(header::REQUEST_ID);
        headers.entry(name).or_insert(id);
    }
}
