use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::table::Table;
use tokio::sync::watch;
use tokio::time;

use super::{Periods, follow};
use crate::beliefs::Configuration;

const BOUND: Duration = Duration::from_secs(2);
const SHORT: Duration = Duration::from_secs(1);
const MIDDLE: Duration = Duration::from_secs(3);
const LONG: Duration = Duration::from_secs(9);

fn configuration(idle: Duration, head: Duration) -> Configuration {
    let mut table = Table::default();
    table.limits.idle = idle;
    table.limits.head = head;
    Configuration {
        table: Some(Arc::new(table)),
        ..Configuration::default()
    }
}

/// Follows a configuration with an idle limit.
fn start(idle: Duration) -> (watch::Sender<Configuration>, watch::Receiver<Periods>) {
    let (configurations, configuration) = watch::channel(configuration(idle, SHORT));
    let (periods, current) = watch::channel(Periods::default());
    tokio::spawn(follow(configuration, BOUND, periods));
    (configurations, current)
}

/// Waits until the periods change, and returns the idle limit with the time that passed.
async fn next(periods: &mut watch::Receiver<Periods>) -> (Duration, Duration) {
    let start = time::Instant::now();
    periods.changed().await.expect("a limit");
    (periods.borrow_and_update().idle, start.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_longer_limit_applies_at_once() {
    let (configurations, mut limit) = start(SHORT);
    assert_eq!(next(&mut limit).await, (SHORT, Duration::ZERO));
    configurations.send_replace(configuration(LONG, SHORT));
    assert_eq!(next(&mut limit).await, (LONG, Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn a_shorter_limit_applies_once_callers_know_it() {
    let (configurations, mut limit) = start(LONG);
    assert_eq!(next(&mut limit).await, (LONG, Duration::ZERO));
    configurations.send_replace(configuration(SHORT, SHORT));
    let (shorter, passed) = next(&mut limit).await;
    assert_eq!(shorter, SHORT);
    assert!((BOUND..BOUND + SHORT).contains(&passed), "{passed:?}");
}

/// Guards against a limit that ends with another one, or never while configurations change.
#[tokio::test(start_paused = true)]
async fn each_earlier_limit_ends_in_its_own_time() {
    let (configurations, mut limit) = start(LONG);
    assert_eq!(next(&mut limit).await, (LONG, Duration::ZERO));
    configurations.send_replace(configuration(MIDDLE, SHORT));
    time::sleep(BOUND / 2).await;
    configurations.send_replace(configuration(SHORT, SHORT));
    let (middle, passed) = next(&mut limit).await;
    assert_eq!(middle, MIDDLE);
    assert!((BOUND / 2..BOUND).contains(&passed), "{passed:?}");
    let (short, passed) = next(&mut limit).await;
    assert_eq!(short, SHORT);
    assert!((BOUND / 2..BOUND).contains(&passed), "{passed:?}");
}

#[tokio::test(start_paused = true)]
async fn the_longest_of_each_limit_applies() {
    let (configurations, mut limit) = start(LONG);
    assert_eq!(next(&mut limit).await, (LONG, Duration::ZERO));
    configurations.send_replace(configuration(SHORT, LONG));
    assert_eq!(next(&mut limit).await, (LONG, Duration::ZERO));
    assert_eq!(limit.borrow().head, LONG);
    assert_eq!(next(&mut limit).await.0, SHORT);
    assert_eq!(limit.borrow().head, LONG);
}
