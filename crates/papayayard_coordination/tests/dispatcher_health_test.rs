//! Hosts keep to a busy dispatcher, and leave one that is gone at once.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_coordination::dispatcher_health::{
    self, Call, Health, MAX_TIMEOUT_ROUNDS, RECENT_ANSWER, State,
};
use papayayard_coordination::ranking::{Candidate, Failover};
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_millis(220);
/// Time of an answer of a dispatcher with little load.
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// Time at which a dispatcher fails.
const FAILURE: Duration = Duration::from_secs(2);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A call and the time after which it is answered, if it is.
#[derive(Clone, Copy)]
struct Sent {
    call: Call,
    at: Duration,
    answer_time: Option<Duration>,
}

impl Sent {
    fn placement(at: Duration, answer_time: Option<Duration>) -> Self {
        Self {
            call: Call::Placement,
            at,
            answer_time: answer_time.filter(|time| *time < TIMEOUT),
        }
    }
}

/// Replays calls; returns the states at their time-outs, by time.
fn replay(health: &mut Health, calls: &[Sent]) -> Vec<(Duration, State)> {
    let mut events: BTreeMap<(Duration, usize), Sent> = BTreeMap::new();
    for (index, sent) in calls.iter().enumerate() {
        let ends_at = sent.at + sent.answer_time.unwrap_or(TIMEOUT);
        events.insert((ends_at, index), *sent);
    }
    let mut states = Vec::new();
    for ((now, _), sent) in events {
        if sent.answer_time.is_some() {
            health.record_answer(sent.call, sent.at, now);
        } else {
            states.push((now, health.record_timeout(sent.call, sent.at, now)));
        }
    }
    states
}

fn times(from: Duration, to: Duration, period: Duration) -> impl Iterator<Item = Duration> {
    let number = to.saturating_sub(from).as_millis() / period.as_millis();
    (0..u32::try_from(number).unwrap()).map(move |index| from + period * index)
}

/// Guards against hosts that place requests alone during a burst, since a third of their calls
/// time out.
#[rstest]
fn a_dispatcher_that_answers_two_calls_of_three_is_busy(
    #[values(2, 10, 40)] period_ms: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut unanswered = 0;
    let calls: Vec<Sent> = times(ms(1000), ms(11_000), ms(period_ms))
        .enumerate()
        .map(|(index, at)| {
            if index % 3 == 0 {
                unanswered = random.random_range(0..3);
            }
            let is_answered = index % 3 != unanswered;
            let answer_time = is_answered.then(|| ms(random.random_range(20..220)));
            Sent::placement(at, answer_time)
        })
        .collect();
    let states = replay(&mut Health::default(), &calls);
    assert!(states.len() > 50, "a third of the calls time out");
    let left = states.iter().find(|(_, state)| *state == State::Gone);
    assert_eq!(left, None);
}

/// Guards against requests that wait for a dispatcher that does not run any more: the first call
/// after its last answer shows it.
#[rstest]
fn a_frozen_dispatcher_is_left_at_once(#[values(1, 7, 30, 300)] period_ms: u64) {
    let calls: Vec<Sent> = times(ms(1000), ms(4000), ms(period_ms))
        .map(|at| Sent::placement(at, (at + ANSWER_TIME < FAILURE).then_some(ANSWER_TIME)))
        .collect();
    let last_answer = FAILURE;
    let first_unanswered = calls.iter().find(|sent| sent.at >= last_answer).unwrap();
    let states = replay(&mut Health::default(), &calls);
    let left = states.iter().find(|(_, state)| *state == State::Gone);
    let left_at = left.expect("the dispatcher is left").0;
    assert!(left_at <= first_unanswered.at + TIMEOUT, "{left_at:?}");
}

/// Guards against a repeated call to a dispatcher that has just become silent, which waits for
/// its whole time-out.
#[test]
fn a_repeated_call_waits_no_longer_than_the_dispatcher_may_be_silent() {
    let mut health = Health::default();
    health.record_answer(Call::Placement, FAILURE.saturating_sub(ms(5)), FAILURE);
    let unanswered_at = FAILURE.saturating_sub(ms(3));
    let now = unanswered_at + TIMEOUT;
    let state = health.record_timeout(Call::Placement, unanswered_at, now);
    assert_eq!(state, State::Busy);
    let waited = health.retry_timeout(TIMEOUT, now);
    assert_eq!(waited, RECENT_ANSWER);
    let state = health.record_timeout(Call::Placement, now, now + waited);
    assert_eq!(state, State::Gone);
    health.record_answer(Call::Heartbeat, now, now);
    assert_eq!(health.retry_timeout(TIMEOUT, now), TIMEOUT);
}

