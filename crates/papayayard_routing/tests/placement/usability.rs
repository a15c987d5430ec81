//! Rules that keep requests from endpoints: their changes, and the reasons of refusals.

use std::time::Duration;

use papayayard_routing::placement::{
    Availability, Change, Decision, Endpoint, InFlight, Inputs, Outcome, Query, Reason, Reporter,
    Rule, Scheduler, Ticket,
};
use papayayard_routing::rate::Rate;
use papayayard_wire::id;
use rstest::rstest;

use crate::support::{self, NOW, OLD_WEIGHTS, ms};

/// Interval at which a host looks at the rules.
const LOOK: Duration = Duration::from_millis(200);
const TARGET: Duration = Duration::from_millis(120);

/// A booking that is not kept waiting.
fn booking(now: Duration) -> Query {
    Query {
        service: id::Service::from("bookings"),
        prompt: None,
        target: now,
        target_latency: TARGET,
        ..support::query(support::history("none"), now)
    }
}

fn send(scheduler: &mut Scheduler) -> Ticket {
    support::place(scheduler, booking(NOW), NOW).ticket
}

fn rate() -> Rate {
    Rate::new(1.0).expect("a rate")
}

fn be_listed_as_leaving(scheduler: &mut Scheduler) {
    let leaving = Endpoint {
        leaving: true,
        ..support::bookings(1, 1).remove(0)
    };
    scheduler.set_endpoints(&[leaving], NOW);
}

fn leave(scheduler: &mut Scheduler) {
    let ticket = send(scheduler);
    scheduler.mark_leaving(ticket);
    scheduler.record_outcome(ticket, Outcome::Whole, NOW);
}

fn load(scheduler: &mut Scheduler) {
    scheduler.set_loading(&[id::Endpoint::from("b0")], NOW);
}

fn ask_for_backoff(scheduler: &mut Scheduler) {
    let ticket = send(scheduler);
    scheduler.set_backoff(ticket, ms(5_000), NOW);
    scheduler.record_outcome(ticket, Outcome::Abandoned, NOW);
}

fn refuse(scheduler: &mut Scheduler) {
    let ticket = send(scheduler);
    scheduler.record_outcome(ticket, Outcome::Refused, NOW);
}

fn name_limit(scheduler: &mut Scheduler) {
    let ticket = send(scheduler);
    scheduler.record_limit(ticket, Some(rate()), NOW);
    scheduler.record_outcome(ticket, Outcome::Whole, NOW);
}

/// The endpoint has one slot, which its request keeps.
fn name_limit_on_refusals(scheduler: &mut Scheduler) {
    let ticket = send(scheduler);
    scheduler.record_refusal_limit(ticket, Some(rate()), NOW);
}

fn fail(scheduler: &mut Scheduler) {
    for _ in 0..3 {
        let ticket = send(scheduler);
        scheduler.record_outcome(ticket, Outcome::Failed, NOW);
    }
}

/// An endpoint that was ejected, and gets a request that probes it.
fn be_probed(scheduler: &mut Scheduler) {
    fail(scheduler);
    let now = NOW + ms(500);
    support::place(scheduler, booking(now), now);
}

fn own() -> Inputs {
    Inputs {
        reporter: Some(Reporter::Own),
        age: Some(ms(10)),
        ..Inputs::default()
    }
}

fn listed() -> Inputs {
    Inputs {
        reporter: Some(Reporter::List),
        ..Inputs::default()
    }
}

fn look(scheduler: &mut Scheduler, now: Duration) -> Vec<Change> {
    scheduler.usability_changes(now).reported
}

