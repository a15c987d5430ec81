//! A dispatcher that cannot keep up answers all calls in time, and decides the urgent ones.

use std::time::Duration;

use papayayard_coordination::shedding::{Request, Shedder};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time after which callers give up.
const TIMEOUT: Duration = Duration::from_millis(220);
/// Interval at which the process looks at waiting requests.
const PERIOD: Duration = Duration::from_millis(20);
/// Processor time to read a call.
const READ_COST: Duration = Duration::from_micros(80);
/// Processor time to write an answer.
const ANSWER_COST: Duration = Duration::from_micros(50);
const END: Duration = Duration::from_secs(10);
/// Priorities of calls, in turn.
const PRIORITIES: [u8; 5] = [0, 1, 1, 2, 2];

/// A dispatcher's process with one thread.
struct Process {
    now: Duration,
    decision_cost: Duration,
    /// Fraction of the time in which the process runs, in periods of 100 ms.
    share: f64,
    random: ChaCha8Rng,
}

impl Process {
    /// Uses processor time.
    fn work(&mut self, cost: Duration) {
        let factor = self.random.random_range(0.8..1.2);
        let mut left = cost.mul_f64(factor);
        loop {
            let period = Duration::from_millis(100);
            let in_period = Duration::from_nanos(
                u64::try_from(self.now.as_nanos() % period.as_nanos()).unwrap(),
            );
            let quota = period.mul_f64(self.share);
            if in_period >= quota {
                self.now += period.saturating_sub(in_period);
                continue;
            }
            let step = left.min(quota.saturating_sub(in_period));
            self.now += step;
            left -= step;
            if left.is_zero() {
                return;
            }
        }
    }
}

#[derive(Clone, Copy)]
struct Call {
    sent_at: Duration,
    priority: u8,
}

/// What became of the calls of a priority.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    decided: u32,
    shed: u32,
    timed_out: u32,
}

impl Counts {
    fn decided_fraction(self) -> f64 {
        let all = self.decided + self.shed + self.timed_out;
        f64::from(self.decided) / f64::from(all)
    }
}

/// Calls at a multiple of what the process can decide.
fn calls(process: &mut Process, load: f64) -> Vec<Call> {
    let cost = process.decision_cost + READ_COST + ANSWER_COST;
    let period = cost.div_f64(load * process.share);
    let mut at = Duration::from_secs(1);
    let mut calls = Vec::new();
    while at < END {
        at += period.mul_f64(process.random.random_range(0.0..2.0));
        let priority = PRIORITIES[process.random.random_range(0..PRIORITIES.len())];
        calls.push(Call {
            sent_at: at,
            priority,
        });
    }
    calls
}

/// Replays calls at a process that sheds, or at one that does not.
fn replay(mut process: Process, load: f64, sheds: bool) -> [Counts; 3] {
    let calls = calls(&mut process, load);
    let mut shedder = Shedder::new(TIMEOUT);
    let mut counts = [Counts::default(); 3];
    let mut next = 0;
    let mut slept_at = Duration::ZERO;
    while next < calls.len() {
        process.now = process.now.max(calls[next].sent_at);
        shedder.record_lag(process.now.saturating_sub(slept_at + PERIOD), process.now);
        slept_at = process.now;
        let mut requests = Vec::new();
        while next < calls.len() && calls[next].sent_at <= slept_at {
            process.work(READ_COST);
            requests.push(Request {
                key: next,
                priority: calls[next].priority,
                arrived_at: process.now,
            });
            next += 1;
        }
        let shed = if sheds {
            shedder.shed(&mut requests, 0, process.now)
        } else {
            Vec::new()
        };
        let decided = requests.len() - shed.len();
        process.work(ANSWER_COST * u32::try_from(shed.len()).unwrap());
        let shed_at = process.now;
        let started_at = process.now;
        process.work(process.decision_cost * u32::try_from(decided).unwrap());
        shedder.record_pass(decided, process.now.saturating_sub(started_at));
        process.work(ANSWER_COST * u32::try_from(decided).unwrap());
        for request in requests {
            let is_shed = shed.contains(&request.key);
            let answered_at = if is_shed { shed_at } else { process.now };
            let count = &mut counts[usize::from(request.priority)];
            if answered_at > calls[request.key].sent_at + TIMEOUT {
                count.timed_out += 1;
            } else if is_shed {
                count.shed += 1;
            } else {
                count.decided += 1;
            }
        }
    }
    counts
}