fn failover() -> Failover {
    let mut failover = Failover::default();
    let candidate = |name: &str, port| Candidate {
        host: id::Host::from(name),
        address: ([10, 0, 0, 1], port).into(),
        capacity: 1,
    };
    failover.set(vec![candidate("first", 1), candidate("second", 2)]);
    failover
}

fn asked(failover: &Failover, now: Duration) -> &str {
    let candidate = failover.first(now).expect("a dispatcher");
    candidate.host.as_str()
}

/// Guards against answers of an earlier process that let a host keep to a killed dispatcher.
#[test]
fn a_killed_dispatcher_is_left_at_once() {
    let mut health = Health::default();
    let mut failover = failover();
    health.record_answer(Call::Placement, FAILURE, FAILURE);
    // A connection is refused.
    health.reset();
    failover.failed(&id::Host::from("first"), FAILURE);
    assert_eq!(asked(&failover, FAILURE), "second");
    let sent_at = FAILURE + ms(1);
    let state = health.record_timeout(Call::Placement, sent_at, sent_at + TIMEOUT);
    assert_eq!(state, State::Gone);
}

/// Guards against a partition after which a host does not return to its dispatcher, or leaves it
/// again by what it knew before.
#[test]
fn a_dispatcher_is_used_again_after_a_partition_or_a_pause() {
    let first = id::Host::from("first");
    let back_at = FAILURE + ms(3000);
    let mut health = Health::default();
    let mut failover = failover();
    let is_answered = |at: Duration| at + ANSWER_TIME < FAILURE || at >= back_at;
    let mut now = ms(1000);
    let mut left = Vec::new();
    while now < back_at + ms(12_000) {
        if asked(&failover, now) != "first" {
            now += ms(10);
            continue;
        }
        let sent = Sent::placement(now, is_answered(now).then_some(ANSWER_TIME));
        now += sent.answer_time.unwrap_or(TIMEOUT);
        let states = replay(&mut health, &[sent]);
        match states.first() {
            Some((left_at, State::Gone)) => {
                failover.failed(&first, *left_at);
                left.push(*left_at);
            }
            Some((_, State::Busy)) => {}
            None => failover.answered(&first),
        }
    }
    assert!(left[0] <= FAILURE + TIMEOUT, "{left:?}");
    assert!(left.iter().all(|at| *at < back_at), "{left:?}");
    assert_eq!(asked(&failover, now), "first");
    assert!(!failover.is_backed_off(&first, now));
}

/// Guards against a dispatcher that is kept for ever since its process answers, although it
/// decides nothing.
#[test]
fn a_dispatcher_that_answers_only_heartbeats_is_left() {
    let end = ms(5000);
    let placements = times(ms(1000), end, ms(10)).map(|at| Sent::placement(at, None));
    let heartbeats = times(ms(1000), end, ms(50)).map(|at| Sent {
        call: Call::Heartbeat,
        at,
        answer_time: Some(ANSWER_TIME),
    });
    let calls: Vec<Sent> = placements.chain(heartbeats).collect();
    let states = replay(&mut Health::default(), &calls);
    let left = states.iter().find(|(_, state)| *state == State::Gone);
    let left_at = left.expect("the dispatcher is left").0;
    let rounds = TIMEOUT * MAX_TIMEOUT_ROUNDS;
    assert!(left_at >= ms(1000) + rounds, "{left_at:?}");
    assert!(left_at <= ms(1000) + rounds + ms(10) * MAX_TIMEOUT_ROUNDS);
}

/// Guards against calls that were sent together and count for the bound one by one: a pause of
/// less than a second would let all hosts leave.
#[test]
fn calls_that_time_out_together_count_once() {
    let calls = times(ms(1000), ms(1200), ms(10)).map(|at| Sent::placement(at, None));
    let heartbeat = Sent {
        call: Call::Heartbeat,
        at: ms(1190),
        answer_time: Some(ANSWER_TIME),
    };
    let calls: Vec<Sent> = calls.chain([heartbeat]).collect();
    let states = replay(&mut Health::default(), &calls);
    assert!(states.iter().all(|(_, state)| *state == State::Busy));
}

/// Guards against callers that were refused together and return together, or past their
/// deadlines.
#[test]
fn refused_callers_return_at_different_times() {
    let left = Duration::from_secs(10);
    let delay = |draw| dispatcher_health::retry_after(left, draw);
    assert!(delay(0.0) > delay(0.5) && delay(0.5) > delay(1.0));
    assert!(delay(0.0) <= Duration::from_secs(1));
    assert!(delay(1.0) >= ms(200));
    assert!(dispatcher_health::retry_after(ms(300), 0.0) < ms(100));
}
