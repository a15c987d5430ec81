//! Counters and histograms, in Prometheus text on request.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use papayayard_gateway::exposition::Exposition;
use papayayard_routing::retry;
use papayayard_wire::completion::Usage;
use papayayard_wire::refusal::Kind;

use crate::clock::Clock;

/// Bounds of the first-token histogram, in seconds.
const FIRST_TOKEN_BOUNDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 2.8, 5.6];

/// All counters of a host.
#[derive(Clone)]
pub(crate) struct Metrics {
    exposition: Exposition,
    clock: Clock,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    denials: Counter<u64>,
    prompt_tokens: Counter<u64>,
    generated_tokens: Counter<u64>,
    log_records: Counter<u64>,
    log_failures: Counter<u64>,
    first_token: Histogram<f64>,
    peer_refusals: Counter<u64>,
    peer_failures: Counter<u64>,
    peer_bytes: Counter<u64>,
    peer_farewells: Counter<u64>,
}

impl Metrics {
    /// Makes the instruments.
    pub(crate) fn new(clock: Clock) -> Self {
        let exposition = Exposition::empty();
        let meter = exposition.meter("papayayard");
        Self {
            clock,
            requests: meter
                .u64_counter("papayayard_requests")
                .with_description("Requests by kind of route")
                .build(),
            refusals: meter
                .u64_counter("papayayard_refusals")
                .with_description("Refused requests by kind")
                .build(),
            retries: meter
                .u64_counter("papayayard_retries")
                .with_description("Requests sent again, by reason")
                .build(),
            denials: meter
                .u64_counter("papayayard_retry_denials")
                .with_description("Retries that were not allowed, by reason")
                .build(),
            prompt_tokens: meter
                .u64_counter("papayayard_prompt_tokens")
                .with_description("Prompt tokens of complete answers, by where they came from")
                .build(),
            generated_tokens: meter
                .u64_counter("papayayard_generated_tokens")
                .with_description("Generated tokens of complete answers")
                .build(),
            log_records: meter
                .u64_counter("papayayard_log_records")
                .with_description("Records read from the log, by stream and result")
                .build(),
            log_failures: meter
                .u64_counter("papayayard_log_failures")
                .with_description("Appends without an answer, by reason")
                .build(),
            first_token: meter
                .f64_histogram("papayayard_first_token_seconds")
                .with_description("Time from a request's arrival to its first token")
                .with_boundaries(FIRST_TOKEN_BOUNDS.to_vec())
                .build(),
            peer_refusals: meter
                .u64_counter("papayayard_peer_refusals")
                .with_description("Calls of peers that were not believed, by reason")
                .build(),
            peer_failures: meter
                .u64_counter("papayayard_peer_failures")
                .with_description("Calls to peers that had no answer")
                .build(),
            peer_farewells: meter
                .u64_counter("papayayard_peer_farewells")
                .with_description("Peers that said that they leave")
                .build(),
            peer_bytes: meter
                .u64_counter("papayayard_peer_bytes")
                .with_description("Bytes exchanged with peers, both ways")
                .build(),
            exposition,
        }
    }

    /// Counts a request.
    pub(crate) fn requested(&self, route: &'static str) {
        self.requests.add(1, &[KeyValue::new("route", route)]);
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, kind: Kind) {
        self.refusals
            .add(1, &[KeyValue::new("kind", kind.as_str())]);
    }

    /// Counts a record read from the log.
    pub(crate) fn recorded(&self, stream: &'static str, result: &'static str) {
        let labels = [
            KeyValue::new("stream", stream),
            KeyValue::new("result", result),
        ];
        self.log_records.add(1, &labels);
    }

    /// Counts an append without an answer.
    pub(crate) fn append_failed(&self, reason: &'static str) {
        self.log_failures.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a retry.
    pub(crate) fn retried(&self, reason: retry::Reason) {
        self.retries
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a retry that was not allowed.
    pub(crate) fn denied(&self, denial: retry::Denial) {
        self.denials
            .add(1, &[KeyValue::new("reason", denial.as_str())]);
    }

    /// Counts the tokens of a complete answer.
    pub(crate) fn answered(&self, usage: &Usage) {
        let cached = usage.prompt_tokens_details.cached_tokens;
        let computed = usage.prompt_tokens.saturating_sub(cached);
        self.prompt_tokens
            .add(cached, &[KeyValue::new("source", "cache")]);
        self.prompt_tokens
            .add(computed, &[KeyValue::new("source", "computed")]);
        self.generated_tokens.add(usage.completion_tokens, &[]);
    }

    /// Takes down the time to first token of a request received at `received`.
    pub(crate) fn first_token(&self, received: Duration) {
        let elapsed = self.clock.now().saturating_sub(received);
        self.first_token.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a peer's call that is not believed.
    pub(crate) fn peer_refused(&self, reason: &'static str) {
        self.peer_refusals
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a call to a peer that had no answer.
    pub(crate) fn peer_failed(&self) {
        self.peer_failures.add(1, &[]);
    }

    /// Counts a peer that leaves.
    pub(crate) fn peer_left(&self) {
        self.peer_farewells.add(1, &[]);
    }

    /// Counts the bytes of a call and its reply.
    pub(crate) fn peer_exchanged(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    /// All figures as Prometheus text.
    pub(crate) fn text(&self) -> Vec<u8> {
        self.exposition.text()
    }
}