/// Nobody could tell from the log why a scheduler sent nothing to a sound endpoint.
#[rstest]
#[case::listed_as_leaving(be_listed_as_leaving, Rule::Leaving, listed())]
#[case::leaving(leave, Rule::Leaving, Inputs { age: None, ..own() })]
#[case::loading(load, Rule::Loading, Inputs { left: Some(ms(2_490)), age: Some(ms(10)), ..listed() })]
#[case::asked_backoff(ask_for_backoff, Rule::AskedBackoff, Inputs { left: Some(ms(4_990)), ..own() })]
#[case::refusal_backoff(
    refuse, Rule::RefusalBackoff, Inputs { refusals: 1, left: Some(ms(140)), ..own() }
)]
#[case::limit(name_limit, Rule::Limit, Inputs { rate: Some(rate()), reporter: None, ..own() })]
#[case::limit_on_refusals(
    name_limit_on_refusals,
    Rule::RefusalLimit,
    Inputs { rate: Some(rate()), reporter: None, open: 1, ..own() }
)]
#[case::ejected(
    fail, Rule::Ejected, Inputs { failures: 3, ejections: 1, left: Some(ms(490)), ..own() }
)]
fn a_rule_that_begins_is_reported_with_its_inputs(
    #[case] begin: fn(&mut Scheduler),
    #[case] rule: Rule,
    #[case] inputs: Inputs,
) {
    let mut scheduler = support::scheduler(&support::bookings(1, 1), 1);
    assert_eq!(look(&mut scheduler, NOW), []);
    begin(&mut scheduler);
    let expected = Change {
        endpoint: id::Endpoint::from("b0"),
        service: id::Service::from("bookings"),
        rule,
        holds: true,
        held: None,
        is_usable: false,
        inputs,
        suppressed: 0,
    };
    assert_eq!(look(&mut scheduler, NOW + ms(10)), [expected]);
    assert_eq!(look(&mut scheduler, NOW + ms(11)), []);
}

/// The log showed the beginning of a rule, and nothing of its end.
#[rstest]
#[case::loading(load, Rule::Loading)]
#[case::asked_backoff(ask_for_backoff, Rule::AskedBackoff)]
#[case::refusal_backoff(refuse, Rule::RefusalBackoff)]
#[case::limit(name_limit, Rule::Limit)]
#[case::ejected(fail, Rule::Ejected)]
fn a_rule_that_ends_is_reported(#[case] begin: fn(&mut Scheduler), #[case] rule: Rule) {
    let mut scheduler = support::scheduler(&support::bookings(1, 1), 1);
    look(&mut scheduler, NOW);
    begin(&mut scheduler);
    look(&mut scheduler, NOW + ms(10));
    let end = NOW + ms(20_000);
    let mut now = NOW + ms(10);
    let mut changes = Vec::new();
    while now < end {
        now += LOOK;
        changes.extend(look(&mut scheduler, now));
    }
    let mut ended = changes.iter().filter(|change| change.rule == rule);
    let ended = ended.next().expect("the end is reported");
    assert!(!ended.holds && ended.is_usable, "{ended:?}");
    // A line that waits for its turn tells the time until the end, not until the line.
    let times = LOOK..ms(5_500);
    let held = ended.held.expect("the time is known");
    assert!(times.contains(&held), "{ended:?}");
}

/// An endpoint that was ejected is on probation until it has answered several requests.
#[test]
fn an_ejection_ends_in_probing() {
    let mut scheduler = support::scheduler(&support::bookings(1, 1), 1);
    look(&mut scheduler, NOW);
    fail(&mut scheduler);
    look(&mut scheduler, NOW + ms(10));
    let changes = look(&mut scheduler, NOW + ms(600));
    let changes = changes.iter().map(|change| (change.rule, change.holds));
    assert_eq!(changes.collect::<Vec<_>>(), [(Rule::Probing, true)]);
    let changes = look(&mut scheduler, NOW + ms(1_100));
    let changes = changes.iter().map(|change| (change.rule, change.is_usable));
    assert_eq!(changes.collect::<Vec<_>>(), [(Rule::Ejected, true)]);
}

