//! The pages name every metric, refusal, key and exit code that exists.

mod support;

use std::fs;
use std::path::{Path, PathBuf};

use http::Method;
use papayayard::settings::{self, Settings};
use papayayard_document::document::Document;
use papayayard_document::fault::Fault;
use papayayard_routing::retry;
use papayayard_wire::refusal::Kind;
use rstest::rstest;
use support::Bed;

const METRICS: &str = include_str!("../../../docs/METRICS.md");
const CONFIGURATION: &str = include_str!("../../../docs/CONFIGURATION.md");
const SOURCE: &str = include_str!("../src/metrics.rs");
const ROUTES_SOURCE: &str = include_str!("../../papayayard_gateway/src/metrics.rs");
const ROUTES_SETTINGS: &str = include_str!("../../papayayard_gateway/src/settings.rs");
const DOCUMENT: &str = include_str!("../../../examples/fjordtakt.yaml");
const SETTINGS: &str = include_str!("fixtures/settings.yaml");

fn quoted(page: &str, word: &str) -> bool {
    page.contains(&format!("`{word}`"))
}

#[test]
fn every_instrument_is_listed() {
    let names = SOURCE
        .split('"')
        .chain(ROUTES_SOURCE.split('"'))
        .filter(|text| text.starts_with("papayayard_"));
    let missing: Vec<&str> = names.filter(|name| !METRICS.contains(*name)).collect();
    assert!(missing.is_empty(), "not in docs/METRICS.md: {missing:?}");
}

#[test]
fn every_setting_of_routes_is_listed() {
    let keys = ROUTES_SETTINGS.split("reader, &mut fields, \"").skip(1);
    let keys = keys.filter_map(|rest| rest.split('"').next());
    let missing: Vec<&str> = keys
        .filter(|key| !quoted(CONFIGURATION, &format!("bounds.{key}")))
        .collect();
    assert!(
        missing.is_empty(),
        "not in docs/CONFIGURATION.md: {missing:?}"
    );
}

#[test]
fn every_refusal_is_listed() {
    let names = Kind::ALL.map(Kind::as_str);
    let missing: Vec<&str> = names
        .into_iter()
        .filter(|name| !quoted(METRICS, name))
        .collect();
    assert!(missing.is_empty(), "not in docs/METRICS.md: {missing:?}");
}

#[test]
fn every_reason_of_a_retry_is_listed() {
    let names = retry::Reason::ALL.map(retry::Reason::as_str);
    let missing: Vec<&str> = names
        .into_iter()
        .filter(|name| !quoted(METRICS, name))
        .collect();
    assert!(missing.is_empty(), "not in docs/METRICS.md: {missing:?}");
}

/// Names as Prometheus reads them.
#[tokio::test]
async fn names_that_a_host_exports_are_listed() {
    let bed = Bed::start(1, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    let reply = support::complete(&host, "hello", 4).await;
    reply.expect("the exchange is whole").complete_stream();
    let callers = host.addresses().callers;
    let _ = support::call(callers, Method::GET, "/nowhere", &[], "").await;
    let reply = support::call(callers, Method::GET, "/metrics", &[], "").await;
    let text = reply.expect("the exchange is whole").text();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: Vec<&str> = types.filter_map(|line| line.split(' ').next()).collect();
    assert!(names.len() >= 3, "{text}");
    let missing: Vec<&&str> = names.iter().filter(|name| !quoted(METRICS, name)).collect();
    assert!(missing.is_empty(), "not in docs/METRICS.md: {missing:?}");
}

/// The remedy of an unknown key lists the known ones.
fn known_keys(faults: &[Fault]) -> Vec<&str> {
    let remedies = faults
        .iter()
        .filter_map(|fault| fault.remedy.split_once("one of: "));
    remedies.flat_map(|(_, keys)| keys.split(", ")).collect()
}

/// Adds an unknown key to every mapping of a text.
fn with_unknown_keys(text: &str) -> String {
    let mut lines = Vec::new();
    for line in text.lines() {
        lines.push(line.to_owned());
        let indent = line.len() - line.trim_start_matches([' ', '-']).len();
        if line.contains(": ") && !line.contains('{') && !line.trim_start().starts_with('#') {
            lines.push(format!("{}unknown-{}: 1", " ".repeat(indent), lines.len()));
        }
        if let Some(start) = line.strip_suffix(" }") {
            lines.pop();
            lines.push(format!("{start}, unknown: 1 }}"));
        }
    }
    lines.join("\n")
}

#[rstest]
#[case::document(Document::parse(&with_unknown_keys(DOCUMENT)).expect_err("unknown keys"), 18)]
#[case::settings(Settings::parse(&with_unknown_keys(SETTINGS)).expect_err("unknown keys"), 20)]
fn every_key_is_described(#[case] faults: Vec<Fault>, #[case] least: usize) {
    let mut keys = known_keys(&faults);
    keys.sort_unstable();
    keys.dedup();
    assert!(keys.len() >= least, "{keys:?} of {faults:#?}");
    keys.retain(|key| !quoted(CONFIGURATION, key));
    assert!(keys.is_empty(), "not in docs/CONFIGURATION.md: {keys:?}");
}

fn grouped(number: u128) -> String {
    let digits = number.to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

#[test]
fn defaults_are_stated() {
    let limits = settings::Limits::default();
    let periods = settings::Periods::default();
    let bytes = |bytes: usize| u128::try_from(bytes).expect("a length fits");
    let defaults = [
        ("body_bytes", bytes(limits.body_bytes)),
        ("header_bytes", bytes(limits.header_bytes)),
        ("send_ms", limits.send.as_millis()),
        ("directory_ms", periods.directory.as_millis()),
        ("report_ms", periods.report.as_millis()),
        ("events_ms", periods.events.as_millis()),
        ("peers_ms", periods.peers.as_millis()),
        ("platform_timeout_ms", periods.platform_timeout.as_millis()),
    ];
    for (key, default) in defaults {
        let row = format!("| `{key}` |");
        let row = CONFIGURATION.lines().find(|line| line.starts_with(&row));
        let row = row.unwrap_or_else(|| panic!("no row of {key}"));
        let stated = format!("default {} |", grouped(default));
        assert!(
            row.ends_with(&stated),
            "{row:?} does not end with {stated:?}"
        );
    }
}

/// All pages of a directory and of those below it.
fn pages(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("there are pages");
    let paths = entries.map(|entry| entry.expect("the directory can be read").path());
    let below = |path: PathBuf| {
        if path.is_dir() {
            pages(&path)
        } else {
            vec![path]
        }
    };
    paths.flat_map(below).collect()
}

#[test]
fn links_lead_to_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let pages = pages(&root.join("docs")).into_iter();
    let front = ["README.md", "CONTRIBUTING.md"].map(|name| root.join(name));
    let mut missing = Vec::new();
    for page in pages.chain(front) {
        let text = fs::read_to_string(&page).expect("a page is text");
        let parts = text.split("](").skip(1);
        let links = parts.filter_map(|rest| rest.split(')').next());
        for link in links.filter(|link| !link.starts_with("http")) {
            let target = page.with_file_name(link.split('#').next().unwrap_or(link));
            if !target.exists() {
                missing.push(format!("{} in {}", link, page.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}
