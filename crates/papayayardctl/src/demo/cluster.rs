//! A platform, engines and hosts in this process, over loopback sockets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard::host;
use papayayard::operators::Status;
use papayayard::settings::Settings;
use papayayard_document::fault;
use papayayard_platform::http::Client as Platform;
use papayayard_platform::service::Log;
use papayayard_routing::choice::{GroundTruth, Name, Observation};
use papayayard_stand_in::ledger::Entry;
use papayayard_stand_in::{client, engine, platform};
use papayayard_wire::{block, configuration, directory, id, log};
use serde_json::value;
use tokio::sync::watch;
use tokio::time;

use super::Error;
use super::deployment::{self, Deployment};

/// Entry hosts of a demo.
const HOSTS: usize = 3;
/// Pause between two looks at a host that starts.
const READY_PAUSE: Duration = Duration::from_millis(20);
/// Time that hosts may take to see all engines.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Bound on a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Everything that runs.
pub(crate) struct Cluster {
    deployment: Deployment,
    policy: Name,
    platform: platform::Running,
    engines: Vec<engine::Running>,
    hosts: Vec<Host>,
    generation: usize,
    targets: watch::Sender<Vec<SocketAddr>>,
}

struct Host {
    id: id::Host,
    zone: id::Zone,
    running: host::Running,
}

/// The true state of all engines, for the oracle.
#[derive(Clone)]
pub(crate) struct Sights(Arc<HashMap<id::Endpoint, engine::Truth>>);

impl GroundTruth for Sights {
    fn observe(
        &self,
        endpoint: &id::Endpoint,
        keys: &[block::Key],
        _: Duration,
    ) -> Option<Observation> {
        let truth = self.0.get(endpoint)?;
        if !truth.is_ready() {
            return None;
        }
        let report = truth.report();
        let rate = f64::from(report.prefill_rate);
        let backlog = Duration::from_secs_f64(to_f64(report.pending_tokens) / rate);
        Some(Observation {
            cached_blocks: truth.cached(keys),
            wait: backlog,
        })
    }
}

impl Cluster {
    /// Starts everything and waits until each host sees every engine.
    pub(crate) async fn start(
        deployment: Deployment,
        policy: Name,
        seed: u64,
    ) -> Result<Self, Error> {
        let platform = platform::start(platform::Options::default()).await?;
        let mut engines = Vec::new();
        for zone in &deployment.zones {
            for index in 0..deployment.engines_per_zone {
                let mut options = deployment.engine(zone, index, seed);
                options.platform = Some(platform.address());
                engines.push(engine::start(options).await?);
            }
        }
        publish(platform.address(), deployment.text).await?;
        let mut cluster = Self {
            deployment,
            policy,
            platform,
            engines,
            hosts: Vec::new(),
            generation: 0,
            targets: watch::Sender::new(Vec::new()),
        };
        cluster.start_hosts().await?;
        Ok(cluster)
    }

    /// Addresses for callers.
    pub(crate) fn targets(&self) -> watch::Receiver<Vec<SocketAddr>> {
        self.targets.subscribe()
    }

    /// The deployment.
    pub(crate) const fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// The engines.
    pub(crate) fn engines(&self) -> &[engine::Running] {
        &self.engines
    }

    /// What really ran on all engines.
    pub(crate) fn ledger(&self) -> Vec<Entry> {
        let engines = self.engines.iter();
        engines.flat_map(engine::Running::ledger).collect()
    }

    /// Replaces all hosts at once by hosts that know nothing.
    pub(crate) async fn restart_hosts(&mut self) -> Result<(), Error> {
        let old = std::mem::take(&mut self.hosts);
        for host in &old {
            self.platform.remove(host.id.as_str());
        }
        self.start_hosts().await?;
        for host in old {
            tokio::spawn(host.running.stop());
        }
        Ok(())
    }

    /// Cuts a zone off from the others and from the platform.
    pub(crate) fn cut_zone(&self, zone: &id::Zone) {
        let (inside, outside): (Vec<&Host>, Vec<&Host>) =
            self.hosts.iter().partition(|host| host.zone == *zone);
        let ids = |hosts: &[&Host]| hosts.iter().map(|host| host.id.clone()).collect();
        for engine in &self.engines {
            let hosts = if engine.zone() == *zone {
                ids(&outside)
            } else {
                ids(&inside)
            };
            engine.fault(engine::Fault::Cut { hosts });
        }
        let hosts = ids(&inside);
        self.platform.fault(platform::Fault::Cut { hosts });
    }

    /// Stops the hosts as planned.
    pub(crate) async fn stop(self) {
        let stops = self.hosts.into_iter().map(|host| host.running.stop());
        futures_util::future::join_all(stops).await;
    }

    async fn start_hosts(&mut self) -> Result<(), Error> {
        self.generation += 1;
        for index in 0..HOSTS {
            let zone = self.deployment.zones[index % self.deployment.zones.len()].clone();
            let id = id::Host::from(format!("entry-{}-{index}", self.generation));
            let platform = self.platform.address();
            let text = deployment::settings(id.as_str(), &zone, platform);
            let mut settings = Settings::parse(&text).map_err(|faults| Error::Settings {
                reason: fault::lines(&faults),
            })?;
            settings.policy = self.policy;
            let running = host::start(settings, self.sights())?;
            self.platform.put_host(directory::Host {
                id: id.clone(),
                zone: zone.clone(),
                peer: running.addresses().peers,
                state: directory::State::Live,
            });
            self.hosts.push(Host { id, zone, running });
        }
        self.wait_ready().await?;
        let hosts = self.hosts.iter();
        let targets = hosts.map(|host| host.running.addresses().callers);
        self.targets.send_replace(targets.collect());
        Ok(())
    }

    fn sights(&self) -> Sights {
        let engines = self.engines.iter();
        let truths = engines.map(|engine| (engine.truth().endpoint(), engine.truth()));
        Sights(Arc::new(truths.collect()))
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        let ready = async {
            for host in &self.hosts {
                let client = client::Client::new(host.running.addresses().operators);
                while !self.sees_all(client.get("/status").await.ok()) {
                    time::sleep(READY_PAUSE).await;
                }
            }
        };
        let ready = time::timeout(READY_TIMEOUT, ready).await;
        ready.map_err(|_| Error::NotReady)
    }

    fn sees_all(&self, status: Option<Status>) -> bool {
        let Some(status) = status else {
            return false;
        };
        let endpoints = status.endpoints.iter();
        endpoints.filter(|endpoint| endpoint.eligible).count() == self.engines.len()
    }
}

/// Appends the first configuration document.
async fn publish(platform: SocketAddr, text: &str) -> Result<(), Error> {
    let proposal = configuration::Proposal {
        format: configuration::FORMAT,
        base: id::Revision(0),
        revision: id::Revision(1),
        digest: blake3::hash(text.as_bytes()).to_hex().to_string(),
        document: text.to_owned(),
    };
    let payload = value::to_raw_value(&proposal).map_err(|error| Error::Publish {
        reason: error.to_string(),
    })?;
    let batch = log::Batch {
        records: vec![log::Draft {
            id: "demo-1".into(),
            payload,
        }],
    };
    let client = Platform::new(platform, PLATFORM_TIMEOUT);
    let appended = client.append(&configuration::STREAM.into(), &batch).await;
    appended.map(drop).map_err(|error| Error::Publish {
        reason: error.to_string(),
    })
}

#[expect(clippy::cast_precision_loss)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
