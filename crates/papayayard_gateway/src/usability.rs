//! Logs and counts the rules that begin and cease to keep requests from endpoints.

use std::fmt::Write;
use std::time::Duration;

use papayayard_routing::placement::{Availability, Change, Changes, Reporter};
use papayayard_routing::rate::Rate;

use crate::metrics::Metrics;
use crate::refusal::millis;

/// Maximum length of the list of endpoints that were left out, in bytes.
const MAX_LEFT_OUT_BYTES: usize = 512;

/// Logs and counts changes of rules at endpoints.
pub(crate) fn report(changes: &Changes, metrics: &Metrics) {
    for ((rule, holds), number) in &changes.counts {
        metrics.usability_changed(rule.as_str(), *holds, *number);
    }
    for change in &changes.reported {
        log_change(change);
    }
}

fn log_change(change: &Change) {
    let message = if change.holds {
        "rule keeps requests from an endpoint"
    } else {
        "rule keeps requests from an endpoint no longer"
    };
    let inputs = &change.inputs;
    log::info!(
        endpoint:% = change.endpoint, service:% = change.service, rule = change.rule.as_str(),
        usable = change.is_usable, failures = inputs.failures, refusals = inputs.refusals,
        ejections = inputs.ejections, open = inputs.open,
        per_second:% = or_dash(inputs.rate.map(Rate::per_second)),
        left_ms:% = time(inputs.left), by = inputs.reporter.as_ref().map_or("-", Reporter::as_str),
        age_ms:% = time(inputs.age), held_ms:% = time(change.held), suppressed = change.suppressed;
        "{message}"
    );
}

/// Endpoints that were left out, by reason, for a line of bounded length.
pub(crate) fn left_out(availability: &Availability) -> String {
    if availability.exclusions.is_empty() {
        return "-".to_owned();
    }
    let mut text = String::with_capacity(MAX_LEFT_OUT_BYTES);
    for exclusion in &availability.exclusions {
        let end = text.len();
        let separator = if end == 0 { "" } else { " " };
        let written = write!(text, "{separator}{exclusion}");
        if written.is_err() || text.len() > MAX_LEFT_OUT_BYTES {
            text.truncate(end);
            text.push_str(separator);
            text.push('…');
            break;
        }
    }
    text
}

fn time(time: Option<Duration>) -> String {
    or_dash(time.map(millis))
}

fn or_dash<Value>(value: Option<Value>) -> String
where
    Value: ToString,
{
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

#[cfg(test)]
#[path = "usability_test.rs"]
mod test;