fn process(decision_us: u64, share: f64, seed: u64) -> Process {
    Process {
        now: Duration::ZERO,
        decision_cost: Duration::from_micros(decision_us),
        share,
        random: ChaCha8Rng::seed_from_u64(seed),
    }
}

/// Fraction of twice the load that a process can decide, which also reads and answers what it
/// refuses.
fn possible_fraction(decision_us: u64) -> f64 {
    let overhead = (READ_COST + ANSWER_COST).as_secs_f64();
    let decision = Duration::from_micros(decision_us).as_secs_f64();
    (decision - overhead) / decision / 2.0
}

/// Guards against a burst in which all calls time out since none is refused in time, and against
/// urgent requests that are refused beside others.
#[rstest]
fn at_twice_the_load_urgent_requests_are_decided_and_no_call_times_out(
    #[values(400, 1000, 4000)] decision_us: u64,
    #[values(0.5, 1.0)] share: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let counts = replay(process(decision_us, share, seed), 2.0, true);
    let timed_out: u32 = counts.iter().map(|count| count.timed_out).sum();
    assert_eq!(timed_out, 0, "{counts:?}");
    let fractions = counts.map(Counts::decided_fraction);
    // A process that runs for half of the time has pauses of 50 ms.
    let urgent = if share < 1.0 { 0.85 } else { 0.97 };
    assert!(fractions[0] > urgent, "{fractions:?}");
    assert!(
        fractions[1] < fractions[0] && fractions[2] < fractions[1],
        "{fractions:?}"
    );
    let decided: u32 = counts.iter().map(|count| count.decided).sum();
    let all: u32 = counts.iter().map(|count| count.decided + count.shed).sum();
    let decided = f64::from(decided) / f64::from(all);
    let possible = possible_fraction(decision_us);
    assert!(decided > 0.75 * possible, "{decided} of {possible}");
}

/// Guards against a replay in which nothing would time out without shedding.
#[test]
fn at_twice_the_load_calls_time_out_without_shedding() {
    let counts = replay(process(1000, 1.0, 1), 2.0, false);
    let timed_out: u32 = counts.iter().map(|count| count.timed_out).sum();
    assert!(timed_out > 1000, "{counts:?}");
}

/// Guards against refusals by a process that can decide everything in time. One that does not run
/// for 30 ms of each 100 ms may shed a few requests that are not urgent.
#[rstest]
fn hardly_anything_is_shed_at_half_the_load(
    #[values(400, 1000, 4000)] decision_us: u64,
    #[values(0.7, 1.0)] share: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let counts = replay(process(decision_us, share, seed), 0.5, true);
    let shed: u32 = counts.iter().map(|count| count.shed).sum();
    let all: u32 = counts.iter().map(|count| count.decided + count.shed).sum();
    let allowed = if share < 1.0 { all / 500 } else { 0 };
    assert!(shed <= allowed, "{counts:?}");
    assert_eq!(counts[0].shed, 0, "{counts:?}");
    assert!(
        counts.iter().all(|count| count.timed_out == 0),
        "{counts:?}"
    );
}

/// Guards against a pause of the process after which nothing is decided.
#[test]
fn requests_are_decided_after_a_pause() {
    let mut shedder = Shedder::new(TIMEOUT);
    let now = Duration::from_secs(10);
    shedder.record_lag(Duration::from_secs(3), now);
    shedder.record_pass(100, Duration::from_millis(100));
    let mut requests = [Request {
        key: 1,
        priority: 0,
        arrived_at: now,
    }];
    assert!(shedder.shed(&mut requests, 0, now).is_empty());
}

/// Guards against a pass that decides nothing, so that its time is never known to be shorter.
#[test]
fn the_most_urgent_request_is_decided() {
    let mut shedder = Shedder::new(TIMEOUT);
    let now = Duration::from_secs(10);
    for _ in 0..100 {
        shedder.record_pass(100, Duration::from_secs(30));
    }
    let request = |key, priority| Request {
        key,
        priority,
        arrived_at: now,
    };
    let mut requests = [request(1, 2), request(2, 0), request(3, 1)];
    assert_eq!(shedder.shed(&mut requests, 0, now), [1, 3]);
}
