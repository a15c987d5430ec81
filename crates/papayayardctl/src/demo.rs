//! `papayayardctl demo`: the whole product in one process, and a burst.
//!
//! Three hosts route between stand-in engines over loopback sockets. Each
//! policy runs on a fresh cluster with the same plan, in real time.

mod cluster;
mod deployment;
mod fault;
mod summary;

use std::io;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::{Duration, Instant};

use gumdrop::Options;
use papayayard_routing::choice;
use snafu::Snafu;
use tokio::time;

use crate::format::Format;
use crate::load;
use crate::load::tally::Tally;
use crate::plot;
use crate::workload::{self, Planned};

use cluster::Cluster;
use deployment::Deployment;
use summary::Summary;

/// Zones where no workload is named.
const DEFAULT_ZONES: usize = 2;
/// Zones of the users' deployments.
const ALL_ZONES: usize = 3;
/// Time that a caller waits at most.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two lines of progress.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);

/// Arguments of `demo`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Shows this help
    help: bool,
    /// round-robin, least-loaded, rendezvous, papayayard, oracle or all
    #[options(no_short, meta = "NAME", default = "papayayard")]
    policy: Policies,
    /// class-start, handover or mixed-day, in three zones; else class-start in two
    #[options(no_short, meta = "NAME")]
    workload: Option<workload::Name>,
    /// Requests per second, without the burst of class-start
    #[options(no_short, meta = "N")]
    rate: Option<f64>,
    /// Seconds
    #[options(no_short, meta = "SECONDS")]
    duration: Option<f64>,
    /// Seed of the workload
    #[options(no_short, meta = "N", default = "1")]
    seed: u64,
    /// none, engine-crash, herd-restart, hot-shift, events-lost, zone-cut or killer
    #[options(no_short, meta = "NAME", default = "none")]
    fault: fault::Name,
    /// Draws times to first token and hit rates
    #[options(no_short, meta = "FILE.svg")]
    plot: Option<PathBuf>,
    /// table or json
    #[options(no_short, meta = "FORMAT", default = "table")]
    format: Format,
}

/// Policies to run.
#[derive(Clone, Debug)]
struct Policies(Vec<choice::Name>);

impl FromStr for Policies {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text == "all" {
            return Ok(Self(choice::Name::ALL.to_vec()));
        }
        let found = choice::Name::ALL
            .into_iter()
            .find(|name| name.as_str() == text);
        found.map(|name| Self(vec![name])).ok_or_else(|| {
            "choose round-robin, least-loaded, rendezvous, papayayard, oracle or all".to_owned()
        })
    }
}

/// Why a demo fails.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// A stand-in cannot start.
    #[snafu(
        context(false),
        display("a stand-in cannot start: {source}; check that loopback ports are free")
    )]
    StandIn {
        /// What the system reported.
        source: io::Error,
    },
    /// A host cannot start.
    #[snafu(context(false), display("a host cannot start: {source}"))]
    Host {
        /// What the host reported.
        source: papayayard::host::Error,
    },
    /// The embedded document or settings have faults.
    #[snafu(display("the embedded settings cannot be used: {reason}"))]
    Settings {
        /// The faults.
        reason: String,
    },
    /// The document cannot be published.
    #[snafu(display("the document cannot be published: {reason}"))]
    Publish {
        /// What was reported.
        reason: String,
    },
    /// The hosts do not see the engines.
    #[snafu(display("the hosts do not see all engines in time; run it with RUST_LOG=info"))]
    NotReady,
    /// The plot cannot be drawn.
    #[snafu(display("the plot cannot be drawn: {reason}; check the path"))]
    Plot {
        /// What was reported.
        reason: String,
    },
    /// Requests were lost or duplicated.
    #[snafu(display("{lost} requests were lost and {duplicated} duplicated; see the table"))]
    Faulty {
        /// Lost.
        lost: u64,
        /// Duplicated.
        duplicated: u64,
    },
}

/// Runs the demo and prints its figures.
pub(crate) async fn run(arguments: Arguments) -> Result<(), Error> {
    let scenario = Scenario::new(&arguments);
    let mut summaries = Vec::new();
    for policy in &arguments.policy.0 {
        summaries.push(scenario.run(*policy).await?);
    }
    print(&arguments, &summaries);
    if let Some(path) = &arguments.plot {
        let series = summaries.iter().map(|summary| plot::Series {
            name: summary.policy,
            first_tokens_ms: summary.first_tokens_ms(),
            hit_rate: summary.prefix_hit_rate,
        });
        let series: Vec<_> = series.collect();
        plot::draw(path, &series).map_err(|reason| Error::Plot { reason })?;
        eprintln!("drew {}", path.display());
    }
    let lost = summaries.iter().map(|summary| summary.lost).sum();
    let duplicated = summaries.iter().map(|summary| summary.duplicated).sum();
    if lost + duplicated > 0 {
        return Err(Error::Faulty { lost, duplicated });
    }
    Ok(())
}