/// A line for each refusal would fill the log while an endpoint is full.
#[test]
fn a_rule_that_flips_with_each_request_is_reported_now_and_then() {
    let mut scheduler = support::scheduler(&support::bookings(1, 1), 1);
    look(&mut scheduler, NOW);
    let (mut reported, mut counted) = (Vec::new(), 0);
    let mut note = |scheduler: &mut Scheduler, now| {
        let changes = scheduler.usability_changes(now);
        counted += changes.counts.values().sum::<u64>();
        reported.extend(changes.reported);
    };
    for round in 1..=150 {
        let now = NOW + ms(400) * round;
        // An answer in between keeps the backoff short.
        for outcome in [Outcome::Whole, Outcome::Refused] {
            let placement = support::place(&mut scheduler, booking(now), now);
            scheduler.record_outcome(placement.ticket, outcome, now);
        }
        note(&mut scheduler, now + ms(10));
        note(&mut scheduler, now + LOOK);
        note(&mut scheduler, now + ms(390));
    }
    let last = NOW + ms(400) * 151 + ms(10_000);
    note(&mut scheduler, last);
    assert_eq!(counted, 300);
    assert!(reported.len() <= 8, "{reported:#?}");
    let suppressed: u32 = reported.iter().map(|change| change.suppressed).sum();
    let lines = u32::try_from(reported.len()).expect("a few");
    assert!(
        suppressed + lines <= 300 && suppressed >= 200,
        "{suppressed}"
    );
    // The last line tells how the endpoint is left.
    assert!(reported.last().is_some_and(|change| !change.holds));
}

/// An endpoint stood as ejected, and nobody knew by whose word.
#[test]
fn an_ejection_names_the_host_that_reported_last() {
    let mut scheduler = support::scheduler(&support::bookings(2, 1), 9);
    look(&mut scheduler, NOW);
    let host = id::Host::from("host-1");
    scheduler.record_contact(&host, NOW);
    let mut send = |tried: &str, outcome, now| {
        let query = Query {
            requesting_host: Some(host.clone()),
            tried: vec![id::Endpoint::from(tried)],
            ..booking(now)
        };
        let placement = support::place(&mut scheduler, query, now);
        scheduler.record_outcome(placement.ticket, outcome, now);
    };
    send("b0", Outcome::Whole, NOW);
    for _ in 0..3 {
        send("b1", Outcome::Failed, NOW);
    }
    send("b0", Outcome::Whole, NOW + ms(100));
    let changes = look(&mut scheduler, NOW + ms(150));
    let [change] = &changes[..] else {
        panic!("one rule has begun: {changes:#?}");
    };
    assert_eq!(
        (change.endpoint.as_str(), change.rule),
        ("b0", Rule::Ejected)
    );
    assert_eq!(change.inputs.reporter, Some(Reporter::Host(host)));
    assert_eq!(change.inputs.age, Some(ms(50)));
}

fn refused(scheduler: &mut Scheduler, query: Query, now: Duration) -> Availability {
    match support::decide(scheduler, query, now) {
        Some(Decision::Refused { availability, .. }) => availability,
        other => panic!("the request is not refused: {other:?}"),
    }
}

/// Reasons and how many endpoints have each, in the order of their names.
fn reasons(availability: &Availability) -> Vec<(&'static str, usize)> {
    let exclusions = availability.exclusions.iter();
    let reasons = exclusions.map(|exclusion| (exclusion.reason.as_str(), exclusion.number));
    let mut reasons: Vec<_> = reasons.collect();
    reasons.sort_unstable();
    reasons
}

/// A refusal told how many endpoints were usable, and not what kept the others away.
#[rstest]
#[case::listed_as_leaving(be_listed_as_leaving, "leaving")]
#[case::leaving(leave, "leaving")]
#[case::loading(load, "loading")]
#[case::asked_backoff(ask_for_backoff, "asked_backoff")]
#[case::refusal_backoff(refuse, "refusal_backoff")]
#[case::limit(name_limit, "limit")]
#[case::limit_on_refusals(name_limit_on_refusals, "refusal_limit")]
#[case::ejected(fail, "ejected")]
#[case::probing(be_probed, "probing")]
fn a_refusal_names_the_rule(#[case] begin: fn(&mut Scheduler), #[case] expected: &str) {
    let mut scheduler = support::scheduler(&support::bookings(1, 1), 1);
    begin(&mut scheduler);
    let now = if expected == "probing" {
        NOW + ms(510)
    } else {
        NOW + ms(10)
    };
    let availability = refused(&mut scheduler, booking(now), now);
    assert_eq!(reasons(&availability), [(expected, 1)]);
}

