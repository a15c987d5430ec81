use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::reader::follow;
use crate::controllers::fake_log_test::{CALL_TIMEOUT, Log, Outage};

#[tokio::test(start_paused = true)]
async fn a_read_of_leases_that_took_its_whole_time_is_not_followed_by_a_pause() {
    let log = Log::new();
    let (sender, _pages) = mpsc::channel(1);
    tokio::spawn(follow(Arc::new(log.clone()), sender));
    time::sleep(Duration::from_millis(1)).await;
    let begun = Instant::now();
    log.set_outage(Some(Outage::Silent));
    time::sleep(CALL_TIMEOUT * 10).await;
    let reads = log.reads_since(begun);
    assert!((9..=10).contains(&reads), "{reads}");
}
