//! `papayayardctl status`: what each host has in force and which endpoints it
//! sees.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future;
use gumdrop::Options;
use http::Uri;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use papayayard::operators::{Endpoint, State, Status};
use papayayard_wire::directory;
use serde::Serialize;
use tokio::time;

use crate::address::Address;
use crate::failure::Failure;
use crate::format::Format;

/// Bound on one host's answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Most bytes of one host's answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Characters of a digest in the table.
const DIGEST_CHARS: usize = 12;

/// Arguments of `status`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Shows this help
    help: bool,
    /// Operators' listener of a host; may be given again
    #[options(no_short, required, meta = "ADDRESS")]
    host: Vec<Address>,
    /// `table` or `json`
    #[options(no_short, meta = "FORMAT", default = "table")]
    format: Format,
}

/// What one host answered.
#[derive(Debug, Serialize)]
pub(crate) struct Answer {
    /// Address that was asked.
    pub(crate) address: SocketAddr,
    /// Its state, or why there is none.
    #[serde(flatten, serialize_with = "outcome")]
    pub(crate) outcome: Result<Status, String>,
}

/// Asks the hosts and prints their answers.
pub(crate) async fn run(arguments: Arguments) -> Result<(), Failure> {
    let answers = ask(&arguments.host).await;
    match arguments.format {
        Format::Table => print!("{}", table(&answers)),
        Format::Json => println!(
            "{}",
            serde_json::to_string_pretty(&answers).unwrap_or_default()
        ),
    }
    let silent = answers.iter().filter(|answer| answer.outcome.is_err());
    match silent.count() {
        0 => Ok(()),
        count => Err(Failure::Silent { count }),
    }
}

/// Asks all hosts at once.
pub(crate) async fn ask(hosts: &[Address]) -> Vec<Answer> {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let answers = hosts.iter().map(|address| async {
        let exchange = time::timeout(TIMEOUT, get(&client, address.0)).await;
        Answer {
            address: address.0,
            outcome: exchange.unwrap_or_else(|_| Err("no answer in time".to_owned())),
        }
    });
    future::join_all(answers).await
}

async fn get(
    client: &Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
) -> Result<Status, String> {
    let uri: Uri = format!("http://{address}/status")
        .parse()
        .map_err(|error: http::uri::InvalidUri| error.to_string())?;
    let response = client.get(uri).await.map_err(|error| error.to_string())?;
    let code = response.status();
    if !code.is_success() {
        return Err(format!("status code {code}"));
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}

fn outcome<Writer>(
    outcome: &Result<Status, String>,
    writer: Writer,
) -> Result<Writer::Ok, Writer::Error>
where
    Writer: serde::Serializer,
{
    #[derive(Serialize)]
    struct Silent<'a> {
        error: &'a str,
    }
    match outcome {
        Ok(status) => status.serialize(writer),
        Err(error) => Silent { error }.serialize(writer),
    }
}

fn table(answers: &[Answer]) -> String {
    let mut rows = vec![cells([
        "ADDRESS", "HOST", "ZONE", "STATE", "REVISION", "DIGEST", "OPEN",
    ])];
    let mut services = vec![cells([
        "HOST",
        "SERVICE",
        "ENDPOINTS",
        "ELIGIBLE",
        "LEAVING",
        "IN FLIGHT",
        "VERSIONS",
    ])];
    for answer in answers {
        let address = answer.address.to_string();
        match &answer.outcome {
            Err(error) => rows.push(vec![address, format!("no answer: {error}")]),
            Ok(status) => {
                rows.push(host_row(address, status));
                services.extend(service_rows(status));
            }
        }
    }
    let mut text = aligned(&rows);
    if services.len() > 1 {
        text.push('\n');
        text.push_str(&aligned(&services));
    }
    if let Some(note) = disagreement(answers) {
        let _ = writeln!(text, "\n{note}");
    }
    text
}

fn host_row(address: String, status: &Status) -> Vec<String> {
    let state = match status.state {
        State::Starting => "starting",
        State::Serving => "serving",
        State::Stopping => "stopping",
    };
    vec![
        address,
        status.host.to_string(),
        status.zone.to_string(),
        state.to_owned(),
        status.revision.0.to_string(),
        status.digest.chars().take(DIGEST_CHARS).collect(),
        status.open_requests.to_string(),
    ]
}

fn service_rows(status: &Status) -> Vec<Vec<String>> {
    let mut services: BTreeMap<&str, Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in &status.endpoints {
        let service = services.entry(endpoint.service.as_str()).or_default();
        service.push(endpoint);
    }
    let row = |(service, endpoints): (&str, Vec<&Endpoint>)| {
        let count = |wanted: fn(&Endpoint) -> bool| {
            let found = endpoints.iter().filter(|endpoint| wanted(endpoint));
            found.count().to_string()
        };
        let in_flight: u32 = endpoints.iter().map(|endpoint| endpoint.in_flight).sum();
        vec![
            status.host.to_string(),
            service.to_owned(),
            endpoints.len().to_string(),
            count(|endpoint| endpoint.eligible),
            count(|endpoint| endpoint.plan == directory::State::Leaving),
            in_flight.to_string(),
            versions(&endpoints),
        ]
    };
    services.into_iter().map(row).collect()
}

fn versions(endpoints: &[&Endpoint]) -> String {
    let mut versions: BTreeMap<&str, usize> = BTreeMap::new();
    for endpoint in endpoints {
        let version = endpoint
            .version
            .as_ref()
            .map_or("?", |version| version.as_str());
        *versions.entry(version).or_default() += 1;
    }
    let parts: Vec<String> = versions
        .into_iter()
        .map(|(version, count)| format!("{version}:{count}"))
        .collect();
    parts.join(" ")
}

/// Says which revisions are in force, where they differ.
fn disagreement(answers: &[Answer]) -> Option<String> {
    let mut revisions: BTreeMap<u64, usize> = BTreeMap::new();
    for status in answers
        .iter()
        .filter_map(|answer| answer.outcome.as_ref().ok())
    {
        *revisions.entry(status.revision.0).or_default() += 1;
    }
    if revisions.len() < 2 {
        return None;
    }
    let parts: Vec<String> = revisions
        .into_iter()
        .map(|(revision, count)| format!("{revision} on {count} host(s)"))
        .collect();
    Some(format!(
        "revisions differ: {}; ask again in a few seconds",
        parts.join(", ")
    ))
}

fn cells<const N: usize>(words: [&str; N]) -> Vec<String> {
    words.map(str::to_owned).to_vec()
}

fn aligned(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows
            .iter()
            .filter(|row| row.len() > 2)
            .filter_map(|row| row.get(column));
        cells.map(String::len).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:width$}  ");
        }
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}
