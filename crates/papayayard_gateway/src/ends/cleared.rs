//! Parts of prompts that this host reports as cleared, some time after it saw requests with
//! them complete. The time differs between hosts, so that usually one of them reports.

use std::collections::BTreeSet;
use std::future;
use std::time::Duration;

use papayayard_routing::blame::Table;
use papayayard_routing::quarantine::Fingerprint;
use tokio::time::{self, Instant};

use super::report::Report;

/// Minimum time after which parts are reported.
const MIN_DELAY: Duration = Duration::from_secs(1);
/// Maximum random time in addition.
const MAX_JITTER: Duration = Duration::from_secs(2);
/// Maximum number of parts in a report.
const MAX_PARTS: usize = 1_024;

/// Cleared parts that wait for their report.
pub(super) struct Cleared {
    due: Instant,
    /// A request with some of them that has completed.
    fingerprint: Fingerprint,
    parts: BTreeSet<Fingerprint>,
}

impl Cleared {
    pub(super) fn new(fingerprint: Fingerprint) -> Self {
        let jitter = MAX_JITTER.mul_f64(rand::random::<f64>());
        Self {
            due: Instant::now() + MIN_DELAY + jitter,
            fingerprint,
            parts: BTreeSet::new(),
        }
    }

    pub(super) fn add(&mut self, parts: Vec<Fingerprint>) {
        let free = MAX_PARTS.saturating_sub(self.parts.len());
        self.parts.extend(parts.into_iter().take(free));
    }

    /// Waits until the report is due; forever if there is none.
    pub(super) async fn wait(cleared: Option<&Self>) {
        match cleared {
            Some(cleared) => time::sleep_until(cleared.due).await,
            None => future::pending().await,
        }
    }

    /// The report on the parts that no other host has reported.
    pub(super) fn report(self, table: &Table) -> Option<Report> {
        let parts: Vec<Fingerprint> = self.parts.into_iter().collect();
        let parts = table.unreported(&parts);
        (!parts.is_empty()).then_some(Report::Cleared {
            fingerprint: self.fingerprint,
            parts,
        })
    }
}
