//! A caller for the contract tests.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use papayayard_stand_in::{caller, engine};
use papayayard_wire::completion::Chunk;
use serde_json::{Value, json};

/// Model time runs this much faster in tests.
pub(crate) const TIME_SCALE: f64 = 20.0;
/// Bound on what a test waits for.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// An answer as far as it came.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// Whether the body broke off.
    pub(crate) broken: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    pub(crate) fn text(&self) -> String {
        self.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.body.ends_with(b"data: [DONE]\n\n")
    }

    /// Positions, numbers of tokens and texts of a stream's chunks.
    pub(crate) fn chunks(&self) -> Vec<(u64, u32, String)> {
        let body = std::str::from_utf8(&self.body).expect("the body is UTF-8");
        body.lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter(|data| *data != "[DONE]")
            .map(|data| {
                let chunk: Chunk<'_> = serde_json::from_str(data).expect("the event is a chunk");
                let text = chunk.choices[0].text.as_deref().unwrap_or_default();
                (chunk.position, chunk.tokens, text.to_owned())
            })
            .collect()
    }

    pub(crate) fn stream_text(&self) -> String {
        self.chunks().into_iter().map(|(_, _, text)| text).collect()
    }
}

/// Sends a request; none where no answer came.
pub(crate) async fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let method = method.parse().expect("the method is well formed");
    let response = caller::begin(address, method, path, headers, body).await?;
    let (parts, mut incoming) = response.into_parts();
    let mut answer = Answer {
        status: parts.status,
        headers: parts.headers,
        body: Vec::new(),
        broken: false,
    };
    while let Some(frame) = incoming.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => answer.body.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => answer.broken = true,
        }
    }
    Some(answer)
}

/// Body of a completion.
pub(crate) fn completion(prompt: &str, max_tokens: u32, stream: bool) -> Value {
    json!({ "model": "match", "prompt": prompt, "max_tokens": max_tokens, "stream": stream })
}

/// Sends a completion.
pub(crate) async fn complete(
    address: SocketAddr,
    headers: &[(&str, &str)],
    body: &Value,
) -> Option<Answer> {
    send(
        "POST",
        address,
        "/v1/completions",
        headers,
        &body.to_string(),
    )
    .await
}

/// Starts an engine for a test.
pub(crate) async fn engine(options: engine::Options) -> engine::Running {
    let options = engine::Options {
        time_scale: TIME_SCALE,
        ..options
    };
    engine::start(options).await.expect("the engine starts")
}

/// Tries until there is a value, and fails where that takes too long.
pub(crate) async fn eventually<Value, Try, Attempt>(mut attempt: Try) -> Value
where
    Try: FnMut() -> Attempt,
    Attempt: Future<Output = Option<Value>>,
{
    let tries = async {
        loop {
            if let Some(value) = attempt().await {
                return value;
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE, tries)
        .await
        .expect("the awaited state comes within the test's patience")
}
