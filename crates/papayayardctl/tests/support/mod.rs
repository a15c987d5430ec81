//! Processes of a whole deployment, for tests.
//!
//! Every process binds port 0 and prints the address that it got; a test
//! waits for that line. A process ends with the value that stands for it.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::env;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use papayayard::operators;
pub(crate) use papayayard_stand_in::caller::{Reply, send};
use rustix::process::{Pid, Signal, kill_process};

/// Longest wait for anything that a test waits for.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Key of the test's client account.
pub(crate) const KEY: &str = "test-key";

/// A running process, killed when dropped.
pub(crate) struct Process {
    child: Child,
    output: BufReader<ChildStdout>,
}

impl Process {
    /// Starts a program with arguments.
    pub(crate) fn start(program: &PathBuf, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| panic!("{} starts: {error}", program.display()));
        let output = BufReader::new(child.stdout.take().expect("standard output is piped"));
        Self { child, output }
    }

    /// Waits for the next line of output that starts with `prefix`.
    pub(crate) fn line(&mut self, prefix: &str) -> String {
        loop {
            let mut line = String::new();
            let length = self.output.read_line(&mut line).expect("output is text");
            assert!(length > 0, "the process ended before it printed {prefix:?}");
            if let Some(rest) = line.strip_prefix(prefix) {
                return rest.trim().to_owned();
            }
        }
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id fits");
        let pid = Pid::from_raw(id).expect("a process id is not 0");
        kill_process(pid, signal).expect("the process is there");
    }

    /// Waits for the end; answers whether the exit code was 0.
    pub(crate) fn wait(&mut self) -> bool {
        self.child.wait().expect("the process is ours").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A host's process and its addresses.
pub(crate) struct Host {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

impl Host {
    /// Starts a host from the text of its settings.
    pub(crate) fn start(name: &str, settings: &str) -> Self {
        let path = unique_path(name);
        let mut file = fs::File::create(&path).expect("the settings can be written");
        file.write_all(settings.as_bytes())
            .expect("the settings can be written");
        let text = path.to_str().expect("the path is text").to_owned();
        let mut process = Process::start(&router(), &["--settings", &text]);
        let line = process.line("listening on ");
        fs::remove_file(&path).expect("the settings were there");
        let address = |key: &str| -> SocketAddr {
            let prefix = format!("{key}=");
            line.split(' ')
                .find_map(|part| part.strip_prefix(prefix.as_str()))
                .and_then(|text| text.parse().ok())
                .unwrap_or_else(|| panic!("{key} stands in {line:?}"))
        };
        Self {
            callers: address("callers"),
            peers: address("peers"),
            operators: address("operators"),
            process,
        }
    }

    /// What operators see.
    pub(crate) async fn status(&self) -> Option<operators::Status> {
        let reply = send(self.operators, Method::GET, "/status", &[], "").await?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Waits until what operators see meets a condition.
    pub(crate) async fn wait_until<Condition>(&self, condition: Condition) -> operators::Status
    where
        Condition: Fn(&operators::Status) -> bool,
    {
        self.wait_within(PATIENCE, condition).await
    }

    /// Waits at most `limit` until what operators see meets a condition.
    pub(crate) async fn wait_within<Condition>(
        &self,
        limit: Duration,
        condition: Condition,
    ) -> operators::Status
    where
        Condition: Fn(&operators::Status) -> bool,
    {
        let start = Instant::now();
        let mut ticks = tokio::time::interval(Duration::from_millis(10));
        loop {
            ticks.tick().await;
            let status = self.status().await;
            if let Some(status) = status.as_ref().filter(|status| condition(status)) {
                return status.clone();
            }
            assert!(start.elapsed() < limit, "last status: {status:?}");
        }
    }
}

/// Settings of a host, with short periods.
pub(crate) fn settings(name: &str, zone: &str, platform: &str, peers: &[SocketAddr]) -> String {
    let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
    format!(
        "host: {name}
zone: {zone}
listen: {{callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0'}}
platform: {{log: '{platform}', directory: '{platform}'}}
peers: {peers:?}
peer_secret: a-secret-for-tests-only
periods: {{directory_ms: 50, report_ms: 50, events_ms: 50, peers_ms: 100}}
stop_grace_ms: 100
"
    )
}

/// A document with one model service and one plain service.
pub(crate) fn document(replicas: usize) -> String {
    let digest = blake3::hash(KEY.as_bytes()).to_hex();
    format!(
        "format: 1
block: {{unit: byte, size: 2048}}
accounts:
  - id: studio
    key_digests: [{digest}]
    requests_per_second: 1000
    open_requests: 1000
services:
  - name: match-llm
    replicas: {replicas}
    model:
      name: match
      version: v1
      loads_at_once: 3
      fencing: checked
      first_token_ms: 1400
  - name: studio-app
    replicas: 1
    plain:
      timeout_ms: 2000
      routes:
        - {{method: GET, path: /schedule, idempotent: true}}
        - {{method: POST, path: /bookings, idempotent: false}}
"
    )
}

/// A stand-in's process and its address.
pub(crate) struct StandIn {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
}

/// Starts a stand-in: `papayayardctl stand-in KIND ...`.
pub(crate) fn stand_in(kind: &str, arguments: &[&str]) -> StandIn {
    let mut all = vec!["stand-in", kind, "--listen", "127.0.0.1:0"];
    all.extend_from_slice(arguments);
    let mut process = Process::start(&control(), &all);
    let address = process.line("listening on ");
    StandIn {
        address: address.parse().expect("an address is printed"),
        process,
    }
}

/// Runs `papayayardctl` to its end; answers its output.
pub(crate) fn run(arguments: &[&str]) -> std::process::Output {
    Command::new(control())
        .args(arguments)
        .output()
        .expect("papayayardctl runs")
}

/// Publishes a document.
pub(crate) fn publish(platform: SocketAddr, document: &str) {
    let path = unique_path("document");
    fs::write(&path, document).expect("the document can be written");
    let text = path.to_str().expect("the path is text");
    let output = run(&["publish", "--platform", &platform.to_string(), text]);
    assert!(
        output.status.success(),
        "publish: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    fs::remove_file(&path).expect("the document was there");
}

/// A path for a file of this test's own.
fn unique_path(name: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    env::temp_dir().join(format!("papayayard-test-{process}-{count}-{name}.yaml"))
}

/// Path of `papayayardctl`.
fn control() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_papayayardctl"))
}

/// Path of `papayayard`, which is built into the same directory.
fn router() -> PathBuf {
    control().with_file_name("papayayard")
}

/// Sends a request of the test's client account.
pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Option<Reply> {
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    send(address, method, path, &headers, body).await
}
