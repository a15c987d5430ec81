//! For how long callers may use a connection without sending a whole request.
//!
//! Callers go by the limits that they know, and some learn of a shorter one later than this
//! host. Limits that were replaced therefore still apply, where they are longer, until the
//! time has passed within which a configuration is known everywhere.

use std::time::Duration;

use papayayard_coordination::shutdown::Stage;
use papayayard_routing::table::Limits;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::beliefs::Configuration;
use crate::refusal::millis;

/// Maximum idle time of a connection while the host closes idle connections; the request of a
/// new one arrives within it.
const MAX_STOPPING_IDLE: Duration = Duration::from_secs(1);

/// Times that callers may count on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Periods {
    /// Idle time of a connection.
    pub(super) idle: Duration,
    /// Time in which the head of a request arrives.
    pub(super) head: Duration,
}

impl From<&Limits> for Periods {
    fn from(limits: &Limits) -> Self {
        Self {
            idle: limits.idle,
            head: limits.head,
        }
    }
}

impl Periods {
    /// The periods in a stage of a planned stop.
    pub(super) fn in_stage(self, stage: Stage) -> Self {
        if stage < Stage::Closing {
            return self;
        }
        Self {
            idle: self.idle.min(MAX_STOPPING_IDLE),
            ..self
        }
    }

    fn longest(self, other: Self) -> Self {
        Self {
            idle: self.idle.max(other.idle),
            head: self.head.max(other.head),
        }
    }
}

/// Periods of the newest configuration, and of those before it.
#[derive(Debug, Default)]
struct Named {
    newest: Option<Periods>,
    /// Replaced periods, and until when they apply.
    replaced: Vec<(Periods, Instant)>,
}

impl Named {
    /// Replaces the newest periods, which callers may go by until `end`.
    fn replace(&mut self, newest: Periods, end: Instant) {
        let previous = self.newest.replace(newest);
        if let Some(previous) = previous.filter(|previous| newest.longest(*previous) != newest) {
            log::info!(
                idle_ms = millis(newest.idle), kept_idle_ms = millis(previous.idle),
                head_ms = millis(newest.head), kept_head_ms = millis(previous.head),
                left_ms = millis(end.saturating_duration_since(Instant::now()));
                "callers may not know shorter limits yet; keeping the longer ones"
            );
            self.replaced.push((previous, end));
        }
    }

    fn expire(&mut self, now: Instant) {
        self.replaced.retain(|(_, end)| now < *end);
    }

    fn longest(&self) -> Option<Periods> {
        let replaced = self.replaced.iter().map(|(periods, _)| *periods);
        replaced.chain(self.newest).reduce(Periods::longest)
    }

    /// When the next of the replaced periods ends.
    fn next_end(&self) -> Option<Instant> {
        self.replaced.iter().map(|(_, end)| *end).min()
    }
}

/// Publishes the periods of callers' connections. A configuration is known everywhere within
/// `bound`.
pub(super) async fn follow(
    mut configuration: watch::Receiver<Configuration>,
    bound: Duration,
    periods: watch::Sender<Periods>,
) {
    let mut named = Named::default();
    loop {
        let newest = newest(&configuration.borrow_and_update());
        let now = Instant::now();
        if let Some(newest) = newest {
            named.replace(newest, now + bound);
        }
        named.expire(now);
        publish(&periods, named.longest());
        tokio::select! {
            // Without a further configuration the newest periods stay.
            Ok(()) = configuration.changed() => {}
            () = wait_until(named.next_end()) => {}
        }
    }
}

fn newest(configuration: &Configuration) -> Option<Periods> {
    let table = configuration.table.as_ref();
    table.map(|table| Periods::from(&table.limits))
}

fn publish(periods: &watch::Sender<Periods>, longest: Option<Periods>) {
    if let Some(longest) = longest {
        periods.send_if_modified(|periods| std::mem::replace(periods, longest) != longest);
    }
}

async fn wait_until(end: Option<Instant>) {
    match end {
        Some(end) => time::sleep_until(end).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
#[path = "periods_test.rs"]
mod test;
