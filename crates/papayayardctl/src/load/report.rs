//! Figures of a load, as a table and as JSON.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Arguments;
use super::process::Usage;
use super::run::Results;
use super::tally::{self, Audit, Percentiles};
use crate::format::Format;

/// Figures of one phase.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    phase: &'static str,
    workload: &'static str,
    seed: u64,
    time_scale: f64,
    requests: u64,
    complete: u64,
    refused: BTreeMap<&'static str, u64>,
    pub(super) lost: u64,
    failed: BTreeMap<&'static str, u64>,
    cut: u64,
    unanswered: u64,
    wrong: BTreeMap<&'static str, u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) audit: Option<Audit>,
    prefix_hit_rate: f64,
    ttft_ms: Percentiles,
    token_gap_ms: Percentiles,
    pub(super) tokens: u64,
    tokens_per_second: f64,
    requests_per_second: f64,
    seconds: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) process: Option<Process>,
}

/// What the observed process spent.
#[derive(Debug, Serialize)]
pub(super) struct Process {
    processor_seconds: f64,
    processor_seconds_per_million_tokens: f64,
    resident_mib: f64,
}

/// Both phases, where there are two.
#[derive(Debug, Serialize)]
pub(super) struct Comparison {
    pub(super) direct: Option<Report>,
    pub(super) target: Option<Report>,
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

impl Report {
    /// Sums a phase up.
    pub(super) fn new(
        arguments: &Arguments,
        phase: &'static str,
        results: &Results,
        audit: Option<Audit>,
    ) -> Self {
        let tally = &results.tally;
        let seconds = results.elapsed.as_secs_f64();
        Self {
            phase,
            workload: arguments.workload.as_str(),
            seed: arguments.seed,
            time_scale: arguments.time_scale,
            requests: tally.requests,
            complete: tally.complete,
            refused: tally.refused.clone(),
            lost: tally.lost(),
            failed: tally.failed.clone(),
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
}

impl Comparison {
    /// Sets two phases against each other.
    pub(super) fn new(direct: Option<Report>, target: Option<Report>) -> Self {
        let both = direct.as_ref().zip(target.as_ref());
        let ratio = both.map(|(direct, target)| Ratio {
            added_ttft_p50_ms: target.ttft_ms.p50 - direct.ttft_ms.p50,
            added_ttft_p99_ms: target.ttft_ms.p99 - direct.ttft_ms.p99,
            tokens_per_second: target.tokens_per_second / direct.tokens_per_second.max(1.0),
        });
        Self {
            direct,
            target,
            ratio,
        }
    }
}

impl Process {
    /// What was spent between two moments.
    pub(super) fn new(before: Usage, after: Usage, tokens: u64) -> Self {
        let seconds = after.processor_seconds - before.processor_seconds;
        Self {
            processor_seconds: seconds,
            processor_seconds_per_million_tokens: seconds * 1e6 / to_f64(tokens).max(1.0),
            resident_mib: after.resident_mib,
        }
    }
}

/// Prints both phases.
pub(super) fn print(format: Format, comparison: &Comparison) {
    match format {
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
    for (kind, count) in &report.failed {
        println!("    ended in {kind}: {count}");
    }
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

#[expect(clippy::cast_precision_loss)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
