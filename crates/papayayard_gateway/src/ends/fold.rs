//! Reducer for crash reports in the platform's log, those of this host included.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_routing::blame::{Progress, Run};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::log::Era;

use super::Shared;
use super::report::Report;
use crate::follow::{self, Effect};
use crate::store;

/// Minimum age at which a record is removed from the log. Until then hosts that start can
/// read it.
const RETENTION: Duration = Duration::from_hours(2);
/// Interval between searches for expired records.
const SWEEP: Duration = Duration::from_mins(1);

/// Reducer for the crash reports of all hosts.
pub(crate) struct Reports {
    shared: Shared,
    /// When the records that are in the log were first seen, by key.
    first_seen: HashMap<String, Duration>,
    /// Age at which this host removes a record. It is randomized per host, so that one
    /// host usually does the removal and the others see it.
    retention: Duration,
    last_sweep: Duration,
    /// Era of the newest reading.
    era: Option<Era>,
    /// Whether the current reading is the first one of a restored store.
    is_restored: bool,
}

impl Reports {
    pub(super) fn new(shared: Shared) -> Self {
        Self {
            shared,
            first_seen: HashMap::new(),
            retention: RETENTION.mul_f64(1.0 + rand::random::<f64>()),
            last_sweep: Duration::ZERO,
            era: None,
            is_restored: false,
        }
    }

    fn apply(&self, report: Report, first_seen: Option<Duration>, now: Duration) {
        let at = first_seen.unwrap_or(now);
        match report {
            Report::Ended {
                run,
                waiting,
                begun,
                parts,
                sound,
            } => {
                self.record_crashes(&run, &waiting, Progress::Waiting, at);
                self.record_crashes(&run, &begun, Progress::Begun, at);
                for part in sound {
                    self.shared.table().record_part_sound(part, now);
                }
                let times = (first_seen, now);
                self.shared.record_part_crashes(&parts, &run, times);
            }
            // Applied before the store was restored, and possibly outdated by crashes since.
            // Those that the store has lost are written again.
            Report::Cleared { .. } if self.is_restored => {}
            Report::Cleared { fingerprint, parts } => {
                let mut table = self.shared.table();
                table.record_success(fingerprint, at);
                for part in parts {
                    table.record_part_cleared(part, now);
                }
            }
        }
    }

    fn record_crashes(
        &self,
        run: &Run,
        requests: &[Fingerprint],
        progress: Progress,
        at: Duration,
    ) {
        for fingerprint in requests {
            self.shared.record_crash(*fingerprint, run, progress, at);
        }
    }

    fn sweep(&mut self, now: Duration) {
        self.last_sweep = now;
        self.shared.table().remove_expired(now);
        for (key, first_seen) in &self.first_seen {
            if *first_seen + self.retention <= now {
                self.shared.outbox.drop_record(key);
            }
        }
    }
}

impl follow::Reducer for Reports {
    fn begin_reading(&mut self, reading: follow::Reading, _now: Duration) {
        self.is_restored = self.era.is_some_and(|before| before != reading.era);
        self.era = Some(reading.era);
    }

    fn apply_record(
        &mut self,
        record: &store::Record,
        first_seen: Option<Duration>,
        now: Duration,
    ) -> Effect {
        let Some(value) = &record.value else {
            self.first_seen.remove(&record.key);
            return Effect::Changed;
        };
        let at = first_seen.unwrap_or(now);
        self.first_seen.insert(record.key.clone(), at);
        match store::decode(value) {
            Ok(report) => {
                self.apply(report, first_seen, now);
                Effect::Changed
            }
            Err(error) => {
                log::warn!(key = record.key.as_str(), error:%; "malformed crash report skipped");
                Effect::Unchanged
            }
        }
    }

    fn retain_keys(&mut self, keys: &HashSet<String>, _now: Duration) {
        self.first_seen.retain(|key, _| keys.contains(key));
    }

    fn caught_up(&mut self, _requested_at: Duration, _next: u64, now: Duration) {
        if self.last_sweep + SWEEP <= now {
            self.sweep(now);
        }
    }
}