/// Engines that each have a request, and a query for them that is refused.
fn engines(change: fn(&mut Query)) -> (Scheduler, Query) {
    let mut scheduler = support::scheduler(&support::engines(2, 1), 1);
    let mut query = Query {
        target: NOW,
        ..support::query(support::history("dancer"), NOW)
    };
    for other in ["e0", "e1"] {
        let query = Query {
            tried: names(&[other]),
            ..query.clone()
        };
        support::place(&mut scheduler, query, NOW);
    }
    change(&mut query);
    (scheduler, query)
}

fn names(names: &[&str]) -> Vec<id::Endpoint> {
    names.iter().copied().map(id::Endpoint::from).collect()
}

fn ask_for_too_much(query: &mut Query) {
    let mut prompt = support::history("long");
    prompt.tokens = 200_000;
    query.prompt = Some(prompt.into());
    query.target_latency = ms(1_000_000);
    query.deadline = NOW + ms(10_000_000);
}

/// Engines whose weights are too old.
fn old_weights() -> (Scheduler, Query) {
    let (mut scheduler, query) = engines(|_| ());
    support::set_target_version(&mut scheduler, 2, NOW.saturating_sub(OLD_WEIGHTS));
    (scheduler, query)
}

/// An engine to which each of many schedulers may send one request.
fn full_connections() -> (Scheduler, Query) {
    let mut scheduler = support::scheduler(&support::engines(1, 1), 1_000);
    let query = Query {
        target: NOW,
        ..support::query(support::history("dancer"), NOW)
    };
    support::place(&mut scheduler, query.clone(), NOW);
    (scheduler, query)
}

/// Three endpoints of a zone that the host does not reach, and a busy one in its own zone.
fn unreachable_zone() -> (Scheduler, Query) {
    let mut endpoints = support::bookings(4, 1);
    for endpoint in &mut endpoints[1..] {
        endpoint.zone = id::Zone::from("b");
    }
    let mut scheduler = support::scheduler(&endpoints, 1);
    let all = ["b0", "b1", "b2", "b3"];
    let send_to = |scheduler: &mut Scheduler, endpoint: &str| {
        let others = all.into_iter().filter(|other| *other != endpoint);
        let query = Query {
            tried: others.map(id::Endpoint::from).collect(),
            ..booking(NOW)
        };
        support::place(scheduler, query, NOW).ticket
    };
    for endpoint in all {
        send_to(&mut scheduler, endpoint);
    }
    let failing = ["b1", "b2", "b3"].map(|endpoint| send_to(&mut scheduler, endpoint));
    for ticket in failing {
        scheduler.record_outcome(ticket, Outcome::Unreachable, NOW);
    }
    let query = Query {
        target_latency: ms(1),
        ..booking(NOW)
    };
    (scheduler, query)
}

/// A request was refused at endpoints that others used, and the log did not say why.
#[rstest]
#[case::tried(engines(|query| query.tried = names(&["e0", "e1"])), &[("tried", 2)])]
#[case::avoided(engines(|query| query.avoided = names(&["e0", "e1"])), &[("avoided", 2)])]
#[case::both(
    engines(|query| {
        query.tried = names(&["e0"]);
        query.avoided = names(&["e1"]);
    }),
    &[("avoided", 1), ("tried", 1)]
)]
#[case::other_software(
    engines(|query| query.software = Some("v2".into())), &[("other_software", 2)]
)]
#[case::late(engines(|query| query.target_latency = ms(1)), &[("late", 2)])]
#[case::no_capacity(engines(ask_for_too_much), &[("no_capacity", 2)])]
#[case::old_weights(old_weights(), &[("old_weights", 2)])]
#[case::connections(full_connections(), &[("connections", 1)])]
#[case::unreachable_zone(unreachable_zone(), &[("late", 1), ("unreachable_zone", 3)])]
fn a_refusal_names_the_reason_of_the_request(
    #[case] (mut scheduler, query): (Scheduler, Query),
    #[case] expected: &[(&str, usize)],
) {
    let availability = refused(&mut scheduler, query, NOW);
    assert_eq!(reasons(&availability), expected);
}

