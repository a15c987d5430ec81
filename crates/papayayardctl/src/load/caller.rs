//! One caller: sends a request and checks every piece of its answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use papayayard_stand_in::generate::{self, Digest};
use papayayard_wire::refusal::{Body, Kind, Ran};
use papayayard_wire::{completion, header as names, id};
use serde::Serialize;

/// Most bytes of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Client that callers share.
pub(crate) type Client = legacy::Client<HttpConnector, Full<Bytes>>;

/// Makes the client that callers share.
pub(crate) fn client() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new()).build(connector)
}

/// What to send.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Bearer key.
    pub(crate) key: String,
    /// Model.
    pub(crate) model: String,
    /// Prompt.
    pub(crate) prompt: String,
    /// Tokens of the answer.
    pub(crate) max_tokens: u32,
    /// Identifier to send; hosts set their own.
    pub(crate) request: Option<String>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole expected answer came.
    Complete,
    /// An error came in place of an answer.
    Refused(Option<Kind>, Ran),
    /// The stream ended in an error event after some tokens.
    Failed(Option<Kind>),
    /// The answer stopped without a word.
    Cut,
    /// No answer came.
    Lost,
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The answer is not the expected one.
    Wrong(&'static str),
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// How it ended.
    pub(crate) end: End,
    /// Identifier that the answer bears.
    pub(crate) request: Option<id::Request>,
    /// Time to the first token.
    pub(crate) first_token: Option<Duration>,
    /// Times between tokens.
    pub(crate) gaps: Vec<Duration>,
    /// Tokens received.
    pub(crate) tokens: u64,
    /// Token counts that the answer reports.
    pub(crate) usage: Option<completion::Usage>,
}

impl Seen {
    /// A caller that gave up.
    pub(crate) const fn lost() -> Self {
        Self {
            end: End::Lost,
            request: None,
            first_token: None,
            gaps: Vec::new(),
            tokens: 0,
            usage: None,
        }
    }
}

#[derive(Serialize)]
struct Asked<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

/// Sends a streamed completion and reads it to its end.
pub(crate) async fn call(
    client: &Client,
    target: SocketAddr,
    call: &Call,
    scheduled: Instant,
) -> Seen {
    let mut check = Check::new(call, scheduled);
    let Some(request) = build(target, call) else {
        return check.end(End::Wrong("the request cannot be built"));
    };
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) => {
            log::debug!(error:? = error; "no answer");
            let unreachable = error.is_connect();
            return check.end(if unreachable {
                End::Unreachable
            } else {
                End::Lost
            });
        }
    };
    check.request = response
        .headers()
        .get(names::REQUEST_ID)
        .and_then(|id| id.to_str().ok())
        .map(id::Request::from);
    if !response.status().is_success() {
        let end = refusal(response).await;
        return check.end(end);
    }
    let end = check.read(response.into_body()).await;
    check.end(end)
}

fn build(target: SocketAddr, call: &Call) -> Option<Request<Full<Bytes>>> {
    let asked = Asked {
        model: &call.model,
        prompt: &call.prompt,
        max_tokens: call.max_tokens,
        stream: true,
    };
    let mut builder = Request::post(format!("http://{target}/v1/completions"))
        .header(header::AUTHORIZATION, format!("Bearer {}", call.key))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(id) = &call.request {
        builder = builder.header(names::REQUEST_ID, HeaderValue::from_str(id).ok()?);
    }
    let body = serde_json::to_vec(&asked).ok()?;
    builder.body(Full::new(Bytes::from(body))).ok()
}

async fn refusal(response: Response<Incoming>) -> End {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let Ok(body) = body.collect().await else {
        return End::Lost;
    };
    match serde_json::from_slice::<Body>(&body.to_bytes()) {
        Ok(body) => End::Refused(Some(body.error.kind), body.error.ran),
        Err(_) => End::Refused(None, Ran::Unknown),
    }
}

/// Compares a stream with the answer that the prompt has.
pub(super) struct Check {
    scheduled: Instant,
    digest: Digest,
    until: u64,
    last: Option<Instant>,
    request: Option<id::Request>,
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
    position: u64,
    usage: Option<completion::Usage>,
}

impl Check {
    pub(super) fn new(call: &Call, scheduled: Instant) -> Self {
        Self {
            scheduled,
            digest: Digest::of_body(call.prompt.as_bytes()),
            until: u64::from(call.max_tokens),
            last: None,
            request: None,
            first_token: None,
            gaps: Vec::with_capacity(call.max_tokens as usize),
            position: 0,
            usage: None,
        }
    }

    fn end(self, end: End) -> Seen {
        Seen {
            end,
            request: self.request,
            first_token: self.first_token,
            gaps: self.gaps,
            tokens: self.position,
            usage: self.usage,
        }
    }

    async fn read(&mut self, mut body: Incoming) -> End {
        let mut buffer = BytesMut::new();
        let mut done = false;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return if done { End::Complete } else { End::Cut };
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while let Some(line) = next_line(&mut buffer) {
                if done && !line.is_empty() {
                    return End::Wrong("there is more after the end mark");
                }
                match self.line(&line) {
                    Ok(ended) => done |= ended,
                    Err(end) => return end,
                }
            }
        }
        if !done {
            return End::Cut;
        }
        if self.position == self.until {
            End::Complete
        } else {
            End::Wrong("the answer is short")
        }
    }

    /// Checks one line; true where it is the end mark.
    pub(super) fn line(&mut self, line: &[u8]) -> Result<bool, End> {
        let Some(data) = line.strip_prefix(b"data: ") else {
            return Ok(false);
        };
        if data == b"[DONE]" {
            return Ok(true);
        }
        if let Ok(chunk) = serde_json::from_slice::<completion::Chunk<'_>>(data) {
            return self.chunk(&chunk).map(|()| false);
        }
        Err(match serde_json::from_slice::<Body>(data) {
            Ok(body) if self.position == 0 => End::Refused(Some(body.error.kind), body.error.ran),
            Ok(body) => End::Failed(Some(body.error.kind)),
            Err(_) => End::Wrong("an event is not a chunk"),
        })
    }

    fn chunk(&mut self, chunk: &completion::Chunk<'_>) -> Result<(), End> {
        if chunk.position != self.position {
            return Err(End::Wrong("a position is out of order"));
        }
        let until = self.position + u64::from(chunk.tokens);
        let choice = chunk.choices.first();
        let text = choice.and_then(|choice| choice.text.as_deref());
        if text.unwrap_or_default() != generate::text(self.digest, self.position, until) {
            return Err(End::Wrong("the text is another's"));
        }
        self.position = until;
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        if chunk.tokens > 0 {
            self.time();
        }
        Ok(())
    }

    fn time(&mut self) {
        let now = Instant::now();
        match self.last {
            None => self.first_token = Some(now - self.scheduled),
            Some(last) => self.gaps.push(now - last),
        }
        self.last = Some(now);
    }
}

fn next_line(buffer: &mut BytesMut) -> Option<BytesMut> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let mut line = buffer.split_to(end + 1);
    line.truncate(end);
    if line.last() == Some(&b'\r') {
        line.truncate(end - 1);
    }
    Some(line)
}
