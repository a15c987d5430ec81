//! Counters, gauges and histograms of a host, exported as Prometheus text.

use std::time::Duration;

use http::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use papayayard_wire::refusal::Kind;

use crate::exposition::Exposition;

/// Bucket bounds of the first-event histogram, in seconds.
const FIRST_EVENT_BOUNDS: [f64; 9] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 2.0];

/// All instruments of a host.
#[derive(Clone)]
pub(crate) struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    placements: Counter<u64>,
    order_events: Counter<u64>,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    forwarded: Counter<u64>,
    from_hosts: Counter<u64>,
    orders: Counter<u64>,
    crashes: Counter<u64>,
    quarantines: Counter<u64>,
    quarantined_parts: Counter<u64>,
    limits: Counter<u64>,
    refusal_limits: Counter<u64>,
    told_streams: Counter<u64>,
    usability_changes: Counter<u64>,
    quotas: Quotas,
    dispatch: Dispatch,
    first_event: Histogram<f64>,
    hosts: Gauge<u64>,
    detached: Gauge<u64>,
}

/// Instruments of the quotas of client accounts.
#[derive(Clone)]
struct Quotas {
    refusals: Counter<u64>,
    returns: Counter<u64>,
    prepaid: Counter<u64>,
    parts: Gauge<u64>,
}

impl Quotas {
    fn new(meter: &Meter) -> Self {
        Self {
            refusals: counter(
                meter,
                "papayayard_quota_refusals",
                "Requests refused since their client accounts are over a quota",
            ),
            returns: counter(
                meter,
                "papayayard_quota_returns",
                "Charges returned since their requests did not run",
            ),
            prepaid: counter(
                meter,
                "papayayard_quota_prepaid",
                "Plain requests charged to an amount that was granted before",
            ),
            parts: meter
                .u64_gauge("papayayard_quota_parts")
                .with_description("Hosts whose parts of the quotas are in the pool of this one")
                .build(),
        }
    }
}

/// Instruments of calls to dispatchers, and of requests that are refused undecided.
#[derive(Clone)]
struct Dispatch {
    timeouts: Counter<u64>,
    repeats: Counter<u64>,
    busy_refusals: Counter<u64>,
    shed: Counter<u64>,
}

impl Dispatch {
    fn new(meter: &Meter) -> Self {
        Self {
            timeouts: counter(
                meter,
                "papayayard_dispatch_timeouts",
                "Calls to dispatchers that got no answer in time, by their state",
            ),
            repeats: counter(
                meter,
                "papayayard_dispatch_repeats",
                "Placement calls repeated at a busy dispatcher",
            ),
            busy_refusals: counter(
                meter,
                "papayayard_busy_dispatcher_refusals",
                "Requests of this host refused since its dispatcher is busy",
            ),
            shed: counter(
                meter,
                "papayayard_shed_requests",
                "Placement requests that this host refused undecided",
            ),
        }
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    let counter = meter.u64_counter(name);
    counter.with_description(description).build()
}

impl Metrics {
    /// Creates the instruments.
    pub(crate) fn new() -> Self {
        let exposition = Exposition::empty();
        let meter = exposition.meter("gateway");
        let counter = |name, description| counter(&meter, name, description);
        Self {
            requests: counter("papayayard_route_requests", "Requests by route"),
            placements: counter(
                "papayayard_route_placements",
                "Decisions on where requests go, by who made them",
            ),
            order_events: counter(
                "papayayard_placement_order",
                "Requests placed out of turn, and room held for waiting ones",
            ),
            answers: counter(
                "papayayard_route_answers",
                "Endpoints' whole answers by status",
            ),
            refusals: counter(
                "papayayard_route_refusals",
                "Refused and failed requests by kind",
            ),
            retries: counter("papayayard_route_repeats", "Requests sent again by reason"),
            forwarded: counter(
                "papayayard_forwarded_requests",
                "Tries to have a caller's request served by another host",
            ),
            from_hosts: counter(
                "papayayard_requests_of_hosts",
                "Requests that other hosts have passed on to this one",
            ),
            orders: counter(
                "papayayard_weight_orders",
                "Orders to load weights by answer",
            ),
            crashes: counter(
                "papayayard_endpoint_ends",
                "Endpoints that ended under requests, by what showed it",
            ),
            quarantines: counter(
                "papayayard_quarantined_requests",
                "Requests that this host has begun to quarantine, by their fingerprints",
            ),
            quarantined_parts: counter(
                "papayayard_quarantined_parts",
                "Parts of prompts, or groups of them, that this host has begun to quarantine",
            ),
            limits: counter(
                "papayayard_endpoint_limits",
                "Answers in which endpoints named a limit on requests",
            ),
            refusal_limits: counter(
                "papayayard_endpoint_refusal_limits",
                "Answers in which endpoints named a limit on refusals",
            ),
            told_streams: counter(
                "papayayard_told_streams",
                "Streams that other hosts have told this one of",
            ),
            usability_changes: counter(
                "papayayard_endpoint_rule_changes",
                "Rules that began or ceased to keep requests from an endpoint",
            ),
            first_event: meter
                .f64_histogram("papayayard_first_event_seconds")
                .with_description("Time from a request's arrival to its stream's first event")
                .with_boundaries(FIRST_EVENT_BOUNDS.to_vec())
                .build(),
            quotas: Quotas::new(&meter),
            dispatch: Dispatch::new(&meter),
            hosts: meter
                .u64_gauge("papayayard_counted_hosts")
                .with_description("Hosts that limits are divided by, this one included")
                .build(),
            detached: meter
                .u64_gauge("papayayard_detached")
                .with_description("1 while this host reaches no endpoint, else 0")
                .build(),
            exposition,
        }
    }