/// What is run for each policy.
struct Scenario {
    workload: workload::Name,
    zones: usize,
    seed: u64,
    fault: fault::Name,
    fault_at: Duration,
    plan: Vec<Planned>,
}

impl Scenario {
    fn new(arguments: &Arguments) -> Self {
        let name = arguments.workload.unwrap_or(workload::Name::ClassStart);
        let mut options = workload::Options::new(name, arguments.seed);
        options.shift = arguments.fault == fault::Name::HotShift;
        options.rate = arguments.rate.unwrap_or(options.rate);
        if let Some(seconds) = arguments.duration {
            options.duration = Duration::from_secs_f64(seconds.clamp(1.0, MAX_SECONDS));
        }
        let fault_at = options.duration / 2;
        let mut plan = workload::plan(&options);
        arguments.fault.change(&mut plan, fault_at);
        Self {
            workload: name,
            zones: arguments.workload.map_or(DEFAULT_ZONES, |_| ALL_ZONES),
            seed: arguments.seed,
            fault: arguments.fault,
            fault_at,
            plan,
        }
    }

    async fn run(&self, policy: choice::Name) -> Result<Summary, Error> {
        let deployment = Deployment::of(self.workload, self.zones)
            .map_err(|reason| Error::Settings { reason })?;
        eprintln!(
            "{}: workload {}, seed {}, fault {}, {} engines in {} zones, 3 hosts, real time",
            policy.as_str(),
            self.workload.as_str(),
            self.seed,
            self.fault.as_str(),
            deployment.engines_per_zone * deployment.zones.len(),
            deployment.zones.len()
        );
        let mut cluster = Cluster::start(deployment, policy, self.seed).await?;
        let results = self.send(policy, &mut cluster).await?;
        let audit = results.tally.audit(&cluster.ledger());
        cluster.stop().await;
        let distinct = workload::distinct_tokens(&self.plan);
        let fault_at = (self.fault != fault::Name::None).then_some(self.fault_at);
        Ok(Summary::new(
            policy.as_str(),
            &results,
            &audit,
            distinct,
            fault_at,
        ))
    }

    async fn send(
        &self,
        policy: choice::Name,
        cluster: &mut Cluster,
    ) -> Result<load::run::Results, Error> {
        let options = load::run::Options {
            targets: cluster.targets(),
            keys: cluster.deployment().keys.clone(),
            model: cluster.deployment().model.to_string(),
            time_scale: 1.0,
            patience: PATIENCE,
            names: false,
        };
        let mut progress = Progress::new(policy.as_str(), self.plan.len());
        let running = load::run::run(&options, &self.plan, |tally| progress.show(tally));
        let fault = async {
            time::sleep(self.fault_at).await;
            self.fault.begin(cluster).await
        };
        let (results, fault) = tokio::join!(running, fault);
        fault?;
        Ok(results)
    }
}

/// Longest run, so that a demo ends within a minute.
const MAX_SECONDS: f64 = 40.0;

/// Shows how far a run is.
struct Progress {
    policy: &'static str,
    total: usize,
    shown: Instant,
}

impl Progress {
    fn new(policy: &'static str, total: usize) -> Self {
        Self {
            policy,
            total,
            shown: Instant::now(),
        }
    }

    fn show(&mut self, tally: &Tally) {
        let last = tally.requests == self.total as u64;
        if !last && self.shown.elapsed() < PROGRESS_PERIOD {
            return;
        }
        self.shown = Instant::now();
        eprintln!(
            "{}: {} of {} requests ended, {} complete, {} refused, {} lost",
            self.policy,
            tally.requests,
            self.total,
            tally.complete,
            tally.refused_total(),
            tally.lost()
        );
    }
}

fn print(arguments: &Arguments, summaries: &[Summary]) {
    let text = match (arguments.format, summaries) {
        (Format::Table, _) => summary::table(summaries),
        (Format::Json, [summary]) => json(summary),
        (Format::Json, _) => json(&summaries),
    };
    println!("{}", text.trim_end());
}

fn json<Value>(value: &Value) -> String
where
    Value: serde::Serialize,
{
    serde_json::to_string(value).unwrap_or_default()
}
