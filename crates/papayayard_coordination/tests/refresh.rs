//! Schedule for appending the accepted configuration again, and how many hosts do so.

use std::time::Duration;

use papayayard_coordination::configuration::Refresh;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const RETENTION: Duration = Duration::from_hours(24);
const STEP: usize = 5;
const HOUR: Duration = Duration::from_hours(1);

#[rstest]
#[case::earliest(0.0, 12)]
#[case::latest(1.0, 18)]
#[case::draw_out_of_bounds(7.0, 18)]
fn a_refresh_is_due_in_the_third_quarter_of_the_retention(#[case] jitter: f64, #[case] hours: u32) {
    let mut refresh = Refresh::new(RETENTION);
    assert!(!refresh.is_due(Duration::MAX));
    refresh.observe(HOUR, jitter);
    assert!(!refresh.is_due(HOUR * hours));
    assert!(refresh.is_due(HOUR * (hours + 1)));
}

#[test]
fn a_later_record_delays_the_refresh_and_an_earlier_record_does_not() {
    let mut refresh = Refresh::new(RETENTION);
    refresh.observe(HOUR * 10, 0.0);
    refresh.observe(HOUR, 0.0);
    assert!(!refresh.is_due(HOUR * 21));
    refresh.observe(HOUR * 20, 0.0);
    assert!(!refresh.is_due(HOUR * 31));
    assert!(refresh.is_due(HOUR * 32));
}

#[test]
fn a_log_whose_clock_is_behind_is_not_flooded() {
    let mut refresh = Refresh::new(RETENTION);
    let now = HOUR * 1_000;
    refresh.observe(HOUR, 0.5);
    assert!(refresh.is_due(now));
    refresh.defer(now, HOUR);
    refresh.observe(HOUR * 2, 0.5);
    assert!(!refresh.is_due(now + HOUR / 2));
    assert!(refresh.is_due(now + HOUR));
}

/// 510 hosts over 5 days append one or two records in every half day.
#[test]
fn few_of_many_hosts_append_the_record() {
    let mut random = ChaCha8Rng::seed_from_u64(4);
    let read_delay = Duration::from_secs(STEP as u64);
    let mut hosts = vec![Refresh::new(RETENTION); 510];
    let mut records = vec![Duration::ZERO];
    let mut appends = 0;
    for second in (0..5 * 24 * 3600_u64).step_by(STEP) {
        let now = Duration::from_secs(second);
        while let Some(&time) = records.first().filter(|time| **time <= now) {
            records.remove(0);
            for host in &mut hosts {
                host.observe(time, random.random());
            }
        }
        for host in &mut hosts {
            if host.is_due(now) {
                host.defer(now, HOUR);
                records.push(now + read_delay);
                appends += 1;
            }
        }
    }
    assert!((7..=20).contains(&appends), "{appends} appends");
}
