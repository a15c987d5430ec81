//! `papayayardctl load`: an open loop of callers that check every answer.
//!
//! With `--direct`, the same plan goes straight to the endpoints first, and
//! the figures of both are set against each other.

pub(crate) mod caller;
#[cfg(test)]
mod caller_test;
pub(crate) mod process;
mod report;
pub(crate) mod run;
pub(crate) mod tally;
#[cfg(test)]
mod tally_test;

use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use snafu::Snafu;
use tokio::sync::watch;

use crate::format::Format;
use crate::workload::{self, Planned};

use report::{Comparison, Report};

/// Arguments of `load`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Shows this help
    help: bool,
    /// Host to send to; may be repeated
    #[options(no_short, meta = "ADDRESS")]
    target: Vec<SocketAddr>,
    /// Endpoint to send the same load to, for comparison; may be repeated
    #[options(no_short, meta = "ADDRESS")]
    direct: Vec<SocketAddr>,
    /// Control address of an endpoint whose ledger is compared; may be repeated
    #[options(no_short, meta = "ADDRESS")]
    ledger: Vec<SocketAddr>,
    /// Bearer key of an account; may be repeated
    #[options(no_short, meta = "KEY")]
    key: Vec<String>,
    /// Model
    #[options(no_short, meta = "NAME", default = "match")]
    model: String,
    /// Requests per second, without the burst of class-start
    #[options(no_short, meta = "N")]
    rate: Option<f64>,
    /// Seconds
    #[options(no_short, meta = "SECONDS")]
    duration: Option<f64>,
    /// plain, class-start, handover or mixed-day
    #[options(no_short, meta = "NAME", default = "plain")]
    workload: workload::Name,
    /// Tokens of an answer
    #[options(no_short, meta = "N")]
    max_tokens: Option<u32>,
    /// Tokens of a prompt of the plain workload
    #[options(no_short, meta = "N", default = "256")]
    prompt_tokens: usize,
    /// Seed of the workload
    #[options(no_short, meta = "N", default = "1")]
    seed: u64,
    /// Factor by which the run is faster than its plan
    #[options(no_short, meta = "FACTOR", default = "1")]
    time_scale: f64,
    /// Seconds that a caller waits at most
    #[options(no_short, meta = "SECONDS", default = "60")]
    patience: f64,
    /// Process whose processor time and memory are reported
    #[options(no_short, meta = "PID")]
    pid: Option<u32>,
    /// table or json
    #[options(no_short, meta = "FORMAT", default = "table")]
    format: Format,
}

/// Why a load does not run.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// There is nowhere to send to.
    #[snafu(display("there is no address to send to; give --target or --direct"))]
    NoTarget,
    /// A number cannot be used.
    #[snafu(display("--{option} must be above zero; correct it"))]
    NotPositive {
        /// Name of the option.
        option: &'static str,
    },
    /// A ledger cannot be read.
    #[snafu(display("{reason}"))]
    Ledger {
        /// What was reported.
        reason: String,
    },
    /// The process cannot be read.
    #[snafu(display("process {pid} cannot be read: {reason}; check --pid"))]
    Process {
        /// Identifier of the process.
        pid: u32,
        /// What was reported.
        reason: String,
    },
    /// Answers were lost, cut or wrong, or work was duplicated.
    #[snafu(display("{lost} requests were lost and {duplicated} duplicated; see the report"))]
    Faulty {
        /// Lost.
        lost: u64,
        /// Duplicated.
        duplicated: u64,
    },
}

/// Runs the load and prints its figures.
pub(crate) async fn run(arguments: Arguments) -> Result<(), Error> {
    check(&arguments)?;
    let plan = workload::plan(&workload::Options {
        name: arguments.workload,
        seed: arguments.seed,
        rate: arguments.rate.unwrap_or(arguments.workload.rate()),
        duration: arguments
            .duration
            .map_or(arguments.workload.duration(), Duration::from_secs_f64),
        max_tokens: arguments.max_tokens,
        prompt_tokens: arguments.prompt_tokens,
        shift: false,
    });
    let direct = phase(&arguments, &plan, "direct", &arguments.direct).await?;
    let target = phase(&arguments, &plan, "target", &arguments.target).await?;
    let comparison = Comparison::new(direct, target);
    report::print(arguments.format, &comparison);
    judge(&comparison)
}

fn check(arguments: &Arguments) -> Result<(), Error> {
    if arguments.target.is_empty() && arguments.direct.is_empty() {
        return Err(Error::NoTarget);
    }
    let options = [
        ("rate", arguments.rate.unwrap_or(1.0)),
        ("duration", arguments.duration.unwrap_or(1.0)),
        ("time-scale", arguments.time_scale),
        ("patience", arguments.patience),
    ];
    for (option, value) in options {
        if !value.is_finite() || value <= 0.0 {
            return Err(Error::NotPositive { option });
        }
    }
    Ok(())
}

async fn phase(
    arguments: &Arguments,
    plan: &[Planned],
    name: &'static str,
    targets: &[SocketAddr],
) -> Result<Option<Report>, Error> {
    if targets.is_empty() {
        return Ok(None);
    }
    let options = run::Options {
        targets: watch::Sender::new(targets.to_vec()).subscribe(),
        keys: if arguments.key.is_empty() {
            vec![String::new()]
        } else {
            arguments.key.clone()
        },
        model: arguments.model.clone(),
        time_scale: arguments.time_scale,
        patience: Duration::from_secs_f64(arguments.patience),
        names: name == "direct",
    };
    let ledgers = |reason| Error::Ledger { reason };
    let earlier = run::ledgers(&arguments.ledger).await.map_err(ledgers)?;
    let before = observe(arguments)?;
    let results = run::run(&options, plan, |_| {}).await;
    let after = observe(arguments)?;
    let ledgers = run::ledgers(&arguments.ledger).await.map_err(ledgers)?;
    let new: Vec<_> = ledgers
        .into_iter()
        .zip(earlier)
        .flat_map(|(ledger, earlier)| ledger.into_iter().skip(earlier.len()))
        .collect();
    let audit = (!arguments.ledger.is_empty()).then(|| results.tally.audit(&new));
    let mut report = Report::new(arguments, name, &results, audit);
    report.process = before
        .zip(after)
        .map(|(before, after)| report::Process::new(before, after, report.tokens));
    Ok(Some(report))
}

fn observe(arguments: &Arguments) -> Result<Option<process::Usage>, Error> {
    let Some(pid) = arguments.pid else {
        return Ok(None);
    };
    let usage = process::usage(pid).map_err(|error| Error::Process {
        pid,
        reason: error.to_string(),
    })?;
    Ok(Some(usage))
}

fn judge(comparison: &Comparison) -> Result<(), Error> {
    let reports = || {
        [&comparison.direct, &comparison.target]
            .into_iter()
            .flatten()
    };
    let audits = || reports().filter_map(|report| report.audit);
    let lost = reports().map(|report| report.lost).sum::<u64>()
        + audits().map(|audit| audit.never_run).sum::<u64>();
    let duplicated = audits()
        .map(|audit| audit.ran_twice + audit.said_not_run)
        .sum();
    if lost + duplicated > 0 {
        return Err(Error::Faulty { lost, duplicated });
    }
    Ok(())
}
