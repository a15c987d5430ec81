//! Counts and times over all callers of a run.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use papayayard_stand_in::ledger::{Entry, Outcome};
use papayayard_wire::id;
use papayayard_wire::refusal::{Kind, Ran};
use serde::Serialize;

use super::caller::{End, Seen};

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits of a time.
const DIGITS: u8 = 3;

/// Counts and times of a run.
#[derive(Debug)]
pub(crate) struct Tally {
    /// Factor from real time to model time.
    scale: f64,
    pub(crate) requests: u64,
    pub(crate) complete: u64,
    pub(crate) refused: BTreeMap<&'static str, u64>,
    pub(crate) failed: BTreeMap<&'static str, u64>,
    pub(crate) cut: u64,
    pub(crate) unanswered: u64,
    pub(crate) wrong: BTreeMap<&'static str, u64>,
    pub(crate) tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) first_token: Histogram<u64>,
    pub(crate) gaps: Histogram<u64>,
    told: HashMap<id::Request, Told>,
}

/// What a caller was told about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Complete,
    NotRun,
    Other,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Percentiles {
    /// Median.
    pub(crate) p50: f64,
    /// 95th percentile.
    pub(crate) p95: f64,
    /// 99th percentile.
    pub(crate) p99: f64,
}

/// Differences between what callers were told and what really ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Audit {
    /// Requests that ran to their end more than once.
    pub(crate) ran_twice: u64,
    /// Requests whose refusal says not run, and that ran.
    pub(crate) said_not_run: u64,
    /// Requests said complete that no endpoint ran to its end.
    pub(crate) never_run: u64,
    /// Prompt tokens that endpoints computed.
    pub(crate) computed_tokens: u64,
    /// Prompt tokens that endpoints found in their caches.
    pub(crate) cached_tokens: u64,
}

impl Tally {
    /// Starts with nothing; times are multiplied by `scale`.
    pub(crate) fn new(scale: f64) -> Self {
        Self {
            scale,
            requests: 0,
            complete: 0,
            refused: BTreeMap::new(),
            failed: BTreeMap::new(),
            cut: 0,
            unanswered: 0,
            wrong: BTreeMap::new(),
            tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            first_token: histogram(),
            gaps: histogram(),
            told: HashMap::new(),
        }
    }

    /// Adds what one caller saw.
    pub(crate) fn add(&mut self, seen: &Seen) {
        self.requests += 1;
        self.tokens += seen.tokens;
        let told = match &seen.end {
            End::Complete => {
                self.complete += 1;
                Told::Complete
            }
            End::Refused(kind, ran) => {
                let name = kind.map_or("other", Kind::as_str);
                *self.refused.entry(name).or_default() += 1;
                if *ran == Ran::No {
                    Told::NotRun
                } else {
                    Told::Other
                }
            }
            End::Failed(kind) => {
                let name = kind.map_or("other", Kind::as_str);
                *self.failed.entry(name).or_default() += 1;
                Told::Other
            }
            End::Cut => {
                self.cut += 1;
                Told::Other
            }
            End::Lost | End::Unreachable => {
                self.unanswered += 1;
                Told::Other
            }
            End::Wrong(reason) => {
                *self.wrong.entry(reason).or_default() += 1;
                Told::Other
            }
        };
        if let Some(request) = &seen.request {
            self.told.insert(request.clone(), told);
        }
        self.add_times(seen);
    }

    fn add_times(&mut self, seen: &Seen) {
        if let Some(usage) = &seen.usage {
            self.prompt_tokens += usage.prompt_tokens;
            self.cached_tokens += usage.prompt_tokens_details.cached_tokens;
        }
        if let Some(first_token) = seen.first_token {
            let micros = self.micros(first_token);
            self.first_token.saturating_record(micros);
        }
        for gap in &seen.gaps {
            let micros = self.micros(*gap);
            self.gaps.saturating_record(micros);
        }
    }

    fn micros(&self, time: Duration) -> u64 {
        let micros = time.mul_f64(self.scale).as_micros();
        u64::try_from(micros).unwrap_or(MAX_MICROS)
    }

    /// Requests refused, of every kind.
    pub(crate) fn refused_total(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Requests whose caller got neither the whole answer nor a refusal.
    pub(crate) fn lost(&self) -> u64 {
        self.failed.values().sum::<u64>()
            + self.cut
            + self.unanswered
            + self.wrong.values().sum::<u64>()
    }

    /// Compares what callers were told with what endpoints ran.
    pub(crate) fn audit(&self, entries: &[Entry]) -> Audit {
        let mut audit = Audit::default();
        let mut runs: HashMap<&id::Request, (u64, u64)> = HashMap::new();
        for entry in entries {
            audit.cached_tokens += entry.cached_tokens;
            audit.computed_tokens += entry.prompt_tokens - entry.cached_tokens;
            if let Some(request) = &entry.request {
                let (started, ended) = runs.entry(request).or_default();
                *started += 1;
                *ended += u64::from(entry.outcome == Outcome::Complete);
            }
        }
        audit.ran_twice = runs
            .values()
            .map(|(_, ended)| ended.saturating_sub(1))
            .sum();
        for (request, told) in &self.told {
            let (started, ended) = runs.get(request).copied().unwrap_or_default();
            match told {
                Told::Complete => audit.never_run += u64::from(ended == 0),
                Told::NotRun => audit.said_not_run += u64::from(started > 0),
                Told::Other => {}
            }
        }
        audit
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("the bounds are constants")
}

/// Percentiles of a histogram of microseconds.
#[expect(clippy::cast_precision_loss)]
pub(crate) fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles {
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
    }
}

/// A part of a whole; 0 where the whole is nothing.
#[expect(clippy::cast_precision_loss)]
pub(crate) fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
