//! Plain services, whose requests are placed by how long their endpoints took lately.

use std::time::Duration;

use papayayard_routing::placement::{Outcome, Query, Scheduler};
use papayayard_wire::id;
use rstest::rstest;

use crate::support::{self, NOW, ms};

/// Target latency and time to the deadline of all requests.
const TARGET: Duration = Duration::from_millis(120);
const LIMIT: Duration = Duration::from_secs(1);
const ANSWER: Duration = Duration::from_millis(15);
/// Time of an answer whose endpoint was silent for a moment.
const LATE_ANSWER: Duration = Duration::from_millis(1200);

fn booking(now: Duration) -> Query {
    Query {
        service: id::Service::from("bookings"),
        prompt: None,
        is_repeatable: false,
        target: now + TARGET,
        target_latency: TARGET,
        deadline: now + LIMIT,
        ..support::query(support::history("none"), now)
    }
}

/// Sends bookings that are all answered late.
fn answer_late(scheduler: &mut Scheduler, number: usize) -> Duration {
    let mut tickets = Vec::new();
    for _ in 0..number {
        tickets.push(support::place(scheduler, booking(NOW), NOW).ticket);
    }
    let end = NOW + LATE_ANSWER;
    for ticket in tickets {
        scheduler.record_outcome(ticket, Outcome::Whole, end);
    }
    end
}

/// Sends a booking each `pause`, answered in time; returns how many of `number` were refused.
fn refused(scheduler: &mut Scheduler, from: Duration, pause: Duration, number: u32) -> u32 {
    let mut refused = 0;
    for index in 0..number {
        let now = from + pause * index;
        match support::ask(scheduler, booking(now), now) {
            Some(placement) => {
                scheduler.record_outcome(placement.ticket, Outcome::Whole, now + ANSWER);
            }
            None => refused += 1,
        }
    }
    refused
}

/// Once its endpoints had answered late, a service was refused for ever: no request was sent that
/// could have shown that they are quick again.
#[rstest]
fn a_service_whose_endpoints_were_slow_is_served_again(
    #[values(1, 3)] endpoints: usize,
    #[values(1, 9)] hosts: usize,
    #[values(ms(20), ms(700))] pause: Duration,
) {
    let mut scheduler = support::scheduler(&support::bookings(endpoints, 6), hosts);
    let end = answer_late(&mut scheduler, 8 * endpoints);
    let calm = end + ms(3_000);
    scheduler.check_overdue(calm);
    assert_eq!(refused(&mut scheduler, calm, pause, 100), 0);
}

/// An endpoint that is slow gets one request at a time while others wait.
#[test]
fn a_slow_endpoint_gets_one_request_at_a_time() {
    let mut scheduler = support::scheduler(&support::bookings(1, 6), 1);
    let end = answer_late(&mut scheduler, 12);
    assert!(support::ask(&mut scheduler, booking(end), end).is_some());
    assert!(support::ask(&mut scheduler, booking(end), end).is_none());
}

/// Endpoints that had failed again and again were ejected for up to half a minute, all of them.
#[rstest]
fn a_service_whose_endpoints_are_all_ejected_is_served_again(
    #[values(1, 3)] endpoints: usize,
    #[values(ms(20), ms(700))] pause: Duration,
) {
    let mut scheduler = support::scheduler(&support::bookings(endpoints, 6), 9);
    let host = id::Host::from("host-1");
    let mut now = NOW;
    for _ in 0..1_600 {
        now += ms(10);
        scheduler.record_contact(&host, now);
        let query = Query {
            requesting_host: Some(host.clone()),
            ..booking(now)
        };
        if let Some(placement) = support::ask(&mut scheduler, query, now) {
            scheduler.record_outcome(placement.ticket, Outcome::Failed, now);
        }
    }
    let calm = now + ms(3_000);
    scheduler.check_overdue(calm);
    assert_eq!(refused(&mut scheduler, calm, pause, 100), 0);
}
