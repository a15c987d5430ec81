//! A deployment inside the test: stand-ins and hosts over loopback sockets.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use papayayard::{host, operators, settings};
use papayayard_platform::http::Client as Platform;
use papayayard_platform::service::Log;
use papayayard_stand_in::ledger::Entry;
use papayayard_stand_in::{caller, engine, generate, platform, service};
use papayayard_wire::configuration::{self, Proposal};
use papayayard_wire::refusal::Body as Refusal;
use papayayard_wire::{completion, id, log};
use serde_json::Value;
use serde_json::value::RawValue;

/// Longest wait for anything that a test waits for.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);
/// Bearer key of the first client account.
pub(crate) const KEY: &str = "key-of-studio";
/// Bearer key of the second client account.
pub(crate) const OTHER_KEY: &str = "key-of-terminal";

/// Stand-ins of a deployment.
pub(crate) struct Bed {
    pub(crate) platform: platform::Running,
    pub(crate) engines: Vec<engine::Running>,
    pub(crate) services: Vec<service::Running>,
}

impl Bed {
    /// Starts a platform, model engines and plain services.
    pub(crate) async fn start(engines: usize, services: usize) -> Self {
        Self::with(engines, services, |_| {}).await
    }

    /// Starts a platform, model engines with changed options, and services.
    pub(crate) async fn with<Change>(engines: usize, services: usize, change: Change) -> Self
    where
        Change: Fn(&mut engine::Options),
    {
        let platform = platform::start(platform::Options::default())
            .await
            .expect("the platform starts");
        let mut bed = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
        };
        for number in 0..engines {
            let mut options = engine::Options {
                endpoint: format!("engine-{number}").into(),
                version: "v1".into(),
                platform: Some(bed.platform.address()),
                report_lag: Duration::ZERO,
                event_delay: Duration::ZERO,
                ..engine::Options::default()
            };
            change(&mut options);
            let engine = engine::start(options).await.expect("the engine starts");
            bed.engines.push(engine);
        }
        for number in 0..services {
            let options = service::Options {
                endpoint: format!("app-{number}").into(),
                platform: Some(bed.platform.address()),
                ..service::Options::default()
            };
            let service = service::start(options).await.expect("the service starts");
            bed.services.push(service);
        }
        bed
    }

    /// Settings of a host of this deployment.
    pub(crate) fn settings(
        &self,
        name: &str,
        zone: &str,
        peers: &[SocketAddr],
    ) -> settings::Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        settings::Settings {
            host: name.into(),
            zone: zone.into(),
            listen: settings::Listen {
                callers: any,
                peers: any,
                operators: any,
            },
            platform: settings::Platform {
                log: self.platform.address(),
                directory: self.platform.address(),
            },
            peers: peers.to_vec(),
            peer_secret: settings::Secret("secret".to_owned()),
            policy: papayayard_routing::choice::Name::Papayayard,
            limits: settings::Limits::default(),
            periods: settings::Periods {
                directory: Duration::from_millis(20),
                report: Duration::from_millis(20),
                events: Duration::from_millis(20),
                peers: Duration::from_millis(50),
                ..settings::Periods::default()
            },
            stop_grace: Duration::from_millis(50),
        }
    }

    /// Starts a host.
    pub(crate) fn host(&self, name: &str, zone: &str, peers: &[SocketAddr]) -> host::Running {
        host::start(self.settings(name, zone, peers), host::Blind).expect("the host starts")
    }

    /// Starts a host and waits until it serves and can reach all engines.
    pub(crate) async fn ready_host(&self, name: &str) -> host::Running {
        let host = self.host(name, "bergen-a", &[]);
        let engines = self.engines.len();
        wait_until(&host, |status| {
            status.endpoints.iter().filter(|e| e.eligible).count() == engines
                && status.state == operators::State::Serving
        })
        .await;
        host
    }

    /// Publishes a document that replaces revision `base`.
    pub(crate) async fn publish(&self, base: u64, document: &str) {
        publish(self.platform.address(), base, document).await;
    }

    /// What all engines really ran.
    pub(crate) fn engine_ledger(&self) -> Vec<Entry> {
        let engines = self.engines.iter();
        engines.flat_map(engine::Running::ledger).collect()
    }

    /// What all plain services really ran.
    pub(crate) fn service_ledger(&self) -> Vec<Entry> {
        let services = self.services.iter();
        services.flat_map(service::Running::ledger).collect()
    }
}

/// Appends a proposal to the configuration stream.
pub(crate) async fn publish(platform: SocketAddr, base: u64, document: &str) {
    let proposal = Proposal {
        format: configuration::FORMAT,
        base: id::Revision(base),
        revision: id::Revision(base + 1),
        digest: blake3::hash(document.as_bytes()).to_hex().to_string(),
        document: document.to_owned(),
    };
    let text = serde_json::to_string(&proposal).expect("a proposal is JSON");
    let batch = log::Batch {
        records: vec![log::Draft {
            id: format!("test-{base}-{}", proposal.digest).into(),
            payload: RawValue::from_string(text).expect("a proposal is JSON"),
        }],
    };
    Platform::new(platform, PATIENCE)
        .append(&configuration::STREAM.into(), &batch)
        .await
        .expect("the platform takes the proposal");
}

