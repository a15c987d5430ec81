//! Logs and counts the rules that begin and cease to keep requests from endpoints.

use std::time::Duration;

use papayayard_routing::placement::{Availability, Change, Changes, Exclusion, Reporter};
use papayayard_routing::rate::Rate;

use crate::metrics::Metrics;
use crate::refusal::millis;

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

/// Endpoints that were left out, by reason, for a line.
pub(crate) fn left_out(availability: &Availability) -> String {
    let exclusions = availability.exclusions.iter().map(Exclusion::to_string);
    let exclusions: Vec<String> = exclusions.collect();
    or_dash(Some(exclusions.join(" ")).filter(|text| !text.is_empty()))
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