    pub(crate) fn requested(&self, route: &str) {
        let route = KeyValue::new("route", route.to_owned());
        self.requests.add(1, &[route]);
    }

    /// Counts a placement decision; `by` tells whether the dispatcher or this host made
    /// it.
    pub(crate) fn dispatched(&self, by: &'static str) {
        self.placements.add(1, &[KeyValue::new("by", by)]);
    }

    /// Counts requests that were placed out of the order of their arrival, or room that was held.
    pub(crate) fn ordered_placements(&self, event: &'static str, number: u64) {
        let event = KeyValue::new("event", event);
        self.order_events.add(number, &[event]);
    }

    pub(crate) fn answered(&self, status: StatusCode) {
        let status = KeyValue::new("status", i64::from(status.as_u16()));
        self.answers.add(1, &[status]);
    }

    pub(crate) fn refused(&self, kind: Kind) {
        self.refusals
            .add(1, &[KeyValue::new("kind", kind.as_str())]);
    }

    pub(crate) fn retried(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a try to have a request served by another host.
    pub(crate) fn forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that another host passed on to this one.
    pub(crate) fn received_from_host(&self, is_taken: bool) {
        self.from_hosts.add(1, &[KeyValue::new("taken", is_taken)]);
    }

    pub(crate) fn ordered(&self, answer: &'static str) {
        self.orders.add(1, &[KeyValue::new("answer", answer)]);
    }

    pub(crate) fn crashed(&self, shown_by: &'static str) {
        self.crashes.add(1, &[KeyValue::new("shown_by", shown_by)]);
    }

    pub(crate) fn quarantined(&self) {
        self.quarantines.add(1, &[]);
    }

    pub(crate) fn part_quarantined(&self) {
        self.quarantined_parts.add(1, &[]);
    }

    pub(crate) fn limit_named(&self) {
        self.limits.add(1, &[]);
    }

    pub(crate) fn refusal_limit_named(&self) {
        self.refusal_limits.add(1, &[]);
    }

    pub(crate) fn told_of_streams(&self, number: u64) {
        self.told_streams.add(number, &[]);
    }

    /// Counts a request that is refused since its client account is over its quota.
    pub(crate) fn quota_refused(&self) {
        self.quotas.refusals.add(1, &[]);
    }

    /// Counts a charge that is returned since its request did not run.
    pub(crate) fn quota_returned(&self) {
        self.quotas.returns.add(1, &[]);
    }

    /// Counts a plain request that is charged to an amount granted before.
    pub(crate) fn quota_prepaid(&self) {
        self.quotas.prepaid.add(1, &[]);
    }

    pub(crate) fn quota_parts(&self, number: u32) {
        self.quotas.parts.record(u64::from(number), &[]);
    }

    /// Counts changes of a rule that keeps requests from endpoints.
    pub(crate) fn usability_changed(&self, rule: &'static str, holds: bool, number: u64) {
        let change = if holds { "begun" } else { "ended" };
        let labels = [KeyValue::new("rule", rule), KeyValue::new("change", change)];
        self.usability_changes.add(number, &labels);
    }

    /// Counts a call to a dispatcher without an answer in time.
    pub(crate) fn dispatch_timed_out(&self, dispatcher: &'static str) {
        let state = KeyValue::new("dispatcher", dispatcher);
        self.dispatch.timeouts.add(1, &[state]);
    }

    /// Counts a placement call that is repeated at a busy dispatcher.
    pub(crate) fn dispatch_repeated(&self) {
        self.dispatch.repeats.add(1, &[]);
    }

    /// Counts a request of this host that is refused since its dispatcher is busy.
    pub(crate) fn refused_as_busy(&self) {
        self.dispatch.busy_refusals.add(1, &[]);
    }

    /// Counts placement requests that this host refused undecided.
    pub(crate) fn shed(&self, number: u64) {
        self.dispatch.shed.add(number, &[]);
    }

    pub(crate) fn first_event(&self, time: Duration) {
        self.first_event.record(time.as_secs_f64(), &[]);
    }

    pub(crate) fn counted_hosts(&self, number: u64) {
        self.hosts.record(number, &[]);
    }

    pub(crate) fn detached(&self, is_detached: bool) {
        self.detached.record(u64::from(is_detached), &[]);
    }

    /// Exports all metrics as text.
    pub(crate) fn text(&self) -> Vec<u8> {
        self.exposition.text()
    }
}