/// A document with one model service and one plain service.
pub(crate) fn document(version: &str, replicas: usize) -> String {
    let digest = blake3::hash(KEY.as_bytes()).to_hex();
    let other = blake3::hash(OTHER_KEY.as_bytes()).to_hex();
    format!(
        "format: 1
block: {{unit: token, size: 2048}}
accounts:
  - id: studio
    key_digests: [{digest}]
    requests_per_second: 1000
    open_requests: 1000
  - id: terminal
    key_digests: [{other}]
    requests_per_second: 1000
    open_requests: 1000
services:
  - name: match-llm
    replicas: {replicas}
    model:
      name: match
      version: {version}
      loads_at_once: 3
      fencing: checked
      first_token_ms: 1400
  - name: studio-app
    replicas: 1
    plain:
      timeout_ms: 1000
      routes:
        - {{method: GET, path: /schedule, idempotent: true}}
        - {{method: POST, path: /bookings, idempotent: false}}
"
    )
}

/// Waits until what operators see meets a condition.
pub(crate) async fn wait_until<Condition>(
    host: &host::Running,
    condition: Condition,
) -> operators::Status
where
    Condition: Fn(&operators::Status) -> bool,
{
    let start = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    let operators = host.addresses().operators;
    loop {
        ticks.tick().await;
        let reply = call(operators, Method::GET, "/status", &[], "").await;
        let status: Option<operators::Status> =
            reply.and_then(|reply| serde_json::from_slice(&reply.body).ok());
        if let Some(status) = status.as_ref().filter(|status| condition(status)) {
            return status.clone();
        }
        assert!(start.elapsed() < PATIENCE, "last status: {status:?}");
    }
}

/// An answer that was read to its end.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    /// The body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as a refusal.
    pub(crate) fn refusal(&self) -> Refusal {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {}", self.text()))
    }

    /// Checks that the body is a stream that is complete and in order, and
    /// answers its text.
    pub(crate) fn complete_stream(&self) -> String {
        let text = self.text();
        assert_eq!(self.status, StatusCode::OK, "{text}");
        assert!(
            text.ends_with("data: [DONE]\n\n"),
            "the end mark is missing: {text}"
        );
        let mut position = 0;
        let mut joined = String::new();
        for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if data == "[DONE]" {
                continue;
            }
            let chunk: completion::Chunk<'_> =
                serde_json::from_str(data).unwrap_or_else(|error| panic!("{error}: {data}"));
            assert_eq!(chunk.position, position, "a gap or repeat: {text}");
            position += u64::from(chunk.tokens);
            for choice in &chunk.choices {
                joined.push_str(choice.text.as_deref().unwrap_or_default());
            }
        }
        joined
    }
}

/// Text that any engine generates for a prompt.
pub(crate) fn expected(prompt: &str, tokens: u64) -> String {
    let body = body(prompt, tokens, true);
    let request: completion::Request<'_> =
        serde_json::from_str(&body).expect("the body is a request");
    generate::text(generate::Digest::of_prompt(&request), 0, tokens)
}

/// Body of a completion request.
pub(crate) fn body(prompt: &str, tokens: u64, stream: bool) -> String {
    let body = serde_json::json!({
        "model": "match",
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    });
    body.to_string()
}

/// Asks for a streamed completion and reads it to its end.
pub(crate) async fn complete(host: &host::Running, prompt: &str, tokens: u64) -> Option<Reply> {
    let bearer = bearer(KEY);
    let headers = [("authorization", bearer.as_str())];
    let body = body(prompt, tokens, true);
    let callers = host.addresses().callers;
    call(callers, Method::POST, "/v1/completions", &headers, &body).await
}

/// Calls a plain service.
pub(crate) async fn service(
    host: &host::Running,
    method: Method,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Option<Reply> {
    let bearer = bearer(KEY);
    let mut headers = vec![("authorization", bearer.as_str())];
    if let Some(key) = key {
        headers.push(("idempotency-key", key));
    }
    let path = format!("/services/studio-app{path}");
    call(host.addresses().callers, method, &path, &headers, body).await
}

/// Value of the `Authorization` header.
pub(crate) fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Sends a request and reads the answer to its end; `None` where it broke.
pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Reply> {
    let reply = caller::send(address, method, path, headers, body).await?;
    Some(Reply {
        status: reply.status,
        headers: reply.headers,
        body: reply.body,
    })
}

/// A field of a JSON answer.
pub(crate) fn field<'a>(value: &'a Value, name: &str) -> &'a Value {
    value
        .get(name)
        .unwrap_or_else(|| panic!("{name} stands in {value}"))
}
