//! The users' deployments, from the example documents.

use std::fmt::Write;
use std::net::SocketAddr;

use papayayard_document::document::{Document, Kind};
use papayayard_document::fault;
use papayayard_stand_in::engine;
use papayayard_wire::id;

use crate::workload;

const FJORDTAKT: &str = include_str!("../../../../examples/fjordtakt.yaml");
const HALVORSEN: &str = include_str!("../../../../examples/halvorsen.yaml");
/// Availability zones of each deployment.
const ZONES: usize = 3;

/// One deployment.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    /// Text of the configuration document.
    pub(crate) text: &'static str,
    /// Availability zones.
    pub(crate) zones: Vec<id::Zone>,
    /// Engines in each zone.
    pub(crate) engines_per_zone: usize,
    /// Bearer keys of the accounts, in the document's order.
    pub(crate) keys: Vec<String>,
    /// Model service.
    pub(crate) service: id::Service,
    /// Public name of the model.
    pub(crate) model: id::Model,
    /// Version of the weights.
    pub(crate) version: id::Version,
    /// Length of a block in bytes.
    pub(crate) block_bytes: usize,
}

impl Deployment {
    /// The deployment of a workload, in the first `zones` of its zones.
    pub(crate) fn of(workload: workload::Name, zones: usize) -> Result<Self, String> {
        let (text, prefix) = match workload {
            workload::Name::Handover => (HALVORSEN, "sound-west"),
            _ => (FJORDTAKT, "bergen"),
        };
        let document = Document::parse(text).map_err(|faults| fault::lines(&faults))?;
        let service = document.services.iter().find_map(|service| {
            let Kind::Model(model) = &service.kind else {
                return None;
            };
            Some((service.name.clone(), model.clone()))
        });
        let (service, model) = service.ok_or("the document has no model service; add one")?;
        let accounts = document.accounts.iter();
        let names = ["a", "b", "c"].iter().take(zones.clamp(1, ZONES));
        Ok(Self {
            text,
            zones: names
                .map(|name| format!("{prefix}-{name}").into())
                .collect(),
            engines_per_zone: workload.replicas() / ZONES,
            keys: accounts
                .map(|account| format!("{}-example-key", account.id))
                .collect(),
            service,
            model: model.name,
            version: model.version,
            block_bytes: document.block.bytes(),
        })
    }

    /// Options of an engine of a zone.
    pub(crate) fn engine(&self, zone: &id::Zone, index: usize, seed: u64) -> engine::Options {
        engine::Options {
            endpoint: format!("{}-{zone}-{index}", self.service).into(),
            service: self.service.clone(),
            zone: zone.clone(),
            model: self.model.clone(),
            version: self.version.clone(),
            block_bytes: self.block_bytes,
            seed: seed.wrapping_add(index as u64),
            ..engine::Options::default()
        }
    }
}

/// Settings of a host in YAML; the bench sets the policy.
pub(crate) fn settings(name: &str, zone: &id::Zone, platform: SocketAddr) -> String {
    let mut text = format!("host: {name}\nzone: {zone}\nlisten:\n");
    for listener in ["callers", "peers", "operators"] {
        let _ = writeln!(text, "  {listener}: 127.0.0.1:0");
    }
    let _ = writeln!(
        text,
        "platform:\n  log: {platform}\n  directory: {platform}"
    );
    let _ = writeln!(text, "peer_secret: demo-secret-of-this-process");
    let _ = writeln!(text, "stop_grace_ms: 500");
    text
}
