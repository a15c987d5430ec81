//! Figures of a demo, as a table and as JSON.

use std::fmt::Write;
use std::time::Duration;

use papayayard_wire::refusal::Kind;
use serde::Serialize;

use crate::load::caller::End;
use crate::load::run::{Finished, Results};
use crate::load::tally::{self, Audit, Percentiles, Tally};

/// Length of the windows in which a run is followed after a fault.
const WINDOW: Duration = Duration::from_secs(2);
/// Part by which p95 may be above its earlier level.
const RECOVERED: f64 = 1.1;

/// Figures of one policy, as `--format json` prints them.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Summary {
    requests: u64,
    complete: u64,
    refused: u64,
    pub(crate) lost: u64,
    pub(crate) duplicated: u64,
    pub(crate) prefix_hit_rate: f64,
    ttft_ms: Percentiles,
    pub(crate) policy: &'static str,
    #[serde(skip)]
    more: More,
}

/// Figures that only the table shows.
#[derive(Clone, Debug)]
struct More {
    refused: Vec<(&'static str, u64)>,
    faults: Vec<(String, u64)>,
    recomputed_tokens: u64,
    first_tokens_ms: Vec<f64>,
    recovery: Option<Recovery>,
    bystanders: u64,
}

/// Time to first token around a fault.
#[derive(Clone, Debug)]
struct Recovery {
    before: f64,
    after: Vec<f64>,
}

impl Summary {
    /// Sums a run up; `distinct_tokens` are those of a plan computed once.
    pub(crate) fn new(
        policy: &'static str,
        results: &Results,
        audit: &Audit,
        distinct_tokens: u64,
        fault_at: Option<Duration>,
    ) -> Self {
        let tally = &results.tally;
        let prompt_tokens = audit.cached_tokens + audit.computed_tokens;
        let refused = tally.refused.iter();
        Self {
            requests: tally.requests,
            complete: tally.complete,
            refused: tally.refused_total(),
            lost: tally.lost() + audit.never_run,
            duplicated: audit.ran_twice + audit.said_not_run,
            prefix_hit_rate: tally::ratio(audit.cached_tokens, prompt_tokens),
            ttft_ms: tally::percentiles(&tally.first_token),
            policy,
            more: More {
                refused: refused.map(|(kind, count)| (*kind, *count)).collect(),
                faults: faults(tally, audit),
                recomputed_tokens: audit.computed_tokens.saturating_sub(distinct_tokens),
                first_tokens_ms: first_tokens(&results.finished),
                bystanders: bystanders(&results.finished),
                recovery: fault_at.map(|at| Recovery::new(&results.finished, at)),
            },
        }
    }

    /// Times to first token, from the shortest.
    pub(crate) fn first_tokens_ms(&self) -> &[f64] {
        &self.more.first_tokens_ms
    }
}

/// Everything that a caller should not see, by name.
fn faults(tally: &Tally, audit: &Audit) -> Vec<(String, u64)> {
    let mut faults = vec![
        ("cut".to_owned(), tally.cut),
        ("unanswered".to_owned(), tally.unanswered),
        ("ran twice".to_owned(), audit.ran_twice),
        ("said not run but ran".to_owned(), audit.said_not_run),
        ("complete but never run".to_owned(), audit.never_run),
    ];
    let failed = tally.failed.iter();
    faults.extend(failed.map(|(kind, count)| (format!("ended in an error event, {kind}"), *count)));
    let wrong = tally.wrong.iter();
    faults.extend(wrong.map(|(reason, count)| ((*reason).to_owned(), *count)));
    faults.retain(|(_, count)| *count > 0);
    faults
}

/// Requests quarantined beside the killing one.
fn bystanders(finished: &[Finished]) -> u64 {
    let quarantined = finished.iter().filter(|done| {
        !done.marked && matches!(done.seen.end, End::Refused(Some(Kind::Quarantined), _))
    });
    quarantined.count() as u64
}

fn first_tokens(finished: &[Finished]) -> Vec<f64> {
    let times = finished.iter().filter_map(|done| done.seen.first_token);
    let mut times: Vec<f64> = times.map(|time| time.as_secs_f64() * 1000.0).collect();
    times.sort_by(f64::total_cmp);
    times
}

impl Recovery {
    fn new(finished: &[Finished], at: Duration) -> Self {
        let before = p95(finished, Duration::ZERO, at);
        let last = finished.iter().map(|done| done.at).max();
        let last = last.unwrap_or_default();
        let mut after = Vec::new();
        let mut start = at;
        while start < last {
            after.push(p95(finished, start, start + WINDOW));
            start += WINDOW;
        }
        Self { before, after }
    }

    /// End of the first window that is back at the earlier level.
    fn recovered(&self) -> Option<Duration> {
        let limit = self.before * RECOVERED;
        let window = self.after.iter().position(|p95| *p95 <= limit)?;
        Some(WINDOW * u32::try_from(window + 1).unwrap_or(u32::MAX))
    }
}

fn p95(finished: &[Finished], from: Duration, until: Duration) -> f64 {
    let within = finished
        .iter()
        .filter(|done| done.at >= from && done.at < until);
    let within: Vec<Finished> = within.cloned().collect();
    let times = first_tokens(&within);
    let index = (times.len() * 95).div_ceil(100).saturating_sub(1);
    times.get(index).copied().unwrap_or(0.0)
}

/// One table for all policies.
pub(crate) fn table(summaries: &[Summary]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<14}{:>9}{:>9}{:>8}{:>6}{:>11}{:>9}{:>13}{:>9}{:>9}{:>9}",
        "policy",
        "requests",
        "complete",
        "refused",
        "lost",
        "duplicated",
        "hit rate",
        "recomputed k",
        "p50 ms",
        "p95 ms",
        "p99 ms"
    );
    for summary in summaries {
        let ttft = summary.ttft_ms;
        let _ = writeln!(
            text,
            "{:<14}{:>9}{:>9}{:>8}{:>6}{:>11}{:>9.3}{:>13}{:>9.1}{:>9.1}{:>9.1}",
            summary.policy,
            summary.requests,
            summary.complete,
            summary.refused,
            summary.lost,
            summary.duplicated,
            summary.prefix_hit_rate,
            summary.more.recomputed_tokens / 1000,
            ttft.p50,
            ttft.p95,
            ttft.p99
        );
    }
    for summary in summaries {
        notes(&mut text, summary);
    }
    text
}

fn notes(text: &mut String, summary: &Summary) {
    for (kind, count) in &summary.more.refused {
        let _ = writeln!(text, "{}: refused {kind}: {count}", summary.policy);
    }
    if summary.more.bystanders > 0 {
        let count = summary.more.bystanders;
        let _ = writeln!(text, "{}: quarantined bystanders: {count}", summary.policy);
    }
    for (name, count) in &summary.more.faults {
        let _ = writeln!(text, "{}: {name}: {count}", summary.policy);
    }
    if let Some(recovery) = &summary.more.recovery {
        let after: Vec<String> = recovery
            .after
            .iter()
            .map(|p95| format!("{p95:.0}"))
            .collect();
        let back = recovery.recovered().map_or_else(
            || "not back within the run".to_owned(),
            |time| format!("back within {} s", time.as_secs()),
        );
        let _ = writeln!(
            text,
            "{}: p95 {:.0} ms before the fault; after it, every 2 s: {} ms; {back}",
            summary.policy,
            recovery.before,
            after.join(", ")
        );
    }
}
