use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::table::Table;
use tokio::sync::watch;
use tokio::time;

use super::follow;
use crate::beliefs::Configuration;

const BOUND: Duration = Duration::from_secs(2);
const SHORT: Duration = Duration::from_secs(1);
const MIDDLE: Duration = Duration::from_secs(3);
const LONG: Duration = Duration::from_secs(9);

fn configuration(idle: Duration) -> Configuration {
    let mut table = Table::default();
    table.limits.idle = idle;
    Configuration {
        table: Some(Arc::new(table)),
        ..Configuration::default()
    }
}

/// Follows a configuration with the idle limit `idle`.
fn start(idle: Duration) -> (watch::Sender<Configuration>, watch::Receiver<Duration>) {
    let (configurations, configuration) = watch::channel(configuration(idle));
    let (limit, current) = watch::channel(Duration::ZERO);
    tokio::spawn(follow(configuration, BOUND, limit));
    (configurations, current)
}

/// Waits until the limit changes, and returns it with the time that passed.
async fn next(limit: &mut watch::Receiver<Duration>) -> (Duration, Duration) {
    let start = time::Instant::now();
    limit.changed().await.expect("a limit");
    (*limit.borrow_and_update(), start.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_longer_limit_applies_at_once() {
    let (configurations, mut limit) = start(SHORT);
    assert_eq!(next(&mut limit).await, (SHORT, Duration::ZERO));
    configurations.send_replace(configuration(LONG));
    assert_eq!(next(&mut limit).await, (LONG, Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn a_shorter_limit_applies_once_callers_know_it() {
    let (configurations, mut limit) = start(LONG);
    assert_eq!(next(&mut limit).await, (LONG, Duration::ZERO));
    configurations.send_replace(configuration(SHORT));
    let (shorter, passed) = next(&mut limit).await;
    assert_eq!(shorter, SHORT);
    assert!((BOUND..BOUND + SHORT).contains(&passed), "{passed:?}");
}

/// Guards against a limit that ends with another one, or never while configurations change.
#[tokio::test(start_paused = true)]
async fn each_earlier_limit_ends_in_its_own_time() {
    let (configurations, mut limit) = start(LONG);
    assert_eq!(next(&mut limit).await, (LONG, Duration::ZERO));
    configurations.send_replace(configuration(MIDDLE));
    time::sleep(BOUND / 2).await;
    configurations.send_replace(configuration(SHORT));
    let (middle, passed) = next(&mut limit).await;
    assert_eq!(middle, MIDDLE);
    assert!((BOUND / 2..BOUND).contains(&passed), "{passed:?}");
    let (short, passed) = next(&mut limit).await;
    assert_eq!(short, SHORT);
    assert!((BOUND / 2..BOUND).contains(&passed), "{passed:?}");
}
