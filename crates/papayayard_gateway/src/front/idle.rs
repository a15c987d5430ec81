//! For how long callers may leave a connection idle.
//!
//! Callers reuse a connection by the limit that they know, and some learn of a shorter one
//! later than this host. A limit that was replaced by a shorter one therefore applies until
//! the time has passed within which a configuration is known everywhere.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::beliefs::Configuration;
use crate::refusal::millis;

/// Limits that callers may go by.
#[derive(Debug, Default)]
struct Limits {
    newest: Option<Duration>,
    /// Longer limits before it, and when each ends.
    earlier: Vec<(Duration, Instant)>,
}

impl Limits {
    /// Replaces the newest limit, which callers may go by until `end`.
    fn replace(&mut self, limit: Duration, end: Instant) {
        let previous = self.newest.replace(limit);
        if let Some(previous) = previous.filter(|previous| *previous > limit) {
            log::info!(
                limit_ms = millis(limit), kept_ms = millis(previous),
                left_ms = millis(end.saturating_duration_since(Instant::now()));
                "callers may not know a shorter idle limit yet; keeping the longer one"
            );
            self.earlier.push((previous, end));
        }
    }

    fn expire(&mut self, now: Instant) {
        self.earlier.retain(|(_, end)| now < *end);
    }

    fn longest(&self) -> Option<Duration> {
        let earlier = self.earlier.iter().map(|(limit, _)| *limit);
        earlier.chain(self.newest).max()
    }

    /// When the next of the earlier limits ends.
    fn next_end(&self) -> Option<Instant> {
        self.earlier.iter().map(|(_, end)| *end).min()
    }
}

/// Publishes the idle limit of callers' connections. A configuration is known everywhere
/// within `bound`.
pub(super) async fn follow(
    mut configuration: watch::Receiver<Configuration>,
    bound: Duration,
    limit: watch::Sender<Duration>,
) {
    let mut limits = Limits::default();
    loop {
        let named = named(&configuration.borrow_and_update());
        let now = Instant::now();
        if let Some(named) = named {
            limits.replace(named, now + bound);
        }
        limits.expire(now);
        publish(&limit, limits.longest());
        tokio::select! {
            // Without a further configuration the limit stays.
            Ok(()) = configuration.changed() => {}
            () = wait_until(limits.next_end()) => {}
        }
    }
}

/// The limit of the configuration in force.
fn named(configuration: &Configuration) -> Option<Duration> {
    let table = configuration.table.as_ref();
    table.map(|table| table.limits.idle)
}

fn publish(limit: &watch::Sender<Duration>, longest: Option<Duration>) {
    if let Some(longest) = longest {
        limit.send_if_modified(|limit| std::mem::replace(limit, longest) != longest);
    }
}

async fn wait_until(end: Option<Instant>) {
    match end {
        Some(end) => time::sleep_until(end).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
#[path = "idle_test.rs"]
mod test;
