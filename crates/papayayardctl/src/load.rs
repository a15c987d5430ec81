//! `papayayardctl load`: an open loop of callers that check every answer.
//!
//! With `--direct`, the same plan goes straight to the endpoints first, and
//! the figures of both are set against each other.

pub(crate) mod caller;
pub(crate) mod process;
pub(crate) mod run;
pub(crate) mod tally;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::watch;

use crate::format::Format;
use crate::workload::{self, Planned};

use tally::{Audit, Percentiles};

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

/// Figures of one phase.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    phase: &'static str,
    workload: &'static str,
    seed: u64,
    time_scale: f64,
    requests: u64,
    complete: u64,
    refused: BTreeMap<&'static str, u64>,
    lost: u64,
    failed: u64,
    cut: u64,
    unanswered: u64,
    wrong: BTreeMap<&'static str, u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    audit: Option<Audit>,
    prefix_hit_rate: f64,
    ttft_ms: Percentiles,
    token_gap_ms: Percentiles,
    tokens: u64,
    tokens_per_second: f64,
    requests_per_second: f64,
    seconds: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    process: Option<Process>,
}

/// What the observed process spent.
#[derive(Debug, Serialize)]
struct Process {
    processor_seconds: f64,
    processor_seconds_per_million_tokens: f64,
    resident_mib: f64,
}

/// Both phases, where there are two.
#[derive(Debug, Serialize)]
struct Comparison {
    direct: Option<Report>,
    target: Option<Report>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ratio: Option<Ratio>,
}

/// The load through hosts against the load sent directly.
#[derive(Debug, Serialize)]
struct Ratio {
    added_ttft_p50_ms: f64,
    added_ttft_p99_ms: f64,
    tokens_per_second: f64,
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
    let ratio = direct.as_ref().zip(target.as_ref());
    let ratio = ratio.map(|(direct, target)| compare(direct, target));
    let comparison = Comparison {
        direct,
        target,
        ratio,
    };
    print(&arguments, &comparison);
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
    let skip = run::ledgers(&arguments.ledger).await.map_err(ledgers)?;
    let before = observe(arguments)?;
    let results = run::run(&options, plan, |_| {}).await;
    let after = observe(arguments)?;
    let entries = run::ledgers(&arguments.ledger).await.map_err(ledgers)?;
    let new = entries
        .into_iter()
        .filter(|entry| !skip.iter().any(|old| old.request == entry.request));
    let new: Vec<_> = new.collect();
    let audit = (!arguments.ledger.is_empty()).then(|| results.tally.audit(&new));
    let mut report = report(arguments, name, &results, audit);
    report.process = before.zip(after).map(|(before, after)| {
        let seconds = after.processor_seconds - before.processor_seconds;
        Process {
            processor_seconds: seconds,
            processor_seconds_per_million_tokens: seconds * 1e6 / to_f64(report.tokens).max(1.0),
            resident_mib: after.resident_mib,
        }
    });
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

fn report(
    arguments: &Arguments,
    phase: &'static str,
    results: &run::Results,
    audit: Option<Audit>,
) -> Report {
    let tally = &results.tally;
    let seconds = results.elapsed.as_secs_f64();
    Report {
        phase,
        workload: arguments.workload.as_str(),
        seed: arguments.seed,
        time_scale: arguments.time_scale,
        requests: tally.requests,
        complete: tally.complete,
        refused: tally.refused.clone(),
        lost: tally.lost(),
        failed: tally.failed,
        cut: tally.cut,
        unanswered: tally.unanswered,
        wrong: tally.wrong.clone(),
        audit,
        prefix_hit_rate: tally::ratio(tally.cached_tokens, tally.prompt_tokens),
        ttft_ms: tally::percentiles(&tally.first_token),
        token_gap_ms: tally::percentiles(&tally.gaps),
        tokens: tally.tokens,
        tokens_per_second: to_f64(tally.tokens) / seconds,
        requests_per_second: to_f64(tally.requests) / seconds,
        seconds,
        process: None,
    }
}

fn compare(direct: &Report, target: &Report) -> Ratio {
    Ratio {
        added_ttft_p50_ms: target.ttft_ms.p50 - direct.ttft_ms.p50,
        added_ttft_p99_ms: target.ttft_ms.p99 - direct.ttft_ms.p99,
        tokens_per_second: target.tokens_per_second / direct.tokens_per_second.max(1.0),
    }
}

fn print(arguments: &Arguments, comparison: &Comparison) {
    match arguments.format {
        Format::Json => {
            let text = serde_json::to_string(comparison).unwrap_or_default();
            println!("{text}");
        }
        Format::Table => {
            let reports = [&comparison.direct, &comparison.target];
            for report in reports.into_iter().flatten() {
                print_report(report);
            }
            if let Some(ratio) = &comparison.ratio {
                println!("through hosts against direct:");
                println!("  added ttft p50 ms    {:.3}", ratio.added_ttft_p50_ms);
                println!("  added ttft p99 ms    {:.3}", ratio.added_ttft_p99_ms);
                println!("  tokens/s ratio       {:.3}", ratio.tokens_per_second);
            }
        }
    }
}

fn print_report(report: &Report) {
    println!(
        "{}: workload {}, seed {}, time scale {}",
        report.phase, report.workload, report.seed, report.time_scale
    );
    println!("  requests             {}", report.requests);
    println!("  complete             {}", report.complete);
    for (kind, count) in &report.refused {
        println!("  refused {kind:<12} {count}");
    }
    println!("  lost                 {}", report.lost);
    println!("    failed             {}", report.failed);
    println!("    cut                {}", report.cut);
    println!("    unanswered         {}", report.unanswered);
    for (reason, count) in &report.wrong {
        println!("    wrong: {reason}: {count}");
    }
    if let Some(audit) = &report.audit {
        println!("  ran twice            {}", audit.ran_twice);
        println!("  said not run but ran {}", audit.said_not_run);
        println!("  complete, never run  {}", audit.never_run);
    }
    let ttft = report.ttft_ms;
    println!("  prefix hit rate      {:.3}", report.prefix_hit_rate);
    println!(
        "  ttft ms              p50 {:.2}  p95 {:.2}  p99 {:.2}",
        ttft.p50, ttft.p95, ttft.p99
    );
    let gap = report.token_gap_ms;
    println!(
        "  between tokens ms    p50 {:.2}  p95 {:.2}  p99 {:.2}",
        gap.p50, gap.p95, gap.p99
    );
    println!("  tokens               {}", report.tokens);
    println!("  tokens/s             {:.0}", report.tokens_per_second);
    println!("  requests/s           {:.1}", report.requests_per_second);
    println!("  seconds              {:.2}", report.seconds);
    if let Some(process) = &report.process {
        println!("  processor s          {:.2}", process.processor_seconds);
        println!(
            "  processor s/M tokens {:.2}",
            process.processor_seconds_per_million_tokens
        );
        println!("  resident MiB         {:.1}", process.resident_mib);
    }
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

#[expect(clippy::cast_precision_loss)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