/// With hundreds of endpoints a refusal would be a page.
#[test]
fn a_refusal_names_few_endpoints() {
    let mut scheduler = support::scheduler(&support::engines(200, 1), 1);
    let mut query = support::query(support::history("dancer"), NOW);
    query.target = NOW;
    let all = support::engines(200, 1).into_iter();
    query.tried = all.map(|endpoint| endpoint.id).collect();
    let exclusions = refused(&mut scheduler, query, NOW).exclusions;
    let text: Vec<String> = exclusions.iter().map(ToString::to_string).collect();
    assert_eq!(text, ["tried=200(e0,e1,e2,…)"]);
}

/// The time that an estimate gave shows whether the estimate or the target is wrong.
#[test]
fn a_refusal_names_estimates_that_are_too_late() {
    let (mut scheduler, query) = engines(|query| query.target_latency = ms(1));
    let availability = refused(&mut scheduler, query, NOW);
    let estimates = availability
        .exclusions
        .iter()
        .flat_map(|late| &late.endpoints);
    let soonest = estimates.filter_map(|excluded| excluded.first_event).min();
    assert_eq!(soonest, Some(availability.first_event));
}

/// Guards against estimates of named endpoints that are only bounds: late endpoints are not all
/// estimated, and some of those before the named ones lack memory.
#[test]
fn late_endpoints_are_named_with_their_own_estimates() {
    let all = support::engines(12, 1);
    let mut scheduler = support::scheduler(&all, 1);
    for (number, engine) in (0..).zip(&all) {
        let memory = if number % 3 == 0 { 110_000 } else { 9_000 };
        let in_flight = InFlight {
            requesting_host: id::Host::from("host"),
            zone: engine.zone.clone(),
            endpoint: engine.id.clone(),
            unread: 9_000 * (1 + number % 5),
            memory,
            deadline: NOW + ms(5_000),
        };
        scheduler.record_in_flight(&in_flight, NOW);
    }
    let late = |scheduler: &mut Scheduler, others: &[Endpoint]| {
        let query = Query {
            target: NOW,
            target_latency: ms(1),
            tried: others.iter().map(|other| other.id.clone()).collect(),
            ..support::query(support::history("dancer"), NOW)
        };
        let exclusions = refused(scheduler, query, NOW).exclusions;
        let late = exclusions.into_iter();
        let late: Vec<_> = late.filter(|some| some.reason == Reason::Late).collect();
        late.into_iter()
            .flat_map(|late| late.endpoints)
            .collect::<Vec<_>>()
    };
    let named = late(&mut scheduler, &[]);
    assert_eq!(named.len(), 3);
    for excluded in named {
        let others = all.iter().filter(|other| other.id != excluded.endpoint);
        let others: Vec<_> = others.cloned().collect();
        assert_eq!(late(&mut scheduler, &others), [excluded]);
    }
}

/// A request at an endpoint that seemed too slow looked like any other one.
#[test]
fn a_placement_tells_whether_it_is_a_trial() {
    let mut scheduler = support::scheduler(&support::bookings(1, 1), 1);
    let is_trial: Vec<bool> = (0..4)
        .map(|round| {
            let now = NOW + ms(1_200) * round;
            let placement = support::place(&mut scheduler, booking(now), now);
            scheduler.record_outcome(placement.ticket, Outcome::Whole, now + ms(1_200));
            placement.is_trial
        })
        .collect();
    assert!(!is_trial[0] && is_trial[3], "{is_trial:?}");
}

/// A reason that hosts cannot read by its name is lost between them.
#[test]
fn reasons_are_found_by_their_names() {
    for reason in Reason::all() {
        assert_eq!(Reason::from_name(reason.as_str()), reason);
    }
    assert_eq!(Reason::from_name("asleep"), Reason::Unknown);
}
